"""Assignment of VMs to pools with as few moves as possible."""

from collections.abc import Iterator
import dataclasses

from fireflywell.bundle import model
from fireflywell.fleet import demand
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records


@dataclasses.dataclass(frozen=True, slots=True)
class AssignVm:
    """Assigns a VM that has no record to a pool."""

    vm_id: str
    pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class MoveVm:
    """Moves a serving VM from its pool to another one."""

    vm_id: str
    from_pool: str
    to_pool: str


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveVm:
    """Deletes the record of a VM that the platform no longer lists."""

    vm_id: str


Assignment = AssignVm | MoveVm | RemoveVm


@dataclasses.dataclass(slots=True)
class _PoolCount:
    """Members of a pool during one planning round.

    Attributes:
        name: Name of the pool.
        target: Number of VMs that it should have.
        vm_ids: Listed members, with those that are moving to the pool.
        zones: Number of members by availability zone.
        racks: Number of members by rack.
        absent: Members that are missing from the platform's list but don't
            count as removed yet.
    """

    name: str
    target: int
    vm_ids: list[str]
    zones: dict[str, int]
    racks: dict[str, int]
    absent: int = 0

    @property
    def surplus(self) -> int:
        """Number of members beyond the target; negative if too few."""
        return len(self.vm_ids) + self.absent - self.target

    def add(self, vm: records.Vm) -> None:
        """Adds a VM to the members."""
        self.vm_ids.append(vm.vm_id)
        self.zones[vm.zone] = self.zones.get(vm.zone, 0) + 1
        self.racks[vm.rack] = self.racks.get(vm.rack, 0) + 1

    def remove(self, vm: records.Vm) -> None:
        """Removes a VM from the members."""
        self.vm_ids.remove(vm.vm_id)
        self.zones[vm.zone] -= 1
        self.racks[vm.rack] -= 1


def plan_assignments(
    bundle: model.Bundle,
    targets: tuple[demand.PoolTarget, ...],
    vms: tuple[records.Vm, ...],
    assignments: tuple[vm_records.VmRecord, ...],
    removed_vms: frozenset[str],
) -> Iterator[Assignment]:
    """Yields the changes that bring the pools to their targets.

    New VMs are assigned first, so that a VM moves only if no new one can fill
    the gap. A VM in a move counts for its target pool. A VM in a move or in
    maintenance isn't moved.

    Args:
        bundle: The bundle in force.
        targets: Number of VMs for each pool.
        vms: VMs in the platform's list.
        assignments: Records of all VMs.
        removed_vms: VMs that count as removed because they have been absent
            from the platform's list for long enough.
    """
    listed = {vm.vm_id: vm for vm in vms}
    pools = _count_members(bundle, targets, listed, assignments, removed_vms)
    recorded = {record.vm_id for record in assignments}
    for record in assignments:
        if record.vm_id in removed_vms and record.vm_id not in listed:
            yield RemoveVm(record.vm_id)
    for vm in vms:
        is_live = vm.state is records.VmState.LIVE
        # A wave would reboot a system VM in a pool without a planned stop of
        # the processes that run on it.
        is_assignable = vm.vm_id not in recorded and not vm.is_system
        if is_assignable and is_live and pools:
            pool = min(pools, key=lambda item: _rank_joining(item, vm))
            pool.add(vm)
            yield AssignVm(vm.vm_id, pool.name)
    yield from _plan_moves(pools, listed, assignments)


def _count_members(
    bundle: model.Bundle,
    targets: tuple[demand.PoolTarget, ...],
    listed: dict[str, records.Vm],
    assignments: tuple[vm_records.VmRecord, ...],
    removed_vms: frozenset[str],
) -> list[_PoolCount]:
    sizes = {item.pool: item.vms for item in targets}
    pools = {
        pool.name: _PoolCount(
            pool.name,
            sizes.get(pool.name, pool.target_vms),
            [],
            {},
            {},
        )
        for pool in bundle.pools
    }
    for record in assignments:
        pool = pools.get(record.target_pool or record.pool)
        vm = listed.get(record.vm_id)
        if pool is not None and vm is not None:
            pool.add(vm)
        elif pool is not None and record.vm_id not in removed_vms:
            # A VM that is absent for a short time still counts: a replacement
            # would cost one move to the pool and another one back.
            pool.absent += 1
    return list(pools.values())


def _rank_joining(
    pool: _PoolCount, vm: records.Vm
) -> tuple[float, int, int, str]:
    """Ranks pools for a new VM: least filled first, then the best spread."""
    members = len(pool.vm_ids) + pool.absent
    fill = members / pool.target if pool.target else float("inf")
    zone_members = pool.zones.get(vm.zone, 0)
    rack_members = pool.racks.get(vm.rack, 0)
    return fill, zone_members, rack_members, pool.name


def _plan_moves(
    pools: list[_PoolCount],
    listed: dict[str, records.Vm],
    assignments: tuple[vm_records.VmRecord, ...],
) -> Iterator[MoveVm]:
    pools_by_name = {pool.name: pool for pool in pools}
    # VMs of pools that the bundle no longer names are all movable.
    movable = [
        record
        for record in assignments
        if record.phase is vm_records.VmPhase.SERVING and record.vm_id in listed
    ]
    while True:
        destination = min(pools, key=lambda item: item.surplus, default=None)
        if destination is None or destination.surplus >= 0:
            break
        record = _choose_source_vm(destination, pools_by_name, movable, listed)
        if record is None:
            break
        movable.remove(record)
        vm = listed[record.vm_id]
        if record.pool in pools_by_name:
            pools_by_name[record.pool].remove(vm)
        destination.add(vm)
        yield MoveVm(record.vm_id, record.pool, destination.name)


def _choose_source_vm(
    destination: _PoolCount,
    pools: dict[str, _PoolCount],
    movable: list[vm_records.VmRecord],
    listed: dict[str, records.Vm],
) -> vm_records.VmRecord | None:
    """Returns the best VM to move, from a pool with a surplus.

    VMs in zones with the fewest members of the destination come first, then
    those of the pool with the largest surplus, then those in racks with the
    fewest members. None if no pool has a surplus.
    """
    best: vm_records.VmRecord | None = None
    best_rank: tuple[int, int, int, str] | None = None
    for record in movable:
        pool = pools.get(record.pool)
        if pool is not None and pool.surplus <= 0:
            continue
        vm = listed[record.vm_id]
        surplus = pool.surplus if pool is not None else len(movable)
        rank = (
            destination.zones.get(vm.zone, 0),
            -surplus,
            destination.racks.get(vm.rack, 0),
            record.vm_id,
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = record, rank
    return best
