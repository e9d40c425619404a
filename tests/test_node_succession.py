"""Several owners of a service in a row while workers don't answer."""

import datetime
import unittest

import anyio

from fireflywell.node import tables
from fireflywell.node import worker_leases
from tests import node_world
from tests import test_node_takeover

# The longest lease that an owner may have granted until shortly after its
# successor's claim, with the margins for clocks that differ.
_LEASE_BOUND_S = (
    node_world.BOUNDS.longest_run_lease * (1 + worker_leases.CLOCK_DRIFT)
    + worker_leases.RENEWAL_GRACE
    + datetime.timedelta(milliseconds=500)
).total_seconds()

# Each owner of a test lives for this long: enough to load the service and to
# store what it found, too short to wait until the leases are over.
_TENURE_S = 2.0


class SuccessionTest(test_node_takeover.NodeTestCase):
    """Owners that follow each other while a worker is silent."""

    def test_each_owner_continues_the_wait_for_a_silent_worker(self) -> None:
        """Fails if each further owner waits anew for the same silent worker.

        Accepted work then waits beside free workers as long as owners change,
        past any bound (rule LOST, issue 25).
        """
        claims_s: list[float] = []

        async def run() -> float:
            world = node_world.NodeWorld("w1", "w2")
            async with self.run_node(world, "node-a"):
                await world.submit(node_world.make_step(8))
                await world.wait_for_state("completed")
            world.workers["w2"].is_silent = True
            before = len(world.workers["w1"].starts)
            await world.submit(job_id="00000000000000b2")
            for name in ("node-b", "node-c", "node-d"):
                async with self.run_node(world, name):
                    claims_s.append(await _wait_for_claim(world, name))
                    is_last = name == "node-d"
                    with anyio.move_on_after(10 if is_last else _TENURE_S):
                        await world.wait_for_state(
                            "completed", "00000000000000b2", seconds=10
                        )
            return world.workers["w1"].starts[before].at_s

        started_s = anyio.run(run)
        claim_s = max(item for item in claims_s if item <= started_s)
        may_start_s = max(claims_s[0] + _LEASE_BOUND_S, claim_s)
        self.assertLess(started_s - may_start_s, _LEASE_BOUND_S / 2)


async def _wait_for_claim(world: node_world.NodeWorld, name: str) -> float:
    """Returns the time at which a node has claimed the service."""
    with anyio.fail_after(10):
        while True:
            row = world.store.get(tables.locate_owner(node_world.SERVICE))
            if row is not None and name.encode() in row.value:
                return world.clock.monotonic().total_seconds()
            await anyio.sleep(0.01)


if __name__ == "__main__":
    unittest.main()
