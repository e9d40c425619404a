"""Runs real processes under random faults and checks the promises.

    python -m tools.soak SEED [SEED ...]
    python -m tools.soak --fresh 10
    python -m tools.soak --known

Prints one line for each seed and keeps the logs of those that failed.
"""

import dataclasses
import os
import pathlib
import random
import shutil
import sys
import tempfile

import anyio
import click
from tools import soak_checks
from tools import soak_clients
from tools import soak_configuration
from tools import soak_counts
from tools import soak_losses
from tools import soak_plan
from tools import soak_seeds
from tools import soak_spans
from tools import soak_stale
from tools import soak_stalls
from tools import soak_submissions
from tools import soak_system
from tools import soak_waits
from tools import soak_waves

from fireflywell import clock as clock_lib

# After the last fault has healed, the users' platform allows 12 s until work is
# served again and 14 s to finish it.
_SETTLE_S = 26.0
_POLL_S = 0.5

# Fresh seeds are below this, so that each kind of plan gets a fourth of them.
_FRESH_SEEDS = 4000


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one soak.

    Attributes:
        seed: The seed.
        jobs: Jobs that clients submitted.
        accepted: Jobs that were accepted.
        starts: Starts that workers carried out.
        upkeeps: VMs whose maintenance began, for each wave.
        probes: Answers that tell which configuration a node had applied.
        settle_s: Time from the last fault until all was worked off.
        longest_wait_s: Longest wait beside free workers, without the time
            that faults excuse.
        longest_stall_s: Longest time without processor time for the soak.
        findings: What broke a promise.
    """

    seed: int
    jobs: int
    accepted: int
    starts: int
    upkeeps: int
    probes: int
    settle_s: float
    longest_wait_s: float
    longest_stall_s: float
    findings: tuple[str, ...]


def choose_subnet(seed: int) -> str:
    """Returns the first three parts of the addresses of a soak."""
    return f"127.{100 + seed % 100}.{seed // 100 % 250}"


async def run_soak(
    seed: int, shape: soak_plan.Shape, directory: pathlib.Path
) -> Outcome:
    """Runs one soak; its logs are in the directory."""
    clock = clock_lib.SuspendAwareClock()
    system = soak_system.SoakSystem(
        directory, choose_subnet(seed), shape, clock
    )
    try:
        async with anyio.create_task_group() as links:
            links.start_soon(system.run_links)
            system.start_emulator()
            for number in range(shape.nodes):
                system.start_node(number)
            await system.wait_until_ready()
            outcome = await _drive(seed, shape, system, clock)
            links.cancel_scope.cancel()
        return outcome
    finally:
        system.end()


async def _drive(
    seed: int,
    shape: soak_plan.Shape,
    system: soak_system.SoakSystem,
    clock: clock_lib.Clock,
) -> Outcome:
    rng = random.Random(seed)
    caller = soak_clients.Caller(system.callers_addresses, clock, rng)
    clients = [
        soak_clients.Client(
            caller,
            shape.services,
            random.Random(seed + n),
            soak_submissions.choose_give_up_share(seed),
        )
        for n in range(shape.clients)
    ]
    changes = soak_plan.plan_changes(seed, shape)
    planned = sorted(
        (
            *soak_plan.plan_faults(seed, shape),
            *changes,
            *soak_plan.plan_order_faults(seed, shape),
            *soak_losses.plan_losses(seed, shape),
            *soak_stale.plan_stale_state(seed, shape),
            *soak_waves.plan_waves(seed, shape),
            *soak_submissions.plan_late_submissions(seed, shape),
        ),
        key=lambda item: item.at_s,
    )
    watcher = soak_configuration.Watcher(
        system.callers_addresses, changes, clock
    )
    counts = soak_counts.CountWatcher(
        system.callers_addresses, shape.services, clock
    )
    begun_s = clock.monotonic().total_seconds()
    stalls = soak_stalls.StallWatcher(clock)
    async with anyio.create_task_group() as watching:
        watching.start_soon(watcher.run)
        watching.start_soon(counts.run)
        watching.start_soon(stalls.run)
        async with anyio.create_task_group() as traffic:
            for client in clients:
                traffic.start_soon(client.run)
            await _make_faults(planned, system)
            traffic.cancel_scope.cancel()
        healed_at = clock.monotonic()
        jobs = [job for client in clients for job in client.jobs]
        unfinished = await _settle(caller, jobs, system)
        settle_s = (clock.monotonic() - healed_at).total_seconds()
        watching.cancel_scope.cancel()
    records = await system.read_records()
    system.write_faults(records)
    observed = soak_spans.Span(begun_s, clock.monotonic().total_seconds())
    waits = soak_waits.find_waits(
        jobs, records, system.faults, observed, stalls.stalls
    )
    findings = soak_checks.find_broken_promises(
        jobs, records, soak_waits.list_stale_state(system.faults)
    )
    findings += unfinished
    findings += soak_waves.check_waves(records)
    findings += soak_configuration.find_late_nodes(
        watcher.probes, records.changes, system.disturbances
    )
    findings += soak_counts.find_low_counts(
        counts.counts, jobs, records, system.disturbances
    )
    findings += soak_waits.describe_long_waits(waits)
    findings += await system.stop_nodes()
    findings += system.find_tracebacks()
    await caller.close()
    return Outcome(
        seed,
        len(jobs),
        sum(job.accepted_s is not None for job in jobs),
        len(records.starts),
        len(records.upkeeps),
        len(watcher.probes),
        settle_s,
        max((item.counted_s for item in waits), default=0.0),
        stalls.longest_s,
        tuple(findings),
    )


async def _make_faults(
    planned: list[soak_plan.Planned], system: soak_system.SoakSystem
) -> None:
    passed_s = 0.0
    async with anyio.create_task_group() as faults:
        for item in planned:
            await anyio.sleep(item.at_s - passed_s)
            passed_s = item.at_s
            faults.start_soon(system.make_fault, item.fault)


async def _settle(
    caller: soak_clients.Caller,
    jobs: list[soak_clients.JobRecord],
    system: soak_system.SoakSystem,
) -> list[str]:
    unfinished = ["nothing was read"]
    with anyio.move_on_after(_SETTLE_S):
        while unfinished:
            await anyio.sleep(_POLL_S)
            for job in jobs:
                is_open = job.accepted_s is not None and not (
                    job.is_long_running or job.cancel_sent_s
                )
                if is_open and job.state != "completed":
                    await caller.show(job)
            records = await system.read_records()
            unfinished = [
                *soak_checks.list_unfinished(jobs, records),
                *soak_waves.list_unfinished(records),
            ]
    return unfinished


def run_seed(seed: int, shape: soak_plan.Shape) -> Outcome:
    """Runs one soak and keeps its logs if it failed."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"fireflywell-{seed}-"))
    outcome = anyio.run(run_soak, seed, shape, directory)
    print(
        f"seed {seed}: {outcome.jobs} jobs, {outcome.accepted} accepted, "
        f"{outcome.starts} starts, {outcome.upkeeps} upkeeps, "
        f"{outcome.probes} probes, "
        f"settled in {outcome.settle_s:.1f} s, "
        f"longest wait {outcome.longest_wait_s:.1f} s, "
        f"longest stall {outcome.longest_stall_s:.1f} s, "
        f"load {os.getloadavg()[0]:.0f}, "
        f"{len(outcome.findings)} findings",
        flush=True,
    )
    for finding in outcome.findings:
        print(f"  {finding}")
    if outcome.findings:
        print(f"  logs: {directory}", flush=True)
    else:
        shutil.rmtree(directory)
    return outcome


