"""Stores the progress of a service's jobs in batches and removes old jobs."""

from collections.abc import Callable
import dataclasses
import datetime
import random

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import ownership
from fireflywell.node import progress_batches
from fireflywell.node import stored_progress
from fireflywell.node import tables
from fireflywell.node import waiting_counts
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import service_state
from fireflywell.telemetry import logs

# How long changes are collected into one batch; the urgent delay applies if a
# caller waits for one of them.
_NORMAL_DELAY = datetime.timedelta(milliseconds=60)
_URGENT_DELAY = datetime.timedelta(milliseconds=8)

_RETRY_DELAY = datetime.timedelta(milliseconds=150)

# Each refused call requests a check of the tenure; they share one write.
_CHECK_INTERVAL = datetime.timedelta(milliseconds=500)

# Interval at which the numbers of waiting jobs are stored.
_WAITING_COUNTS_INTERVAL = datetime.timedelta(milliseconds=900)

# Jobs that were read longer ago aren't counted: callers are promised that jobs
# accepted 5 s ago are in the number, and stored counts are used for 1.8 s.
# While no job comes, the age is up to about 2 s: 1 s between renewals of a
# lease of 3 s, which prove it, and 1 s of a call that waits for changes.
_MAX_JOBS_AGE = datetime.timedelta(seconds=2.8)

# Final states are kept this many times as long as callers may read them.
RETENTION_FACTOR = 1.5
_SWEEP_INTERVAL = datetime.timedelta(seconds=5)

# A transaction holds at most 100 entries: the owner's condition, and a row for
# each key that is removed. A job without ranges has up to three rows.
_ROWS_PER_REMOVAL = 96
_JOBS_PER_SWEEP = _ROWS_PER_REMOVAL // 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Rejected:
    """The store rejected a transaction as invalid."""

    reason: str


