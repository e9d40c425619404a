"""Network streams that tell when the first byte of a request is sent.

httpcore's trace extension tells the same by some ten calls for each exchange;
the stream needs one check for each write.
"""

from collections.abc import Coroutine
from collections.abc import Iterable
import contextvars
import ssl
from typing import Any

import httpcore

from fireflywell.entry import pause_guard


class StaleViewError(Exception):
    """The process was paused between the choice and the first byte."""


class SendProgress:
    """Notes the first write of one exchange, or stops it."""

    __slots__ = ("_guard", "_has_started")

    def __init__(self, guard: pause_guard.SendGuard) -> None:
        self._guard = guard
        self._has_started = False

    @property
    def has_started(self) -> bool:
        """Whether any byte of the request may have left this process."""
        return self._has_started

    def note_write(self) -> None:
        """Called right before each write.

        Raises:
            StaleViewError: Nothing was sent and the fleet must be read first.
        """
        if self._has_started:
            return
        if self._guard.is_stale:
            raise StaleViewError("the process was paused before the send")
        self._has_started = True


# httpcore runs an exchange in the task that asked for it.
CURRENT_PROGRESS: contextvars.ContextVar[SendProgress] = contextvars.ContextVar(
    "fireflywell_send_progress"
)


class TrackedBackend(httpcore.AnyIOBackend):
    """Opens TCP connections whose writes are noted."""

    __slots__ = ()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Opens a connection."""
        stream = await super().connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return _TrackedStream(stream)


class _TrackedStream(httpcore.AsyncNetworkStream):
    """Passes everything on and notes writes."""

    __slots__ = ("_inner",)

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        self._inner = inner

    def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> Coroutine[Any, Any, bytes]:
        return self._inner.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        CURRENT_PROGRESS.get().note_write()
        await self._inner.write(buffer, timeout)

    def aclose(self) -> Coroutine[Any, Any, None]:
        return self._inner.aclose()

    def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> Coroutine[Any, Any, httpcore.AsyncNetworkStream]:
        return self._inner.start_tls(ssl_context, server_hostname, timeout)

    def get_extra_info(self, info: str) -> Any:
        return self._inner.get_extra_info(info)
