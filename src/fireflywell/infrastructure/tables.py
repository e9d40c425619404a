"""Client of the transactional table service."""

from typing import Any
from typing import Protocol
import urllib.parse

from fireflywell.infrastructure import records
from fireflywell.infrastructure import transport as transport_lib

_PAGE_ROWS = 2_000


class Table(Protocol):
    """Operations of a transactional table service that this package uses."""

    async def transact(
        self, transaction: records.Transaction
    ) -> records.TransactionResult:
        """Applies a transaction exactly once if all its conditions hold.

        Raises:
            PlatformUnavailableError: Nothing was applied.
            AnswerLostError: It may have been applied.
        """

    async def read(self, keys: tuple[str, ...]) -> tuple[records.Row, ...]:
        """Returns one row for each key; version 0 stands for a missing row.

        Raises:
            PlatformUnavailableError: The service can't be reached.
            AnswerLostError: The answer didn't arrive.
        """

    async def scan(
        self, prefix: str, after_key: str = "", after_revision: int = 0
    ) -> records.ScanPage:
        """Returns a page of the rows with a key prefix, in order of their keys.

        Args:
            prefix: Prefix of the keys.
            after_key: Returns only rows with greater keys.
            after_revision: Returns only rows written after this revision.

        Raises:
            PlatformUnavailableError: The service can't be reached.
            AnswerLostError: The answer didn't arrive.
        """


class TableClient:
    """Calls the table service over HTTP; implements `Table`."""

    __slots__ = ("_transport",)

    def __init__(self, transport: transport_lib.PlatformTransport) -> None:
        self._transport = transport

    async def transact(
        self, transaction: records.Transaction
    ) -> records.TransactionResult:
        """Applies a transaction; see `Table.transact`."""
        answer = await self._transport.call(
            "POST", "/v1/tables/transact", _encode_transaction(transaction)
        )
        if answer["committed"]:
            return records.Committed(answer["revision"])
        return records.Conflict(answer["key"], answer["actual_version"])

    async def read(self, keys: tuple[str, ...]) -> tuple[records.Row, ...]:
        """Reads rows by key; see `Table.read`."""
        answer = await self._transport.call(
            "POST", "/v1/tables/read", {"keys": list(keys)}
        )
        return tuple(_decode_row(row) for row in answer["rows"])

    async def scan(
        self, prefix: str, after_key: str = "", after_revision: int = 0
    ) -> records.ScanPage:
        """Reads a page of rows; see `Table.scan`."""
        query = urllib.parse.urlencode(
            {
                "prefix": prefix,
                "after_key": after_key,
                "after_revision": after_revision,
                "limit": _PAGE_ROWS,
            }
        )
        answer = await self._transport.call("GET", f"/v1/tables/scan?{query}")
        return records.ScanPage(
            rows=tuple(_decode_row(row) for row in answer["rows"]),
            deleted=tuple(answer["deleted"]),
            revision=answer["revision"],
            more=answer["more"],
        )


async def scan_all_rows(
    table: Table, prefix: str, after_revision: int = 0
) -> records.ScanPage:
    """Reads all rows with a key prefix and merges their pages into one.

    The returned revision is that of the first page, so that a later scan from
    it doesn't miss a row that was written between two pages.
    """
    rows: list[records.Row] = []
    deleted: set[str] = set()
    first_revision: int | None = None
    after_key = ""
    while True:
        page = await table.scan(prefix, after_key, after_revision)
        rows.extend(page.rows)
        deleted.update(page.deleted)
        if first_revision is None:
            first_revision = page.revision
        if not page.more:
            break
        after_key = page.rows[-1].key
    present = {row.key for row in rows}
    return records.ScanPage(
        rows=tuple(rows),
        deleted=tuple(sorted(deleted - present)),
        revision=first_revision,
        more=False,
    )


def _encode_transaction(transaction: records.Transaction) -> dict[str, Any]:
    return {
        "write_id": transaction.write_id,
        "conditions": [
            {"key": item.key, "version": item.version}
            for item in transaction.conditions
        ],
        "writes": [
            {"key": item.key, "value": item.value}
            for item in transaction.writes
        ],
    }


def _decode_row(row: dict[str, Any]) -> records.Row:
    return records.Row(
        key=row["key"],
        version=row["version"],
        revision=row["revision"],
        value=row["value"],
        write_id=row["write_id"],
    )
