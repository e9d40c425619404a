"""When a node's process counts as silent, by reads that may be behind."""

import datetime
import unittest

import anyio
import anyio.lowlevel

from fireflywell import clock as clock_lib
from fireflywell.coordination import row_store
from fireflywell.node import directory as directory_lib
from fireflywell.node import heartbeat as heartbeat_lib
from fireflywell.node import owner_records
from fireflywell.node import ownership
from fireflywell.node import ownership_guard
from fireflywell.node import tables
from fireflywell.standins import row_store as store_standin
from tests import node_world

_STEP = datetime.timedelta(milliseconds=10)
_LEASE = node_world.BOUNDS.lease
_LEASE_S = _LEASE.total_seconds()

# Turns of the event loop in which a call to the stand-in completes.
_CHECKPOINTS = 20

# Time from a loss until the next check of the ownership, and its own duration.
_MARGIN_S = 0.1


class _Store(store_standin.MemoryRowStore):
    """A store whose lists of partitions may show an earlier state.

    Attributes:
        unlisted: A partition that the lists lack.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        super().__init__(clock)
        self.unlisted = ""

    async def list_partitions(self, table: str) -> tuple[str, ...]:
        """Returns the other partitions of a table."""
        names = await super().list_partitions(table)
        return tuple(name for name in names if name != self.unlisted)


class World:
    """Heartbeats of some nodes on a manual clock."""

    def __init__(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.store = _Store(self.clock)
        self.directories: dict[str, directory_lib.NodeDirectory] = {}
        self.heartbeats: dict[str, heartbeat_lib.Heartbeat] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}

    @property
    def now_s(self) -> float:
        """Time since the start, in seconds."""
        return self.clock.monotonic().total_seconds()

    def start(
        self, group: anyio.abc.TaskGroup, name: str, incarnation: str
    ) -> None:
        """Starts a process of a node."""
        directory = directory_lib.NodeDirectory(self.clock, _LEASE)
        heartbeat = heartbeat_lib.Heartbeat(
            node_world.NodeWorld().make_settings(name),
            incarnation,
            self.store,
            directory,
            self.clock,
        )
        scope = self._scopes[name] = anyio.CancelScope()
        self.directories[name] = directory
        self.heartbeats[name] = heartbeat

        async def run() -> None:
            with scope:
                await heartbeat.run()

        group.start_soon(run)

    async def kill(self, name: str) -> None:
        """Ends a node's process."""
        self._scopes[name].cancel()
        await self.advance(0)

    def claim(self, name: str, incarnation: str) -> int:
        """Stores a process as the owner; returns the row's version."""
        record = owner_records.OwnerRecord(name, incarnation, 1)
        return self.store.put(
            tables.locate_owner(node_world.SERVICE),
            owner_records.encode_owner(record),
        )

    def is_expired(
        self, reader: str, name: str, incarnation: str, named_at: int
    ) -> bool:
        """Returns whether a node takes another's process as silent."""
        return self.directories[reader].has_incarnation_expired(
            name, incarnation, named_at
        )

    async def advance(self, seconds: float) -> None:
        """Lets time pass."""
        for _ in range(round(seconds / _STEP.total_seconds())):
            self.clock.advance(_STEP)
            await self._settle()
        await self._settle()

    async def wait_until_expired(
        self, reader: str, name: str, incarnation: str, named_at: int
    ) -> float:
        """Waits until a process counts as silent; returns the seconds."""
        started_s = self.now_s
        while not self.is_expired(reader, name, incarnation, named_at):
            assert self.now_s - started_s < 30, "it never counts as silent"
            await self.advance(_STEP.total_seconds())
        return self.now_s - started_s

    async def _settle(self) -> None:
        for _ in range(_CHECKPOINTS):
            await anyio.lowlevel.checkpoint()


