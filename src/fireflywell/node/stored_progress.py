"""Reads the rows of a job's progress that earlier owners have stored."""

from collections.abc import Iterable

from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import tables
from fireflywell.scheduling import job_rows
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import progress_ranges
from fireflywell.scheduling import progress_rows
from fireflywell.telemetry import logs


class StoredProgress:
    """The rows of one job's progress.

    Attributes:
        ended_at_s: When the job ended, on the store's clock; 0 if it hasn't, or
            before `restore`.
    """

    __slots__ = ("_ranges", "_state_row", "ended_at_s")

    def __init__(self) -> None:
        self._state_row: row_store.Row | None = None
        self._ranges: list[row_store.Row] = []
        self.ended_at_s = 0.0

    def add(self, row: row_store.Row, range_key: str) -> None:
        """Adds a row.

        Args:
            row: The row.
            range_key: The range of units that it holds; empty if it is the row
                of the job's state.
        """
        if range_key:
            self._ranges.append(row)
        else:
            self._state_row = row

    def restore(self, job: jobs_lib.Job) -> None:
        """Applies the rows to a job that has no progress yet.

        Rows that can't be decoded are logged and left out. A job has rows only
        if a unit of it has started, so it doesn't wait, even if its state isn't
        stored or can't be decoded.
        """
        if self._state_row is not None:
            self._restore_state(job, self._state_row)
        stored = []
        for row in self._ranges:
            decoded = _decode_range(row, job.job_id)
            if decoded is not None:
                stored.append(decoded)
        progress_rows.restore_ranges(job, stored)
        if job.is_waiting:
            job.state = jobs_lib.JobState.RUNNING

    def _restore_state(self, job: jobs_lib.Job, row: row_store.Row) -> None:
        job.state_row = progress_ranges.StoredRow(row.version, row.value)
        try:
            progress = job_rows.decode_progress(row.value)
        except errors.CorruptRowError as error:
            logs.log_event("job.unreadable", job=job.job_id, error=str(error))
            return
        job_rows.restore_progress(job, progress)
        self.ended_at_s = progress.ended_at_s


def group_rows(rows: Iterable[row_store.Row]) -> dict[str, StoredProgress]:
    """Returns the progress by job that the rows of a service hold."""
    by_job: dict[str, StoredProgress] = {}
    for row in rows:
        job_id, range_key = tables.split_progress_key(row.row_key.key)
        by_job.setdefault(job_id, StoredProgress()).add(row, range_key)
    return by_job


async def read_ranges(
    store: row_store.RowStore, service: str, job_id: str
) -> tuple[row_store.Row, ...]:
    """Reads the rows of all ranges of a job's units.

    Raises:
        PlatformError: The store doesn't answer.
    """
    page = await store.read(
        tables.name_progress_table(service),
        service,
        tables.locate_progress_range(service, job_id, "").key,
        tables.find_end_of_ranges(job_id),
    )
    return page.rows


def _decode_range(
    row: row_store.Row, job_id: str
) -> progress_rows.StoredRange | None:
    _, range_key = tables.split_progress_key(row.row_key.key)
    units = progress_rows.parse_range_key(
        range_key, progress_ranges.StoredRow(row.version, row.value)
    )
    if units is None:
        return None
    try:
        progress = progress_rows.decode_range(row.value)
    except errors.CorruptRowError as error:
        logs.log_event("job.unreadable", job=job_id, error=str(error))
        # The row is written again with the next change of the job.
        units.row.value = None
        progress = progress_rows.RangeProgress(b"", {}, {})
    return progress_rows.StoredRange(units, progress)
