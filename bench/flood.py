"""Measures what other work keeps during a flood of one class.

Run by `PYTHONPATH=src python bench/flood.py`. Compares the queue of the
package with FIFO, strict priority and static shares.
"""

from collections.abc import Iterator
import dataclasses
import functools
import json
import math
import pathlib

import click
import flood_baselines
import flood_loads
import flood_model

from fireflywell import clock as clock_lib
from fireflywell.bundle import model
from fireflywell.requests import service_queue

# Windows in seconds. Floods of quick requests are short, because 20 times the
# capacity is 24,000 requests a second.
_WINDOW_QUICK = {5.0: 40.0, 20.0: 20.0}
_WINDOW_LONG = 240.0
_LONG_RUN_TIME = 0.5
# Run time of a flood in a class of quick work when times are far off.
_SURPRISING_RUN_TIME = 2.0
# Rows with fewer requests than this have no meaningful 99th percentile.
_SMALLEST_SAMPLE = 100
_GOODPUT_TARGET = 0.99
_LATENCY_TARGET = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A flood with the window in which it is measured."""

    flood: flood_model.Flood
    window: float
    are_times_off: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Result of one group under one policy, with and without the flood."""

    deployment: str
    policy: str
    flooded: str
    factor: float
    are_times_off: bool
    group: str
    requests: int
    goodput_before: float
    goodput: float
    p50_before: float
    p50: float
    p99_before: float
    p99: float
    late: float

    @property
    def kept(self) -> float:
        """Part of the unflooded goodput that was kept."""
        if not self.goodput_before:
            return math.nan
        return self.goodput / self.goodput_before

    @property
    def stretch(self) -> float:
        """Flooded p99 as a multiple of the unflooded one."""
        return self.p99 / self.p99_before

    @property
    def meets_targets(self) -> bool:
        """Whether both targets hold."""
        return self.kept >= _GOODPUT_TARGET and self.stretch <= _LATENCY_TARGET


def make_fair(
    deployment: flood_loads.Deployment, clock: clock_lib.ManualClock
) -> flood_model.Policy:
    """Returns the package's queue."""
    service = model.Service(
        "service", "pool", 1, model.Budget(0), slots=flood_loads.SLOTS
    )
    classes = tuple(stream.config for stream in deployment.streams)
    return service_queue.ServiceQueue(
        service, classes, flood_loads.TEAMS, clock
    )


def make_fifo(
    deployment: flood_loads.Deployment, clock: clock_lib.ManualClock
) -> flood_model.Policy:
    """Returns the FIFO baseline."""
    classes = tuple(stream.config for stream in deployment.streams)
    return flood_baselines.FifoQueue(classes, clock)


def make_priority(
    deployment: flood_loads.Deployment, clock: clock_lib.ManualClock
) -> flood_model.Policy:
    """Returns the strict priority baseline."""
    classes = tuple(stream.config for stream in deployment.streams)
    return flood_baselines.PriorityQueue(classes, clock)


def make_static(
    deployment: flood_loads.Deployment, clock: clock_lib.ManualClock
) -> flood_model.Policy:
    """Returns the static shares baseline."""
    classes = tuple(stream.config for stream in deployment.streams)
    return flood_baselines.StaticSharesQueue(classes, clock, flood_loads.SLOTS)


POLICIES = {
    "fair": make_fair,
    "fifo": make_fifo,
    "priority": make_priority,
    "static": make_static,
}
DEPLOYMENTS = {
    "atlas": flood_loads.ATLAS,
    "district": flood_loads.DISTRICT,
}


def list_scenarios(deployment: flood_loads.Deployment) -> Iterator[Scenario]:
    """Yields floods of the least and then of the most urgent class."""
    for are_times_off in (False, True):
        for stream in (deployment.streams[-1], deployment.streams[0]):
            for factor in (5.0, 20.0):
                yield _make_scenario(stream, factor, are_times_off)


def _make_scenario(
    stream: flood_loads.Stream, factor: float, are_times_off: bool
) -> Scenario:
    run_time, route = stream.run_time, "usual"
    if are_times_off:
        run_time, route = max(run_time, _SURPRISING_RUN_TIME), "bulk"
    is_long = run_time >= _LONG_RUN_TIME
    window = _WINDOW_LONG if is_long else _WINDOW_QUICK[factor]
    flood = flood_model.Flood(stream.config.name, factor, run_time, route)
    return Scenario(flood, window, are_times_off)


