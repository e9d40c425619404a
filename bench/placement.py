"""Processor time of one placement round against workers, jobs and pools.

Usage: PYTHONPATH=src python bench/placement.py [--seed N]
"""

import argparse
import datetime
import random
import statistics
import time

from fireflywell.bundle import model
from fireflywell.fleet import fair_share
from fireflywell.fleet import jobs
from fireflywell.fleet import placement
from fireflywell.fleet import worker_pool
from fireflywell.infrastructure import records

_NOW = datetime.datetime(2026, 6, 1, tzinfo=datetime.UTC)
_REPEATS = 5
_LETTER_WORKERS = 2_400
_LETTER_POOLS = 101
_LETTER_TEAMS = 720


def make_bundle(pools: int, teams: int) -> model.Bundle:
    """Returns a bundle whose pools each carry one kind."""
    return model.Bundle(
        version=1,
        signing=model.Signing(1, ()),
        pools=tuple(
            model.Pool(f"p{n}", 24, carries=(f"k{n}",), spare=n == pools - 1)
            for n in range(pools)
        ),
        services=(),
        classes=(),
        teams=tuple(
            model.Team(f"t{n}", 1.0, 64, 128_000, 8) for n in range(teams)
        ),
    )


def make_round(
    workers: int, pools: int, teams: int, queued: int, rng: random.Random
) -> placement.PlacementRound:
    """Returns a round with workers that are four fifths full."""
    bundle = make_bundle(pools, teams)
    states = []
    used: dict[str, records.Resources] = {}
    for number in range(workers):
        state = worker_pool.WorkerState(
            f"w{number}",
            f"p{number % pools}",
            f"z{number % 7}",
            f"r{number // 4}",
            records.Resources(16, 32_000, 2 if number % 2 else 1),
        )
        for task in range(6):
            record = make_job(rng, f"r{number}-{task}", pools, teams)
            size = records.Resources(2.0, 4_000, 0)
            state.add(worker_pool.RunningTask(record, size))
            team = record.spec.team
            used[team] = fair_share.add_resources(
                used.get(team, records.Resources()), size
            )
        states.append(state)
    waiting = tuple(
        fair_share.QueuedJob(
            record := make_job(rng, f"q{number}", pools, teams),
            record.spec.declared,
            datetime.timedelta(minutes=5),
        )
        for number in range(queued)
    )
    return placement.PlacementRound(
        bundle, waiting, tuple(states), used, {}, _NOW
    )


def make_job(
    rng: random.Random, name: str, pools: int, teams: int
) -> jobs.JobRecord:
    """Returns a random job; one in twenty is urgent."""
    size = records.Resources(
        rng.choice((0.5, 1, 2, 4)),
        rng.choice((500, 1_000, 4_000)),
        rng.choice((0, 0, 0, 1)),
    )
    urgency = (
        jobs.JobUrgency.URGENT if rng.random() < 0.05 else jobs.JobUrgency.BATCH
    )
    spec = jobs.JobSpec(
        name,
        f"k{rng.randrange(pools)}",
        f"t{rng.randrange(teams)}",
        "run",
        size,
        300,
        urgency,
        can_checkpoint=rng.random() < 0.5,
    )
    return jobs.JobRecord(spec)


def measure(
    workers: int, pools: int, teams: int, queued: int, seed: int
) -> tuple[float, int]:
    """Returns the median milliseconds of a round and its starts."""
    times = []
    starts = 0
    for repeat in range(_REPEATS):
        rng = random.Random(seed + repeat)
        round_input = make_round(workers, pools, teams, queued, rng)
        begun = time.process_time()
        decisions = list(placement.plan_round(round_input))
        times.append((time.process_time() - begun) * 1_000)
        starts = len(decisions)
    return statistics.median(times), starts


def main() -> None:
    """Prints a table of rounds of growing size."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    print(f"placement round, seed {seed}, median of {_REPEATS}")
    print(f"{'workers':>8}{'pools':>7}{'teams':>7}{'queued':>8}"
          f"{'starts':>8}{'ms':>9}")  # fmt: skip
    sizes = [
        (30, 5, 20, 100),
        (300, 13, 90, 500),
        (600, 26, 180, 500),
        (1_200, 51, 360, 500),
        (_LETTER_WORKERS, _LETTER_POOLS, _LETTER_TEAMS, 500),
        (_LETTER_WORKERS, _LETTER_POOLS, _LETTER_TEAMS, 2_000),
        (_LETTER_WORKERS, _LETTER_POOLS, _LETTER_TEAMS, 10_000),
    ]
    for workers, pools, teams, queued in sizes:
        milliseconds, starts = measure(workers, pools, teams, queued, seed)
        print(f"{workers:8}{pools:7}{teams:7}{queued:8}{starts:8}"
              f"{milliseconds:9.1f}")  # fmt: skip


if __name__ == "__main__":
    main()
