"""Requests tickets for workers from the advice service."""

from collections.abc import Callable
import dataclasses
import datetime
import math

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.node import advice_line
from fireflywell.scheduling import model
from fireflywell.scheduling import service_state
from fireflywell.scheduling import steps as steps_lib
from fireflywell.scheduling import workers as workers_lib
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

# Most workers that the advice service accepts in one call.
_WORKERS_PER_CALL = 100

# A call names fewer workers if the service would take longer than this share of
# a ticket's validity for them, because all steps of the node wait meanwhile.
_LONGEST_CALL_SHARE = 0.5

# Weight of a call in the mean share of workers that are approved, and the least
# share that is assumed.
_APPROVAL_WEIGHT = 0.3
_LEAST_APPROVAL = 0.05

# Tickets are renewed once only this share of their validity is left, or the
# time of this many calls.
_RENEW_SHARE = 0.3
_RENEW_CALLS = 1.25

# Longest time that an answer is assumed to have been on its way, also as a
# share of the tickets' validity.
_ANSWER_DELAY_S = 0.5
_ANSWER_DELAY_SHARE = 0.25

_INTERVAL_S = 0.05
_RETRY_S = 0.25


class AdviceRequester:
    """Requests and renews tickets for one service's waiting steps.

    Makes one call at a time.
    """

    __slots__ = (
        "_approval_share",
        "_chosen",
        "_clock",
        "_line",
        "_metrics",
        "_state",
        "_wake_planner",
    )

    def __init__(
        self,
        state: service_state.ServiceState,
        line: advice_line.AdviceLine,
        clock: clock_lib.Clock,
        wake_planner: Callable[[], None],
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._state = state
        self._line = line
        self._clock = clock
        self._wake_planner = wake_planner
        self._metrics = metrics
        # Mean share of the workers in a call that were approved.
        self._approval_share = 1.0
        # The step of the call that is being made.
        self._chosen: steps_lib.StepOccurrence | None = None

    async def run(self) -> None:
        """Requests tickets for the steps that need them until cancelled."""
        while True:
            if self._find_due_step(self._line.is_free) is None:
                await anyio.sleep(_INTERVAL_S)
                continue
            if not await self._request_tickets():
                await anyio.sleep(_INTERVAL_S)

    def _find_due_step(
        self, is_line_free: bool
    ) -> steps_lib.StepOccurrence | None:
        """Returns the step that needs tickets most.

        Those that fit on a worker now come first, and of them the one whose
        request has been due longest, so that none starves. Tickets for the
        others would often expire before there is room.

        Args:
            is_line_free: Whether no call waits, also of other services. Only
                then the steps that fit on no worker are looked at.
        """
        now_s = self._now_s()
        steps = [
            step
            for step in self._state.list_waiting_steps()
            if step.job.policy.advice is not None
        ]
        if not steps:
            return None
        workers = self._list_workers(now_s)
        chosen: steps_lib.StepOccurrence | None = None
        chosen_since_s = math.inf
        spare: steps_lib.StepOccurrence | None = None
        spare_since_s = math.inf
        for step in steps:
            need = _find_need(step, workers, now_s)
            if need.since_s > now_s:
                continue
            if need.has_room and need.since_s < chosen_since_s:
                chosen, chosen_since_s = step, need.since_s
            elif need.since_s < spare_since_s:
                spare, spare_since_s = step, need.since_s
        if chosen is None and workers and is_line_free:
            return spare
        return chosen

    async def _request_tickets(self) -> bool:
        """Makes one call; returns whether one was made and answered."""
        due_since_s = self._now_s()
        try:
            result = await self._line.call(self._choose_call)
        except errors.PlatformError as error:
            assert self._chosen is not None
            self._metrics.count("node.advice.failed")
            logs.log_event(
                "advice.failed",
                job=self._chosen.job.job_id,
                step=self._chosen.key,
                error=str(error),
            )
            await anyio.sleep(_RETRY_S)
            return False
        if result is None or self._chosen is None:
            return False
        self._apply_advice(self._chosen, result, due_since_s)
        self._wake_planner()
        return True

    def _choose_call(self) -> advice_line.AdviceCall | None:
        """Returns the call to make now that it is this service's turn."""
        step = self._find_due_step(not self._line.has_waiting_calls)
        self._chosen = step
        if step is None:
            return None
        advice = step.job.policy.advice
        assert advice is not None
        now_s = self._now_s()
        # If the call fails, the step is due again after a pause, and other
        # steps come first until then.
        step.advice_due_s = now_s + _RETRY_S
        step.advice_asked_s = now_s
        workers = self._list_workers(now_s)
        if not workers:
            return None
        step.drop_expired_tickets(now_s)
        asked = _choose_workers_to_ask(
            step, workers, advice, self._approval_share
        )
        return advice_line.AdviceCall(step.key, asked, advice)

    def _apply_advice(
        self,
        step: steps_lib.StepOccurrence,
        result: advice_line.AdviceResult,
        due_since_s: float,
    ) -> None:
        call = result.call
        approved = result.advice.approvals
        validity = result.advice.validity or datetime.timedelta(
            seconds=call.policy.validity_s
        )
        validity_s = validity.total_seconds()
        until_s = _estimate_issue_s(result, validity_s) + validity_s
        share = len(approved) / len(call.workers)
        self._approval_share += _APPROVAL_WEIGHT * (
            share - self._approval_share
        )
        for worker_id in call.workers:
            step.tickets.pop(worker_id, None)
        for item in approved:
            step.tickets[item.worker_id] = steps_lib.Ticket(
                item.ticket, until_s
            )
        step.denied_worker_ids.update(set(call.workers) - step.tickets.keys())
        if step.tickets or _are_all_denied(
            step, self._list_workers(result.received_s)
        ):
            lead_s = max(
                validity_s * _RENEW_SHARE, call.handling_s * _RENEW_CALLS
            )
            oldest_s = min(
                (ticket.until_s for ticket in step.tickets.values()),
                default=until_s,
            )
            step.advice_due_s = max(
                result.received_s + _RETRY_S, oldest_s - lead_s
            )
        waited_s = result.sent_s - due_since_s
        took_s = result.received_s - result.sent_s
        self._metrics.record_duration(
            "node.advice.wait", datetime.timedelta(seconds=waited_s)
        )
        self._metrics.record_duration(
            "node.advice.call", datetime.timedelta(seconds=took_s)
        )
        logs.log_event(
            "advice.received",
            job=step.job.job_id,
            step=step.key,
            asked=len(call.workers),
            approved=len(approved),
            waited_s=round(waited_s, 3),
            took_s=round(took_s, 3),
            expected_s=round(call.handling_s, 3),
            valid_s=round(until_s - result.received_s, 3),
        )

    def _list_workers(self, now_s: float) -> list[workers_lib.Worker]:
        return [
            worker
            for worker in self._state.workers.values()
            if worker.accepts_runs(now_s)
        ]

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()


@dataclasses.dataclass(frozen=True, slots=True)
class _Need:
    """When a step needs a request.

    Attributes:
        since_s: Monotonic time since or from which it does.
        has_room: Whether it fits on a worker now.
    """

    since_s: float
    has_room: bool


def _find_need(
    step: steps_lib.StepOccurrence,
    workers: list[workers_lib.Worker],
    now_s: float,
) -> _Need:
    """Returns when a step needs a request.

    It is due at a set time, or at once if it fits only on workers that the last
    calls didn't name.
    """
    # A step that was never asked about is due since it is ready.
    first_s = step.ready_since_s
    if first_s is None:
        first_s = step.job.arrived_s
    due_s = max(step.advice_due_s, first_s)
    has_room = False
    has_untried = False
    for worker in workers:
        if not worker.fits(step):
            continue
        has_room = True
        if step.advice_asked_s == -math.inf:
            # No call has named any worker.
            break
        if step.may_start_on(worker.worker_id, now_s):
            # It starts there in the next planning pass.
            has_untried = False
            break
        if worker.worker_id not in step.denied_worker_ids:
            has_untried = True
    if has_untried:
        due_s = min(due_s, max(first_s, step.advice_asked_s + _RETRY_S))
    return _Need(due_s, has_room)


def _estimate_issue_s(
    result: advice_line.AdviceResult, validity_s: float
) -> float:
    """Returns a monotonic time before which tickets were hardly issued.

    The service issues them when it has decided, which takes as long as its
    policy says from the time at which the call was sent, or longer: a wait at
    the service isn't part of their validity. A worker refuses a start if they
    were issued earlier nevertheless, and they are requested again.
    """
    delay_s = min(_ANSWER_DELAY_S, validity_s * _ANSWER_DELAY_SHARE)
    decided_s = result.sent_s + result.call.handling_s
    return min(result.received_s, max(decided_s, result.received_s - delay_s))


def _choose_workers_to_ask(
    step: steps_lib.StepOccurrence,
    workers: list[workers_lib.Worker],
    advice: model.AdvicePolicy,
    approval_share: float,
) -> tuple[str, ...]:
    """Returns the workers for one call, those with the most free CPU first.

    Those with a ticket that lasts come after those without, and workers that an
    earlier call didn't approve come last, so that each worker of a large
    service is asked about. No more are named than may hold the units that
    wait, unless they take the service little time.
    """
    denied = step.denied_worker_ids
    if _are_all_denied(step, workers):
        denied.clear()
    by_preference = sorted(
        workers,
        key=lambda worker: (
            worker.worker_id in denied,
            worker.worker_id in step.tickets,
            -worker.free_cpu,
        ),
    )
    most = _WORKERS_PER_CALL
    if advice.per_worker_s > 0:
        longest_s = advice.validity_s * _LONGEST_CALL_SHARE
        cheap = int(advice.decision_s / advice.per_worker_s)
        needed = _count_needed(step, by_preference)
        wanted = math.ceil(needed / max(_LEAST_APPROVAL, approval_share))
        most = min(
            most,
            max(1, int(longest_s / advice.per_worker_s)),
            max(1, cheap, wanted),
        )
    return tuple(w.worker_id for w in by_preference[:most])


def _count_needed(
    step: steps_lib.StepOccurrence, workers: list[workers_lib.Worker]
) -> int:
    """Returns how many of the first workers hold the units that wait."""
    missing = step.waiting_count
    for number, worker in enumerate(workers):
        if missing <= 0:
            return number
        missing -= worker.count_fitting(step)
    return len(workers)


def _are_all_denied(
    step: steps_lib.StepOccurrence, workers: list[workers_lib.Worker]
) -> bool:
    return all(worker.worker_id in step.denied_worker_ids for worker in workers)
