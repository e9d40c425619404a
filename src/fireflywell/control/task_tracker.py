"""Tasks and workers as the platform reports them."""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.infrastructure import machines
from fireflywell.infrastructure import records
from fireflywell.telemetry import logs

# A worker that isn't listed counts as gone only after the lease of any task
# on it has surely ended.
TASK_LEASE = datetime.timedelta(seconds=30)
_GONE_AFTER = TASK_LEASE * 1.5
# The list of workers is large and changes seldom; changed tasks are read in
# every round.
_LIST_INTERVAL = datetime.timedelta(seconds=1)
_LIVE_STATES = frozenset(
    (records.TaskState.RUNNING, records.TaskState.THROTTLED)
)


def is_live(task: records.Task) -> bool:
    """Whether a task runs, by its latest report."""
    return task.state in _LIVE_STATES


class TaskTracker:
    """Keeps the latest report of each attempt and worker."""

    __slots__ = (
        "_clock",
        "_last_listed",
        "_listed_at",
        "_revision",
        "_tasks",
        "_workers",
        "_workers_api",
    )

    def __init__(
        self, workers: machines.Workers, clock: clock_lib.Clock
    ) -> None:
        self._workers_api = workers
        self._clock = clock
        self._tasks: dict[tuple[str, int], records.Task] = {}
        self._workers: dict[str, records.Worker] = {}
        self._last_listed: dict[str, datetime.timedelta] = {}
        self._listed_at: datetime.timedelta | None = None
        self._revision = 0

    @property
    def workers(self) -> tuple[records.Worker, ...]:
        """Workers of the last list."""
        return tuple(self._workers.values())

    @property
    def live_tasks(self) -> tuple[records.Task, ...]:
        """Attempts that run, by the latest reports."""
        return tuple(task for task in self._tasks.values() if is_live(task))

    async def refresh(self) -> None:
        """Reads the workers and the tasks that changed.

        Raises:
            PlatformError: The platform can't be reached.
        """
        now = self._clock.monotonic()
        if self._listed_at is None or now - self._listed_at >= _LIST_INTERVAL:
            listed = await self._workers_api.list_workers()
            self._listed_at = now
            self._workers = {worker.worker_id: worker for worker in listed}
            for worker_id in self._workers:
                self._last_listed[worker_id] = now
        page = await self._workers_api.list_changed_tasks(self._revision)
        for task in page.tasks:
            self.record_report(task)
        self._revision = page.revision

    def record_report(self, task: records.Task) -> None:
        """Takes in one report."""
        self._tasks[(task.job_id, task.attempt)] = task

    def find(self, job_id: str, attempt: int) -> records.Task | None:
        """Returns the latest report of an attempt, or None."""
        return self._tasks.get((job_id, attempt))

    def forget(self, job_id: str, attempt: int) -> None:
        """Drops an attempt that was dealt with."""
        self._tasks.pop((job_id, attempt), None)

    def is_worker_gone(self, worker_id: str) -> bool:
        """Whether no task can run on the worker any more."""
        if worker_id in self._workers:
            return False
        now = self._clock.monotonic()
        last = self._last_listed.setdefault(worker_id, now)
        return now - last >= _GONE_AFTER


class TaskRenewer:
    """Renews the leases of running tasks, whoever holds the scheduler's role.

    A renewal decides nothing: an attempt that has ended stays ended, and no
    job is placed again before its attempt has ended. So every control process
    may renew, and running work goes on while the store is down and no process
    can hold the role.
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
        """Renews at a third of the lease until cancelled.

        Args:
            list_tasks: Returns the tasks that run.
            must_renew: Whether this process is to renew now.
        """
        while True:
            if must_renew():
                try:
                    await self.renew_all(await list_tasks())
                except errors.PlatformError as error:
                    logs.log_event("tasks.renewal_failed", error=str(error))
            await self._clock.sleep(TASK_LEASE / 3)
