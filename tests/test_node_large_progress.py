"""Progress of jobs that is larger than a row of the store."""

import datetime
import random
import unittest

import anyio
import hypothesis
from hypothesis import strategies as st

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import ownership
from fireflywell.node import progress_writer
from fireflywell.node import stored_progress
from fireflywell.node import tables
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import model
from fireflywell.scheduling import orders
from fireflywell.scheduling import progress_rows
from fireflywell.standins import row_store as store_standin
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib
from tests import fuzz_settings
from tests import late_store
from tests import node_world
from tests import scheduling_samples as samples
from tests import session_world

_LARGE_ID = "00000000000000a1"
_SMALL_ID = "00000000000000b2"
_TIMEOUT = datetime.timedelta(seconds=8)
_ATTEMPTS = 1_000_000


def _make_large_job(count: int, **fields: object) -> jobs_lib.Job:
    policy = model.QueuePolicy("quotes", node_world.SERVICE, 0, _ATTEMPTS)
    step = node_world.make_step(count, is_checkpointing=True, **fields)
    return samples.make_job(_LARGE_ID, step, policy=policy)


def _end(
    index: int,
    kind: orders.EndKind,
    checkpoint: str = "",
    run: int = 1,
    step: str = "0.0",
) -> orders.EndReport:
    name = f"{_LARGE_ID}.{step}.{index}"
    return orders.EndReport(index + 1, name, run, kind, checkpoint)


class _World:
    """A writer for a service whose worker reports ends."""

    def __init__(
        self, store: store_standin.MemoryRowStore | None = None
    ) -> None:
        self.clock = clock_lib.SystemClock()
        self.store = store or store_standin.MemoryRowStore(self.clock)
        version = self.store.put(
            tables.locate_owner(node_world.SERVICE), b"owner"
        )
        self.state = samples.make_state("w1")
        self.writer = progress_writer.ProgressWriter(
            ownership.Tenure(node_world.SERVICE, 1, version, True),
            self.state,
            self.store,
            self.clock,
            random.Random(1),
            datetime.timedelta(),
            lambda: None,
        )

    def report(self, *ends: orders.EndReport) -> None:
        """Applies a worker's report of ends."""
        self.state.apply_report("w1", samples.make_report((), ends), 1.0, 1.0)

    async def store_all(self, *job_ids: str) -> frozenset[str]:
        """Runs the writer; returns the jobs that were not stored in time."""
        tree = supervisor_lib.Supervisor(
            "test",
            self.clock,
            random.Random(1),
            (
                supervisor_lib.Child(
                    "writer", self.writer.run, policies.RestartWithBackoff()
                ),
            ),
        )
        async with anyio.create_task_group() as group:
            group.start_soon(tree.run)
            missing = await self.writer.wait_until_stored(
                frozenset(job_ids), _TIMEOUT
            )
            group.cancel_scope.cancel()
        return missing

    def list_progress(self) -> list[row_store.Row]:
        """Returns all rows of progress."""
        table = tables.name_progress_table(node_world.SERVICE)
        return self.store.list_table(table)

    def restore(self, job: jobs_lib.Job) -> jobs_lib.Job:
        """Returns a job as the next owner reads it."""
        copy = jobs_lib.Job(job.submission, 0.0)
        grouped = stored_progress.group_rows(self.list_progress())
        grouped[job.job_id].restore(copy)
        return copy


def _describe(job: jobs_lib.Job) -> list[tuple[bool, int, list[int], str]]:
    """Returns what the next owner needs to know of each unit."""
    return [
        (True, 0, [], "")
        if unit.is_done
        else (
            False,
            unit.older_failures,
            unit.failed_runs,
            unit.checkpoint,
        )
        for unit in samples.list_units(job)
    ]


