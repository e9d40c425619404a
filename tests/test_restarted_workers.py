"""Orders to a worker's former incarnation that the next one receives.

A worker that starts again under its id knows nothing, and a call without an
answer may be carried out seconds later.
"""

import collections
import unittest

import anyio

from fireflywell.scheduling import orders
from fireflywell.standins import unit_worker
from tests import node_world
from tests import test_node_takeover

_FIRST_JOB = "00000000000000a1"
_DELAY_S = 1.2


class RestartedWorkerTest(test_node_takeover.NodeTestCase):
    """Workers that restart while orders to them are late."""

    def test_repeated_request_acknowledges_no_end_of_another_incarnation(
        self,
    ) -> None:
        """Fails if the repeat of a lost request makes a worker forget ends.

        The worker had restarted, answered starts and got no report request
        since; it no longer listed its own ends, so done units started again.
        """
        anyio.run(self.lose_acknowledgement)

    async def lose_acknowledgement(self) -> None:
        """Restarts a worker while an acknowledgement has no answer."""
        world = node_world.NodeWorld("w1")
        worker = world.workers["w1"]
        worker.delayed_acknowledgements = 1
        worker.delay_s = _DELAY_S
        async with self.run_node(world, "node-a"):
            await world.submit(node_world.make_step(3), job_id=_FIRST_JOB)
            await world.wait_for_state("completed", _FIRST_JOB)
            with anyio.fail_after(3):
                while worker.delayed_acknowledgements:
                    await anyio.sleep(0.005)
            worker.restart()
            worker.run_s = 1.5 * _DELAY_S
            # Each unit ends while the end before it is being stored.
            for number in range(3):
                starts = len(worker.starts)
                await world.submit(job_id=f"{number:016x}")
                with anyio.fail_after(_DELAY_S):
                    while len(worker.starts) == starts:
                        await anyio.sleep(0.002)
            for number in range(3):
                await world.wait_for_state("completed", f"{number:016x}")
            await anyio.sleep(0.1)
        self.assertEqual(self.find_repeated_units(worker), [])

    def find_repeated_units(self, worker: unit_worker.UnitWorker) -> list[str]:
        """Returns the units that started again after they were done."""
        starts = collections.Counter(start.unit for start in worker.starts)
        done = {
            end.unit for end in worker.ends if end.kind is orders.EndKind.DONE
        }
        return [unit for unit in done if starts[unit] > 1]


if __name__ == "__main__":
    unittest.main()
