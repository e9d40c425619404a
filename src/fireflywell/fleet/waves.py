"""Maintenance waves: which VMs to drain next, and whether the pace is met."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import datetime

from fireflywell.bundle import model
from fireflywell.fleet import budgets
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records


@dataclasses.dataclass(frozen=True, slots=True)
class FleetState:
    """What a planning round looks at.

    Attributes:
        vms: The platform's list.
        assignments: Records of all VMs.
        health: Instances of all services.
        overdue: VMs in maintenance whose return timeout has passed.
    """

    vms: tuple[records.Vm, ...]
    assignments: tuple[vm_records.VmRecord, ...]
    health: tuple[budgets.InstanceHealth, ...]
    overdue: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class DrainVms:
    """Begin the maintenance of these VMs, all of one failure domain."""

    zone: str
    rack: str
    vm_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WaveHeld:
    """A wave is due but can't go on now; it is planned again each round."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NothingDue:
    """No VM is due for maintenance."""


WaveDecision = DrainVms | WaveHeld | NothingDue


@dataclasses.dataclass(frozen=True, slots=True)
class PaceMet:
    """Every VM can be maintained within the interval.

    Attributes:
        needed: Time that one pass over all VMs takes.
    """

    needed: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class PaceMissed:
    """The interval can't be kept.

    Attributes:
        needed: Time that one pass over all VMs takes.
        constraint: What binds, and what to change.
    """

    needed: datetime.timedelta
    constraint: str


PaceCheck = PaceMet | PaceMissed


@dataclasses.dataclass(frozen=True, slots=True)
class _Fit:
    """VMs of a rack that can be away together, and why no further one can."""

    chosen: tuple[str, ...]
    refusal: str


class _BudgetIndex:
    """Finds the instances that count for a VM's services.

    A round looks at every due VM, so the instances are grouped once instead of
    being searched for each VM.
    """

    __slots__ = ("_by_service", "_by_vm", "_services")

    def __init__(
        self,
        services: tuple[model.Service, ...],
        health: Iterable[budgets.InstanceHealth],
    ) -> None:
        self._services = {service.name: service for service in services}
        self._by_service: dict[str, list[budgets.InstanceHealth]] = {}
        self._by_vm: dict[str, list[str]] = {}
        for item in health:
            self._by_service.setdefault(item.service, []).append(item)
            if item.is_available:
                self._by_vm.setdefault(item.vm_id, []).append(item.service)

    def check_without(
        self, vm_id: str, others: tuple[str, ...]
    ) -> budgets.BudgetCheck:
        """Checks the budgets of a VM's services if it leaves with others."""
        without = frozenset((*others, vm_id))
        least = budgets.BudgetHolds(0)
        for name in self._by_vm.get(vm_id, ()):
            service = self._services.get(name)
            if service is None:
                continue
            check = budgets.check_budget(
                service, self._by_service[name], without
            )
            match check:
                case budgets.BudgetViolated():
                    return check
                case budgets.BudgetHolds():
                    least = check
        return least

    def fit_vms(self, candidates: Iterable[str], room: int) -> _Fit:
        """Chooses VMs in order until a budget or the room is exhausted."""
        chosen: tuple[str, ...] = ()
        refusal = ""
        for vm_id in candidates:
            if len(chosen) == room:
                break
            match self.check_without(vm_id, chosen):
                case budgets.BudgetHolds():
                    chosen = (*chosen, vm_id)
                case budgets.BudgetViolated(reason=reason):
                    refusal = reason
        return _Fit(chosen, refusal)


def plan_wave(
    bundle: model.Bundle,
    state: FleetState,
    now: datetime.datetime,
    lead: datetime.timedelta = datetime.timedelta(),
) -> WaveDecision:
    """Decides which VMs to drain now.

    A wave stays within one rack, and no two zones are in maintenance together.
    Unplanned failures count against the same budgets through
    `FleetState.health`, so they shrink or hold a wave.

    Args:
        bundle: The bundle in force.
        state: The fleet as observed.
        now: Date, compared with the dates of the last maintenance.
        lead: How long before the end of the interval a VM is due. VMs that
            joined together come due together, and the last of them must still
            be in time.
    """
    if not bundle.maintenance.enabled:
        return NothingDue()
    busy = [item for item in state.assignments if _is_in_maintenance(item)]
    lost = [item.vm_id for item in busy if item.vm_id in state.overdue]
    if lost and len(lost) == len(busy):
        return WaveHeld(
            f"the whole last wave hasn't come back ({', '.join(lost)}); "
            "bring its VMs back or remove them from the platform's list"
        )
    due = _list_due(bundle, state, now + lead)
    if not due:
        return NothingDue()
    room = bundle.maintenance.wave_size - len(busy)
    if room <= 0:
        return WaveHeld("the wave in progress has its full size")
    return _choose_rack(bundle, state, due, busy, room)