class LargeProgressTest(unittest.TestCase):
    """Jobs whose progress doesn't fit into one row."""

    def test_ends_of_units_with_checkpoints_are_stored(self) -> None:
        """Fails if a job's checkpoints keep ends from being acknowledged.

        The row with the checkpoints of all units was over the limit, so the
        store refused it for good. No end in a report beside one of the job's
        was acknowledged any more, and the service came to a stop (rule LOST).
        """
        for count, length in ((8_000, 16), (300, 500), (40, 5_000)):
            for kind in (orders.EndKind.DONE, orders.EndKind.STOPPED):
                with self.subTest(count=count, length=length, kind=kind):
                    world = _World()
                    job = _make_large_job(count + 1)
                    world.state.add_job(job)
                    world.state.add_job(samples.make_job(_SMALL_ID))
                    for unit in samples.list_units(job):
                        unit.save_checkpoint("c" * length)
                    world.report(
                        *(_end(i, kind, "d" * length) for i in range(count))
                    )
                    world.state.cancel_job(_SMALL_ID)
                    missing = anyio.run(world.store_all, _LARGE_ID, _SMALL_ID)
                    self.assertEqual(missing, frozenset())
                    copy = world.restore(job)
                    self.assertEqual(_describe(copy), _describe(job))
                    self.assertEqual(
                        copy.steps[0].done_count, job.steps[0].done_count
                    )

    def test_failed_runs_of_many_units_are_stored(self) -> None:
        """Fails if workers that fail all units stop the service for good."""
        world = _World()
        job = _make_large_job(6_000)
        world.state.add_job(job)
        for run in range(1, 5):
            world.report(
                *(
                    _end(i, orders.EndKind.FAILED, run=run * 100_000)
                    for i in range(6_000)
                )
            )
        self.assertEqual(anyio.run(world.store_all, _LARGE_ID), frozenset())
        self.assertEqual(_describe(world.restore(job)), _describe(job))

    def test_many_failures_of_one_unit_are_counted_once_each(self) -> None:
        """Fails if a unit's failures exceed a row, or count twice."""
        world = _World()
        job = _make_large_job(2)
        world.state.add_job(job)
        for run in range(1, 20_001):
            world.report(_end(0, orders.EndKind.FAILED, run=run))
        for run in (1, 19_000, 20_000):
            world.report(_end(0, orders.EndKind.FAILED, run=run))
        unit = samples.list_units(job)[0]
        self.assertEqual(unit.failure_count, 20_000)
        self.assertEqual(anyio.run(world.store_all, _LARGE_ID), frozenset())
        self.assertEqual(_describe(world.restore(job)), _describe(job))

    def test_occurrences_of_a_schedule_are_stored(self) -> None:
        """Fails if a schedule stops its service after some occurrences.

        Each step of an occurrence took 9 bytes of the job's row.
        """
        request = model.JobRequest(
            "text",
            (node_world.make_step(),),
            model.Recurrence(0, 1, 20_000),
        )
        job = jobs_lib.Job(
            model.Submission(_LARGE_ID, node_world.POLICY, request, 0.0), 0.0
        )
        world = _World()
        world.state.add_job(job)
        world.report(
            *(
                _end(0, orders.EndKind.DONE, step=f"{number}.0")
                for number in range(0, 20_000, 2)
            )
        )
        self.assertEqual(anyio.run(world.store_all, _LARGE_ID), frozenset())
        self.assertEqual(_describe(world.restore(job)), _describe(job))

    def test_checkpoint_over_a_row_is_left_out(self) -> None:
        """Fails if one checkpoint that fits into no row stops the service."""
        world = _World()
        job = _make_large_job(3)
        world.state.add_job(job)
        for index, length in enumerate((200_000, 20, 60_000)):
            world.report(
                _end(index, orders.EndKind.STOPPED, f"{index}" * length)
            )
        self.assertEqual(anyio.run(world.store_all, _LARGE_ID), frozenset())
        stored = [u.checkpoint for u in samples.list_units(world.restore(job))]
        self.assertEqual(stored, ["", "1" * 20, "2" * 60_000])

    def test_units_that_are_done_keep_no_checkpoint(self) -> None:
        """Fails if each unit of a large job adds to its progress for good."""
        world = _World()
        job = _make_large_job(4_001)
        world.state.add_job(job)
        world.report(
            *(_end(i, orders.EndKind.STOPPED, "c" * 500) for i in range(4_000))
        )
        anyio.run(world.store_all, _LARGE_ID)
        before = sum(len(row.value) for row in world.list_progress())
        self.assertGreater(before, 2_000_000)
        world.report(
            *(_end(i, orders.EndKind.DONE, run=2) for i in range(4_000))
        )
        anyio.run(world.store_all, _LARGE_ID)
        size_bytes = sum(
            len(item.row.value or b"") for item in job.progress_ranges
        )
        self.assertGreater(len(job.progress_ranges), 100)
        self.assertLess(size_bytes, 10_000)

    def test_small_job_takes_one_row(self) -> None:
        """Fails if jobs of the usual size take more rows than one each."""
        world = _World()
        job = _make_large_job(32)
        world.state.add_job(job)
        world.report(
            *(_end(i, orders.EndKind.STOPPED, "c" * 16) for i in range(32))
        )
        self.assertEqual(anyio.run(world.store_all, _LARGE_ID), frozenset())
        self.assertEqual(len(world.list_progress()), 1)

    def test_change_of_one_unit_writes_little(self) -> None:
        """Fails if each end of a large job writes all its progress again."""
        world = _World()
        job = _make_large_job(8_000)
        world.state.add_job(job)
        world.report(
            *(_end(i, orders.EndKind.STOPPED, "c" * 16) for i in range(7_000))
        )
        anyio.run(world.store_all, _LARGE_ID)
        before = {row.row_key: row.version for row in world.list_progress()}
        world.report(_end(5, orders.EndKind.STOPPED, "d" * 16, run=2))
        anyio.run(world.store_all, _LARGE_ID)
        written = [
            row
            for row in world.list_progress()
            if row.version != before.get(row.row_key)
        ]
        self.assertEqual(len(written), 1)
        self.assertLess(len(written[0].value), 20_000)

    def test_rows_are_removed_with_the_job(self) -> None:
        """Fails if rows of large jobs fill the store."""

        async def run() -> list[row_store.Row]:
            world = _World()
            job = _make_large_job(3_000)
            world.state.add_job(job)
            world.report(
                *(
                    _end(i, orders.EndKind.STOPPED, "c" * 2_000)
                    for i in range(3_000)
                )
            )
            await world.store_all(_LARGE_ID)
            self.assertGreater(len(world.list_progress()), 200)
            world.state.cancel_job(_LARGE_ID)
            await world.store_all(_LARGE_ID)
            await anyio.sleep(0.01)
            await world.writer._sweep()
            return world.list_progress()

        self.assertEqual(anyio.run(run), [])

    def test_lost_answers_lose_no_progress(self) -> None:
        """Fails if rows of a job are taken for stored that aren't."""

        async def run() -> None:
            clock = clock_lib.SystemClock()
            store = late_store.LateStore(clock)
            world = _World(store)
            job = _make_large_job(2_000)
            world.state.add_job(job)
            async with anyio.create_task_group() as group:
                group.start_soon(world.store_all, _LARGE_ID)
                for number in range(10):
                    store.is_late = number % 2 == 0
                    store.lose_answers = number % 3
                    world.report(
                        *(
                            _end(i, orders.EndKind.STOPPED, f"{number}" * 90)
                            for i in range(number * 100, 2_000, 7)
                        )
                    )
                    world.writer.wake()
                    await anyio.sleep(0.08)
                await store.apply_late()
                group.cancel_scope.cancel()
            store.is_late = False
            self.assertEqual(await world.store_all(_LARGE_ID), frozenset())
            self.assertEqual(_describe(world.restore(job)), _describe(job))

        anyio.run(run)

    def test_divided_rows_outlast_an_owner_at_any_row(self) -> None:
        """Fails if progress is lost with an owner that divides a row.

        The row of the job's state no longer holds what the new rows hold.
        """

        class _StoppingStore(store_standin.MemoryRowStore):
            """A store that the owner can't reach after some transactions."""

            left = 0

            async def transact(
                self,
                transaction: row_store.Transaction,
                timeout: datetime.timedelta | None = None,
            ) -> row_store.Committed | row_store.Conflict:
                self.is_down = self.left <= 0
                self.left -= 1
                return await super().transact(transaction, timeout)

        async def run(writes: int) -> None:
            store = _StoppingStore(clock_lib.SystemClock())
            world = _World(store)
            job = _make_large_job(600)
            world.state.add_job(job)
            # The last ranges hold these.
            world.report(
                *(_end(i, orders.EndKind.DONE) for i in range(400, 600))
            )
            store.left = 99
            await world.store_all(_LARGE_ID)
            world.report(
                *(
                    _end(i, orders.EndKind.STOPPED, "c" * 3_000)
                    for i in range(400)
                )
            )
            store.left = writes
            with anyio.move_on_after(0.3):
                await world.store_all(_LARGE_ID)
            store.is_down = False
            copy = world.restore(job)
            self.assertEqual(copy.steps[0].done_count, 200)
            # The next owner goes on from there.
            store.left = 99
            successor = _World(store)
            successor.state.add_job(copy)
            successor.report(
                *(_end(i, orders.EndKind.DONE) for i in range(399))
            )
            self.assertEqual(await successor.store_all(_LARGE_ID), frozenset())
            self.assertEqual(_describe(world.restore(job)), _describe(copy))

        for writes in range(4):
            with self.subTest(writes=writes):
                anyio.run(run, writes)


