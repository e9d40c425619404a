"""Maintenance role: plans pools, moves and waves while its lease is held."""

from collections.abc import Callable
import dataclasses
import datetime
import secrets

import anyio
import anyio.abc

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import model
from fireflywell.control import vm_move_runner
from fireflywell.coordination import leases
from fireflywell.fleet import assignment
from fireflywell.fleet import budgets
from fireflywell.fleet import demand
from fireflywell.fleet import moves
from fireflywell.fleet import vm_records
from fireflywell.fleet import waves
from fireflywell.infrastructure import records
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

_ROUND_INTERVAL = datetime.timedelta(seconds=1)
# The platform's list lags, so a VM's record is removed only after the VM has
# been absent from the list for this long.
_VM_EXPIRY = datetime.timedelta(seconds=60)
# Time that the pace check assumes for one VM, at most the return timeout.
_ASSUMED_TIME_PER_VM = datetime.timedelta(minutes=10)


# The pace check takes most of the time of an idle round, and its inputs, the
# bundle and the assignment of VMs to pools, change rarely.
_PACE_INTERVAL = datetime.timedelta(minutes=1)


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedPaceCheck:
    """Result of a pace check, reused until it expires.

    Attributes:
        bundle_version: Version of the bundle that was checked.
        checked_at: Monotonic time of the check.
        pace: The result.
    """

    bundle_version: int
    checked_at: datetime.timedelta
    pace: waves.PaceCheck


