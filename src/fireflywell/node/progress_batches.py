"""Chooses which rows of a service's progress are written next."""

import collections
from collections.abc import Iterable
import dataclasses
import datetime

import anyio

from fireflywell.coordination import row_store
from fireflywell.node import tables
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import progress_rows
from fireflywell.scheduling import service_state

# A transaction holds at most 100 entries: the owner's condition, and for each
# row a condition and a value.
MAX_ROWS = 40

# A transaction holds at most 1 MB, in which values take a third more.
_MAX_BYTES = 500_000

# A job whose row the store has rejected by itself is written alone, after this
# time, so that its rows don't delay those of others.
_REJECTED_PAUSE = datetime.timedelta(seconds=1)


class _JobWrite:
    """The rows of one job that store its progress as of one moment.

    Attributes:
        job: The job.
        is_final: Whether its state was final then.
        rows: Rows that no transaction has taken yet, in order.
        waiters: Set once all rows are stored.
    """

    __slots__ = ("is_final", "job", "rows", "waiters")

    def __init__(
        self,
        job: jobs_lib.Job,
        rows: Iterable[progress_rows.ProgressWrite],
        waiters: list[anyio.Event],
    ) -> None:
        self.job = job
        self.is_final = job.state.is_final
        self.rows = collections.deque(rows)
        self.waiters = waiters


@dataclasses.dataclass(frozen=True, slots=True)
class BatchRow:
    """A row of a batch.

    Attributes:
        job: The job.
        row_key: Key of the row.
        write: The row and its new value.
    """

    job: jobs_lib.Job
    row_key: row_store.RowKey
    write: progress_rows.ProgressWrite


