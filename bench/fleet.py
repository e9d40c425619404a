"""Measures buffer, moves and waits of both deployments against baselines.

Runs the decisions on demand, assignment, waves and placement against generated
loads on a clock set by hand, and compares them with an offline planner that
knows the load and with a planner that follows each observation.

Usage: PYTHONPATH=src python bench/fleet.py [--seed N] [--json FILE]
"""

from collections.abc import Iterator
import dataclasses
import json
import pathlib

import click
import fleet_day
import fleet_jobs
import fleet_load
import fleet_offline

DEPLOYMENTS = ("atlas", "district")
_BUFFER_TARGET = 1.1
_MOVES_TARGET = 1.05
_URGENT_TARGET_SECONDS = 1.2
_HOUR = 3_600


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """Figures of one deployment; VMs in VM-hours, waits in seconds.

    Attributes:
        deployment: Name of the deployment.
        has_outages: Whether VMs, racks and zones failed.
        hours: Length of the run.
        demand: Work.
        held_buffer: VMs that served beyond the work.
        asked_buffer: VMs asked for by the targets beyond the work.
        followed_buffer: The same of a planner following each observation.
        bound_buffer: Least buffer of pools of their own that meet the budgets
            and the target utilisation.
        pooled_buffer: The same if all pools shared their VMs freely.
        short: VMs missing for the target utilisation.
        utilisation: Work over the VMs that served.
        moves: VM moves.
        offline_moves: Moves of the offline planner.
        followed_moves: Moves of a planner following each observation.
        refused_moves: Rounds in which a move was refused by the budget or the
            wave size.
        rejoined: VMs that returned after an outage into another pool.
        maintained: Maintenances finished.
        below_budget_seconds: Time below a service's minimum.
    """

    deployment: str
    has_outages: bool
    hours: float
    demand: float
    held_buffer: float
    asked_buffer: float
    followed_buffer: float
    bound_buffer: float
    pooled_buffer: float
    short: float
    utilisation: float
    moves: int
    offline_moves: int
    followed_moves: int
    refused_moves: int
    rejoined: int
    maintained: int
    below_budget_seconds: int


def compare_days(
    deployment: fleet_load.Deployment,
    days: float,
    seed: int,
    has_outages: bool,
) -> Comparison:
    """Returns the figures of some days next to the baselines."""
    duration = int(days * fleet_load.DAY_SECONDS)
    moments = tuple(fleet_offline.list_moments(deployment, duration))
    step = fleet_offline.STEP_SECONDS
    day = fleet_day.FleetDay(deployment, duration, seed, has_outages)
    totals = day.run(duration)
    bound = sum(moment.total for moment in moments) * step
    pooled = sum(moment.pooled_vms for moment in moments) * step
    return Comparison(
        deployment.name,
        has_outages,
        duration / _HOUR,
        totals.demand / _HOUR,
        (totals.held - totals.demand) / _HOUR,
        (totals.asked - totals.demand) / _HOUR,
        (totals.followed - totals.demand) / _HOUR,
        (bound - totals.demand) / _HOUR,
        (pooled - totals.demand) / _HOUR,
        totals.short / _HOUR,
        totals.demand / totals.held,
        totals.moves,
        fleet_offline.count_fewest_moves(moments),
        totals.saved_moves,
        totals.refused_moves,
        totals.rejoined,
        totals.maintained,
        totals.below_budget,
    )


def list_lines(row: Comparison) -> Iterator[str]:
    """Yields the lines of a deployment's figures."""
    failures = "with" if row.has_outages else "without"
    yield f"{row.deployment}, {row.hours:g} h, {failures} outages"
    bound = row.bound_buffer
    yield f"  work                      {row.demand:9.1f} VM-h"
    yield f"  buffer, offline bound     {bound:9.1f} VM-h"
    yield f"  buffer, freely shared     {row.pooled_buffer:9.1f} VM-h"
    yield _describe("buffer asked for", row.asked_buffer, bound, _BUFFER_TARGET)
    yield _describe("buffer held", row.held_buffer, bound, _BUFFER_TARGET)
    yield (
        f"  buffer, follower          {row.followed_buffer:9.1f} VM-h"
        f"{row.followed_buffer / bound:8.2f}x"
    )
    yield f"  short of the target       {row.short:9.1f} VM-h"
    yield f"  utilisation               {row.utilisation:9.3f}"
    yield f"  moves, offline planner    {row.offline_moves:9}"
    yield _describe("moves", row.moves, row.offline_moves, _MOVES_TARGET)
    yield f"  moves, follower           {row.followed_moves:9}"
    yield f"  rounds with refused move  {row.refused_moves:9}"
    yield f"  rejoined another pool     {row.rejoined:9}"
    yield f"  maintained                {row.maintained:9}"
    yield f"  seconds below a minimum   {row.below_budget_seconds:9}"


def _describe(name: str, value: float, bound: float, target: float) -> str:
    ratio = value / bound
    verdict = "met" if ratio <= target else f"MISSED by {ratio - target:.2f}"
    return (
        f"  {name:26}{value:9.1f}     {ratio:8.2f}x "
        f"(target {target:.2f}x: {verdict})"
    )


@click.command()
@click.option("--seed", default=1, help="Seed of all random numbers.")
@click.option("--days", default=2.0, help="Length for buffer and moves.")
@click.option("--jobs-seconds", default=900, help="Length for waits.")
@click.option("--json", "path", type=click.Path(path_type=pathlib.Path))
def main(
    seed: int, days: float, jobs_seconds: int, path: pathlib.Path | None
) -> None:
    """Runs both deployments and prints a table."""
    print(f"seed {seed}")
    rows = []
    waits: dict[str, object] = {}
    for name in DEPLOYMENTS:
        deployment = fleet_load.make_deployment(name)
        for has_outages in (False, True):
            row = compare_days(deployment, days, seed, has_outages)
            rows.append(dataclasses.asdict(row))
            print("\n".join(list_lines(row)), flush=True)
        result = fleet_jobs.JobsRun(deployment, jobs_seconds, seed).run()
        waits[name] = dataclasses.asdict(result)
        urgent = result.waits[0].p99
        is_met = urgent <= _URGENT_TARGET_SECONDS
        print(
            f"{name}, jobs, {jobs_seconds} s: utilisation "
            f"{result.utilisation:.3f}, {result.preemptions} preemptions, "
            f"{result.lost} attempts lost with their worker, "
            f"{result.refused} set aside; urgent p99 {urgent:.2f} s "
            f"(target {_URGENT_TARGET_SECONDS} s: "
            f"{'met' if is_met else 'MISSED'})"
        )
        print("class         jobs  started     mean      p50      p99      max")
        print("\n".join(fleet_jobs.list_lines(result)), flush=True)
    if path is not None:
        document = {"seed": seed, "days": rows, "jobs": waits}
        path.write_text(json.dumps(document, indent=1))


if __name__ == "__main__":
    main()