class AnyProgressTest(unittest.TestCase):
    """Any progress of any job."""

    @fuzz_settings.make_settings(40, 1)
    @hypothesis.given(
        counts=st.lists(st.integers(1, 60), min_size=1, max_size=3),
        occurrences=st.integers(1, 6),
        lengths=st.lists(st.integers(0, 900), min_size=1, max_size=8),
        failures=st.lists(
            st.sampled_from((0, 0, 0, 1, 7, 300)), min_size=1, max_size=9
        ),
        row_bytes=st.integers(2_048, 65_536),
        rounds=st.integers(1, 3),
    )
    def test_progress_is_restored_and_no_row_is_over_the_limit(
        self,
        counts: list[int],
        occurrences: int,
        lengths: list[int],
        failures: list[int],
        row_bytes: int,
        rounds: int,
    ) -> None:
        """Fails if some progress can't be stored, or isn't restored."""
        request = model.JobRequest(
            "text",
            tuple(node_world.make_step(count) for count in counts),
            model.Recurrence(0, 1, occurrences),
        )
        job = jobs_lib.Job(
            model.Submission(_LARGE_ID, node_world.POLICY, request, 0.0), 0.0
        )
        job.state = jobs_lib.JobState.RUNNING
        rows: dict[str, bytes] = {}

        for number in range(rounds):
            for ordinal, unit in enumerate(samples.list_units(job)):
                if (ordinal + number) % 3 == 0:
                    unit.save_checkpoint(
                        str(number) * lengths[ordinal % len(lengths)]
                    )
                for run in range(failures[ordinal % len(failures)] // rounds):
                    unit.add_failure(1000 * number + run)
                if ordinal % 5 == number and not unit.is_done:
                    unit.mark_done()
                    job.release_if_done(unit.step.occurrence)
            for write in progress_rows.list_writes(job, 0.0, "", row_bytes):
                key = (
                    progress_rows.make_range_key(write.units)
                    if write.units
                    else ""
                )
                rows[key] = write.row.value = write.value
        self.assertLessEqual(max(map(len, rows.values())), row_bytes)
        stored = stored_progress.StoredProgress()
        for key, value in rows.items():
            row_key = tables.locate_progress_range("desk", _LARGE_ID, key)
            stored.add(row_store.Row(row_key, value, 1), key)
        copy = jobs_lib.Job(job.submission, 0.0)
        stored.restore(copy)
        # A checkpoint that doesn't fit into a row may be an earlier one.
        self.assertEqual(
            [(done, older, runs) for done, older, runs, _ in _describe(copy)],
            [(done, older, runs) for done, older, runs, _ in _describe(job)],
        )
        for mine, other in zip(_describe(copy), _describe(job), strict=True):
            if len(other[3]) + 9 * len(other[2]) + 20 < row_bytes:
                self.assertEqual(mine[3], other[3])


class PartialAcknowledgementTest(unittest.TestCase):
    """A report with ends of a job that can't be stored."""

    def test_earlier_ends_are_acknowledged(self) -> None:
        """Fails if one job's progress holds up the ends of all others.

        A worker lists 500 ends at most until they are acknowledged.
        """

        class _Client(session_world.ScriptedClient):

            async def renew(
                self, order: orders.RenewOrder
            ) -> orders.WorkerReport | orders.OrderOutcome:
                report = await super().renew(order)
                assert isinstance(report, orders.WorkerReport)
                ended = tuple(
                    orders.EndReport(
                        number,
                        f"{job_id}.0.0.0",
                        number,
                        orders.EndKind.STOPPED,
                        "",
                    )
                    for number, job_id in enumerate(
                        (_SMALL_ID, _SMALL_ID, _LARGE_ID, _SMALL_ID), 1
                    )
                    if number > order.last_acknowledged_end
                )
                return orders.WorkerReport(
                    report.clock_ms, 1, (), ended, report.has_all_ends
                )

        async def run() -> int:
            world = session_world.SessionWorld()
            world.client = _Client()
            world.session._client.replace_client(world.client)
            world.session._writer.missing = frozenset((_LARGE_ID,))  # type: ignore[attr-defined]
            async with world.run():
                await session_world.wait_until(
                    lambda: len(world.client.renewals) > 5
                )
            return max(r.last_acknowledged_end for r in world.client.renewals)

        self.assertEqual(anyio.run(run), 2)


class StoreLimitsTest(unittest.TestCase):
    """The stand-in for the store keeps to the limits of the platform's."""

    def test_oversized_progress_is_rejected(self) -> None:
        """Fails if tests can't notice rows that the platform refuses."""
        store = store_standin.MemoryRowStore(clock_lib.SystemClock())
        row_key = tables.locate_progress(node_world.SERVICE, _LARGE_ID)
        condition = row_store.Condition(row_key, 1)
        for transaction in (
            row_store.Transaction((), (row_store.Put(row_key, bytes(65_537)),)),
            row_store.Transaction((condition,) * 101),
            row_store.Transaction(
                (), (row_store.Put(row_key, bytes(65_000)),) * 12
            ),
        ):
            with self.assertRaises(errors.PlatformRejectedError):
                anyio.run(store.transact, transaction)


if __name__ == "__main__":
    unittest.main()
