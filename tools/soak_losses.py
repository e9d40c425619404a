"""Series of lost workers, owners and answers, chosen from a soak's seed."""

from collections.abc import Iterator
import math
import random

from tools import soak_plan

from fireflywell.standins import emulator_values
from fireflywell.standins import link_proxy

# Each batch of lost workers is followed by a series of lost owners. A successor
# is in place a second after the lease, and is lost soon after.
_BATCHES = 2
_LOST_SHARE = 0.3
_OWNERS_LOST = (2, 4)
_OWNER_GAP_S = (soak_plan.LEASE_S + 1.0, soak_plan.LEASE_S + 3.5)
_OWNER_DOWN_S = (0.5, 2.0)
_OWNER_PAUSE_S = (soak_plan.LEASE_S + 1.0, soak_plan.LEASE_S + 5.0)
_FOR_GOOD_S = 1e6
_REBORN_AFTER_S = (0.3, 3.0)
_LONG_ORDERS_S = (8.0, 14.0)
_LOST_ORDERS_SHARES = (0.3, 0.7)
_LOST_REPORTS_SHARES = (0.1, 0.4)


def plan_losses(seed: int, shape: soak_plan.Shape) -> list[soak_plan.Planned]:
    """Returns series of lost workers, owners and answers, which overlap.

    Workers fall silent, crash or are cut off, most of them for good. In two of
    three seeds, the owners of their services are lost one after the other while
    successors wait for these workers. In two of three, some orders and reports
    of other workers get no answer for a long time.
    """
    planned: list[soak_plan.Planned] = []
    if not (soak_plan.FIRST_LOSSES_SEED <= seed < soak_plan.FIRST_STALE_SEED):
        return planned
    rng = random.Random(f"losses {seed}")
    left = {
        service: list(shape.workers[number :: len(shape.services)])
        for number, service in enumerate(shape.services)
    }
    batch_s = shape.fault_s / _BATCHES
    for batch in range(_BATCHES):
        at_s = soak_plan.FIRST_FAULT_S + batch * batch_s + rng.uniform(0.0, 1.0)
        for service, workers in left.items():
            rng.shuffle(workers)
            for _ in range(max(1, round(_LOST_SHARE * len(workers)))):
                lost = workers.pop()
                planned += _plan_lost_worker(rng, lost, at_s)
            if seed % 3 != 1:
                planned += _plan_lost_owners(rng, service, at_s, batch_s)
            if seed % 3 != 0:
                planned += _plan_lost_orders(rng, workers, at_s)
    return [item for item in planned if item.at_s < shape.fault_s]


def _plan_lost_worker(
    rng: random.Random, worker: str, at_s: float
) -> Iterator[soak_plan.Planned]:
    at_s += rng.uniform(0.0, 1.0)
    silent = emulator_values.OrdersLost(worker, _FOR_GOOD_S, 1.0, 1.0)
    match rng.randrange(4):
        case 0:
            yield soak_plan.Planned(at_s, soak_plan.PlatformFault(silent))
        case 1:
            crash = emulator_values.WorkerCrash(worker, _FOR_GOOD_S)
            yield soak_plan.Planned(at_s, soak_plan.PlatformFault(silent))
            yield soak_plan.Planned(at_s, soak_plan.PlatformFault(crash))
        case 2:
            state = link_proxy.Silent()
            yield soak_plan.Planned(
                at_s, soak_plan.LinkFault(worker, state, math.inf)
            )
        case _:
            down_s = round(rng.uniform(*_REBORN_AFTER_S), 2)
            crash = emulator_values.WorkerCrash(worker, down_s)
            yield soak_plan.Planned(at_s, soak_plan.PlatformFault(crash))


def _plan_lost_owners(
    rng: random.Random, service: str, at_s: float, seconds: float
) -> Iterator[soak_plan.Planned]:
    until_s = at_s + seconds
    at_s += rng.uniform(0.0, 2.0)
    for _ in range(rng.randint(*_OWNERS_LOST)):
        if at_s >= until_s:
            return
        down_s = round(rng.uniform(*_OWNER_DOWN_S), 2)
        pause_s = round(rng.uniform(*_OWNER_PAUSE_S), 2)
        yield soak_plan.Planned(
            at_s,
            rng.choice(
                (
                    soak_plan.KillOwner(service, down_s),
                    soak_plan.PauseOwner(service, pause_s),
                )
            ),
        )
        at_s += rng.uniform(*_OWNER_GAP_S)


def _plan_lost_orders(
    rng: random.Random, workers: list[str], at_s: float
) -> Iterator[soak_plan.Planned]:
    kind = rng.choice((emulator_values.OrdersLate, emulator_values.OrdersLost))
    seconds = round(rng.uniform(*_LONG_ORDERS_S), 2)
    for worker in rng.sample(workers, max(1, len(workers) // 2)):
        share = round(rng.uniform(*_LOST_ORDERS_SHARES), 2)
        report_share = round(rng.uniform(*_LOST_REPORTS_SHARES), 2)
        fault = kind(worker, seconds, share, report_share)
        yield soak_plan.Planned(
            at_s + rng.uniform(0.0, 2.0), soak_plan.PlatformFault(fault)
        )
