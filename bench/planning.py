"""Processor time of a maintenance planning round, and memory of its state.

Measures one round of each decision of the maintenance planner against VMs,
pools and services, with the slope of a least-squares line, and the bytes of a
row in the copies of the state that a control process keeps.

Usage: PYTHONPATH=src python bench/planning.py [--seed N] [--json FILE]
"""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import dataclasses
import datetime
import json
import pathlib
import random
import statistics
import time
import tracemalloc
from typing import Any

import anyio
import click
import fleet_load
import placement as placement_bench

from fireflywell import clock as clock_lib
from fireflywell.bundle import model
from fireflywell.control import job_store
from fireflywell.control import task_tracker
from fireflywell.control import vm_store
from fireflywell.fleet import assignment
from fireflywell.fleet import budgets
from fireflywell.fleet import demand
from fireflywell.fleet import jobs
from fireflywell.fleet import view
from fireflywell.fleet import vm_records
from fireflywell.fleet import waves
from fireflywell.infrastructure import records
from fireflywell.standins import table_store

_REPEATS = 5
_ZONES = 7
_START = datetime.datetime(2026, 6, 1, tzinfo=datetime.UTC)
_TIME_PER_VM = datetime.timedelta(minutes=10)
_DESIGN_LIMIT_MS = 100.0
_WRITE_BATCH = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of a fleet; each pool has one service."""

    vms: int
    pools: int


# The last size is the design size.
SIZES = (
    Size(30, 5),
    Size(300, 13),
    Size(600, 26),
    Size(1_200, 51),
    Size(2_400, 101),
)


@dataclasses.dataclass(frozen=True, slots=True)
class PlanningCost:
    """Median milliseconds of one round of each decision.

    Attributes:
        vms: VMs.
        pools: Pools and services.
        wave_held: Wave in which no rack has room in its budgets.
        wave_idle: Wave without a due VM.
        wave_started: Wave that starts.
        pace: Check of the pace.
        idle: Assignment without a change.
        moves: Assignment when each fourth pool lacks two VMs.
        move_count: Moves in that assignment.
    """

    vms: int
    pools: int
    wave_held: float
    wave_idle: float
    wave_started: float
    pace: float
    idle: float
    moves: float
    move_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowMemory:
    """Bytes that one row takes in a copy of the state."""

    copy: str
    rows: int
    bytes_per_row: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Fleet:
    """A generated fleet."""

    bundle: model.Bundle
    state: waves.FleetState


def make_fleet(size: Size, is_due: bool, missing: int) -> _Fleet:
    """Returns a fleet.

    Args:
        size: Size of the fleet.
        is_due: Whether all VMs are due for maintenance.
        missing: Instances that have failed in each service.
    """
    members = size.vms // size.pools
    bundle = placement_bench.make_bundle(size.pools, 720)
    services = tuple(
        model.Service(
            f"s{number}",
            f"p{number}",
            7_000,
            model.Budget(
                members - -(-members // _ZONES) - 2, model.FailureDomain.ZONE
            ),
        )
        for number in range(size.pools)
    )
    bundle = dataclasses.replace(bundle, services=services)
    vms = fleet_load.make_vms(size.vms, _ZONES)
    start = int(_START.timestamp())
    assignments = tuple(
        vm_records.VmRecord(
            vm.vm_id,
            f"p{number % size.pools}",
            # Failed VMs are not due, as they may be drained at any time.
            maintained_at=(
                0 if is_due and number >= missing * size.pools else start
            ),
        )
        for number, vm in enumerate(vms)
    )
    health = tuple(
        budgets.InstanceHealth(
            f"s{number % size.pools}",
            vm.vm_id,
            vm.zone,
            vm.rack,
            number >= missing * size.pools,
        )
        for number, vm in enumerate(vms)
    )
    return _Fleet(bundle, waves.FleetState(vms, assignments, health))


def measure_planning(size: Size) -> PlanningCost:
    """Returns the cost of one round of each decision."""
    due = make_fleet(size, True, 0)
    held = make_fleet(size, True, 6)
    idle = make_fleet(size, False, 0)
    found = list(_plan_moves(due, size))
    return PlanningCost(
        size.vms,
        size.pools,
        _time(lambda: waves.plan_wave(held.bundle, held.state, _START)),
        _time(lambda: waves.plan_wave(idle.bundle, idle.state, _START)),
        _time(lambda: waves.plan_wave(due.bundle, due.state, _START)),
        _time(lambda: _check_pace(due)),
        _time(lambda: list(_plan_idle(due, size))),
        _time(lambda: list(_plan_moves(due, size))),
        len(found),
    )


def find_slope(sizes: list[float], costs: list[float]) -> float:
    """Returns the slope of a least-squares line."""
    return statistics.linear_regression(sizes, costs).slope


def _check_pace(fleet: _Fleet) -> waves.PaceCheck:
    state = fleet.state
    return waves.check_pace(
        fleet.bundle, state.vms, state.assignments, _TIME_PER_VM
    )


def _plan_idle(fleet: _Fleet, size: Size) -> Iterator[assignment.Assignment]:
    targets = tuple(
        demand.PoolTarget(pool.name, size.vms // size.pools)
        for pool in fleet.bundle.pools
    )
    state = fleet.state
    return assignment.plan_assignments(
        fleet.bundle, targets, state.vms, state.assignments, frozenset()
    )


def _plan_moves(fleet: _Fleet, size: Size) -> Iterator[assignment.Assignment]:
    members = size.vms // size.pools
    targets = tuple(
        demand.PoolTarget(
            pool.name, members + 2 if number % 4 == 0 else members - 1
        )
        for number, pool in enumerate(fleet.bundle.pools)
    )
    state = fleet.state
    return assignment.plan_assignments(
        fleet.bundle, targets, state.vms, state.assignments, frozenset()
    )


def _time(run: Callable[[], object]) -> float:
    """Returns the median processor time in milliseconds."""
    times = []
    for _ in range(_REPEATS):
        begun = time.process_time()
        run()
        times.append((time.process_time() - begun) * 1_000)
    return statistics.median(times)


def measure_memory(seed: int) -> Iterator[RowMemory]:
    """Yields the memory of a row in each copy of the state."""
    rng = random.Random(seed)
    clock = clock_lib.ManualClock()
    vms = 2_400
    yield RowMemory("FleetView", vms, _measure_view(vms) / vms)
    rows = tuple(
        records.Write(
            vm_records.make_vm_key(f"vm-{number:04d}"),
            vm_records.encode_vm_record(
                vm_records.VmRecord(f"vm-{number:04d}", f"p{number % 101}")
            ),
        )
        for number in range(vms)
    )
    table = _fill(rows, rng)
    store = vm_store.VmStore(table, clock, rng)
    yield RowMemory("VmStore", vms, _measure_async(store.refresh) / vms)
    count = 10_000
    rows = tuple(
        records.Write(
            jobs.make_job_key("0", f"job-{number}"),
            jobs.encode_job(
                placement_bench.make_job(rng, f"job-{number}", 101, 720)
            ),
        )
        for number in range(count)
    )
    table = _fill(rows, rng)
    job_copy = job_store.JobStore(table, "0", clock, rng)
    yield RowMemory("JobStore", count, _measure_async(job_copy.refresh) / count)
    workers = _Workers(count)
    tracker = task_tracker.TaskTracker(workers, clock)
    yield RowMemory("TaskBoard", count, _measure_async(tracker.refresh) / count)


def _measure_view(count: int) -> float:
    """Returns the bytes of a view of the VMs and their records."""

    def fill(kept: view.FleetView) -> None:
        kept.set_vms(fleet_load.make_vms(count, _ZONES))
        for number in range(count):
            name = f"vm-{number:04d}"
            kept.set_assignment(vm_records.VmRecord(name, f"p{number % 101}"))

    kept = view.FleetView()
    return _trace(lambda: fill(kept))


def _measure_async(run: Callable[[], Coroutine[Any, Any, None]]) -> float:
    return _trace(lambda: anyio.run(run))


def _trace(run: Callable[[], object]) -> float:
    """Returns the bytes that stay allocated after a call."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    run()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used


