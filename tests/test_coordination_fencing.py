"""Leases and fencing under pauses, drift, lost answers and late writes."""

import datetime

import hypothesis
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from fireflywell import errors
from fireflywell.coordination import lease_rows
from fireflywell.infrastructure import records
from tests import lease_harness
from tests import stepped_calls

Fate = stepped_calls.Fate
_ROLE = lease_harness.ROLE
_RATES = lease_harness.RATES
_CONTENDERS = strategies.integers(0, len(_RATES) - 1)


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Several contenders; time and the store are seen as they truly are."""

    def __init__(self) -> None:
        super().__init__()
        self.time = stepped_calls.TrueTime()
        self.store = stepped_calls.Store()
        self.lives = 0
        self.contenders = [
            lease_harness.Contender(self.time, number, 0)
            for number in range(len(_RATES))
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
        self.contenders[number] = lease_harness.Contender(
            self.time, number, self.lives
        )

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
