"""Workers whose entries or VMs are no longer what a session knew."""

import json
import unittest

import anyio

from fireflywell.coordination import row_store
from fireflywell.node import tables
from fireflywell.scheduling import maintenance
from fireflywell.scheduling import model
from tests import node_world
from tests import test_node_takeover

_FIRST_JOB = "00000000000000b2"


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
