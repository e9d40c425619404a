"""Nodes whose reads of the store are some seconds behind."""

import dataclasses
import datetime
import unittest

import anyio

from fireflywell.coordination import row_store
from fireflywell.node import settings as node_settings
from fireflywell.node import tables
from tests import node_world
from tests import partitioned_world
from tests import test_node_takeover

_LAG_S = 2.0
_OTHER_JOB = "00000000000000b2"
_OWNER_ROW_KEY = tables.locate_owner(node_world.SERVICE)


class _World(partitioned_world.PartitionedWorld):
    """Nodes whose leases of runs outlast a takeover."""

    def make_settings(self, name: str) -> node_settings.NodeSettings:
        """Returns settings with the longest leases."""
        settings = super().make_settings(name)
        bounds = dataclasses.replace(
            settings.bounds, longest_run_lease=datetime.timedelta(seconds=20)
        )
        return dataclasses.replace(settings, bounds=bounds)

    def fall_behind_at_claim(self, name: str, version: int) -> None:
        """Lets reads show a version once a node has claimed the service."""
        view = self.views[name]
        transact = view.transact

        async def transact_and_fall_behind(
            transaction: row_store.Transaction,
            timeout: datetime.timedelta | None = None,
        ) -> row_store.Committed | row_store.Conflict:
            result = await transact(transaction, timeout)
            keys = [put.row_key for put in transaction.puts]
            is_committed = isinstance(result, row_store.Committed)
            if is_committed and _OWNER_ROW_KEY in keys:
                self.store.read_version = version
            return result

        view.transact = transact_and_fall_behind  # type: ignore[method-assign]

    def is_owned_by(self, name: str) -> bool:
        """Returns whether the stored row names a node as the owner."""
        row = self.store.get(_OWNER_ROW_KEY)
        return row is not None and name.encode() in row.value


class ReadsBehindTest(test_node_takeover.NodeTestCase):
    """A service whose owner is lost while reads are behind."""

    async def start_units(self, world: _World) -> None:
        """Lets an owner start two units, and loses it."""
        async with self.run_node(world, "node-a"):
            await world.submit(node_world.make_step(2, is_long_running=True))
            with anyio.fail_after(5):
                while len(world.list_starts()) < 2:
                    await anyio.sleep(0.01)

    async def wait_for_claim(self, world: _World) -> None:
        """Waits until the second node owns the service."""
        with anyio.fail_after(10):
            while not world.is_owned_by("node-b"):
                await anyio.sleep(0.05)

    def test_new_owner_starts_nothing_twice(self) -> None:
        """Fails if a unit starts beside its run under the former owner.

        After its claim the new owner read the store as it was before the former
        one had started anything (issue 28, rule TWICE).
        """

        async def run() -> list[str]:
            world = _World("w1", "w2")
            before = world.store.version
            await self.start_units(world)
            async with self.run_node(world, "node-b"):
                await anyio.sleep(0.1)
                world.fall_behind_at_claim("node-b", before)
                await self.wait_for_claim(world)
                await anyio.sleep(1.0)
                world.store.read_version = None
                await anyio.sleep(1.5)
            return [start.unit for start in world.list_starts()]

        units = anyio.run(run)
        self.assertEqual(len(units), 2)

    def test_new_owner_starts_work_once_reads_reach_its_claim(self) -> None:
        """Fails if an owner waits for the present while reads are behind."""

        async def run() -> list[str]:
            world = _World("w1", "w2")
            await self.start_units(world)
            world.store.read_lag_s = _LAG_S
            async with self.run_node(world, "node-b"):
                await self.wait_for_claim(world)
                await world.submit(node_world.make_step(1), job_id=_OTHER_JOB)
                with anyio.fail_after(2 * _LAG_S):
                    while len(world.list_starts()) < 3:
                        await anyio.sleep(0.05)
            return [start.unit for start in world.list_starts()]

        units = anyio.run(run)
        self.assertEqual(len(set(units)), 3)


if __name__ == "__main__":
    unittest.main()
