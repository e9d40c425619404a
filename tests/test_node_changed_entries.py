"""Workers whose entries or VMs are no longer what a session knew."""

import dataclasses
import json
import unittest

import anyio

from fireflywell.coordination import row_store
from fireflywell.node import tables
from fireflywell.scheduling import maintenance
from fireflywell.scheduling import model
from fireflywell.scheduling import orders
from fireflywell.standins import unit_worker
from tests import node_world
from tests import test_node_takeover

_FIRST_JOB = "00000000000000b2"


class _CountingWorker(unit_worker.UnitWorker):
    """Counts the report requests that it receives."""

    reports = 0

    async def renew(
        self, order: orders.RenewOrder
    ) -> orders.WorkerReport | orders.OrderOutcome:
        """Counts the request and reports."""
        self.reports += 1
        return await super().renew(order)


class ChangedServiceTest(test_node_takeover.NodeTestCase):
    """Workers that are listed with another service under their id."""

    def test_no_unit_starts_on_it(self) -> None:
        """Fails if a unit starts on a worker of another service (rule ROUTE).

        Its session went on, because the worker still answered.
        """

        async def run() -> int:
            world = node_world.NodeWorld("w1")
            async with self.run_node(world, "node-a"):
                await world.submit(job_id=_FIRST_JOB)
                await world.wait_for_state("completed", _FIRST_JOB)
                _list(world, "w1", service="other")
                await anyio.sleep(0.4)
                await world.submit()
                await anyio.sleep(0.8)
            return len(world.list_starts())

        self.assertEqual(anyio.run(run), 1)

    def test_its_session_ends(self) -> None:
        """Fails if two owners call the worker with a fencing token each.

        The lower token is refused for as long as the higher one is in use.
        """

        async def run() -> bool:
            world = node_world.NodeWorld("w1")
            worker = _CountingWorker(world.workers["w1"].instance, world.clock)
            world.workers["w1"] = worker
            async with self.run_node(world, "node-a"):
                await world.submit(job_id=_FIRST_JOB)
                await world.wait_for_state("completed", _FIRST_JOB)
                _list(world, "w1", service="other")
                await anyio.sleep(0.6)
                before = worker.reports
                await anyio.sleep(2.5)
                return worker.reports > before

        self.assertFalse(anyio.run(run))

    def test_runs_there_keep_their_leases(self) -> None:
        """Fails if a unit runs twice after a service changed (rule TWICE)."""

        async def run() -> int:
            most_active = 0
            world = node_world.NodeWorld("w1", run_s=None)
            async with self.run_node(world, "node-a"):
                await world.submit()
                with anyio.fail_after(8):
                    while not world.list_starts():
                        await anyio.sleep(0.01)
                _list(world, "w1", service="other")
                world.add_worker("w2", None)
                for _ in range(150):
                    await anyio.sleep(0.02)
                    active = sum(
                        len(w.active_units) for w in world.workers.values()
                    )
                    most_active = max(most_active, active)
            return most_active

        self.assertEqual(anyio.run(run), 1)


class DrainedVmTest(test_node_takeover.NodeTestCase):
    """VMs that are marked as empty."""

    def test_report_from_before_the_request_proves_nothing(self) -> None:
        """Fails if a VM is marked as empty by a worker that has ended.

        Another service's worker, which runs units on the VM by now, would be
        interrupted without regard for their limits (rule AVAIL).
        """

        async def run() -> bool:
            world = _make_world()
            async with self.run_node(world, "node-a"):
                await world.submit(node_world.make_step(8), job_id=_FIRST_JOB)
                await world.wait_for_state("completed", _FIRST_JOB)
                await anyio.sleep(0.3)
                world.workers["w1"].crash()
                _request_maintenance(world)
                with anyio.move_on_after(1.5):
                    await _wait_for_order(world)
                    return True
            return False

        self.assertFalse(anyio.run(run))

    def test_idle_vm_is_marked_soon(self) -> None:
        """Fails if a wave waits for the next report of an idle worker."""

        async def run() -> None:
            world = _make_world()
            async with self.run_node(world, "node-a"):
                await world.submit(node_world.make_step(8), job_id=_FIRST_JOB)
                await world.wait_for_state("completed", _FIRST_JOB)
                await anyio.sleep(0.3)
                _request_maintenance(world)
                with anyio.fail_after(1.2):
                    await _wait_for_order(world)

        anyio.run(run)


def _list(world: node_world.NodeWorld, name: str, **changes: object) -> None:
    """Stores a changed entry of a worker."""
    instance = dataclasses.replace(
        world.workers[name].instance,
        **changes,  # type: ignore[arg-type]
    )
    world.store.put(
        row_store.RowKey(tables.INSTANCES, "", name),
        node_world.encode_instance(instance),
    )


def _make_world() -> node_world.NodeWorld:
    """Returns two workers whose VMs are listed."""
    world = node_world.NodeWorld("w1", "w2")
    for name in ("w1", "w2"):
        world.fleet.vms[f"m-{name}"] = maintenance.Vm(
            f"m-{name}",
            node_world.SERVICE,
            maintenance.VmState.UP,
            "a",
            (),
            model.ResourceAmounts(1, 1),
            name,
        )
    return world


def _request_maintenance(world: node_world.NodeWorld) -> None:
    """Requests the maintenance of the VM of `w1`."""
    wave = {"wave": 1, "machines": ["m-w1"], "duration_s": 60, "max_count": 1}
    world.store.put(
        row_store.RowKey(tables.OPERATOR, "", "wave/1"),
        json.dumps(wave).encode(),
    )


async def _wait_for_order(world: node_world.NodeWorld) -> None:
    """Waits until the maintenance of a VM has been ordered."""
    while not world.fleet.orders:
        await anyio.sleep(0.005)


if __name__ == "__main__":
    unittest.main()
