"""Simulated VMs, entries and requests for tests of the maintenance role."""

import datetime

import anyio
import anyio.lowlevel

from fireflywell import clock as clock_lib
from fireflywell.bundle import model
from fireflywell.control import instance_prober
from fireflywell.fleet import instances as instances_lib
from fireflywell.fleet import view as view_lib
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records
from fireflywell.membership import links
from fireflywell.membership import messages
from tests import fleet_samples

_TICK = datetime.timedelta(milliseconds=250)


class FakeEntry:
    """An entry that confirms drain notices unless it's frozen."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.is_frozen = False
        self.in_progress: dict[str, int] = {}
        # Requests sent that the endpoint hasn't received yet.
        self.arriving: dict[str, int] = {}
        self.drained: dict[str, str] = {}

    def count_requests(self, vm_id: str) -> int:
        """Returns the count of unfinished requests that were sent to a VM."""
        arrived = self.in_progress.get(vm_id, 0)
        return arrived + self.arriving.get(vm_id, 0)


class World:
    """Simulated fleet behind the interfaces that the maintenance role uses."""

    def __init__(self, bundle: model.Bundle, vm_count: int) -> None:
        self.clock = clock_lib.ManualClock()
        self.bundle = bundle
        self.vms = {vm.vm_id: vm for vm in fleet_samples.make_vms(vm_count)}
        self.rebooting_until: dict[str, datetime.timedelta] = {}
        self.reboot_duration = datetime.timedelta(seconds=3)
        self.entries = [FakeEntry("e1"), FakeEntry("e2")]
        self.cut_off_entries: list[str] = []
        self.reboots: list[str] = []
        self.view = view_lib.FleetView()
        self.handlers: list[links.MessageHandler] = []
        self.has_completed_round = True
        self.down_instances: set[str] = set()

    async def run_for(self, duration: datetime.timedelta) -> None:
        """Advances the clock in small steps and lets all tasks run."""
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            self.view.set_vms(tuple(self.vms.values()))
            self.clock.advance(_TICK)
            for _ in range(25):
                await anyio.lowlevel.checkpoint()

    # The platform's list of VMs, its reboots and its workers.

    async def list_vms(self) -> tuple[records.Vm, ...]:
        """Returns the current list of VMs."""
        return tuple(self.vms.values())

    async def reboot_vm(self, vm_id: str, expected_boot: int) -> None:
        """Reboots a VM and records the entries whose requests it cuts off."""
        vm = self.vms[vm_id]
        if vm.boot != expected_boot:
            return
        self.reboots.append(vm_id)
        self.cut_off_entries.extend(
            entry.incarnation
            for entry in self.entries
            if entry.count_requests(vm_id)
        )
        self.vms[vm_id] = records.Vm(
            vm.vm_id, vm.address, vm.zone, vm.rack, vm.state, vm.boot + 1
        )
        self.rebooting_until[vm_id] = (
            self.clock.monotonic() + self.reboot_duration
        )

    async def list_tasks(self, worker_id: str) -> tuple[records.Task, ...]:
        """Returns no tasks."""
        del worker_id
        return ()

    # Status pages.

    def _is_rebooting(self, vm_id: str) -> bool:
        until = self.rebooting_until.get(vm_id, datetime.timedelta())
        return self.clock.monotonic() < until

    def is_available(self, instance_id: str) -> bool:
        """Whether the instance is up and its VM isn't rebooting."""
        vm_id = instance_id.partition("@")[2]
        return vm_id not in self.down_instances and not self._is_rebooting(
            vm_id
        )

    async def run(self) -> None:
        """Does nothing, since `probe` computes each result on demand."""
        await anyio.sleep_forever()

    async def probe(
        self, instance: instances_lib.Instance
    ) -> instance_prober.ProbeResult | None:
        """Returns the requests in progress on an instance, or None if down."""
        if not self.is_available(instance.instance_id):
            return None
        in_progress = sum(
            entry.in_progress.get(instance.vm_id, 0) for entry in self.entries
        )
        return instance_prober.ProbeResult(in_progress, self.clock.monotonic())

    def list_instances(
        self, record: vm_records.VmRecord
    ) -> tuple[instances_lib.Instance, ...]:
        """Returns the instances on a VM by its record."""
        vms = tuple(self.vms.values())
        return tuple(instances_lib.list_instances(self.bundle, vms, (record,)))

    # Links to the entries.

    def list_peers(self) -> tuple[links.PeerView, ...]:
        """Returns all entries; frozen ones are in state SUSPECT."""
        return tuple(self._make_peer_view(entry) for entry in self.entries)

    def subscribe(self, handler: links.MessageHandler) -> None:
        """Registers a handler for the messages of the entries."""
        self.handlers.append(handler)

    def broadcast(self, message: messages.Message) -> None:
        """Delivers a drain notice; each entry that isn't frozen confirms it."""
        if not isinstance(message, messages.DrainNotice):
            return
        for entry in self.entries:
            if entry.is_frozen:
                continue
            entry.drained[message.vm_id] = message.move_id
            confirm = messages.DrainConfirm(
                message.vm_id,
                message.move_id,
                entry.incarnation,
                entry.count_requests(message.vm_id),
            )
            for handler in self.handlers:
                handler(self._make_peer_view(entry), confirm)

    def _make_peer_view(self, entry: FakeEntry) -> links.PeerView:
        state = (
            links.PeerState.SUSPECT
            if entry.is_frozen
            else links.PeerState.ALIVE
        )
        return links.PeerView(
            entry.incarnation,
            "a",
            messages.Role.ENTRY,
            entry.incarnation,
            state,
            True,
            False,
            1,
            (),
        )
