"""Demand tracking: pool sizes follow lasting shifts but not short peaks."""

import dataclasses
import datetime
import math

from fireflywell.bundle import model
from fireflywell.fleet import instances as instances_lib

# Half-life of the moving average of demand. Queues peak at five times their
# mean for some seconds, one after the other; such a peak changes an average
# with a half-life of half an hour by less than one VM.
SMOOTHING = datetime.timedelta(minutes=30)
# VMs move only after a shift of demand has lasted this long.
HOLD = datetime.timedelta(minutes=30)
# Sustained load of a VM as a fraction of its slots. The rest absorbs peaks and
# the loss of a failure domain.
TARGET_UTILISATION = 0.6
# A pool releases a VM only if its demand fits into this fraction of the smaller
# pool's target load, so that a pool near a boundary doesn't oscillate.
GIVE_UP_FACTOR = 0.85
# A pool grows only if its demand exceeds its size by this fraction of a VM.
GROW_MARGIN_VMS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class PoolDemand:
    """Demand on one pool in one observation.

    Attributes:
        pool: Name of the pool.
        busy_vms: Work in progress and queued, in units of one VM's capacity.
    """

    pool: str
    busy_vms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceUse:
    """Use of a service, summed over the reports of all entries.

    Attributes:
        service: Name of the service.
        free_slots: Free slots of all its instances.
        queued: Requests that wait at all entries.
    """

    service: str
    free_slots: int
    queued: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoolTarget:
    """Number of VMs that a pool should have."""

    pool: str
    vms: int


@dataclasses.dataclass(slots=True)
class _Trend:
    """Smoothed demand of a pool and the sizes derived from it.

    Attributes:
        average: Smoothed demand in units of one VM's capacity.
        candidate: Candidate size, computed from the average.
        candidate_since: Monotonic time of the last change of the candidate.
        adopted: Adopted size: the last candidate that lasted for `HOLD`.
        unsmoothed: Size computed from the latest observation alone.
    """

    average: float
    candidate: int
    candidate_since: datetime.timedelta
    adopted: int
    unsmoothed: int


class DemandTracker:
    """Computes the target size of each pool from observed demand.

    A pool without bounds keeps the target of the bundle. The tracker also
    counts the moves that a planner without smoothing would have made.
    """

    __slots__ = ("_last", "_moves_saved", "_trends")

    def __init__(self) -> None:
        self._trends: dict[str, _Trend] = {}
        self._last: datetime.timedelta | None = None
        self._moves_saved = 0

    @property
    def moves_saved(self) -> int:
        """Moves that a planner without smoothing would have made so far."""
        return self._moves_saved

    def observe(
        self,
        pools: tuple[model.Pool, ...],
        demands: tuple[PoolDemand, ...],
        now: datetime.timedelta,
    ) -> None:
        """Updates the averages and target sizes with one observation.

        Args:
            pools: Pools of the bundle in force.
            demands: Demand by pool; a pool without an entry is idle.
            now: Monotonic time.
        """
        elapsed = now - self._last if self._last is not None else HOLD * 0
        self._last = now
        observed = {item.pool: item.busy_vms for item in demands}
        for pool in pools:
            busy = observed.get(pool.name, 0.0)
            self._update(pool, busy, elapsed, now)

    def list_targets(
        self, pools: tuple[model.Pool, ...]
    ) -> tuple[PoolTarget, ...]:
        """Returns the current target size of each pool."""
        return tuple(
            PoolTarget(pool.name, self._find_target(pool)) for pool in pools
        )

    def _find_target(self, pool: model.Pool) -> int:
        trend = self._trends.get(pool.name)
        adopted = pool.target_vms if trend is None else trend.adopted
        return _clamp(pool, adopted)

    def _update(
        self,
        pool: model.Pool,
        busy: float,
        elapsed: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        trend = self._trends.get(pool.name)
        if trend is None:
            average = pool.target_vms * TARGET_UTILISATION
            trend = _Trend(
                average, pool.target_vms, now, pool.target_vms, pool.target_vms
            )
            self._trends[pool.name] = trend
        weight = 1.0 - 0.5 ** (elapsed / SMOOTHING)
        trend.average += (busy - trend.average) * weight
        candidate = _choose_size(pool, trend.average, trend.adopted)
        if candidate != trend.candidate:
            trend.candidate, trend.candidate_since = candidate, now
        elif now - trend.candidate_since >= HOLD:
            trend.adopted = candidate
        unsmoothed_size = _clamp(pool, math.ceil(busy / TARGET_UTILISATION))
        # Each VM that joins a pool leaves another one, so only joins count.
        self._moves_saved += max(0, unsmoothed_size - trend.unsmoothed)
        trend.unsmoothed = unsmoothed_size


def measure_demand(
    services: tuple[model.Service, ...],
    instances: tuple[instances_lib.Instance, ...],
    uses: tuple[ServiceUse, ...],
) -> tuple[PoolDemand, ...]:
    """Returns the demand on each pool in units of one VM's capacity.

    Args:
        services: Services of the bundle in force.
        instances: All instances.
        uses: Use of the services; a service without an entry counts as idle.
    """
    use_by_service = {use.service: use for use in uses}
    demands: dict[str, float] = {}
    for service in services:
        use = use_by_service.get(service.name)
        slots = service.slots * sum(
            item.service == service.name for item in instances
        )
        if use is None:
            continue
        busy = max(0, slots - use.free_slots) + use.queued
        vms = busy / service.slots
        demands[service.pool] = demands.get(service.pool, 0.0) + vms
    return tuple(PoolDemand(pool, busy) for pool, busy in demands.items())


def _choose_size(pool: model.Pool, average: float, adopted: int) -> int:
    """Returns the pool size for an average demand.

    Growing and shrinking have different thresholds (hysteresis).
    """
    size = average / TARGET_UTILISATION
    if size > adopted + GROW_MARGIN_VMS:
        return _clamp(pool, math.ceil(size))
    if size <= (adopted - 1) * GIVE_UP_FACTOR:
        return _clamp(pool, adopted - 1)
    return _clamp(pool, adopted)


def _clamp(pool: model.Pool, size: int) -> int:
    """Limits a size to the pool's bounds."""
    lowest = pool.target_vms if pool.minimum_vms is None else pool.minimum_vms
    highest = pool.target_vms if pool.maximum_vms is None else pool.maximum_vms
    return max(lowest, min(highest, size))