def check_vm_may_leave(
    bundle: model.Bundle, state: FleetState, vm_id: str
) -> budgets.BudgetCheck:
    """Checks whether every budget holds if one more VM leaves service."""
    index = _BudgetIndex(bundle.services, state.health)
    return index.check_without(vm_id, ())


def check_pace(
    bundle: model.Bundle,
    vms: tuple[records.Vm, ...],
    assignments: tuple[vm_records.VmRecord, ...],
    time_per_vm: datetime.timedelta,
) -> PaceCheck:
    """Says whether all VMs can be maintained within the interval.

    Args:
        bundle: The bundle in force.
        vms: The platform's list.
        assignments: Records of all VMs.
        time_per_vm: Time from the drain decision until the VM serves again.
    """
    index = _BudgetIndex(
        bundle.services, _assume_all_available(bundle, vms, assignments)
    )
    total = datetime.timedelta()
    binding = ""
    for rack_vms in _group_by_rack(vms):
        fit = index.fit_vms(rack_vms, bundle.maintenance.wave_size)
        if not fit.chosen:
            return PaceMissed(datetime.timedelta.max, fit.refusal)
        binding = binding or fit.refusal
        total += -(-len(rack_vms) // len(fit.chosen)) * time_per_vm
    if total <= bundle.maintenance.interval:
        return PaceMet(total)
    reason = binding or "maintenance.wave_size is too small"
    return PaceMissed(
        total,
        f"one pass takes {total}, the interval is "
        f"{bundle.maintenance.interval}; what binds: {reason}",
    )


def _is_in_maintenance(record: vm_records.VmRecord) -> bool:
    return record.phase is not vm_records.VmPhase.SERVING


def _list_due(
    bundle: model.Bundle, state: FleetState, now: datetime.datetime
) -> tuple[vm_records.VmRecord, ...]:
    limit = now - bundle.maintenance.interval
    due = (
        item
        for item in state.assignments
        if not _is_in_maintenance(item)
        and item.maintained_at <= limit.timestamp()
    )
    return tuple(sorted(due, key=lambda item: item.maintained_at))


def _choose_rack(
    bundle: model.Bundle,
    state: FleetState,
    due: tuple[vm_records.VmRecord, ...],
    busy: list[vm_records.VmRecord],
    room: int,
) -> WaveDecision:
    listed = {vm.vm_id: vm for vm in state.vms}
    index = _BudgetIndex(bundle.services, state.health)
    busy_vms = [listed[item.vm_id] for item in busy if item.vm_id in listed]
    reason = "no VM that is due is in the platform's list"
    # Grouped once: looking through all due VMs for each rack took 0.27 s at
    # 2,400 due VMs in 600 racks without room.
    racks: dict[tuple[str, str], list[str]] = {}
    for item in due:
        vm = listed.get(item.vm_id)
        if vm is not None:
            racks.setdefault((vm.zone, vm.rack), []).append(vm.vm_id)
    for (zone, rack), rack_due in racks.items():
        if any(other.rack != rack or other.zone != zone for other in busy_vms):
            reason = "another failure domain is in maintenance"
            continue
        fit = index.fit_vms(rack_due, room)
        if fit.chosen:
            return DrainVms(zone, rack, fit.chosen)
        reason = fit.refusal
    return WaveHeld(reason)


def _assume_all_available(
    bundle: model.Bundle,
    vms: tuple[records.Vm, ...],
    assignments: tuple[vm_records.VmRecord, ...],
) -> Iterator[budgets.InstanceHealth]:
    """Yields the instances of a fleet in which nothing has failed."""
    listed = {vm.vm_id: vm for vm in vms}
    services: dict[str, list[str]] = {}
    for service in bundle.services:
        services.setdefault(service.pool, []).append(service.name)
    for record in assignments:
        vm = listed.get(record.vm_id)
        if vm is None:
            continue
        for name in services.get(record.pool, ()):
            yield budgets.InstanceHealth(name, vm.vm_id, vm.zone, vm.rack, True)


def _group_by_rack(
    vms: tuple[records.Vm, ...],
) -> Iterator[tuple[str, ...]]:
    """Yields the VMs of each rack; system VMs take no part in waves."""
    racks: dict[tuple[str, str], list[str]] = {}
    for vm in vms:
        if vm.is_system:
            continue
        racks.setdefault((vm.zone, vm.rack), []).append(vm.vm_id)
    for name in sorted(racks):
        yield tuple(racks[name])
