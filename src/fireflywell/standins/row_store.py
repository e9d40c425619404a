"""In-memory row store with faults on demand, for tests and the emulator."""

import collections
import datetime

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store

# Limits of a transaction, as the platform's store has them.
_MAX_ENTRIES = 100
_MAX_TRANSACTION_BYTES = 1_000_000

# Size of an entry beside its value: names of fields, table, partition and key.
_ENTRY_BYTES = 120

# Changes that are kept for those who follow a table.
_HISTORY_ROWS = 4000


class MemoryRowStore:
    """A `RowStore` in this process.

    Attributes:
        is_down: Whether each call fails without being carried out.
        lose_answers: How many of the next transactions are carried out
            without an answer.
        calls: Number of calls so far.
        delay_s: Time that each call takes.
        read_lag_s: How old the state is that reads and followers see.
        read_version: Version whose state reads and followers see; None for
            the state that `read_lag_s` tells.
        row_bytes: Largest value of a row.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_commit_times",
        "_history",
        "_oldest",
        "_rows",
        "_version",
        "calls",
        "delay_s",
        "is_down",
        "lose_answers",
        "read_lag_s",
        "read_version",
        "row_bytes",
    )

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._rows: dict[row_store.RowKey, row_store.Row] = {}
        self._history: list[row_store.Row] = []
        self._oldest = 0
        self._version = 0
        # When each version was written, for reads that lag behind.
        self._commit_times: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=_HISTORY_ROWS)
        )
        self._changed = anyio.Event()
        self.is_down = False
        self.lose_answers = 0
        self.calls = 0
        self.delay_s = 0.0
        self.read_lag_s = 0.0
        self.read_version: int | None = None
        self.row_bytes = row_store.DEFAULT_ROW_BYTES

    @property
    def version(self) -> int:
        """The newest version."""
        return self._version

    @property
    def newest_version(self) -> int:
        """The newest version; see `RowStore.newest_version`."""
        return self._version

    def now_s(self) -> float:
        """Returns the store's steady clock, in seconds."""
        return self._clock.monotonic().total_seconds()

    def get(self, row_key: row_store.RowKey) -> row_store.Row | None:
        """Returns a row, or None; for assertions."""
        return self._rows.get(row_key)

    def list_table(self, table: str) -> list[row_store.Row]:
        """Returns the rows of all partitions of a table; for assertions."""
        return [
            r for row_key, r in self._rows.items() if row_key.table == table
        ]

    def put(self, row_key: row_store.RowKey, value: bytes) -> int:
        """Writes a row as the operator or a worker does."""
        self._apply((row_store.Put(row_key, value),), ())
        return self._version

    def remove(self, row_key: row_store.RowKey) -> None:
        """Removes a row as the platform does."""
        self._apply((), (row_key,))

    def drop_history(self) -> None:
        """Forgets all changes so far."""
        self._history.clear()
        self._oldest = self._version

    async def transact(
        self,
        transaction: row_store.Transaction,
        timeout: datetime.timedelta | None = None,
    ) -> row_store.Committed | row_store.Conflict:
        """Applies a transaction; see `RowStore.transact`."""
        del timeout
        await self._begin_call()
        partitions = {
            row_key.partition
            for row_key in (
                *(item.row_key for item in transaction.expected),
                *(item.row_key for item in transaction.puts),
                *transaction.removes,
            )
        }
        if len(partitions) > 1:
            raise errors.PlatformRejectedError(
                f"a transaction touches several partitions: {partitions}"
            )
        _check_size(transaction, self.row_bytes)
        for item in transaction.expected:
            row = self._rows.get(item.row_key)
            if (row.version if row else 0) != item.version:
                rows = (
                    self._rows.get(condition.row_key)
                    for condition in transaction.expected
                )
                found = tuple(row for row in rows if row is not None)
                return row_store.Conflict(found)
        self._apply(transaction.puts, transaction.removes)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise errors.AnswerLostError("the answer was lost on purpose")
        return row_store.Committed(self._version)

    async def read(
        self,
        table: str,
        partition: str,
        first: str = "",
        end: str = "",
        at_least: int = 0,
    ) -> row_store.Page:
        """Reads the rows of a partition; see `RowStore.read`."""
        await self._begin_call()
        version = self._find_read_version()
        row_store.check_version(version, at_least, table, partition)
        rows = sorted(
            (
                row
                for row_key, row in self._list_rows_at(version).items()
                if row_key.table == table
                and row_key.partition == partition
                and row_key.key >= first
                and (not end or row_key.key < end)
            ),
            key=lambda row: row.row_key.key,
        )
        return row_store.Page(tuple(rows), version)

    async def list_partitions(self, table: str) -> tuple[str, ...]:
        """Returns the partitions of a table; see `RowStore.list_partitions`."""
        await self._begin_call()
        rows = self._list_rows_at(self._find_read_version())
        names = {p.partition for p in rows if p.table == table}
        return tuple(sorted(names))

    async def follow(
        self,
        table: str,
        after: int,
        wait: datetime.timedelta,
        limit_bytes: int | None = None,
    ) -> row_store.Page:
        """Returns the changes of a table; see `RowStore.follow`."""
        await self._begin_call()
        self._check_history(after)
        with anyio.move_on_after(wait.total_seconds()):
            while not self._list_changes(table, after):
                await self._changed.wait()
        self._check_history(after)
        changes = self._list_changes(table, after)
        size_bytes = sum(len(row.value) for row in changes)
        if limit_bytes is not None and size_bytes > limit_bytes:
            raise errors.BacklogTooLargeError(
                f"the changes have {size_bytes} bytes, more than {limit_bytes}"
            )
        return row_store.Page(tuple(changes), self._find_read_version())

    def _find_read_version(self) -> int:
        """Returns the version whose state a read sees now."""
        if self.read_version is not None:
            return self.read_version
        if not self.read_lag_s:
            return self._version
        latest_s = self.now_s() - self.read_lag_s
        versions = (v for at_s, v in self._commit_times if at_s <= latest_s)
        return max(versions, default=0)

    def _list_rows_at(
        self, version: int
    ) -> dict[row_store.RowKey, row_store.Row]:
        """Returns the rows as of a version that the history reaches back to."""
        if version >= self._version:
            return self._rows
        rows = dict(self._rows)
        for row in self._history:
            if row.version > version:
                rows.pop(row.row_key, None)
        for row in self._history:
            if row.version > version:
                break
            if row.is_removed:
                rows.pop(row.row_key, None)
            else:
                rows[row.row_key] = row
        return rows

    def _check_history(self, after: int) -> None:
        if after < self._oldest:
            raise errors.HistoryLostError("the history was dropped on purpose")

    def _list_changes(self, table: str, after: int) -> list[row_store.Row]:
        # Each change by itself, as the platform's store returns them: a row
        # that was written twice comes twice.
        version = self._find_read_version()
        return [
            row
            for row in self._history
            if after < row.version <= version and row.row_key.table == table
        ]

    def _apply(
        self,
        puts: tuple[row_store.Put, ...],
        removes: tuple[row_store.RowKey, ...],
    ) -> None:
        self._version += 1
        self._commit_times.append((self.now_s(), self._version))
        for item in puts:
            row = row_store.Row(item.row_key, item.value, self._version)
            self._rows[item.row_key] = row
            self._history.append(row)
        for row_key in removes:
            if self._rows.pop(row_key, None) is not None:
                gone = row_store.Row(row_key, b"", self._version, True)
                self._history.append(gone)
        if len(self._history) > 2 * _HISTORY_ROWS:
            self._oldest = self._history[-_HISTORY_ROWS].version
            del self._history[:-_HISTORY_ROWS]
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def _begin_call(self) -> None:
        self.calls += 1
        await anyio.sleep(self.delay_s)
        if self.is_down:
            raise errors.PlatformUnavailableError("the store is down")


def _check_size(transaction: row_store.Transaction, row_bytes: int) -> None:
    """Checks the limits of the platform's store.

    Raises:
        PlatformRejectedError: The transaction exceeds one of them.
    """
    for put in transaction.puts:
        if len(put.value) > row_bytes:
            raise errors.PlatformRejectedError(
                f"the value of row {put.row_key} has {len(put.value)} bytes; "
                f"at most {row_bytes} are possible"
            )
    entries = (
        len(transaction.expected)
        + len(transaction.puts)
        + len(transaction.removes)
    )
    if entries > _MAX_ENTRIES:
        raise errors.PlatformRejectedError(
            f"a transaction has {entries} entries; at most {_MAX_ENTRIES} are "
            "possible"
        )
    # Values are sent in base64.
    size_bytes = entries * _ENTRY_BYTES + sum(
        len(put.value) * 4 // 3 for put in transaction.puts
    )
    if size_bytes > _MAX_TRANSACTION_BYTES:
        raise errors.PlatformRejectedError(
            f"a transaction has {size_bytes} bytes; at most "
            f"{_MAX_TRANSACTION_BYTES} are possible"
        )
