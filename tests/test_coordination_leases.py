"""Leases and fencing under pauses, drift, lost answers and late writes."""

import datetime
import random
import unittest

import anyio
import hypothesis
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import lease_rows
from fireflywell.coordination import leases
from fireflywell.platform import records
from fireflywell.standins import table_store
from tests import stepped_calls

Fate = stepped_calls.Fate

_ROLE = "maintenance"
# With 5 s and a margin of 1 s the rates of two clocks may differ by a factor
# of 6 / 4.
_RATES = (0.85, 1.0, 1.2)
_CONTENDERS = strategies.integers(0, len(_RATES) - 1)


class Contender:
    """One process: a clock, a keeper and at most one running call."""

    def __init__(
        self, time: stepped_calls.TrueTime, number: int, life: int
    ) -> None:
        start = datetime.timedelta(seconds=1000 * number)
        self.clock = stepped_calls.DriftingClock(time, _RATES[number], start)
        self.table = stepped_calls.SteppedTable()
        self.keeper = leases.LeaseKeeper(
            _ROLE,
            f"process-{number}",
            self.table,
            self.clock,
            random.Random(number * 1000 + life),
        )
        self.fenced = leases.FencedTable(self.table, self.keeper)
        self.task: stepped_calls.Task | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no call of the keeper is running."""
        return self.task is None or self.task.is_done


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Several contenders; time and the store are seen as they truly are."""

    def __init__(self) -> None:
        super().__init__()
        self.time = stepped_calls.TrueTime()
        self.store = stepped_calls.Store()
        self.lives = 0
        self.contenders = [
            Contender(self.time, number, 0) for number in range(len(_RATES))
        ]
        self.authors: dict[str, int] = {}

    @stateful.rule(
        seconds=strategies.sampled_from([0.5, 1.0, 2.0, 3.5, 4.0, 5.5])
    )
    def advance(self, seconds: float) -> None:
        """Lets true time pass."""
        self.time.now += datetime.timedelta(seconds=seconds)
        for contender in self.contenders:
            if contender.task is not None:
                contender.task.wake_if_due()

    @stateful.rule(holder=_CONTENDERS, observer=_CONTENDERS)
    def race(self, holder: int, observer: int) -> None:
        """Lets one step, another see it, and the second step till it may."""
        self.finish_step(holder)
        for _ in range(14):
            self.finish_step(observer)
            self.only_one_holder()
            self.advance(0.5)

    @stateful.rule(number=_CONTENDERS)
    def begin_step(self, number: int) -> None:
        """Starts a step, which then waits at its first call."""
        contender = self.contenders[number]
        if contender.is_idle:
            contender.task = stepped_calls.Task(
                contender.keeper.step(), contender.clock
            )

    @stateful.rule(number=_CONTENDERS, fate=strategies.sampled_from(Fate))
    def serve(self, number: int, fate: Fate) -> None:
        """Decides the fate of a pending call."""
        contender = self.contenders[number]
        if contender.task is not None:
            self.store.serve(contender.task, fate)

    @stateful.rule(number=_CONTENDERS)
    def finish_step(self, number: int) -> None:
        """Runs a step to its end without a fault."""
        self.begin_step(number)
        task = self.contenders[number].task
        while task is not None and not task.is_done:
            if isinstance(task.call, stepped_calls.SleepCall):
                return
            self.store.serve(task, Fate.SERVED)

    @stateful.precondition(lambda self: self.store.delayed)
    @stateful.rule(index=strategies.integers(0, 9))
    def deliver(self, index: int) -> None:
        """Lets a delayed transaction arrive."""
        before = len(self.store.applied)
        transaction = self.store.deliver(index)
        if len(self.store.applied) > before:
            self.check_author(transaction)

    @stateful.rule(number=_CONTENDERS, is_late=strategies.booleans())
    def write(self, number: int, is_late: bool) -> None:
        """Writes a row of the role, at once or late."""
        contender = self.contenders[number]
        lease = contender.keeper.current
        write_id = f"work-{len(self.authors)}"
        transaction = records.Transaction(
            write_id, (), (records.Write("work/row", write_id),)
        )
        task = stepped_calls.Task(
            contender.fenced.transact(transaction), contender.clock
        )
        if lease is None:
            assert isinstance(task.error, errors.LeaseLostError)
            return
        self.authors[write_id] = lease.token
        self.store.serve(task, Fate.DELAYED if is_late else Fate.SERVED)
        if isinstance(task.result, records.Committed):
            self.check_author(transaction)

    @stateful.rule(number=_CONTENDERS)
    def restart(self, number: int) -> None:
        """Kills a process and starts it again with an empty memory."""
        task = self.contenders[number].task
        if task is not None:
            task.kill()
        self.lives += 1
        self.contenders[number] = Contender(self.time, number, self.lives)

    @stateful.rule(number=_CONTENDERS)
    def stop_gracefully(self, number: int) -> None:
        """Cancels a step and begins to release."""
        contender = self.contenders[number]
        if contender.task is not None:
            contender.task.kill()
        contender.task = stepped_calls.Task(
            contender.keeper.release(), contender.clock
        )

    @stateful.invariant()
    def only_one_holder(self) -> None:
        """Checks that at most one process may act."""
        tokens = [
            contender.keeper.current.token
            for contender in self.contenders
            if contender.keeper.current is not None
        ]
        assert len(tokens) <= 1, tokens

    def check_author(self, transaction: records.Transaction) -> None:
        """Checks an applied write against the fence at this moment."""
        author = self.authors.get(transaction.write_id)
        if author is None:
            return
        row = self.store.read(lease_rows.make_fence_key(_ROLE))
        assert row.value == f'{{"token": {author}}}', (author, row.value)


