"""Tests of the VM store: writes by compare-and-set, and refreshes."""

import random
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.control import vm_store
from fireflywell.fleet import vm_records
from fireflywell.standins import table_store


class VmStoreTest(unittest.TestCase):
    """Writes and refreshes VM records through stores that share a table."""

    def setUp(self) -> None:
        """Makes an empty table."""
        self.table = table_store.MemoryTable()

    def make_store(self, seed: int) -> vm_store.VmStore:
        """Returns a store with an empty cache."""
        clock = clock_lib.ManualClock()
        return vm_store.VmStore(self.table, clock, random.Random(seed))

    def test_second_writer_is_refused(self) -> None:
        """Guards against a lost update if two stores write from one version."""
        anyio.run(self.check_race)

    async def check_race(self) -> None:
        """Lets two stores write from the same version."""
        first, second = self.make_store(1), self.make_store(2)
        await first.write(vm_records.VmRecord("vm1", "quotes"))
        await second.refresh()
        await first.write(vm_records.VmRecord("vm1", "bonds"))
        with self.assertRaises(errors.ConflictError):
            await second.write(vm_records.VmRecord("vm1", "claims"))
        await second.refresh()
        found = second.find("vm1")
        assert found is not None
        self.assertEqual(found.pool, "bonds")

    def test_late_page_does_not_undo_an_own_write(self) -> None:
        """Guards against a refresh that undoes the store's own write.

        The page of the refresh was read before the write.
        """
        anyio.run(self.check_outdated_page)

    async def check_outdated_page(self) -> None:
        """Refreshes from a page that was read before the last write."""
        store = self.make_store(1)
        await store.write(vm_records.VmRecord("vm1", "quotes"))
        outdated_page = await self.table.scan(vm_records.VM_PREFIX)
        await store.write(vm_records.VmRecord("vm1", "bonds"))

        class OutdatedTable(table_store.MemoryTable):

            async def scan(self, *_: object, **__: object) -> object:
                return outdated_page

        store._table = OutdatedTable()
        await store.refresh()
        found = store.find("vm1")
        assert found is not None
        self.assertEqual(found.pool, "bonds")
