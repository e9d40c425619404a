"""Bounded queue of the messages that wait for one peer's link."""

import collections
from collections.abc import Iterator

import anyio

from fireflywell import errors
from fireflywell.membership import messages

# Drains, homes and bundles of a few hundred instances; a peer that lets more
# wait is frozen.
WAITING_LIMIT = 512


class SendQueue:
    """Holds what a link still has to send.

    Only the newest heartbeat and the newest load of each service wait, so a
    slow peer loses outdated loads and nothing else. Other messages are never
    dropped while the link lives: beyond the bound the link is closed.
    """

    __slots__ = (
        "_event",
        "_failure",
        "_heartbeat",
        "_known_loads",
        "_loads",
        "_waiting",
    )

    def __init__(self) -> None:
        self._heartbeat: messages.Heartbeat | None = None
        self._known_loads: dict[str, messages.ServiceLoad] = {}
        self._loads: dict[str, messages.ServiceLoad] = {}
        self._waiting: collections.deque[messages.Message] = collections.deque()
        self._event = anyio.Event()
        self._failure = ""

    def __len__(self) -> int:
        """Returns the number of messages that wait."""
        status = (self._heartbeat is not None) + bool(self._loads)
        return len(self._waiting) + status

    def put(self, message: messages.Message) -> None:
        """Queues a message; a message that already waits isn't repeated."""
        match message:
            case messages.Heartbeat():
                self._heartbeat = message
            case messages.LoadReport(loads=loads):
                self._put_loads(loads)
            case _ if message in self._waiting:
                return
            case _ if len(self._waiting) >= WAITING_LIMIT:
                self.fail(f"more than {WAITING_LIMIT} messages wait for it")
            case _:
                self._waiting.append(message)
        if len(self):
            self._event.set()

    def fail(self, reason: str) -> None:
        """Makes `take_batch` fail, which closes the link."""
        self._failure = reason
        self._event.set()

    async def take_batch(self) -> tuple[messages.Message, ...]:
        """Waits for messages and returns those that go into one frame.

        Raises:
            PeerUnreachableError: The link must be closed.
        """
        await self._event.wait()
        if self._failure:
            raise errors.PeerUnreachableError(
                f"the link to the peer is closed: {self._failure}; it is "
                "dialled again"
            )
        batch = tuple(self._take_messages())
        if not len(self):
            self._event = anyio.Event()
        return batch

    def _put_loads(self, loads: tuple[messages.ServiceLoad, ...]) -> None:
        for load in loads:
            if self._known_loads.get(load.service) != load:
                self._known_loads[load.service] = load
                self._loads[load.service] = load

    def _take_messages(self) -> Iterator[messages.Message]:
        # A body may fill a frame, so it travels alone.
        if self._waiting and _is_body(self._waiting[0]):
            yield self._waiting.popleft()
            return
        if self._heartbeat is not None:
            yield self._heartbeat
            self._heartbeat = None
        while self._waiting and not _is_body(self._waiting[0]):
            yield self._waiting.popleft()
        if self._loads:
            yield messages.LoadReport(tuple(self._loads.values()))
            self._loads = {}


def _is_body(message: messages.Message) -> bool:
    return isinstance(message, messages.BundleBody)