class ProgressWriter:
    """Writes changed jobs of one service while its tenure lasts.

    Each transaction has the tenure's condition, so that it fails once another
    node owns the service. Each row also has the condition of its last version,
    so that a delayed write whose answer was lost can't replace a newer one.
    """

    __slots__ = (
        "_state",
        "_batches",
        "_clock",
        "_checked_at",
        "_ended_at_s",
        "_is_check_requested",
        "_is_store_unreachable",
        "_jobs_with_ranges",
        "_on_tenure_lost",
        "_rejected",
        "_retention",
        "_store",
        "_tenure",
        "_wake",
        "random",
    )

    def __init__(
        self,
        tenure: ownership.Tenure,
        state: service_state.ServiceState,
        store: row_store.RowStore,
        clock: clock_lib.Clock,
        rng: random.Random,
        retention: datetime.timedelta,
        on_tenure_lost: Callable[[], None],
        row_bytes: int = row_store.DEFAULT_ROW_BYTES,
    ) -> None:
        self._tenure = tenure
        self._state = state
        self._store = store
        self._clock = clock
        self.random = rng
        self._retention = retention * RETENTION_FACTOR
        self._on_tenure_lost = on_tenure_lost
        self._wake = anyio.Event()
        self._is_check_requested = False
        # Monotonic time of the last write that only checked the tenure.
        self._checked_at: datetime.timedelta | None = None
        self._batches = progress_batches.ProgressBatches(
            tenure.service, state, row_bytes
        )
        self._is_store_unreachable = False
        # Jobs whose row was rejected by itself; each is logged once.
        self._rejected: set[str] = set()
        # When each final state was stored, on the store's clock.
        self._ended_at_s: dict[str, float] = {}
        # Finished jobs of which rows of ranges may be stored.
        self._jobs_with_ranges: set[str] = set()

    def wake(self) -> None:
        """Wakes the writer if any jobs have changes to store."""
        if self._batches.has_rows:
            self._wake.set()

    def record_final_state(
        self, job_id: str, ended_at_s: float, *, has_ranges: bool
    ) -> None:
        """Records a final state that is stored.

        Args:
            job_id: The job, which is removed after the retention time.
            ended_at_s: When it ended, on the store's clock.
            has_ranges: Whether rows of ranges of its units are stored, too.
        """
        self._ended_at_s[job_id] = ended_at_s
        if has_ranges:
            self._jobs_with_ranges.add(job_id)

    def check_tenure(self) -> None:
        """Wakes the writer for a write, which fails if the tenure is over."""
        self._is_check_requested = True
        self._wake.set()

    async def wait_until_stored(
        self, job_ids: frozenset[str], timeout: datetime.timedelta
    ) -> frozenset[str]:
        """Waits until all present changes of some jobs are stored.

        Args:
            job_ids: The jobs.
            timeout: Longest time to wait.

        Returns:
            The jobs whose changes were not stored in time.
        """
        events = {job_id: self._batches.subscribe(job_id) for job_id in job_ids}
        self.wake()
        with anyio.move_on_after(timeout.total_seconds()):
            for event in events.values():
                if event is not None:
                    await event.wait()
        return frozenset(
            job_id
            for job_id, event in events.items()
            if event is not None and not event.is_set()
        )

    async def run(self) -> None:
        """Stores changes in batches until cancelled.

        Raises:
            TenureLostError: Another node owns the service.
        """
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            is_urgent = any(self._state.dirty.values())
            await self._clock.sleep(
                _URGENT_DELAY if is_urgent else _NORMAL_DELAY
            )
            is_check_due = self._is_check_requested and not self._state.dirty
            self._is_check_requested = False
            if is_check_due:
                await self._confirm_tenure()
            while self._batches.has_rows:
                await self._store_batch()

    async def run_waiting_counts(
        self, measure_jobs_age: Callable[[], datetime.timedelta | None]
    ) -> None:
        """Stores the numbers of waiting jobs at each interval, even unchanged.

        Other nodes use them only while they are recent: old numbers mean that
        the service has no owner that counts newer jobs. They count the jobs
        themselves while the owner hasn't read them, or is behind.

        Args:
            measure_jobs_age: Returns how old the jobs may be that the state
                holds; None if they weren't read yet.

        Raises:
            TenureLostError: Another node owns the service.
        """
        while True:
            await self._clock.sleep(_WAITING_COUNTS_INTERVAL)
            jobs_age = measure_jobs_age()
            if jobs_age is None or jobs_age > _MAX_JOBS_AGE:
                continue
            await self._store_waiting_counts(
                waiting_counts.WaitingCounts(
                    self._store.now_s(), self._state.count_waiting()
                )
            )

    async def run_sweep(self) -> None:
        """Removes the rows of finished jobs after the retention time.

        Raises:
            TenureLostError: Another node owns the service.
        """
        while True:
            await self._clock.sleep(_SWEEP_INTERVAL)
            await self._sweep()

    async def _sweep(self) -> None:
        oldest_s = self._store.now_s() - self._retention.total_seconds()
        due = [j for j, at_s in self._ended_at_s.items() if at_s < oldest_s]
        for number in range(0, len(due), _JOBS_PER_SWEEP):
            if not await self._remove_jobs(
                due[number : number + _JOBS_PER_SWEEP]
            ):
                return

    async def _store_batch(self) -> None:
        now_s = self._store.now_s()
        batch = self._batches.take(self._clock.monotonic(), now_s)
        if not batch:
            # Only jobs whose rows were rejected are left.
            if self._batches.has_rows:
                await self._clock.sleep(_RETRY_DELAY)
            return
        try:
            await self._store_rows(batch, now_s)
        except BaseException:
            # The supervisor starts this task again; the changes must not be
            # lost with it.
            self._batches.abandon(batch)
            self._wake.set()
            raise

    async def _store_rows(
        self, batch: tuple[progress_batches.BatchRow, ...], now_s: float
    ) -> None:
        match await self._transact(self._make_transaction(batch)):
            case row_store.Committed(version=version):
                for job in self._batches.complete(batch, version):
                    self._mark_final_stored(job, now_s)
            case row_store.Conflict() as conflict:
                self._check_owner(conflict)
                self._batches.abandon(batch)
                for item in batch:
                    item.write.row.version = conflict.find_version(item.row_key)
            case _Rejected(reason=reason):
                if self._batches.reject(batch, self._clock.monotonic()):
                    self._log_rejected(batch[0], reason)
                else:
                    await self._clock.sleep(_RETRY_DELAY)
            case None:
                self._batches.abandon(batch)
                await self._clock.sleep(_RETRY_DELAY)

    def _make_transaction(
        self, batch: tuple[progress_batches.BatchRow, ...]
    ) -> row_store.Transaction:
        expected = [self._tenure.make_condition()]
        puts = []
        for item in batch:
            expected.append(
                row_store.Condition(item.row_key, item.write.row.version)
            )
            puts.append(row_store.Put(item.row_key, item.write.value))
        return row_store.Transaction(tuple(expected), tuple(puts))

    def _log_rejected(
        self, item: progress_batches.BatchRow, reason: str
    ) -> None:
        if item.job.job_id in self._rejected:
            return
        self._rejected.add(item.job.job_id)
        logs.log_event(
            "progress.rejected",
            job=item.job.job_id,
            row=item.row_key.key,
            size_bytes=len(item.write.value),
            error=reason,
        )

    def _mark_final_stored(self, job: jobs_lib.Job, now_s: float) -> None:
        if not job.state.is_final or job.job_id in self._state.dirty:
            return
        finished = self._state.finished.pop(job.job_id, None)
        if finished is None:
            return
        self.record_final_state(
            job.job_id, now_s, has_ranges=bool(job.progress_ranges)
        )
        logs.log_event(
            "job.final",
            job=job.job_id,
            queue=job.policy.queue,
            state=str(job.state),
            reason=finished.reason,
            age_s=round(now_s - job.submission.accepted_at_s, 3),
            version=job.state_row.version,
        )

    async def _transact(
        self, transaction: row_store.Transaction
    ) -> row_store.Committed | row_store.Conflict | _Rejected | None:
        """Returns the result; None if the store doesn't answer."""
        try:
            result = await self._store.transact(transaction)
        except errors.PlatformRejectedError as error:
            return _Rejected(str(error))
        except errors.PlatformError as error:
            if not self._is_store_unreachable:
                self._is_store_unreachable = True
                logs.log_event(
                    "store.lost",
                    service=self._tenure.service,
                    error=str(error),
                )
            return None
        if self._is_store_unreachable:
            self._is_store_unreachable = False
            logs.log_event("store.regained", service=self._tenure.service)
        return result

    async def _confirm_tenure(self) -> None:
        """Writes a row only because the write fails if the tenure is over."""
        now = self._clock.monotonic()
        if self._checked_at and now - self._checked_at < _CHECK_INTERVAL:
            return
        self._checked_at = now
        row_key = tables.locate_confirmation(self._tenure.service)
        put = row_store.Put(row_key, str(self._tenure.token).encode())
        match await self._transact(
            row_store.Transaction((self._tenure.make_condition(),), (put,))
        ):
            case row_store.Conflict() as conflict:
                self._check_owner(conflict)

    async def _store_waiting_counts(
        self, counts: waiting_counts.WaitingCounts
    ) -> None:
        put = row_store.Put(
            tables.locate_waiting_counts(self._tenure.service),
            waiting_counts.encode_counts(counts),
        )
        result = await self._transact(
            row_store.Transaction((self._tenure.make_condition(),), (put,))
        )
        match result:
            case row_store.Conflict() as conflict:
                self._check_owner(conflict)
            case _:
                return

    async def _remove_jobs(self, job_ids: list[str]) -> bool:
        """Removes all rows of finished jobs; returns whether that succeeded."""
        service = self._tenure.service
        removes = []
        for job_id in job_ids:
            if job_id in self._jobs_with_ranges:
                if not await self._remove_ranges(job_id):
                    return False
                self._jobs_with_ranges.discard(job_id)
            removes.append(tables.locate_job(service, job_id))
            removes.append(tables.locate_cancel(service, job_id))
            removes.append(tables.locate_progress(service, job_id))
        if not await self._remove_rows(removes):
            return False
        for job_id in job_ids:
            del self._ended_at_s[job_id]
        return True

    async def _remove_ranges(self, job_id: str) -> bool:
        """Removes the rows of the ranges of a finished job's units."""
        try:
            rows = await stored_progress.read_ranges(
                self._store, self._tenure.service, job_id
            )
        except errors.PlatformError:
            return False
        row_keys = [row.row_key for row in rows]
        for number in range(0, len(row_keys), _ROWS_PER_REMOVAL):
            if not await self._remove_rows(
                row_keys[number : number + _ROWS_PER_REMOVAL]
            ):
                return False
        return True

    async def _remove_rows(self, row_keys: list[row_store.RowKey]) -> bool:
        result = await self._transact(
            row_store.Transaction(
                (self._tenure.make_condition(),), (), tuple(row_keys)
            )
        )
        match result:
            case row_store.Committed():
                return True
            case row_store.Conflict() as conflict:
                self._check_owner(conflict)
        return False

    def _check_owner(self, conflict: row_store.Conflict) -> None:
        if self._tenure.is_over(conflict):
            self._on_tenure_lost()
            raise errors.TenureLostError(
                f"another node owns service {self._tenure.service} now; "
                "the write was refused"
            )
