"""Small fleets for the tests of fleet decisions."""

from fireflywell.bundle import model
from fireflywell.fleet import budgets
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records

ZONES = ("a", "b", "c")
NO_BUDGET = model.Budget(0)


def make_vms(count: int) -> tuple[records.Vm, ...]:
    """Returns VMs spread over three zones, with two racks in each zone."""
    return tuple(
        records.Vm(
            f"vm{number:02}",
            f"127.1.0.{number + 1}",
            ZONES[number % 3],
            f"r{number % 6}",
            records.VmState.LIVE,
            1,
        )
        for number in range(count)
    )


def make_bundle(
    pools: tuple[model.Pool, ...],
    budget: model.Budget,
    maintenance: model.Maintenance | None = None,
) -> model.Bundle:
    """Returns a bundle with one service for each pool."""
    return model.Bundle(
        version=1,
        signing=model.Signing(1, ()),
        pools=pools,
        services=tuple(
            model.Service(pool.name, pool.name, 9000, budget) for pool in pools
        ),
        classes=(model.RequestClass("quick", 1.0),),
        teams=(model.Team("sales"),),
        maintenance=maintenance or model.Maintenance(),
    )


def make_health(
    bundle: model.Bundle,
    vms: tuple[records.Vm, ...],
    assignments: tuple[vm_records.VmRecord, ...],
    failed: frozenset[str],
) -> tuple[budgets.InstanceHealth, ...]:
    """Returns the instances' health; those of `failed` VMs are unavailable."""
    listed = {vm.vm_id: vm for vm in vms}
    return tuple(
        budgets.InstanceHealth(
            service.name,
            record.vm_id,
            listed[record.vm_id].zone,
            listed[record.vm_id].rack,
            record.phase is vm_records.VmPhase.SERVING
            and record.vm_id not in failed,
        )
        for record in assignments
        for service in bundle.services
        if service.pool == record.pool
    )
