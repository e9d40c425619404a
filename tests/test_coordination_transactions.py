"""Transactions whose answers are lost."""

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
    """Compares the reported outcome with what the store applied."""

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
        """Decides the fate of the writer's call."""
        self.store.serve(self.task, fate)

    @stateful.rule(key=strategies.sampled_from([_ROW, _GUARD]))
    def write_as_rival(self, key: str) -> None:
        """Lets somebody else write a row."""
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
        """Lets a delayed copy arrive."""
        self.store.deliver(0)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 5.0]))
    def advance(self, seconds: float) -> None:
        """Lets time pass."""
        self.time.now += datetime.timedelta(seconds=seconds)
        self.task.wake_if_due()

    def teardown(self) -> None:
        """Compares the outcome with the store after the last copy arrived."""
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
            assert applied == 0, "reported as surely not applied"


class LostAnswerTest(LostAnswerMachine.TestCase):  # type: ignore[name-defined]
    """Fails if a lost answer leads to a false or double outcome."""

    settings = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=400,
        stateful_step_count=20,
        phases=(hypothesis.Phase.generate,),
    )


class TransactionTest(unittest.TestCase):
    """Single cases of lost answers."""

    def setUp(self) -> None:
        """Starts a store and a clock."""
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
        """Fails if a copy that arrives after the read-back runs unreported."""
        task = self.start((records.Condition(_ROW, 0),))
        self.store.serve(task, Fate.DELAYED)
        self.assertIsInstance(task.call, stepped_calls.TransactCall)
        self.store.deliver(0)
        self.store.serve(task, Fate.SERVED)
        self.store.serve(task, Fate.SERVED)
        self.assertIsInstance(task.result, records.Committed)
        self.assertEqual(self.store.applied, [_OURS])

    def test_answer_of_the_second_copy_is_lost_too(self) -> None:
        """Fails if a second loss ends the search for the outcome."""
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
        """Fails if a row is overwritten twice by one blind write."""
        task = self.start(())
        self.store.serve(task, Fate.ANSWER_LOST)
        self.assertIsInstance(task.call, stepped_calls.ReadCall)
        self.store.serve(task, Fate.SERVED)
        self.assertIsInstance(task.result, records.Committed)

    def write_as_rival(self, version: int) -> None:
        """Lets somebody else write the row over a version."""
        self.store.apply(
            records.Transaction(
                f"rival-{version}",
                (records.Condition(_ROW, version),),
                (records.Write(_ROW, "rival"),),
            )
        )

    def test_overwritten_row_is_unknown(self) -> None:
        """Fails if an applied write that was overwritten counts as refused."""
        task = self.start((records.Condition(_ROW, 0),))
        self.store.serve(task, Fate.ANSWER_LOST)
        self.write_as_rival(1)
        self.store.serve(task, Fate.SERVED)
        self.store.serve(task, Fate.SERVED)
        self.assertIsInstance(task.error, errors.OutcomeUnknownError)

    def test_old_copy_is_not_trusted_after_a_conflict(self) -> None:
        """Fails if a late read makes an applied write look refused."""
        task = self.start((records.Condition(_ROW, 0),))
        self.store.serve(task, Fate.ANSWER_LOST)
        self.store.serve(task, Fate.SERVED)
        self.store.serve(task, Fate.STALE)
        self.time.now += datetime.timedelta(seconds=1)
        task.wake_if_due()
        self.store.serve(task, Fate.SERVED)
        self.assertIsInstance(task.result, records.Committed)

    def test_silence_is_reported_as_unknown(self) -> None:
        """Fails if a writer waits for ever, or guesses, in an outage."""
        task = self.start((records.Condition(_ROW, 0),))
        self.store.serve(task, Fate.DELAYED)
        for _ in range(40):
            self.store.serve(task, Fate.REFUSED)
            self.time.now += datetime.timedelta(seconds=1)
            task.wake_if_due()
        self.assertIsInstance(task.error, errors.OutcomeUnknownError)
