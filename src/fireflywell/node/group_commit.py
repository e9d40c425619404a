"""Stores new rows of the same partition together.

Answers the load in which the store is slow: a partition carries out its
transactions one after the other, so at a few a second single submissions of a
peak would be turned away although one transaction holds many of them.
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

# A call may take this many times as long as calls did lately, within bounds: a
# slow store answers late, a silent one never does.
_PATIENCE_FACTOR = 4
_SHORTEST_TIMEOUT = datetime.timedelta(milliseconds=600)
_LONGEST_TIMEOUT = datetime.timedelta(seconds=2)
_SMOOTHING = 0.3

# After this many writes in a row without an answer, the store is taken to be
# away. Rows that wait and those that come are refused at once, which is true
# and lets callers go elsewhere, until one is tried again.
_LOST_TO_CLOSE = 2
_CLOSED_FOR = datetime.timedelta(milliseconds=400)


class _PendingRow:
    """A row that waits to be stored.

    Attributes:
        put: The row.
        turn: Set once the row has an outcome or its task writes the next batch.
        is_settled: Whether it has an outcome.
        error: Why it may not be stored, or None if it is.
    """

    __slots__ = ("error", "is_settled", "put", "turn")

    def __init__(self, put: row_store.Put) -> None:
        self.put = put
        self.turn = anyio.Event()
        self.is_settled = False
        self.error: errors.PlatformError | None = None

    def settle(self, error: errors.PlatformError | None) -> None:
        """Notes the outcome and wakes the task that waits for it."""
        self.error = error
        self.is_settled = True
        self.turn.set()


class _Partition:
    __slots__ = ("closed_until", "is_busy", "lost_in_a_row", "waiting")

    def __init__(self) -> None:
        self.waiting: collections.deque[_PendingRow] = collections.deque()
        self.lost_in_a_row = 0
        # Until then new rows are refused without a call.
        self.closed_until = datetime.timedelta()
        # Whether some task writes a batch or was told to.
        self.is_busy = False


class GroupCommit:
    """Writes rows that must be new, one transaction a partition at a time.

    The task of the first waiting row writes the batch for all of them.
    """

    __slots__ = ("_clock", "_partitions", "_store", "_usual")

    def __init__(
        self, store: row_store.RowStore, clock: clock_lib.Clock
    ) -> None:
        self._store = store
        self._clock = clock
        self._partitions: dict[str, _Partition] = {}
        self._usual = datetime.timedelta()

    @property
    def timeout(self) -> datetime.timedelta:
        """How long the next call may take."""
        patience = self._usual * _PATIENCE_FACTOR
        return min(_LONGEST_TIMEOUT, max(_SHORTEST_TIMEOUT, patience))

    async def put_if_absent(self, put: row_store.Put) -> None:
        """Stores a row unless it exists; returns once one or the other is so.

        Raises:
            PlatformUnavailableError: It was surely not stored.
            PlatformError: It may be stored.
        """
        partition = self._partitions.setdefault(
            put.row_key.partition, _Partition()
        )
        if self._clock.monotonic() < partition.closed_until:
            raise _make_closed_error()
        row = _PendingRow(put)
        partition.waiting.append(row)
        if partition.is_busy:
            await row.turn.wait()
        if not row.is_settled:
            partition.is_busy = True
            # Others wait for this batch even if this row's caller leaves.
            with anyio.CancelScope(shield=True):
                await self._write_batch(partition)
        if row.error is not None:
            raise row.error

    async def _write_batch(self, partition: _Partition) -> None:
        batch = _take_batch(partition.waiting)
        try:
            await self._store_rows(batch, partition)
        finally:
            for row in batch:
                if not row.is_settled:
                    row.settle(errors.AnswerLostError("the write was ended"))
            if partition.waiting:
                partition.waiting[0].turn.set()
            else:
                partition.is_busy = False

    async def _store_rows(
        self, batch: Sequence[_PendingRow], partition: _Partition
    ) -> None:
        rows = list(batch)
        while rows:
            started = self._clock.monotonic()
            try:
                result = await self._store.transact(
                    row_store.Transaction(
                        tuple(
                            row_store.Condition(r.put.row_key, 0) for r in rows
                        ),
                        tuple(row.put for row in rows),
                    ),
                    self.timeout,
                )
            except errors.PlatformRejectedError as error:
                if len(rows) == 1:
                    rows[0].settle(error)
                    return
                # One of them is at fault; the others must not suffer from it.
                for row in rows:
                    await self._store_rows((row,), partition)
                return
            except errors.PlatformUnavailableError as error:
                _settle_all(rows, error)
                return
            except errors.PlatformError as error:
                _settle_all(rows, error)
                self._note_lost(partition)
                return
            partition.lost_in_a_row = 0
            self._note_duration(self._clock.monotonic() - started)
            match result:
                case row_store.Committed():
                    found = {row.put.row_key for row in rows}
                case row_store.Conflict(rows=existing):
                    found = {item.row_key for item in existing if item.version}
            for row in rows:
                if row.put.row_key in found:
                    row.settle(None)
            rows = [row for row in rows if not row.is_settled]

    def _note_lost(self, partition: _Partition) -> None:
        """Waits longer next time; refuses what it would only hold up."""
        self._usual = max(self._usual, self.timeout / 2)
        partition.lost_in_a_row += 1
        if partition.lost_in_a_row < _LOST_TO_CLOSE:
            return
        partition.closed_until = self._clock.monotonic() + _CLOSED_FOR
        while partition.waiting:
            partition.waiting.popleft().settle(_make_closed_error())

    def _note_duration(self, duration: datetime.timedelta) -> None:
        self._usual += _SMOOTHING * (duration - self._usual)


def _settle_all(
    rows: Sequence[_PendingRow], error: errors.PlatformError
) -> None:
    for row in rows:
        row.settle(error)


def _make_closed_error() -> errors.PlatformUnavailableError:
    return errors.PlatformUnavailableError(
        "the store didn't answer the last writes; nothing was sent"
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
