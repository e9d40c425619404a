"""Places the waiting units of ready steps on workers."""

import collections
from collections.abc import Sequence
import dataclasses

from fireflywell.scheduling import jobs
from fireflywell.scheduling import overdue_share
from fireflywell.scheduling import ranking
from fireflywell.scheduling import reservations as reservations_lib
from fireflywell.scheduling import workers as workers_lib

# Added to a worker's fit cost if it is on another rack than the step's data.
_OTHER_RACK_COST = 1_000_000


# Added to the fit cost of a spare-pool VM, which is used last so that it is
# empty when it has to move.
_SPARE_POOL_COST = 20_000

# Fit costs, in thousandths of a core: for each unit of the same long-running
# step on the worker and on its rack, for a worker that is due for maintenance,
# and for each filling unit on the worker of a filling unit.
_SAME_WORKER_COST = 200_000
_SAME_RACK_COST = 40_000
_MAINTENANCE_DUE_COST = 100_000
_FILLING_COST = 4_000


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Decision to start a unit on a worker.

    Attributes:
        unit: The unit.
        worker: The worker that it starts on.
    """

    unit: jobs.Unit
    worker: workers_lib.Worker


@dataclasses.dataclass(frozen=True, slots=True)
class RankedStep:
    """A ready step with its sort key."""

    rank: ranking.Rank
    step: jobs.StepOccurrence


def place_units(
    ranked: Sequence[RankedStep],
    workers: Sequence[workers_lib.Worker],
    now_s: float,
    limit: int,
    reservations: reservations_lib.Reservations,
    share: overdue_share.OverdueShare,
) -> list[Placement]:
    """Places waiting units, those of the best rank first.

    A share of the capacity goes to the overdue steps, the oldest first. The
    workers aren't changed: the caller must add a run to the worker for each
    placement.

    Args:
        ranked: Ready steps, sorted by rank.
        workers: Workers of the service.
        now_s: Monotonic time.
        limit: Maximum number of placements. A gang that starts below it may
            exceed it.
        reservations: Reservations of this pass, empty at first.
        share: Share of the overdue steps, which is updated.

    Returns:
        The placements in their order.
    """
    usable = [worker for worker in workers if worker.accepts_runs(now_s)]
    planning_pass = _PlanningPass(
        ranked, usable, now_s, limit, reservations, share
    )
    for item in ranked:
        planning_pass.place_step(item)
    return planning_pass.placements


class _PlanningPass:
    """Placements and reservations of one pass over the ready steps."""

    __slots__ = (
        "_capacity",
        "_is_turn_over",
        "_limit",
        "_now_s",
        "_overdue",
        "_placed_counts",
        "_reservations",
        "_share",
        "_usable",
        "placements",
    )

    def __init__(
        self,
        ranked: Sequence[RankedStep],
        usable: Sequence[workers_lib.Worker],
        now_s: float,
        limit: int,
        reservations: reservations_lib.Reservations,
        share: overdue_share.OverdueShare,
    ) -> None:
        self._usable = usable
        self._now_s = now_s
        self._limit = limit
        self._share = share
        self._capacity = _RemainingCapacity(usable)
        self._reservations = reservations
        self._placed_counts: collections.Counter[str] = collections.Counter()
        # Overdue steps that may have a turn in this pass, oldest first.
        self._overdue = collections.deque(
            sorted(
                (
                    item
                    for item in ranked
                    if item.rank.band is ranking.Band.OVERDUE
                ),
                key=lambda item: item.rank.arrived_s,
            )
        )
        # Whether the step whose turn it is waits for its reserved workers.
        self._is_turn_over = False
        self.placements: list[Placement] = []

    @property
    def _is_full(self) -> bool:
        return len(self.placements) >= self._limit

    def place_step(self, item: RankedStep) -> None:
        """Places the units of a step, with the turns that are due meanwhile."""
        step = item.step
        is_serving = item.rank.band is ranking.Band.SERVING
        while True:
            if not is_serving:
                self._take_turns()
            if self._is_full or not self._list_waiting(step):
                return
            max_units = self._limit - len(self.placements)
            if not is_serving and self._has_overdue:
                max_units = min(
                    max_units, self._share.count_until_due(step.spec)
                )
            count = self._place(step, max_units)
            if not count:
                if reservations_lib.may_reserve(step, item.rank, self._now_s):
                    self._reserve(step)
                return
            if not is_serving:
                self._share.record_other(step.spec, count)

    @property
    def _has_overdue(self) -> bool:
        return bool(self._overdue) and not self._is_turn_over

    def _take_turns(self) -> None:
        """Places units of the oldest overdue steps while their turn is due.

        If the oldest doesn't fit now, it reserves workers and keeps its turn. A
        step that no worker could hold loses it to the next oldest.
        """
        while self._has_overdue and self._share.is_due and not self._is_full:
            step = self._overdue[0].step
            if not self._list_waiting(step):
                self._overdue.popleft()
                continue
            count = self._place(step, 1)
            if count:
                self._share.record_turn(step.spec, count)
            elif self._reserve(step):
                self._is_turn_over = True
            else:
                self._overdue.popleft()

    def _list_waiting(self, step: jobs.StepOccurrence) -> list[jobs.Unit]:
        """Returns the units of a step that this pass hasn't placed."""
        # The last unit is next, because `StepOccurrence.waiting` is a stack.
        count = len(step.waiting) - self._placed_counts[step.key]
        return step.waiting[:count][::-1]

    def _place(self, step: jobs.StepOccurrence, max_units: int) -> int:
        """Places up to `max_units` units of a step, or a whole gang."""
        if not step.spec.is_filling and not self._capacity.has_enough_cpu(step):
            return 0
        units = self._list_waiting(step)
        if step.spec.is_gang:
            chosen = _place_gang(
                step, units, self._usable, self._reservations, self._capacity
            )
        else:
            chosen = _place_singles(
                step,
                units[:max_units],
                self._usable,
                self._reservations,
                self._capacity,
            )
        self._placed_counts[step.key] += len(chosen)
        self.placements.extend(chosen)
        return len(chosen)

    def _reserve(self, step: jobs.StepOccurrence) -> bool:
        if step.spec.is_gang and len(step.waiting) < step.spec.count:
            # The gang can't start before its last run has ended.
            return False
        return self._reservations.reserve(step, self._usable)


