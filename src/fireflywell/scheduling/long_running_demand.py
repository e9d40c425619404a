"""Counts the VMs needed for long-running units that own workers can't hold."""

import collections
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from fireflywell.scheduling import model
from fireflywell.scheduling import service_state
from fireflywell.scheduling import steps as steps_lib
from fireflywell.scheduling import workers as workers_lib

# VMs whose remaining room is kept for units of further steps. A job may have
# more units than all pools together could run.
_MAX_ROOMS = 500

# A unit that waits for a shorter time calls no VM, so that a worker that is
# maintained or restarted has time to come back.
_MIN_WAIT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LongRunningDemand:
    """Demand of the long-running units that own workers can't hold.

    Attributes:
        vm_count: Number of VMs that hold them.
        cores: Their cores in total.
    """

    vm_count: int
    cores: float


def compute_demand(
    state: service_state.ServiceState, now_s: float
) -> LongRunningDemand:
    """Computes the demand of units that wait or run on spare-pool VMs.

    Own workers count with all their capacity but for the long-running units
    there, because short units end. Units that need a label don't call VMs, as
    the labels of the VMs in the spare pool aren't known.
    """
    unplaced = sorted(
        _iterate_unplaced(state, now_s),
        key=lambda item: -item.step.spec.demand.cpu_millis,
    )
    if not unplaced:
        return LongRunningDemand(0, 0.0)
    own = [_Room.of_worker(worker) for worker in _list_own_workers(state)]
    overflow = [
        _Unplaced(item.step, rest)
        for item in unplaced
        if (rest := _add_to_rooms(own, item.step, item.count))
    ]
    vm_capacity = _find_vm_capacity(state)
    if vm_capacity is None:
        return LongRunningDemand(int(bool(overflow)), 0.0)
    vms: list[_Room] = []
    vm_count = 0
    millis = 0
    for item in overflow:
        spec = item.step.spec
        per_vm = _Room(vm_capacity, frozenset()).count_fitting(item.step)
        rest = _add_to_rooms(vms, item.step, item.count)
        if per_vm:
            added = -(-rest // per_vm)
            vm_count += added
            new = [
                _Room(vm_capacity, frozenset())
                for _ in range(min(added, _MAX_ROOMS - len(vms)))
            ]
            _add_to_rooms(new, item.step, rest)
            vms.extend(new)
            rest = 0
        if not spec.is_filling:
            millis += (item.count - rest) * spec.demand.cpu_millis
    return LongRunningDemand(vm_count, millis / 1000)


@dataclasses.dataclass(frozen=True, slots=True)
class _Unplaced:
    """A number of units of a step that no own worker has."""

    step: steps_lib.StepOccurrence
    count: int


class _Room:
    """Capacity that long-running units don't use."""

    __slots__ = ("_accelerators", "_cpu", "_labels", "_memory", "_units")

    def __init__(
        self, capacity: model.ResourceAmounts, labels: frozenset[str]
    ) -> None:
        self._cpu = capacity.cpu_millis
        self._memory = capacity.memory_mb
        self._accelerators = capacity.accelerators
        self._labels = labels
        self._units: collections.Counter[str] = collections.Counter()

    @classmethod
    def of_worker(cls, worker: workers_lib.Worker) -> "_Room":
        """Returns the room on a worker once all short units have ended."""
        labels = frozenset(worker.instance.labels)
        room = cls(worker.instance.capacity, labels)
        for run in worker.runs.values():
            if run.unit.step.spec.is_long_running:
                room.add(run.unit.step)
        return room

    def count_fitting(self, step: steps_lib.StepOccurrence) -> int:
        """Returns how many more units of a step fit."""
        spec = step.spec
        demand = spec.demand
        if spec.required_label and spec.required_label not in self._labels:
            return 0
        amounts = (
            (self._cpu, 0 if spec.is_filling else demand.cpu_millis),
            (self._memory, demand.memory_mb),
            (self._accelerators, demand.accelerators),
        )
        limits = [spec.count]
        limits.extend(free // need for free, need in amounts if need)
        if spec.max_per_worker:
            limits.append(spec.max_per_worker - self._units[step.key])
        return max(0, min(limits))

    def add(self, step: steps_lib.StepOccurrence, count: int = 1) -> None:
        """Adds units of a step."""
        demand = step.spec.demand
        self._cpu -= 0 if step.spec.is_filling else count * demand.cpu_millis
        self._memory -= count * demand.memory_mb
        self._accelerators -= count * demand.accelerators
        self._units[step.key] += count


def _add_to_rooms(
    rooms: Sequence[_Room], step: steps_lib.StepOccurrence, count: int
) -> int:
    """Adds units of a step where they fit; returns how many are left."""
    for room in rooms:
        if not count:
            break
        added = min(count, room.count_fitting(step))
        if added:
            room.add(step, added)
            count -= added
    return count


def _iterate_unplaced(
    state: service_state.ServiceState, now_s: float
) -> Iterator[_Unplaced]:
    """Yields the units of each step that no own worker has."""
    for step in state.list_waiting_steps():
        if not step.spec.is_long_running or step.waiting_since_s is None:
            continue
        if now_s - step.waiting_since_s > _MIN_WAIT_S:
            yield _Unplaced(step, step.waiting_count)
    for worker in state.workers.values():
        if not worker.is_from_spare_pool:
            continue
        for run in worker.runs.values():
            if run.unit.step.spec.is_long_running:
                yield _Unplaced(run.unit.step, 1)


def _list_own_workers(
    state: service_state.ServiceState,
) -> list[workers_lib.Worker]:
    # A worker that is cordoned for its maintenance comes back.
    return [
        worker
        for worker in state.workers.values()
        if not worker.is_from_spare_pool
        and not worker.instance.is_draining
        and (worker.is_reachable or worker.is_cordoned)
    ]


def _find_vm_capacity(
    state: service_state.ServiceState,
) -> model.ResourceAmounts | None:
    """Returns the expected capacity of a spare-pool VM, or None if unknown.

    That is the largest of those in the pool or, without one, of its own VMs.
    """
    capacities = [
        worker.instance.capacity
        for worker in state.workers.values()
        if worker.is_from_spare_pool
    ] or [worker.instance.capacity for worker in state.workers.values()]
    return max(capacities, key=lambda item: item.cpu_millis, default=None)
