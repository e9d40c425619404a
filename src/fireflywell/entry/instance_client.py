"""HTTP exchanges with one instance."""

import datetime

import anyio
import httpcore

from fireflywell import asgi
from fireflywell import connection_pool
from fireflywell import send_tracker
from fireflywell.entry import pause_guard
from fireflywell.entry import tracked_stream
from fireflywell.fleet import instances as instances_lib
from fireflywell.requests import outcomes

RESPONSE_LIMIT_BYTES = 4 * 1024 * 1024
REQUEST_ID_HEADER = "fireflywell-request-id"
_IDLE_TIMEOUT = datetime.timedelta(seconds=15)
_MILLISECOND = datetime.timedelta(milliseconds=1)
# Fields that belong to one connection and are not passed on (RFC 9110, 7.6.1),
# and those that the entry sets itself.
_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "fireflywell-deadline-ms",
        "fireflywell-request-id",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

# Set by the entry alone, so that an endpoint can't imitate an outcome.
_DROPPED_FROM_RESPONSES = (
    _HOP_HEADERS | {outcomes.OUTCOME_HEADER, outcomes.REASON_HEADER}
) - {REQUEST_ID_HEADER}


class InstanceClient:
    """Sends requests to one instance over a bounded set of connections."""

    __slots__ = ("_base", "_guard", "_in_progress", "_instance", "_pool")

    def __init__(
        self,
        instance: instances_lib.Instance,
        guard: pause_guard.SendGuard,
    ) -> None:
        self._instance = instance
        self._guard = guard
        self._base = f"http://{instance.address}:{instance.port}"
        self._in_progress = 0
        self._pool = connection_pool.ConnectionPool(
            instance.connections,
            instance.slots,
            idle_timeout=_IDLE_TIMEOUT,
            backend=tracked_stream.TrackedBackend(),
        )

    @property
    def in_progress(self) -> int:
        """Requests sent and not yet answered."""
        return self._in_progress

    def serves(self, instance: instances_lib.Instance) -> bool:
        """Whether this client's connections fit the instance."""
        own = self._instance
        return (
            own.address == instance.address
            and own.port == instance.port
            and own.slots == instance.slots
            and own.connections == instance.connections
        )

    async def exchange(
        self,
        method: str,
        target: str,
        headers: tuple[asgi.Header, ...],
        body: bytes,
        request_id: str,
        timeout: datetime.timedelta,
        has_deadline: bool,
        check_echo: bool,
    ) -> outcomes.Outcome:
        """Sends one request and reads the whole response.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: Headers of the caller.
            body: Whole body.
            request_id: Sent in `Fireflywell-Request-Id`.
            timeout: Time for the whole exchange.
            has_deadline: Whether the caller waits no longer than `timeout`;
                the instance is then told the remaining time.
            check_echo: Whether the response must carry the request id.

        Returns:
            `Refused` only if no byte was sent.
        """
        progress = tracked_stream.SendProgress(self._guard)
        tracked_stream.CURRENT_PROGRESS.set(progress)
        deadline = timeout if has_deadline else None
        self._in_progress += 1
        try:
            with anyio.fail_after(timeout.total_seconds()):
                answer = await self._send(
                    method,
                    target,
                    self._make_headers(headers, request_id, deadline),
                    body,
                )
        except (
            *send_tracker.EXCHANGE_ERRORS,
            tracked_stream.StaleViewError,
        ) as error:
            return self._explain_failure(progress, error)
        finally:
            self._in_progress -= 1
        if check_echo:
            echoed = asgi.find_header(answer.headers, REQUEST_ID_HEADER)
            if echoed != request_id:
                return outcomes.Unknown(
                    502,
                    f"{self._instance.instance_id} sent the response to "
                    "another request; it was discarded",
                )
        return answer

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.close()

    def _make_headers(
        self,
        headers: tuple[asgi.Header, ...],
        request_id: str,
        deadline: datetime.timedelta | None,
    ) -> list[tuple[str, str]]:
        made = [
            (item.name, item.value)
            for item in headers
            if item.name not in _HOP_HEADERS
        ]
        made.append(("host", self._instance.address))
        made.append((REQUEST_ID_HEADER, request_id))
        if deadline is not None:
            milliseconds = max(1, deadline // _MILLISECOND)
            made.append(("fireflywell-deadline-ms", str(milliseconds)))
        return made

    async def _send(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> outcomes.Answered:
        if body or method not in ("GET", "HEAD"):
            headers.append(("content-length", str(len(body))))
        async with self._pool.stream(
            method,
            self._base + target,
            headers=headers,
            content=body,
        ) as response:
            content = bytearray()
            async for chunk in response.aiter_stream():
                content += chunk
                if len(content) > RESPONSE_LIMIT_BYTES:
                    raise httpcore.RemoteProtocolError(
                        f"the response exceeds {RESPONSE_LIMIT_BYTES} bytes"
                    )
            return outcomes.Answered(
                response.status,
                _decode_headers(response.headers),
                bytes(content),
            )

    def _explain_failure(
        self, progress: tracked_stream.SendProgress, error: Exception
    ) -> outcomes.Outcome:
        name = self._instance.instance_id
        cause = str(error) or type(error).__name__
        if not progress.has_started:
            return outcomes.Refused(
                503,
                f"{name} couldn't be reached ({cause}); nothing was sent",
                datetime.timedelta(seconds=1),
            )
        return outcomes.Unknown(
            504 if isinstance(error, TimeoutError) else 502,
            f"{name} got the request but sent no whole response ({cause})",
        )


def _decode_headers(
    headers: list[tuple[bytes, bytes]],
) -> tuple[asgi.Header, ...]:
    decoded = (
        asgi.Header(name.decode("latin-1").lower(), value.decode("latin-1"))
        for name, value in headers
    )
    return tuple(
        item for item in decoded if item.name not in _DROPPED_FROM_RESPONSES
    )
