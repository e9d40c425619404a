"""Forwarded requests, each alone on its connection."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.membership import channel as channel_lib
from fireflywell.membership import codec
from fireflywell.membership import frames
from fireflywell.membership import links
from fireflywell.membership import messages

# The dialling side lets go first, so that it doesn't write to a connection
# that the other side is closing.
_REUSE_WITHIN = datetime.timedelta(seconds=15)
_SERVE_IDLE_SECONDS = 60.0
_IDLE_PER_PEER = 16

Dial = Callable[[str], Awaitable[channel_lib.Channel]]


@dataclasses.dataclass(frozen=True, slots=True)
class _Idle:
    channel: channel_lib.Channel
    since: datetime.timedelta


class ForwardConnectionPool:
    """Sends requests to peers and keeps connections for reuse.

    A connection is kept only after a whole exchange, so that a reply can't
    reach another request.
    """

    __slots__ = ("_clock", "_dial", "_idle")

    def __init__(self, dial: Dial, clock: clock_lib.Clock) -> None:
        self._dial = dial
        self._clock = clock
        self._idle: dict[str, list[_Idle]] = {}

    async def exchange(
        self, address: str, request: messages.ForwardRequest
    ) -> messages.ForwardReply:
        """Sends a request and reads its reply; see `PeerLinks.forward`."""
        seconds = request.deadline_ms / 1000 if request.deadline_ms else None
        sent = False
        channel: channel_lib.Channel | None = None
        try:
            payload = codec.encode_message(request)
            with anyio.fail_after(seconds):
                channel = await self._take(address, request.incarnation)
                sent = True
                await channel.write(payload)
                reply = _decode_reply(await channel.read())
        except BaseException as error:
            if channel is not None:
                await channel.close()
            if not isinstance(error, _FAILURES):
                raise
            raise _classify(address, request, error, sent) from error
        self._keep(address, channel)
        return reply

    async def close(self) -> None:
        """Closes the connections that are kept."""
        while self._idle:
            _, kept = self._idle.popitem()
            for item in kept:
                await item.channel.close()

    async def _take(
        self, address: str, incarnation: str
    ) -> channel_lib.Channel:
        kept = self._idle.get(address, [])
        while kept:
            item = kept.pop()
            age = self._clock.monotonic() - item.since
            is_usable = (
                age < _REUSE_WITHIN
                and not item.channel.is_readable
                and item.channel.peer.incarnation == incarnation
            )
            if is_usable:
                return item.channel
            await item.channel.close()
        channel = await self._dial(address)
        if incarnation != channel.peer.incarnation:
            await channel.close()
            raise errors.PeerUnreachableError(
                f"{address} is now {channel.peer.incarnation}, the request is "
                f"for {incarnation}; it was not sent"
            )
        return channel

    def _keep(self, address: str, channel: channel_lib.Channel) -> None:
        kept = self._idle.setdefault(address, [])
        kept.append(_Idle(channel, self._clock.monotonic()))

    async def close_outdated(self) -> None:
        """Closes connections that weren't reused in time."""
        now = self._clock.monotonic()
        for kept in self._idle.values():
            while kept and (
                len(kept) > _IDLE_PER_PEER
                or now - kept[0].since >= _REUSE_WITHIN
            ):
                await kept.pop(0).channel.close()


async def serve_forwards(
    channel: channel_lib.Channel, handler: links.ForwardHandler
) -> None:
    """Answers the requests of one connection, one after the other.

    Raises:
        PeerProtocolError: The peer sent something else than a request.
        TimeoutError: The connection was not used for long.
    """
    while True:
        with anyio.fail_after(_SERVE_IDLE_SECONDS):
            payload = await channel.read()
        match codec.decode_message(payload):
            case messages.ForwardRequest() as request:
                reply = await handler(request)
                await channel.write(_encode_reply(reply))
            case other:
                raise errors.PeerProtocolError(
                    f"{channel.peer.address} sent {type(other).__name__} "
                    "instead of a request; the connection is closed"
                )


def _encode_reply(reply: messages.ForwardReply) -> bytes:
    try:
        return codec.encode_message(reply)
    except errors.PeerProtocolError as error:
        return codec.encode_message(
            messages.ForwardReply(
                messages.OutcomeKind.UNKNOWN, 502, (), b"", str(error)
            )
        )


def _decode_reply(payload: bytes) -> messages.ForwardReply:
    reply = codec.decode_message(payload)
    if not isinstance(reply, messages.ForwardReply):
        raise errors.PeerProtocolError(
            f"a peer sent {type(reply).__name__} instead of a reply"
        )
    return reply


_FAILURES = (errors.FireflywellError, *frames.CONNECTION_ERRORS)


def _classify(
    address: str,
    request: messages.ForwardRequest,
    error: BaseException,
    sent: bool,
) -> errors.FireflywellError:
    cause = str(error) or type(error).__name__
    if sent:
        return errors.AnswerLostError(
            f"{request.service}: sent to {address}, but no reply came ({cause})"
        )
    return errors.PeerUnreachableError(
        f"{request.service}: not sent to {address} ({cause})"
    )
