"""HTTP servers by uvicorn, run as children of a supervisor tree."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import MutableMapping
import contextlib
import dataclasses
import datetime
import json
import logging
from typing import Any

import anyio
import uvicorn

from fireflywell import errors
from fireflywell.telemetry import logs

# `_LoggedApplication` logs failures instead.
logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL + 1)

# How long to wait for the end of a connection that was closed before.
_DISCONNECT_WAIT = datetime.timedelta(milliseconds=20)

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Header:
    """One header field with a lower-case name."""

    name: str
    value: str


class BodyTooLargeError(errors.FireflywellError):
    """A request's body is larger than the limit."""


class CallerDisconnectedError(errors.FireflywellError):
    """The caller closed its connection before the body had arrived."""


class Listener:
    """One listening address that serves an ASGI application."""

    __slots__ = ("_server", "_stopped")

    def __init__(
        self,
        application: Application,
        address: str,
        port: int,
        header_limit_bytes: int = 32 * 1024,
        idle_timeout: datetime.timedelta = datetime.timedelta(seconds=30),
    ) -> None:
        config = uvicorn.Config(
            _LoggedApplication(application),
            host=address,
            port=port,
            # h11 bounds the size of incomplete headers; uvloop may use
            # io_uring, which the platform's VMs don't allow.
            http="h11",
            loop="asyncio",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            backlog=2048,
            h11_max_incomplete_event_size=header_limit_bytes,
            timeout_keep_alive=int(idle_timeout.total_seconds()),
        )
        self._server = _SupervisedServer(config)
        self._stopped = anyio.Event()

    @property
    def is_started(self) -> bool:
        """Whether the address accepts connections."""
        return bool(self._server.started)

    async def run(self) -> None:
        """Serves until `stop` is called and the last response is sent.

        Raises:
            SettingsError: The address can't be bound.
        """
        try:
            await self._server.serve()
        except SystemExit as error:
            config = self._server.config
            raise errors.SettingsError(
                f"can't listen on {config.host}:{config.port}; check that the "
                "address belongs to this machine and that the port is free"
            ) from error
        finally:
            self._stopped.set()

    def stop(self) -> None:
        """Closes the listening socket; `run` ends after the last response."""
        self._server.should_exit = True

    async def wait_until_started(self) -> None:
        """Waits until the address accepts connections."""
        while not self._server.started:
            await anyio.sleep(0.005)

    async def wait_until_stopped(self) -> None:
        """Waits until `run` has ended."""
        await self._stopped.wait()


class _SupervisedServer(uvicorn.Server):
    """Server that installs no signal handlers; `process` handles signals."""

    __slots__ = ()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class _LoggedApplication:
    """Logs exceptions of an application and raises them again."""

    __slots__ = ("_application",)

    def __init__(self, application: Application) -> None:
        self._application = application

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        try:
            await self._application(scope, receive, send)
        except Exception as error:
            logs.log_event(
                "http.request_failed",
                path=scope.get("path", ""),
                error=repr(error),
            )
            raise


async def read_body(receive: Receive, limit_bytes: int) -> bytes:
    """Reads the whole body of a request.

    Raises:
        BodyTooLargeError: The body is larger than `limit_bytes`.
        CallerDisconnectedError: The caller closed the connection.
    """
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError("the caller closed the connection")
        body += message.get("body", b"")
        if len(body) > limit_bytes:
            raise BodyTooLargeError(
                f"the body is larger than {limit_bytes} bytes; send less"
            )
        if not message.get("more_body", False):
            return bytes(body)


async def is_caller_connected(receive: Receive) -> bool:
    """Returns whether the caller keeps its connection open after the body."""
    with anyio.move_on_after(_DISCONNECT_WAIT.total_seconds()):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return False
    return True


async def send_response(
    send: Send, status: int, headers: tuple[Header, ...], body: bytes
) -> None:
    """Sends a complete response."""
    encoded = [
        (item.name.encode("latin-1"), item.value.encode("latin-1"))
        for item in headers
        if item.name != "content-length"
    ]
    encoded.append((b"content-length", str(len(body)).encode()))
    await send(
        {"type": "http.response.start", "status": status, "headers": encoded}
    )
    await send({"type": "http.response.body", "body": body})


async def send_json(send: Send, status: int, document: Any) -> None:
    """Sends a JSON document."""
    headers = (Header("content-type", "application/json"),)
    await send_response(send, status, headers, json.dumps(document).encode())


def decode_headers(scope: Scope) -> tuple[Header, ...]:
    """Returns the headers of a request."""
    return tuple(
        Header(name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in scope["headers"]
    )


def find_header(headers: tuple[Header, ...], name: str) -> str | None:
    """Returns the first header of that lower-case name, or None."""
    for header in headers:
        if header.name == name:
            return header.value
    return None
