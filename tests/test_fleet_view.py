"""Drains in the fleet view, from notices of peers and from rows."""

import random
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell.fleet import view as view_lib
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records
from fireflywell.standins import table_store
from tests import control_world
from tests import fleet_samples


class DrainMarkTest(unittest.TestCase):
    """Marks set by drain notices, until the rows of the store are read."""

    def test_older_row_does_not_undo_a_drain(self) -> None:
        """Fails if a row read before the drain lets an entry send to the VM."""
        view = view_lib.FleetView()
        view.mark_draining("vm1", "m1")
        view.set_assignment(vm_records.VmRecord("vm1", "quotes"))
        self.assertTrue(view.is_vm_leaving("vm1"))

    def test_row_of_the_drain_replaces_the_mark(self) -> None:
        """Fails if a VM stays marked after its maintenance."""
        view = view_lib.FleetView()
        view.mark_draining("vm1", "m1")
        record = vm_records.VmRecord(
            "vm1", "quotes", vm_records.VmPhase.DRAINING, "m1"
        )
        view.set_assignment(record)
        self.assertTrue(view.is_vm_leaving("vm1"))
        view.set_assignment(vm_records.VmRecord("vm1", "quotes"))
        self.assertFalse(view.is_vm_leaving("vm1"))

    def test_late_notice_of_an_ended_drain_expires(self) -> None:
        """Fails if a late notice keeps a serving VM out of service."""
        anyio.run(self.check_late_notice)

    async def check_late_notice(self) -> None:
        """Applies a notice whose move is no longer in the store."""
        bundle = fleet_samples.make_bundle((), fleet_samples.NO_BUDGET)
        world = control_world.World(bundle, 1)
        table = table_store.MemoryTable()
        text = vm_records.encode_vm_record(
            vm_records.VmRecord("vm00", "quotes")
        )
        write = records.Write("vm/vm00", text)
        await table.transact(records.Transaction("w", (), (write,)))
        view = view_lib.FleetView()
        watcher = view_lib.FleetWatcher(
            view, table, world, clock_lib.ManualClock(), random.Random(1)
        )
        await watcher.refresh()
        view.mark_draining("vm00", "ended")
        await watcher.refresh()
        self.assertTrue(view.is_vm_leaving("vm00"))
        for _ in range(view_lib.DRAIN_MARK_REFRESHES):
            await watcher.refresh()
        self.assertFalse(view.is_vm_leaving("vm00"))

    def test_deleted_row_removes_the_assignment(self) -> None:
        """Fails if a removed VM still counts as a member of its pool."""
        anyio.run(self.check_deleted)

    async def check_deleted(self) -> None:
        """Deletes a row between two reads."""
        world = control_world.World(
            fleet_samples.make_bundle((), fleet_samples.NO_BUDGET), 1
        )
        table = table_store.MemoryTable()
        text = vm_records.encode_vm_record(
            vm_records.VmRecord("vm00", "quotes")
        )
        view = view_lib.FleetView()
        watcher = view_lib.FleetWatcher(
            view, table, world, clock_lib.ManualClock(), random.Random(1)
        )
        for value in (text, None):
            write = records.Write("vm/vm00", value)
            await table.transact(records.Transaction("w", (), (write,)))
            await watcher.refresh()
        self.assertEqual(view.assignments, ())
