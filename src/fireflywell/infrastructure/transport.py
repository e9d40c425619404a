"""JSON calls to the platform over HTTP with bounded concurrency and backoff."""

import contextlib
import datetime
import json
import random
from typing import Any

import anyio
import httpcore

from fireflywell import clock as clock_lib
from fireflywell import connection_pool
from fireflywell import errors
from fireflywell import send_tracker
from fireflywell.telemetry import metrics as metrics_lib

_CONCURRENT_CALLS = 32
_INITIAL_BACKOFF = datetime.timedelta(milliseconds=100)

# A recovered store must be detected before its callers give up. One call every
# half second from each process is a small part of the store's capacity.
_MAXIMUM_BACKOFF = datetime.timedelta(milliseconds=500)
_MAXIMUM_ANSWER_BYTES = 32 * 1024 * 1024


class PlatformTransport:
    """Sends calls to one base URL of the platform.

    After a failure, calls fail at once until a jittered backoff has expired.
    All calls of the process share the backoff, so that a recovering store
    receives one probe from each process instead of all waiting calls.
    """

    __slots__ = (
        "_backoff",
        "_backoff_ends_at",
        "_base_url",
        "_clock",
        "_limiter",
        "_metrics",
        "_pool",
        "_random",
        "_timeout",
    )

    def __init__(
        self,
        base_url: str,
        clock: clock_lib.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
        timeout: datetime.timedelta = datetime.timedelta(seconds=2),
    ) -> None:
        self._base_url = base_url.rstrip("/")
        self._clock = clock
        self._random = rng
        self._metrics = metrics
        self._timeout = timeout
        self._limiter = anyio.CapacityLimiter(_CONCURRENT_CALLS)
        self._pool = connection_pool.ConnectionPool(
            _CONCURRENT_CALLS, _CONCURRENT_CALLS
        )
        self._backoff = datetime.timedelta()
        self._backoff_ends_at = datetime.timedelta()

    @property
    def is_backing_off(self) -> bool:
        """Whether calls fail without being sent, after an earlier failure."""
        return self._clock.monotonic() < self._backoff_ends_at

    async def call(self, method: str, path: str, document: Any = None) -> Any:
        """Sends a call and returns the parsed answer.

        Args:
            method: HTTP method.
            path: Path and query, starting with "/".
            document: Value sent as JSON, or None for an empty body.

        Returns:
            The parsed JSON of the answer; None for an empty one.

        Raises:
            PlatformUnavailableError: The call was not executed.
            AnswerLostError: The call was sent and may have been executed.
            PlatformRejectedError: The platform rejected the call as invalid.
        """
        body = b"" if document is None else json.dumps(document).encode()
        return await self.call_with_bytes(method, path, body)

    async def call_with_bytes(self, method: str, path: str, body: bytes) -> Any:
        """Sends a call with an encoded body; see `call`."""
        content = await self.call_raw(method, path, body)
        if not content:
            return None
        try:
            return json.loads(content)
        except ValueError as error:
            raise errors.AnswerLostError(
                f"{method} {path}: the platform's answer isn't JSON; check "
                "that the address in the settings is the platform's"
            ) from error

    async def call_raw(self, method: str, path: str, body: bytes) -> bytes:
        """Sends a call and returns the answer's body unparsed; see `call`."""
        if self.is_backing_off:
            raise errors.PlatformUnavailableError(
                f"{method} {path}: not sent, the platform failed a moment ago "
                "and is retried after a pause"
            )
        sent = send_tracker.SendTracker()
        try:
            async with self._limiter:
                with anyio.fail_after(self._timeout.total_seconds()):
                    status, content = await self._exchange(
                        method, path, body, sent
                    )
        except send_tracker.EXCHANGE_ERRORS as error:
            self._record_failure()
            raise self._make_error(method, path, sent, error) from error
        if status in (502, 503, 504):
            self._record_failure()
            error_type = (
                errors.PlatformUnavailableError
                if status == 503
                else errors.AnswerLostError
            )
            raise error_type(f"{method} {path}: the platform answered {status}")
        self._backoff = datetime.timedelta()
        if status >= 400:
            text = content[:200].decode(errors="replace")
            raise errors.PlatformRejectedError(
                f"{method} {path}: the platform answered {status}: {text}"
            )
        return content

    async def close(self) -> None:
        """Closes all connections."""
        with contextlib.suppress(Exception):
            await self._pool.close()

    async def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
        sent: send_tracker.SendTracker,
    ) -> tuple[int, bytes]:
        self._metrics.count("platform.calls")
        async with self._pool.stream(
            method,
            self._base_url + path,
            headers=[
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
            content=body,
            extensions={"trace": sent.trace},
        ) as response:
            chunks = bytearray()
            async for chunk in response.aiter_stream():
                chunks += chunk
                if len(chunks) > _MAXIMUM_ANSWER_BYTES:
                    raise httpcore.RemoteProtocolError("answer is too large")
            return response.status, bytes(chunks)

    def _make_error(
        self,
        method: str,
        path: str,
        sent: send_tracker.SendTracker,
        error: Exception,
    ) -> errors.PlatformError:
        reason = type(error).__name__
        if sent.has_started:
            return errors.AnswerLostError(
                f"{method} {path}: sent, but no answer came ({reason})"
            )
        return errors.PlatformUnavailableError(
            f"{method} {path}: the platform at {self._base_url} can't be "
            f"reached ({reason}); check that it runs and the address in the "
            "settings"
        )

    def _record_failure(self) -> None:
        self._metrics.count("platform.failures")
        if self.is_backing_off:
            return
        self._backoff = min(
            max(self._backoff * 2, _INITIAL_BACKOFF), _MAXIMUM_BACKOFF
        )
        pause = self._backoff * self._random.uniform(0.5, 1.0)
        self._backoff_ends_at = self._clock.monotonic() + pause
