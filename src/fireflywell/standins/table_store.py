"""In-memory transactional table, also used directly by tests."""

import bisect

from fireflywell import errors
from fireflywell.infrastructure import records


class MemoryTable:
    """Implements `platform.tables.Table` in memory.

    Attributes of class instances are private; faults are set by methods.
    """

    __slots__ = (
        "_deleted",
        "_is_down",
        "_keys",
        "_lost_answers",
        "_reads",
        "_revision",
        "_rows",
        "_writes",
    )

    def __init__(self) -> None:
        self._rows: dict[str, records.Row] = {}
        self._keys: list[str] = []
        self._deleted: dict[str, int] = {}
        self._revision = 0
        self._is_down = False
        self._lost_answers = 0
        self._reads = 0
        self._writes = 0

    @property
    def reads(self) -> int:
        """Number of read and scan calls served."""
        return self._reads

    @property
    def writes(self) -> int:
        """Number of transactions served."""
        return self._writes

    @property
    def revision(self) -> int:
        """Revision after the last committed transaction."""
        return self._revision

    def set_down(self, is_down: bool) -> None:
        """Makes all calls fail without running, or ends that."""
        self._is_down = is_down

    def lose_answers(self, count: int) -> None:
        """Runs the next `count` transactions but loses their answers."""
        self._lost_answers = count

    def copy(self) -> "MemoryTable":
        """Returns a table with the same content and no faults."""
        other = MemoryTable()
        other._rows = dict(self._rows)
        other._keys = list(self._keys)
        other._deleted = dict(self._deleted)
        other._revision = self._revision
        return other

    async def transact(
        self, transaction: records.Transaction
    ) -> records.TransactionResult:
        """Applies a transaction if its conditions hold."""
        self._check_up()
        self._writes += 1
        result = self._apply(transaction)
        if self._lost_answers > 0:
            self._lost_answers -= 1
            raise errors.AnswerLostError("the answer was lost by a fault")
        return result

    async def read(self, keys: tuple[str, ...]) -> tuple[records.Row, ...]:
        """Returns one row for each key."""
        self._check_up()
        self._reads += 1
        return tuple(self._find(key) for key in keys)

    async def scan(
        self,
        prefix: str,
        after_key: str = "",
        after_revision: int = 0,
        limit: int = 2_000,
    ) -> records.ScanPage:
        """Returns a page of the rows below a prefix."""
        self._check_up()
        self._reads += 1
        rows: list[records.Row] = []
        more = False
        for row in self._iterate_from(prefix, after_key):
            if row.revision <= after_revision:
                continue
            if len(rows) == limit:
                more = True
                break
            rows.append(row)
        deleted = tuple(
            key
            for key, revision in self._deleted.items()
            if key.startswith(prefix) and revision > after_revision
        )
        return records.ScanPage(tuple(rows), deleted, self._revision, more)

    def _apply(
        self, transaction: records.Transaction
    ) -> records.TransactionResult:
        for condition in transaction.conditions:
            actual = self._find(condition.key).version
            if actual != condition.version:
                return records.Conflict(condition.key, actual)
        self._revision += 1
        for write in transaction.writes:
            self._write(write, transaction.write_id)
        return records.Committed(self._revision)

    def _write(self, write: records.Write, write_id: str) -> None:
        version = self._find(write.key).version
        if write.value is None:
            if version:
                del self._rows[write.key]
                self._keys.remove(write.key)
                self._deleted[write.key] = self._revision
            return
        if not version:
            bisect.insort(self._keys, write.key)
            self._deleted.pop(write.key, None)
        self._rows[write.key] = records.Row(
            write.key, version + 1, self._revision, write.value, write_id
        )

    def _find(self, key: str) -> records.Row:
        missing = records.Row(key, 0, 0, "", "")
        return self._rows.get(key, missing)

    def _iterate_from(self, prefix: str, after_key: str) -> "list[records.Row]":
        start = bisect.bisect_left(self._keys, prefix)
        if after_key >= prefix:
            start = bisect.bisect_right(self._keys, after_key)
        found: list[records.Row] = []
        for key in self._keys[start:]:
            if not key.startswith(prefix):
                break
            found.append(self._rows[key])
        return found

    def _check_up(self) -> None:
        if self._is_down:
            raise errors.PlatformUnavailableError("the table service is down")