class MaintenanceRole:
    """Plans assignments and waves each second; runs a task per moving VM."""

    __slots__ = (
        "_absent_since",
        "_cached_pace",
        "_clock",
        "_context",
        "_demand_tracker",
        "_hold_reason",
        "_holder",
        "_list_demands",
        "_metrics",
        "_running_since",
    )

    def __init__(
        self,
        holder: holder_lib.BundleHolder,
        context: vm_move_runner.VmMoveContext,
        metrics: metrics_lib.Metrics,
        list_demands: Callable[[model.Bundle], tuple[demand.PoolDemand, ...]],
    ) -> None:
        """Creates the role; `run` starts it.

        Args:
            holder: The bundle in force.
            context: Stores and clients that the runners of VM moves use.
            metrics: Receives counters and timers.
            list_demands: Returns the current demand on each pool.
        """
        self._holder = holder
        self._context = context
        self._clock: clock_lib.Clock = context.clock
        self._metrics = metrics
        self._list_demands = list_demands
        self._demand_tracker = demand.DemandTracker()
        self._absent_since: dict[str, datetime.timedelta] = {}
        self._running_since: dict[str, datetime.timedelta] = {}
        self._hold_reason = ""
        self._cached_pace: _CachedPaceCheck | None = None

    async def run(self, lease: leases.Lease) -> None:
        """Runs the role until cancelled.

        Raises:
            LeaseLostError: A write was refused because another process
                holds the role's lease.
        """
        self._running_since.clear()
        async with anyio.create_task_group() as group:
            # Only the lease holder probes, so that the load on the instances
            # doesn't grow with the number of control processes.
            group.start_soon(self._context.prober.run)
            while True:
                try:
                    await self._run_round(lease, group)
                except (
                    errors.PlatformError,
                    errors.ConflictError,
                    errors.OutcomeUnknownError,
                ) as error:
                    logs.log_event("maintenance.round_failed", error=str(error))
                await self._clock.sleep(_ROUND_INTERVAL)

    async def _run_round(
        self, lease: leases.Lease, group: anyio.abc.TaskGroup
    ) -> None:
        bundle = self._holder.current
        if bundle is None:
            return
        await self._context.store.refresh()
        vms = self._context.view.vms
        if not vms:
            return
        self._demand_tracker.observe(
            bundle.pools,
            self._list_demands(bundle),
            self._clock.monotonic(),
        )
        await self._apply_assignments(bundle, vms)
        if not self._context.prober.has_completed_round:
            return
        await self._undo_drains_over_budget(bundle)
        await self._start_wave(bundle)
        for record in self._context.store.records:
            is_moving = record.phase is not vm_records.VmPhase.SERVING
            if is_moving and record.vm_id not in self._running_since:
                self._running_since[record.vm_id] = self._clock.monotonic()
                group.start_soon(self._run_vm, record.vm_id, lease)

    async def _run_vm(self, vm_id: str, lease: leases.Lease) -> None:
        started = self._clock.monotonic()
        try:
            await vm_move_runner.VmMoveRunner(vm_id, self._context, lease).run()
            duration = self._clock.monotonic() - started
            self._metrics.record_duration("maintenance.vm", duration)
        finally:
            self._running_since.pop(vm_id, None)

    async def _undo_drains_over_budget(self, bundle: model.Bundle) -> None:
        """Cancels drains in pools whose availability budget is violated."""
        state = self._build_fleet_state(bundle)
        check = budgets.check_all_budgets(bundle.services, state.health)
        if isinstance(check, budgets.BudgetHolds):
            return
        pools = {
            service.pool
            for service in bundle.services
            if service.name == check.service
        }
        for record in self._context.store.records:
            restored = moves.undo_drain(record)
            if restored is not None and record.pool in pools:
                await self._context.store.write(restored)
                logs.log_event(
                    "wave.drain_undone", vm=record.vm_id, reason=check.reason
                )

    async def _apply_assignments(
        self, bundle: model.Bundle, vms: tuple[records.Vm, ...]
    ) -> None:
        plan = assignment.plan_assignments(
            bundle,
            self._demand_tracker.list_targets(bundle.pools),
            vms,
            self._context.store.records,
            self._find_expired_vms(vms),
        )
        for change in plan:
            match change:
                case assignment.AssignVm(vm_id=vm_id, pool=pool):
                    # A new VM needs no maintenance, so its interval starts now.
                    maintained_at = int(self._clock.now().timestamp())
                    record = vm_records.VmRecord(
                        vm_id, pool, maintained_at=maintained_at
                    )
                    await self._context.store.write(record)
                    self._log_assignment(vm_id, "", pool)
                case assignment.RemoveVm(vm_id=vm_id):
                    await self._context.store.delete(vm_id)
                    self._log_assignment(vm_id, "", "")
                case assignment.MoveVm() as move:
                    await self._start_move(bundle, move)

    async def _start_move(
        self, bundle: model.Bundle, move: assignment.MoveVm
    ) -> None:
        record = self._context.store.find(move.vm_id)
        is_health_unknown = not self._context.prober.has_completed_round
        if record is None or is_health_unknown or self._is_wave_full(bundle):
            return
        state = self._build_fleet_state(bundle)
        match waves.check_vm_may_leave(bundle, state, move.vm_id):
            case budgets.BudgetViolated(reason=reason):
                self._set_hold_reason(f"move of {move.vm_id}: {reason}")
            case budgets.BudgetHolds():
                started = moves.start_move(
                    record, secrets.token_hex(8), move.to_pool
                )
                await self._context.store.write(started)
                self._metrics.count("maintenance.moves")
                self._log_assignment(move.vm_id, move.from_pool, move.to_pool)

    def _is_wave_full(self, bundle: model.Bundle) -> bool:
        moving = sum(
            record.phase is not vm_records.VmPhase.SERVING
            for record in self._context.store.records
        )
        return moving >= bundle.maintenance.wave_size

    async def _start_wave(self, bundle: model.Bundle) -> None:
        state = self._build_fleet_state(bundle)
        decision = waves.plan_wave(
            bundle,
            state,
            self._clock.now(),
            self._compute_wave_lead(bundle, state),
        )
        match decision:
            case waves.NothingDue():
                self._set_hold_reason("")
            case waves.WaveHeld(reason=reason):
                self._set_hold_reason(reason)
            case waves.DrainVms(zone=zone, rack=rack, vm_ids=vm_ids):
                logs.log_event("wave.started", zone=zone, rack=rack, vms=vm_ids)
                for vm_id in vm_ids:
                    record = self._context.store.find(vm_id)
                    if record is None:
                        continue
                    started = moves.start_maintenance(
                        record, secrets.token_hex(8)
                    )
                    await self._context.store.write(started)

    def _compute_wave_lead(
        self, bundle: model.Bundle, state: waves.FleetState
    ) -> datetime.timedelta:
        """Returns how long before the end of their interval VMs are due.

        The pace check that it is computed from is cached for `_PACE_INTERVAL`;
        a change between met and missed is logged.
        """
        now = self._clock.monotonic()
        cached = self._cached_pace
        is_fresh = (
            cached is not None
            and cached.bundle_version == bundle.version
            and now - cached.checked_at < _PACE_INTERVAL
        )
        if cached is None or not is_fresh:
            cached = _CachedPaceCheck(
                bundle.version, now, self._run_pace_check(bundle, state)
            )
            self._cached_pace = cached
        return min(cached.pace.needed, bundle.maintenance.interval / 2)

    def _run_pace_check(
        self, bundle: model.Bundle, state: waves.FleetState
    ) -> waves.PaceCheck:
        pace = waves.check_pace(
            bundle,
            state.vms,
            state.assignments,
            min(_ASSUMED_TIME_PER_VM, bundle.maintenance.return_timeout),
        )
        previous = self._cached_pace
        if previous is None or type(pace) is not type(previous.pace):
            match pace:
                case waves.PaceMissed(constraint=constraint):
                    logs.log_event("wave.pace_missed", reason=constraint)
                case waves.PaceMet(needed=needed):
                    logs.log_event(
                        "wave.pace_met", needed_s=needed.total_seconds()
                    )
        return pace

    def _build_fleet_state(self, bundle: model.Bundle) -> waves.FleetState:
        context = self._context
        health: list[budgets.InstanceHealth] = []
        for record in context.store.records:
            is_serving = record.phase is vm_records.VmPhase.SERVING
            for item in context.list_instances(record):
                is_available = is_serving and context.prober.is_available(
                    item.instance_id
                )
                health.append(
                    budgets.InstanceHealth(
                        item.service,
                        item.vm_id,
                        item.zone,
                        item.rack,
                        is_available,
                    )
                )
        now = self._clock.monotonic()
        timeout = bundle.maintenance.return_timeout
        overdue = frozenset(
            vm_id
            for vm_id, since in self._running_since.items()
            if now - since >= timeout
        )
        return waves.FleetState(
            context.view.vms, context.store.records, tuple(health), overdue
        )

    def _find_expired_vms(self, vms: tuple[records.Vm, ...]) -> frozenset[str]:
        """Returns the recorded VMs absent from the list for `_VM_EXPIRY`."""
        now = self._clock.monotonic()
        listed = {vm.vm_id for vm in vms}
        recorded = {record.vm_id for record in self._context.store.records}
        for vm_id in list(self._absent_since):
            if vm_id in listed or vm_id not in recorded:
                del self._absent_since[vm_id]
        for vm_id in recorded - listed:
            self._absent_since.setdefault(vm_id, now)
        return frozenset(
            vm_id
            for vm_id, since in self._absent_since.items()
            if now - since >= _VM_EXPIRY
        )

    def _set_hold_reason(self, reason: str) -> None:
        if reason and reason != self._hold_reason:
            logs.log_event("wave.held", reason=reason)
        self._hold_reason = reason

    def _log_assignment(self, vm_id: str, old: str, new: str) -> None:
        logs.log_event(
            "placement.vm_assigned", vm=vm_id, from_pool=old, to_pool=new
        )
