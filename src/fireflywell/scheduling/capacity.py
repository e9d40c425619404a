"""How many VMs a service needs, and which VM moves to which pool.

Answers the load in which the queues take turns to ask for several times their
mean for some seconds: VMs of the spare pool follow the peak from pool to pool
and are switched off when there is none.
"""

import collections
from collections.abc import Mapping
import dataclasses
import math

from fireflywell.scheduling import ranking
from fireflywell.scheduling import service_state

# Arrivals are averaged over this time; a shorter one takes a single large job
# for a peak.
_ARRIVAL_WINDOW_S = 1.5

# A VM serves this long after it was asked for: a move, its entry and a
# connection. Demand that rises is met as it will be then.
_VM_LEAD_TIME_S = 2.2
_MAX_GROWTH_FACTOR = 2.0

# With fewer arrivals in half a window, a trend says more of single jobs.
_MIN_ARRIVALS_FOR_TREND = 12

# Share of a pool's own processors that demand may use before VMs are asked.
_MAX_UTILIZATION = 0.85

# A need that has passed is still reported for this long, because arrivals
# within a peak vary.
_DECREASE_DELAY_S = 1.2

# An unneeded VM is switched off after this time. It must save more than the
# two moves cost.
_IDLE_BEFORE_OFF_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrival:
    at_s: float
    core_seconds: float


class DemandEstimator:
    """Estimates how many more VMs a service could use now."""

    __slots__ = ("_arrivals", "_hold_until_s", "_last_need")

    def __init__(self) -> None:
        self._arrivals: collections.deque[_Arrival] = collections.deque()
        self._last_need = 0
        self._hold_until_s = 0.0

    def record_arrival(self, now_s: float, core_seconds: float) -> None:
        """Notes an accepted job."""
        self._arrivals.append(_Arrival(now_s, core_seconds))

    def compute_need(
        self, state: service_state.ServiceState, now_s: float
    ) -> int:
        """Returns the number of VMs wanted beside the pool's own ones."""
        needed = self._compute_current_need(state, now_s)
        if needed >= self._last_need:
            self._hold_until_s = now_s + _DECREASE_DELAY_S
            self._last_need = needed
        elif now_s > self._hold_until_s:
            self._last_need = needed
        return self._last_need

    def _compute_current_need(
        self, state: service_state.ServiceState, now_s: float
    ) -> int:
        arrivals = self._arrivals
        while arrivals and now_s - arrivals[0].at_s > _ARRIVAL_WINDOW_S:
            arrivals.popleft()
        rate = max(
            sum(a.core_seconds for a in arrivals) / _ARRIVAL_WINDOW_S,
            self._forecast_rate(now_s),
        )
        backlog = 0.0
        for job in state.jobs.values():
            if job.is_long_running:
                continue
            critical_path_s = ranking.compute_critical_path_s(
                job, 0, remaining=False
            )
            objective_s = ranking.compute_objective_s(job, 0)
            if now_s - job.arrived_s > objective_s:
                # Too late to gain from more VMs.
                continue
            work = ranking.compute_remaining_work(job)
            backlog += work / max(0.5, critical_path_s)
        own, vm_cores = _compute_own_cores(state)
        demand = max(rate, backlog)
        excess = demand - _MAX_UTILIZATION * own
        if excess <= 0 or vm_cores <= 0:
            return 0
        return math.ceil(excess / vm_cores)

    def _forecast_rate(self, now_s: float) -> float:
        """Returns the rate to expect once a VM ordered now has arrived."""
        half_s = _ARRIVAL_WINDOW_S / 2
        recent = [a for a in self._arrivals if now_s - a.at_s <= half_s]
        if len(recent) < _MIN_ARRIVALS_FOR_TREND:
            return 0.0
        later = sum(a.core_seconds for a in recent) / half_s
        total = sum(a.core_seconds for a in self._arrivals)
        earlier = total / half_s - later
        growth = max(0.0, later - earlier) / half_s
        return min(later + growth * _VM_LEAD_TIME_S, later * _MAX_GROWTH_FACTOR)


def _compute_own_cores(
    state: service_state.ServiceState,
) -> tuple[float, float]:
    """Returns the cores of a pool's own VMs for short units, and of one VM."""
    own = 0.0
    largest = 0.0
    for worker in state.workers.values():
        cores = worker.instance.capacity.cpu_millis / 1000
        largest = max(largest, cores)
        if worker.is_from_spare_pool or worker.is_cordoned:
            continue
        if not worker.is_reachable or worker.instance.is_draining:
            continue
        lasting = sum(
            run.unit.step.spec.demand.cpu_millis
            for run in worker.runs.values()
            if run.unit.step.spec.is_long_running
            and not run.unit.step.spec.is_filling
        )
        own += cores - lasting / 1000
    return own, largest


@dataclasses.dataclass(frozen=True, slots=True)
class SparePoolVm:
    """A VM of the spare pool, wherever it is now.

    Attributes:
        name: Identifier.
        pool: Where it is.
        is_movable: Whether it is up and no move is under way.
        idle_s: For how long its pool has not needed it.
    """

    name: str
    pool: str
    is_movable: bool
    idle_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A VM that is to go to another pool."""

    name: str
    pool: str


def compute_targets(needs: Mapping[str, int], count: int) -> dict[str, int]:
    """Shares spare-pool VMs out over pools, in proportion to their needs.

    Args:
        needs: VMs wanted by each pool.
        count: Spare-pool VMs in all.
    """
    total = sum(needs.values())
    if total <= count:
        return {pool: need for pool, need in needs.items() if need > 0}
    shares = {pool: need * count / total for pool, need in needs.items()}
    targets = {pool: int(share) for pool, share in shares.items()}
    rest = count - sum(targets.values())
    by_rest = sorted(shares, key=lambda p: (targets[p] - shares[p], p))
    for pool in by_rest[:rest]:
        targets[pool] += 1
    return {pool: target for pool, target in targets.items() if target > 0}


def choose_moves(
    vms: tuple[SparePoolVm, ...], needs: Mapping[str, int], spare_pool: str
) -> list[Move]:
    """Returns the moves that bring spare-pool VMs where they are needed.

    Args:
        vms: All spare-pool VMs.
        needs: VMs wanted by each pool.
        spare_pool: Where unneeded VMs are off.
    """
    targets = compute_targets(needs, len(vms))
    present: dict[str, int] = {}
    for vm in vms:
        present[vm.pool] = present.get(vm.pool, 0) + 1
    wanting = [
        pool
        for pool, target in sorted(targets.items(), key=lambda i: -i[1])
        for _ in range(target - present.get(pool, 0))
    ]
    surplus = dict(present)
    for pool, target in targets.items():
        surplus[pool] = max(0, surplus.get(pool, 0) - target)
    moves: list[Move] = []
    # VMs that are off first: they leave no work behind.
    for vm in sorted(vms, key=lambda v: (v.pool != spare_pool, v.name)):
        if not vm.is_movable or surplus.get(vm.pool, 0) <= 0:
            continue
        if wanting:
            moves.append(Move(vm.name, wanting.pop(0)))
        elif vm.pool != spare_pool and vm.idle_s > _IDLE_BEFORE_OFF_S:
            moves.append(Move(vm.name, spare_pool))
        else:
            continue
        surplus[vm.pool] -= 1
    return moves
