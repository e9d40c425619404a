"""Tests the stored list of workers that may run units of a service."""

import datetime
import unittest

import anyio
import msgpack

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import assigned_workers
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.scheduling import service_state
from fireflywell.standins import row_store as store_standin

_SERVICE = "desk"
_ROW_KEY = tables.locate_assigned_workers(_SERVICE)


class LateStore(store_standin.MemoryRowStore):
    """A store that may apply a transaction late and without an answer."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        super().__init__(clock)
        self.is_late = False
        self.late: list[row_store.Transaction] = []

    async def transact(
        self,
        transaction: row_store.Transaction,
        timeout: datetime.timedelta | None = None,
    ) -> row_store.Committed | row_store.Conflict:
        """Applies a transaction, or keeps it for `apply_late`."""
        if self.is_late:
            self.late.append(transaction)
            raise errors.AnswerLostError("no answer")
        return await super().transact(transaction, timeout)

    async def apply_late(self) -> None:
        """Applies the transactions that had no answer, and all later ones."""
        self.is_late = False
        for transaction in self.late:
            await super().transact(transaction)


class AssignedWorkersTest(unittest.TestCase):
    """An owner whose write of the list has no answer."""

    def test_worker_that_comes_back_is_stored_again(self) -> None:
        """Fails if a successor doesn't wait for a worker that runs units.

        The write that removed the worker had no answer and was taken as not
        applied, so that the worker's return seemed to need no write.
        """
        clock = clock_lib.ManualClock()
        store = LateStore(clock)

        async def run() -> None:
            version = store.put(tables.locate_owner(_SERVICE), b"owner")
            workers = assigned_workers.AssignedWorkers(
                ownership.Tenure(_SERVICE, 1, version, is_first=True),
                service_state.ServiceState(1),
                store,
                lambda: None,
            )
            await workers.load(datetime.timedelta())
            both = {"w1": 1, "w2": 1}
            self.assertTrue(await workers.store_incarnations(both))
            store.is_late = True
            self.assertTrue(await workers.store_incarnations({"w1": 1}))
            may_send = await workers.store_incarnations(both)
            await store.apply_late()
            self.assertFalse(may_send)
            while not await workers.store_incarnations(both):
                pass
            self.assertEqual(self._read(store), both)

        anyio.run(run)

    def _read(self, store: LateStore) -> dict[str, int]:
        row = store.get(_ROW_KEY)
        assert row is not None
        incarnations, _ = msgpack.unpackb(row.value)
        return dict(incarnations)


if __name__ == "__main__":
    unittest.main()
