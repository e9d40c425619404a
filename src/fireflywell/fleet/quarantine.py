"""Quarantine of workers on which attempts fail repeatedly."""

import dataclasses
import datetime

# A worker is quarantined after this many consecutive failures, of at least this
# many different jobs.
_CONSECUTIVE_FAILURES = 4
_MINIMUM_DIFFERENT_JOBS = 3
# A job that failed on this many different workers is set aside: the cause is
# the job, not a worker.
JOB_FAILURE_LIMIT = 3
# At most this fraction of a pool is quarantined: if more workers fail, the
# cause lies outside the single worker.
_MAXIMUM_QUARANTINED_FRACTION = 1 / 3
_FIRST_DURATION = datetime.timedelta(minutes=5)
_LONGEST_DURATION = datetime.timedelta(hours=2)


@dataclasses.dataclass(slots=True)
class _WorkerHistory:
    """Failures of one worker since its last success.

    Attributes:
        failed_jobs: Jobs of the consecutive failures.
        failures: Number of consecutive failures.
        quarantined_until: Monotonic time; zero if never quarantined.
        duration: Length of the last quarantine; zero if there was none.
    """

    failed_jobs: set[str]
    failures: int
    quarantined_until: datetime.timedelta
    duration: datetime.timedelta


class WorkerQuarantine:
    """Tracks failures by worker; quarantines workers that fail repeatedly."""

    __slots__ = ("_workers",)

    def __init__(self) -> None:
        self._workers: dict[str, _WorkerHistory] = {}

    def record_success(self, worker_id: str) -> None:
        """Clears a worker's failures and quarantine after a success."""
        self._workers.pop(worker_id, None)

    def record_failure(
        self,
        worker_id: str,
        job_id: str,
        pool_workers: tuple[str, ...],
        now: datetime.timedelta,
    ) -> bool:
        """Records a failed attempt and quarantines its worker if necessary.

        Args:
            worker_id: Worker of the attempt.
            job_id: Job of the attempt.
            pool_workers: All workers of the worker's pool.
            now: Monotonic time.

        Returns:
            Whether this failure put the worker into quarantine.
        """
        history = self._workers.get(worker_id)
        if history is None:
            zero = datetime.timedelta()
            history = _WorkerHistory(set(), 0, zero, zero)
            self._workers[worker_id] = history
        history.failures += 1
        history.failed_jobs.add(job_id)
        is_suspect = (
            history.failures >= _CONSECUTIVE_FAILURES
            and len(history.failed_jobs) >= _MINIMUM_DIFFERENT_JOBS
        )
        if not is_suspect or self.is_quarantined(worker_id, now):
            return False
        quarantined = sum(
            self.is_quarantined(other, now) for other in pool_workers
        )
        if quarantined + 1 > len(pool_workers) * _MAXIMUM_QUARANTINED_FRACTION:
            return False
        history.duration = min(
            max(history.duration * 2, _FIRST_DURATION), _LONGEST_DURATION
        )
        history.quarantined_until = now + history.duration
        # After the quarantine a single failure starts the next one.
        history.failures = _CONSECUTIVE_FAILURES - 1
        return True

    def is_quarantined(self, worker_id: str, now: datetime.timedelta) -> bool:
        """Returns whether the worker is in quarantine and receives no work."""
        history = self._workers.get(worker_id)
        return history is not None and now < history.quarantined_until
