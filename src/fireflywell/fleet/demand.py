"""Lasting shifts of demand, told apart from peaks of seconds."""

import dataclasses
import datetime
import math

from fireflywell.bundle import model
from fireflywell.fleet import instances as instances_lib

# Half of a change of demand is followed after this time. Queues ask for five
# times their mean for some seconds in turn; such a peak moves the average of
# half an hour by less than one VM.
SMOOTHING = datetime.timedelta(minutes=30)
# A shift must be seen for this long before VMs move.
HOLD = datetime.timedelta(minutes=30)
# Load that a VM may carry for long, as a part of its slots. The rest takes
# peaks and the loss of a failure domain.
TARGET_UTILISATION = 0.6
# A pool gives a VM up only if its demand would fit into this part of what the
# target allows, so that a pool near a boundary doesn't move VMs to and fro.
GIVE_UP_FACTOR = 0.85
# A pool grows only if its demand exceeds its size by this part of a VM.
GROW_MARGIN_VMS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class PoolDemand:
    """Demand on a pool in one observation.

    Attributes:
        pool: Name of the pool.
        busy_vms: Work in progress and queued, in units of one VM's capacity.
    """

    pool: str
    busy_vms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceUse:
    """Use of a service as all entries report it.

    Attributes:
        service: Name of the service.
        free_slots: Free slots of all its instances.
        queued: Requests waiting at all entries.
    """

    service: str
    free_slots: int
    queued: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoolTarget:
    """Number of VMs that a pool is to have."""

    pool: str
    vms: int


@dataclasses.dataclass(slots=True)
class _Trend:
    """Smoothed demand of a pool and the sizes derived from it.

    Attributes:
        average: Smoothed demand in units of one VM's capacity.
        wanted: Size that the average asks for.
        since: Since when it has asked for that size.
        settled: Last size that was asked for during `HOLD`.
        followed: Size by the latest observation alone.
    """

    average: float
    wanted: int
    since: datetime.timedelta
    settled: int
    followed: int


class DemandTracker:
    """Turns observed demand into the number of VMs that each pool is to have.

    A pool without bounds keeps the target of the bundle. The tracker also
    counts the moves that a planner following each observation would have made.
    """

    __slots__ = ("_last", "_moves_saved", "_trends")

    def __init__(self) -> None:
        self._trends: dict[str, _Trend] = {}
        self._last: datetime.timedelta | None = None
        self._moves_saved = 0

    @property
    def moves_saved(self) -> int:
        """Moves that following each observation would have cost so far."""
        return self._moves_saved

    def observe(
        self,
        pools: tuple[model.Pool, ...],
        demands: tuple[PoolDemand, ...],
        now: datetime.timedelta,
    ) -> None:
        """Takes in one observation of all pools.

        Args:
            pools: Pools of the bundle in force.
            demands: Demand by pool; a pool without one is idle.
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
        """Returns the number of VMs that each pool is to have now."""
        return tuple(
            PoolTarget(pool.name, self._find_target(pool)) for pool in pools
        )

    def _find_target(self, pool: model.Pool) -> int:
        trend = self._trends.get(pool.name)
        settled = pool.target_vms if trend is None else trend.settled
        return _clamp(pool, settled)

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
        wanted = _choose_size(pool, trend.average, trend.settled)
        if wanted != trend.wanted:
            trend.wanted, trend.since = wanted, now
        elif now - trend.since >= HOLD:
            trend.settled = wanted
        follower = _clamp(pool, math.ceil(busy / TARGET_UTILISATION))
        # Each VM that joins one pool leaves another, so joins alone count.
        self._moves_saved += max(0, follower - trend.followed)
        trend.followed = follower


def measure_demand(
    services: tuple[model.Service, ...],
    instances: tuple[instances_lib.Instance, ...],
    uses: tuple[ServiceUse, ...],
) -> tuple[PoolDemand, ...]:
    """Returns the demand on each pool in units of one VM's capacity.

    Args:
        services: Services of the bundle in force.
        instances: All instances.
        uses: Use of the services; a service without one counts as idle.
    """
    known = {use.service: use for use in uses}
    demands: dict[str, float] = {}
    for service in services:
        use = known.get(service.name)
        slots = service.slots * sum(
            item.service == service.name for item in instances
        )
        if use is None:
            continue
        busy = max(0, slots - use.free_slots) + use.queued
        part = busy / service.slots
        demands[service.pool] = demands.get(service.pool, 0.0) + part
    return tuple(PoolDemand(pool, busy) for pool, busy in demands.items())


def _choose_size(pool: model.Pool, average: float, settled: int) -> int:
    """Returns the size for an average demand, with hysteresis both ways."""
    size = average / TARGET_UTILISATION
    if size > settled + GROW_MARGIN_VMS:
        return _clamp(pool, math.ceil(size))
    if size <= (settled - 1) * GIVE_UP_FACTOR:
        return _clamp(pool, settled - 1)
    return _clamp(pool, settled)


def _clamp(pool: model.Pool, size: int) -> int:
    """Keeps a size within the pool's bounds."""
    lowest = pool.target_vms if pool.minimum_vms is None else pool.minimum_vms
    highest = pool.target_vms if pool.maximum_vms is None else pool.maximum_vms
    return max(lowest, min(highest, size))
