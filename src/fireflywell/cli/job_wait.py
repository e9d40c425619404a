"""Waits for the end of a job."""

import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.cli import fleet_rows
from fireflywell.cli import job_changes
from fireflywell.cli import progress
from fireflywell.fleet import jobs
from fireflywell.infrastructure import tables

_POLL_INTERVAL = datetime.timedelta(milliseconds=500)


class _Waiter:
    """Reads a job's row until the job has ended."""

    __slots__ = ("_clock", "_job_id", "_last", "_table")

    def __init__(
        self, table: tables.Table, job_id: str, clock: clock_lib.Clock
    ) -> None:
        self._table = table
        self._job_id = job_id
        self._clock = clock
        self._last = "not read yet"

    def describe(self) -> str:
        """Returns the state as last read."""
        return f"job {self._job_id}: {self._last}"

    async def wait(self, timeout: datetime.timedelta) -> jobs.JobRecord:
        """Returns the record of the ended job; see `wait_for_end`."""
        end = self._clock.monotonic() + timeout
        while True:
            record = await self._read()
            if record is not None and record.is_ended:
                return record
            if self._clock.monotonic() >= end:
                raise errors.OutcomeUnknownError(
                    f"job {self._job_id} hasn't ended after "
                    f"{timeout.total_seconds():g} s; last seen: {self._last}; "
                    "wait again with a longer --timeout"
                )
            await self._clock.sleep(_POLL_INTERVAL)

    async def _read(self) -> jobs.JobRecord | None:
        """Returns the record, or None while the store can't be read."""
        try:
            row = await job_changes.read_job_row(self._table, self._job_id)
        except (errors.PlatformUnavailableError, errors.AnswerLostError):
            self._last = "the store can't be read"
            return None
        record = fleet_rows.decode_job_row(row)
        self._last = record.state.value
        return record


async def wait_for_end(
    table: tables.Table,
    job_id: str,
    timeout: datetime.timedelta,
    clock: clock_lib.Clock,
) -> jobs.JobRecord:
    """Waits until a job has ended, also while the store is down.

    Args:
        table: Table service.
        job_id: The job.
        timeout: How long to wait.
        clock: Measures the wait.

    Raises:
        NotFoundError: There is no such job.
        OutcomeUnknownError: It hasn't ended in time.
        PlatformError: The row isn't that of a job.
    """
    waiter = _Waiter(table, job_id, clock)
    return await progress.run_with_progress(
        lambda: waiter.wait(timeout), waiter.describe, clock
    )