class ProgressBatches:
    """Collects the rows of changed jobs into batches for one transaction each.

    The rows of a large job may take several batches, in which other jobs share.
    """

    __slots__ = (
        "_awaited",
        "_rejected_until",
        "_row_bytes",
        "_service",
        "_state",
        "_writes",
        "max_rows",
    )

    def __init__(
        self,
        service: str,
        state: service_state.ServiceState,
        row_bytes: int,
    ) -> None:
        """Creates an instance without rows.

        Args:
            service: The service.
            state: Holds the changed jobs.
            row_bytes: Largest size of a row.
        """
        self._service = service
        self._state = state
        self._row_bytes = min(row_bytes, _MAX_BYTES)
        # Jobs of which some rows aren't stored yet.
        self._writes: dict[str, _JobWrite] = {}
        # Set once all present changes of a changed job are stored.
        self._awaited: dict[str, list[anyio.Event]] = {}
        # When a job whose row was rejected is written again, monotonic.
        self._rejected_until: dict[str, datetime.timedelta] = {}
        # Rows per batch, fewer after the store has rejected one.
        self.max_rows = MAX_ROWS

    @property
    def has_rows(self) -> bool:
        """Whether any changes aren't stored."""
        return bool(self._writes or self._state.dirty)

    def subscribe(self, job_id: str) -> anyio.Event | None:
        """Returns an event that is set once a job's changes are stored.

        Returns:
            The event; None if there are no changes.
        """
        event = anyio.Event()
        if job_id in self._state.dirty:
            self._awaited.setdefault(job_id, []).append(event)
        elif job_id in self._writes:
            self._writes[job_id].waiters.append(event)
        else:
            return None
        return event

    def take(
        self, now: datetime.timedelta, now_s: float
    ) -> tuple[BatchRow, ...]:
        """Returns the rows of the next batch; none if all jobs have to wait.

        Args:
            now: Monotonic time.
            now_s: Current time on the store's clock.
        """
        self._discard_outdated()
        batch = _Batch()
        alone = self._find_rejected(now)
        if alone is not None:
            self._begin_writes(
                batch, now_s, 1, self._state.dirty.keys() - {alone}
            )
            return tuple(batch.rows)
        excluded = self._writes.keys() | self._rejected_until.keys()
        # New changes and the rest of large jobs share the batch.
        has_new = bool(self._state.dirty.keys() - excluded)
        share = self.max_rows // 2 if has_new else self.max_rows
        for write in tuple(self._writes.values()):
            self._add_rows(batch, write, share)
        self._begin_writes(
            batch, now_s, self.max_rows - len(batch.rows), excluded
        )
        for write in tuple(self._writes.values()):
            self._add_rows(batch, write, self.max_rows)
        return tuple(batch.rows)

    def complete(
        self, batch: Iterable[BatchRow], version: int
    ) -> list[jobs_lib.Job]:
        """Records that a batch is stored.

        Returns:
            The jobs of which all rows are stored.
        """
        jobs = {}
        for item in batch:
            item.write.row.version = version
            item.write.row.value = item.write.value
            jobs[item.job.job_id] = item.job
        complete = []
        for job_id, job in jobs.items():
            self._rejected_until.pop(job_id, None)
            write = self._writes.get(job_id)
            if write is not None and not write.rows:
                self._finish(write)
                complete.append(job)
        self.max_rows = min(MAX_ROWS, 2 * self.max_rows)
        return complete

    def abandon(self, batch: Iterable[BatchRow]) -> None:
        """Records that it isn't known whether a batch is stored.

        The changes of its jobs are written again.
        """
        for item in batch:
            item.write.row.value = None
            write = self._writes.get(item.job.job_id)
            if write is not None:
                self._discard(write)
            self._state.dirty[item.job.job_id] = True

    def reject(
        self, batch: tuple[BatchRow, ...], now: datetime.timedelta
    ) -> bool:
        """Records that the store rejected a batch as invalid.

        Fewer rows are written at a time then. One row that the store never
        accepts must not keep the others out.

        Returns:
            Whether the batch was a single row, whose job is put off.
        """
        self.abandon(batch)
        self.max_rows = max(1, len(batch) // 2)
        if len(batch) > 1:
            return False
        job_id = batch[0].job.job_id
        self._rejected_until[job_id] = now + _REJECTED_PAUSE
        return True

    def _find_rejected(self, now: datetime.timedelta) -> str | None:
        """Returns a job that was rejected and is due again, or None."""
        for job_id, until in tuple(self._rejected_until.items()):
            if job_id not in self._state.dirty:
                del self._rejected_until[job_id]
            elif now >= until:
                return job_id
        return None

    def _begin_writes(
        self, batch: "_Batch", now_s: float, limit: int, excluded: Iterable[str]
    ) -> None:
        """Adds the first rows of changed jobs to a batch."""
        for job in self._state.take_dirty(limit, frozenset(excluded)):
            finished = self._state.finished.get(job.job_id)
            reason = finished.reason if finished else ""
            rows = progress_rows.list_writes(
                job, now_s, reason, self._row_bytes
            )
            waiters = self._awaited.pop(job.job_id, [])
            write = _JobWrite(job, rows, waiters)
            self._writes[job.job_id] = write
            self._add_rows(batch, write, self.max_rows)
            if not rows:
                self._finish(write)
        # A job that was removed meanwhile has nothing to store.
        for job_id in tuple(self._awaited):
            if job_id not in self._state.dirty:
                _set_all(self._awaited.pop(job_id))

    def _add_rows(self, batch: "_Batch", write: _JobWrite, limit: int) -> None:
        while write.rows and batch.has_room(write.rows[0], limit):
            row = write.rows.popleft()
            batch.add(
                BatchRow(write.job, self._locate(write.job.job_id, row), row)
            )

    def _locate(
        self, job_id: str, write: progress_rows.ProgressWrite
    ) -> row_store.RowKey:
        if write.units is None:
            return tables.locate_progress(self._service, job_id)
        return tables.locate_progress_range(
            self._service, job_id, progress_rows.make_range_key(write.units)
        )

    def _discard_outdated(self) -> None:
        """Discards rows of jobs that have ended; their state is enough."""
        for write in tuple(self._writes.values()):
            if write.job.state.is_final and not write.is_final:
                self._discard(write)
                self._state.dirty[write.job.job_id] = True

    def _discard(self, write: _JobWrite) -> None:
        job_id = write.job.job_id
        del self._writes[job_id]
        for row in write.rows:
            row.row.value = None
        if write.waiters:
            self._awaited.setdefault(job_id, []).extend(write.waiters)

    def _finish(self, write: _JobWrite) -> None:
        del self._writes[write.job.job_id]
        _set_all(write.waiters)


class _Batch:
    """Rows for one transaction.

    Attributes:
        rows: The rows.
    """

    __slots__ = ("_size_bytes", "rows")

    def __init__(self) -> None:
        self.rows: list[BatchRow] = []
        self._size_bytes = 0

    def has_room(
        self, write: progress_rows.ProgressWrite, max_rows: int
    ) -> bool:
        """Returns whether a row fits in."""
        size_bytes = self._size_bytes + len(write.value)
        return len(self.rows) < max_rows and (
            not self.rows or size_bytes <= _MAX_BYTES
        )

    def add(self, row: BatchRow) -> None:
        """Adds a row."""
        self.rows.append(row)
        self._size_bytes += len(row.write.value)


def _set_all(events: Iterable[anyio.Event]) -> None:
    for event in events:
        event.set()
