"""HTTP front end of the entry: parses requests and writes outcomes."""

import datetime
import math
import random
import urllib.parse

import anyio

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.entry import dispatcher as dispatcher_lib
from fireflywell.entry import readiness as readiness_lib
from fireflywell.entry import recorded_keys
from fireflywell.entry import request_limiter as request_limiter_lib
from fireflywell.entry import service_admission
from fireflywell.entry import status_page
from fireflywell.requests import classification
from fireflywell.requests import idempotency
from fireflywell.requests import key_ledger
from fireflywell.requests import outcomes
from fireflywell.telemetry import metrics as metrics_lib

HEADER_LIMIT_BYTES = 32 * 1024
BODY_LIMIT_BYTES = 1024 * 1024
BODY_TIMEOUT = datetime.timedelta(seconds=10)
KEYS_PATH = "/fireflywell/keys"
_RETRY_AFTER = datetime.timedelta(seconds=1)


class EntryApplication:
    """ASGI application that callers and the balancer reach."""

    __slots__ = (
        "_clock",
        "_cluster_key",
        "_dispatcher",
        "_limiter",
        "_is_stopping",
        "_ledger",
        "_metrics",
        "_random",
        "_readiness",
        "_status",
    )

    def __init__(
        self,
        readiness: readiness_lib.Readiness,
        dispatcher: dispatcher_lib.Dispatcher,
        ledger: key_ledger.KeyLedger,
        cluster_key: bytes,
        clock: clock_lib.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
        status: status_page.StatusReader,
        limiter: request_limiter_lib.RequestLimiter | None = None,
    ) -> None:
        self._readiness = readiness
        self._dispatcher = dispatcher
        self._ledger = ledger
        self._cluster_key = cluster_key
        self._clock = clock
        self._random = rng
        self._metrics = metrics
        self._status = status
        self._limiter = limiter or request_limiter_lib.RequestLimiter()
        self._is_stopping = False

    @property
    def in_progress(self) -> int:
        """Requests that are being received or served."""
        return self._limiter.requests

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
            case "/fireflywell/status":
                await self._answer_status(send)
            case "/fireflywell/keys":
                await self._issue_keys(scope, send)
            case _:
                await self._serve(scope, receive, send)

    async def _answer_ready(self, send: asgi.Send) -> None:
        reason = self._explain_not_ready()
        status = 503 if reason else 200
        await asgi.send_json(send, status, {"reason": reason})

    async def _answer_status(self, send: asgi.Send) -> None:
        status = self._status.read(self._explain_not_ready(), self._is_stopping)
        await asgi.send_json(send, 200, status_page.encode_status(status))

    def _explain_not_ready(self) -> str:
        if self._is_stopping:
            return "the entry is stopping"
        return self._readiness.explain_not_ready()

    async def _issue_keys(self, scope: asgi.Scope, send: asgi.Send) -> None:
        if scope["method"] != "POST":
            refusal = outcomes.Refused(405, f"use POST {KEYS_PATH}?count=N")
            await send_outcome(send, refusal)
            return
        query = urllib.parse.parse_qs(scope["query_string"].decode("latin-1"))
        text = query.get("count", ["1"])[0]
        is_number = text.isascii() and text.isdigit() and len(text) < 10
        try:
            keys = self._ledger.issue(int(text) if is_number else 0)
        except errors.InvalidKeyError as error:
            await send_outcome(send, outcomes.Refused(400, str(error)))
            return
        texts = [
            idempotency.encode_bound_key(key, self._cluster_key) for key in keys
        ]
        await asgi.send_json(send, 200, {"keys": texts})

    async def _serve(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        received_at = self._clock.monotonic()
        # The server bounds only headers that arrive in parts.
        if count_header_bytes(scope) > HEADER_LIMIT_BYTES:
            refusal = outcomes.Refused(
                431,
                f"the headers exceed {HEADER_LIMIT_BYTES} bytes; send less",
            )
            await send_outcome(send, refusal)
            return
        headers = asgi.decode_headers(scope)
        try:
            key = self._find_key(scope["method"], headers)
        except errors.InvalidKeyError as error:
            await send_outcome(send, outcomes.Refused(400, str(error)))
            return
        size = request_limiter_lib.declare_body_bytes(headers, BODY_LIMIT_BYTES)
        with self._limiter.admit(size) as is_admitted:
            if not is_admitted:
                refusal = outcomes.Refused(
                    503, "the entry holds too many requests", _RETRY_AFTER
                )
                await send_outcome(send, self._refuse_unread(key, refusal))
                return
            body = await self._read_body(receive) if size else b""
            if isinstance(body, outcomes.Refused):
                await send_outcome(send, self._refuse_unread(key, body))
                return
            if body is None:
                self._metrics.count("requests.caller_gone")
                return
            incoming = self._make_incoming(
                scope, headers, body, key, received_at
            )
            result = await self._dispatcher.dispatch(
                incoming, make_gone_watcher(receive)
            )
        match result:
            case outcomes.Withdrawn():
                self._metrics.count("requests.caller_gone")
            case outcome:
                self._metrics.count(f"outcomes.{outcomes.name_kind(outcome)}")
                await send_outcome(send, outcome)

    def _find_key(
        self, method: str, headers: tuple[asgi.Header, ...]
    ) -> idempotency.IdempotencyKey | None:
        if method in classification.SAFE_METHODS:
            return None
        texts = [
            item.value
            for item in headers
            if item.name == idempotency.KEY_HEADER
        ]
        if not texts:
            return None
        if len(texts) > 1:
            raise errors.InvalidKeyError(
                f"{len(texts)} headers Idempotency-Key were sent; send one"
            )
        return idempotency.parse_key(texts[0], self._cluster_key)

    async def _read_body(
        self, receive: asgi.Receive
    ) -> bytes | outcomes.Refused | None:
        """Returns the body, why it is refused, or None if the caller left."""
        try:
            with anyio.fail_after(BODY_TIMEOUT.total_seconds()):
                return await asgi.read_body(receive, BODY_LIMIT_BYTES)
        except asgi.BodyTooLargeError as error:
            return outcomes.Refused(413, str(error))
        except TimeoutError:
            return outcomes.Refused(
                408, "the body didn't arrive in time; send it faster"
            )
        except asgi.CallerDisconnectedError:
            return None

    def _refuse_unread(
        self,
        key: idempotency.IdempotencyKey | None,
        refusal: outcomes.Refused,
    ) -> outcomes.Outcome:
        """Returns the refusal if it is final for the key, else `Unknown`."""
        match key:
            case None:
                return refusal
            case idempotency.BoundKey(
                incarnation=incarnation, sequence=sequence
            ) if (incarnation == self._ledger.incarnation):
                if self._ledger.refuse_unread(sequence, refusal):
                    return refusal
        return recorded_keys.make_not_run_outcome(
            refusal.status, refusal.reason
        )

    def _make_incoming(
        self,
        scope: asgi.Scope,
        headers: tuple[asgi.Header, ...],
        body: bytes,
        key: idempotency.IdempotencyKey | None,
        received_at: datetime.timedelta,
    ) -> classification.IncomingRequest:
        # The path as sent: a decoded one could carry separators.
        path = scope["raw_path"].decode("latin-1")
        service, _, route = path[1:].partition("/")
        query = scope["query_string"].decode("latin-1")
        return classification.IncomingRequest(
            request_id=f"{self._random.getrandbits(64):016x}",
            service=service,
            method=scope["method"],
            target=f"/{route}?{query}" if query else f"/{route}",
            headers=headers,
            body=body,
            key=key,
            received_at=received_at,
        )


def count_header_bytes(scope: asgi.Scope) -> int:
    """Returns the length of a request's target and headers."""
    total = len(scope["raw_path"]) + len(scope["query_string"])
    for name, value in scope["headers"]:
        total += len(name) + len(value)
    return total


def make_gone_watcher(
    receive: asgi.Receive,
) -> service_admission.WaitForDisconnect:
    """Returns a coroutine function that waits until the caller has left."""

    async def wait_for_disconnect() -> None:
        while (await receive())["type"] != "http.disconnect":
            pass

    return wait_for_disconnect


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
