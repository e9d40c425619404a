"""Maintenance of VMs: requests, their phases, and when to empty a worker."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum

from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import model
from fireflywell.scheduling import service_state
from fireflywell.scheduling import workers as workers_lib

# Time in which a worker is emptied, maintained and listed again.
_MAINTENANCE_CYCLE_S = 4.5

# Work that runs when a worker is reserved may take this long to end; then it
# is stopped if its VM must go.
_DRAIN_GRACE_S = 3.0

# Share of a service's processors that must be free, besides those of the
# worker, to empty it ahead of time.
_MIN_FREE_SHARE = 0.35

# A worker with runs reports about once a second; an older report says nothing
# about what it does now.
_MAX_REPORT_AGE_S = 1.5

_SERVING_PERCENT = 100

# Time from the stop of a long-running unit until it is at work elsewhere.
_RELOCATION_S = 2.2

# Start of the schedule's end, kept for VMs that fail to come back in time.
_DEADLINE_MARGIN_S = 2.5


class VmState(enum.StrEnum):
    """State of a VM in the platform's list."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM as the platform lists it.

    Attributes:
        name: Identifier that stays for good.
        pool: Service that it belongs to.
        state: What it does.
        zone: Availability zone.
        labels: Labels, the rack among them.
        capacity: Resources.
        instance_id: The worker that runs on it; empty if there is none.
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
    BUSY = "busy"  # It isn't up, or it leaves.
    NOT_IN_WAVE = "wave"
    RATE = "rate"  # Too many orders; nothing was done.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Wave:
    """A request that VMs are maintained.

    Attributes:
        number: Number of the wave.
        vm_ids: The VMs.
        duration_s: Time in which all must have had it.
        max_count: Most VMs that may be down for it at once.
    """

    number: int
    vm_ids: tuple[str, ...]
    duration_s: float
    max_count: int


class DrainPhase(enum.StrEnum):
    """How far the maintenance of one VM is."""

    DUE = "due"  # The owner of its pool may empty it.
    READY = "ready"  # Nothing runs on it and nothing will.
    DONE = "done"  # The platform has begun it.


@dataclasses.dataclass(frozen=True, slots=True)
class DrainRequest:
    """Maintenance of one VM in one wave, or its move to another pool.

    Attributes:
        vm_id: The VM.
        wave: Number of the wave; 0 for a move.
        phase: How far it is.
        deadline_s: When the wave must be complete, on the store's clock.
        max_concurrent: How many VMs of one service may be emptied at once.
        target: Pool that the VM moves to; empty for maintenance.
    """

    vm_id: str
    wave: int
    phase: DrainPhase
    deadline_s: float
    max_concurrent: int
    target: str = ""


