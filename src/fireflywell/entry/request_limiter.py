"""Bounds what the entry holds in memory for requests together."""

from collections.abc import Iterator
import contextlib

from fireflywell import asgi

MAXIMUM_REQUESTS = 4_096
MAXIMUM_BODY_BYTES = 64 * 1024 * 1024


class RequestLimiter:
    """Counts requests and the bytes of their bodies while they are held."""

    __slots__ = (
        "_bytes",
        "_maximum_bytes",
        "_maximum_requests",
        "_requests",
    )

    def __init__(
        self,
        maximum_requests: int = MAXIMUM_REQUESTS,
        maximum_bytes: int = MAXIMUM_BODY_BYTES,
    ) -> None:
        self._maximum_requests = maximum_requests
        self._maximum_bytes = maximum_bytes
        self._requests = 0
        self._bytes = 0

    @property
    def requests(self) -> int:
        """Requests held now."""
        return self._requests

    @contextlib.contextmanager
    def admit(self, body_bytes: int) -> Iterator[bool]:
        """Holds room for a request; yields False if there is none."""
        total = self._bytes + body_bytes
        if (
            self._requests >= self._maximum_requests
            or total > self._maximum_bytes
        ):
            yield False
            return
        self._requests += 1
        self._bytes = total
        try:
            yield True
        finally:
            self._requests -= 1
            self._bytes -= body_bytes


def declare_body_bytes(
    headers: tuple[asgi.Header, ...], limit_bytes: int
) -> int:
    """Returns how much memory a request's body may take, up to the limit."""
    if asgi.find_header(headers, "transfer-encoding") is not None:
        return limit_bytes
    text = asgi.find_header(headers, "content-length")
    if text is None:
        return 0
    is_number = text.isascii() and text.isdigit() and len(text) < 10
    return min(int(text), limit_bytes) if is_number else limit_bytes
