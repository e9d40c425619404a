"""Takes a classified request through admission, routing and retries."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import datetime
import random
import secrets

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.entry import forwarding
from fireflywell.entry import in_flight_run
from fireflywell.entry import instance_table
from fireflywell.entry import pause_guard
from fireflywell.entry import service_admission
from fireflywell.membership import links as links_lib
from fireflywell.membership import messages
from fireflywell.requests import classification
from fireflywell.requests import outcomes
from fireflywell.requests import retry_budget
from fireflywell.requests import service_queue
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

# A run without a deadline ends here at the latest, so that an instance that
# never answers doesn't hold a slot for good.
_LONGEST_RUN = datetime.timedelta(hours=24)
_ATTEMPTS = 3

RecordIntent = Callable[[], Awaitable[outcomes.Outcome | None]]


class RequestRunner:
    """Runs requests on own instances or on those of another home."""

    __slots__ = (
        "_backoff",
        "_budgets",
        "_clock",
        "_guard",
        "_links",
        "_metrics",
        "_random",
        "_table",
    )

    def __init__(
        self,
        table: instance_table.InstanceTable,
        links: links_lib.PeerLinks,
        guard: pause_guard.SendGuard,
        clock: clock_lib.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._table = table
        self._links = links
        self._guard = guard
        self._clock = clock
        self._random = rng
        self._metrics = metrics
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._backoff = retry_budget.BackoffPolicy()

    async def run(
        self,
        admission: service_admission.ServiceAdmission,
        request: classification.ServiceRequest,
        wait_for_disconnect: service_admission.WaitForDisconnect,
        in_flight: in_flight_run.InFlightRun | None = None,
        record_intent: RecordIntent | None = None,
    ) -> outcomes.RunResult:
        """Runs a request of a caller.

        Args:
            admission: Admission of the request's service.
            request: The request.
            wait_for_disconnect: Returns when the caller has left.
            in_flight: Run that other deliveries may join, if it has a key.
            record_intent: Records the intent to run, once a slot is held;
                returns an outcome if the request must not be sent.
        """
        ticket = _make_ticket(request, request.incoming.request_id)
        self._find_budget(request).note_first_try()
        while True:
            decision = await admission.acquire(
                ticket, wait_for_disconnect, in_flight
            )
            match decision:
                case outcomes.Refused(reason=reason) as refusal:
                    self._log_refusal(request, reason)
                    return refusal
                case outcomes.Withdrawn():
                    self._metrics.count("requests.withdrawn")
                    return decision
            # A caller who leaves, or a lost link to a peer, must not stop a
            # run that can't be repeated, nor the record of its outcome.
            with _protect(request):
                outcome = await self._run_admitted(
                    admission, request, decision, record_intent
                )
            if outcome is not None:
                return outcome

    async def run_forwarded(
        self,
        admission: service_admission.ServiceAdmission,
        request: classification.ServiceRequest,
    ) -> outcomes.Outcome:
        """Runs a request that a peer forwarded, or refuses for lack of room."""
        ticket = _make_ticket(request, secrets.token_hex(8))
        grant = admission.try_acquire(ticket)
        if grant is None:
            return _make_no_room_refusal(request)
        with _protect(request):
            outcome = await self._send_local(admission, request, grant)
        return outcome or _make_no_room_refusal(request)

    async def _run_admitted(
        self,
        admission: service_admission.ServiceAdmission,
        request: classification.ServiceRequest,
        grant: service_admission.Grant,
        record_intent: RecordIntent | None,
    ) -> outcomes.Outcome | None:
        """Returns the outcome; None if the request must queue again."""
        if record_intent is not None:
            try:
                found = await record_intent()
            except BaseException:
                admission.release(grant, succeeded=False, was_sent=False)
                raise
            if found is not None:
                admission.release(grant, succeeded=False, was_sent=False)
                return found
        match grant:
            case service_admission.RemoteGrant():
                outcome = await self._send_remote(admission, request, grant)
            case service_admission.LocalGrant():
                outcome = await self._send_local(admission, request, grant)
        tried = _add_tried(frozenset(), grant)
        for retry in range(1, _ATTEMPTS):
            if outcome is None or not _may_retry(request, outcome):
                return outcome
            if not self._find_budget(request).take_retry():
                self._metrics.count("requests.retry_refused")
                return outcome
            await self._clock.sleep(
                self._backoff.compute_pause(retry, self._random)
            )
            ticket = _make_ticket(request, secrets.token_hex(8))
            another = admission.try_acquire(ticket, tried)
            if another is None or self._is_late(request):
                if another is not None:
                    admission.release(another, succeeded=False, was_sent=False)
                return outcome
            self._metrics.count("requests.retried")
            tried = _add_tried(tried, another)
            latest = await self._send_local(admission, request, another)
            outcome = _combine(outcome, latest)
        return outcome

    async def _send_local(
        self,
        admission: service_admission.ServiceAdmission,
        request: classification.ServiceRequest,
        grant: service_admission.LocalGrant,
    ) -> outcomes.Outcome | None:
        """Sends to an own instance; None if that is no longer allowed."""
        succeeded = was_sent = False
        entry = grant.entry
        try:
            timeout = self._find_timeout(request)
            if self._guard.is_stale:
                with anyio.move_on_after(timeout.total_seconds()):
                    await self._guard.ensure_fresh()
                timeout = self._find_timeout(request)
            if timeout <= datetime.timedelta():
                return _make_late_refusal()
            if not self._table.may_send(entry):
                return None
            self._log_route(request, entry.instance.instance_id)
            outcome = await self._exchange(request, entry, timeout)
            if isinstance(outcome, outcomes.Refused) and self._guard.is_stale:
                return None
            was_sent = not isinstance(outcome, outcomes.Refused)
            succeeded = _is_success(outcome)
            self._table.record_result(entry, succeeded)
            return outcome
        finally:
            admission.release(grant, succeeded, was_sent)

    async def _exchange(
        self,
        request: classification.ServiceRequest,
        entry: instance_table.TrackedInstance,
        timeout: datetime.timedelta,
    ) -> outcomes.Outcome:
        started = self._clock.monotonic()
        incoming = request.incoming
        outcome = await entry.client.exchange(
            incoming.method,
            incoming.target,
            incoming.headers,
            incoming.body,
            incoming.request_id,
            timeout,
            request.deadline is not None,
            request.service.echoes_request_id,
        )
        self._metrics.record_duration(
            f"requests.{request.service.name}.exchange",
            self._clock.monotonic() - started,
        )
        return outcome

    async def _send_remote(
        self,
        admission: service_admission.ServiceAdmission,
        request: classification.ServiceRequest,
        grant: service_admission.RemoteGrant,
    ) -> outcomes.Outcome | None:
        """Forwards to another home; None if it surely didn't run it."""
        succeeded = was_sent = False
        remaining = None
        if request.deadline is not None:
            remaining = request.deadline - self._clock.monotonic()
        message = forwarding.make_request(
            messages.ForwardKind.HOME,
            grant.home.incarnation,
            request.incoming,
            remaining,
        )
        self._log_route(request, grant.home.address)
        try:
            reply = await self._links.forward(grant.home.address, message)
            outcome = forwarding.read_reply(reply)
            if isinstance(outcome, outcomes.Refused):
                admission.mark_full(grant.home)
                if outcome.status in (
                    forwarding.STATUS_NO_ROOM,
                    forwarding.STATUS_OTHER_INCARNATION,
                ):
                    return None
                return outcome
            was_sent = True
            succeeded = _is_success(outcome)
            return outcome
        except errors.PeerUnreachableError:
            admission.mark_full(grant.home)
            return None
        except errors.AnswerLostError as error:
            return outcomes.Unknown(502, str(error))
        finally:
            admission.release(grant, succeeded, was_sent)

    def _find_timeout(
        self, request: classification.ServiceRequest
    ) -> datetime.timedelta:
        if request.deadline is None:
            return _LONGEST_RUN
        return request.deadline - self._clock.monotonic()

    def _is_late(self, request: classification.ServiceRequest) -> bool:
        return self._find_timeout(request) <= datetime.timedelta()

    def _find_budget(
        self, request: classification.ServiceRequest
    ) -> retry_budget.RetryBudget:
        name = request.service.name
        budget = self._budgets.get(name)
        if budget is None:
            budget = self._budgets[name] = retry_budget.RetryBudget()
        return budget

    def _log_route(
        self, request: classification.ServiceRequest, destination: str
    ) -> None:
        waited = self._clock.monotonic() - request.incoming.received_at
        logs.log_event(
            "routing.decision",
            request=request.incoming.request_id,
            service=request.service.name,
            request_class=request.class_name,
            team=request.team,
            destination=destination,
            waited=waited.total_seconds(),
        )

    def _log_refusal(
        self, request: classification.ServiceRequest, reason: str
    ) -> None:
        self._metrics.count(f"requests.{request.service.name}.refused")
        logs.log_event(
            "admission.refused",
            request=request.incoming.request_id,
            service=request.service.name,
            request_class=request.class_name,
            team=request.team,
            reason=reason,
        )


