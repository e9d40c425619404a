"""Stores which VMs belong to the spare pool, whichever pool they are in now."""

import msgpack

from fireflywell.coordination import row_store
from fireflywell.node import fleet_cache
from fireflywell.node import fleet_tenure
from fireflywell.node import ownership
from fireflywell.telemetry import logs


async def add_listed(fleet: fleet_tenure.FleetTenure, spare: str) -> None:
    """Adds the VMs that the last list shows in the spare pool.

    One list may lack some of them, and operators may add others, so each list
    counts. None is removed: a VM that isn't listed in the pool is in use in
    another one or wasn't listed at all.

    Args:
        fleet: Access to the VMs and the stored list.
        spare: Name of the spare pool.

    Raises:
        PlatformError: The store doesn't answer.
    """
    listed = [vm for vm in fleet.inventory.vms.values() if vm.pool == spare]
    known = fleet.cache.spare_pool_vms
    names = known.union(vm.name for vm in listed)
    if names == known:
        return
    logs.log_event(
        "fleet.listed",
        vms=len(fleet.inventory.vms),
        spare_pool=spare,
        floating=len(names),
        states=sorted({f"{vm.state}/{bool(vm.instance_id)}" for vm in listed}),
    )
    row_key = fleet_cache.locate_spare_pool_vms(ownership.FLEET_SERVICE)
    value = bytes(msgpack.packb(sorted(names)))
    result = await fleet.store.transact(
        row_store.Transaction(
            (
                fleet.tenure.make_condition(),
                row_store.Condition(row_key, fleet.cache.spare_pool_version),
            ),
            (row_store.Put(row_key, value),),
        )
    )
    match result:
        case row_store.Committed(version=version):
            row = row_store.Row(row_key, value, version)
            fleet.cache.apply_rows((row,))
        case row_store.Conflict(rows=rows):
            fleet.cache.apply_rows(rows)
