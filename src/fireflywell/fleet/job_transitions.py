"""State transitions of a job when its attempt changes."""

import dataclasses

from fireflywell.fleet import jobs
from fireflywell.fleet import quarantine
from fireflywell.infrastructure import records

# A job is set aside after this many failed attempts.
MAXIMUM_FAILURES = 5


@dataclasses.dataclass(frozen=True, slots=True)
class JobChanged:
    """The job changed; its new record has to be stored."""

    record: jobs.JobRecord


@dataclasses.dataclass(frozen=True, slots=True)
class JobUnchanged:
    """The job stays as it is; nothing has to be stored."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResendStart:
    """The worker doesn't report the attempt; its start has to be sent again."""


JobTransition = JobChanged | JobUnchanged | ResendStart


def lease_job(record: jobs.JobRecord, worker_id: str) -> jobs.JobRecord:
    """Returns the record of a job leased to a worker for its next attempt."""
    return dataclasses.replace(
        record,
        state=jobs.JobState.LEASED,
        attempt=record.attempt + 1,
        worker_id=worker_id,
        reason="",
    )


def decide_after_task(
    record: jobs.JobRecord, state: records.TaskState, detail: str
) -> JobTransition:
    """Returns the transition of a leased job for a state of its attempt."""
    match state:
        case records.TaskState.RUNNING | records.TaskState.THROTTLED:
            return JobUnchanged()
        case records.TaskState.SUCCEEDED:
            return _end(record, jobs.JobState.DONE, "")
        case records.TaskState.FAILED:
            return _decide_failed(record, detail)
        case records.TaskState.CHECKPOINTED:
            return _requeue(record, "checkpointed for more urgent work")
        case records.TaskState.STOPPED:
            return _decide_interrupted(record, "stopped for more urgent work")
        case records.TaskState.LAPSED:
            return _decide_interrupted(record, "its lease on the worker lapsed")


def decide_without_task(
    record: jobs.JobRecord, is_worker_listed: bool, is_worker_gone: bool
) -> JobTransition:
    """Returns the transition of a leased job whose attempt isn't reported.

    Args:
        record: The job.
        is_worker_listed: Whether the platform lists the worker. If not, its
            start isn't sent again: carried out without an answer, it would
            begin an attempt whose lease lasts until after the worker counts as
            gone.
        is_worker_gone: Whether the platform hasn't listed the worker for longer
            than a task's lease, so that the attempt can't be running.
    """
    if is_worker_listed:
        return ResendStart()
    if not is_worker_gone:
        return JobUnchanged()
    return _decide_interrupted(record, f"worker {record.worker_id} is gone")


def cancel_job(record: jobs.JobRecord) -> jobs.JobRecord:
    """Returns the cancelled record of a job that can't be running."""
    return dataclasses.replace(
        record,
        state=jobs.JobState.CANCELLED,
        worker_id="",
        reason="cancelled by an operator",
    )


def _decide_failed(record: jobs.JobRecord, detail: str) -> JobTransition:
    failed = dataclasses.replace(
        record,
        failures=record.failures + 1,
        failed_workers=tuple({*record.failed_workers, record.worker_id}),
    )
    reason = f"attempt {record.attempt} failed on {record.worker_id}"
    if detail:
        reason = f"{reason}: {detail}"
    if record.is_cancel_requested:
        return JobChanged(cancel_job(failed))
    if not record.spec.is_idempotent:
        return _end(failed, jobs.JobState.FAILED, reason)
    has_failed_on_many = (
        len(failed.failed_workers) >= quarantine.JOB_FAILURE_LIMIT
    )
    if has_failed_on_many or failed.failures >= MAXIMUM_FAILURES:
        return _end(
            failed,
            jobs.JobState.SET_ASIDE,
            f"{reason}; it failed {failed.failures} times on "
            f"{len(failed.failed_workers)} workers, correct the job",
        )
    return _requeue(failed, reason)


def _decide_interrupted(record: jobs.JobRecord, reason: str) -> JobTransition:
    """Requeues a job if a second run does no harm; otherwise ends it."""
    if record.is_cancel_requested:
        return JobChanged(cancel_job(record))
    if record.spec.is_idempotent:
        return _requeue(record, reason)
    return _end(
        record,
        jobs.JobState.UNKNOWN,
        f"{reason}; it may have run in part and isn't run again",
    )


def _requeue(record: jobs.JobRecord, reason: str) -> JobTransition:
    if record.is_cancel_requested:
        return JobChanged(cancel_job(record))
    return JobChanged(
        dataclasses.replace(
            record, state=jobs.JobState.QUEUED, worker_id="", reason=reason
        )
    )


def _end(
    record: jobs.JobRecord, state: jobs.JobState, reason: str
) -> JobTransition:
    return JobChanged(
        dataclasses.replace(record, state=state, worker_id="", reason=reason)
    )
