"""Workers that are kept free of other work until a step fits on them."""

from collections.abc import Sequence
import dataclasses

from fireflywell.scheduling import model
from fireflywell.scheduling import ranking
from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import steps as steps_lib
from fireflywell.scheduling import workers as workers_lib

# After waiting this long without fitting anywhere, a step reserves the next
# worker that it could fit on, so that small units don't take each freed core.
_RESERVE_AFTER_S = 0.4

# A unit that exceeds its expected duration by more than this is expected to
# take as long again. Callers are promised that work doesn't wait beside free
# workers for 3 s, so no reservation rests on a late unit for longer.
_MAX_OVERRUN_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Hold:
    """Reservation of one worker.

    Attributes:
        step: The step that it is reserved for.
        free_s: Monotonic time at which the step is expected to fit.
    """

    step: steps_lib.StepOccurrence
    free_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _ExpectedEnd:
    """When a run of a short unit is expected to end, and its resources."""

    at_s: float
    spec: model.Step


class Reservations:
    """Workers reserved for one step each during one pass.

    Units that are expected to end before the step fits may still use a
    reserved worker, because they don't delay it.
    """

    __slots__ = ("_ends_by_worker", "_holds", "_now_s")

    def __init__(self, now_s: float = 0.0) -> None:
        self._now_s = now_s
        self._holds: dict[str, _Hold] = {}
        self._ends_by_worker: dict[str, list[_ExpectedEnd]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no worker is reserved."""
        return not self._holds

    def is_closed_to(
        self, worker: workers_lib.Worker, step: steps_lib.StepOccurrence
    ) -> bool:
        """Returns whether a unit would delay the step that holds a worker."""
        hold = self._holds.get(worker.worker_id)
        if hold is None or hold.step is step:
            return False
        duration_s = step.expected_unit_duration_s
        if step.spec.is_long_running or duration_s <= 0:
            return True
        return self._now_s + duration_s >= hold.free_s

    def is_closed(self, worker: workers_lib.Worker) -> bool:
        """Returns whether a worker is closed to all steps but its holder."""
        hold = self._holds.get(worker.worker_id)
        return hold is not None and hold.free_s <= self._now_s

    def find_other_holder(
        self, worker: workers_lib.Worker, step: steps_lib.StepOccurrence
    ) -> steps_lib.StepOccurrence | None:
        """Returns the other step that keeps a step off a worker, or None."""
        if not self.is_closed_to(worker, step):
            return None
        return self._holds[worker.worker_id].step

    def reserve(
        self,
        step: steps_lib.StepOccurrence,
        workers: Sequence[workers_lib.Worker],
    ) -> Sequence[workers_lib.Worker]:
        """Reserves the suitable workers that are expected to be free first.

        That is one worker for a single unit and, for a gang, as many as hold
        all its units once the short units there have ended.

        Returns:
            The reserved workers; none if the step wouldn't fit on them then.
        """
        missing = step.spec.count if step.spec.is_gang else 1
        suitable = [
            (self._expect_room(worker, step), worker)
            for worker in workers
            if not self._is_held_by_other(worker, step)
            and _count_permitted(worker, step) > 0
        ]
        suitable.sort(key=lambda item: _rate(item[1], step, item[0]))
        chosen: list[workers_lib.Worker] = []
        free_s = self._now_s
        for worker_free_s, worker in suitable:
            chosen.append(worker)
            free_s = max(free_s, worker_free_s)
            missing -= worker.count_holdable(step)
            if missing <= 0:
                for item in chosen:
                    self._holds[item.worker_id] = _Hold(step, free_s)
                return chosen
        return ()

    def _is_held_by_other(
        self, worker: workers_lib.Worker, step: steps_lib.StepOccurrence
    ) -> bool:
        hold = self._holds.get(worker.worker_id)
        return hold is not None and hold.step is not step

    def _expect_room(
        self, worker: workers_lib.Worker, step: steps_lib.StepOccurrence
    ) -> float:
        """Returns when a unit of a step is expected to fit on a worker.

        For a gang, that is the end of all short units.
        """
        spec = step.spec
        cpu = 0 if spec.is_filling else spec.demand.cpu_millis
        cpu -= worker.free_cpu
        memory = spec.demand.memory_mb - worker.free_memory
        accelerators = spec.demand.accelerators - worker.free_accelerators
        free_s = self._now_s
        for end in self._list_ends(worker):
            if not spec.is_gang and max(cpu, memory, accelerators) <= 0:
                break
            free_s = end.at_s
            cpu -= 0 if end.spec.is_filling else end.spec.demand.cpu_millis
            memory -= end.spec.demand.memory_mb
            accelerators -= end.spec.demand.accelerators
        return free_s

    def _list_ends(self, worker: workers_lib.Worker) -> list[_ExpectedEnd]:
        ends = self._ends_by_worker.get(worker.worker_id)
        if ends is None:
            ends = [
                _ExpectedEnd(_expect_end(run, self._now_s), run.unit.step.spec)
                for run in worker.runs.values()
                if not run.unit.step.spec.is_long_running
            ]
            ends.sort(key=lambda end: end.at_s)
            self._ends_by_worker[worker.worker_id] = ends
        return ends


def _expect_end(run: runs_lib.Run, now_s: float) -> float:
    end_s = run.started_s + run.unit.step.expected_unit_duration_s
    overrun_s = now_s - end_s
    if overrun_s > _MAX_OVERRUN_S:
        return now_s + overrun_s
    return max(now_s, end_s)


def could_hold(
    step: steps_lib.StepOccurrence, workers: Sequence[workers_lib.Worker]
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
    step: steps_lib.StepOccurrence, rank: ranking.Rank, now_s: float
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
    worker: workers_lib.Worker, step: steps_lib.StepOccurrence
) -> int:
    """Returns how many units may run once all short units have ended."""
    if step.job.policy.advice and worker.worker_id not in step.tickets:
        return 0
    return worker.count_holdable(step)


def _rate(
    worker: workers_lib.Worker, step: steps_lib.StepOccurrence, free_s: float
) -> tuple[bool, float, int]:
    """Returns a sort key of a worker; the smallest is reserved first."""
    spec = step.spec
    # Long-running units keep spare-pool VMs from leaving.
    is_second_choice = spec.is_long_running and worker.is_from_spare_pool
    # Filling units need no CPU of their own.
    free = worker.free_memory if spec.is_filling else worker.free_cpu
    return is_second_choice, free_s, -free
