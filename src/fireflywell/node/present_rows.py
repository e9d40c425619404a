"""Reads rows in the present state of the store, by a transaction."""

from fireflywell.coordination import row_store
from fireflywell.node import tables


async def read_present_rows(
    store: row_store.RowStore, *row_keys: row_store.RowKey
) -> tuple[row_store.Row, ...]:
    """Returns those of some rows that exist now.

    A read may show an earlier state of the store, a transaction doesn't. Its
    conditions are that none of the rows exists; the store answers a condition
    that doesn't hold with the rows. If all hold, it writes a row without a
    meaning. For rows that are rarely missed, because each call is a write.

    Args:
        store: The store.
        *row_keys: Keys of the rows, all of one partition.

    Raises:
        PlatformError: The store doesn't answer.
    """
    conditions = tuple(row_store.Condition(key, 0) for key in row_keys)
    check = row_store.Put(tables.locate_check(row_keys[0].partition), b"")
    result = await store.transact(row_store.Transaction(conditions, (check,)))
    match result:
        case row_store.Conflict(rows=rows):
            # A store may list the rows that don't exist, too, as version 0.
            return tuple(
                row for row in rows if row.row_key in row_keys and row.version
            )
        case row_store.Committed():
            return ()