def _fill(
    rows: tuple[records.Write, ...], rng: random.Random
) -> table_store.MemoryTable:
    table = table_store.MemoryTable()

    async def write() -> None:
        for start in range(0, len(rows), _WRITE_BATCH):
            batch = rows[start : start + _WRITE_BATCH]
            write_id = f"{rng.getrandbits(64):016x}"
            await table.transact(records.Transaction(write_id, (), batch))

    anyio.run(write)
    return table


class _Workers:
    """Reports tasks that run, as the platform does on the first read."""

    __slots__ = ("_count",)

    def __init__(self, count: int) -> None:
        self._count = count

    async def list_workers(self) -> tuple[records.Worker, ...]:
        """Returns no workers, so that the tasks alone are measured."""
        return ()

    async def list_changed_tasks(self, after_revision: int) -> records.TaskPage:
        """Returns all tasks."""
        tasks = tuple(
            records.Task(
                f"job-{number}",
                1,
                f"vm-{number % 2_400:04d}",
                records.TaskState.RUNNING,
                records.Resources(1.5, 2_000.0 + number, 0),
            )
            for number in range(self._count)
        )
        return records.TaskPage(tasks, after_revision + 1)

    async def list_tasks(self, worker_id: str) -> tuple[records.Task, ...]:
        """Isn't used here."""
        raise NotImplementedError(worker_id)

    async def renew_tasks(self, tasks: tuple[records.Task, ...]) -> None:
        """Isn't used here."""
        raise NotImplementedError(len(tasks))

    async def start_task(
        self, worker_id: str, start: records.TaskStart
    ) -> records.Task:
        """Isn't used here."""
        raise NotImplementedError(worker_id, start)

    async def change_task(
        self, worker_id: str, job_id: str, attempt: int, action: str
    ) -> records.Task:
        """Isn't used here."""
        raise NotImplementedError(worker_id, job_id, attempt, action)


