"""Reads what a newly started process needs in a few requests."""

import dataclasses

from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows read at the start of a process.

    Attributes:
        rows: The rows asked for by key, in that order.
        pages: One for each prefix, in that order, with all its rows.
    """

    rows: tuple[records.Row, ...]
    pages: tuple[records.ScanPage, ...]


async def read_snapshot(
    table: tables.Table, keys: tuple[str, ...], prefixes: tuple[str, ...]
) -> Snapshot:
    """Reads rows by key in one request, and prefixes page by page.

    Args:
        table: Table service.
        keys: Keys of single rows, such as `bundle/head`.
        prefixes: Prefixes such as `vm/`. Later scans go on from the revision
            of their pages.

    Raises:
        PlatformError: The platform can't be reached.
    """
    rows = await table.read(keys) if keys else ()
    pages = [await tables.scan_all_rows(table, prefix) for prefix in prefixes]
    return Snapshot(rows, tuple(pages))
