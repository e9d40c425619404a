"""Tests of the lease keeper in single scenarios."""

import datetime
import random
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import leases
from fireflywell.infrastructure import records
from fireflywell.standins import table_store
from tests import lease_harness
from tests import stepped_calls

Fate = stepped_calls.Fate
_ROLE = lease_harness.ROLE


class LeaseTest(unittest.TestCase):
    """Tests acquisition, renewal, release and fencing step by step."""

    def setUp(self) -> None:
        """Creates a store and two contenders."""
        self.time = stepped_calls.TrueTime()
        self.store = stepped_calls.Store()
        self.first = lease_harness.Contender(self.time, 1, 0)
        self.second = lease_harness.Contender(self.time, 1, 1)

    def step(self, contender: lease_harness.Contender, *fates: Fate) -> None:
        """Runs a step with the given fates of its first calls."""
        task = stepped_calls.Task(contender.keeper.step(), contender.clock)
        for fate in fates:
            self.store.serve(task, fate)
        for _ in range(20):
            self.store.serve(task, Fate.SERVED)
            if task.is_done:
                return
            self.advance_seconds(0.2)
            task.wake_if_due()
        raise AssertionError("the step doesn't end")

    def advance_seconds(self, seconds: float) -> None:
        """Advances true time."""
        self.time.now += datetime.timedelta(seconds=seconds)

    def test_successor_waits_for_duration_and_margin(self) -> None:
        """Fails if a crashed holder's lease is acquired too early or never."""
        self.step(self.first)
        self.step(self.second)
        self.advance_seconds(5.9)
        self.step(self.second)
        self.assertIsNone(self.second.keeper.current)
        self.advance_seconds(0.2)
        self.step(self.second)
        lease = self.second.keeper.current
        self.assertIsNotNone(lease)
        self.assertEqual(lease.token, 2)

    def test_renewed_lease_is_not_taken_over(self) -> None:
        """Fails if an observer takes over a lease that is being renewed."""
        for _ in range(20):
            self.step(self.first)
            self.step(self.second)
            self.advance_seconds(1)
        self.assertEqual(self.first.keeper.current.token, 1)
        self.assertIsNone(self.second.keeper.current)

    def test_released_lease_can_be_acquired_at_once(self) -> None:
        """Fails if a successor waits for the expiry of a released lease."""
        self.step(self.first)
        self.step(self.first)
        release = stepped_calls.Task(
            self.first.keeper.release(), self.first.clock
        )
        self.assertIsNone(self.first.keeper.current)
        while not release.is_done:
            self.store.serve(release, Fate.SERVED)
        self.step(self.second)
        self.assertEqual(self.second.keeper.current.token, 2)

    def test_lost_answer_to_acquire(self) -> None:
        """Fails if a lost answer to the acquiring write loses the lease."""
        self.step(self.first, Fate.SERVED, Fate.ANSWER_LOST)
        self.assertEqual(self.first.keeper.current.token, 1)

    def test_lost_answer_to_renewal(self) -> None:
        """Fails if a lost answer to a renewal ends the lease."""
        self.step(self.first)
        for _ in range(6):
            self.advance_seconds(1)
            self.step(self.first, Fate.ANSWER_LOST)
            self.assertEqual(self.first.keeper.current.token, 1)

    def test_expired_lease_is_acquired_under_a_new_token(self) -> None:
        """Fails if a late write under the expired token is applied."""
        self.step(self.first)
        task = stepped_calls.Task(
            self.first.fenced.transact(
                records.Transaction(
                    "late", (), (records.Write("work/row", "late"),)
                )
            ),
            self.first.clock,
        )
        self.store.serve(task, Fate.DELAYED)
        self.advance_seconds(4.5)
        self.assertIsNone(self.first.keeper.current)
        self.step(self.first)
        self.assertEqual(self.first.keeper.current.token, 2)
        self.store.deliver(0)
        self.assertEqual(self.store.read("work/row").version, 0)

    def check_late_answer(self, task: stepped_calls.Task) -> None:
        """Applies a pending write and delivers its answer 3.5 s later.

        The second contender must then be able to take over, and the first one
        must not hold the lease.
        """
        self.store.serve(task, Fate.DELAYED)
        self.store.deliver(0)
        self.step(self.second)
        self.advance_seconds(3.5)
        while not task.is_done:
            self.store.serve(task, Fate.SERVED)
        self.advance_seconds(2.6)
        self.step(self.second)
        self.assertIsNotNone(self.second.keeper.current)
        self.assertIsNone(self.first.keeper.current)

    def test_acquire_counts_from_before_it_was_sent(self) -> None:
        """Fails if validity is measured from the answer to the acquisition."""
        task = stepped_calls.Task(self.first.keeper.step(), self.first.clock)
        self.store.serve(task, Fate.SERVED)
        self.check_late_answer(task)

    def test_renewal_counts_from_before_it_was_sent(self) -> None:
        """Fails if validity is measured from the answer to a renewal."""
        self.step(self.first)
        self.advance_seconds(0.1)
        task = stepped_calls.Task(self.first.keeper.step(), self.first.clock)
        self.check_late_answer(task)

    def test_stale_reads_dont_take_a_renewed_lease(self) -> None:
        """Fails if an observer with stale reads takes over a renewed lease."""
        self.step(self.first)
        keys = ("lease/" + _ROLE, "fence/" + _ROLE)
        old = tuple(self.store.read(key) for key in keys)
        for _ in range(9):
            self.advance_seconds(1)
            self.step(self.first)
            task = stepped_calls.Task(
                self.second.keeper.step(), self.second.clock
            )
            task.answer(old)
            self.store.serve(task, Fate.SERVED)
            self.assertIsNone(self.second.keeper.current)
        self.assertIsNotNone(self.first.keeper.current)

    def test_stale_reads_dont_delay_a_takeover(self) -> None:
        """Fails if a read of a lower version restarts the observer's wait."""
        self.step(self.first)
        keys = ("lease/" + _ROLE, "fence/" + _ROLE)
        old = tuple(self.store.read(key) for key in keys)
        self.advance_seconds(1)
        self.step(self.first)
        self.step(self.second)
        for _ in range(6):
            self.advance_seconds(1)
            task = stepped_calls.Task(
                self.second.keeper.step(), self.second.clock
            )
            task.answer(old)
        self.advance_seconds(0.1)
        self.step(self.second)
        self.assertIsNotNone(self.second.keeper.current)

    def test_fenced_write_after_takeover_drops_the_lease(self) -> None:
        """Fails if a holder keeps its lease after a conflict on the fence."""
        self.step(self.first)
        self.store.apply(
            records.Transaction(
                "x", (), (records.Write("fence/" + _ROLE, '{"token": 2}'),)
            )
        )
        task = stepped_calls.Task(
            self.first.fenced.transact(records.Transaction("w", (), ())),
            self.first.clock,
        )
        self.store.serve(task, Fate.SERVED)
        self.assertIsInstance(task.error, errors.LeaseLostError)
        self.assertIsNone(self.first.keeper.current)