def list_sources(
    deployment: flood_loads.Deployment, flood: flood_model.Flood | None
) -> Iterator[flood_model.Source]:
    """Yields the usual streams and the flood."""
    capacity = flood_loads.ENTRIES * flood_loads.SLOTS
    # The flood's team sends nothing else, so that each row is either the
    # flood or other work.
    teams = tuple(team.name for team in flood_loads.TEAMS[1:])
    for stream in deployment.streams:
        rate = capacity * stream.load / stream.run_time
        yield flood_model.Source(
            stream.config.name,
            stream,
            stream.run_time,
            rate,
            "usual",
            teams,
            0.0,
        )
        if flood is not None and flood.class_name == stream.config.name:
            yield flood_model.Source(
                "flood",
                stream,
                flood.run_time,
                capacity * flood.factor / flood.run_time,
                flood.route,
                (flood_loads.FLOOD_TEAM,),
                flood_model.WARM_UP,
            )


@functools.cache
def run_model(
    deployment: flood_loads.Deployment,
    policy: str,
    window: float,
    flood: flood_model.Flood | None,
    seed: int,
) -> dict[str, flood_model.GroupResult]:
    """Returns the results of one run by group."""
    run = flood_model.FloodModel(deployment, POLICIES[policy], window)
    return run.run(tuple(list_sources(deployment, flood)), seed)


def measure(
    deployment: flood_loads.Deployment,
    policy: str,
    scenario: Scenario,
    seed: int,
) -> Iterator[Row]:
    """Yields a row for each group."""
    declared = deployment
    if scenario.are_times_off:
        declared = flood_loads.swap_kinds(deployment)
    before = run_model(declared, policy, scenario.window, None, seed)
    after = run_model(declared, policy, scenario.window, scenario.flood, seed)
    for group, result in after.items():
        usual = before.get(group)
        yield Row(
            deployment.name,
            policy,
            scenario.flood.class_name,
            scenario.flood.factor,
            scenario.are_times_off,
            group,
            result.offered,
            usual.goodput if usual else math.nan,
            result.goodput,
            usual.find_latency(50) if usual else math.nan,
            result.find_latency(50),
            usual.find_latency(99) if usual else math.nan,
            result.find_latency(99),
            result.late / max(1, result.offered),
        )


def print_row(row: Row) -> None:
    """Prints one line of the table."""
    verdict = "yes" if row.meets_targets else "NO"
    if row.group == "flood":
        verdict = ""
    elif row.requests < _SMALLEST_SAMPLE:
        verdict += " (few)"
    times = "off" if row.are_times_off else "as declared"
    print(
        f"{row.deployment:9}{row.policy:9}{row.flooded:15}"
        f"{row.factor:4.0f}x {times:12}{row.group:15}{row.requests:8}"
        f"{row.goodput_before:8.3f}{row.goodput:8.3f}"
        f"{row.p50_before:9.3f}{row.p50:9.3f}"
        f"{row.p99_before:9.3f}{row.p99:9.3f}{row.stretch:8.2f}"
        f"{row.late:8.4f} {verdict}",
        flush=True,
    )


@click.command()
@click.option("--seed", default=1, help="Seed of all random numbers.")
@click.option("--deployment", "names", multiple=True, default=DEPLOYMENTS)
@click.option("--policy", "policies", multiple=True, default=POLICIES)
@click.option("--flooded", default="", help="Only floods of this class.")
@click.option("--factor", default=0.0, help="Only floods of this factor.")
@click.option("--json", "path", type=click.Path(path_type=pathlib.Path))
def main(
    seed: int,
    names: tuple[str, ...],
    policies: tuple[str, ...],
    flooded: str,
    factor: float,
    path: pathlib.Path | None,
) -> None:
    """Runs the scenarios and prints a table; times are in seconds."""
    print(
        f"{'':9}{'':9}{'flood of':15}{'':5} {'run times':12}{'group':15}"
        f"{'requests':>8}{'good 0':>8}{'good':>8}{'p50 0':>9}{'p50':>9}"
        f"{'p99 0':>9}{'p99':>9}{'ratio':>8}{'late':>8} targets"
    )
    rows = []
    for name in names:
        for scenario in list_scenarios(DEPLOYMENTS[name]):
            if flooded not in ("", scenario.flood.class_name):
                continue
            if factor not in (0.0, scenario.flood.factor):
                continue
            for policy in policies:
                for row in measure(DEPLOYMENTS[name], policy, scenario, seed):
                    print_row(row)
                    rows.append(row)
    if path is not None:
        values = [dataclasses.asdict(row) for row in rows]
        path.write_text(json.dumps({"seed": seed, "rows": values}, indent=1))


if __name__ == "__main__":
    main()
