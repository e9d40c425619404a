"""Writes of progress that fail in other ways than a lost answer."""

import contextlib
import datetime
import random
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import ownership
from fireflywell.node import progress_writer
from fireflywell.node import tables
from fireflywell.standins import row_store as store_standin
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib
from tests import node_world
from tests import scheduling_samples as samples

_REJECTED_ID = "00000000000000a1"
_RETENTION = datetime.timedelta(seconds=60)
_TIME_LIMIT_S = 4.0


class _FaultyStore(store_standin.MemoryRowStore):
    """A store that rejects one job's row, or fails once.

    Attributes:
        rejects: Whether the row is rejected.
        unexpected: An error that the next transaction raises, or None.
    """

    __slots__ = ("rejects", "unexpected")

    rejects: bool
    unexpected: Exception | None

    async def transact(
        self,
        transaction: row_store.Transaction,
        timeout: datetime.timedelta | None = None,
    ) -> row_store.Committed | row_store.Conflict:
        """Applies a transaction unless it is to fail."""
        error, self.unexpected = self.unexpected, None
        if error is not None:
            raise error
        keys = [put.row_key.key for put in transaction.puts]
        if self.rejects and _REJECTED_ID in keys:
            raise errors.PlatformRejectedError("a row is too large")
        return await super().transact(transaction, timeout)


class TenureCheckTest(unittest.TestCase):
    """A check of the tenure after a worker has refused a fencing token."""

    def _count_ends(self, *, is_replaced: bool) -> int:
        """Returns how often the writer found the tenure to be over."""
        clock = clock_lib.SystemClock()
        store = store_standin.MemoryRowStore(clock)
        row_key = tables.locate_owner(node_world.SERVICE)
        version = store.put(row_key, b"owner")
        ends: list[None] = []
        writer = progress_writer.ProgressWriter(
            ownership.Tenure(node_world.SERVICE, 1, version, True),
            samples.make_state("w1"),
            store,
            clock,
            random.Random(1),
            _RETENTION,
            lambda: ends.append(None),
        )
        if is_replaced:
            store.put(row_key, b"successor")

        async def run_writer() -> None:
            with contextlib.suppress(errors.TenureLostError):
                await writer.run()

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(run_writer)
                for _ in range(4):
                    writer.check_tenure()
                    await anyio.sleep(0.1)
                group.cancel_scope.cancel()

        anyio.run(run)
        # The refused calls share one write.
        self.assertEqual(store.calls, 1)
        return len(ends)

    def test_replaced_owner_without_changes_stops(self) -> None:
        """Fails if a fenced owner goes on because it has nothing to store.

        The check only woke the writer, which wrote nothing without a changed
        job.
        """
        self.assertEqual(self._count_ends(is_replaced=True), 1)

    def test_owner_that_was_not_replaced_goes_on(self) -> None:
        """Fails if an unrelated refusal ends a tenure."""
        self.assertEqual(self._count_ends(is_replaced=False), 0)


class WriterTest(unittest.TestCase):
    """A supervised writer with several cancelled jobs to store."""

    def store_jobs(
        self, count: int, expected: int, store: _FaultyStore
    ) -> set[str]:
        """Returns the jobs that are stored in time.

        Args:
            count: Number of jobs, the first of which may be rejected.
            expected: Number of jobs to wait for.
            store: The store.
        """
        clock = clock_lib.SystemClock()
        rng = random.Random(1)
        version = store.put(tables.locate_owner(node_world.SERVICE), b"owner")
        state = samples.make_state("w1")
        writer = progress_writer.ProgressWriter(
            ownership.Tenure(node_world.SERVICE, 1, version, True),
            state,
            store,
            clock,
            rng,
            _RETENTION,
            lambda: None,
        )
        child = supervisor_lib.Child(
            "writer", writer.run, policies.RestartWithBackoff()
        )
        tree = supervisor_lib.Supervisor("test", clock, rng, (child,))
        table = tables.name_progress_table(node_world.SERVICE)

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(tree.run)
                for number in range(count):
                    job_id = f"{int(_REJECTED_ID, 16) + number:016x}"
                    state.add_job(samples.make_job(job_id))
                    state.cancel_job(job_id)
                writer.wake()
                with anyio.move_on_after(_TIME_LIMIT_S):
                    while len(store.list_table(table)) < expected:
                        await anyio.sleep(0.02)
                group.cancel_scope.cancel()

        anyio.run(run)
        return {row.row_key.key for row in store.list_table(table)}

    def make_store(
        self, *, rejects: bool = False, unexpected: Exception | None = None
    ) -> _FaultyStore:
        """Returns a store with the given fault."""
        store = _FaultyStore(clock_lib.SystemClock())
        store.rejects = rejects
        store.unexpected = unexpected
        return store

    def test_changes_outlast_an_unexpected_error(self) -> None:
        """Fails if the changes of a batch are lost with the writer's task.

        The final state of its jobs was never stored.
        """
        store = self.make_store(unexpected=ValueError("odd answer"))
        self.assertEqual(len(self.store_jobs(2, 2, store)), 2)

    def test_rejected_row_does_not_keep_the_others_out(self) -> None:
        """Fails if one row that the store rejects stops all progress.

        Its batch was repeated for ever, so no job of the service ended.
        """
        stored = self.store_jobs(60, 59, self.make_store(rejects=True))
        self.assertEqual(len(stored), 59)
        self.assertNotIn(_REJECTED_ID, stored)


if __name__ == "__main__":
    unittest.main()
