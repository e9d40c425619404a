"""Workers whose address changes, or whose address goes to another worker."""

import dataclasses
import unittest

import anyio

from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import tables
from fireflywell.scheduling import orders
from fireflywell.scheduling import workers as workers_lib
from fireflywell.standins import unit_worker
from tests import node_world
from tests import test_node_takeover

_NEW_ADDRESS = "127.0.0.1:8999"
# The answer of another worker than the one that an order names.
_OTHER = orders.IncarnationMismatch()
_LEASE_S = node_world.BOUNDS.longest_run_lease.total_seconds()


class _Address:
    """A worker's client at one address.

    Attributes:
        worker: The worker that answers there; None if nobody does.
        is_reused: Whether another worker answers there.
    """

    def __init__(self, worker: unit_worker.UnitWorker | None) -> None:
        self.worker = worker
        self.is_reused = False

    async def start(self, order: orders.StartOrder) -> orders.OrderOutcome:
        """Passes the order on."""
        worker = await self._reach()
        return await worker.start(order) if worker else _OTHER

    async def stop(self, order: orders.StopOrder) -> orders.OrderOutcome:
        """Passes the order on."""
        worker = await self._reach()
        return await worker.stop(order) if worker else _OTHER

    async def throttle(
        self, order: orders.ThrottleOrder
    ) -> orders.OrderOutcome:
        """Passes the order on."""
        worker = await self._reach()
        return await worker.throttle(order) if worker else _OTHER

    async def renew(
        self, order: orders.RenewOrder
    ) -> orders.WorkerReport | orders.OrderOutcome:
        """Passes the request on; its answer is lost if the worker left."""
        worker = await self._reach()
        if worker is None:
            return _OTHER
        report = await worker.renew(order)
        return report if await self._reach() else _OTHER

    async def close(self) -> None:
        """Does nothing: there is no connection."""

    async def _reach(self) -> unit_worker.UnitWorker | None:
        """Returns the worker; None if another one answers."""
        await anyio.sleep(0.005)
        if self.is_reused:
            return None
        if self.worker is None:
            raise errors.AnswerLostError("nobody answers at the address")
        return self.worker


class _World(node_world.NodeWorld):
    """Workers behind addresses."""

    def __init__(self, run_s: float | None = None) -> None:
        self.addresses: dict[str, _Address] = {}
        super().__init__()
        self.add_worker("w1", run_s)

    def read_address(self, name: str) -> str:
        """Returns the address in a worker's entry."""
        return self.workers[name].instance.address

    def list_instance(self, name: str, **changes: object) -> None:
        """Stores a changed entry of a worker."""
        worker = self.workers[name]
        instance = dataclasses.replace(worker.instance, **changes)  # type: ignore[arg-type]
        worker.instance = instance
        self.put_entry(instance)

    def put_entry(self, instance: workers_lib.WorkerInstance) -> None:
        """Stores an entry."""
        self.store.put(
            row_store.RowKey(tables.INSTANCES, "", instance.instance_id),
            node_world.encode_instance(instance),
        )

    def remove_entry(self, name: str) -> None:
        """Removes a worker's entry."""
        self.store.remove(row_store.RowKey(tables.INSTANCES, "", name))

    def get_address(self, name: str) -> _Address:
        """Returns what answers at a worker's present address."""
        return self._connect(self.workers[name].instance)

    def count_active(self) -> int:
        """Returns how many units run on all workers."""
        return sum(len(w.active_units) for w in self.workers.values())

    def _connect(self, instance: workers_lib.WorkerInstance) -> _Address:
        return self.addresses.setdefault(
            instance.address, _Address(self.workers.get(instance.instance_id))
        )


class ChangedAddressTest(test_node_takeover.NodeTestCase):
    """Workers that are listed with another address under their id."""

    def test_runs_of_a_silent_worker_keep_their_leases(self) -> None:
        """Fails if a unit runs twice after an address changed (rule TWICE).

        The silent worker ran the unit until its lease was over; its session
        ended when its entry named another address, and the unit started on
        another worker at once (incident 28).
        """

        async def run() -> None:
            world = _World()
            async with self.run_node(world, "node-a"):
                await world.submit()
                await _wait_for_start(world.workers["w1"])
                world.workers["w1"].is_silent = True
                world.add_worker("w2")
                world.list_instance("w1", address=_NEW_ADDRESS)
                await world.wait_for_state("completed")
            _assert_one_run_at_a_time(self, world)

        anyio.run(run)

    def test_successor_waits_for_leases_at_the_former_address(self) -> None:
        """Fails if a worker leaves the stored list before its leases end.

        The owner took it off the list when its address changed, and the
        successor started the unit while it still ran (rule TWICE).
        """

        async def run() -> None:
            world = _World()
            worker = world.workers["w1"]
            async with self.run_node(world, "node-a"):
                await world.submit()
                await _wait_for_start(worker)
                worker.is_silent = True
                world.list_instance("w1", address=_NEW_ADDRESS)
                await anyio.sleep(0.5)
            world.add_worker("w2")
            world.remove_entry("w1")
            async with self.run_node(world, "node-b"):
                await world.wait_for_state("completed", seconds=12)
            _assert_one_run_at_a_time(self, world)

        anyio.run(run)

    def test_worker_that_moved_keeps_its_runs(self) -> None:
        """Fails if a unit is started again because its worker moved.

        The same incarnation answers at the new address.
        """

        async def run() -> None:
            world = _World(run_s=2.5)
            async with self.run_node(world, "node-a"):
                await world.submit()
                await _wait_for_start(world.workers["w1"])
                world.add_worker("w2")
                await anyio.sleep(0.4)
                world.get_address("w1").worker = None
                world.list_instance(
                    "w1", address=_NEW_ADDRESS, is_draining=True
                )
                await world.wait_for_state("completed")
            (start,) = world.list_starts()
            self.assertEqual(start.run, 1)

        anyio.run(run)

    def test_start_without_answer_stays_open(self) -> None:
        """Fails if a start that the worker carries out late is forgotten.

        It was sent to the former address and carried out after the entry named
        the new one, beside a second run of the unit (rule TWICE).
        """

        async def run() -> int:
            most_active = 0
            world = _World()
            worker = world.workers["w1"]
            worker.delayed_starts, worker.delay_s = 9, 1.2
            async with self.run_node(world, "node-a"):
                await world.submit()
                with anyio.fail_after(8):
                    while worker.delayed_starts == 9:
                        await anyio.sleep(0.005)
                world.add_worker("w2", run_s=None)
                await anyio.sleep(0.4)
                world.list_instance(
                    "w1", address=_NEW_ADDRESS, is_draining=True
                )
                for _ in range(150):
                    await anyio.sleep(0.02)
                    # Lets the worker carry out what is due.
                    await worker.throttle(orders.ThrottleOrder("", 0, 0, 0))
                    most_active = max(most_active, world.count_active())
            return most_active

        self.assertEqual(anyio.run(run), 1)


