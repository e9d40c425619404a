"""Tests the stored list of workers that may run units of a service."""

import dataclasses
import datetime
import unittest

import anyio
import msgpack

from fireflywell import clock as clock_lib
from fireflywell.coordination import row_store
from fireflywell.node import assigned_worker_rows
from fireflywell.node import assigned_workers
from fireflywell.node import instance_registry
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.platform import instances as platform_instances
from fireflywell.scheduling import service_state
from fireflywell.scheduling import workers as workers_lib
from tests import late_store
from tests import node_world

_SERVICE = node_world.SERVICE
_ROW_KEY = tables.locate_assigned_workers(_SERVICE)

# Longest time for which leases of an earlier owner last after a claim.
_ORPHAN_TIMEOUT = datetime.timedelta(seconds=8)

_NO_TIME = datetime.timedelta()


class _Owner:
    """An owner that has claimed the service and read the list."""

    def __init__(self, world: "_World", token: int) -> None:
        self._world = world
        self.is_tenure_lost = False
        self.state = service_state.ServiceState(token)
        version = world.store.put(tables.locate_owner(_SERVICE), b"owner")
        self.workers = assigned_workers.AssignedWorkers(
            ownership.Tenure(_SERVICE, token, version, is_first=token == 1),
            self.state,
            world.store,
            world.clock,
            lambda: None,
            self._mark_tenure_lost,
        )

    def _mark_tenure_lost(self) -> None:
        self.is_tenure_lost = True

    def is_settled(self) -> bool:
        """Returns whether recovered units may be started."""
        self.workers.check_recovery()
        return self.state.is_recovery_complete

    async def use(self, *names: str, started_unix_ms: int = 1) -> None:
        """Stores workers as in use after their first report."""
        for name in names:
            self.workers.mark_reported(name)
            await self.acquire(name, started_unix_ms)
        await self.workers.store_changes()
        for name in names:
            assert await self.acquire(name, started_unix_ms)

    async def acquire(self, name: str, started_unix_ms: int = 1) -> bool:
        """Returns whether leases may be granted to a worker's runs now."""
        return await self.workers.acquire(
            node_world.make_instance(name), started_unix_ms, _NO_TIME
        )

    async def give_up(self) -> None:
        """Stores until when the workers that haven't reported may have runs."""
        self.workers.mark_unreported_lost()
        await self.workers.store_changes()


