"""Series of state of another moment or address, chosen from a soak's seed."""

from collections.abc import Iterator
import random

from tools import soak_plan

from fireflywell.node import tables
from fireflywell.standins import emulator_values
from fireflywell.standins import link_proxy

# A service is claimed a lease after its owner was lost, at once after a planned
# stop. Reads are behind and transactions late for both.
_ROUND_S = (4.0, 7.0)
_MEAN_GAP_S = 0.5
_KIND_SHARE = 0.6
_OWNER_FAULTS = (1, 2)
_OWNER_DOWN_S = (0.3, 2.0)
_OWNER_PAUSE_S = (0.5, soak_plan.LEASE_S + 3.0)
_STORE_FAULT_DELAY_S = 3.0
_STORE_FAULT_S = (2.0, 5.0)
_LAG_S = (0.5, 5.0)
_LATE_SHARES = (0.2, 0.7)
_LATE_TABLES = (tables.OWNERS, tables.NODES, tables.ASSIGNED_WORKERS)
_FAULTY_WORKERS = (2, 4)
_MOVED_S = (1.0, 6.0)
_CUT_S = (0.0, 2.0)
_CLOCK_JUMP_S = 5.0


def plan_stale_state(
    seed: int, shape: soak_plan.Shape
) -> list[soak_plan.Planned]:
    """Returns rounds in which state of another moment or address is read.

    In each round the owners of all services are lost or stop, while reads are
    behind, transactions are late, and workers change their addresses or come
    back under their ids.
    """
    planned: list[soak_plan.Planned] = []
    if not (
        soak_plan.FIRST_STALE_SEED <= seed < soak_plan.FIRST_SUBMISSIONS_SEED
    ):
        return planned
    rng = random.Random(f"stale {seed}")
    at_s = soak_plan.FIRST_FAULT_S
    while at_s < shape.fault_s:
        seconds = rng.uniform(*_ROUND_S)
        for service in shape.services:
            planned += _plan_owner_faults(rng, service, at_s, seconds)
        planned += _plan_store_faults(rng, at_s)
        workers = list(shape.workers)
        rng.shuffle(workers)
        if rng.random() < _KIND_SHARE:
            for _ in range(rng.randint(*_FAULTY_WORKERS)):
                planned += _plan_addresses(rng, workers, at_s, seconds)
        if rng.random() < _KIND_SHARE:
            for _ in range(rng.randint(*_FAULTY_WORKERS)):
                planned += _plan_restarts(rng, workers.pop(), at_s, seconds)
        at_s += seconds + rng.expovariate(1 / _MEAN_GAP_S)
    return [item for item in planned if item.at_s < shape.fault_s]


def _plan_owner_faults(
    rng: random.Random, service: str, at_s: float, seconds: float
) -> Iterator[soak_plan.Planned]:
    for _ in range(rng.randint(*_OWNER_FAULTS)):
        down_s = round(rng.uniform(*_OWNER_DOWN_S), 2)
        pause_s = round(rng.uniform(*_OWNER_PAUSE_S), 2)
        yield soak_plan.Planned(
            at_s + rng.uniform(0.0, seconds),
            rng.choice(
                (
                    soak_plan.KillOwner(service, down_s),
                    soak_plan.PauseOwner(service, pause_s),
                    soak_plan.TermOwner(service),
                )
            ),
        )


def _plan_store_faults(
    rng: random.Random, at_s: float
) -> Iterator[soak_plan.Planned]:
    seconds = round(rng.uniform(*_STORE_FAULT_S), 2)
    behind = emulator_values.StoreBehind(
        seconds, round(rng.uniform(*_LAG_S), 2)
    )
    late = emulator_values.TransactionsLate(
        seconds, round(rng.uniform(*_LATE_SHARES), 2), _LATE_TABLES
    )
    for fault in (behind, late):
        if rng.random() < _KIND_SHARE:
            yield soak_plan.Planned(
                at_s + rng.uniform(0.0, _STORE_FAULT_DELAY_S),
                soak_plan.PlatformFault(fault),
            )


def _plan_addresses(
    rng: random.Random, workers: list[str], at_s: float, seconds: float
) -> Iterator[soak_plan.Planned]:
    """Yields a move of the first worker, or another use of its address."""
    worker = workers.pop()
    at_s += rng.uniform(0.0, seconds)
    moved_s = round(rng.uniform(*_MOVED_S), 2)
    cut_s = round(rng.uniform(*_CUT_S), 2)
    move = soak_plan.PlatformFault(
        emulator_values.AddressChange(worker, moved_s)
    )
    silent = link_proxy.Silent()
    moved_link = soak_plan.name_other_link(worker)
    reused = soak_plan.AddressReused(
        worker, rng.choice(workers), cut_s, moved_s
    )
    match rng.randrange(5):
        case 0:
            # It listens at both addresses.
            yield soak_plan.Planned(at_s, move)
        case 1:
            yield soak_plan.Planned(
                at_s, soak_plan.LinkFault(worker, silent, moved_s)
            )
            yield soak_plan.Planned(at_s, move)
        case 2:
            # It listens at neither address.
            yield soak_plan.Planned(
                at_s, soak_plan.LinkFault(worker, silent, cut_s + moved_s)
            )
            yield soak_plan.Planned(
                at_s, soak_plan.LinkFault(moved_link, silent, cut_s + moved_s)
            )
            yield soak_plan.Planned(at_s + cut_s, move)
        case 3:
            yield soak_plan.Planned(at_s, reused)
        case _:
            # It comes back under its id at its other address.
            back_s = cut_s + rng.uniform(0.0, moved_s)
            yield soak_plan.Planned(at_s, reused)
            yield soak_plan.Planned(at_s + back_s, move)


def _plan_restarts(
    rng: random.Random, worker: str, at_s: float, seconds: float
) -> Iterator[soak_plan.Planned]:
    offset_s = round(rng.uniform(-_CLOCK_JUMP_S, _CLOCK_JUMP_S), 2)
    jump = emulator_values.ClockJump(worker, round(seconds, 2), offset_s)
    yield soak_plan.Planned(at_s, soak_plan.PlatformFault(jump))
    yield from soak_plan.plan_worker_series(rng, worker, at_s, seconds)
