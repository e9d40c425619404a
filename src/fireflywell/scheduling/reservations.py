"""Workers that are kept free of other work until a step fits on them."""

from collections.abc import Sequence

from fireflywell.scheduling import jobs
from fireflywell.scheduling import ranking
from fireflywell.scheduling import workers as workers_lib

# After waiting this long without fitting anywhere, a step reserves the next
# worker that it could fit on, so that small units don't take each freed core.
_RESERVE_AFTER_S = 0.4


class Reservations:
    """Workers reserved for one step each during one pass."""

    __slots__ = ("_steps_by_worker",)

    def __init__(self) -> None:
        self._steps_by_worker: dict[str, jobs.StepOccurrence] = {}

    def is_reserved_for_other(
        self, worker: workers_lib.Worker, step: jobs.StepOccurrence
    ) -> bool:
        """Returns whether a worker is reserved for another step."""
        # Most passes reserve nothing.
        return bool(self._steps_by_worker) and (
            self.find_other_holder(worker, step) is not None
        )

    def find_other_holder(
        self, worker: workers_lib.Worker, step: jobs.StepOccurrence
    ) -> jobs.StepOccurrence | None:
        """Returns the other step that a worker is reserved for, or None."""
        holder = self._steps_by_worker.get(worker.worker_id)
        return None if holder is step else holder

    def reserve(
        self, step: jobs.StepOccurrence, workers: Sequence[workers_lib.Worker]
    ) -> Sequence[workers_lib.Worker]:
        """Reserves the suitable workers with the most free capacity.

        That is one worker for a single unit and, for a gang, as many as hold
        all its units once the short units there have ended.

        Returns:
            The reserved workers; none if the step wouldn't fit on them then.
        """
        missing = step.spec.count if step.spec.is_gang else 1
        suitable = [
            worker
            for worker in workers
            if not self.is_reserved_for_other(worker, step)
            and _count_permitted(worker, step) > 0
        ]
        suitable.sort(key=lambda item: _rate(item, step), reverse=True)
        chosen: list[workers_lib.Worker] = []
        for worker in suitable:
            chosen.append(worker)
            missing -= worker.count_holdable(step)
            if missing <= 0:
                for item in chosen:
                    self._steps_by_worker[item.worker_id] = step
                return chosen
        return ()


def could_hold(
    step: jobs.StepOccurrence, workers: Sequence[workers_lib.Worker]
) -> bool:
    """Returns whether a step fits once all short units have ended.

    That is one of its units or a whole gang.
    """
    missing = step.spec.count if step.spec.is_gang else 1
    for worker in workers:
        missing -= _count_permitted(worker, step)
        if missing <= 0:
            return True
    return False


def may_reserve(
    step: jobs.StepOccurrence, rank: ranking.Rank, now_s: float
) -> bool:
    """Returns whether a step that doesn't fit reserves workers by its rank.

    These are long-running steps, and steps that can still meet their objective
    and have waited longer than `_RESERVE_AFTER_S`. Overdue steps reserve
    workers in their turn instead; see `overdue_share`.
    """
    match rank.band:
        case ranking.Band.SERVING:
            return True
        case ranking.Band.FEASIBLE:
            return step.waiting_since_s is not None and (
                now_s - step.waiting_since_s > _RESERVE_AFTER_S
            )
        case _:
            return False


def _count_permitted(
    worker: workers_lib.Worker, step: jobs.StepOccurrence
) -> int:
    """Returns how many units may run once all short units have ended."""
    if step.job.policy.advice and worker.worker_id not in step.tickets:
        return 0
    return worker.count_holdable(step)


def _rate(
    worker: workers_lib.Worker, step: jobs.StepOccurrence
) -> tuple[bool, int]:
    """Returns a sort key of a worker; the largest is reserved first."""
    spec = step.spec
    # Long-running units keep spare-pool VMs from leaving.
    is_preferred = not (spec.is_long_running and worker.is_from_spare_pool)
    # Filling units need no CPU of their own.
    free = worker.free_memory if spec.is_filling else worker.free_cpu
    return is_preferred, free
