"""Drain requests whose maintenance or move is refused or withdrawn."""

import unittest

import anyio
import anyio.lowlevel

from fireflywell.coordination import row_store
from fireflywell.node import fleet_cache
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.scheduling import maintenance
from fireflywell.scheduling import model
from tests import node_world
from tests import test_node_fleet_orders as fleet_orders

_DONE = maintenance.DrainPhase.DONE
_READY = maintenance.DrainPhase.READY


class WithdrawnWaveTest(unittest.TestCase):
    """A wave whose row is removed while its VM is drained."""

    def setUp(self) -> None:
        """Requests the maintenance of one VM."""
        self.world = fleet_orders.World()
        self.world.fleet.add_vm("m-1", instance_id="w1")
        self.world.load_waves((1, "m-1"))

    def run_meanwhile(self, seconds: float, *stages: str) -> None:
        """Runs a controller; a second each passes before the given stages.

        Args:
            seconds: Time that the controller runs.
            *stages: "ready" marks the VM as drained, "withdraw" removes the
                wave.
        """

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(self.world.run, seconds)
                while self.world.find_phase("m-1") is None:
                    await anyio.lowlevel.checkpoint()
                for stage in stages:
                    if stage == "ready":
                        self.world.mark_ready("m-1")
                        for _ in range(300):
                            await anyio.lowlevel.checkpoint()
                    else:
                        self.world.load_waves()

        anyio.run(run)

    def test_drained_vm_is_used_again(self) -> None:
        """Fails if the request of a withdrawn wave stays open for ever.

        Its VM was up and got no work.
        """
        self.run_meanwhile(4, "withdraw", "ready")
        self.assertEqual(self.world.ordered, [])
        self.assertEqual(self.world.find_phase("m-1"), _DONE)

    def test_vm_does_not_count_as_maintained(self) -> None:
        """Fails if a wave that is requested again is completed at once."""
        self.run_meanwhile(4, "withdraw")
        self.world.load_waves((1, "m-1"))
        anyio.run(self.world.run, 3)
        self.assertIs(self.world.find_phase("m-1"), maintenance.DrainPhase.DUE)
        self.assertNotIn(b"completed", self.world.read_wave_state(1))

    def test_request_with_an_unanswered_order_stays_open(self) -> None:
        """Fails if units start on a VM that a late order takes down.

        The order was sent before the wave was withdrawn.
        """
        late, over_rate = fleet_orders.Reply.LATE, fleet_orders.Reply.OVER_RATE
        self.world.fleet.replies = [late, *[over_rate] * 99]
        self.run_meanwhile(6, "ready", "withdraw")
        self.assertGreater(len(self.world.ordered), 1)
        self.assertIs(self.world.find_phase("m-1"), _READY)

    def test_request_that_a_former_owner_may_have_ordered_is_settled(
        self,
    ) -> None:
        """Fails if an order of a former owner is forgotten at a takeover."""
        self.world.add_request("m-1", 1, "ready")
        self.world.load_waves()
        self.world.fleet.replies = [fleet_orders.Reply.NOT_IN_WAVE]
        anyio.run(self.world.run, 6)
        self.assertEqual(self.world.ordered, [("m-1", "wave 1")])
        self.assertIs(self.world.find_phase("m-1"), _DONE)


class CompletedWaveTest(unittest.TestCase):
    """A wave that was completed while one of its VMs wasn't listed."""

    def test_vm_that_comes_back_is_used_again(self) -> None:
        """Fails if the VM stays cordoned for a wave that is over.

        Nothing advanced its request any more.
        """
        world = fleet_orders.World()
        world.fleet.add_vm("m-1", instance_id="w1")
        world.load_waves((1, "m-1"))
        world.add_request("m-1", 1, "due")
        world.store.put(
            row_store.RowKey(tables.STATUS, "", "wave/1"),
            fleet_cache.encode_wave_state("completed"),
        )
        anyio.run(world.run, 3)
        self.assertEqual(world.ordered, [])
        self.assertIs(world.find_phase("m-1"), _DONE)

    def test_vms_that_come_back_are_maintained_within_the_limit(self) -> None:
        """Fails if more VMs than the wave permits are down (rule LIMIT).

        A new controller repeats the orders that its predecessor may have sent
        for drained VMs. It ordered all of them at once.
        """
        world = fleet_orders.World()
        world.load_waves()
        world.add_wave(1, "m-1", "m-2", "m-3")
        for name in ("m-1", "m-2", "m-3"):
            world.fleet.add_vm(name, instance_id=f"w-{name}")
            world.add_request(name, 1, "ready")
        world.store.put(
            row_store.RowKey(tables.STATUS, "", "wave/1"),
            fleet_cache.encode_wave_state("completed"),
        )
        anyio.run(world.run, 6)
        self.assertEqual(world.ordered, [("m-1", "wave 1")])
        world.fleet.set_state("m-1", maintenance.VmState.UP)
        anyio.run(world.run, 6)
        self.assertEqual(len(world.ordered), 2)


