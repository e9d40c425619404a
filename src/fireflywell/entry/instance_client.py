"""HTTP exchanges with one instance."""

import datetime

import anyio
import httpcore

from fireflywell import asgi
from fireflywell import send_tracker
from fireflywell.fleet import instances as instances_lib
from fireflywell.requests import outcomes

RESPONSE_LIMIT_BYTES = 4 * 1024 * 1024
REQUEST_ID_HEADER = "fireflywell-request-id"
# Fields that belong to one connection and are not passed on (RFC 9110, 7.6.1).
_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
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


class InstanceClient:
    """Sends requests to one instance over a bounded set of connections."""

    __slots__ = ("_base", "_in_progress", "_instance", "_pool")

    def __init__(self, instance: instances_lib.Instance) -> None:
        self._instance = instance
        self._base = f"http://{instance.address}:{instance.port}"
        self._in_progress = 0
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=instance.connections,
            max_keepalive_connections=instance.slots,
            keepalive_expiry=15.0,
            retries=0,
            network_backend=httpcore.AnyIOBackend(),
        )

    @property
    def in_progress(self) -> int:
        """Requests sent and not yet answered."""
        return self._in_progress

    async def exchange(
        self,
        method: str,
        target: str,
        headers: tuple[asgi.Header, ...],
        body: bytes,
        request_id: str,
        timeout: datetime.timedelta,
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
            check_echo: Whether the response must carry the request id.

        Returns:
            `Refused` only if no byte was sent.
        """
        progress = send_tracker.SendTracker()
        self._in_progress += 1
        try:
            with anyio.fail_after(timeout.total_seconds()):
                answer = await self._send(
                    method, target, headers, body, request_id, progress
                )
        except send_tracker.EXCHANGE_ERRORS as error:
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
        await self._pool.aclose()

    async def _send(
        self,
        method: str,
        target: str,
        headers: tuple[asgi.Header, ...],
        body: bytes,
        request_id: str,
        progress: send_tracker.SendTracker,
    ) -> outcomes.Answered:
        sent = [
            (item.name, item.value)
            for item in headers
            if item.name not in _HOP_HEADERS
        ]
        sent.append(("host", f"{self._instance.address}"))
        sent.append((REQUEST_ID_HEADER, request_id))
        sent.append(("content-length", str(len(body))))
        async with self._pool.stream(
            method,
            self._base + target,
            headers=sent,
            content=body,
            extensions={"trace": progress.trace},
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
        self, progress: send_tracker.SendTracker, error: Exception
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
    return tuple(item for item in decoded if item.name not in _HOP_HEADERS)
