"""Frames on a connection: a 4-byte length and that many bytes."""

import contextlib
import select

import anyio
import anyio.abc
from anyio.streams import buffered

from fireflywell.membership import codec

# A peer that takes nothing for this long is frozen or cut off.
WRITE_SECONDS = 5.0

CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    EOFError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class ByteCounters:
    """Counts the bytes of frames, without the headers of TCP and IP."""

    __slots__ = ("received_bytes", "sent_bytes")

    def __init__(self) -> None:
        self.received_bytes = 0
        self.sent_bytes = 0


class FrameStream:
    """Reads and writes frames without checking who sent them."""

    __slots__ = ("_reader", "_stream", "traffic")

    def __init__(
        self, stream: anyio.abc.SocketStream, traffic: ByteCounters
    ) -> None:
        self._stream = stream
        self._reader = buffered.BufferedByteReceiveStream(stream)
        self.traffic = traffic

    @property
    def remote_host(self) -> str:
        """IP number of the other side."""
        address = self._stream.extra(anyio.abc.SocketAttribute.remote_address)
        return str(address[0])

    @property
    def is_readable(self) -> bool:
        """Whether something waits to be read, the end of the stream too."""
        if self._reader.buffer:
            return True
        raw = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        poll = select.poll()
        poll.register(raw.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def read_frame(self, limit: int) -> bytes:
        """Returns the next frame of at most `limit` bytes.

        Raises:
            PeerProtocolError: The frame is too long or empty.
        """
        prefix = await self._reader.receive_exactly(codec.LENGTH_BYTES)
        size = codec.decode_length(prefix, limit)
        payload = await self._reader.receive_exactly(size)
        self.traffic.received_bytes += len(prefix) + size
        return payload

    async def write_frame(self, payload: bytes) -> None:
        """Writes a frame.

        Raises:
            TimeoutError: The other side took nothing for too long.
        """
        frame = codec.encode_length(len(payload)) + payload
        with anyio.fail_after(WRITE_SECONDS):
            await self._stream.send(frame)
        self.traffic.sent_bytes += len(frame)

    async def close(self) -> None:
        """Closes the connection without waiting for the other side."""
        with contextlib.suppress(*CONNECTION_ERRORS):
            await anyio.aclose_forcefully(self._stream)