class _RemainingCapacity:
    """Free capacity of the workers, less the units placed in this pass."""

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
        """Returns whether any worker has enough free CPU for a unit."""
        return step.spec.demand.cpu_millis <= self._largest_cpu

    def fits(
        self, worker: workers_lib.Worker, step: jobs.StepOccurrence
    ) -> bool:
        """Returns whether a unit fits in addition to this pass's units."""
        return worker.fits(step) and self._free[worker.worker_id].fits(step)

    def compute_fit_cost(
        self, worker: workers_lib.Worker, step: jobs.StepOccurrence
    ) -> int:
        """Returns the cost of a unit on a worker, in thousandths of a core.

        Short units go where the least CPU stays free. Filling and long-running
        units go where the most CPU is free, with costs that spread them.
        """
        free = self._free[worker.worker_id]
        if step.spec.is_filling:
            return -free.cpu + _FILLING_COST * free.filling
        if step.spec.is_long_running:
            # Spreads the units, so that one crash or one maintenance interrupts
            # few of them.
            units_on_worker = free.units_per_step.get(step.key, 0)
            units_on_rack = self._count_in_rack(worker, step)
            is_due = int(worker.is_due_for_maintenance)
            return (
                _SAME_WORKER_COST * units_on_worker
                + _SAME_RACK_COST * units_on_rack
                + _MAINTENANCE_DUE_COST * is_due
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
        """Allocates the resources of one unit on a worker."""
        self._free[worker.worker_id].allocate(step)
        self._largest_cpu = max(free.cpu for free in self._free.values())

    def release(
        self, worker: workers_lib.Worker, step: jobs.StepOccurrence
    ) -> None:
        """Releases the resources that `allocate` took for one unit."""
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
    units: Sequence[jobs.Unit],
    workers: Sequence[workers_lib.Worker],
    reservations: reservations_lib.Reservations,
    capacity: _RemainingCapacity,
) -> list[Placement]:
    placements: list[Placement] = []
    for unit in units:
        worker = _choose_worker(step, workers, reservations, capacity, "")
        if worker is None:
            break
        capacity.allocate(worker, step)
        placements.append(Placement(unit, worker))
    return placements


def _place_gang(
    step: jobs.StepOccurrence,
    units: Sequence[jobs.Unit],
    workers: Sequence[workers_lib.Worker],
    reservations: reservations_lib.Reservations,
    capacity: _RemainingCapacity,
) -> list[Placement]:
    """Places all units of a gang or none.

    A gang with `needs_single_rack` is placed on one rack if it fits there, else
    on any racks.
    """
    if len(units) < step.spec.count:
        return []
    racks = sorted({worker.instance.rack for worker in workers})
    if not step.spec.needs_single_rack:
        racks = []
    for rack in (*racks, ""):
        placements = []
        for unit in units:
            worker = _choose_worker(step, workers, reservations, capacity, rack)
            if worker is None:
                break
            capacity.allocate(worker, step)
            placements.append(Placement(unit, worker))
        if len(placements) == step.spec.count:
            return placements
        for placement in placements:
            capacity.release(placement.worker, step)
    return []


def _choose_worker(
    step: jobs.StepOccurrence,
    workers: Sequence[workers_lib.Worker],
    reservations: reservations_lib.Reservations,
    capacity: _RemainingCapacity,
    only_rack: str,
) -> workers_lib.Worker | None:
    best: workers_lib.Worker | None = None
    best_cost = 0.0
    data_rack = step.spec.preferred_rack
    for worker in workers:
        if only_rack and worker.instance.rack != only_rack:
            continue
        if reservations.is_reserved_for_other(worker, step):
            continue
        if step.job.policy.advice and worker.worker_id not in step.tickets:
            continue
        if not capacity.fits(worker, step):
            continue
        cost = capacity.compute_fit_cost(worker, step) * worker.slow_factor
        if worker.is_from_spare_pool:
            cost += _SPARE_POOL_COST
        if data_rack and worker.instance.rack != data_rack:
            cost += _OTHER_RACK_COST
        if best is None or cost < best_cost:
            best = worker
            best_cost = cost
    return best
