"""Runs one VM's move or maintenance from drain to return to service."""

from collections.abc import Callable
import dataclasses
import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.control import drain_tracker
from fireflywell.control import home_rows
from fireflywell.control import instance_prober
from fireflywell.control import vm_store
from fireflywell.coordination import leases
from fireflywell.fleet import instances as instances_lib
from fireflywell.fleet import moves
from fireflywell.fleet import view as view_lib
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import machines
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables
from fireflywell.telemetry import logs

_POLL_INTERVAL = datetime.timedelta(milliseconds=500)
_REBOOT_PAUSE = datetime.timedelta(seconds=5)
_ENDED_STATES = frozenset(
    (
        records.TaskState.SUCCEEDED,
        records.TaskState.FAILED,
        records.TaskState.STOPPED,
        records.TaskState.CHECKPOINTED,
        records.TaskState.LAPSED,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class VmMoveContext:
    """Stores, clients and trackers that a VM move uses.

    Attributes:
        store: Records of all VMs, written under the lease.
        table: Table service, for reading home records.
        view: The platform's list of VMs as last read.
        vm_list: Reboots VMs.
        workers: Lists the tasks on a VM's worker.
        prober: Reads the status pages of instances.
        tracker: Sends drain notices and records their confirmations.
        list_instances: Returns the instances on a VM, given its record.
        clock: Clock of this process.
    """

    store: vm_store.VmStore
    table: tables.Table
    view: view_lib.FleetView
    vm_list: machines.VmList
    workers: machines.Workers
    prober: instance_prober.StatusProber
    tracker: drain_tracker.DrainTracker
    list_instances: Callable[
        [vm_records.VmRecord], tuple[instances_lib.Instance, ...]
    ]
    clock: clock_lib.Clock


class VmMoveRunner:
    """Runs the steps of one VM's move or maintenance.

    The VM's record holds the progress, so that any later holder of the role
    can resume.
    """

    __slots__ = (
        "_context",
        "_last_reason",
        "_lease",
        "_vm_id",
        "_waiting_since",
    )

    def __init__(
        self, vm_id: str, context: VmMoveContext, lease: leases.Lease
    ) -> None:
        self._vm_id = vm_id
        self._context = context
        self._lease = lease
        self._last_reason = ""
        self._waiting_since = context.clock.monotonic()

    async def run(self) -> None:
        """Applies steps until the VM serves again or its record is deleted.

        Raises:
            LeaseLostError: Another process holds the role's lease.
        """
        while True:
            record = self._context.store.find(self._vm_id)
            if record is None:
                return
            instances = self._context.list_instances(record)
            try:
                step = await self._decide_next_step(record, instances)
                if isinstance(step, moves.Finished):
                    self._context.tracker.discard_confirmations(self._vm_id)
                    return
                pause = await self._apply_step(record, step)
            except (errors.PlatformError, errors.OutcomeUnknownError,
                    errors.ConflictError) as error:  # fmt: skip
                self._log_waiting(record, str(error))
                pause = _POLL_INTERVAL
            await self._context.clock.sleep(pause)

    async def _decide_next_step(
        self,
        record: vm_records.VmRecord,
        instances: tuple[instances_lib.Instance, ...],
    ) -> moves.Step:
        context = self._context
        drain = moves.DrainStatus((), None, None)
        match record.phase:
            case vm_records.VmPhase.DRAINING | vm_records.VmPhase.EMPTY:
                context.tracker.broadcast_drain(record, self._lease.token)
                drain = await self._read_drain_status(record, instances)
            case _:
                pass
        observation = await self._observe_vm(instances)
        return moves.decide_next_step(
            record, drain, observation, context.clock.now()
        )

    async def _read_drain_status(
        self,
        record: vm_records.VmRecord,
        instances: tuple[instances_lib.Instance, ...],
    ) -> moves.DrainStatus:
        """Returns which confirmations, requests and tasks the drain waits for.

        The endpoints are asked only after every entry has confirmed that it
        sends no new requests: a count read earlier could miss a request that is
        sent after it.
        """
        context = self._context
        home_incarnations = await home_rows.read_home_incarnations(
            context.table, instances
        )
        unconfirmed = context.tracker.list_unconfirmed(
            record, home_incarnations
        )
        if unconfirmed:
            return moves.DrainStatus(unconfirmed, None, None)
        in_progress: int | None = 0
        for instance in instances:
            result = await context.prober.probe(instance)
            if result is None or in_progress is None:
                in_progress = None
            else:
                in_progress += result.in_progress
        tasks = await context.workers.list_tasks(self._vm_id)
        running = sum(task.state not in _ENDED_STATES for task in tasks)
        return moves.DrainStatus((), in_progress, running)

    async def _observe_vm(
        self, instances: tuple[instances_lib.Instance, ...]
    ) -> moves.VmObservation:
        context = self._context
        listed = {vm.vm_id: vm for vm in context.view.vms}
        vm = listed.get(self._vm_id)
        if vm is None:
            return moves.VmObservation(False, 0, False)
        results = [await context.prober.probe(item) for item in instances]
        is_healthy = all(result is not None for result in results)
        return moves.VmObservation(True, vm.boot, is_healthy)

    async def _apply_step(
        self, record: vm_records.VmRecord, step: moves.Step
    ) -> datetime.timedelta:
        """Applies a step and returns the pause before the next one."""
        match step:
            case moves.WriteRecord(record=new):
                await self._context.store.write(new)
                self._log_step(record, new)
                return datetime.timedelta()
            case moves.RequestReboot(vm_id=vm_id):
                logs.log_event("vm.reboot_requested", vm=vm_id)
                # The expected boot count makes a repeated or late call a no-op;
                # without it, the call could reboot a VM that serves again.
                await self._context.vm_list.reboot_vm(vm_id, record.boot)
                return _REBOOT_PAUSE
            case moves.WaitFor(reason=reason):
                self._log_waiting(record, reason)
                return _POLL_INTERVAL
            case moves.Finished():
                return datetime.timedelta()

    def _log_step(
        self, old: vm_records.VmRecord, new: vm_records.VmRecord
    ) -> None:
        self._last_reason = ""
        logs.log_event(
            "vm.step",
            vm=new.vm_id,
            move=old.move_id,
            pool=new.pool,
            phase=new.phase.value,
            token=self._lease.token,
        )

    def _log_waiting(self, record: vm_records.VmRecord, reason: str) -> None:
        if reason == self._last_reason:
            return
        self._last_reason = reason
        logs.log_event(
            "vm.waiting",
            vm=record.vm_id,
            move=record.move_id,
            phase=record.phase.value,
            reason=reason,
        )
