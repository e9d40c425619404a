"""Interface of a transactional store of rows in tables and partitions.

A row has a table, a partition and a key. A transaction touches one partition
and may touch any of its tables. The implementation for the users' platform is
in `platform/store.py`; tests use the one in `standins/row_store.py`.
"""

import dataclasses
import datetime
from typing import Protocol

from fireflywell import errors

# Largest value of a row, unless the settings name another size.
DEFAULT_ROW_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class RowKey:
    """Identifies a row by table, partition and key."""

    table: str
    partition: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row, or the tombstone of a removed row.

    Attributes:
        row_key: Key of the row.
        value: Contents; empty if the row was removed.
        version: Version of the whole store at the row's last change; 0 if the
            row doesn't exist.
        is_removed: Whether the row was removed.
    """

    row_key: RowKey
    value: bytes
    version: int
    is_removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Requires that a row has this version; 0 means that it doesn't exist."""

    row_key: RowKey
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Sets the value of a row and creates the row if it doesn't exist."""

    row_key: RowKey
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that are applied atomically if all conditions hold.

    Attributes:
        expected: Conditions on the versions of rows.
        puts: Rows to write.
        removes: Rows to remove.
    """

    expected: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    removes: tuple[RowKey, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was applied at this version of the store."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A condition didn't hold; nothing was applied.

    Attributes:
        rows: Existing rows named by the conditions, at their current versions.
    """

    rows: tuple[Row, ...]

    def find_row(self, row_key: RowKey) -> Row | None:
        """Returns a row as it is now; None if it doesn't exist."""
        for row in self.rows:
            if row.row_key == row_key and row.version:
                return row
        return None

    def find_version(self, row_key: RowKey) -> int:
        """Returns the current version of a row; 0 if it doesn't exist."""
        row = self.find_row(row_key)
        return row.version if row else 0


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Result of a read or a follow call.

    Attributes:
        rows: Rows of a read, or changed rows of a follow call in order of
            their versions.
        version: Version of the store whose state the page shows. Reads may
            show an earlier state than the present one; transactions are
            always applied to the present one.
        has_more: Whether a further read is needed.
    """

    rows: tuple[Row, ...]
    version: int
    has_more: bool = False


class RowStore(Protocol):
    """Interface of the row store that this package uses.

    All methods raise `PlatformUnavailableError` if the call had no effect and
    `AnswerLostError` if it may have been executed.
    """

    @property
    def newest_version(self) -> int:
        """The newest version of the store that any answer has shown."""

    async def transact(
        self,
        transaction: Transaction,
        timeout: datetime.timedelta | None = None,
    ) -> Committed | Conflict:
        """Applies a transaction if all its conditions hold."""

    async def read(
        self,
        table: str,
        partition: str,
        first: str = "",
        end: str = "",
        at_least: int = 0,
    ) -> Page:
        """Returns the rows of a partition of a table in a range of keys.

        Args:
            table: The table.
            partition: The partition.
            first: First key of the range; empty for the first of all.
            end: Key after the range; empty for no end.
            at_least: Version of the store that the page must not precede.

        Raises:
            StaleReadError: The page shows an earlier state than that.
        """

    async def list_partitions(self, table: str) -> tuple[str, ...]:
        """Returns the partitions of a table that hold rows."""

    async def follow(
        self,
        table: str,
        after: int,
        wait: datetime.timedelta,
        limit_bytes: int | None = None,
    ) -> Page:
        """Returns the changes of a table after a version; waits for one.

        Each change of a row is returned separately, so a page can be much
        larger than the table.

        Args:
            table: The table.
            after: Version of the store after which changes are returned.
            wait: How long to wait if there is no change yet.
            limit_bytes: Approximate limit of the total size of the rows'
                values; None for no limit.

        Raises:
            HistoryLostError: The changes are no longer available.
            BacklogTooLargeError: The changes are larger than the limit.
        """

    def now_s(self) -> float:
        """Returns an estimate of the store's monotonic clock, in seconds."""


def check_version(
    version: int, at_least: int, table: str, partition: str
) -> None:
    """Checks that a page doesn't show an earlier state than its reader needs.

    Args:
        version: Version of the page.
        at_least: Version that it must not precede.
        table: Table that was read.
        partition: Partition that was read.

    Raises:
        StaleReadError: The page precedes the version.
    """
    if version < at_least:
        raise errors.StaleReadError(
            f"the read of table {table}, partition {partition!r}, shows the "
            f"store at version {version}, but version {at_least} is needed; "
            "read it again later"
        )


async def read_row(store: RowStore, row_key: RowKey) -> Row | None:
    """Returns a row as an earlier or the present state shows it, or None.

    Args:
        store: The store.
        row_key: Key of the row.

    Raises:
        PlatformError: The store doesn't answer.
    """
    page = await store.read(
        row_key.table, row_key.partition, row_key.key, row_key.key + "\x00"
    )
    return page.rows[0] if page.rows else None
