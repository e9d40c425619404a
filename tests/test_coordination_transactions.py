"""Tests of transactions whose answers are lost."""

import datetime
import random
import unittest

import hypothesis
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from fireflywell import errors
from fireflywell.coordination import transactions
from fireflywell.infrastructure import records
from tests import stepped_calls

Fate = stepped_calls.Fate

_ROW = "work/a"
_GUARD = "work/guard"
_OURS = "ours"


class LostAnswerMachine(stateful.RuleBasedStateMachine):
    """Compares the reported outcome with the transactions in the store."""

    def __init__(self) -> None:
        super().__init__()
        self.time = stepped_calls.TrueTime()
        clock = stepped_calls.DriftingClock(
            self.time, 1.0, datetime.timedelta()
        )
        self.store = stepped_calls.Store()
        self.rival_writes = 0
        transaction = records.Transaction(
            _OURS,
            (records.Condition(_GUARD, 0), records.Condition(_ROW, 0)),
            (records.Write(_ROW, "ours"),),
        )
        self.task = stepped_calls.Task(
            transactions.apply_transaction(
                stepped_calls.SteppedTable(),
                transaction,
                clock,
                random.Random(1),
            ),
            clock,
        )

    @stateful.rule(fate=strategies.sampled_from(Fate))
    def serve(self, fate: Fate) -> None:
        """Applies, delays or fails the writer's pending call."""
        self.store.serve(self.task, fate)

    @stateful.rule(key=strategies.sampled_from([_ROW, _GUARD]))
    def write_as_rival(self, key: str) -> None:
        """Writes a row as another process."""
        self.rival_writes += 1
        version = self.store.read(key).version
        self.store.apply(
            records.Transaction(
                f"rival-{self.rival_writes}",
                (records.Condition(key, version),),
                (records.Write(key, "rival"),),
            )
        )

    @stateful.precondition(lambda self: self.store.delayed)
    @stateful.rule()
    def deliver(self) -> None:
        """Applies a delayed copy of the transaction."""
        self.store.deliver(0)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 5.0]))
    def advance(self, seconds: float) -> None:
        """Advances time."""
        self.time.now += datetime.timedelta(seconds=seconds)
        self.task.wake_if_due()

    def teardown(self) -> None:
        """Applies all delayed copies and checks the reported outcome."""
        while self.store.delayed:
            self.store.deliver(0)
        applied = self.store.applied.count(_OURS)
        assert applied <= 1
        if not self.task.is_done:
            self.task.kill()
            return
        if isinstance(self.task.result, records.Committed):
            assert applied == 1, "reported as applied"
        if isinstance(self.task.result, records.Conflict):
            assert applied == 0, "reported as not applied"
        if isinstance(self.task.error, errors.PlatformError):
            assert applied == 0, "reported as not applied by an error"


class LostAnswerTest(LostAnswerMachine.TestCase):  # type: ignore[name-defined]
    """Fails if the outcome is wrong or the write is applied twice."""

    settings = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=400,
        stateful_step_count=20,
        phases=(hypothesis.Phase.generate,),
    )


class TransactionTest(unittest.TestCase):
    """Tests lost answers in single scenarios."""

    def setUp(self) -> None:
        """Creates a store and a clock."""
        self.time = stepped_calls.TrueTime()
        self.clock = stepped_calls.DriftingClock(
            self.time, 1.0, datetime.timedelta()
        )
        self.store = stepped_calls.Store()

    def start(
        self, conditions: tuple[records.Condition, ...]
    ) -> stepped_calls.Task:
        """Starts a write of `_ROW`."""
        transaction = records.Transaction(
            _OURS, conditions, (records.Write(_ROW, "ours"),)
        )
        return stepped_calls.Task(
            transactions.apply_transaction(
                stepped_calls.SteppedTable(),
                transaction,
                self.clock,
                random.Random(1),
            ),
            self.clock,
        )

    def test_unchanged_row_is_not_trusted(self) -> None:
        """Fails if a copy that is applied later is reported as not applied."""
        task = self.start((records.Condition(_ROW, 0),))
        self.store.serve(task, Fate.DELAYED)
        self.assertIsInstance(task.call, stepped_calls.TransactCall)
        self.store.deliver(0)
        self.store.serve(task, Fate.SERVED)
        self.store.serve(task, Fate.SERVED)
        self.assertIsInstance(task.result, records.Committed)
        self.assertEqual(self.store.applied, [_OURS])

    def test_answer_of_the_second_copy_is_lost_too(self) -> None:
        """Fails if another lost answer ends the resolution of the outcome."""
        task = self.start((records.Condition(_ROW, 0),))
        for _ in range(3):
            self.store.serve(task, Fate.ANSWER_LOST)
            self.time.now += datetime.timedelta(seconds=1)
            task.wake_if_due()
        self.store.serve(task, Fate.SERVED)
        self.store.serve(task, Fate.SERVED)
        self.assertIsInstance(task.result, records.Committed)
        self.assertEqual(self.store.applied, [_OURS])

    def test_write_without_condition_is_not_sent_again(self) -> None:
        """Fails if a write without a condition is sent twice."""
        task = self.start(())
        self.store.serve(task, Fate.ANSWER_LOST)
        self.assertIsInstance(task.call, stepped_calls.ReadCall)
        self.store.serve(task, Fate.SERVED)
        self.assertIsInstance(task.result, records.Committed)

    def write_as_rival(self, version: int) -> None:
        """Replaces a version of the row as another process."""
        self.store.apply(
            records.Transaction(
                f"rival-{version}",
                (records.Condition(_ROW, version),),
                (records.Write(_ROW, "rival"),),
            )
        )

    def test_overwritten_row_is_unknown(self) -> None:
        """Fails if an overwritten write is reported as not applied."""
        task = self.start((records.Condition(_ROW, 0),))
        self.store.serve(task, Fate.ANSWER_LOST)
        self.write_as_rival(1)
        self.store.serve(task, Fate.SERVED)
        self.store.serve(task, Fate.SERVED)
        self.assertIsInstance(task.error, errors.OutcomeUnknownError)

    def test_stale_read_is_not_trusted_after_a_conflict(self) -> None:
        """Fails if a stale read makes an applied write look like a conflict."""
        task = self.start((records.Condition(_ROW, 0),))
        self.store.serve(task, Fate.ANSWER_LOST)
        self.store.serve(task, Fate.SERVED)
        self.store.serve(task, Fate.STALE)
        self.time.now += datetime.timedelta(seconds=1)
        task.wake_if_due()
        self.store.serve(task, Fate.SERVED)
        self.assertIsInstance(task.result, records.Committed)

    def test_outage_is_reported_as_unknown(self) -> None:
        """Fails if an outage blocks a writer forever or yields an outcome."""
        task = self.start((records.Condition(_ROW, 0),))
        self.store.serve(task, Fate.DELAYED)
        for _ in range(40):
            self.store.serve(task, Fate.REFUSED)
            self.time.now += datetime.timedelta(seconds=1)
            task.wake_if_due()
        self.assertIsInstance(task.error, errors.OutcomeUnknownError)
