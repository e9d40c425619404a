"""Requests tickets for workers from the advice service."""

from collections.abc import Callable
import dataclasses
from typing import Protocol

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import service_state
from fireflywell.scheduling import workers as workers_lib
from fireflywell.telemetry import logs

# Most workers that the advice service accepts in one call.
_WORKERS_PER_CALL = 100

# Tickets are renewed once only this share of their validity is left.
_RENEW_SHARE = 0.3

_INTERVAL_S = 0.05
_RETRY_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Approval:
    """The advice service's permission to run a step on a worker.

    Attributes:
        worker_id: The worker.
        ticket: The ticket that the order to start must carry.
    """

    worker_id: str
    ticket: str


class AdviceClient(Protocol):
    """Calls to the advice service.

    Calls raise `PlatformError` if the service doesn't answer or refuses them
    because too many are waiting.
    """

    async def advise(
        self, step: str, workers: tuple[str, ...]
    ) -> tuple[Approval, ...]:
        """Returns an approval for each given worker that may run the step."""


class AdviceRequester:
    """Requests and renews tickets for one service's waiting steps.

    Makes one call at a time.
    """

    __slots__ = ("_state", "_client", "_clock", "_wake_planner")

    def __init__(
        self,
        state: service_state.ServiceState,
        client: AdviceClient,
        clock: clock_lib.Clock,
        wake_planner: Callable[[], None],
    ) -> None:
        self._state = state
        self._client = client
        self._clock = clock
        self._wake_planner = wake_planner

    async def run(self) -> None:
        """Requests tickets for the steps that need them until cancelled."""
        while True:
            step = self._find_due_step()
            if step is None:
                await anyio.sleep(_INTERVAL_S)
                continue
            try:
                await self._request_tickets(step)
            except errors.PlatformError as error:
                logs.log_event(
                    "advice.failed",
                    job=step.job.job_id,
                    step=step.key,
                    error=str(error),
                )
                await anyio.sleep(_RETRY_S)

    def _find_due_step(self) -> jobs_lib.StepOccurrence | None:
        now_s = self._clock.monotonic().total_seconds()
        due: list[jobs_lib.StepOccurrence] = []
        for step in self._state.list_waiting_steps():
            if step.job.policy.advice is None:
                continue
            if now_s >= step.advice_due_s:
                due.append(step)
        # The step whose request has been due longest, so that none starves.
        return min(due, key=lambda step: step.advice_due_s, default=None)

    async def _request_tickets(self, step: jobs_lib.StepOccurrence) -> None:
        advice = step.job.policy.advice
        assert advice is not None
        now_s = self._clock.monotonic().total_seconds()
        # If the call fails or no worker accepts runs, the step is due again
        # after a pause, and other steps come first until then.
        step.advice_due_s = now_s + _RETRY_S
        workers = [
            worker
            for worker in self._state.workers.values()
            if worker.accepts_runs(now_s)
        ]
        if not workers:
            return
        asked = _choose_workers_to_ask(step, workers)
        approved = await self._client.advise(step.key, asked)
        # Counted from before the call, so that no ticket is used after it has
        # expired.
        step.tickets_until_s = now_s + advice.validity_s
        step.tickets = {item.worker_id: item.ticket for item in approved}
        step.denied_worker_ids.update(set(asked) - step.tickets.keys())
        if step.tickets or _are_all_denied(step, workers):
            step.advice_due_s = now_s + max(
                _RETRY_S, advice.validity_s * (1 - _RENEW_SHARE)
            )
        logs.log_event(
            "advice.received",
            job=step.job.job_id,
            step=step.key,
            asked=len(asked),
            approved=len(approved),
        )
        self._wake_planner()


def _choose_workers_to_ask(
    step: jobs_lib.StepOccurrence, workers: list[workers_lib.Worker]
) -> tuple[str, ...]:
    """Returns the workers for one call, those with the most free CPU first.

    Workers that an earlier call didn't approve come last, so that each worker
    of a large service is asked about.
    """
    denied = step.denied_worker_ids
    if _are_all_denied(step, workers):
        denied.clear()
    by_preference = sorted(
        workers,
        key=lambda worker: (worker.worker_id in denied, -worker.free_cpu),
    )
    return tuple(w.worker_id for w in by_preference[:_WORKERS_PER_CALL])


def _are_all_denied(
    step: jobs_lib.StepOccurrence, workers: list[workers_lib.Worker]
) -> bool:
    return all(worker.worker_id in step.denied_worker_ids for worker in workers)