@click.command()
@click.option("--seed", default=1, help="Seed of all random numbers.")
@click.option("--json", "path", type=click.Path(path_type=pathlib.Path))
def main(seed: int, path: pathlib.Path | None) -> None:
    """Prints the costs, their slopes and the memory of the state."""
    print(f"processor time of a round in ms, seed {seed}, median of {_REPEATS}")
    print("  VMs  pools     held     idle    start     pace  assign    moves")
    costs = []
    for size in SIZES:
        cost = measure_planning(size)
        costs.append(cost)
        print(
            f"{cost.vms:5}{cost.pools:7}{cost.wave_held:9.1f}"
            f"{cost.wave_idle:9.1f}{cost.wave_started:9.1f}{cost.pace:9.1f}"
            f"{cost.idle:8.1f}{cost.moves:9.1f} ({cost.move_count} moves)",
            flush=True,
        )
    sizes = [float(cost.vms) for cost in costs]
    for name in ("wave_held", "wave_idle", "wave_started", "pace", "idle",
                 "moves"):  # fmt: skip
        values = [float(getattr(cost, name)) for cost in costs]
        verdict = ""
        if values[-1] > _DESIGN_LIMIT_MS:
            verdict = f", beyond {_DESIGN_LIMIT_MS:g} ms at the design size"
        slope = find_slope(sizes, values) * 1_000
        print(f"slope of {name}: {slope:.1f} us for each VM{verdict}")
    memory = tuple(measure_memory(seed))
    for row in memory:
        print(
            f"{row.copy}: {row.bytes_per_row:.0f} bytes a row, {row.rows} rows"
        )
    if path is not None:
        document = {
            "seed": seed,
            "planning": [dataclasses.asdict(cost) for cost in costs],
            "memory": [dataclasses.asdict(row) for row in memory],
        }
        path.write_text(json.dumps(document, indent=1))


if __name__ == "__main__":
    main()
