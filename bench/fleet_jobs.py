"""Jobs of a deployment placed round by round on a manual clock."""

from collections.abc import Iterator
import dataclasses
import datetime
import random

import fleet_load

from fireflywell.fleet import fair_share
from fireflywell.fleet import jobs
from fireflywell.fleet import placement
from fireflywell.fleet import preemption
from fireflywell.fleet import worker_pool
from fireflywell.infrastructure import records

# The scheduler's interval. Calls to the store and the workers take no time.
ROUND_SECONDS = 0.25
_START = datetime.datetime(2026, 6, 1, 9, tzinfo=datetime.UTC)
_START_OF_DAY_SECONDS = 9 * 3_600
_CAPACITY = records.Resources(16, 32_000)
_SIZE = records.Resources(2, 2_000)
_JOBS_PER_VM = 8
_TASK_LEASE_SECONDS = 30
_WAVE_SECONDS = 120


@dataclasses.dataclass(frozen=True, slots=True)
class JobClass:
    """A class of jobs.

    Attributes:
        name: Name of the class.
        urgency: How it competes.
        share: Part of a queue's load.
        run_seconds: Mean run time.
        can_checkpoint: Whether it can be checkpointed.
    """

    name: str
    urgency: jobs.JobUrgency
    share: float
    run_seconds: float
    can_checkpoint: bool


CLASSES = (
    JobClass("urgent", jobs.JobUrgency.URGENT, 0.05, 2.0, False),
    JobClass("normal", jobs.JobUrgency.NORMAL, 0.45, 15.0, False),
    JobClass("batch", jobs.JobUrgency.BATCH, 0.5, 60.0, True),
)


@dataclasses.dataclass(slots=True)
class _Job:
    """A job in the model.

    Attributes:
        record: Its record.
        job_class: Its class.
        arrived: When it was submitted, in seconds.
        remaining: Run time that is left at full speed, in seconds.
        first_start: When it first started; None before.
        worker_id: Its worker; empty while it waits.
        is_throttled: Whether it runs at the throttled speed.
        is_lent: Whether it runs outside its kind's pools.
        not_before: When it may be placed again after its worker was lost.
    """

    record: jobs.JobRecord
    job_class: JobClass
    arrived: float
    remaining: float
    first_start: float | None = None
    worker_id: str = ""
    is_throttled: bool = False
    is_lent: bool = False
    not_before: float = 0.0

    @property
    def size(self) -> records.Resources:
        """Resources reserved now."""
        if self.is_throttled:
            cores = _SIZE.cores * preemption.THROTTLED_PART
            return records.Resources(cores, _SIZE.memory_mb)
        return _SIZE


@dataclasses.dataclass(frozen=True, slots=True)
class ClassWaits:
    """Waits of a class, in seconds from submission to the first start."""

    job_class: str
    jobs: int
    started: int
    mean: float
    p50: float
    p99: float
    maximum: float


@dataclasses.dataclass(frozen=True, slots=True)
class JobsResult:
    """What a run of the jobs gave.

    Attributes:
        utilisation: Used part of the capacity of all VMs.
        preemptions: Tasks that gave way.
        lost: Attempts lost with their worker.
        refused: Jobs set aside as unable to run.
        waits: Waits by class.
    """

    utilisation: float
    preemptions: int
    lost: int
    refused: int
    waits: tuple[ClassWaits, ...]