def _protect(
    request: classification.ServiceRequest,
) -> contextlib.AbstractContextManager[object]:
    """Returns a scope that isn't cancelled if the run can't be repeated."""
    if request.is_idempotent:
        return contextlib.nullcontext()
    return anyio.CancelScope(shield=True)


def _make_ticket(
    request: classification.ServiceRequest, ticket_id: str
) -> service_queue.Ticket:
    return service_queue.Ticket(
        ticket_id,
        request.class_name,
        request.team,
        request.route,
        request.incoming.received_at,
        request.deadline,
    )


def _add_tried(
    tried: frozenset[str], grant: service_admission.Grant
) -> frozenset[str]:
    match grant:
        case service_admission.LocalGrant(entry=entry):
            return tried | {entry.instance.instance_id}
        case service_admission.RemoteGrant():
            return tried


def _may_retry(
    request: classification.ServiceRequest, outcome: outcomes.Outcome
) -> bool:
    match outcome:
        case outcomes.Answered():
            return False
        case outcomes.Refused():
            return True
        case outcomes.Unknown():
            return request.is_idempotent


def _combine(
    earlier: outcomes.Outcome, latest: outcomes.Outcome | None
) -> outcomes.Outcome:
    """Returns what is known after two tries of a request."""
    match latest:
        case None:
            return earlier
        case outcomes.Refused() if isinstance(earlier, outcomes.Unknown):
            # The earlier try may have run.
            return earlier
        case _:
            return latest


def _is_success(outcome: outcomes.Outcome) -> bool:
    return isinstance(outcome, outcomes.Answered) and outcome.status < 500


def _make_late_refusal() -> outcomes.Refused:
    return outcomes.Refused(
        503,
        "the deadline passed before the request was sent; it was not run, "
        "allow more time or try again later",
        datetime.timedelta(seconds=1),
    )


def _make_no_room_refusal(
    request: classification.ServiceRequest,
) -> outcomes.Refused:
    return outcomes.Refused(
        forwarding.STATUS_NO_ROOM,
        f"this entry has no free slot of {request.service.name}; it was not "
        "run here",
        datetime.timedelta(seconds=1),
    )
