"""Offline planner and lower bounds that know the whole load."""

from collections.abc import Iterator
import dataclasses
import math

import fleet_load

from fireflywell.fleet import demand

# The offline planner looks at the load at this step.
STEP_SECONDS = 300


@dataclasses.dataclass(frozen=True, slots=True)
class PoolNeed:
    """VMs that a pool needs at one moment."""

    pool: str
    vms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Moment:
    """Needs of all pools at one moment.

    Attributes:
        seconds: Time since the start.
        needs: VMs that each pool needs.
        pooled_vms: VMs that all pools need if capacity were shared freely.
    """

    seconds: int
    needs: tuple[PoolNeed, ...]
    pooled_vms: int

    @property
    def total(self) -> int:
        """VMs that all pools need together."""
        return sum(need.vms for need in self.needs)


def list_moments(
    deployment: fleet_load.Deployment, duration: int
) -> Iterator[Moment]:
    """Yields the needs over time, by the mean load without short peaks.

    A pool needs what its service's availability budget asks for, and its load
    at the utilisation that the package aims at.
    """
    smallest = {
        pool.name: fleet_load.find_smallest_pool(deployment.bundle, pool.name)
        for pool in deployment.bundle.pools
    }
    for seconds in range(0, duration, STEP_SECONDS):
        needs = tuple(
            PoolNeed(
                queue.pool,
                max(
                    smallest[queue.pool],
                    math.ceil(
                        queue.find_mean(seconds) / demand.TARGET_UTILISATION
                    ),
                ),
            )
            for queue in deployment.queues
        )
        load = sum(queue.find_mean(seconds) for queue in deployment.queues)
        pooled = math.ceil(load / demand.TARGET_UTILISATION)
        yield Moment(seconds, needs, max(pooled, sum(smallest.values())))


def count_fewest_moves(moments: tuple[Moment, ...]) -> int:
    """Returns the fewest moves that keep every pool at its need.

    Each missing VM is taken from the pool that needs its surplus VM again
    latest, as in optimal paging. What the whole fleet lacks is left out.
    """
    sizes = {need.pool: fleet_load.POOL_VMS for need in moments[0].needs}
    moves = 0
    for number, moment in enumerate(moments):
        for need in moment.needs:
            while sizes[need.pool] < need.vms:
                giver = _choose_giver(moments, number, sizes)
                if giver is None:
                    break
                sizes[giver] -= 1
                sizes[need.pool] += 1
                moves += 1
    return moves


def _choose_giver(
    moments: tuple[Moment, ...], number: int, sizes: dict[str, int]
) -> str | None:
    givers = [
        need.pool
        for need in moments[number].needs
        if sizes[need.pool] > need.vms
    ]
    return max(
        givers,
        key=lambda pool: (_find_next_use(moments, number, pool, sizes), pool),
        default=None,
    )


def _find_next_use(
    moments: tuple[Moment, ...], number: int, pool: str, sizes: dict[str, int]
) -> int:
    """Returns when a pool needs all the VMs that it has."""
    for later in range(number, len(moments)):
        for need in moments[later].needs:
            if need.pool == pool and need.vms >= sizes[pool]:
                return later
    return len(moments)
