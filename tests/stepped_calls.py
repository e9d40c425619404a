"""Steps coroutines and sets the outcome of each of their store calls."""

from collections.abc import Coroutine
from collections.abc import Generator
import dataclasses
import datetime
import enum
from typing import Any

from fireflywell import errors
from fireflywell.infrastructure import records
from fireflywell.standins import table_store


class Fate(enum.StrEnum):
    """Outcome of one call to the store."""

    SERVED = "served"
    ANSWER_LOST = "answer lost"
    DELAYED = "delayed, answer lost"
    DROPPED = "dropped, answer lost"
    REFUSED = "store down"
    STALE = "read from an old copy"


@dataclasses.dataclass(frozen=True, slots=True)
class TransactCall:
    """A transaction that waits for its outcome."""

    transaction: records.Transaction

    def __await__(self) -> Generator[Any, Any, Any]:
        return (yield self)


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCall:
    """A read that waits for its outcome."""

    keys: tuple[str, ...]

    def __await__(self) -> Generator[Any, Any, Any]:
        return (yield self)


@dataclasses.dataclass(frozen=True, slots=True)
class SleepCall:
    """A sleep until a time of the sleeping task's clock."""

    until: datetime.timedelta

    def __await__(self) -> Generator[Any, Any, Any]:
        return (yield self)


class TrueTime:
    """Reference time from which all clocks of a test are derived."""

    def __init__(self) -> None:
        self.now = datetime.timedelta()


class DriftingClock:
    """A process's clock with its own rate and start."""

    def __init__(
        self, time: TrueTime, rate: float, start: datetime.timedelta
    ) -> None:
        self._time = time
        self._rate = rate
        self._start = start

    def monotonic(self) -> datetime.timedelta:
        """Returns this clock's time."""
        return self._start + self._time.now * self._rate

    def now(self) -> datetime.datetime:
        """Fails, as leases must not use wall clocks."""
        raise AssertionError("read a wall clock")

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits until `Task.wake_if_due` finds that the time has passed."""
        await SleepCall(self.monotonic() + duration)


class SteppedTable:
    """Table whose calls wait until the test sets their outcome."""

    async def transact(
        self, transaction: records.Transaction
    ) -> records.TransactionResult:
        """Returns the outcome that the test sets for a transaction."""
        return await TransactCall(transaction)

    async def read(self, keys: tuple[str, ...]) -> tuple[records.Row, ...]:
        """Returns the outcome that the test sets for a read."""
        return await ReadCall(keys)

    async def scan(
        self, prefix: str, after_key: str = "", after_revision: int = 0
    ) -> records.ScanPage:
        """Isn't used by these tests."""
        raise AssertionError((prefix, after_key, after_revision))


def run_now(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Returns the result of a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine waits")


class Task:
    """A coroutine that runs until its next call and is resumed by the test."""

    def __init__(
        self, coroutine: Coroutine[Any, Any, Any], clock: DriftingClock
    ) -> None:
        self._coroutine = coroutine
        self._clock = clock
        self.call: TransactCall | ReadCall | SleepCall | None = None
        self.result: Any = None
        self.error: errors.FireflywellError | None = None
        self.is_done = False
        self._resume(lambda: coroutine.send(None))

    def answer(self, value: Any) -> None:
        """Continues with the answer of the call."""
        self._resume(lambda: self._coroutine.send(value))

    def fail(self, error: Exception) -> None:
        """Continues with an error of the call."""
        self._resume(lambda: self._coroutine.throw(error))

    def wake_if_due(self) -> None:
        """Resumes a sleep that has reached its time."""
        call = self.call
        if isinstance(call, SleepCall) and self._clock.monotonic() >= (
            call.until
        ):
            self.answer(None)

    def kill(self) -> None:
        """Ends the coroutine, as a crash of its process does."""
        self._coroutine.close()
        self.is_done = True
        self.call = None

    def _resume(self, resume: Any) -> None:
        try:
            self.call = resume()
        except StopIteration as stop:
            self.call, self.result, self.is_done = None, stop.value, True
        except errors.FireflywellError as error:
            self.call, self.error, self.is_done = None, error, True


class Store:
    """A memory table that can apply transactions late and read old copies."""

    def __init__(self) -> None:
        self.table = table_store.MemoryTable()
        self.delayed: list[records.Transaction] = []
        self.applied: list[str] = []
        self._copies: list[table_store.MemoryTable] = [self.table.copy()]

    def apply(
        self, transaction: records.Transaction
    ) -> records.TransactionResult:
        """Applies a transaction now."""
        result = run_now(self.table.transact(transaction))
        if isinstance(result, records.Committed):
            self.applied.append(transaction.write_id)
            self._copies = [*self._copies[-3:], self.table.copy()]
        return result

    def read(self, key: str) -> records.Row:
        """Returns the current row of a key."""
        return run_now(self.table.read((key,)))[0]

    def deliver(self, index: int) -> records.Transaction:
        """Applies one delayed transaction."""
        transaction = self.delayed.pop(index % len(self.delayed))
        self.apply(transaction)
        return transaction

    def serve(self, task: Task, fate: Fate) -> None:
        """Resumes a task with the given outcome of its current call."""
        match task.call, fate:
            case (None | SleepCall()), _:
                return
            case _, Fate.REFUSED:
                task.fail(errors.PlatformUnavailableError("down"))
            case TransactCall(transaction), (Fate.SERVED | Fate.STALE):
                task.answer(self.apply(transaction))
            case TransactCall(transaction), _:
                if fate is Fate.ANSWER_LOST:
                    self.apply(transaction)
                if fate is Fate.DELAYED:
                    self.delayed.append(transaction)
                task.fail(errors.AnswerLostError("lost"))
            case ReadCall(keys), Fate.SERVED:
                task.answer(run_now(self.table.read(keys)))
            case ReadCall(keys), Fate.STALE:
                task.answer(run_now(self._copies[0].read(keys)))
            case _:
                task.fail(errors.AnswerLostError("lost"))
