"""Fake workers, an auto-advancing clock and schedulers for job tests."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime
import random

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.bundle import holder
from fireflywell.bundle import model
from fireflywell.control import job_store
from fireflywell.control import scheduler
from fireflywell.control import task_tracker
from fireflywell.coordination import leases
from fireflywell.fleet import jobs
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records
from fireflywell.standins import table_store
from fireflywell.telemetry import metrics

CAPACITY = records.Resources(16, 32_000, 2)
_LIVE = (records.TaskState.RUNNING, records.TaskState.THROTTLED)


class AutoAdvancingClock(clock_lib.ManualClock):
    """Advances by the duration of each sleep, so that no task blocks."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Advances the clock at once."""
        self.advance(max(duration, datetime.timedelta()))


class FakeWorkers:
    """Runs tasks in memory and counts the starts of each job."""

    def __init__(self, clock: clock_lib.Clock, count: int) -> None:
        self.clock = clock
        self.names = [f"w{number}" for number in range(count)]
        self.lost_workers: set[str] = set()
        # Workers that aren't listed although they still get calls; what they
        # report and answer is lost.
        self.unlisted: set[str] = set()
        self.rejects_starts = False
        self.failing: set[str] = set()
        self.tasks: dict[tuple[str, int], records.Task] = {}
        self.renewed: dict[tuple[str, int], datetime.timedelta] = {}
        self.begun: dict[str, int] = {}
        self.succeeded: dict[str, int] = {}
        self.lost_answers = 0
        self.highest_running: dict[str, int] = {}
        self.changes: dict[tuple[str, int], int] = {}
        self.revision = 0

    def advance_leases(self) -> None:
        """Ends the tasks whose leases were not renewed in time."""
        now = self.clock.monotonic()
        for name, task in self.tasks.items():
            is_late = now - self.renewed[name] >= task_tracker.TASK_LEASE
            if task.state in _LIVE and is_late:
                self.change(name, records.TaskState.LAPSED)

    def change(
        self, name: tuple[str, int], state: records.TaskState
    ) -> records.Task:
        """Sets the state of a task and reports it."""
        self.revision += 1
        task = dataclasses.replace(self.tasks[name], state=state)
        self.tasks[name] = task
        self.changes[name] = self.revision
        return task

    def end_task(self, name: tuple[str, int], succeeds: bool) -> None:
        """Ends a running task with success or failure."""
        if self.tasks[name].state not in _LIVE:
            return
        if succeeds:
            count = self.succeeded.get(name[0], 0)
            self.succeeded[name[0]] = count + 1
        self.change(
            name,
            records.TaskState.SUCCEEDED
            if succeeds
            else records.TaskState.FAILED,
        )

    def lose_worker(self, worker_id: str) -> None:
        """Removes a worker; its running tasks fail unreported."""
        self.lost_workers.add(worker_id)
        for name, task in self.tasks.items():
            if task.worker_id == worker_id and task.state in _LIVE:
                # No change is reported, since the worker is lost.
                self.tasks[name] = dataclasses.replace(
                    task, state=records.TaskState.FAILED
                )

    async def list_workers(self) -> tuple[records.Worker, ...]:
        """Lists the workers that are reachable."""
        return tuple(
            records.Worker(name, "a", "r1", CAPACITY, records.Resources())
            for name in self.names
            if name not in self.lost_workers | self.unlisted
        )

    async def list_tasks(self, worker_id: str) -> tuple[records.Task, ...]:
        """Lists one worker's tasks."""
        return tuple(
            task for task in self.tasks.values() if task.worker_id == worker_id
        )

    async def list_changed_tasks(self, after_revision: int) -> records.TaskPage:
        """Lists the reported task changes of reachable workers."""
        self.advance_leases()
        changed = tuple(
            self.tasks[name]
            for name, revision in self.changes.items()
            if revision > after_revision
            and self.tasks[name].worker_id
            not in self.lost_workers | self.unlisted
        )
        return records.TaskPage(changed, self.revision)

    async def renew_tasks(self, tasks: tuple[records.Task, ...]) -> None:
        """Renews leases of tasks that haven't ended."""
        self.advance_leases()
        for task in tasks:
            name = (task.job_id, task.attempt)
            if name in self.tasks:
                self.renewed[name] = self.clock.monotonic()

    async def start_task(
        self, worker_id: str, start: records.TaskStart
    ) -> records.Task:
        """Starts an attempt once; may lose the answer."""
        if worker_id in self.lost_workers or self.rejects_starts:
            raise errors.PlatformUnavailableError("the worker is away")
        name = (start.job_id, start.attempt)
        if name not in self.tasks:
            self.begun[start.job_id] = self.begun.get(start.job_id, 0) + 1
            self.tasks[name] = records.Task(
                start.job_id,
                start.attempt,
                worker_id,
                records.TaskState.RUNNING,
                start.resources,
            )
            self.renewed[name] = self.clock.monotonic()
            self.change(name, records.TaskState.RUNNING)
            if worker_id in self.failing:
                self.change(name, records.TaskState.FAILED)
        if worker_id in self.unlisted:
            raise errors.AnswerLostError("the worker isn't listed")
        if self.lost_answers:
            self.lost_answers -= 1
            raise errors.AnswerLostError("lost by the test")
        return self.tasks[name]

    async def change_task(
        self, worker_id: str, job_id: str, attempt: int, action: str
    ) -> records.Task:
        """Checkpoints, stops or throttles a task."""
        if worker_id in self.lost_workers:
            raise errors.PlatformUnavailableError("the worker is away")
        name = (job_id, attempt)
        states = {
            "checkpoint": records.TaskState.CHECKPOINTED,
            "stop": records.TaskState.STOPPED,
            "throttle": records.TaskState.THROTTLED,
        }
        if self.tasks[name].state in _LIVE:
            return self.change(name, states[action])
        return self.tasks[name]


