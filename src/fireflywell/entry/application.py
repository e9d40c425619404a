"""HTTP front end of the entry: parses requests and writes outcomes."""

import datetime
import math
import secrets

import anyio

from fireflywell import asgi
from fireflywell.bundle import holder as holder_lib
from fireflywell.entry import dispatcher as dispatcher_lib
from fireflywell.requests import outcomes
from fireflywell.telemetry import metrics as metrics_lib

BODY_LIMIT_BYTES = 1024 * 1024
BODY_TIMEOUT = datetime.timedelta(seconds=10)
DEFAULT_TIMEOUT = datetime.timedelta(minutes=10)


class EntryApplication:
    """ASGI application that callers and the balancer reach."""

    __slots__ = ("_dispatcher", "_holder", "_is_stopping", "_metrics")

    def __init__(
        self,
        holder: holder_lib.BundleHolder,
        dispatcher: dispatcher_lib.Dispatcher,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._holder = holder
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._is_stopping = False

    def stop_being_ready(self) -> None:
        """Tells the balancer to send no more callers."""
        self._is_stopping = True

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one request."""
        match scope["path"]:
            case "/livez":
                await asgi.send_json(send, 200, {})
            case "/readyz":
                await self._answer_ready(send)
            case _:
                await self._serve(scope, receive, send)

    async def _answer_ready(self, send: asgi.Send) -> None:
        reason = self._holder.missing_reason
        if self._is_stopping:
            reason = "the entry is stopping"
        status = 503 if reason else 200
        await asgi.send_json(send, status, {"reason": reason})

    async def _serve(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        try:
            with anyio.fail_after(BODY_TIMEOUT.total_seconds()):
                body = await asgi.read_body(receive, BODY_LIMIT_BYTES)
        except asgi.BodyTooLargeError as error:
            await send_outcome(send, outcomes.Refused(413, str(error)))
            return
        except TimeoutError:
            refusal = outcomes.Refused(
                408, "the body didn't arrive in time; send it faster"
            )
            await send_outcome(send, refusal)
            return
        except asgi.CallerGoneError:
            self._metrics.count("requests.caller_gone")
            return
        await send_outcome(send, await self._decide(scope, body))

    async def _decide(self, scope: asgi.Scope, body: bytes) -> outcomes.Outcome:
        bundle = self._holder.current
        if bundle is None:
            return outcomes.Refused(
                503, self._holder.missing_reason, datetime.timedelta(seconds=1)
            )
        _, _, rest = scope["path"].partition("/")
        name, _, route = rest.partition("/")
        service = bundle.find_service(name)
        if service is None:
            return outcomes.Refused(
                404, f"no service {name!r}; the path starts with its name"
            )
        query = scope["query_string"].decode("latin-1")
        request = dispatcher_lib.ServiceRequest(
            request_id=secrets.token_hex(8),
            service=service,
            method=scope["method"],
            target=f"/{route}?{query}" if query else f"/{route}",
            headers=asgi.decode_headers(scope),
            body=body,
            timeout=DEFAULT_TIMEOUT,
        )
        return await self._dispatcher.dispatch(request)


async def send_outcome(send: asgi.Send, outcome: outcomes.Outcome) -> None:
    """Writes an outcome as an HTTP response."""
    match outcome:
        case outcomes.Answered(status=status, headers=headers, body=body):
            marked = asgi.Header(outcomes.OUTCOME_HEADER, "answered")
            await asgi.send_response(send, status, (*headers, marked), body)
        case outcomes.Refused(status=status, reason=reason) as refusal:
            marked = asgi.Header(outcomes.OUTCOME_HEADER, "refused")
            extra = _make_retry_after(refusal)
            await _send_reason(send, status, (marked, *extra), reason)
        case outcomes.Unknown(status=status, reason=reason):
            marked = asgi.Header(outcomes.OUTCOME_HEADER, "unknown")
            await _send_reason(send, status, (marked,), reason)


def _make_retry_after(refusal: outcomes.Refused) -> tuple[asgi.Header, ...]:
    if refusal.retry_after is None:
        return ()
    seconds = max(1, math.ceil(refusal.retry_after.total_seconds()))
    return (asgi.Header("retry-after", str(seconds)),)


async def _send_reason(
    send: asgi.Send,
    status: int,
    headers: tuple[asgi.Header, ...],
    reason: str,
) -> None:
    plain = asgi.Header("content-type", "text/plain; charset=utf-8")
    body = (reason + "\n").encode()
    await asgi.send_response(send, status, (plain, *headers), body)
