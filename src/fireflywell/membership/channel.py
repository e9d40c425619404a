"""Framed and authenticated connections between processes."""

import dataclasses
import itertools
import secrets

import anyio
import anyio.abc

from fireflywell import errors
from fireflywell.membership import codec
from fireflywell.membership import frames as frames_lib
from fireflywell.membership import handshake
from fireflywell.membership import messages

# Bounds the time for which a stranger or a frozen peer holds a connection.
HANDSHAKE_SECONDS = 5.0
CONNECT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """What a process proves and shows to its peers.

    Attributes:
        hello: Address, zone, role and incarnation.
        cluster_key: Key shared by all processes.
    """

    hello: messages.Hello
    cluster_key: bytes = dataclasses.field(repr=False)

    @property
    def host(self) -> str:
        """IP number of the process."""
        return self.hello.address.rpartition(":")[0]

    @property
    def port(self) -> int:
        """Port of the membership listener."""
        return int(self.hello.address.rpartition(":")[2])


def make_identity(
    address: str, zone: str, role: messages.Role, cluster_key: bytes
) -> Identity:
    """Returns the identity of a new process with a random incarnation."""
    return Identity(
        messages.Hello(
            address=address,
            zone=zone,
            role=role,
            incarnation=secrets.token_hex(16),
            protocol_version=handshake.PROTOCOL_VERSION,
        ),
        cluster_key,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class HandshakeResult:
    """Result of a handshake.

    Attributes:
        opening: What the peer claimed and proved.
        transcript: Both openings.
        challenge: Number of this process's challenge.
    """

    opening: messages.Opening
    transcript: handshake.Transcript
    challenge: int


class Channel:
    """A connection with a peer that has proven its identity."""

    __slots__ = ("_receiving", "_sending", "_stream", "challenge", "peer")

    def __init__(
        self,
        stream: frames_lib.FrameStream,
        identity: Identity,
        side: handshake.Side,
        result: HandshakeResult,
    ) -> None:
        other = (
            handshake.Side.ACCEPTING
            if side is handshake.Side.DIALLING
            else handshake.Side.DIALLING
        )
        key = identity.cluster_key
        self._stream = stream
        self._sending = handshake.FrameAuthenticator(
            key, side, result.transcript
        )
        self._receiving = handshake.FrameAuthenticator(
            key, other, result.transcript
        )
        self.peer = result.opening.hello
        self.challenge = result.challenge

    @property
    def is_readable(self) -> bool:
        """Whether something waits to be read, the end of the stream too."""
        return self._stream.is_readable

    async def read(self) -> bytes:
        """Returns the payload of the peer's next frame.

        Raises:
            PeerProtocolError: The frame is too long, empty or not the peer's.
        """
        frame = await self._stream.read_frame(codec.FRAME_LIMIT_BYTES)
        tag = frame[: handshake.FRAME_TAG_BYTES]
        payload = frame[handshake.FRAME_TAG_BYTES :]
        self._receiving.verify(payload, tag)
        return payload

    async def write(self, payload: bytes) -> None:
        """Writes a frame; see `frames_lib.FrameStream.write_frame`."""
        await self._stream.write_frame(
            self._sending.compute_tag(payload) + payload
        )

    async def close(self) -> None:
        """Closes the connection."""
        await self._stream.close()


class ChannelFactory:
    """Opens and accepts authenticated connections for one process."""

    __slots__ = ("_challenges", "_identity", "control", "forward")

    def __init__(self, identity: Identity) -> None:
        self._identity = identity
        self._challenges = itertools.count()
        self.control = frames_lib.ByteCounters()
        self.forward = frames_lib.ByteCounters()

    async def dial(
        self, address: str, purpose: messages.LinkPurpose
    ) -> Channel:
        """Connects to a peer and proves identities.

        Raises:
            PeerAuthenticationError: The peer is not what it should be.
            PeerUnreachableError: The peer can't be reached.
        """
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(CONNECT_SECONDS):
                # The peer compares the source with the claimed address.
                stream = await anyio.connect_tcp(
                    host, int(port), local_host=self._identity.host
                )
        except frames_lib.CONNECTION_ERRORS as error:
            raise _explain_unreachable(address, error) from error
        frames = frames_lib.FrameStream(stream, self._choose_traffic(purpose))
        try:
            with anyio.fail_after(HANDSHAKE_SECONDS):
                result = await self._prove_as_dialling(frames, address, purpose)
        except frames_lib.CONNECTION_ERRORS as error:
            await frames.close()
            raise _explain_unreachable(address, error) from error
        except BaseException:
            await frames.close()
            raise
        return Channel(frames, self._identity, handshake.Side.DIALLING, result)

    async def accept(
        self, stream: anyio.abc.SocketStream
    ) -> tuple[Channel, messages.LinkPurpose]:
        """Proves identities on an accepted connection.

        Raises:
            PeerProtocolError: The other side is no peer.
        """
        frames = frames_lib.FrameStream(stream, self.control)
        with anyio.fail_after(HANDSHAKE_SECONDS):
            result = await self._prove_as_accepting(frames)
        purpose = result.opening.purpose
        frames.traffic = self._choose_traffic(purpose)
        side = handshake.Side.ACCEPTING
        return Channel(frames, self._identity, side, result), purpose

    async def _prove_as_dialling(
        self,
        frames: frames_lib.FrameStream,
        address: str,
        purpose: messages.LinkPurpose,
    ) -> HandshakeResult:
        challenge = next(self._challenges)
        own = self._encode_opening(purpose, address)
        await frames.write_frame(own)
        other = await frames.read_frame(codec.HANDSHAKE_FRAME_LIMIT_BYTES)
        opening = _decode_opening(other)
        transcript = handshake.Transcript(own, other)
        key = self._identity.cluster_key
        await _check_proof(frames, key, handshake.Side.ACCEPTING, transcript)
        self._check_claim(opening, address, purpose)
        tag = handshake.compute_proof(key, handshake.Side.DIALLING, transcript)
        await frames.write_frame(codec.encode_message(messages.Proof(tag)))
        return HandshakeResult(opening, transcript, challenge)

    async def _prove_as_accepting(
        self, frames: frames_lib.FrameStream
    ) -> HandshakeResult:
        challenge = next(self._challenges)
        other = await frames.read_frame(codec.HANDSHAKE_FRAME_LIMIT_BYTES)
        opening = _decode_opening(other)
        own = self._encode_opening(opening.purpose, opening.hello.address)
        transcript = handshake.Transcript(other, own)
        key = self._identity.cluster_key
        tag = handshake.compute_proof(key, handshake.Side.ACCEPTING, transcript)
        await frames.write_frame(own)
        await frames.write_frame(codec.encode_message(messages.Proof(tag)))
        await _check_proof(frames, key, handshake.Side.DIALLING, transcript)
        if opening.target != self._identity.hello.address:
            raise errors.PeerAuthenticationError(
                f"{opening.hello.address} dialled {opening.target} and reached "
                f"{self._identity.hello.address}; check its settings"
            )
        if opening.hello.address.rpartition(":")[0] != frames.remote_host:
            raise errors.PeerAuthenticationError(
                f"{frames.remote_host} claims to be {opening.hello.address}; "
                "check the address in its settings"
            )
        _check_version(opening.hello)
        return HandshakeResult(opening, transcript, challenge)

    def _encode_opening(
        self, purpose: messages.LinkPurpose, target: str
    ) -> bytes:
        nonce = secrets.token_bytes(handshake.NONCE_BYTES)
        return codec.encode_message(
            messages.Opening(purpose, self._identity.hello, target, nonce)
        )

    def _check_claim(
        self,
        opening: messages.Opening,
        address: str,
        purpose: messages.LinkPurpose,
    ) -> None:
        own = self._identity.hello.address
        if opening.hello.address != address or opening.target != own:
            raise errors.PeerAuthenticationError(
                f"{opening.hello.address} answered at {address} and took this "
                f"process for {opening.target}; check both settings"
            )
        if opening.purpose is not purpose:
            raise errors.PeerAuthenticationError(
                f"{address} answered for the purpose {opening.purpose} "
                f"instead of {purpose}; check that it is of the same release"
            )
        _check_version(opening.hello)

    def _choose_traffic(
        self, purpose: messages.LinkPurpose
    ) -> frames_lib.ByteCounters:
        match purpose:
            case messages.LinkPurpose.CONTROL:
                return self.control
            case messages.LinkPurpose.FORWARD:
                return self.forward


async def _check_proof(
    frames: frames_lib.FrameStream,
    key: bytes,
    side: handshake.Side,
    transcript: handshake.Transcript,
) -> None:
    frame = await frames.read_frame(codec.HANDSHAKE_FRAME_LIMIT_BYTES)
    match codec.decode_message(frame):
        case messages.Proof(tag=tag):
            handshake.verify_proof(key, side, transcript, tag)
        case other:
            raise errors.PeerAuthenticationError(
                f"the {side} side sent {type(other).__name__} instead of a "
                "proof; the connection is closed"
            )


def _decode_opening(payload: bytes) -> messages.Opening:
    match codec.decode_message(payload):
        case messages.Opening(nonce=nonce) as opening if (
            len(nonce) == handshake.NONCE_BYTES
        ):
            return opening
    raise errors.PeerAuthenticationError(
        "a connection doesn't start with a valid opening; it is closed"
    )


def _check_version(hello: messages.Hello) -> None:
    if hello.protocol_version != handshake.PROTOCOL_VERSION:
        raise errors.PeerProtocolError(
            f"{hello.address} speaks version {hello.protocol_version} of the "
            f"protocol, this process {handshake.PROTOCOL_VERSION}; run the "
            "same release on both"
        )


def _explain_unreachable(
    address: str, error: Exception
) -> errors.PeerUnreachableError:
    cause = str(error) or type(error).__name__
    return errors.PeerUnreachableError(
        f"{address} can't be reached ({cause}); check that it runs and the "
        "address in the settings"
    )
