"""Submits and cancels jobs so that what is reported is true."""

from collections.abc import Iterator
import dataclasses
import random

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.bundle import model
from fireflywell.cli import fleet_rows
from fireflywell.coordination import transactions
from fireflywell.fleet import jobs
from fireflywell.fleet import placement
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables

# A scheduler writes a job's row a few times in its life, so that more
# conflicts in a row mean that something is wrong.
_CANCEL_TRIES = 5


@dataclasses.dataclass(frozen=True, slots=True)
class SubmittedJob:
    """A job whose row is surely in the store.

    Attributes:
        record: The job.
        was_known: Whether it was there before, from an earlier submission.
    """

    record: jobs.JobRecord
    was_known: bool


def explain_never_runs(
    bundle: model.Bundle,
    spec: jobs.JobSpec,
    workers: tuple[records.Worker, ...],
    assignments: tuple[vm_records.VmRecord, ...],
) -> str:
    """Returns why a job can never run, or an empty text.

    Pools that have no worker yet may get some, so they tell nothing about
    sizes.
    """
    homes = {pool.name for pool in bundle.pools if spec.kind in pool.carries}
    members = {item.vm_id for item in assignments if item.pool in homes}
    found = [item for item in workers if item.worker_id in members]
    if not found:
        return placement.explain_never_fits(bundle, spec, (spec.declared,))
    capacities = (
        item.capacity for item in found if spec.zone in ("", item.zone)
    )
    return placement.explain_never_fits(bundle, spec, capacities)


async def submit_job(
    table: tables.Table,
    spec: jobs.JobSpec,
    clock: clock_lib.Clock,
    rng: random.Random,
) -> SubmittedJob:
    """Creates the row of a job.

    Args:
        table: Table service.
        spec: The job.
        clock: Measures the pauses between attempts.
        rng: Jitters the pauses and makes the write id.

    Raises:
        ConflictError: Another job has this name.
        OutcomeUnknownError: It may or may not have been created.
        PlatformError: It wasn't created.
    """
    record = jobs.JobRecord(spec)
    try:
        result = await _write(table, record, 0, clock, rng)
    except errors.OutcomeUnknownError as error:
        return await _resolve_unknown(table, spec, error)
    match result:
        case records.Committed():
            return SubmittedJob(record, was_known=False)
        case records.Conflict():
            try:
                found = await _find_job(table, spec.job_id)
            except errors.PlatformError as error:
                raise _make_unknown(spec.job_id, error) from error
            if found is None or not _is_same_job(found.spec, spec):
                raise errors.ConflictError(
                    f"job {spec.job_id} exists and asks for something else; "
                    "nothing was changed, choose another --job-id"
                )
            return SubmittedJob(found, was_known=True)


async def request_cancel(
    table: tables.Table,
    job_id: str,
    clock: clock_lib.Clock,
    rng: random.Random,
) -> jobs.JobRecord:
    """Marks a job as to be cancelled; the scheduler then ends it.

    Returns:
        The record with the mark, or that of a job cancelled before.

    Raises:
        NotFoundError: There is no such job.
        ConflictError: The job has ended in another way, or other processes
            changed its row again and again.
        OutcomeUnknownError: It may or may not have been marked.
        PlatformError: Nothing was changed.
    """
    unknown: errors.OutcomeUnknownError | None = None
    for _ in range(_CANCEL_TRIES):
        try:
            row = await read_job_row(table, job_id)
        except errors.PlatformError as error:
            if unknown is None:
                raise
            raise _make_cancel_unknown(job_id, unknown) from error
        record = fleet_rows.decode_job_row(row)
        if record.is_cancel_requested:
            return record
        if record.is_ended:
            raise _make_ended_error(record)
        marked = dataclasses.replace(record, is_cancel_requested=True)
        try:
            result = await _write(table, marked, row.version, clock, rng)
        except errors.OutcomeUnknownError as error:
            # Marking twice does no harm, so the row is read and marked again.
            unknown = error
            continue
        if isinstance(result, records.Committed):
            return marked
    if unknown is not None:
        raise _make_cancel_unknown(job_id, unknown)
    raise errors.ConflictError(
        f"job {job_id}: other processes changed its row {_CANCEL_TRIES} times "
        "in a row, so it isn't cancelled; try again"
    )


async def read_job_row(table: tables.Table, job_id: str) -> records.Row:
    """Returns the row of a job.

    Raises:
        NotFoundError: There is no such job.
        PlatformError: The row can't be read.
    """
    (row,) = await table.read((_make_key(job_id),))
    if row.version == 0:
        raise errors.NotFoundError(
            f"job {job_id} isn't in the store; 'fireflywell job list' shows "
            "the jobs that are"
        )
    return row


def list_matching(
    found: tuple[jobs.JobRecord, ...], states: tuple[str, ...], team: str | None
) -> Iterator[jobs.JobRecord]:
    """Yields jobs in one of the states, and of the team if one is given."""
    for record in found:
        if states and record.state.value not in states:
            continue
        if team is None or record.spec.team == team:
            yield record


async def _find_job(table: tables.Table, job_id: str) -> jobs.JobRecord | None:
    (row,) = await table.read((_make_key(job_id),))
    return fleet_rows.decode_job_row(row) if row.version else None


async def _write(
    table: tables.Table,
    record: jobs.JobRecord,
    version: int,
    clock: clock_lib.Clock,
    rng: random.Random,
) -> records.TransactionResult:
    key = _make_key(record.spec.job_id)
    transaction = records.Transaction(
        transactions.make_write_id(rng),
        (records.Condition(key, version),),
        (records.Write(key, jobs.encode_job(record)),),
    )
    return await transactions.apply_transaction(table, transaction, clock, rng)


async def _resolve_unknown(
    table: tables.Table,
    spec: jobs.JobSpec,
    unknown: errors.OutcomeUnknownError,
) -> SubmittedJob:
    """Looks whether the job is there, changed by a scheduler or not.

    A missing row proves nothing: the write may still be on its way.
    """
    try:
        found = await _find_job(table, spec.job_id)
    except errors.PlatformError as error:
        raise _make_unknown(spec.job_id, error) from error
    if found is None or not _is_same_job(found.spec, spec):
        raise _make_unknown(spec.job_id, unknown) from unknown
    return SubmittedJob(found, was_known=False)


def _is_same_job(found: jobs.JobSpec, spec: jobs.JobSpec) -> bool:
    return dataclasses.replace(found, submitted_at=spec.submitted_at) == spec


def _make_key(job_id: str) -> str:
    return jobs.make_job_key(fleet_rows.JOB_SHARD, job_id)


def _make_unknown(
    job_id: str, cause: errors.FireflywellError
) -> errors.OutcomeUnknownError:
    return errors.OutcomeUnknownError(
        f"job {job_id}: it isn't known whether it was accepted ({cause}); look "
        f"with 'fireflywell job show {job_id}', or submit the same again with "
        f"--job-id {job_id}, which never makes a second job"
    )


def _make_cancel_unknown(
    job_id: str, cause: errors.FireflywellError
) -> errors.OutcomeUnknownError:
    return errors.OutcomeUnknownError(
        f"job {job_id}: it isn't known whether its cancellation was recorded "
        f"({cause}); cancel it again"
    )


def _make_ended_error(record: jobs.JobRecord) -> errors.FireflywellError:
    name, state = record.spec.job_id, record.state.value
    return errors.ConflictError(
        f"job {name} has ended already ({state}) and can't be cancelled; "
        f"'fireflywell job show {name}' tells more"
    )