@click.command()
@click.argument("seeds", nargs=-1, type=int)
@click.option("--fresh", default=0, help="Number of further, random seeds.")
@click.option("--known", is_flag=True, help="Also the seeds that once failed.")
@click.option("--nodes", type=int, help="Number of node processes.")
@click.option("--workers", type=int, help="Number of workers.")
@click.option("--clients", type=int, help="Number of clients.")
@click.option("--seconds", type=float, help="Time in which faults begin.")
def main(
    seeds: tuple[int, ...],
    fresh: int,
    known: bool,
    nodes: int | None,
    workers: int | None,
    clients: int | None,
    seconds: float | None,
) -> None:
    """Runs soaks one after the other.

    Sizes that are not given depend on the seed. There may be up to 30 nodes,
    each with a process of its own, and up to 50 workers.
    """
    chosen = [*seeds, *(random.randrange(_FRESH_SEEDS) for _ in range(fresh))]
    if known:
        chosen += [item.seed for item in soak_seeds.KNOWN_SEEDS]
    outcomes = [
        run_seed(
            seed,
            soak_plan.choose_shape(seed, nodes, workers, clients, seconds),
        )
        for seed in chosen
    ]
    failed = [item.seed for item in outcomes if item.findings]
    print(f"{len(outcomes) - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
