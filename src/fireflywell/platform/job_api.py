"""HTTP API through which callers submit, read and cancel jobs."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import datetime
import functools
import json

import anyio

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.node import configuration as configuration_lib
from fireflywell.node import directory as directory_lib
from fireflywell.node import job_frontend
from fireflywell.platform import job_requests
from fireflywell.platform import submission_forwarder
from fireflywell.telemetry import logs

# Used when a request has no valid deadline header.
_DEFAULT_TIMEOUT = datetime.timedelta(seconds=3)

# A read is abandoned after this share of the caller's deadline, so that the
# caller has time to ask another node.
_READ_TIMEOUT_SHARE = 0.7

# A queue is said not to exist (404) only if the configuration was the newest
# one this long ago: an accepted change must be in force within 2 s. A node
# confirms its configuration once a second.
_MAX_CONFIGURATION_AGE = datetime.timedelta(seconds=1.8)

# Value of `retry-after`, in seconds, for refusals that aren't caused by load.
_RETRY_AFTER_S = 1


class JobApi:
    """ASGI application that serves callers' requests about jobs.

    Attributes:
        in_progress: Number of requests being served.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_forwarder",
        "_frontend",
        "in_progress",
    )

    def __init__(
        self,
        frontend: job_frontend.JobFrontend,
        configuration: directory_lib.ConfigurationHolder,
        clock: clock_lib.Clock,
        forwarder: submission_forwarder.SubmissionForwarder | None = None,
    ) -> None:
        self._frontend = frontend
        self._forwarder = forwarder
        self._configuration = configuration
        self._clock = clock
        self.in_progress = 0

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one request; a caller's disconnect ends it silently."""
        self.in_progress += 1
        try:
            await self._serve(scope, receive, send)
        except asgi.CallerDisconnectedError:
            return
        finally:
            self.in_progress -= 1

    async def _serve(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        arrival = job_frontend.Arrival(
            self._frontend.find_arrival_version(),
            functools.partial(asgi.is_caller_connected, receive),
        )
        headers = asgi.decode_headers(scope)
        timeout = _read_timeout(headers)
        try:
            body = await asgi.read_body(receive, self._get_body_limit())
        except asgi.BodyTooLargeError as error:
            await _send_error(send, 413, str(error))
            return
        configuration = self._configuration.current
        path = scope["path"]
        if configuration is None:
            _log_refusal(path, "no configuration yet", 503, None)
            await _send_error(send, 503, "there is no configuration yet")
            return
        host = (asgi.find_header(headers, "host") or "").partition(":")[0]
        route = configuration.find_route(host, path)
        if route is None:
            await self._refuse_unknown_route(host, path, configuration, send)
            return
        job_id = path[len(route.prefix) :]
        try:
            if scope["method"] == "POST" and job_requests.is_job_id(job_id):
                forward = self._make_forward(headers, path, body)
                if _is_forwarded(headers):
                    arrival = job_frontend.UNKNOWN_ARRIVAL
                await self._submit(
                    job_id, route, body, timeout, forward, arrival, send
                )
                return
            await self._handle(scope["method"], job_id, route, timeout, send)
        except errors.PlatformError as error:
            # Only reads propagate this error, so nothing was changed.
            _log_refusal(job_id, str(error), 503, configuration)
            await _send_error(send, 503, "the store can't be reached now")

    async def _handle(
        self,
        method: str,
        job_id: str,
        route: configuration_lib.Route,
        timeout: datetime.timedelta,
        send: asgi.Send,
    ) -> None:
        if not job_id and method == "GET":
            with _bound_read_time(timeout):
                count = await self._frontend.count_waiting(route.policy)
            document = job_requests.encode_waiting(count)
            await asgi.send_json(send, 200, document)
            return
        if not job_requests.is_job_id(job_id):
            await _send_error(
                send, 400, f"{job_id!r} isn't 16 hexadecimal digits"
            )
            return
        match method:
            case "GET":
                await self._send_state(job_id, route, timeout, send)
            case "DELETE":
                await self._cancel(job_id, route, timeout, send)
            case _:
                await _send_error(send, 405, "use POST, GET or DELETE")

    async def _submit(
        self,
        job_id: str,
        route: configuration_lib.Route,
        body: bytes,
        timeout: datetime.timedelta,
        forward: job_frontend.Forward | None,
        arrival: job_frontend.Arrival,
        send: asgi.Send,
    ) -> None:
        try:
            request = job_requests.decode_job(body)
        except errors.MalformedRequestError as error:
            self._log_refusal(job_id, str(error), 400)
            await _send_error(send, 400, str(error))
            return
        started = self._clock.monotonic()
        outcome = await self._frontend.submit(
            job_id, route.policy, request, timeout, forward, arrival
        )
        elapsed = self._clock.monotonic() - started
        match outcome:
            case job_frontend.Accepted(service=""):
                # The node that stored the job has logged it.
                await asgi.send_json(send, 200, {})
            case job_frontend.Accepted(service=service):
                logs.log_event(
                    "job.accepted",
                    job=job_id,
                    queue=route.policy.queue,
                    service=service,
                    configuration=self._get_version(),
                    store_ms=round(elapsed.total_seconds() * 1000, 1),
                )
                await asgi.send_json(send, 200, {})
            case job_frontend.TooLarge(size_bytes=size, limit_bytes=max_bytes):
                text = f"the job takes {size} bytes; at most {max_bytes} fit"
                self._log_refusal(job_id, text, 413)
                await _send_error(send, 413, text)
            case job_frontend.NotStored():
                self._log_refusal(job_id, "the store accepted no writes", 503)
                await _send_error(send, 503, "the store can't be reached now")
            case job_frontend.CancelledBefore():
                text = "the job was cancelled before it was stored"
                self._log_refusal(job_id, text, 503)
                await _send_error(send, 503, f"{text}; submit it again")
            case job_frontend.OutcomeUnknown():
                self._log_refusal(job_id, "the store didn't answer", 504)
                await _send_error(send, 504, "ask again with the same id")

    async def _send_state(
        self,
        job_id: str,
        route: configuration_lib.Route,
        timeout: datetime.timedelta,
        send: asgi.Send,
    ) -> None:
        with _bound_read_time(timeout):
            status = await self._frontend.read_state(job_id, route.policy)
        match status:
            case job_frontend.JobStatus(state=state):
                document = job_requests.encode_state(state)
                await asgi.send_json(send, 200, document)
            case job_frontend.UnknownJob():
                self._log_unknown_job(job_id, route)
                await _send_error(send, 410, "no such job")

    async def _cancel(
        self,
        job_id: str,
        route: configuration_lib.Route,
        timeout: datetime.timedelta,
        send: asgi.Send,
    ) -> None:
        match await self._frontend.cancel(job_id, route.policy, timeout):
            case job_frontend.Cancelled():
                logs.log_event("job.cancelled", job=job_id)
                await asgi.send_json(send, 200, {})
            case job_frontend.UnknownJob():
                self._log_unknown_job(job_id, route)
                await _send_error(send, 410, "no such job")
            case job_frontend.OutcomeUnknown():
                self._log_refusal(job_id, "the store didn't answer", 504)
                await _send_error(send, 504, "ask again")

    def _make_forward(
        self, headers: tuple[asgi.Header, ...], path: str, body: bytes
    ) -> job_frontend.Forward | None:
        """Returns a function that passes a submission on to another node.

        None if another node has passed it on to this one.
        """
        forwarder = self._forwarder
        if forwarder is None or _is_forwarded(headers):
            return None
        host = asgi.find_header(headers, "host") or ""

        async def forward(
            address: str, timeout: datetime.timedelta
        ) -> (
            job_frontend.Accepted
            | job_frontend.NotStored
            | job_frontend.OutcomeUnknown
        ):
            return await forwarder.send(address, host, path, body, timeout)

        return forward

    def _get_body_limit(self) -> int:
        configuration = self._configuration.current
        return configuration.max_body_bytes if configuration else 262144

    def _get_version(self) -> int | None:
        configuration = self._configuration.current
        return configuration.version if configuration else None

    async def _refuse_unknown_route(
        self,
        host: str,
        path: str,
        configuration: configuration_lib.Configuration,
        send: asgi.Send,
    ) -> None:
        confirmed_age = self._configuration.confirmed_age
        is_confirmed = (
            confirmed_age is not None
            and confirmed_age <= _MAX_CONFIGURATION_AGE
        )
        status = 404 if is_confirmed else 503
        # A log event of its own: a flood of other refusals must not use up the
        # log budget of the lines that tell an outdated configuration from an
        # unknown route.
        logs.log_event(
            "route.unknown",
            host=host,
            path=path,
            status=status,
            configuration=configuration.version,
            adopted_s=logs.round_seconds(self._configuration.age),
            confirmed_s=logs.round_seconds(confirmed_age),
        )
        text = (
            "no such queue"
            if is_confirmed
            else "a newer configuration may exist that adds the queue"
        )
        await _send_error(send, status, text)

    def _log_unknown_job(
        self, job_id: str, route: configuration_lib.Route
    ) -> None:
        policy = route.policy
        reason = f"no such job of {policy.queue} in service {policy.service}"
        self._log_refusal(job_id, reason, 410)

    def _log_refusal(self, job_id: str, reason: str, status: int) -> None:
        _log_refusal(job_id, reason, status, self._configuration.current)


class ReadinessApi:
    """ASGI application that serves the load balancer's readiness check."""

    __slots__ = ("_is_ready",)

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Returns status 200 if the node accepts requests, otherwise 503."""
        del scope, receive
        status = 200 if self._is_ready() else 503
        await asgi.send_response(send, status, (), b"")


@contextlib.contextmanager
def _bound_read_time(timeout: datetime.timedelta) -> Iterator[None]:
    """Cancels a read after `_READ_TIMEOUT_SHARE` of the caller's timeout.

    Raises:
        PlatformUnavailableError: The read timed out; nothing was changed.
    """
    try:
        with anyio.fail_after((timeout * _READ_TIMEOUT_SHARE).total_seconds()):
            yield
    except TimeoutError as error:
        raise errors.PlatformUnavailableError(
            "the store didn't answer a read within "
            f"{timeout * _READ_TIMEOUT_SHARE}"
        ) from error


def _log_refusal(
    job_id: str,
    reason: str,
    status: int,
    configuration: configuration_lib.Configuration | None,
) -> None:
    """Logs a refused request."""
    logs.log_event(
        "job.refused",
        job=job_id,
        reason=reason,
        status=status,
        configuration=configuration.version if configuration else None,
    )


def _is_forwarded(headers: tuple[asgi.Header, ...]) -> bool:
    """Returns whether another node has passed a request on."""
    return bool(asgi.find_header(headers, job_requests.FORWARDED_HEADER))


def _read_timeout(headers: tuple[asgi.Header, ...]) -> datetime.timedelta:
    text = asgi.find_header(headers, job_requests.DEADLINE_HEADER)
    if text is None:
        return _DEFAULT_TIMEOUT
    try:
        return datetime.timedelta(milliseconds=max(0.0, float(text)))
    except (ValueError, OverflowError):
        return _DEFAULT_TIMEOUT


async def _send_error(send: asgi.Send, status: int, text: str) -> None:
    headers = [asgi.Header("content-type", "application/json")]
    if status in (429, 503):
        headers.append(asgi.Header("retry-after", str(_RETRY_AFTER_S)))
    body = json.dumps({"error": text}).encode()
    await asgi.send_response(send, status, tuple(headers), body)
