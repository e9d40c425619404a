"""Chooses the workers for the units of one step."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from fireflywell.scheduling import reservations as reservations_lib
from fireflywell.scheduling import steps as steps_lib
from fireflywell.scheduling import workers as workers_lib

# Added to a worker's fit cost if it is on another rack than the step's data.
_OTHER_RACK_COST = 1_000_000


# Added to the fit cost of a spare-pool VM, which is used last so that it is
# empty when it has to move.
_SPARE_POOL_COST = 20_000

# Fit cost of a long-running unit on a spare-pool VM, above that of all others.
_LONG_RUNNING_ON_SPARE_COST = 1_000_000_000

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

    unit: steps_lib.Unit
    worker: workers_lib.Worker


class RemainingCapacity:
    """Free capacity of the workers, less the units placed in this pass."""

    __slots__ = ("_free", "_largest_cpu", "_withheld", "_workers")

    def __init__(self, workers: Sequence[workers_lib.Worker]) -> None:
        self._workers = workers
        self._free = {
            worker.worker_id: _FreeResources(worker) for worker in workers
        }
        # Workers that are closed to all steps but one.
        self._withheld: set[str] = set()
        self._largest_cpu = 0
        self._update_largest_cpu()

    def has_enough_cpu(self, step: steps_lib.StepOccurrence) -> bool:
        """Returns whether a worker that isn't withheld may fit a unit."""
        return step.spec.demand.cpu_millis <= self._largest_cpu

    def fits(
        self, worker: workers_lib.Worker, step: steps_lib.StepOccurrence
    ) -> bool:
        """Returns whether a unit fits in addition to this pass's units."""
        return worker.fits(step) and self._free[worker.worker_id].fits(step)

    def compute_fit_cost(
        self, worker: workers_lib.Worker, step: steps_lib.StepOccurrence
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
        self, worker: workers_lib.Worker, step: steps_lib.StepOccurrence
    ) -> int:
        return sum(
            self._free[other.worker_id].units_per_step.get(step.key, 0)
            for other in self._workers
            if other.instance.rack == worker.instance.rack
        )

    def allocate(
        self, worker: workers_lib.Worker, step: steps_lib.StepOccurrence
    ) -> None:
        """Allocates the resources of one unit on a worker."""
        self._free[worker.worker_id].allocate(step)
        self._update_largest_cpu()

    def release(
        self, worker: workers_lib.Worker, step: steps_lib.StepOccurrence
    ) -> None:
        """Releases the resources that `allocate` took for one unit."""
        self._free[worker.worker_id].release(step)
        self._update_largest_cpu()

    def withhold(self, workers: Sequence[workers_lib.Worker]) -> None:
        """Leaves workers out of `has_enough_cpu`, which saves their search."""
        self._withheld.update(worker.worker_id for worker in workers)
        self._update_largest_cpu()

    def _update_largest_cpu(self) -> None:
        self._largest_cpu = max(
            (
                free.cpu
                for worker_id, free in self._free.items()
                if worker_id not in self._withheld
            ),
            default=0,
        )


class _FreeResources:
    __slots__ = (
        "accelerators",
        "cpu",
        "filling",
        "memory",
        "open_starts",
        "units_per_step",
    )

    def __init__(self, worker: workers_lib.Worker) -> None:
        self.cpu = worker.free_cpu
        self.memory = worker.free_memory
        self.accelerators = worker.free_accelerators
        self.filling = worker.filling_units
        self.units_per_step = dict(worker.units_per_step)
        self.open_starts = worker.open_starts

    def fits(self, step: steps_lib.StepOccurrence) -> bool:
        spec = step.spec
        demand = spec.demand
        # A gang is placed as a whole, so its units may exceed the limit.
        if self.open_starts >= workers_lib.MAX_OPEN_STARTS and not spec.is_gang:
            return False
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

    def allocate(self, step: steps_lib.StepOccurrence) -> None:
        self._change(step, -1)

    def release(self, step: steps_lib.StepOccurrence) -> None:
        self._change(step, 1)

    def _change(self, step: steps_lib.StepOccurrence, sign: int) -> None:
        demand = step.spec.demand
        if step.spec.is_filling:
            self.filling -= sign
        else:
            self.cpu += sign * demand.cpu_millis
        self.memory += sign * demand.memory_mb
        self.accelerators += sign * demand.accelerators
        self.open_starts -= sign
        self.units_per_step[step.key] = (
            self.units_per_step.get(step.key, 0) - sign
        )


