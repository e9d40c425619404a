"""Model test of leases: pauses, clock drift, lost answers, late writes."""

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
    """Runs contenders with drifting clocks against true time and one store."""

    def __init__(self) -> None:
        super().__init__()
        self.time = stepped_calls.TrueTime()
        self.store = stepped_calls.Store()
        self.restart_count = 0
        self.contenders = [
            lease_harness.Contender(self.time, number, 0)
            for number in range(len(_RATES))
        ]
        self.tokens_by_write_id: dict[str, int] = {}

    @stateful.rule(
        seconds=strategies.sampled_from([0.5, 1.0, 2.0, 3.5, 4.0, 5.5])
    )
    def advance(self, seconds: float) -> None:
        """Advances true time."""
        self.time.now += datetime.timedelta(seconds=seconds)
        for contender in self.contenders:
            if contender.task is not None:
                contender.task.wake_if_due()

    @stateful.rule(holder=_CONTENDERS, observer=_CONTENDERS)
    def race(self, holder: int, observer: int) -> None:
        """Runs a step of one contender, then steps of another for 7 s.

        That is long enough for the second one to take over.
        """
        self.finish_step(holder)
        for _ in range(14):
            self.finish_step(observer)
            self.only_one_holder()
            self.advance(0.5)

    @stateful.rule(number=_CONTENDERS)
    def begin_step(self, number: int) -> None:
        """Starts a step, which waits at its first call to the store."""
        contender = self.contenders[number]
        if contender.is_idle:
            contender.task = stepped_calls.Task(
                contender.keeper.step(), contender.clock
            )

    @stateful.rule(number=_CONTENDERS, fate=strategies.sampled_from(Fate))
    def serve(self, number: int, fate: Fate) -> None:
        """Applies, delays or fails a pending call."""
        contender = self.contenders[number]
        if contender.task is not None:
            self.store.serve(contender.task, fate)

    @stateful.rule(number=_CONTENDERS)
    def finish_step(self, number: int) -> None:
        """Runs a step without faults until it ends or sleeps."""
        self.begin_step(number)
        task = self.contenders[number].task
        while task is not None and not task.is_done:
            if isinstance(task.call, stepped_calls.SleepCall):
                return
            self.store.serve(task, Fate.SERVED)

    @stateful.precondition(lambda self: self.store.delayed)
    @stateful.rule(index=strategies.integers(0, 9))
    def deliver(self, index: int) -> None:
        """Applies a delayed transaction."""
        before = len(self.store.applied)
        transaction = self.store.deliver(index)
        if len(self.store.applied) > before:
            self.check_token(transaction)

    @stateful.rule(number=_CONTENDERS, is_late=strategies.booleans())
    def write(self, number: int, is_late: bool) -> None:
        """Writes a fenced row, which the store applies at once or later."""
        contender = self.contenders[number]
        lease = contender.keeper.current
        write_id = f"work-{len(self.tokens_by_write_id)}"
        transaction = records.Transaction(
            write_id, (), (records.Write("work/row", write_id),)
        )
        task = stepped_calls.Task(
            contender.fenced.transact(transaction), contender.clock
        )
        if lease is None:
            assert isinstance(task.error, errors.LeaseLostError)
            return
        self.tokens_by_write_id[write_id] = lease.token
        self.store.serve(task, Fate.DELAYED if is_late else Fate.SERVED)
        if isinstance(task.result, records.Committed):
            self.check_token(transaction)

    @stateful.rule(number=_CONTENDERS)
    def restart(self, number: int) -> None:
        """Kills a process and starts it again without its former state."""
        task = self.contenders[number].task
        if task is not None:
            task.kill()
        self.restart_count += 1
        self.contenders[number] = lease_harness.Contender(
            self.time, number, self.restart_count
        )

    @stateful.rule(number=_CONTENDERS)
    def stop_gracefully(self, number: int) -> None:
        """Cancels a step and starts to release the lease."""
        contender = self.contenders[number]
        if contender.task is not None:
            contender.task.kill()
        contender.task = stepped_calls.Task(
            contender.keeper.release(), contender.clock
        )

    @stateful.invariant()
    def only_one_holder(self) -> None:
        """Checks that at most one process holds the lease by its own clock."""
        tokens = [
            contender.keeper.current.token
            for contender in self.contenders
            if contender.keeper.current is not None
        ]
        assert len(tokens) <= 1, tokens

    def check_token(self, transaction: records.Transaction) -> None:
        """Checks that an applied write carries the fence's current token."""
        token = self.tokens_by_write_id.get(transaction.write_id)
        if token is None:
            return
        row = self.store.read(lease_rows.make_fence_key(_ROLE))
        assert row.value == f'{{"token": {token}}}', (token, row.value)


class LeaseModelTest(LeaseMachine.TestCase):  # type: ignore[name-defined]
    """Fails if two processes hold the lease or an old token's write applies."""

    settings = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=300,
        stateful_step_count=30,
        # Shrinking a failure of this machine takes minutes.
        phases=(hypothesis.Phase.generate,),
    )