class LeaseModelTest(LeaseMachine.TestCase):  # type: ignore[name-defined]
    """Fails if two processes may act, or a former holder's write counts."""

    settings = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=300,
        stateful_step_count=30,
        # Shrinking a failure of this machine takes minutes.
        phases=(hypothesis.Phase.generate,),
    )


class LeaseTest(unittest.TestCase):
    """Single promises of the keeper."""

    def setUp(self) -> None:
        """Starts a store and two processes."""
        self.time = stepped_calls.TrueTime()
        self.store = stepped_calls.Store()
        self.first = Contender(self.time, 1, 0)
        self.second = Contender(self.time, 1, 1)

    def step(self, contender: Contender, *fates: Fate) -> None:
        """Runs a step; the given fates apply to its first calls."""
        task = stepped_calls.Task(contender.keeper.step(), contender.clock)
        for fate in fates:
            self.store.serve(task, fate)
        for _ in range(20):
            self.store.serve(task, Fate.SERVED)
            if task.is_done:
                return
            self.pass_seconds(0.2)
            task.wake_if_due()
        raise AssertionError("the step doesn't end")

    def pass_seconds(self, seconds: float) -> None:
        """Lets time pass."""
        self.time.now += datetime.timedelta(seconds=seconds)

    def test_successor_waits_for_duration_and_margin(self) -> None:
        """Fails if a dead holder's lease is taken too early or never."""
        self.step(self.first)
        self.step(self.second)
        self.pass_seconds(5.9)
        self.step(self.second)
        self.assertIsNone(self.second.keeper.current)
        self.pass_seconds(0.2)
        self.step(self.second)
        lease = self.second.keeper.current
        self.assertIsNotNone(lease)
        self.assertEqual(lease.token, 2)

    def test_renewed_lease_stays(self) -> None:
        """Fails if renewals don't keep observers away."""
        for _ in range(20):
            self.step(self.first)
            self.step(self.second)
            self.pass_seconds(1)
        self.assertEqual(self.first.keeper.current.token, 1)
        self.assertIsNone(self.second.keeper.current)

    def test_release_lets_successor_in_at_once(self) -> None:
        """Fails if a graceful stop costs the lease's duration."""
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
        """Fails if an acquired lease isn't used because its answer is lost."""
        self.step(self.first, Fate.SERVED, Fate.ANSWER_LOST)
        self.assertEqual(self.first.keeper.current.token, 1)

    def test_lost_answer_to_renewal(self) -> None:
        """Fails if a renewal whose answer is lost ends the lease."""
        self.step(self.first)
        for _ in range(6):
            self.pass_seconds(1)
            self.step(self.first, Fate.ANSWER_LOST)
            self.assertEqual(self.first.keeper.current.token, 1)

    def test_lapsed_lease_comes_back_under_a_new_token(self) -> None:
        """Fails if writes from before a pause count after it."""
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
        self.pass_seconds(4.5)
        self.assertIsNone(self.first.keeper.current)
        self.step(self.first)
        self.assertEqual(self.first.keeper.current.token, 2)
        self.store.deliver(0)
        self.assertEqual(self.store.read("work/row").version, 0)

    def test_fenced_write_after_takeover_drops_the_lease(self) -> None:
        """Fails if a holder goes on after the store showed a successor."""
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
    """The keeper as a task."""

    def test_run_holds_waits_and_releases(self) -> None:
        """Fails if waiting tasks aren't woken or a cancel keeps the lease."""
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
            for _ in range(10):
                await anyio.wait_all_tasks_blocked()
                clock.advance(datetime.timedelta(seconds=1))
            self.assertFalse(ended.is_set())
            table.set_down(True)
            for _ in range(5):
                await anyio.wait_all_tasks_blocked()
                clock.advance(datetime.timedelta(seconds=1))
            await ended.wait()
            self.assertIsNone(keeper.current)
            table.set_down(False)
            clock.advance(datetime.timedelta(seconds=1))
            await keeper.wait_until_held()
            group.cancel_scope.cancel()
        (row,) = await table.read(("lease/" + _ROLE,))
        self.assertIn('"holder": ""', row.value)
