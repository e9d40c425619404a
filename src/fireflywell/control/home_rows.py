"""Reads which entries are the homes of a VM's instances."""

import json

from fireflywell.fleet import instances as instances_lib
from fireflywell.platform import tables

HOME_PREFIX = "home/"


async def read_home_incarnations(
    table: tables.Table, instances: tuple[instances_lib.Instance, ...]
) -> frozenset[str]:
    """Returns the incarnations that may send to these instances.

    Raises:
        PlatformError: The store can't be reached.
    """
    if not instances:
        return frozenset()
    keys = tuple(HOME_PREFIX + item.instance_id for item in instances)
    rows = await table.read(keys)
    return frozenset(
        json.loads(row.value)["incarnation"] for row in rows if row.version
    )
