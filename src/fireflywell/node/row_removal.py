"""Removes rows that nobody has changed since they were read."""

from collections.abc import Sequence

from fireflywell.coordination import row_store

# A transaction holds at most 100 entries, and each row takes two.
MAX_ROWS = 48


async def remove_unchanged(
    store: row_store.RowStore, rows: Sequence[row_store.Row]
) -> tuple[row_store.Row, ...]:
    """Removes rows of one partition together, unless one of them has changed.

    Args:
        store: The store.
        rows: The rows, at most `MAX_ROWS`.

    Returns:
        The rows that the store doesn't hold any more as they were read. If any
        of them had changed, the others are still there.

    Raises:
        PlatformError: The store doesn't answer.
    """
    result = await store.transact(
        row_store.Transaction(
            tuple(row_store.Condition(r.row_key, r.version) for r in rows),
            (),
            tuple(row.row_key for row in rows),
        )
    )
    match result:
        case row_store.Committed():
            return tuple(rows)
        case row_store.Conflict(rows=present):
            kept = {(row.row_key, row.version) for row in present}
            return tuple(r for r in rows if (r.row_key, r.version) not in kept)
