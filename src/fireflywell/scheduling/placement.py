"""Chooses workers for the waiting units of ready steps."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from fireflywell.scheduling import jobs
from fireflywell.scheduling import ranking
from fireflywell.scheduling import workers as workers_lib

# A step that waited this long without fitting anywhere gets the next worker
# that it could fit on, so that small units don't take each freed core from it.
_RESERVE_AFTER_S = 0.4

# Added to a worker's cost of fit when it is on another rack than the data.
_OTHER_RACK_COST = 1_000_000


# A spare-pool VM is used last, so that it is empty when it has to move.
_SPARE_POOL_COST = 20_000

# Costs of fit of a long-running unit beside others of its step and on a worker
# that it would have to leave soon, and of a filling unit beside other filling
# ones, in thousandths of a core.
_SAME_WORKER_COST = 200_000
_SAME_RACK_COST = 40_000
_MAINTENANCE_DUE_COST = 100_000
_FILLING_COST = 4_000


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """A unit that is to start on a worker.

    Attributes:
        unit: The unit.
        worker: Where it starts.
    """

    unit: jobs.Unit
    worker: workers_lib.Worker


@dataclasses.dataclass(frozen=True, slots=True)
class RankedStep:
    """A ready step with its place in the order."""

    rank: ranking.Rank
    step: jobs.StepOccurrence


class Reservations:
    """Workers that are kept for a step during one pass."""

    __slots__ = ("_steps_by_worker",)

    def __init__(self) -> None:
        self._steps_by_worker: dict[str, jobs.StepOccurrence] = {}

    def is_reserved_for_other(
        self, worker: workers_lib.Worker, step: jobs.StepOccurrence
    ) -> bool:
        """Returns whether a worker is kept for another step."""
        holder = self._steps_by_worker.get(worker.worker_id)
        return holder is not None and holder is not step

    def reserve(
        self, worker: workers_lib.Worker, step: jobs.StepOccurrence
    ) -> None:
        """Keeps a worker for a step."""
        self._steps_by_worker.setdefault(worker.worker_id, step)


def place_units(
    ranked: Iterable[RankedStep],
    workers: Sequence[workers_lib.Worker],
    now_s: float,
    limit: int,
) -> list[Placement]:
    """Places waiting units, best rank first.

    The caller must add a run to the worker for each placement: capacity is
    counted here as if that had been done.

    Args:
        ranked: Ready steps in their order.
        workers: Workers of the service.
        now_s: Monotonic time.
        limit: Most placements of one pass.

    Returns:
        The placements in order of rank.
    """
    usable = [worker for worker in workers if worker.accepts_runs(now_s)]
    budget = _RemainingCapacity(usable)
    held = Reservations()
    placements: list[Placement] = []
    for item in ranked:
        if len(placements) >= limit:
            break
        step = item.step
        if not step.waiting:
            continue
        if not step.spec.is_filling and not budget.has_enough_cpu(step):
            _reserve_worker(step, usable, held, now_s, item.rank)
            continue
        if step.spec.is_gang:
            chosen = _place_gang(step, usable, held, budget)
        else:
            room = limit - len(placements)
            chosen = _place_singles(step, usable, held, budget, room)
        placements.extend(chosen)
        if len(chosen) < len(step.waiting):
            _reserve_worker(step, usable, held, now_s, item.rank)
    return placements


class _RemainingCapacity:
    """Free capacity during one pass, less what the pass has placed."""

    __slots__ = ("_free", "_largest_cpu", "_workers")

    def __init__(self, workers: Sequence[workers_lib.Worker]) -> None:
        self._workers = workers
        self._free = {
            worker.worker_id: _FreeResources(worker) for worker in workers
        }
        self._largest_cpu = max(
            (free.cpu for free in self._free.values()), default=0
        )

    def has_enough_cpu(self, step: jobs.StepOccurrence) -> bool:
        """Returns False if no worker has enough free processors."""
        return step.spec.demand.cpu_millis <= self._largest_cpu

    def fits(
        self, worker: workers_lib.Worker, step: jobs.StepOccurrence
    ) -> bool:
        """Returns whether one more unit fits beside this pass's units."""
        return worker.fits(step) and self._free[worker.worker_id].fits(step)

    def compute_fit_cost(
        self, worker: workers_lib.Worker, step: jobs.StepOccurrence
    ) -> int:
        """Returns the processors left free after one more unit."""
        free = self._free[worker.worker_id]
        if step.spec.is_filling:
            return -free.cpu + _FILLING_COST * free.filling
        if step.spec.is_long_running:
            # Spread, so that one crash or maintenance takes few of them away.
            beside = free.units_per_step.get(step.key, 0)
            in_rack = self._count_in_rack(worker, step)
            due = int(worker.is_due_for_maintenance)
            return (
                _SAME_WORKER_COST * beside
                + _SAME_RACK_COST * in_rack
                + _MAINTENANCE_DUE_COST * due
            ) - free.cpu
        return free.cpu - step.spec.demand.cpu_millis

    def _count_in_rack(
        self, worker: workers_lib.Worker, step: jobs.StepOccurrence
    ) -> int:
        return sum(
            self._free[other.worker_id].units_per_step.get(step.key, 0)
            for other in self._workers
            if other.instance.rack == worker.instance.rack
        )

    def allocate(
        self, worker: workers_lib.Worker, step: jobs.StepOccurrence
    ) -> None:
        """Occupies capacity for one unit."""
        self._free[worker.worker_id].allocate(step)
        self._largest_cpu = max(free.cpu for free in self._free.values())

    def release(
        self, worker: workers_lib.Worker, step: jobs.StepOccurrence
    ) -> None:
        """Frees capacity that `take` occupied."""
        self._free[worker.worker_id].release(step)
        self._largest_cpu = max(free.cpu for free in self._free.values())