class KeeperRunTest(unittest.TestCase):
    """Tests the keeper as a running task."""

    def test_run_holds_waits_and_releases(self) -> None:
        """Fails if waiting tasks aren't woken or cancelling keeps the lease."""
        anyio.run(self._run)

    async def _run(self) -> None:
        clock = clock_lib.ManualClock()
        table = table_store.MemoryTable()
        keeper = leases.LeaseKeeper(
            _ROLE, "one", table, clock, random.Random(1)
        )
        async with anyio.create_task_group() as group:
            group.start_soon(keeper.run)
            lease = await keeper.wait_until_held()
            ended = anyio.Event()

            async def wait_lost() -> None:
                await keeper.wait_until_lost(lease.token)
                ended.set()

            group.start_soon(wait_lost)
            await self._advance(clock, 10)
            self.assertFalse(ended.is_set())
            table.set_down(True)
            await self._advance(clock, 6)
            self.assertTrue(ended.is_set())
            self.assertIsNone(keeper.current)
            table.set_down(False)
            await self._advance(clock, 2)
            self.assertIsNotNone(keeper.current)
            group.cancel_scope.cancel()
        (row,) = await table.read(("lease/" + _ROLE,))
        self.assertIn('"holder": ""', row.value)

    async def _advance(self, clock: clock_lib.ManualClock, count: int) -> None:
        for _ in range(count):
            await anyio.wait_all_tasks_blocked()
            clock.advance(datetime.timedelta(seconds=1))
        await anyio.wait_all_tasks_blocked()