class JobsRun:
    """Runs the placement decisions against generated jobs."""

    __slots__ = ("_deployment", "_duration", "_ended", "_lost", "_number",
                 "_preemptions", "_random", "_refused", "_running", "_used",
                 "_waiting")  # fmt: skip

    def __init__(
        self, deployment: fleet_load.Deployment, duration: int, seed: int
    ) -> None:
        self._deployment = deployment
        self._duration = duration
        self._random = random.Random(seed)
        self._waiting: dict[str, _Job] = {}
        self._running: dict[str, _Job] = {}
        self._ended: list[_Job] = []
        self._number = 0
        self._preemptions = 0
        self._lost = 0
        self._refused = 0
        self._used = 0.0

    def run(self) -> JobsResult:
        """Runs all rounds and returns the waits."""
        for number in range(int(self._duration / ROUND_SECONDS)):
            self._run_round(number * ROUND_SECONDS)
        everything = [
            *self._ended,
            *self._running.values(),
            *self._waiting.values(),
        ]
        vms = len(self._deployment.vms)
        return JobsResult(
            self._used / (self._duration * vms * _JOBS_PER_VM),
            self._preemptions,
            self._lost,
            self._refused,
            tuple(
                summarise_waits(item, everything, self._duration)
                for item in CLASSES
            ),
        )

    def _run_round(self, now: float) -> None:
        self._advance()
        self._add_arrivals(now)
        lost = self._list_lost(now)
        self._lose_tasks(lost, now)
        workers = self._make_workers(lost, self._list_drained(now))
        queued = tuple(
            fair_share.QueuedJob(
                job.record,
                _SIZE,
                datetime.timedelta(seconds=job.job_class.run_seconds),
            )
            for job in self._waiting.values()
            if job.not_before <= now
        )
        plan = placement.PlacementRound(
            self._deployment.bundle,
            queued,
            tuple(workers),
            self._sum_used(is_urgent=False),
            self._sum_used(is_urgent=True),
            _START + datetime.timedelta(seconds=now),
        )
        for decision in tuple(placement.plan_round(plan)):
            self._apply(decision, workers, now)

    def _advance(self) -> None:
        for name, job in tuple(self._running.items()):
            speed = preemption.THROTTLED_PART if job.is_throttled else 1.0
            job.remaining -= ROUND_SECONDS * speed
            self._used += ROUND_SECONDS * speed
            if job.remaining <= 0:
                self._ended.append(self._running.pop(name))

    def _add_arrivals(self, now: float) -> None:
        for queue in self._deployment.queues:
            load = queue.find_demand(now + _START_OF_DAY_SECONDS) * _JOBS_PER_VM
            for item in CLASSES:
                rate = load * item.share / item.run_seconds
                gap = self._random.expovariate(rate)
                while gap < ROUND_SECONDS:
                    # A job that arrives after a round waits for the next one.
                    self._submit(queue, item, now - ROUND_SECONDS + gap)
                    gap += self._random.expovariate(rate)

    def _submit(
        self, queue: fleet_load.QueueLoad, item: JobClass, arrived: float
    ) -> None:
        self._number += 1
        team = self._random.choice(self._deployment.bundle.teams).name
        spec = jobs.JobSpec(
            f"job-{self._number:07d}",
            queue.kind,
            team,
            "run",
            _SIZE,
            item.run_seconds,
            item.urgency,
            is_idempotent=item.can_checkpoint,
            can_checkpoint=item.can_checkpoint,
        )
        run = self._random.expovariate(1 / item.run_seconds)
        record = jobs.JobRecord(spec)
        self._waiting[spec.job_id] = _Job(record, item, arrived, run)

    def _list_lost(self, now: float) -> frozenset[str]:
        """Returns the VMs that are away: a VM, a rack, then a zone."""
        part = now / self._duration
        vms = self._deployment.vms
        if 0.1 <= part < 0.2:
            return frozenset((vms[7].vm_id,))
        if 0.3 <= part < 0.4:
            return frozenset(vm.vm_id for vm in vms if vm.rack == vms[12].rack)
        if 0.6 <= part < 0.7:
            return frozenset(vm.vm_id for vm in vms if vm.zone == vms[1].zone)
        return frozenset()

    def _list_drained(self, now: float) -> frozenset[str]:
        """Returns a VM of each of two racks' waves in turn."""
        number = int(now // _WAVE_SECONDS)
        size = self._deployment.bundle.maintenance.wave_size
        if number % 3:
            return frozenset()
        rack = self._deployment.vms[number % len(self._deployment.vms)].rack
        members = [vm.vm_id for vm in self._deployment.vms if vm.rack == rack]
        return frozenset(members[:size])

    def _lose_tasks(self, lost: frozenset[str], now: float) -> None:
        for name, job in tuple(self._running.items()):
            if job.worker_id in lost:
                self._lost += 1
                job.not_before = now + _TASK_LEASE_SECONDS
                self._requeue(name)

    def _requeue(self, name: str) -> None:
        job = self._running.pop(name)
        job.worker_id, job.is_throttled, job.is_lent = "", False, False
        self._waiting[name] = job

    def _make_workers(
        self, lost: frozenset[str], drained: frozenset[str]
    ) -> list[worker_pool.WorkerState]:
        workers = [
            worker_pool.WorkerState(
                vm.vm_id,
                self._deployment.bundle.pools[
                    number // fleet_load.POOL_VMS
                ].name,
                vm.zone,
                vm.rack,
                _CAPACITY,
                accepts_work=vm.vm_id not in drained,
            )
            for number, vm in enumerate(self._deployment.vms)
            if vm.vm_id not in lost
        ]
        by_id = {worker.worker_id: worker for worker in workers}
        for job in self._running.values():
            by_id[job.worker_id].add(
                worker_pool.RunningTask(
                    job.record, job.size, job.is_lent, job.is_throttled
                )
            )
        return workers

    def _sum_used(self, is_urgent: bool) -> dict[str, records.Resources]:
        used: dict[str, records.Resources] = {}
        for job in self._running.values():
            spec = job.record.spec
            if is_urgent and spec.urgency is not jobs.JobUrgency.URGENT:
                continue
            before = used.get(spec.team, records.Resources())
            used[spec.team] = fair_share.add_resources(before, job.size)
        return used

    def _apply(
        self,
        decision: placement.PlacementDecision,
        workers: list[worker_pool.WorkerState],
        now: float,
    ) -> None:
        name = decision.job.record.spec.job_id
        match decision:
            case placement.SetAsideJob():
                self._refused += 1
                del self._waiting[name]
            case placement.StartJob(worker_id=worker_id, preemptions=given):
                for item in given:
                    self._preempt(item)
                job = self._waiting.pop(name)
                job.worker_id = worker_id
                if job.first_start is None:
                    job.first_start = now
                job.is_lent = self._find_lent(job, workers)
                self._running[name] = job

    def _find_lent(
        self, job: _Job, workers: list[worker_pool.WorkerState]
    ) -> bool:
        for worker in workers:
            if worker.worker_id == job.worker_id:
                return not any(
                    pool.name == worker.pool
                    and job.record.spec.kind in pool.carries
                    for pool in self._deployment.bundle.pools
                )
        return False

    def _preempt(self, item: preemption.Preemption) -> None:
        self._preemptions += 1
        match item.action:
            case preemption.PreemptAction.THROTTLE:
                self._running[item.job_id].is_throttled = True
            case _:
                self._requeue(item.job_id)


def summarise_waits(
    item: JobClass, everything: list[_Job], end: float
) -> ClassWaits:
    """Returns the waits of a class; jobs not started count until the end."""
    members = [job for job in everything if job.job_class is item]
    waits = sorted(
        (end if job.first_start is None else job.first_start) - job.arrived
        for job in members
    )
    return ClassWaits(
        item.name,
        len(members),
        sum(job.first_start is not None for job in members),
        sum(waits) / len(waits),
        waits[len(waits) // 2],
        waits[int(len(waits) * 0.99)],
        waits[-1],
    )


def list_lines(result: JobsResult) -> Iterator[str]:
    """Yields the lines of a table of waits."""
    for waits in result.waits:
        yield (
            f"{waits.job_class:10}{waits.jobs:8}{waits.started:9}"
            f"{waits.mean:9.2f}{waits.p50:9.2f}{waits.p99:9.2f}"
            f"{waits.maximum:9.2f}"
        )
