"""Estimates how many VMs a service needs and chooses moves between pools.

Long-running units need VMs only if the pool's own workers can't hold them.
Designed for loads in which one queue after the other demands several times its
mean for some seconds: VMs of the spare pool move to the pool with the peak and
are switched off when there is none.
"""

import collections
from collections.abc import Mapping
import dataclasses
import math

from fireflywell.scheduling import long_running_demand
from fireflywell.scheduling import ranking
from fireflywell.scheduling import service_state

# Arrivals are averaged over this time; with a shorter one, a single large job
# would count as a peak.
_ARRIVAL_WINDOW_S = 1.5

# Time from the order of a VM until it runs units: the move, its registration
# and the connection to it. Rising demand is extrapolated by this time.
_VM_LEAD_TIME_S = 2.2
_MAX_GROWTH_FACTOR = 2.0

# With fewer arrivals in half a window, single jobs dominate the trend.
_MIN_ARRIVALS_FOR_TREND = 12

# Share of a pool's own cores that demand may use before VMs are requested.
_MAX_UTILIZATION = 0.85

# Time for which a higher need is still reported after it has decreased, because
# arrivals vary within a peak.
_DECREASE_DELAY_S = 1.2

# A VM is switched off after its pool hasn't needed it for this time, so that
# switching it off saves more than the two moves cost.
_IDLE_BEFORE_OFF_S = 3.0

# A service without any worker for this time needs a VM. A new owner has found
# its workers by then.
_NO_WORKER_DELAY_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Arrival:
    at_s: float
    core_seconds: float


class DemandEstimator:
    """Estimates how many VMs a service needs beyond those of its own pool."""

    __slots__ = (
        "_arrivals",
        "_empty_since_s",
        "_hold_until_s",
        "_last_need",
        "_missed",
    )

    def __init__(self) -> None:
        self._arrivals: collections.deque[_Arrival] = collections.deque()
        self._last_need = 0
        # Monotonic time since when the service has no worker; None if it has.
        self._empty_since_s: float | None = None
        self._hold_until_s = 0.0
        # Identifiers of active jobs that have missed their objective.
        self._missed: set[str] = set()

    def record_arrival(self, now_s: float, core_seconds: float) -> None:
        """Records an accepted job and its work in core-seconds."""
        self._arrivals.append(_Arrival(now_s, core_seconds))

    def compute_need(
        self, state: service_state.ServiceState, now_s: float
    ) -> int:
        """Returns the number of VMs needed in addition to the pool's own.

        The number rises at once and falls after `_DECREASE_DELAY_S`.
        """
        need = self._compute_current_need(state, now_s)
        if need >= self._last_need:
            self._hold_until_s = now_s + _DECREASE_DELAY_S
            self._last_need = need
        elif now_s > self._hold_until_s:
            self._last_need = need
        return self._last_need

    def _compute_current_need(
        self, state: service_state.ServiceState, now_s: float
    ) -> int:
        arrivals = self._arrivals
        while arrivals and now_s - arrivals[0].at_s > _ARRIVAL_WINDOW_S:
            arrivals.popleft()
        arrival_rate = max(
            sum(a.core_seconds for a in arrivals) / _ARRIVAL_WINDOW_S,
            self._forecast_rate(now_s),
        )
        backlog = self._compute_backlog(state, now_s)
        if self._has_no_worker(state, now_s):
            # The size of a VM isn't known before the first one has come.
            return int(bool(state.jobs))
        lasting = long_running_demand.compute_demand(state, now_s)
        own_cores, vm_cores = _compute_own_cores(state)
        demand_cores = max(arrival_rate, backlog)
        excess_cores = demand_cores - _MAX_UTILIZATION * own_cores
        if excess_cores <= 0 or vm_cores <= 0:
            return lasting.vm_count
        vms = math.ceil((excess_cores + lasting.cores) / vm_cores)
        return max(vms, lasting.vm_count)

    def _has_no_worker(
        self, state: service_state.ServiceState, now_s: float
    ) -> bool:
        if state.workers:
            self._empty_since_s = None
            return False
        if self._empty_since_s is None:
            self._empty_since_s = now_s
        return now_s - self._empty_since_s > _NO_WORKER_DELAY_S

    def _compute_backlog(
        self, state: service_state.ServiceState, now_s: float
    ) -> float:
        """Returns the cores that finish the jobs within their critical paths.

        Jobs that have missed their objective don't count, because more VMs
        don't help them. They stay missed, so that a backlog of thousands of
        them costs no processor time.
        """
        self._missed.intersection_update(state.jobs)
        backlog = 0.0
        for job_id, job in state.jobs.items():
            if job_id in self._missed or job.is_long_running:
                continue
            # Of a recurring job, only what is due needs cores now.
            for steps in job.loaded_occurrences:
                estimate = ranking.estimate_occurrence(steps)
                start_s = ranking.find_objective_start_s(steps[0])
                if now_s - start_s <= estimate.compute_objective_s(job.policy):
                    backlog += estimate.remaining_work / max(
                        0.5, estimate.critical_path_s
                    )
                elif not job.is_recurring:
                    self._missed.add(job_id)
        return backlog

    def _forecast_rate(self, now_s: float) -> float:
        """Returns the expected arrival rate after `_VM_LEAD_TIME_S`.

        The rate is in core-seconds per second, 0 without enough arrivals for a
        trend.
        """
        half_s = _ARRIVAL_WINDOW_S / 2
        recent = [a for a in self._arrivals if now_s - a.at_s <= half_s]
        if len(recent) < _MIN_ARRIVALS_FOR_TREND:
            return 0.0
        later_rate = sum(a.core_seconds for a in recent) / half_s
        total = sum(a.core_seconds for a in self._arrivals)
        earlier_rate = total / half_s - later_rate
        growth = max(0.0, later_rate - earlier_rate) / half_s
        return min(
            later_rate + growth * _VM_LEAD_TIME_S,
            later_rate * _MAX_GROWTH_FACTOR,
        )


