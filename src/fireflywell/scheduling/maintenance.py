"""Maintenance of VMs: drain requests, their phases and choice of workers."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum

from fireflywell.scheduling import model
from fireflywell.scheduling import service_state
from fireflywell.scheduling import steps as steps_lib
from fireflywell.scheduling import workers as workers_lib

# Time to drain a worker, maintain its VM and list its new incarnation.
_MAINTENANCE_CYCLE_S = 4.5

# Share of a service's CPU that must be free on its other workers to drain a
# worker before the deadline requires it.
_MIN_FREE_SHARE = 0.35

# Time from the stop of a long-running unit until it serves on another worker.
_RELOCATION_S = 2.2

# Time before a wave's deadline that isn't scheduled, in reserve for VMs that
# come back late.
_DEADLINE_MARGIN_S = 2.5


class VmState(enum.StrEnum):
    """State of a VM in the platform's VM list."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM as listed by the platform.

    Attributes:
        name: Identifier, which restarts and moves don't change.
        pool: Service that the VM belongs to.
        state: Current state.
        zone: Availability zone.
        labels: Labels, which include the rack.
        capacity: Resources.
        instance_id: Worker on the VM; empty if there is none.
    """

    name: str
    pool: str
    state: VmState
    zone: str
    labels: tuple[str, ...]
    capacity: model.ResourceAmounts
    instance_id: str


class VmRefusal(enum.StrEnum):
    """Why the platform refused an order for a VM."""

    FENCED = "fence"
    BUSY = "busy"  # The VM isn't up, or it is leaving.
    NOT_IN_WAVE = "wave"
    NO_SUCH_VM = "no_such_vm"  # The platform has no VM of this name.
    RATE = "rate"  # Rate limit exceeded; the order was not carried out.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """A request to maintain a group of VMs.

    Attributes:
        number: Number of the wave.
        vm_ids: VMs to maintain.
        duration_s: Time within which all VMs must be maintained.
        max_count: Maximum number of VMs that may be down for it at once.
    """

    number: int
    vm_ids: tuple[str, ...]
    duration_s: float
    max_count: int


class DrainPhase(enum.StrEnum):
    """Phase of a drain request."""

    DUE = "due"  # The owner of the VM's pool may drain it.
    READY = "ready"  # The VM runs no units and gets no new ones.
    DONE = "done"  # The platform has begun the maintenance or the move.


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequest:
    """Request to drain a VM for its maintenance or a move to another pool.

    Attributes:
        vm_id: The VM.
        wave: Number of the wave; 0 for a move.
        phase: Current phase.
        deadline_s: Time at which the wave must be complete, on the store's
            clock.
        max_concurrent: How many VMs of one service may be drained at once.
        target: Pool that the VM moves to; empty for maintenance.
        drained_by_service: Service whose owner has drained the VM; empty
            unless the phase is `READY`.
        drained_by_version: Version of that owner's row, which tells its
            ownership from earlier and later ones.
        begun_waves: Other waves for which the VM's maintenance has begun. A
            later wave may have a lower number.
    """

    vm_id: str
    wave: int
    phase: DrainPhase
    deadline_s: float
    max_concurrent: int
    target: str = ""
    drained_by_service: str = ""
    drained_by_version: int = 0
    begun_waves: tuple[int, ...] = ()

    def has_begun(self, wave: int) -> bool:
        """Returns whether the VM's maintenance for a wave has begun."""
        return wave in self.begun_waves or (
            wave == self.wave and self.phase is DrainPhase.DONE
        )


