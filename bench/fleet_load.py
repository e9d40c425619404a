"""Generated loads of both deployments for the fleet benches."""

import dataclasses
import math
import pathlib
import random

from fireflywell.bundle import documents
from fireflywell.bundle import model
from fireflywell.fleet import demand
from fireflywell.infrastructure import records

DAY_SECONDS = 86_400
ZONES = 3
VMS_PER_RACK = 4
POOL_VMS = 6
_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
_MAXIMUM_VMS = 9
# In each cycle every queue asks for five times its mean, then for a twentieth
# for so long that the mean of the cycle is kept, then for its mean.
_CYCLE_SECONDS = 60
_PEAK_SECONDS = 10
_PEAK_FACTOR = 5.0
_LULL_FACTOR = 0.05
_LULL_SECONDS = _PEAK_SECONDS * (_PEAK_FACTOR - 1) / (1 - _LULL_FACTOR)
_NOISE = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class QueueLoad:
    """Load of one pool's queue.

    Attributes:
        pool: Name of the pool.
        kind: Kind of its jobs.
        mean_vms: Mean demand in units of one VM.
        swing: Part of the mean by which the demand shifts over a day.
        phase: Phase of the shift in radians.
        turn: Place in the order of peaks.
    """

    pool: str
    kind: str
    mean_vms: float
    swing: float
    phase: float
    turn: int

    def find_mean(self, seconds: float) -> float:
        """Returns the demand in VMs without the peaks of seconds."""
        angle = 2 * math.pi * seconds / DAY_SECONDS + self.phase
        return self.mean_vms * (1 + self.swing * math.sin(angle))

    def find_demand(self, seconds: float) -> float:
        """Returns the demand in VMs with the peaks of seconds."""
        offset = self.turn * _CYCLE_SECONDS / 5
        place = (seconds - offset) % _CYCLE_SECONDS
        factor = 1.0
        if place < _PEAK_SECONDS:
            factor = _PEAK_FACTOR
        elif place < _PEAK_SECONDS + _LULL_SECONDS:
            factor = _LULL_FACTOR
        return self.find_mean(seconds) * factor


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment with its bundle, VMs and load."""

    name: str
    bundle: model.Bundle
    vms: tuple[records.Vm, ...]
    queues: tuple[QueueLoad, ...]


def make_deployment(name: str) -> Deployment:
    """Returns a deployment of the examples whose pools follow demand.

    The lower bound of each pool is what its service's budget needs; the
    example bundles fix all pools at 6 VMs.
    """
    path = _EXAMPLES / f"{name}.toml"
    bundle = documents.parse_bundle(path.read_text(), str(path))
    pools = tuple(
        dataclasses.replace(
            pool,
            minimum_vms=find_smallest_pool(bundle, pool.name),
            maximum_vms=_MAXIMUM_VMS,
        )
        for pool in bundle.pools
    )
    means = (3.0, 2.8, 2.6, 2.4, 2.0)
    swing = 0.4 if name == "atlas" else 0.5
    step = 0.6 if name == "atlas" else 1.3
    queues = tuple(
        QueueLoad(
            pool.name, pool.carries[0], mean, swing, number * step, number
        )
        for number, (pool, mean) in enumerate(zip(pools, means, strict=True))
    )
    bundle = dataclasses.replace(bundle, pools=pools)
    return Deployment(name, bundle, make_vms(len(pools) * POOL_VMS), queues)


def make_vms(count: int, zones: int = ZONES) -> tuple[records.Vm, ...]:
    """Returns VMs that are spread over zones, four to a rack."""
    return tuple(
        records.Vm(
            f"vm-{number:04d}",
            f"127.9.{number // 250}.{number % 250 + 1}",
            f"zone-{number % zones}",
            f"rack-{number % zones}-{number // zones // VMS_PER_RACK}",
            records.VmState.LIVE,
            1,
        )
        for number in range(count)
    )


def find_smallest_pool(bundle: model.Bundle, pool: str) -> int:
    """Returns the least VMs, spread over zones, that a pool's budget needs."""
    for service in bundle.services:
        if service.pool == pool:
            needed = service.budget.minimum_instances
            count = needed
            while count - _find_loss(service.budget, count) < needed:
                count += 1
            return count
    return 1


def observe_demand(
    queues: tuple[QueueLoad, ...], seconds: float, rng: random.Random
) -> tuple[demand.PoolDemand, ...]:
    """Returns one observation of all pools, with noise."""
    return tuple(
        demand.PoolDemand(
            queue.pool,
            queue.find_demand(seconds) * max(0.0, rng.gauss(1.0, _NOISE)),
        )
        for queue in queues
    )


def _find_loss(budget: model.Budget, count: int) -> int:
    match budget.survives:
        case model.FailureDomain.NONE:
            return 0
        case model.FailureDomain.VM:
            return 1
        case model.FailureDomain.RACK:
            return -(-count // (ZONES * 2))
        case model.FailureDomain.ZONE:
            return -(-count // ZONES)