def _compute_own_cores(
    state: service_state.ServiceState,
) -> tuple[float, float]:
    """Returns the cores that a pool's own VMs have for short units.

    Returns:
        The cores of all own VMs that can take units, less those of long-running
        units; and the cores of the largest VM of the pool.
    """
    own_cores = 0.0
    largest_vm_cores = 0.0
    for worker in state.workers.values():
        cores = worker.instance.capacity.cpu_millis / 1000
        largest_vm_cores = max(largest_vm_cores, cores)
        if worker.is_from_spare_pool or worker.is_cordoned:
            continue
        if not worker.is_reachable or worker.instance.is_draining:
            continue
        long_running_cpu = sum(
            run.unit.step.spec.demand.cpu_millis
            for run in worker.runs.values()
            if run.unit.step.spec.is_long_running
            and not run.unit.step.spec.is_filling
        )
        own_cores += cores - long_running_cpu / 1000
    return own_cores, largest_vm_cores


@dataclasses.dataclass(frozen=True, slots=True)
class SparePoolVm:
    """A VM that belongs to the spare pool, whichever pool it is in now.

    Attributes:
        name: Identifier.
        pool: Current pool.
        is_movable: Whether it is up and not moving.
        idle_s: Time since its current pool last needed it.
    """

    name: str
    pool: str
    is_movable: bool
    idle_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Decision to move a VM to another pool."""

    name: str
    pool: str


def compute_targets(needs: Mapping[str, int], count: int) -> dict[str, int]:
    """Returns how many spare-pool VMs each pool gets.

    If the needs exceed the VMs, the pools get VMs in proportion to their needs.

    Args:
        needs: Number of VMs needed by each pool.
        count: Total number of spare-pool VMs.
    """
    total = sum(needs.values())
    if total <= count:
        return {pool: need for pool, need in needs.items() if need > 0}
    shares = {pool: need * count / total for pool, need in needs.items()}
    targets = {pool: int(share) for pool, share in shares.items()}
    remainder = count - sum(targets.values())
    by_remainder = sorted(shares, key=lambda p: (targets[p] - shares[p], p))
    for pool in by_remainder[:remainder]:
        targets[pool] += 1
    return {pool: target for pool, target in targets.items() if target > 0}


def choose_moves(
    vms: tuple[SparePoolVm, ...], needs: Mapping[str, int], spare_pool: str
) -> list[Move]:
    """Returns the moves of spare-pool VMs to the pools that need them.

    Args:
        vms: All spare-pool VMs.
        needs: Number of VMs needed by each pool.
        spare_pool: Pool to which unneeded VMs return, where they are off.
    """
    targets = compute_targets(needs, len(vms))
    present: dict[str, int] = {}
    for vm in vms:
        present[vm.pool] = present.get(vm.pool, 0) + 1
    pools_in_need = [
        pool
        for pool, target in sorted(targets.items(), key=lambda i: -i[1])
        for _ in range(target - present.get(pool, 0))
    ]
    surplus = dict(present)
    for pool, target in targets.items():
        surplus[pool] = max(0, surplus.get(pool, 0) - target)
    moves: list[Move] = []
    # VMs that are off come first, because moving them interrupts no work.
    for vm in sorted(vms, key=lambda v: (v.pool != spare_pool, v.name)):
        if not vm.is_movable or surplus.get(vm.pool, 0) <= 0:
            continue
        if pools_in_need:
            moves.append(Move(vm.name, pools_in_need.pop(0)))
        elif vm.pool != spare_pool and vm.idle_s > _IDLE_BEFORE_OFF_S:
            moves.append(Move(vm.name, spare_pool))
        else:
            continue
        surplus[vm.pool] -= 1
    return moves