class _FreeResources:
    __slots__ = ("accelerators", "cpu", "filling", "memory", "units_per_step")

    def __init__(self, worker: workers_lib.Worker) -> None:
        self.cpu = worker.free_cpu
        self.memory = worker.free_memory
        self.accelerators = worker.free_accelerators
        self.filling = sum(
            run.unit.step.spec.is_filling for run in worker.runs.values()
        )
        self.units_per_step = dict(worker.units_per_step)

    def fits(self, step: jobs.StepOccurrence) -> bool:
        spec = step.spec
        demand = spec.demand
        if not spec.is_filling and demand.cpu_millis > self.cpu:
            return False
        if demand.memory_mb > self.memory:
            return False
        if demand.accelerators > self.accelerators:
            return False
        return (
            not spec.max_per_worker
            or self.units_per_step.get(step.key, 0) < spec.max_per_worker
        )

    def allocate(self, step: jobs.StepOccurrence) -> None:
        self._change(step, -1)

    def release(self, step: jobs.StepOccurrence) -> None:
        self._change(step, 1)

    def _change(self, step: jobs.StepOccurrence, sign: int) -> None:
        demand = step.spec.demand
        if step.spec.is_filling:
            self.filling -= sign
        else:
            self.cpu += sign * demand.cpu_millis
        self.memory += sign * demand.memory_mb
        self.accelerators += sign * demand.accelerators
        self.units_per_step[step.key] = (
            self.units_per_step.get(step.key, 0) - sign
        )


def _place_singles(
    step: jobs.StepOccurrence,
    workers: Sequence[workers_lib.Worker],
    held: Reservations,
    budget: _RemainingCapacity,
    room: int,
) -> list[Placement]:
    placements: list[Placement] = []
    # The end of the list is the next unit, as `StepRun.waiting` is a stack.
    for unit in reversed(step.waiting):
        if len(placements) >= room:
            break
        worker = _choose_worker(step, workers, held, budget, "")
        if worker is None:
            break
        budget.allocate(worker, step)
        placements.append(Placement(unit, worker))
    return placements


def _place_gang(
    step: jobs.StepOccurrence,
    workers: Sequence[workers_lib.Worker],
    held: Reservations,
    budget: _RemainingCapacity,
) -> list[Placement]:
    """Places all units of a gang or none, on one rack if that is possible."""
    if len(step.waiting) < step.spec.count:
        return []
    racks = sorted({worker.instance.rack for worker in workers})
    if not step.spec.needs_single_rack:
        racks = []
    for rack in (*racks, ""):
        placements = []
        for unit in reversed(step.waiting):
            worker = _choose_worker(step, workers, held, budget, rack)
            if worker is None:
                break
            budget.allocate(worker, step)
            placements.append(Placement(unit, worker))
        if len(placements) == step.spec.count:
            return placements
        for placement in placements:
            budget.release(placement.worker, step)
    return []


def _choose_worker(
    step: jobs.StepOccurrence,
    workers: Sequence[workers_lib.Worker],
    held: Reservations,
    budget: _RemainingCapacity,
    only_rack: str,
) -> workers_lib.Worker | None:
    best: workers_lib.Worker | None = None
    best_cost = 0.0
    rack = step.spec.preferred_rack
    for worker in workers:
        if only_rack and worker.instance.rack != only_rack:
            continue
        if held.is_reserved_for_other(worker, step):
            continue
        if step.job.policy.advice and worker.worker_id not in step.tickets:
            continue
        if not budget.fits(worker, step):
            continue
        cost = budget.compute_fit_cost(worker, step) * worker.slow_factor
        if worker.is_from_spare_pool:
            cost += _SPARE_POOL_COST
        if rack and worker.instance.rack != rack:
            cost += _OTHER_RACK_COST
        if best is None or cost < best_cost:
            best = worker
            best_cost = cost
    return best


def _reserve_worker(
    step: jobs.StepOccurrence,
    workers: Sequence[workers_lib.Worker],
    held: Reservations,
    now_s: float,
    rank: ranking.Rank,
) -> None:
    """Keeps the emptiest suitable worker for a step that didn't fit."""
    if step.spec.is_filling or step.ready_since_s is None:
        return
    is_urgent = rank.band is ranking.Band.SERVING
    has_waited = now_s - step.ready_since_s > _RESERVE_AFTER_S
    if not is_urgent and not (
        has_waited and rank.band is ranking.Band.FEASIBLE
    ):
        return
    best: workers_lib.Worker | None = None
    for worker in workers:
        if held.is_reserved_for_other(worker, step):
            continue
        if step.spec.max_per_worker and (
            worker.units_per_step.get(step.key, 0) >= step.spec.max_per_worker
        ):
            continue
        label = step.spec.required_label
        if label and label not in worker.instance.labels:
            continue
        if step.job.policy.advice and worker.worker_id not in step.tickets:
            continue
        if not _fits_empty_worker(step, worker):
            continue
        if worker.is_from_spare_pool and step.spec.is_long_running:
            continue
        if best is None or worker.free_cpu > best.free_cpu:
            best = worker
    if best is not None:
        held.reserve(best, step)


def _fits_empty_worker(
    step: jobs.StepOccurrence, worker: workers_lib.Worker
) -> bool:
    demand = step.spec.demand
    capacity = worker.instance.capacity
    return (
        demand.cpu_millis <= capacity.cpu_millis
        and demand.memory_mb <= capacity.memory_mb
        and demand.accelerators <= capacity.accelerators
    )
