"""Orders for VMs whose permission or picture of the VM has run out."""

import datetime
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell.node import fleet_cache
from fireflywell.node import fleet_tenure
from fireflywell.node import ownership
from fireflywell.node import vm_inventory
from fireflywell.node import vm_orders
from fireflywell.scheduling import maintenance
from fireflywell.scheduling import model
from fireflywell.standins import row_store as store_standin
from tests import node_world

_UP = maintenance.VmState.UP


class _Guard:
    """Stands in for the guard of an owner."""

    def __init__(self) -> None:
        self.permits_orders = True

    async def verify(self) -> bool:
        """Finds that the owner hasn't been replaced."""
        return True


class _WaitingFleet(node_world.FakeFleet):
    """Answers lists and orders only once the test lets it."""

    def __init__(self) -> None:
        super().__init__()
        self.may_answer = anyio.Event()
        self.vms["m-1"] = maintenance.Vm(
            "m-1", "desk", _UP, "a", (), model.ResourceAmounts(1, 1), ""
        )

    async def list_vms(self) -> tuple[maintenance.Vm, ...]:
        """Returns the VMs as they are at the call, some time later."""
        vms = await super().list_vms()
        await self.may_answer.wait()
        return vms

    async def begin_maintenance(
        self, vm_id: str, wave: int, token: int
    ) -> maintenance.VmRefusal | None:
        """Records the order at the call and answers some time later."""
        refusal = await super().begin_maintenance(vm_id, wave, token)
        await self.may_answer.wait()
        return refusal


class PermitTest(unittest.TestCase):
    """One VM, its orders and its list."""

    def setUp(self) -> None:
        """Creates the parts that a controller of the fleet uses."""
        self.clock = clock_lib.ManualClock()
        self.guard = _Guard()
        self.fleet = _WaitingFleet()
        self.orders = vm_orders.VmOrders(
            self.fleet,
            self.guard,  # type: ignore[arg-type]
            1,
            self.clock,
        )
        self.inventory = vm_inventory.VmInventory(
            self.fleet, self.orders, self.clock
        )

    def test_no_order_after_the_lease_has_lapsed(self) -> None:
        """Fails if an order is sent on a permission that ran out meanwhile.

        The process may have been paused since the lease was checked.
        """
        self.fleet.may_answer.set()
        self.assertTrue(self.orders.may_send("m-1"))
        self.guard.permits_orders = False
        outcome = anyio.run(self.orders.begin_maintenance, "m-1", 1)
        self.assertIs(outcome, vm_orders.OrderOutcome.POSTPONED)
        self.assertEqual(self.fleet.orders, [])

    def test_no_order_long_after_the_check_of_the_tenure(self) -> None:
        """Fails if an order goes out when another node may own the fleet.

        Orders wait for each other beyond a number, and each may take two
        seconds, so the last of a wave would rest on an old check.
        """
        sent: list[str] = []

        async def order(vm_id: str) -> None:
            sent.append(vm_id)
            self.clock.advance(datetime.timedelta(milliseconds=400))

        async def run() -> None:
            store = store_standin.MemoryRowStore(self.clock)
            tenure = ownership.Tenure("~fleet", 1, 0, is_first=True)
            fleet = fleet_tenure.FleetTenure(
                tenure,
                store,
                self.fleet,
                fleet_cache.FleetCache(),
                self.guard,  # type: ignore[arg-type]
                self.clock,
                lambda: None,
            )
            await fleet.verify()
            await fleet.order_each([f"m-{n}" for n in range(9)], order)

        anyio.run(run)
        self.assertEqual(sent, ["m-0", "m-1", "m-2"])

    def test_moves_and_waves_send_one_order_at_a_time(self) -> None:
        """Fails if two tasks order a VM while one waits for an answer."""

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(self.orders.begin_maintenance, "m-1", 1)
                await anyio.wait_all_tasks_blocked()
                # Long enough for the repeat of an order.
                self.clock.advance(datetime.timedelta(seconds=1))
                outcome = await self.orders.move("m-1", "other")
                self.assertIs(outcome, vm_orders.OrderOutcome.POSTPONED)
                self.fleet.may_answer.set()

        anyio.run(run)
        self.assertEqual(len(self.fleet.orders), 1)

    def test_list_from_before_an_order_frees_no_place(self) -> None:
        """Fails if more VMs are down than a wave allows.

        The list was requested before the order and answered after it, so it
        shows the VM as up that has just been taken down.
        """

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(self.inventory.refresh)
                await anyio.wait_all_tasks_blocked()
                self.inventory.record_taken_down("m-1")
                self.fleet.may_answer.set()
            self.assertTrue(self.inventory.is_taken_down("m-1"))
            self.clock.advance(datetime.timedelta(seconds=3))
            await self.inventory.refresh()
            self.assertFalse(self.inventory.is_taken_down("m-1"))

        anyio.run(run)

    def test_list_from_before_a_denial_brings_no_vm_back(self) -> None:
        """Fails if a VM that has left is in use again by an old list."""

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(self.inventory.refresh)
                await anyio.wait_all_tasks_blocked()
                self.clock.advance(datetime.timedelta(milliseconds=50))
                self.inventory.record_removed("m-1")
                self.fleet.may_answer.set()
            self.assertTrue(self.inventory.is_removed("m-1"))
            self.assertIsNone(self.inventory.find("m-1"))

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
