"""Claims of services while the store refuses some partitions."""

import datetime
import unittest

import anyio

from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.standins import row_store as store_standin
from tests import test_node_ownership as node_ownership

_SERVICE = "desk"


class _PartialStore(store_standin.MemoryRowStore):
    """A store that refuses transactions of some partitions.

    Attributes:
        refused: The partitions.
        refusals: Number of refused transactions.
    """

    __slots__ = ("refusals", "refused")

    refusals: int
    refused: frozenset[str]

    async def transact(
        self,
        transaction: row_store.Transaction,
        timeout: datetime.timedelta | None = None,
    ) -> row_store.Committed | row_store.Conflict:
        """Applies a transaction unless its partition is refused."""
        if transaction.puts[0].row_key.partition in self.refused:
            self.refusals += 1
            raise errors.PlatformUnavailableError("too many are waiting")
        return await super().transact(transaction, timeout)


class _PartialWorld(node_ownership.World):
    """Ownership managers over a store that refuses some partitions."""

    def make_store(self) -> _PartialStore:
        """Returns a store that refuses the service's partition."""
        store = _PartialStore(self.clock)
        store.refused = frozenset([_SERVICE])
        store.refusals = 0
        return store


class RefusedPartitionTest(unittest.TestCase):
    """A service whose partition is refused, among unowned services."""

    def test_other_services_are_claimed(self) -> None:
        """Fails if one partition keeps all services without an owner.

        The first failure ended the round of claims, and each round began with
        the same service.
        """
        world = _PartialWorld("a")
        anyio.run(world.check_all)
        row = world.store.get(tables.locate_owner(ownership.FLEET_SERVICE))
        self.assertIsNotNone(row)
        self.assertEqual(world.events, [f"a starts {ownership.FLEET_SERVICE}"])

    def test_refused_claim_is_repeated_after_a_pause(self) -> None:
        """Fails if nodes repeat refused claims at once, or never."""
        world = _PartialWorld("a")
        store = world.store
        assert isinstance(store, _PartialStore)

        async def run() -> None:
            for _ in range(12):
                await world.check_all()
                world.pass_time(0.25)
            self.assertEqual(store.refusals, 6)
            store.refused = frozenset()
            await world.check_all()
            world.pass_time(1.0)
            await world.check_all()

        anyio.run(run)
        self.assertEqual(world.find_owner().node, "a")


if __name__ == "__main__":
    unittest.main()
