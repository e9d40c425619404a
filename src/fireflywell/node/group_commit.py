"""Stores new rows of the same partition in shared transactions.

This matters while the store is slow: a partition carries out its transactions
one after the other, so at a few a second most submissions of a peak would be
refused if each took a transaction of its own.
"""

import collections
from collections.abc import Sequence
import datetime

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store

# A transaction of the store holds at most 100 entries and 1 MB; each row takes
# two entries and grows by a third in base64.
_ROWS_PER_WRITE = 48
_BYTES_PER_WRITE = 500_000

# The timeout of a call is this many times the moving average of call durations,
# within bounds: a slow store answers late, an unreachable one never does.
_TIMEOUT_FACTOR = 4
_SHORTEST_TIMEOUT = datetime.timedelta(milliseconds=600)
_LONGEST_TIMEOUT = datetime.timedelta(seconds=2)
_SMOOTHING = 0.3

# After this many consecutive writes without an answer, the store is considered
# unreachable. For this period, waiting and new rows are refused without a call;
# they are certainly not stored, so callers can try another node.
_MAX_LOST_WRITES = 2
_REFUSAL_PERIOD = datetime.timedelta(milliseconds=400)


class _PendingRow:
    """A row that waits to be stored.

    Attributes:
        put: The row.
        wakeup: Set once the row has an outcome or its task must write the next
            batch.
        is_complete: Whether it has an outcome.
        outcome: The row that the store holds at its key, or why it is not or
            may not be stored.
    """

    __slots__ = ("is_complete", "outcome", "put", "wakeup")

    def __init__(self, put: row_store.Put) -> None:
        self.put = put
        self.wakeup = anyio.Event()
        self.is_complete = False
        self.outcome: row_store.Row | errors.PlatformError | None = None

    def complete(self, outcome: row_store.Row | errors.PlatformError) -> None:
        """Records the outcome and wakes the task that waits for it."""
        self.outcome = outcome
        self.is_complete = True
        self.wakeup.set()


class _Partition:
    __slots__ = (
        "refuse_until",
        "is_busy",
        "consecutive_lost_writes",
        "waiting",
    )

    def __init__(self) -> None:
        self.waiting: collections.deque[_PendingRow] = collections.deque()
        self.consecutive_lost_writes = 0
        # New rows are refused without a call until then.
        self.refuse_until = datetime.timedelta()
        # Whether a task writes a batch or was woken to write the next one.
        self.is_busy = False


