"""Owners of services that were cut off from the store."""

import contextlib
import unittest

import anyio

from tests import node_world
from tests import partitioned_world


class FormerOwnerTest(unittest.TestCase):
    """A node that was cut off from the store and is back."""

    def test_former_owner_starts_nothing_after_its_lease_lapsed(self) -> None:
        """Fails if a unit runs twice after a partition between zones.

        The former owner renewed its row and started the unit again, on a
        worker that only it reached, before it read that another node had
        claimed the service.
        """

        async def run() -> None:
            world = partitioned_world.PartitionedWorld("w1")
            world.cut_links = {("node-b", "w1"), ("node-a", "w2")}
            async with anyio.create_task_group() as group:
                never = anyio.Event()
                group.start_soon(world.make_node("node-a").run, never)
                await world.submit(node_world.make_step(1))
                with anyio.fail_after(6):
                    while not world.workers["w1"].starts:
                        await anyio.sleep(0.02)
                group.start_soon(world.make_node("node-b").run, never)
                world.add_worker("w2", run_s=None, rack="r2-1")
                await anyio.sleep(0.5)
                world.views["node-a"].is_cut = True
                world.views["node-a"].is_partly_down = True
                with anyio.fail_after(15):
                    while not world.workers["w2"].active_units:
                        await anyio.sleep(0.02)
                self.assertEqual(world.workers["w1"].active_units, [])
                world.views["node-a"].is_cut = False
                most = 0
                with contextlib.suppress(TimeoutError), anyio.fail_after(1):
                    while True:
                        running = [
                            unit
                            for worker in world.workers.values()
                            for unit in worker.active_units
                        ]
                        most = max(most, len(running))
                        await anyio.sleep(0.01)
                group.cancel_scope.cancel()
            self.assertEqual(most, 1)

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