class ReusedAddressTest(test_node_takeover.NodeTestCase):
    """Addresses at which another worker answers."""

    def test_another_worker_there_proves_no_end(self) -> None:
        """Fails if a unit runs twice after an address was reused (TWICE).

        The former worker was cut off and worked on; the answer of the other
        one counted as the former one's end (incident 28).
        """

        async def run() -> None:
            world = _World()
            async with self.run_node(world, "node-a"):
                await world.submit()
                await _wait_for_start(world.workers["w1"])
                world.get_address("w1").is_reused = True
                world.add_worker("w2")
                await world.wait_for_state("completed")
            _assert_one_run_at_a_time(self, world)

        anyio.run(run)

    def test_successor_waits_for_a_worker_whose_address_is_reused(self) -> None:
        """Fails if a recovery counts a worker as ended by another's answer.

        The former worker was cut off and worked on (rule TWICE).
        """

        async def run() -> None:
            world = _World()
            async with self.run_node(world, "node-a"):
                await world.submit()
                await _wait_for_start(world.workers["w1"])
            world.get_address("w1").is_reused = True
            world.add_worker("w2")
            async with self.run_node(world, "node-b"):
                await world.wait_for_state("completed", seconds=12)
            _assert_one_run_at_a_time(self, world)

        anyio.run(run)

    def test_an_older_worker_of_the_vm_proves_no_end(self) -> None:
        """Fails if the entry of a former worker of the VM counts as a new one.

        It stays listed for a while after its end, here with a later start by
        the VM's date, which jumped.
        """

        async def run() -> None:
            world = _World()
            worker = world.workers["w1"]
            world.put_entry(
                dataclasses.replace(
                    worker.instance,
                    instance_id="w0",
                    service="other",
                    started_unix_ms=9,
                )
            )
            world.put_entry(worker.instance)
            async with self.run_node(world, "node-a"):
                await world.submit()
                await _wait_for_start(worker)
                world.get_address("w1").is_reused = True
                world.add_worker("w2")
                await world.wait_for_state("completed")
            _assert_one_run_at_a_time(self, world)

        anyio.run(run)

    def test_restart_on_the_same_vm_needs_no_wait(self) -> None:
        """Fails if work waits for leases of a worker that has surely ended.

        The VM of the worker runs another one, which is listed.
        """
        for is_taken_over in (False, True):
            with self.subTest(is_taken_over=is_taken_over):
                waited_s = anyio.run(self.restart_on_vm, is_taken_over)
                self.assertLess(waited_s, _LEASE_S / 2)

    async def restart_on_vm(self, is_taken_over: bool) -> float:
        """Returns how long a unit of a worker waited that was replaced.

        Args:
            is_taken_over: Whether the owner is replaced at the same time.
        """
        world = _World()
        former = world.workers["w1"]
        async with self.run_node(world, "node-a"):
            await world.submit()
            await _wait_for_start(former)
            if not is_taken_over:
                return await self._replace(world)
        async with self.run_node(world, "node-b"):
            await _wait_for_claim(world, "node-b")
            return await self._replace(world)

    async def _replace(self, world: _World) -> float:
        former = world.workers["w1"]
        world.get_address("w1").is_reused = True
        former.crash()
        world.add_worker("w2")
        replaced_s = world.clock.monotonic().total_seconds()
        world.put_entry(
            dataclasses.replace(
                former.instance, instance_id="w3", service="other"
            )
        )
        await _wait_for_start(world.workers["w2"])
        return world.workers["w2"].starts[0].at_s - replaced_s


async def _wait_for_start(worker: unit_worker.UnitWorker) -> None:
    with anyio.fail_after(8):
        while not worker.starts:
            await anyio.sleep(0.01)


async def _wait_for_claim(world: _World, name: str) -> None:
    with anyio.fail_after(10):
        while True:
            row = world.store.get(tables.locate_owner(node_world.SERVICE))
            if row is not None and name.encode() in row.value:
                return
            await anyio.sleep(0.01)


def _assert_one_run_at_a_time(
    case: unittest.TestCase, world: node_world.NodeWorld
) -> None:
    """Asserts that a unit moved from `w1` to `w2` after its lease there."""
    former = world.workers["w1"]
    case.assertEqual(former.active_units, [])
    (second,) = world.workers["w2"].starts
    case.assertEqual(second.unit, former.starts[-1].unit)
    case.assertEqual(former.ends[-1].kind, orders.EndKind.LAPSED)
    case.assertLess(former.ends[-1].at_s, second.at_s)


if __name__ == "__main__":
    unittest.main()