def choose_workers_to_drain(
    state: service_state.ServiceState,
    requests: tuple[DrainRequest, ...],
    store_now_s: float,
    now_s: float,
) -> list[workers_lib.Worker]:
    """Returns the workers that are to be emptied for maintenance now.

    A worker is emptied while its service has little to do, or as late as the
    wave's deadline allows. Workers with units that may only leave one after the
    other come first, early enough for the last of these units.

    Args:
        state: Jobs and workers of the service.
        requests: Maintenance that is due, for any VM.
        store_now_s: The store's steady clock.
        now_s: Monotonic time.
    """
    by_vm_id = _map_vms_to_workers(state)
    due = [
        (request, worker)
        for request in requests
        if request.phase is DrainPhase.DUE
        and (worker := by_vm_id.get(request.vm_id)) is not None
        and worker.is_reachable
    ]
    moving = {request.vm_id for request in requests if request.target}
    reserved = sum(
        worker.is_cordoned and vm_id not in moving
        for vm_id, worker in by_vm_id.items()
    )
    chosen: list[workers_lib.Worker] = []
    relocations = _RelocationPlan(
        worker for request, worker in due if not request.target
    )
    # The emptiest worker is free soonest.
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
        if reserved + len(chosen) >= request.max_concurrent:
            break
        rounds = -(-waiting // max(1, request.max_concurrent))
        latest_s = (
            request.deadline_s
            - rounds * _MAINTENANCE_CYCLE_S
            - _DEADLINE_MARGIN_S
        )
        left_s = request.deadline_s - store_now_s
        if (
            store_now_s >= latest_s
            or relocations.must_drain_now(worker, left_s)
            or _has_capacity_without(state, worker, now_s)
        ):
            chosen.append(worker)
            relocations.record_cordoned(worker)
    return chosen


def _map_vms_to_workers(
    state: service_state.ServiceState,
) -> dict[str, workers_lib.Worker]:
    """Returns the worker on each VM.

    A VM that is back has a new worker; the former one is listed for a while.
    """
    by_reachability = sorted(
        state.workers.values(), key=lambda item: item.is_reachable
    )
    return {worker.instance.vm_id: worker for worker in by_reachability}


class _RelocationPlan:
    """Long-running units that must leave workers, a few at a time."""

    __slots__ = ("_units_leaving", "_units_to_move")

    def __init__(self, due: Iterable[workers_lib.Worker]) -> None:
        # Units on workers that are due, and those of them on reserved workers,
        # by step.
        self._units_to_move: collections.Counter[str] = collections.Counter()
        self._units_leaving: collections.Counter[str] = collections.Counter()
        for worker in due:
            for step in _iterate_limited_steps(worker):
                self._units_to_move[step.key] += 1
            if worker.is_cordoned:
                self.record_cordoned(worker)

    def record_cordoned(self, worker: workers_lib.Worker) -> None:
        """Notes that the units of a worker leave next."""
        for step in _iterate_limited_steps(worker):
            self._units_leaving[step.key] += 1

    def must_drain_now(self, worker: workers_lib.Worker, left_s: float) -> bool:
        """Returns whether a unit of a worker must leave now.

        Args:
            worker: A worker that is due.
            left_s: Time until the wave's deadline.
        """
        for step in _iterate_limited_steps(worker):
            allowance = step.spec.may_be_away
            if self._units_leaving[step.key] >= allowance:
                continue
            turns = -(-self._units_to_move[step.key] // allowance)
            if (
                left_s
                <= turns * _RELOCATION_S
                + _MAINTENANCE_CYCLE_S
                + _DEADLINE_MARGIN_S
            ):
                return True
        return False


def _iterate_limited_steps(
    worker: workers_lib.Worker,
) -> Iterator[jobs_lib.StepOccurrence]:
    """Yields the step of each unit that may not leave whenever it likes."""
    for run in worker.runs.values():
        step = run.unit.step
        if step.spec.is_long_running and step.spec.may_be_away:
            yield step


def choose_evictions(
    state: service_state.ServiceState,
    worker: workers_lib.Worker,
    cordoned_for_s: float,
    now_s: float,
    *,
    is_move: bool,
) -> list[jobs_lib.Run]:
    """Returns the runs to stop on a worker that is to be emptied.

    Units that end by themselves are given time. Long-running units are
    stopped as their step's allowance permits, since they never end.

    Args:
        state: Jobs and workers of the service.
        worker: The worker.
        waited_s: Time since it was reserved.
        now_s: Monotonic time.
        is_move: Whether the VM moves to another pool; short units may end.
    """
    evicted: list[jobs_lib.Run] = []
    leaving: dict[str, int] = {}
    for run in worker.runs.values():
        if run.phase is not jobs_lib.RunPhase.RUNNING:
            continue
        step = run.unit.step
        if not step.spec.is_long_running:
            if cordoned_for_s > _DRAIN_GRACE_S and not is_move:
                evicted.append(run)
            continue
        away = count_unavailable(state, run.unit, now_s) + leaving.get(
            step.key, 0
        )
        if step.spec.may_be_away and away >= step.spec.may_be_away:
            continue
        leaving[step.key] = leaving.get(step.key, 0) + 1
        evicted.append(run)
    return evicted


def count_unavailable(
    state: service_state.ServiceState, unit: jobs_lib.Unit, now_s: float
) -> int:
    """Returns how many other units of a unit's step aren't at work."""
    return sum(
        other is not unit and not is_serving(state, other, now_s)
        for other in unit.step.units
    )


def is_serving(
    state: service_state.ServiceState, unit: jobs_lib.Unit, now_s: float
) -> bool:
    """Returns whether a long-running unit surely serves its users.

    What a worker said of it counts only for as long as the worker reports.
    """
    for run in unit.runs:
        worker = state.workers.get(run.worker_id)
        if (
            worker is not None
            and worker.is_reachable
            and now_s - worker.reported_s < _MAX_REPORT_AGE_S
            and run.phase is jobs_lib.RunPhase.RUNNING
            and run.percent >= _SERVING_PERCENT
        ):
            return True
    return False


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
    free = sum(item.free_cpu for item in others)
    total = sum(
        item.instance.capacity.cpu_millis for item in state.workers.values()
    )
    return total > 0 and free >= _MIN_FREE_SHARE * total