class SilenceTest(unittest.TestCase):
    """A process that others take as alive or as silent."""

    def test_living_process_is_alive_while_reads_are_behind(self) -> None:
        """Fails if a living owner is replaced because reads show the past.

        Reads began to show the state of some seconds ago, which has no renewals
        of that time (issue 28).
        """

        async def run() -> None:
            world = World()
            async with anyio.create_task_group() as group:
                world.start(group, "a", "a-1")
                world.start(group, "b", "b-1")
                await world.advance(2)
                version = world.claim("b", "b-1")
                world.store.read_lag_s = 3 * _LEASE_S
                for _ in range(60):
                    await world.advance(0.1)
                    self.assertFalse(world.is_expired("a", "b", "b-1", version))
                    names = [n.name for n in world.directories["a"].list_live()]
                    self.assertEqual(names, ["a", "b"])
                group.cancel_scope.cancel()

        anyio.run(run)

    def test_living_process_is_alive_if_a_list_lacks_its_node(self) -> None:
        """Fails if a living owner is replaced because its row isn't read.

        All rows were read because the history was lost, from a list of nodes
        of an earlier state. The rows that were read were recent, so that the
        missing one counted as proof of silence (rule TWICE).
        """

        async def run() -> None:
            world = World()
            async with anyio.create_task_group() as group:
                world.start(group, "a", "a-1")
                world.start(group, "b", "b-1")
                await world.advance(2)
                world.store.unlisted = "b"
                for _ in range(30):
                    version = world.claim("b", "b-1")
                    world.store.drop_history()
                    await world.advance(0.1)
                    self.assertFalse(world.is_expired("a", "b", "b-1", version))
                group.cancel_scope.cancel()

        anyio.run(run)

    def test_living_process_is_alive_while_nothing_is_read(self) -> None:
        """Fails if a node that reads nothing takes the others as silent."""

        async def run() -> None:
            world = World()
            async with anyio.create_task_group() as group:
                world.start(group, "a", "a-1")
                world.start(group, "b", "b-1")
                await world.advance(2)
                version = world.claim("b", "b-1")
                await world.kill("a")
                await world.advance(2 * _LEASE_S)
                self.assertFalse(world.is_expired("a", "b", "b-1", version))
                group.cancel_scope.cancel()

        anyio.run(run)

    def test_new_process_of_a_node_is_alive_before_its_rows_are_read(
        self,
    ) -> None:
        """Fails if an owner that was just started counts as gone.

        The owner's row was read before the rows of the nodes, which still named
        the node's former process.
        """

        async def run() -> None:
            world = World()
            async with anyio.create_task_group() as group:
                world.start(group, "a", "a-1")
                world.start(group, "b", "b-1")
                await world.advance(2)
                world.store.read_lag_s = 2 * _LEASE_S
                await world.kill("b")
                world.start(group, "b", "b-2")
                await world.advance(1)
                version = world.claim("b", "b-2")
                for _ in range(40):
                    self.assertFalse(world.is_expired("a", "b", "b-2", version))
                    await world.advance(0.1)
                self.assertTrue(world.is_expired("a", "b", "b-1", version - 1))
                group.cancel_scope.cancel()

        anyio.run(run)

    def test_process_of_an_unknown_node_is_alive_at_first(self) -> None:
        """Fails if a node that isn't in the list of partitions counts as gone.

        The list may be behind while another node has already joined.
        """

        async def run() -> None:
            world = World()
            async with anyio.create_task_group() as group:
                world.start(group, "a", "a-1")
                await world.advance(2)
                version = world.claim("b", "b-1")
                self.assertFalse(world.is_expired("a", "b", "b-1", version))
                waited = await world.wait_until_expired(
                    "a", "b", "b-1", version
                )
                self.assertLess(waited, 2 * _LEASE_S)
                group.cancel_scope.cancel()

        anyio.run(run)

    def test_new_process_of_an_unknown_node_is_alive_at_first(self) -> None:
        """Fails if a former process's silence counts for the next one.

        The node's row was never read while the former process owned a
        service. The next one claimed it, and that was read before its row.
        """

        async def run() -> None:
            world = World()
            async with anyio.create_task_group() as group:
                world.start(group, "a", "a-1")
                await world.advance(1)
                version = world.claim("b", "b-1")
                await world.wait_until_expired("a", "b", "b-1", version)
                version = world.claim("b", "b-2")
                self.assertFalse(world.is_expired("a", "b", "b-2", version))
                await world.wait_until_expired("a", "b", "b-2", version)
                group.cancel_scope.cancel()

        anyio.run(run)

    def test_replaced_process_is_gone_at_once(self) -> None:
        """Fails if a restart of all nodes makes their services wait."""

        async def run() -> None:
            world = World()
            async with anyio.create_task_group() as group:
                world.start(group, "b", "b-1")
                await world.advance(1)
                version = world.claim("b", "b-1")
                await world.kill("b")
                world.start(group, "a", "a-2")
                world.start(group, "b", "b-2")
                await world.advance(0.5)
                self.assertTrue(world.is_expired("a", "b", "b-1", version))
                group.cancel_scope.cancel()

        anyio.run(run)