def place_singles(
    step: steps_lib.StepOccurrence,
    units: Iterator[steps_lib.Unit],
    limit: int,
    workers: Sequence[workers_lib.Worker],
    reservations: reservations_lib.Reservations,
    capacity: RemainingCapacity,
) -> list[Placement]:
    """Places units of a step one by one until one doesn't fit.

    Args:
        step: The step.
        units: Its waiting units, of which as many are taken as fit.
        limit: Number of units to place at most.
        workers: Workers that may get them.
        reservations: Reservations of this pass.
        capacity: Free capacity, which is updated.
    """
    placements: list[Placement] = []
    while len(placements) < limit:
        worker = _choose_worker(step, workers, reservations, capacity, "")
        if worker is None:
            break
        capacity.allocate(worker, step)
        placements.append(Placement(next(units), worker))
    return placements


def place_gang(
    step: steps_lib.StepOccurrence,
    units: Iterator[steps_lib.Unit],
    workers: Sequence[workers_lib.Worker],
    reservations: reservations_lib.Reservations,
    capacity: RemainingCapacity,
) -> list[Placement]:
    """Places all units of a gang, which all wait, or none.

    A gang with `needs_single_rack` is placed on one rack if it fits there, else
    on any racks.
    """
    racks = sorted({worker.instance.rack for worker in workers})
    if not step.spec.needs_single_rack:
        racks = []
    for rack in (*racks, ""):
        chosen: list[workers_lib.Worker] = []
        while len(chosen) < step.spec.count:
            worker = _choose_worker(step, workers, reservations, capacity, rack)
            if worker is None:
                break
            capacity.allocate(worker, step)
            chosen.append(worker)
        if len(chosen) == step.spec.count:
            return [Placement(next(units), worker) for worker in chosen]
        for worker in chosen:
            capacity.release(worker, step)
    return []


def _choose_worker(
    step: steps_lib.StepOccurrence,
    workers: Sequence[workers_lib.Worker],
    reservations: reservations_lib.Reservations,
    capacity: RemainingCapacity,
    only_rack: str,
) -> workers_lib.Worker | None:
    best: workers_lib.Worker | None = None
    best_cost = 0.0
    data_rack = step.spec.preferred_rack
    needs_ticket = step.job.policy.advice is not None
    has_reservations = not reservations.is_empty
    for worker in workers:
        if only_rack and worker.instance.rack != only_rack:
            continue
        if has_reservations and reservations.is_closed_to(worker, step):
            continue
        if needs_ticket and worker.worker_id not in step.tickets:
            continue
        if not capacity.fits(worker, step):
            continue
        cost = capacity.compute_fit_cost(worker, step) * worker.slow_factor
        if worker.is_from_spare_pool:
            if step.spec.is_long_running:
                cost = _LONG_RUNNING_ON_SPARE_COST
            else:
                cost += _SPARE_POOL_COST
        if data_rack and worker.instance.rack != data_rack:
            cost += _OTHER_RACK_COST
        if (
            best is None
            or cost < best_cost
            or (
                # VMs leave a pool in the order of their names.
                cost == best_cost == _LONG_RUNNING_ON_SPARE_COST
                and worker.instance.vm_id > best.instance.vm_id
            )
        ):
            best = worker
            best_cost = cost
    return best
