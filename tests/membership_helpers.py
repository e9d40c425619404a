"""Processes' links on loopback, and a peer whose every byte is chosen."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import random

import anyio
import anyio.abc

from fireflywell import clock as clock_lib
from fireflywell.membership import channel as channel_lib
from fireflywell.membership import codec
from fireflywell.membership import frames as frames_lib
from fireflywell.membership import handshake
from fireflywell.membership import links
from fireflywell.membership import mesh as mesh_lib
from fireflywell.membership import messages

KEY = bytes(range(32))
FIRST = "127.0.0.1:18301"
SECOND = "127.0.0.2:18302"
THIRD = "127.0.0.3:18303"
ALL = (FIRST, SECOND, THIRD)
DRAIN = messages.DrainNotice("vm1", "move1", 7)


class Receiver:
    """Notes the messages that a mesh delivers."""

    __slots__ = ("received",)

    def __init__(self, mesh: mesh_lib.Mesh) -> None:
        self.received: list[messages.Message] = []
        mesh.subscribe(self._receive)

    def count(self, kind: type[messages.Message]) -> int:
        """Returns how many messages of a kind came."""
        return sum(isinstance(item, kind) for item in self.received)

    def _receive(self, _: links.PeerView, message: messages.Message) -> None:
        self.received.append(message)


def make_identity(address: str, key: bytes = KEY) -> channel_lib.Identity:
    """Returns an identity with a new incarnation."""
    return channel_lib.make_identity(address, "a", messages.Role.ENTRY, key)


def make_mesh(
    address: str,
    peers: tuple[str, ...] = ALL,
    key: bytes = KEY,
    status: mesh_lib.LocalStatus | None = None,
) -> mesh_lib.Mesh:
    """Returns a mesh that isn't running yet."""
    fixed = status or mesh_lib.LocalStatus()
    return mesh_lib.Mesh(
        make_identity(address, key),
        peers,
        lambda: fixed,
        clock_lib.SystemClock(),
        random.Random(1),
    )


@contextlib.asynccontextmanager
async def run_meshes(*meshes: mesh_lib.Mesh) -> AsyncIterator[None]:
    """Runs meshes while the block runs."""
    async with anyio.create_task_group() as group:
        for mesh in meshes:
            group.start_soon(mesh.run)
            await mesh.wait_until_started()
        yield
        group.cancel_scope.cancel()


async def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Waits for a condition; the bound only ends a hanging test."""
    with anyio.move_on_after(20):
        while not condition():
            await anyio.sleep(0.01)
        return
    raise AssertionError(f"never came: {what}")


class RawPeer:
    """A dialling side that can send any bytes after any part of a handshake."""

    __slots__ = ("_identity", "_stream", "authenticator", "frames", "sent")

    def __init__(
        self, stream: anyio.abc.SocketStream, identity: channel_lib.Identity
    ) -> None:
        self._stream = stream
        self._identity = identity
        self.frames = frames_lib.FrameStream(stream, frames_lib.ByteCounters())
        self.authenticator: handshake.FrameAuthenticator | None = None
        self.sent: list[bytes] = []

    async def send(self, payload: bytes) -> None:
        """Sends a frame and notes it."""
        self.sent.append(payload)
        await self.frames.write_frame(payload)

    async def open(self, target: str) -> handshake.Transcript:
        """Exchanges the openings; the peer's proof is read and not checked."""
        own = codec.encode_message(
            messages.Opening(
                messages.LinkPurpose.CONTROL,
                self._identity.hello,
                target,
                random.randbytes(16),
            )
        )
        await self.send(own)
        return handshake.Transcript(own, await self.frames.read_frame(4096))

    async def prove(self, target: str) -> None:
        """Completes a valid handshake."""
        transcript = await self.open(target)
        await self.frames.read_frame(4096)
        side = handshake.Side.DIALLING
        key = self._identity.cluster_key
        tag = handshake.compute_proof(key, side, transcript)
        await self.send(codec.encode_message(messages.Proof(tag)))
        self.authenticator = handshake.FrameAuthenticator(key, side, transcript)

    async def send_message(self, message: messages.Message) -> None:
        """Sends a message in a valid frame."""
        assert self.authenticator is not None
        payload = codec.LinkEncoder().encode((message,))
        await self.send(self.authenticator.compute_tag(payload) + payload)

    async def wait_until_closed(self) -> None:
        """Reads until the other side closes the connection."""
        with anyio.fail_after(20):
            with contextlib.suppress(*frames_lib.CONNECTION_ERRORS):
                while True:
                    await self.frames.read_frame(1 << 20)


@contextlib.asynccontextmanager
async def connect_raw(
    target: str, address: str, key: bytes = KEY
) -> AsyncIterator[RawPeer]:
    """Connects to a mesh as the process at `address`."""
    host, _, port = target.rpartition(":")
    stream = await anyio.connect_tcp(
        host, int(port), local_host=address.rpartition(":")[0]
    )
    async with stream:
        yield RawPeer(stream, make_identity(address, key))
