"""Tracks whether a request was sent before an httpcore exchange failed."""

from typing import Any

import httpcore

# All exceptions that httpcore raises for a failed connection or exchange.
EXCHANGE_ERRORS = (
    TimeoutError,
    OSError,
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
)


class SendTracker:
    """Records whether the first byte of a request may have been sent."""

    __slots__ = ("_started",)

    def __init__(self) -> None:
        self._started = False

    @property
    def has_started(self) -> bool:
        """Whether any byte of the request may have left this process."""
        return self._started

    async def trace(self, event: str, _: dict[str, Any]) -> None:
        """Receives httpcore's trace events; pass it as extension `trace`."""
        if event == "http11.send_request_headers.started":
            self._started = True
