"""Reads from the store which entries may send requests to instances."""

from fireflywell import errors
from fireflywell.coordination import home_rows
from fireflywell.fleet import instances as instances_lib
from fireflywell.infrastructure import tables


async def read_home_incarnations(
    table: tables.Table, instances: tuple[instances_lib.Instance, ...]
) -> frozenset[str]:
    """Returns the entry incarnations that may send to these instances.

    Raises:
        PlatformError: The store can't be reached, or a row can't be decoded.
    """
    if not instances:
        return frozenset()
    keys = tuple(
        home_rows.make_home_key(item.instance_id) for item in instances
    )
    incarnations: set[str] = set()
    for row in await table.read(keys):
        if not row.version:
            continue
        try:
            record = home_rows.decode_home_row(row)
        except ValueError as error:
            raise errors.PlatformError(
                f"row {row.key} can't be decoded as a home record; the VM "
                "isn't stopped until an entry has rewritten the row"
            ) from error
        incarnations |= home_rows.list_possible_homes(record)
    return frozenset(incarnations)
