"""This process's copy of the fleet's state, and the task that refreshes it."""

import dataclasses
import datetime
import random

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.bundle import holder as holder_lib
from fireflywell.fleet import instances as instances_lib
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import machines
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables
from fireflywell.telemetry import logs

_POLL_INTERVAL = datetime.timedelta(seconds=1)


# After this many reads of the store, one per second, a drain that a peer
# announced but that is in no row counts as ended. Peers repeat the notice each
# second during the drain, and its row is written before the first notice.
DRAIN_MARK_REFRESHES = 30


@dataclasses.dataclass(frozen=True, slots=True)
class _DrainMark:
    """A drain that a peer announced and whose row hasn't been read yet."""

    move_id: str
    refreshes_left: int


class FleetView:
    """VMs, their records and instances, as last read from the platform."""

    __slots__ = (
        "_assignments",
        "_changed",
        "_drain_marks",
        "_is_loaded",
        "_version",
        "_vms",
    )

    def __init__(self) -> None:
        self._vms: tuple[records.Vm, ...] = ()
        self._assignments: dict[str, vm_records.VmRecord] = {}
        self._drain_marks: dict[str, _DrainMark] = {}
        self._changed = anyio.Event()
        self._version = 0
        self._is_loaded = False

    @property
    def has_been_read(self) -> bool:
        """Whether the rows and the VM list have been read at least once."""
        return self._is_loaded

    @property
    def version(self) -> int:
        """Number of changes so far; derived data is valid for one version."""
        return self._version

    @property
    def vms(self) -> tuple[records.Vm, ...]:
        """The platform's list as last read."""
        return self._vms

    @property
    def assignments(self) -> tuple[vm_records.VmRecord, ...]:
        """Records of all VMs as last read."""
        return tuple(self._assignments.values())

    def set_vms(self, vms: tuple[records.Vm, ...]) -> None:
        """Replaces the VM list and signals a change if it differs."""
        if vms != self._vms:
            self._vms = vms
            self._signal()

    def set_assignment(self, record: vm_records.VmRecord) -> None:
        """Replaces one VM's record with the one read from the store."""
        if self._assignments.get(record.vm_id) == record:
            return
        self._assignments[record.vm_id] = record
        mark = self._drain_marks.get(record.vm_id)
        # Only the row of the same drain replaces the mark: any other row may
        # have been read before the drain was written.
        if mark is not None and mark.move_id == record.move_id:
            del self._drain_marks[record.vm_id]
        self._signal()

    def remove_assignment(self, vm_id: str) -> None:
        """Removes the record of a VM whose row was deleted."""
        if self._assignments.pop(vm_id, None) is not None:
            self._signal()

    def mark_draining(self, vm_id: str, move_id: str) -> None:
        """Marks a VM as draining by a peer's notice until its row is read."""
        record = self._assignments.get(vm_id)
        if record is not None and record.move_id == move_id:
            return
        mark = self._drain_marks.get(vm_id)
        self._drain_marks[vm_id] = _DrainMark(move_id, DRAIN_MARK_REFRESHES)
        if mark is None or mark.move_id != move_id:
            self._signal()

    def mark_loaded(self) -> None:
        """Marks the view as loaded after the first complete read."""
        self._is_loaded = True

    def expire_drain_marks(self) -> None:
        """Counts one read of the store and removes marks that have expired."""
        for vm_id, mark in list(self._drain_marks.items()):
            if mark.refreshes_left > 1:
                self._drain_marks[vm_id] = _DrainMark(
                    mark.move_id, mark.refreshes_left - 1
                )
                continue
            del self._drain_marks[vm_id]
            self._signal()

    def is_vm_leaving(self, vm_id: str) -> bool:
        """Returns whether the VM is draining, in maintenance or in a move."""
        if vm_id in self._drain_marks:
            return True
        record = self._assignments.get(vm_id)
        return (
            record is not None
            and record.phase is not vm_records.VmPhase.SERVING
        )

    def list_instances(
        self, holder: holder_lib.BundleHolder
    ) -> tuple[instances_lib.Instance, ...]:
        """Returns the instances of all services of the bundle in force."""
        if holder.current is None:
            return ()
        return tuple(
            instances_lib.list_instances(
                holder.current, self._vms, self.assignments
            )
        )

    async def wait_for_change(self) -> None:
        """Waits until the VM list, a record or a drain mark changes."""
        await self._changed.wait()

    def _signal(self) -> None:
        self._version += 1
        self._changed.set()
        self._changed = anyio.Event()


class FleetWatcher:
    """Updates a view with the VM list and changed records once a second."""

    __slots__ = (
        "_clock",
        "_random",
        "_revision",
        "_table",
        "_view",
        "_vm_list",
    )

    def __init__(
        self,
        view: FleetView,
        table: tables.Table,
        vm_list: machines.VmList,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._table = table
        self._vm_list = vm_list
        self._clock = clock
        self._random = rng
        self._revision = 0

    async def run(self) -> None:
        """Polls until cancelled; the view stays unchanged during an outage."""
        while True:
            try:
                await self.refresh()
            except errors.PlatformError as error:
                logs.log_event("fleet.poll_failed", error=str(error))
            jitter = self._random.uniform(0.8, 1.2)
            await self._clock.sleep(_POLL_INTERVAL * jitter)

    async def refresh(self) -> None:
        """Reads the VM list and the rows that changed since the last read.

        Raises:
            PlatformError: The platform can't be reached.
        """
        page = await tables.scan_all_rows(
            self._table, vm_records.VM_PREFIX, self._revision
        )
        # A slow or replayed read must not overwrite the result of a later one.
        if page.revision >= self._revision:
            for row in page.rows:
                record = vm_records.decode_vm_record(row.value)
                self._view.set_assignment(record)
            for key in page.deleted:
                name = key.removeprefix(vm_records.VM_PREFIX)
                self._view.remove_assignment(name)
            self._revision = page.revision
            self._view.expire_drain_marks()
        self._view.set_vms(await self._vm_list.list_vms())
        self._view.mark_loaded()
