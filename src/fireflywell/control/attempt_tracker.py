"""Decides the transitions of leased jobs from the reports of their tasks."""

import datetime

from fireflywell import clock as clock_lib
from fireflywell.control import task_tracker
from fireflywell.fleet import job_transitions
from fireflywell.fleet import jobs
from fireflywell.fleet import quarantine as quarantine_lib
from fireflywell.fleet import usage as usage_lib
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records
from fireflywell.telemetry import logs


class AttemptTracker:
    """Decides job transitions and records the outcomes of attempts.

    An outcome updates the worker quarantine and the run time estimates.
    """

    __slots__ = (
        "_clock",
        "_quarantine",
        "_recorded_attempts",
        "_running_since",
        "_task_tracker",
        "_usage",
    )

    def __init__(
        self,
        tracker: task_tracker.TaskTracker,
        usage: usage_lib.UsageEstimator,
        quarantine: quarantine_lib.WorkerQuarantine,
        clock: clock_lib.Clock,
    ) -> None:
        self._task_tracker = tracker
        self._usage = usage
        self._quarantine = quarantine
        self._clock = clock
        self._running_since: dict[str, datetime.timedelta] = {}
        # Ended attempts whose end isn't written yet. Each outcome is recorded
        # only once, however often the write fails and is retried.
        self._recorded_attempts: set[tuple[str, int]] = set()

    def decide_job_transition(
        self,
        record: jobs.JobRecord,
        assignments: tuple[vm_records.VmRecord, ...],
    ) -> job_transitions.JobTransition:
        """Returns the transition of a leased job by its attempt's last report.

        The first report of an attempt's end also records its outcome.
        """
        task = self._task_tracker.find(record.spec.job_id, record.attempt)
        is_expired = self._task_tracker.is_worker_expired(record.worker_id)
        if task is None or (is_expired and task_tracker.is_live(task)):
            is_listed = self._task_tracker.is_worker_listed(record.worker_id)
            return job_transitions.decide_without_task(
                record, is_listed, is_expired
            )
        if task_tracker.is_live(task):
            now = self._clock.monotonic()
            self._running_since.setdefault(record.spec.job_id, now)
            self._usage.observe_use(record.spec, task.used)
            return job_transitions.JobUnchanged()
        attempt = (record.spec.job_id, record.attempt)
        if attempt not in self._recorded_attempts:
            self._recorded_attempts.add(attempt)
            self._record_outcome(record, task, assignments)
        return job_transitions.decide_after_task(
            record, task.state, task.detail
        )

    def discard_attempt(self, record: jobs.JobRecord) -> None:
        """Discards the state of an attempt whose end has been written."""
        self._task_tracker.discard_attempt(record.spec.job_id, record.attempt)
        self._recorded_attempts.discard((record.spec.job_id, record.attempt))
        self._running_since.pop(record.spec.job_id, None)

    def _record_outcome(
        self,
        record: jobs.JobRecord,
        task: records.Task,
        assignments: tuple[vm_records.VmRecord, ...],
    ) -> None:
        """Updates quarantine and run time estimates with an ended attempt."""
        now = self._clock.monotonic()
        match task.state:
            case records.TaskState.SUCCEEDED:
                self._quarantine.record_success(record.worker_id)
                since = self._running_since.get(record.spec.job_id)
                if since is not None:
                    self._usage.observe_run(record.spec, now - since)
            case records.TaskState.FAILED:
                is_quarantined = self._quarantine.record_failure(
                    record.worker_id,
                    record.spec.job_id,
                    _list_pool_workers(assignments, record.worker_id),
                    now,
                )
                if is_quarantined:
                    logs.log_event(
                        "placement.worker_quarantined", worker=record.worker_id
                    )
            case _:
                pass


def _list_pool_workers(
    assignments: tuple[vm_records.VmRecord, ...], worker_id: str
) -> tuple[str, ...]:
    """Returns all workers of the pool that the given worker belongs to."""
    pools = {item.vm_id: item.pool for item in assignments}
    pool = pools.get(worker_id)
    return tuple(vm_id for vm_id, name in pools.items() if name == pool)
