"""Reads the rows that a process needs at its start, in few requests."""

import dataclasses

from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows read at the start of a process.

    Attributes:
        rows: The rows read by key, in the order of the keys.
        pages: For each prefix, in the order of the prefixes, one page with all
            its rows.
    """

    rows: tuple[records.Row, ...]
    pages: tuple[records.ScanPage, ...]


async def read_snapshot(
    table: tables.Table, keys: tuple[str, ...], prefixes: tuple[str, ...]
) -> Snapshot:
    """Reads rows by key in one request and scans prefixes page by page.

    Args:
        table: Table service.
        keys: Keys of single rows, such as `bundle/head`.
        prefixes: Prefixes such as `vm/`. The revision of a prefix's page is
            where later scans for changes continue.

    Raises:
        PlatformError: The platform can't be reached.
    """
    rows = await table.read(keys) if keys else ()
    pages = [await tables.scan_all_rows(table, prefix) for prefix in prefixes]
    return Snapshot(rows, tuple(pages))