class GroupCommit:
    """Inserts rows with at most one transaction in flight per partition.

    The task of the first waiting row writes a batch for all waiting rows.
    """

    __slots__ = ("_clock", "_partitions", "_store", "_average_duration")

    def __init__(
        self, store: row_store.RowStore, clock: clock_lib.Clock
    ) -> None:
        self._store = store
        self._clock = clock
        self._partitions: dict[str, _Partition] = {}
        self._average_duration = datetime.timedelta()

    @property
    def timeout(self) -> datetime.timedelta:
        """Timeout of the next call to the store."""
        scaled = self._average_duration * _TIMEOUT_FACTOR
        return min(_LONGEST_TIMEOUT, max(_SHORTEST_TIMEOUT, scaled))

    async def put_if_absent(self, put: row_store.Put) -> row_store.Row:
        """Stores a row unless it exists.

        Returns:
            The row that the store holds at the key; its value is another one
            if the row existed.

        Raises:
            PlatformUnavailableError: The row was not stored.
            PlatformError: The row may be stored.
        """
        partition = self._partitions.setdefault(
            put.row_key.partition, _Partition()
        )
        if self._clock.monotonic() < partition.refuse_until:
            raise _make_refusal_error()
        row = _PendingRow(put)
        partition.waiting.append(row)
        if partition.is_busy:
            await row.wakeup.wait()
        if not row.is_complete:
            partition.is_busy = True
            # Others wait for this batch even if this row's caller leaves.
            with anyio.CancelScope(shield=True):
                await self._write_batch(partition)
        match row.outcome:
            case row_store.Row() as stored:
                return stored
            case errors.PlatformError() as error:
                raise error
            case None:
                raise AssertionError("the row has no outcome")

    async def _write_batch(self, partition: _Partition) -> None:
        batch = _take_batch(partition.waiting)
        try:
            await self._store_rows(batch, partition)
        finally:
            for row in batch:
                if not row.is_complete:
                    row.complete(
                        errors.AnswerLostError(
                            "the write was cancelled; the row may be stored"
                        )
                    )
            if partition.waiting:
                partition.waiting[0].wakeup.set()
            else:
                partition.is_busy = False

    async def _store_rows(
        self, batch: Sequence[_PendingRow], partition: _Partition
    ) -> None:
        rows = list(batch)
        while rows:
            started = self._clock.monotonic()
            # Of several values for one key, only one is stored; all of them
            # are answered with it.
            puts = {row.put.row_key: row.put for row in rows}
            try:
                result = await self._store.transact(
                    row_store.Transaction(
                        tuple(row_store.Condition(key, 0) for key in puts),
                        tuple(puts.values()),
                    ),
                    self.timeout,
                )
            except errors.PlatformRejectedError as error:
                if len(rows) == 1:
                    rows[0].complete(error)
                    return
                # One invalid row must not fail the others, so each is written
                # alone.
                for row in rows:
                    await self._store_rows((row,), partition)
                return
            except errors.PlatformUnavailableError as error:
                _complete_all(rows, error)
                return
            except errors.PlatformError as error:
                _complete_all(rows, error)
                self._record_lost_write(partition)
                return
            partition.consecutive_lost_writes = 0
            self._record_duration(self._clock.monotonic() - started)
            match result:
                case row_store.Committed(version=version):
                    found = {
                        key: row_store.Row(key, put.value, version)
                        for key, put in puts.items()
                    }
                case row_store.Conflict(rows=existing):
                    found = {
                        row.row_key: row for row in existing if row.version
                    }
                    if not found:
                        # All conditions are that a row doesn't exist.
                        reason = "the store reported a conflict without a row"
                        _complete_all(rows, errors.AnswerLostError(reason))
                        return
            for row in rows:
                if row.put.row_key in found:
                    row.complete(found[row.put.row_key])
            rows = [row for row in rows if not row.is_complete]

    def _record_lost_write(self, partition: _Partition) -> None:
        """Raises the timeout; refuses rows after several lost writes."""
        self._average_duration = max(self._average_duration, self.timeout / 2)
        partition.consecutive_lost_writes += 1
        if partition.consecutive_lost_writes < _MAX_LOST_WRITES:
            return
        partition.refuse_until = self._clock.monotonic() + _REFUSAL_PERIOD
        while partition.waiting:
            partition.waiting.popleft().complete(_make_refusal_error())

    def _record_duration(self, duration: datetime.timedelta) -> None:
        self._average_duration += _SMOOTHING * (
            duration - self._average_duration
        )


def _complete_all(
    rows: Sequence[_PendingRow], error: errors.PlatformError
) -> None:
    for row in rows:
        row.complete(error)


def _make_refusal_error() -> errors.PlatformUnavailableError:
    return errors.PlatformUnavailableError(
        "the store didn't answer the last writes, so the row was not sent; try "
        "again later or on another node"
    )


def _take_batch(
    waiting: collections.deque[_PendingRow],
) -> tuple[_PendingRow, ...]:
    batch: list[_PendingRow] = []
    size_bytes = 0
    while waiting and len(batch) < _ROWS_PER_WRITE:
        size_bytes += len(waiting[0].put.value)
        if batch and size_bytes > _BYTES_PER_WRITE:
            break
        batch.append(waiting.popleft())
    return tuple(batch)
