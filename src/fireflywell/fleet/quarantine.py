"""Workers that fail everything, and jobs that fail everywhere."""

import dataclasses
import datetime

# Attempts in a row, of different jobs, that a worker must fail.
_FAILURES_IN_A_ROW = 4
_DIFFERENT_JOBS = 3
# A job that failed on this many different workers is at fault itself.
JOB_FAILURE_LIMIT = 3
# At most this part of a pool is quarantined; more failures than that have a
# cause outside the single worker.
_MAXIMUM_PART = 1 / 3
_FIRST_PAUSE = datetime.timedelta(minutes=5)
_LONGEST_PAUSE = datetime.timedelta(hours=2)


@dataclasses.dataclass(slots=True)
class _WorkerHistory:
    """Recent outcomes of one worker.

    Attributes:
        failed_jobs: Jobs of the failures in a row.
        failures: Failures in a row.
        quarantined_until: Monotonic time; zero if never.
        pause: Length of the last quarantine.
    """

    failed_jobs: set[str]
    failures: int
    quarantined_until: datetime.timedelta
    pause: datetime.timedelta


class WorkerQuarantine:
    """Keeps work away from workers that fail everything they start."""

    __slots__ = ("_workers",)

    def __init__(self) -> None:
        self._workers: dict[str, _WorkerHistory] = {}

    def record_success(self, worker_id: str) -> None:
        """Notes an attempt that succeeded; ends any suspicion."""
        self._workers.pop(worker_id, None)

    def record_failure(
        self,
        worker_id: str,
        job_id: str,
        pool_workers: tuple[str, ...],
        now: datetime.timedelta,
    ) -> bool:
        """Notes an attempt that failed.

        Args:
            worker_id: Worker of the attempt.
            job_id: Job of the attempt.
            pool_workers: All workers of the worker's pool.
            now: Monotonic time.

        Returns:
            Whether the worker is quarantined by this failure.
        """
        history = self._workers.get(worker_id)
        if history is None:
            zero = datetime.timedelta()
            history = _WorkerHistory(set(), 0, zero, zero)
            self._workers[worker_id] = history
        history.failures += 1
        history.failed_jobs.add(job_id)
        is_suspect = (
            history.failures >= _FAILURES_IN_A_ROW
            and len(history.failed_jobs) >= _DIFFERENT_JOBS
        )
        if not is_suspect or self.is_quarantined(worker_id, now):
            return False
        kept_away = sum(
            self.is_quarantined(other, now) for other in pool_workers
        )
        if kept_away + 1 > len(pool_workers) * _MAXIMUM_PART:
            return False
        history.pause = min(
            max(history.pause * 2, _FIRST_PAUSE), _LONGEST_PAUSE
        )
        history.quarantined_until = now + history.pause
        # After the pause one more failure is enough to extend it.
        history.failures = _FAILURES_IN_A_ROW - 1
        return True

    def is_quarantined(self, worker_id: str, now: datetime.timedelta) -> bool:
        """Whether the worker receives no work now."""
        history = self._workers.get(worker_id)
        return history is not None and now < history.quarantined_until
