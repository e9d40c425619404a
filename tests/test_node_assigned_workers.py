"""Tests the stored list of workers that may run units of a service."""

import datetime
import unittest

import anyio
import msgpack

from fireflywell import clock as clock_lib
from fireflywell.node import assigned_workers
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.scheduling import service_state
from tests import late_store

_SERVICE = "desk"
_ROW_KEY = tables.locate_assigned_workers(_SERVICE)


class AssignedWorkersTest(unittest.TestCase):
    """An owner whose write of the list has no answer."""

    def test_worker_that_comes_back_is_stored_again(self) -> None:
        """Fails if a successor doesn't wait for a worker that runs units.

        The write that removed the worker had no answer and was taken as not
        applied, so that the worker's return seemed to need no write.
        """
        clock = clock_lib.ManualClock()
        store = late_store.LateStore(clock)

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

    def _read(self, store: late_store.LateStore) -> dict[str, int]:
        row = store.get(_ROW_KEY)
        assert row is not None
        incarnations, _ = msgpack.unpackb(row.value)
        return dict(incarnations)


if __name__ == "__main__":
    unittest.main()
