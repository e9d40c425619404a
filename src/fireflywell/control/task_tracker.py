"""Tracks the platform's reports of tasks and workers."""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.infrastructure import machines
from fireflywell.infrastructure import records
from fireflywell.telemetry import logs

# A worker that isn't listed is marked as expired only after the lease of every
# task on it must have expired.
TASK_LEASE = datetime.timedelta(seconds=30)
_WORKER_EXPIRY = TASK_LEASE * 1.5
# The list of workers is large and rarely changes, so it is read less often than
# the changed tasks, which are read on every refresh.
_LIST_INTERVAL = datetime.timedelta(seconds=1)
_LIVE_STATES = frozenset(
    (records.TaskState.RUNNING, records.TaskState.THROTTLED)
)


def is_live(task: records.Task) -> bool:
    """Whether a task is running or throttled, by its latest report."""
    return task.state in _LIVE_STATES


class TaskTracker:
    """Stores the latest report of each attempt and of each worker."""

    __slots__ = (
        "_clock",
        "_last_listed_at",
        "_revision",
        "_tasks",
        "_workers",
        "_workers_api",
        "_workers_read_at",
    )

    def __init__(
        self, workers: machines.Workers, clock: clock_lib.Clock
    ) -> None:
        self._workers_api = workers
        self._clock = clock
        self._tasks: dict[tuple[str, int], records.Task] = {}
        self._workers: dict[str, records.Worker] = {}
        self._last_listed_at: dict[str, datetime.timedelta] = {}
        self._workers_read_at: datetime.timedelta | None = None
        self._revision = 0

    @property
    def workers(self) -> tuple[records.Worker, ...]:
        """Workers of the last list read from the platform."""
        return tuple(self._workers.values())

    @property
    def live_tasks(self) -> tuple[records.Task, ...]:
        """Attempts that are running or throttled, by their latest reports.

        Those on workers that aren't listed are left out: their leases must
        expire before the workers count as gone.
        """
        return tuple(
            task
            for task in self._tasks.values()
            if is_live(task) and task.worker_id in self._workers
        )

    async def refresh(self) -> None:
        """Reads the tasks that changed and, once a second, the workers.

        Raises:
            PlatformError: The platform can't be reached.
        """
        now = self._clock.monotonic()
        if (
            self._workers_read_at is None
            or now - self._workers_read_at >= _LIST_INTERVAL
        ):
            listed = await self._workers_api.list_workers()
            self._workers_read_at = now
            self._workers = {worker.worker_id: worker for worker in listed}
            for worker_id in self._workers:
                self._last_listed_at[worker_id] = now
        page = await self._workers_api.list_changed_tasks(self._revision)
        for task in page.tasks:
            self.record_report(task)
        self._revision = page.revision

    def record_report(self, task: records.Task) -> None:
        """Stores a task's report, replacing the attempt's previous one."""
        self._tasks[(task.job_id, task.attempt)] = task

    def find(self, job_id: str, attempt: int) -> records.Task | None:
        """Returns the latest report of an attempt, or None."""
        return self._tasks.get((job_id, attempt))

    def discard_attempt(self, job_id: str, attempt: int) -> None:
        """Discards the report of an attempt whose end has been written."""
        self._tasks.pop((job_id, attempt), None)

    def is_worker_listed(self, worker_id: str) -> bool:
        """Whether the last list read from the platform has the worker."""
        return worker_id in self._workers

    def is_worker_expired(self, worker_id: str) -> bool:
        """Whether the worker was absent until all leases on it had expired."""
        if worker_id in self._workers:
            return False
        now = self._clock.monotonic()
        last_listed_at = self._last_listed_at.setdefault(worker_id, now)
        return now - last_listed_at >= _WORKER_EXPIRY


class TaskRenewer:
    """Renews the leases of running tasks; works without the scheduler's lease.

    A renewal can't revive an attempt that has ended, and no job is placed again
    before its attempt has ended. So every control process may renew, which
    keeps tasks running while the store is down and no process can hold the
    scheduler's lease.
    """

    __slots__ = ("_clock", "_workers_api")

    def __init__(
        self, workers: machines.Workers, clock: clock_lib.Clock
    ) -> None:
        self._workers_api = workers
        self._clock = clock

    async def renew_all(self, tasks: tuple[records.Task, ...]) -> None:
        """Renews the leases of these tasks in one call.

        Raises:
            PlatformError: Some leases may not have been renewed.
        """
        if tasks:
            await self._workers_api.renew_tasks(tasks)

    async def run(
        self,
        list_tasks: Callable[[], Awaitable[tuple[records.Task, ...]]],
        must_renew: Callable[[], bool],
    ) -> None:
        """Renews the leases every third of their duration until cancelled.

        Args:
            list_tasks: Returns the running tasks.
            must_renew: Returns whether this process has to renew now.
        """
        while True:
            if must_renew():
                try:
                    await self.renew_all(await list_tasks())
                except errors.PlatformError as error:
                    logs.log_event("tasks.renewal_failed", error=str(error))
            await self._clock.sleep(TASK_LEASE / 3)
