"""State machine of a VM's move or maintenance; each step is stored first."""

import dataclasses
import datetime

from fireflywell.fleet import vm_records


@dataclasses.dataclass(frozen=True, slots=True)
class DrainStatus:
    """Work that may still reach a VM or run on it.

    Attributes:
        unconfirmed: Incarnations of entries that haven't confirmed that they
            send no new work to the VM and have none in progress on it.
        endpoint_in_progress: Requests in progress that the status pages of the
            VM's instances report; None if one of them doesn't answer.
        running_tasks: Tasks that run on the VM's worker; None if unknown.
    """

    unconfirmed: tuple[str, ...]
    endpoint_in_progress: int | None
    running_tasks: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class VmObservation:
    """Observed state of a VM, from the platform and from its instances.

    Attributes:
        is_listed: Whether the platform lists the VM as live.
        boot: Boot count in the platform's list; 0 if not listed.
        is_healthy: Whether the status pages of its instances answer.
    """

    is_listed: bool
    boot: int
    is_healthy: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Store this record, then decide the next step."""

    record: vm_records.VmRecord


@dataclasses.dataclass(frozen=True, slots=True)
class RequestReboot:
    """Ask the platform to reboot the VM, then wait for a higher boot count."""

    vm_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class WaitFor:
    """The next step has to wait for a condition.

    Attributes:
        reason: What it waits for, as shown to operators.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The move or maintenance is complete."""


Step = WriteRecord | RequestReboot | WaitFor | Finished


def start_maintenance(
    record: vm_records.VmRecord, move_id: str
) -> vm_records.VmRecord:
    """Returns the record that begins the maintenance of a serving VM."""
    return dataclasses.replace(
        record,
        phase=vm_records.VmPhase.DRAINING,
        move_id=move_id,
        target_pool="",
        boot=0,
    )


def start_move(
    record: vm_records.VmRecord, move_id: str, target_pool: str
) -> vm_records.VmRecord:
    """Returns the record that begins the move of a serving VM."""
    return dataclasses.replace(
        record,
        phase=vm_records.VmPhase.DRAINING,
        move_id=move_id,
        target_pool=target_pool,
        boot=0,
    )


def undo_drain(record: vm_records.VmRecord) -> vm_records.VmRecord | None:
    """Returns the record that cancels a drain, or None if it's too late.

    A drain can be cancelled until the VM is empty: up to then the only effect
    is that the VM receives no new work.
    """
    if record.phase is not vm_records.VmPhase.DRAINING:
        return None
    return dataclasses.replace(
        record,
        phase=vm_records.VmPhase.SERVING,
        move_id="",
        target_pool="",
        boot=0,
    )


def decide_next_step(
    record: vm_records.VmRecord,
    drain: DrainStatus,
    vm: VmObservation,
    now: datetime.datetime,
) -> Step:
    """Returns the next step of a VM's move or maintenance.

    The decision depends only on the stored record and on observations, so that
    any process can resume after a crash between two steps.

    Args:
        record: The VM's record as last read.
        drain: Work that may still reach or run on the VM.
        vm: Observed state of the VM.
        now: Current time, stored as the time of the maintenance when it ends.
    """
    match record.phase:
        case vm_records.VmPhase.SERVING:
            return Finished()
        case vm_records.VmPhase.DRAINING:
            return _decide_draining(record, drain)
        case vm_records.VmPhase.EMPTY:
            return _decide_empty(record, drain, vm)
        case vm_records.VmPhase.REBOOTING:
            return _decide_rebooting(record, vm, now)
        case vm_records.VmPhase.JOINED:
            return _decide_joined(record, vm)


def explain_not_drained(drain: DrainStatus) -> str:
    """Returns why a VM isn't drained yet; empty if it is drained."""
    if drain.unconfirmed:
        names = ", ".join(name[:8] for name in drain.unconfirmed)
        return f"entries {names} haven't confirmed the drain"
    if drain.endpoint_in_progress is None:
        return "a status page on the VM doesn't answer"
    if drain.endpoint_in_progress:
        return f"{drain.endpoint_in_progress} requests are in progress"
    if drain.running_tasks is None:
        return "the tasks of the VM's worker are unknown"
    if drain.running_tasks:
        return f"{drain.running_tasks} tasks run on the VM's worker"
    return ""


def _decide_draining(record: vm_records.VmRecord, drain: DrainStatus) -> Step:
    reason = explain_not_drained(drain)
    if reason:
        return WaitFor(reason)
    empty = dataclasses.replace(record, phase=vm_records.VmPhase.EMPTY)
    return WriteRecord(empty)


def _decide_empty(
    record: vm_records.VmRecord, drain: DrainStatus, vm: VmObservation
) -> Step:
    if record.target_pool:
        # No other write changes a VM's pool.
        return WriteRecord(
            dataclasses.replace(
                record,
                phase=vm_records.VmPhase.JOINED,
                pool=record.target_pool,
                target_pool="",
            )
        )
    if not vm.is_listed:
        return WaitFor("the platform doesn't list the VM")
    # Checks again: an entry that resumed with a stale view may have sent work
    # since the VM was marked as empty.
    reason = explain_not_drained(drain)
    if reason:
        return WaitFor(reason)
    return WriteRecord(
        dataclasses.replace(
            record, phase=vm_records.VmPhase.REBOOTING, boot=vm.boot
        )
    )


def _decide_rebooting(
    record: vm_records.VmRecord, vm: VmObservation, now: datetime.datetime
) -> Step:
    if not vm.is_listed:
        return WaitFor("the platform doesn't list the VM")
    if vm.boot <= record.boot:
        return RequestReboot(record.vm_id)
    if not vm.is_healthy:
        return WaitFor("the VM rebooted and its instances don't answer yet")
    return WriteRecord(
        dataclasses.replace(
            record,
            phase=vm_records.VmPhase.SERVING,
            move_id="",
            boot=0,
            maintained_at=int(now.timestamp()),
        )
    )


def _decide_joined(record: vm_records.VmRecord, vm: VmObservation) -> Step:
    if not (vm.is_listed and vm.is_healthy):
        return WaitFor("the VM's instances in the new pool don't answer yet")
    return WriteRecord(
        dataclasses.replace(
            record, phase=vm_records.VmPhase.SERVING, move_id="", boot=0
        )
    )
