"""Marks that a VM is drained, which orders rely on."""

import datetime
import unittest
from unittest import mock

import anyio
import msgpack

from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import drain_marks
from fireflywell.node import fleet_cache
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.scheduling import maintenance
from fireflywell.scheduling import model
from fireflywell.standins import row_store as store_standin
from tests import node_world
from tests import test_node_fleet_orders as fleet_orders

_READY = maintenance.DrainPhase.READY


class OrderCheckTest(unittest.TestCase):
    """Orders for a VM with a worker, which is marked as drained."""

    def setUp(self) -> None:
        """Requests the maintenance of one VM and marks it as drained."""
        self.world = fleet_orders.World()
        self.world.fleet.add_vm("m-1", instance_id="w1")
        self.world.load_waves((1, "m-1"))
        self.world.add_request("m-1", 1, "ready")

    def test_mark_of_the_present_owner_is_used(self) -> None:
        """Fails if the maintenance of a drained VM never begins."""
        anyio.run(self.world.run, 3)
        self.assertEqual(self.world.ordered[0], ("m-1", "wave 1"))

    def test_mark_of_a_former_owner_is_not_used(self) -> None:
        """Fails if a VM is maintained on which a new owner runs units.

        The request stays marked, so that the VM gets no units before the new
        owner has marked it again, even if an earlier order is carried out.
        """
        self.world.replace_owner("desk")
        anyio.run(self.world.run, 3)
        self.assertEqual(self.world.ordered, [])
        self.assertIs(self.world.find_phase("m-1"), _READY)
        self.world.mark_ready("m-1")
        anyio.run(self.world.run, 3)
        self.assertEqual(self.world.ordered[0], ("m-1", "wave 1"))

    def test_mark_of_a_former_owner_moves_nothing(self) -> None:
        """Fails if a VM is moved on which a new owner runs units."""
        self.world.load_waves()
        self.world.set_spare_pool_vms("m-1")
        self.world.add_request("m-1", 0, "ready", "spares")
        self.world.replace_owner("desk")
        anyio.run(self.world.run, 3)
        self.assertEqual(self.world.ordered, [])
        self.world.add_request("m-1", 0, "ready", "spares")
        anyio.run(self.world.run, 3)
        self.assertEqual(self.world.ordered, [("m-1", "spares")])

    def test_mark_of_another_service_is_not_used(self) -> None:
        """Fails if the mark of a pool that the VM has left is relied on."""
        self.world.fleet.add_vm("m-1", pool="shop", instance_id="w1")
        anyio.run(self.world.run, 3)
        self.assertEqual(self.world.ordered, [])

    def test_no_order_without_an_answer_to_the_check(self) -> None:
        """Fails if a mark counts although its owner may be replaced."""
        check = tables.locate_check("desk")
        transact = store_standin.MemoryRowStore.transact

        async def lose_checks(
            store: store_standin.MemoryRowStore,
            transaction: row_store.Transaction,
            timeout: datetime.timedelta | None = None,
        ) -> row_store.Committed | row_store.Conflict:
            if any(put.row_key == check for put in transaction.puts):
                raise errors.AnswerLostError("no answer")
            return await transact(store, transaction, timeout)

        with mock.patch.object(
            store_standin.MemoryRowStore, "transact", lose_checks
        ):
            anyio.run(self.world.run, 3)
        self.assertEqual(self.world.ordered, [])
        anyio.run(self.world.run, 3)
        self.assertEqual(self.world.ordered[0], ("m-1", "wave 1"))


class OwnerMarkTest(unittest.TestCase):
    """Marks of an owner."""

    def test_new_owner_marks_a_drained_vm_again(self) -> None:
        """Fails if a VM stays drained for ever after a takeover.

        No order relies on the mark of the former owner.
        """

        async def run() -> None:
            world = node_world.NodeWorld("w1")
            world.fleet.vms["m-w1"] = maintenance.Vm(
                "m-w1",
                node_world.SERVICE,
                maintenance.VmState.UP,
                "a",
                (),
                model.ResourceAmounts(1, 1),
                "w1",
            )
            request = maintenance.DrainRequest("m-w1", 0, _READY, 0.0, 1, "x")
            row_key = fleet_cache.locate_drain_request(
                ownership.FLEET_SERVICE, "m-w1"
            )
            world.store.put(row_key, fleet_cache.encode_drain_request(request))
            async with anyio.create_task_group() as group:
                node = world.make_node("node-a")
                group.start_soon(node.run, anyio.Event())
                with anyio.fail_after(6):
                    while (row := world.store.get(row_key)) is None or (
                        node_world.SERVICE.encode() not in row.value
                    ):
                        await anyio.sleep(0.02)
                group.cancel_scope.cancel()
            self.assertEqual(msgpack.unpackb(row.value)[1], str(_READY))

        anyio.run(run)

    def test_mark_of_a_later_tenure_is_kept(self) -> None:
        """Fails if an owner that was replaced undoes its successor's mark."""
        request = maintenance.DrainRequest(
            "m-1", 1, maintenance.DrainPhase.DUE, 1e9, 1
        )
        former = ownership.Tenure("desk", 1, 5, is_first=True)
        present = ownership.Tenure("desk", 2, 9, is_first=False)
        marked = drain_marks.mark_drained(request, present)
        self.assertTrue(drain_marks.needs_mark(request, present))
        self.assertFalse(drain_marks.needs_mark(marked, former))
        self.assertFalse(drain_marks.needs_mark(marked, present))
        marked = drain_marks.mark_drained(request, former)
        self.assertTrue(drain_marks.needs_mark(marked, present))

    def test_rows_without_a_tenure_are_read(self) -> None:
        """Fails if requests that earlier versions stored are unreadable."""
        cache = fleet_cache.FleetCache()
        row_key = fleet_cache.locate_drain_request("", "m-1")
        for version, fields in enumerate(
            ([1, "ready", 9.0, 1, ""], [1, "ready", 9.0, 1, "", "desk", 7]), 1
        ):
            cache.apply_rows(
                (row_store.Row(row_key, msgpack.packb(fields), version),)
            )
            request = maintenance.DrainRequest("m-1", 1, _READY, 9.0, 1)
            tenure = ownership.Tenure("desk", 1, 7, is_first=True)
            if version == 2:
                request = drain_marks.mark_drained(request, tenure)
            self.assertEqual(cache.find("m-1"), request)


if __name__ == "__main__":
    unittest.main()