def make_bundle() -> model.Bundle:
    """Returns two pools and a spare one, each with its kind of job."""
    return model.Bundle(
        version=1,
        signing=model.Signing(1, ()),
        pools=(
            model.Pool("bids", 2, carries=("bid",)),
            model.Pool("claims", 2, carries=("claim",)),
            model.Pool("reporting", 2, carries=("report",), spare=True),
        ),
        services=(),
        classes=(),
        teams=(
            model.Team("sales", 1.0, 32, 64_000, 4),
            model.Team("audit", 1.0, 32, 64_000, 4),
        ),
    )


class HookedTable(table_store.MemoryTable):
    """Runs a hook once, right before the next transaction."""

    def __init__(self) -> None:
        super().__init__()
        self.hook: Callable[[], Awaitable[None]] | None = None

    async def transact(
        self, transaction: records.Transaction
    ) -> records.TransactionResult:
        """Runs the hook and then the transaction."""
        hook, self.hook = self.hook, None
        is_job = any(
            write.key.startswith(jobs.JOB_PREFIX)
            for write in transaction.writes
        )
        if hook is not None and is_job:
            await hook()
        elif hook is not None:
            self.hook = hook
        return await super().transact(transaction)


class JobWorld:
    """A table, workers and schedulers that contend for the role."""

    def __init__(self, schedulers: int = 1) -> None:
        self.clock = AutoAdvancingClock()
        self.table = HookedTable()
        self.workers = FakeWorkers(self.clock, 6)
        self.holder = holder.BundleHolder()
        self.holder.adopt(make_bundle())
        pools = ("bids", "claims", "reporting")
        self.assignments = tuple(
            vm_records.VmRecord(name, pools[number // 2])
            for number, name in enumerate(self.workers.names)
        )
        self.keepers: list[leases.LeaseKeeper] = []
        self.roles: list[scheduler.SchedulerRole] = []
        self.trackers: list[task_tracker.TaskTracker] = []
        for number in range(schedulers):
            self._add_scheduler(number)

    def _add_scheduler(self, number: int) -> None:
        rng = random.Random(number)
        keeper = leases.LeaseKeeper(
            "scheduler/0", f"c{number}", self.table, self.clock, rng
        )
        fenced = leases.FencedTable(self.table, keeper)
        tracker = task_tracker.TaskTracker(self.workers, self.clock)
        context = scheduler.SchedulerContext(
            job_store.JobStore(fenced, "0", self.clock, rng),
            tracker,
            self.workers,
            lambda: self.assignments,
            self.clock,
            metrics.NullMetrics(),
        )
        self.keepers.append(keeper)
        self.trackers.append(tracker)
        self.roles.append(scheduler.SchedulerRole(self.holder, context))

    def replace_lost_workers(self) -> None:
        """Adds a new worker to the pool of each one that was lost."""
        lost = [
            r for r in self.assignments if r.vm_id in self.workers.lost_workers
        ]
        kept = [r for r in self.assignments if r not in lost]
        for record in lost:
            name = f"w{len(self.workers.names)}"
            self.workers.names.append(name)
            kept.append(vm_records.VmRecord(name, record.pool))
        self.assignments = tuple(kept)

    async def run_round(self, number: int = 0) -> bool:
        """Acquires or renews the lease, then runs a round.

        Returns whether the round was completed.
        """
        await self.keepers[number].step()
        lease = self.keepers[number].current
        if lease is None:
            return False
        try:
            await self.roles[number].run_round(lease)
            await self.workers.renew_tasks(self.trackers[number].live_tasks)
        except (errors.PlatformError, errors.LeaseLostError):
            return False
        return True

    async def submit(self, spec: jobs.JobSpec) -> None:
        """Writes a new job."""
        await self.write(jobs.JobRecord(spec), 0)

    async def write(self, record: jobs.JobRecord, version: int) -> None:
        """Writes a job's row as an operator does."""
        key = jobs.make_job_key("0", record.spec.job_id)
        await self.table.transact(
            records.Transaction(
                f"op-{record.spec.job_id}-{version}",
                (records.Condition(key, version),),
                (records.Write(key, jobs.encode_job(record)),),
            )
        )

    async def cancel(self, job_id: str) -> None:
        """Requests a job's cancellation as an operator does."""
        key = jobs.make_job_key("0", job_id)
        row = (await self.table.read((key,)))[0]
        record = jobs.decode_job(row.value)
        if not record.is_ended:
            await self.write(
                dataclasses.replace(record, is_cancel_requested=True),
                row.version,
            )

    async def read_jobs(self) -> dict[str, jobs.JobRecord]:
        """Returns all jobs in the table."""
        page = await self.table.scan(jobs.JOB_PREFIX)
        found = (jobs.decode_job(row.value) for row in page.rows)
        return {record.spec.job_id: record for record in found}


def make_spec(
    job_id: str,
    kind: str = "bid",
    team: str = "sales",
    cores: float = 2,
    urgency: jobs.JobUrgency = jobs.JobUrgency.NORMAL,
    is_idempotent: bool = True,
    can_checkpoint: bool = False,
    deadline: datetime.datetime | None = None,
) -> jobs.JobSpec:
    """Returns a small job."""
    return jobs.JobSpec(
        job_id,
        kind,
        team,
        "run",
        records.Resources(cores, 1_000, 0),
        60,
        urgency,
        is_idempotent,
        can_checkpoint,
        deadline=deadline,
    )