class LossTest(unittest.TestCase):
    """A process that was killed."""

    def measure(self, lag_s: float, alive_s: float) -> float:
        """Returns the seconds from a kill until the process is silent."""

        async def run() -> float:
            world = World()
            async with anyio.create_task_group() as group:
                world.start(group, "a", "a-1")
                await world.advance(0.13)
                world.start(group, "b", "b-1")
                await world.advance(3)
                version = world.claim("b", "b-1")
                world.store.read_lag_s = lag_s
                await world.advance(5 + alive_s)
                await world.kill("b")
                waited = await world.wait_until_expired(
                    "a", "b", "b-1", version
                )
                group.cancel_scope.cancel()
            return waited

        return anyio.run(run)

    def test_silence_is_seen_as_soon_as_the_lease_is_over(self) -> None:
        """Fails if takeovers wait for a further heartbeat after the lease."""
        interval_s = _LEASE_S / 3
        for alive_s in (0.0, 0.1, 0.2):
            with self.subTest(alive_s=alive_s):
                # The last renewal was up to an interval before the kill, and
                # was read up to an interval after it was stored.
                waited = self.measure(0.0, alive_s)
                self.assertLess(waited, _LEASE_S + interval_s + _MARGIN_S)
                self.assertGreater(waited, _LEASE_S - interval_s)

    def test_silence_is_seen_while_reads_are_behind(self) -> None:
        """Fails if a lost owner isn't replaced while reads are behind."""
        interval_s = _LEASE_S / 3
        for lag_s in (1.0, 4.0):
            with self.subTest(lag_s=lag_s):
                waited = self.measure(lag_s, 0.0)
                limit_s = _LEASE_S + lag_s + 3 * interval_s
                self.assertLess(waited, limit_s)


class GuardTest(unittest.TestCase):
    """An owner that confirms its ownership after its lease has lapsed."""

    def run_guard(self, *, is_claimed: bool) -> tuple[bool, bool]:
        """Lets the lease lapse while another node may claim the service.

        Returns:
            Whether the guard reports the ownership as kept, and whether it
            permits orders, while reads show the state before the lapse.
        """

        async def run() -> tuple[bool, bool]:
            world = World()
            async with anyio.create_task_group() as group:
                world.start(group, "a", "a-1")
                await world.advance(2)
                before = world.store.version
                tenure = ownership.Tenure(
                    node_world.SERVICE,
                    1,
                    world.claim("a", "a-1"),
                    is_first=False,
                    claimed_at=world.clock.monotonic(),
                )
                guard = ownership_guard.OwnershipGuard(
                    tenure, world.store, world.heartbeats["a"], world.clock
                )
                if is_claimed:
                    before = world.store.version
                await world.kill("a")
                await world.advance(2 * _LEASE_S)
                if is_claimed:
                    world.claim("b", "b-1")
                await world.heartbeats["a"]._renew_once()
                world.store.read_version = before
                is_kept = await guard.confirm()
                permits = guard.permits_orders
                world.store.read_version = None
                self.assertEqual(await guard.confirm(), not is_claimed)
                group.cancel_scope.cancel()
            return is_kept, permits

        return anyio.run(run)

    def test_claim_of_another_node_is_not_overlooked(self) -> None:
        """Fails if a former owner confirms itself by a read of the past."""
        self.assertEqual(self.run_guard(is_claimed=True), (False, False))

    def test_read_from_before_the_claim_does_not_end_the_tenure(self) -> None:
        """Fails if an owner stops because a read doesn't show its own claim."""
        self.assertEqual(self.run_guard(is_claimed=False), (True, True))


class OldRowTest(unittest.TestCase):
    """Rows of nodes from before those that were read."""

    def test_older_row_is_no_renewal(self) -> None:
        """Fails if an older row postpones a takeover or ends a live process."""
        clock = clock_lib.ManualClock()
        directory = directory_lib.NodeDirectory(clock, _LEASE)
        directory.observe((_make_row("b-2", 1, 9),))
        clock.advance(_LEASE * 2)
        directory.observe((_make_row("b-1", 7, 5),), 20, clock.monotonic())
        self.assertTrue(directory.has_incarnation_expired("b", "b-2", 10))
        (node,) = directory._observed.values()
        self.assertEqual(node.record.incarnation, "b-2")


def _make_row(incarnation: str, beats: int, version: int) -> row_store.Row:
    record = directory_lib.NodeRecord("b", incarnation, "", beats, False)
    return row_store.Row(
        directory_lib.locate_node("b"),
        directory_lib.encode_node(record),
        version,
    )


if __name__ == "__main__":
    unittest.main()
