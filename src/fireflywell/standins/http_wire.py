"""Reads whole requests from, and writes responses to, a stream with h11."""

import dataclasses

import anyio
import anyio.abc
import h11

from fireflywell import asgi

BODY_LIMIT_BYTES = 8 * 1024 * 1024
_READ_BYTES = 64 * 1024
CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    h11.RemoteProtocolError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request."""

    method: str
    path: str
    headers: tuple[asgi.Header, ...]
    body: bytes


async def read_request(
    connection: h11.Connection, stream: anyio.abc.SocketStream
) -> HttpRequest | None:
    """Returns the next whole request, or None once the caller has closed.

    Also returns None if the request's body exceeds the limit.
    """
    head: h11.Request | None = None
    body = bytearray()
    while True:
        match connection.next_event():
            case h11.NEED_DATA:
                try:
                    received = await stream.receive(_READ_BYTES)
                except anyio.EndOfStream:
                    received = b""
                connection.receive_data(received)
            case h11.Request() as event:
                head = event
            case h11.Data(data=data):
                body += data
                if len(body) > BODY_LIMIT_BYTES:
                    return None
            case h11.EndOfMessage():
                assert head is not None
                return HttpRequest(
                    head.method.decode(),
                    head.target.decode("latin-1"),
                    tuple(
                        asgi.Header(name.decode(), value.decode("latin-1"))
                        for name, value in head.headers
                    ),
                    bytes(body),
                )
            case _:
                return None


async def send_response(
    connection: h11.Connection,
    stream: anyio.abc.SocketStream,
    status: int,
    headers: tuple[asgi.Header, ...],
    body: bytes,
) -> None:
    """Writes a complete response."""
    fields = [
        (item.name, item.value)
        for item in headers
        if item.name not in ("content-length", "transfer-encoding")
    ]
    fields.append(("content-length", str(len(body))))
    head = h11.Response(status_code=status, headers=fields)
    data = connection.send(head) or b""
    data += connection.send(h11.Data(data=body)) or b""
    data += connection.send(h11.EndOfMessage()) or b""
    await stream.send(data)