class _World:
    """A store whose clock the test advances."""

    def __init__(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.store = late_store.LateStore(self.clock)
        self._token = 0

    def advance(self, seconds: float) -> None:
        """Advances the clock."""
        self.clock.advance(datetime.timedelta(seconds=seconds))

    async def claim(self) -> _Owner:
        """Returns the next owner."""
        self._token += 1
        owner = _Owner(self, self._token)
        await owner.workers.load(_ORPHAN_TIMEOUT)
        return owner

    async def claim_after(self, *names: str) -> _Owner:
        """Returns the owner after one that used some workers."""
        first = await self.claim()
        await first.use(*names)
        return await self.claim()

    def read(self) -> dict[str, assigned_worker_rows.AssignedWorker]:
        """Returns the stored list."""
        row = self.store.get(_ROW_KEY)
        assert row is not None
        return assigned_worker_rows.decode(row.value).workers


class AssignedWorkersTest(unittest.TestCase):
    """Owners that follow each other."""

    def test_later_owners_keep_the_time_of_the_first(self) -> None:
        """Fails if each owner gives a silent worker a new time.

        Inherited work then waits beside free workers as long as owners
        change (issue 25).
        """

        async def run() -> None:
            world = _World()
            second = await world.claim_after("w1", "w2")
            await second.use("w1")
            await second.give_up()
            world.advance(3)
            third = await world.claim()
            await third.use("w1")
            world.advance(3)
            fourth = await world.claim()
            await fourth.use("w1")
            self.assertFalse(fourth.is_settled())
            world.advance(1.9)
            self.assertFalse(fourth.is_settled())
            world.advance(0.2)
            self.assertTrue(fourth.is_settled())
            await fourth.workers.store_changes()
            self.assertEqual(set(world.read()), {"w1"})

        anyio.run(run)

    def test_worker_that_is_used_again_gets_a_new_time(self) -> None:
        """Fails if a unit starts elsewhere while it runs on a silent worker.

        The owner that stored the worker's time reached it later and granted
        leases (rule TWICE).
        """

        async def run() -> None:
            world = _World()
            second = await world.claim_after("w1")
            await second.give_up()
            world.advance(5)
            await second.use("w1")
            third = await world.claim()
            await third.give_up()
            world.advance(7.9)
            self.assertFalse(third.is_settled())
            self.assertFalse((await world.claim()).is_settled())
            world.advance(0.2)
            self.assertTrue(third.is_settled())

        anyio.run(run)

    def test_worker_gets_no_lease_before_it_is_stored_as_in_use(self) -> None:
        """Fails if a successor can take a worker with runs for an idle one."""

        async def run() -> None:
            world = _World()
            second = await world.claim_after("w1")
            await second.give_up()
            second.workers.mark_reported("w1")
            world.store.is_down = True
            self.assertFalse(await second.acquire("w1"))
            await second.workers.store_changes()
            self.assertFalse(await second.acquire("w1"))
            world.store.is_down = False
            await second.workers.store_changes()
            self.assertTrue(await second.acquire("w1"))
            self.assertIsNone(world.read()["w1"].runs_until_s)

        anyio.run(run)

    def test_takeover_of_sound_workers_needs_no_write(self) -> None:
        """Fails if a slow store holds up the renewal of running units."""

        async def run() -> None:
            world = _World()
            second = await world.claim_after("w1")
            calls = world.store.calls
            second.workers.mark_reported("w1")
            self.assertTrue(await second.acquire("w1"))
            await second.workers.store_changes()
            self.assertTrue(second.is_settled())
            self.assertEqual(world.store.calls, calls)

        anyio.run(run)

    def test_successor_waits_for_the_leases_of_a_lost_worker_only(self) -> None:
        """Fails if the end of a lost worker's leases isn't handed on."""

        async def run() -> None:
            world = _World()
            first = await world.claim()
            await first.use("w1")
            first.workers.mark_lost("w1", datetime.timedelta(seconds=2))
            await first.workers.store_changes()
            world.advance(1)
            second = await world.claim()
            world.advance(0.9)
            self.assertFalse(second.is_settled())
            world.advance(2)
            self.assertTrue(second.is_settled())

        anyio.run(run)

    def test_worker_is_not_used_while_its_loss_is_being_stored(self) -> None:
        """Fails if a worker gets a lease that the stored list denies.

        The worker answered again while the write of the end of its leases was
        on its way.
        """

        async def run() -> None:
            world = _World()
            first = await world.claim()
            await first.use("w1")
            first.workers.mark_lost("w1", _NO_TIME)
            world.store.delay_s = 0.05
            async with anyio.create_task_group() as group:
                group.start_soon(first.workers.store_changes)
                await anyio.sleep(0.01)
                self.assertFalse(await first.acquire("w1"))
            self.assertFalse(await first.acquire("w1"))
            self.assertIsNotNone(world.read()["w1"].runs_until_s)
            await first.workers.store_changes()
            self.assertTrue(await first.acquire("w1"))
            self.assertIsNone(world.read()["w1"].runs_until_s)

        anyio.run(run)

    def test_worker_that_comes_back_is_stored_again(self) -> None:
        """Fails if a successor doesn't wait for a worker that runs units.

        The write that removed the worker had no answer and was taken as not
        applied, so that the worker's return seemed to need no write.
        """

        async def run() -> None:
            world = _World()
            first = await world.claim()
            await first.use("w1", "w2")
            world.store.is_late = True
            first.workers.forget("w2")
            await first.workers.store_changes()
            may_use = await first.acquire("w2")
            self.assertTrue(await first.acquire("w1"))
            await first.workers.store_changes()
            await world.store.apply_late()
            self.assertFalse(may_use)
            while not await first.workers.store_changes():
                self.assertFalse(await first.acquire("w2"))
            self.assertTrue(await first.acquire("w2"))
            self.assertEqual(set(world.read()), {"w1", "w2"})

        anyio.run(run)

    def test_restarted_worker_is_stored_before_it_is_used(self) -> None:
        """Fails if the list names a former incarnation of a worker in use."""

        async def run() -> None:
            world = _World()
            first = await world.claim()
            await first.use("w1")
            self.assertFalse(await first.acquire("w1", started_unix_ms=2))
            await first.workers.store_changes()
            self.assertTrue(await first.acquire("w1", started_unix_ms=2))
            self.assertEqual(world.read()["w1"].started_unix_ms, 2)

        anyio.run(run)

    def test_worker_is_stored_with_its_vm_before_it_is_used(self) -> None:
        """Fails if a lease is granted while the list names another VM.

        A successor takes another worker on that VM as proof that this one has
        ended (rule TWICE).
        """

        async def run() -> None:
            world = _World()
            first = await world.claim()
            await first.use("w1")
            moved = dataclasses.replace(
                node_world.make_instance("w1"), vm_id="m-9"
            )
            self.assertFalse(await first.workers.acquire(moved, 1, _NO_TIME))
            await first.workers.store_changes()
            self.assertTrue(await first.workers.acquire(moved, 1, _NO_TIME))
            self.assertEqual(world.read()["w1"].vm_id, "m-9")

        anyio.run(run)


class ConflictTest(unittest.TestCase):
    """Writes that are refused because a row has another version."""

    def test_replaced_owner_stops(self) -> None:
        """Fails if an owner goes on whose list can't be stored any more.

        It took the refusal for one of its own earlier writes, and wrote again
        four times a second until another write was refused.
        """

        async def run() -> None:
            world = _World()
            first = await world.claim_after("w1")
            await first.use("w1")
            second = await world.claim()
            self.assertFalse(await first.acquire("w2"))
            await first.workers.store_changes()
            self.assertTrue(first.is_tenure_lost)
            self.assertFalse(await first.acquire("w1"))
            self.assertFalse(second.is_tenure_lost)

        anyio.run(run)

    def test_list_of_an_earlier_owner_is_kept(self) -> None:
        """Fails if an owner replaces a list that it hasn't read.

        Only the version of the stored list was adopted. Its workers were
        dropped without a report, and units started beside their runs (rule
        TWICE).
        """

        async def run() -> None:
            world = _World()
            owner = await world.claim()
            self.assertTrue(owner.is_settled())
            stored = assigned_worker_rows.AssignedWorkerList(
                {"w1": assigned_worker_rows.AssignedWorker(1, "m-w1")}, 0.0
            )
            world.store.put(_ROW_KEY, assigned_worker_rows.encode(stored))
            await owner.acquire("w2")
            await owner.workers.store_changes()
            self.assertFalse(owner.is_settled())
            self.assertEqual(owner.workers.unreported_workers, ("w1",))
            await owner.workers.store_changes()
            self.assertEqual(set(world.read()), {"w1", "w2"})
            self.assertFalse(owner.is_tenure_lost)
            world.advance(8.1)
            self.assertTrue(owner.is_settled())

        anyio.run(run)

    def test_own_write_without_answer_is_recognized(self) -> None:
        """Fails if an owner waits for a worker of its own earlier write.

        The write of the list with the worker got no answer and was applied;
        the worker's runs have ended since.
        """

        async def run() -> None:
            world = _World()
            owner = await world.claim()
            await owner.acquire("w1")
            world.store.lose_answers = 1
            self.assertFalse(await owner.workers.store_changes())
            owner.workers.forget("w1")
            await owner.acquire("w2")
            await owner.workers.store_changes()
            self.assertTrue(owner.is_settled())
            self.assertTrue(await owner.workers.store_changes())
            self.assertEqual(set(world.read()), {"w2"})

        anyio.run(run)


class ReplacedWorkersTest(unittest.TestCase):
    """Workers whose VMs run another worker."""

    def test_worker_whose_vm_started_again_is_not_waited_for(self) -> None:
        """Fails if work waits for a worker that has surely ended."""
        successor = _make_worker("w2", "m-w1", 5)
        self.assertTrue(self._is_settled(successor))

    def test_entry_from_before_the_list_proves_nothing(self) -> None:
        """Fails if a unit starts while it runs on a silent worker.

        A former worker of the VM, whose date had been ahead, was still listed
        and counted as the later one (rule TWICE, incident 28).
        """
        former = _make_worker("w0", "m-w1", 5)
        self.assertFalse(self._is_settled(former, is_list_older=False))

    def test_other_workers_prove_nothing(self) -> None:
        """Fails if a unit starts while it may run on a silent worker.

        Neither a worker that came back under its id, which may carry out a
        late order, nor an older one on the VM, nor one of another VM ends the
        wait (rule TWICE).
        """
        own = _make_worker("w1", "m-w1", 5)
        for instances in (
            (own,),
            (own, _make_worker("w2", "m-w1", 6)),
            (_make_worker("w2", "m-w1", 1),),
            (_make_worker("w2", "m-w1", 0),),
            (_make_worker("w2", "m-w2", 5),),
            (_make_worker("w2", "", 5),),
        ):
            with self.subTest(instances=instances):
                self.assertFalse(self._is_settled(*instances))

    def test_list_that_was_stored_again_ends_the_wait(self) -> None:
        """Fails if inherited work waits for a worker whose VM runs another one.

        The list was stored after the entry of the other worker, for a third
        one. Only what is older than the first worker's own entry may be from
        before it (soak seed 2015).
        """

        async def run() -> None:
            world = _World()

            def write_entry(item: workers_lib.WorkerInstance) -> int:
                return world.store.put(
                    row_store.RowKey(tables.INSTANCES, "", item.instance_id),
                    node_world.encode_instance(item),
                )

            own = _make_worker("w1", "m-w1", 1)
            own = dataclasses.replace(own, row_version=write_entry(own))
            first = await world.claim()
            await first.workers.acquire(own, 1, _NO_TIME)
            await first.workers.store_changes()
            write_entry(_make_worker("w2", "m-w1", 5))
            await first.use("w3")
            second = await world.claim()
            second.workers.mark_reported("w3")
            registry = instance_registry.InstanceRegistry(
                platform_instances.decode_instance
            )
            registry.replace_all(
                tuple(
                    row
                    for row in world.store.list_table(tables.INSTANCES)
                    if row.row_key.key != "w1"
                )
            )
            self.assertFalse(second.is_settled())
            second.workers.mark_replaced(registry.list_all())
            self.assertTrue(second.is_settled())

        anyio.run(run)

    def _is_settled(
        self,
        *instances: workers_lib.WorkerInstance,
        is_list_older: bool = True,
    ) -> bool:
        """Returns whether listed workers end the wait for `w1`.

        Args:
            *instances: The listed workers.
            is_list_older: Whether their entries were written after the list of
                assigned workers.
        """

        async def run() -> bool:
            world = _World()
            registry = instance_registry.InstanceRegistry(
                platform_instances.decode_instance
            )

            def write_entries() -> None:
                for item in instances:
                    world.store.put(
                        row_store.RowKey(
                            tables.INSTANCES, "", item.instance_id
                        ),
                        node_world.encode_instance(item),
                    )

            if not is_list_older:
                write_entries()
            second = await world.claim_after("w1")
            if is_list_older:
                write_entries()
            registry.replace_all(
                tuple(world.store.list_table(tables.INSTANCES))
            )
            second.workers.mark_replaced(registry.list_all())
            return second.is_settled()

        return anyio.run(run)


class StoredFormTest(unittest.TestCase):
    """Lists that other versions have stored, and unreadable ones."""

    def test_workers_of_the_former_version_are_in_use(self) -> None:
        """Fails if an upgrade forgets which workers may have runs."""

        async def run() -> None:
            world = _World()
            world.store.put(_ROW_KEY, msgpack.packb([{"w1": 1, "w2": 1}, 0.0]))
            owner = await world.claim()
            owner.workers.mark_reported("w1")
            self.assertTrue(await owner.acquire("w1"))
            await owner.give_up()
            world.advance(7.9)
            self.assertFalse(owner.is_settled())
            self.assertFalse((await world.claim()).is_settled())
            world.advance(0.2)
            self.assertTrue(owner.is_settled())

        anyio.run(run)

    def test_successor_waits_after_an_unreadable_list_too(self) -> None:
        """Fails if the next owner takes the workers in use for all of them."""

        async def run() -> None:
            world = _World()
            world.store.put(_ROW_KEY, b"\xc1")
            first = await world.claim()
            await first.use("w1")
            world.advance(4)
            second = await world.claim()
            await second.use("w1")
            self.assertFalse(second.is_settled())
            world.advance(4.1)
            self.assertTrue(second.is_settled())

        anyio.run(run)


def _make_worker(
    worker_id: str, vm_id: str, started_unix_ms: int
) -> workers_lib.WorkerInstance:
    return workers_lib.WorkerInstance(
        worker_id,
        _SERVICE,
        "127.0.0.1:9000",
        "a",
        "",
        (),
        node_world.make_instance(worker_id).capacity,
        started_unix_ms=started_unix_ms,
        vm_id=vm_id,
    )


if __name__ == "__main__":
    unittest.main()
