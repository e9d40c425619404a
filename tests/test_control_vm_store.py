"""VM records are written by compare-and-set."""

import random
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.control import vm_store
from fireflywell.fleet import vm_records
from fireflywell.standins import table_store


class VmStoreTest(unittest.TestCase):
    """Two stores on one table."""

    def setUp(self) -> None:
        """Makes an empty table."""
        self.table = table_store.MemoryTable()

    def make_store(self, seed: int) -> vm_store.VmStore:
        """Returns a store with an empty copy."""
        clock = clock_lib.ManualClock()
        return vm_store.VmStore(self.table, clock, random.Random(seed))

    def test_second_writer_is_refused(self) -> None:
        """Fails if one of two racing writers loses its update unnoticed."""
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
        """Fails if a page read before a write replaces what was written."""
        anyio.run(self.check_late_page)

    async def check_late_page(self) -> None:
        """Serves a page from before the last write."""
        store = self.make_store(1)
        await store.write(vm_records.VmRecord("vm1", "quotes"))
        late = await self.table.scan(vm_records.VM_PREFIX)
        await store.write(vm_records.VmRecord("vm1", "bonds"))

        class LateTable(table_store.MemoryTable):

            async def scan(self, *_: object, **__: object) -> object:
                return late

        store._table = LateTable()
        await store.refresh()
        found = store.find("vm1")
        assert found is not None
        self.assertEqual(found.pool, "bonds")