class RefusedWaveTest(unittest.TestCase):
    """Maintenance that the platform refuses as not of its wave."""

    def test_refused_vm_is_used_again(self) -> None:
        """Fails if a VM stays drained for an order that is always refused.

        Its request stayed ready, and the order was repeated for ever.
        """
        world = fleet_orders.World()
        world.fleet.add_vm("m-1")
        world.load_waves((1, "m-1"))
        world.fleet.replies = [fleet_orders.Reply.NOT_IN_WAVE] * 9
        anyio.run(world.run, 5)
        self.assertEqual(world.ordered, [("m-1", "wave 1")])
        self.assertIs(world.find_phase("m-1"), _DONE)
        self.assertNotIn(b"completed", world.read_wave_state(1))


class WithdrawnMoveTest(unittest.TestCase):
    """A move that isn't wanted any more before the VM is empty."""

    def test_vm_stays_in_the_pool_that_needs_it_again(self) -> None:
        """Fails if a VM gets no work until it leaves a pool that needs it."""
        world = fleet_orders.World()
        world.fleet.add_vm("m-1", instance_id="w1")
        world.set_spare_pool_vms("m-1")
        world.add_request("m-1", 0, "due", "spares")
        world.set_need("desk", 1)
        anyio.run(world.run, 3)
        self.assertEqual(world.ordered, [])
        self.assertIs(world.find_phase("m-1"), _DONE)


class _RefusingFleet(node_world.FakeFleet):
    """Refuses all moves."""

    async def move(
        self, vm_id: str, pool: str, token: int
    ) -> maintenance.VmRefusal | None:
        """Records the order."""
        self.orders.append(node_world.VmOrder(vm_id, pool, token))
        return maintenance.VmRefusal.UNKNOWN


class RefusedMoveTest(unittest.TestCase):
    """A move that the platform refuses each time."""

    def test_vm_is_not_drained_again_at_once(self) -> None:
        """Fails if a VM is drained again and again for a refused move."""
        world = fleet_orders.World()
        world.fleet.add_vm("m-1", instance_id="w1")
        world.set_spare_pool_vms("m-1")
        world.add_request("m-1", 0, "ready", "spares")
        world.set_need("other", 1)
        world.fleet.replies = [fleet_orders.Reply.NOT_IN_WAVE] * 9
        anyio.run(world.run, 10)
        self.assertEqual(world.ordered, [("m-1", "spares")])
        self.assertIs(world.find_phase("m-1"), _DONE)


class WorkerTest(unittest.TestCase):
    """The worker on a VM whose move is refused."""

    def test_worker_that_still_reports_gets_units_again(self) -> None:
        """Fails if a worker stays without work after a refused move.

        Nothing ended the cordon before the worker's session did.
        """

        async def run() -> None:
            world = node_world.NodeWorld("w1")
            world.fleet = _RefusingFleet()
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
            for row_key, value in (
                (
                    fleet_cache.locate_drain_request(
                        ownership.FLEET_SERVICE, "m-w1"
                    ),
                    fleet_cache.encode_drain_request(request),
                ),
                (
                    row_store.RowKey(
                        tables.FLEET, ownership.FLEET_SERVICE, "floating"
                    ),
                    b"\x91\xa4m-w1",
                ),
            ):
                world.store.put(row_key, value)
            async with anyio.create_task_group() as group:
                node = world.make_node("node-a")
                group.start_soon(node.run, anyio.Event())
                with anyio.fail_after(6):
                    while not world.fleet.orders:
                        await anyio.sleep(0.02)
                await world.submit()
                await world.wait_for_state("completed", seconds=9.0)
                group.cancel_scope.cancel()

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
