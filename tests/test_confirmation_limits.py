"""Tests how long an owner waits for the answer that confirms its ownership."""

import contextlib
import datetime
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import ownership
from fireflywell.node import ownership_guard
from fireflywell.node import tables
from fireflywell.standins import row_store as store_standin
from tests import node_world

_SHORT = datetime.timedelta(milliseconds=500)

# The platform's store takes up to 60 times 10 ms while it is slow.
_SLOW_ANSWER = datetime.timedelta(milliseconds=600)


class _Store(store_standin.MemoryRowStore):
    """Records the time limits of transactions; each loses its answer."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        super().__init__(clock)
        self.timeouts: list[datetime.timedelta] = []

    async def transact(
        self,
        transaction: row_store.Transaction,
        timeout: datetime.timedelta | None = None,
    ) -> row_store.Committed | row_store.Conflict:
        """Applies a transaction without an answer."""
        assert timeout is not None
        self.timeouts.append(timeout)
        self.lose_answers = 1
        return await super().transact(transaction, timeout)


class _Heartbeat:
    """A lease that lapsed and is valid again."""

    incarnation = "a-1"
    is_valid = True

    def __init__(self, clock: clock_lib.Clock) -> None:
        clock_step = datetime.timedelta(milliseconds=1)
        self.valid_since = clock.monotonic() + clock_step


class ConfirmationTimeoutTest(unittest.TestCase):
    """An owner whose confirmations get no answer."""

    def test_lost_answer_is_noticed_soon_and_a_slow_one_awaited(self) -> None:
        """Fails if an owner starts nothing for long after one lost answer.

        With the limit of any other call, a lost answer stopped all starts of
        the service for 1.5 s. A store that is slow must still be heard.
        """

        async def run() -> list[datetime.timedelta]:
            clock = clock_lib.ManualClock()
            store = _Store(clock)
            version = store.put(
                tables.locate_owner(node_world.SERVICE), b"owner"
            )
            guard = ownership_guard.OwnershipGuard(
                ownership.Tenure(node_world.SERVICE, 1, version, True),
                store,
                _Heartbeat(clock),  # type: ignore[arg-type]
                clock,
            )
            for _ in range(6):
                with contextlib.suppress(errors.AnswerLostError):
                    await guard.confirm()
            return store.timeouts

        timeouts = anyio.run(run)
        self.assertLess(timeouts[0], _SHORT)
        self.assertGreater(timeouts[-1], _SLOW_ANSWER)
        self.assertLess(timeouts[-1], 4 * _SHORT)


if __name__ == "__main__":
    unittest.main()