def choose_workers_to_drain(
    state: service_state.ServiceState,
    requests: tuple[DrainRequest, ...],
    store_now_s: float,
    now_s: float,
) -> list[workers_lib.Worker]:
    """Returns the workers to cordon and drain now.

    A worker is drained while its service has spare capacity, or as late as the
    wave's deadline allows. Workers whose long-running units may only leave a
    few at a time come first, early enough for the last of these units. Workers
    whose VM moves to another pool are drained at once.

    Args:
        state: Jobs and workers of the service.
        requests: Drain requests, including those for VMs of other services.
        store_now_s: Current time on the store's steady clock.
        now_s: Current monotonic time.
    """
    workers_by_vm_id = _map_vms_to_workers(state)
    due = [
        (request, worker)
        for request in requests
        if request.phase is DrainPhase.DUE
        and (worker := workers_by_vm_id.get(request.vm_id)) is not None
        and worker.is_reachable
    ]
    moving_vm_ids = {request.vm_id for request in requests if request.target}
    cordoned = sum(
        worker.is_cordoned and vm_id not in moving_vm_ids
        for vm_id, worker in workers_by_vm_id.items()
    )
    chosen: list[workers_lib.Worker] = []
    relocations = _RelocationPlan(
        worker for request, worker in due if not request.target
    )
    # Workers that must be drained now come first, then those with the most free
    # CPU, which take the least time to drain.
    due.sort(
        key=lambda item: (
            not relocations.must_drain_now(
                item[1], item[0].deadline_s - store_now_s
            ),
            -item[1].free_cpu,
        )
    )
    waiting = sum(1 for item in due if not item[0].target)
    for request, worker in due:
        if worker.is_cordoned:
            continue
        if request.target:
            chosen.append(worker)
            continue
        if cordoned + len(chosen) >= request.max_concurrent:
            break
        remaining_rounds = -(-waiting // max(1, request.max_concurrent))
        latest_start_s = (
            request.deadline_s
            - remaining_rounds * _MAINTENANCE_CYCLE_S
            - _DEADLINE_MARGIN_S
        )
        left_s = request.deadline_s - store_now_s
        if (
            store_now_s >= latest_start_s
            or relocations.must_drain_now(worker, left_s)
            or _has_capacity_without(state, worker, now_s)
        ):
            chosen.append(worker)
            relocations.record_cordoned(worker)
    return chosen


def _map_vms_to_workers(
    state: service_state.ServiceState,
) -> dict[str, workers_lib.Worker]:
    """Returns the current worker of each VM by the VM's identifier.

    After its maintenance, a VM has a new worker, while its former worker stays
    listed for some seconds; the reachable one is returned.
    """
    by_reachability = sorted(
        state.workers.values(), key=lambda item: item.is_reachable
    )
    return {worker.instance.vm_id: worker for worker in by_reachability}


class _RelocationPlan:
    """Counts the long-running units that maintenance moves, by step.

    Only units of steps that limit how many may be interrupted at a time count.
    """

    __slots__ = ("_units_leaving", "_units_to_move")

    def __init__(self, due: Iterable[workers_lib.Worker]) -> None:
        # Units on workers that are due, and those of them on cordoned workers,
        # by step.
        self._units_to_move: collections.Counter[str] = collections.Counter()
        self._units_leaving: collections.Counter[str] = collections.Counter()
        for worker in due:
            for step in _iterate_limited_steps(worker):
                self._units_to_move[step.key] += 1
            if worker.is_cordoned:
                self.record_cordoned(worker)

    def record_cordoned(self, worker: workers_lib.Worker) -> None:
        """Counts the units of a cordoned worker as leaving."""
        for step in _iterate_limited_steps(worker):
            self._units_leaving[step.key] += 1

    def must_drain_now(self, worker: workers_lib.Worker, left_s: float) -> bool:
        """Returns whether a worker must be drained now to meet the deadline.

        That is so if one of its units may leave now, and the units of its step
        would be late if they began to leave later.

        Args:
            worker: A worker that is due for maintenance.
            left_s: Time until the wave's deadline.
        """
        for step in _iterate_limited_steps(worker):
            max_unavailable = step.spec.may_be_away
            if self._units_leaving[step.key] >= max_unavailable:
                continue
            remaining_rounds = -(
                -self._units_to_move[step.key] // max_unavailable
            )
            if (
                left_s
                <= remaining_rounds * _RELOCATION_S
                + _MAINTENANCE_CYCLE_S
                + _DEADLINE_MARGIN_S
            ):
                return True
        return False


def _iterate_limited_steps(
    worker: workers_lib.Worker,
) -> Iterator[steps_lib.StepOccurrence]:
    """Yields the step of each long-running unit with `may_be_away` set.

    A step with several units on the worker is yielded for each of them.
    """
    for run in worker.runs.values():
        step = run.unit.step
        if step.spec.is_long_running and step.spec.may_be_away:
            yield step


def _has_capacity_without(
    state: service_state.ServiceState, worker: workers_lib.Worker, now_s: float
) -> bool:
    if any(
        not step.spec.is_long_running for step in state.list_waiting_steps()
    ):
        return False
    others = [
        item
        for item in state.workers.values()
        if item is not worker and item.accepts_runs(now_s)
    ]
    free_cpu = sum(item.free_cpu for item in others)
    total_cpu = sum(
        item.instance.capacity.cpu_millis for item in state.workers.values()
    )
    return total_cpu > 0 and free_cpu >= _MIN_FREE_SHARE * total_cpu
