"""Tests how a new owner reads the jobs of its service."""

import datetime
import random
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell.coordination import row_store
from fireflywell.node import job_loader
from fireflywell.node import ownership
from fireflywell.node import progress_writer
from fireflywell.node import tables
from fireflywell.scheduling import job_rows
from fireflywell.scheduling import service_state
from fireflywell.standins import row_store as store_standin
from tests import node_world
from tests import scheduling_samples as samples

_EARLIER = "00000000000000a1"
_LATER = "00000000000000b2"


class _Writer:
    """Stores nothing."""

    def wake(self) -> None:
        """Does nothing."""


class FirstSnapshotTest(unittest.TestCase):
    """Jobs that are stored when a new owner reads its service."""

    def test_only_jobs_older_than_the_claim_can_have_been_started(self) -> None:
        """Fails if new jobs wait for the leases of earlier owners.

        While the store is slow, jobs are accepted between the claim and the
        first read of all jobs. No earlier owner can have started them if the
        last one had stopped before the claim.
        """

        async def run() -> service_state.ServiceState:
            world = node_world.NodeWorld()
            await world.submit(job_id=_EARLIER)
            version = world.store.put(
                tables.locate_owner(node_world.SERVICE), b"owner"
            )
            await world.submit(job_id=_LATER)
            state = service_state.ServiceState(2)
            loader = job_loader.JobLoader(
                ownership.Tenure(node_world.SERVICE, 2, version, False, True),
                state,
                _Writer(),  # type: ignore[arg-type]
                world.store,
                world.clock,
                lambda: None,
                lambda *_: None,
            )
            table = tables.name_jobs_table(node_world.SERVICE)
            loader.apply_snapshot(tuple(world.store.list_table(table)))
            return state

        state = anyio.run(run)
        recovered = {key: job.is_recovered for key, job in state.jobs.items()}
        self.assertEqual(recovered, {_EARLIER: True, _LATER: False})


class _BehindWorld:
    """A new owner whose first snapshot lacks a job from before its claim."""

    def __init__(self) -> None:
        world = node_world.NodeWorld()
        self._world = world
        self.state = service_state.ServiceState(2)
        job = samples.make_job(_EARLIER, node_world.make_step(2))
        self.job_row = self._put(
            tables.locate_job(node_world.SERVICE, _EARLIER),
            job_rows.encode_submission(job.submission),
        )
        job.steps[0].mark_unit_done(0)
        self._put(
            tables.locate_progress(node_world.SERVICE, _EARLIER),
            job_rows.encode_progress(job_rows.snapshot_progress(job, 1.0, "")),
        )
        claim = self._put(tables.locate_owner(node_world.SERVICE), b"owner")
        later = samples.make_job(_LATER).submission
        self.later_row = self._put(
            tables.locate_job(node_world.SERVICE, _LATER),
            job_rows.encode_submission(later),
        )
        self.loader = job_loader.JobLoader(
            ownership.Tenure(node_world.SERVICE, 2, claim.version, False, True),
            self.state,
            _Writer(),  # type: ignore[arg-type]
            world.store,
            world.clock,
            lambda: None,
            lambda *_: None,
        )

    def _put(self, row_key: row_store.RowKey, value: bytes) -> row_store.Row:
        return row_store.Row(
            row_key, value, self._world.store.put(row_key, value)
        )

    async def load(self) -> None:
        """Reads the progress and applies a snapshot that lacks the job."""
        await self.loader.load_progress()
        self.loader.apply_snapshot(())

    def count_done_units(self) -> int:
        """Returns how many units of the job are done."""
        units = samples.list_units(self.state.jobs[_EARLIER])
        return sum(unit.is_done for unit in units)


class SnapshotBehindTest(unittest.TestCase):
    """A job from before the claim that the first snapshot lacks."""

    def test_job_from_the_feed_waits_for_the_recovery(self) -> None:
        """Fails if units start beside their runs under an earlier owner.

        Only rows of the first snapshot were compared with the claim, so the
        job counted as new and was placed at once (rule TWICE).
        """

        async def run() -> None:
            world = _BehindWorld()
            await world.load()
            world.loader.apply_changes((world.job_row,))
            self.assertTrue(world.state.jobs[_EARLIER].is_recovered)
            samples.add_worker(world.state, "w1")
            self.assertEqual(world.state.plan(1.0), [])
            world.state.is_recovery_complete = True
            self.assertEqual(len(world.state.plan(1.1)), 1)

        anyio.run(run)

    def test_job_from_a_later_snapshot_waits_for_the_recovery(self) -> None:
        """Fails if rows of a later snapshot aren't compared with the claim."""

        async def run() -> None:
            world = _BehindWorld()
            await world.load()
            world.loader.apply_snapshot((world.job_row, world.later_row))
            self.assertTrue(world.state.jobs[_EARLIER].is_recovered)

        anyio.run(run)

    def test_units_that_are_done_stay_done(self) -> None:
        """Fails if a job that arrives late starts without its progress.

        The stored progress was dropped after the first snapshot, so that
        units that were done started again (rule TWICE).
        """

        async def run() -> None:
            for way in ("feed", "snapshot", "fetch"):
                with self.subTest(way):
                    world = _BehindWorld()
                    await world.load()
                    match way:
                        case "feed":
                            world.loader.apply_changes((world.job_row,))
                        case "snapshot":
                            world.loader.apply_snapshot((world.job_row,))
                        case _:
                            await world.loader.fetch_unknown(
                                frozenset({_EARLIER})
                            )
                    self.assertEqual(world.count_done_units(), 1)

        anyio.run(run)

    def test_progress_is_dropped_once_all_earlier_jobs_were_delivered(
        self,
    ) -> None:
        """Fails if progress of jobs that never arrive is held for ever."""

        async def run() -> None:
            world = _BehindWorld()
            await world.load()
            self.assertEqual(set(world.loader._stored_progress), {_EARLIER})
            world.loader.apply_changes((world.later_row,))
            self.assertEqual(world.loader._stored_progress, {})

        anyio.run(run)


class FetchedJobTest(unittest.TestCase):
    """A job that isn't in the first snapshot, but runs on a worker."""

    def test_its_other_units_wait_for_the_reports_of_all_workers(self) -> None:
        """Fails if units start beside their runs under an earlier owner.

        A job named in the report of the first worker was taken for a new one:
        its units on workers that hadn't reported were started elsewhere, and
        the runs in later reports were stopped (rules TWICE and AVAIL).
        """

        async def run() -> None:
            clock = clock_lib.SystemClock()
            store = store_standin.MemoryRowStore(clock)
            state = service_state.ServiceState(2)
            samples.add_worker(state, "w1")
            version = store.put(
                tables.locate_owner(node_world.SERVICE), b"owner"
            )
            loader = job_loader.JobLoader(
                ownership.Tenure(node_world.SERVICE, 2, version, False),
                state,
                _Writer(),  # type: ignore[arg-type]
                store,
                clock,
                lambda: None,
                lambda *_: None,
            )
            loader.apply_snapshot(())
            job_id = node_world.JOB_ID
            step = node_world.make_step(2, is_long_running=True, may_be_away=1)
            submission = samples.make_job(job_id, step).submission
            store.put(
                tables.locate_job(node_world.SERVICE, job_id),
                job_rows.encode_submission(submission),
            )
            await loader.fetch_unknown(frozenset({job_id}))
            report = samples.make_report(
                running=(samples.report_running(f"{job_id}.0.0.0"),)
            )
            state.apply_report("w1", report, 1.0, 1.0)
            self.assertEqual(len(state.workers["w1"].runs), 1)
            self.assertEqual(state.plan(1.1), [])
            state.is_recovery_complete = True
            self.assertEqual(len(state.plan(1.2)), 1)

        anyio.run(run)


class _RemovedWorld:
    """An owner that removed a finished job.

    Attributes:
        state: Jobs of the service.
        loader: Adds the jobs to the state.
        rows: Rows of the jobs before the removal.
    """

    def __init__(self) -> None:
        world = node_world.NodeWorld()
        self._world = world
        self._table = tables.name_jobs_table(node_world.SERVICE)
        version = world.store.put(
            tables.locate_owner(node_world.SERVICE), b"owner"
        )
        tenure = ownership.Tenure(node_world.SERVICE, 1, version, True)
        self.state = service_state.ServiceState(1)
        self._writer = progress_writer.ProgressWriter(
            tenure,
            self.state,
            world.store,
            world.clock,
            random.Random(1),
            datetime.timedelta(),
            lambda: None,
        )
        self.loader = job_loader.JobLoader(
            tenure,
            self.state,
            self._writer,
            world.store,
            world.clock,
            lambda: None,
            lambda *_: None,
        )
        self.rows: tuple[row_store.Row, ...] = ()
        self._before = 0

    async def remove_job(self) -> None:
        """Loads a job, finishes it and removes its rows."""
        await self._world.submit(job_id=_LATER)
        self.rows = tuple(self._world.store.list_table(self._table))
        self.loader.apply_snapshot(self.rows)
        self.state.cancel_job(_LATER)
        await self._writer._store_batch()
        self._before = self._world.store.version
        await self._writer._remove_jobs([_LATER])

    async def follow(self) -> None:
        """Passes the removal on."""
        page = await self._world.store.follow(
            self._table, self._before, datetime.timedelta()
        )
        self.loader.apply_changes(page.rows)

    def let_reads_be_behind(self) -> None:
        """Lets reads show the state before the removal."""
        self._world.store.read_version = self._before


class RemovedJobTest(unittest.TestCase):
    """A finished job whose rows were removed after the retention time."""

    def test_snapshot_from_before_the_removal_does_not_restart_it(self) -> None:
        """Fails if the units of a finished job start again.

        The history was lost, and the snapshot that was read instead was behind
        the removal. The job counted as new, without progress (rule TWICE).
        """

        async def run() -> None:
            world = _RemovedWorld()
            await world.remove_job()
            world.loader.apply_snapshot(world.rows)
            self.assertEqual(world.state.jobs, {})
            # Its state isn't kept any longer than necessary.
            await world.follow()
            self.assertEqual(world.state.final_states, {})

        anyio.run(run)

    def test_late_report_does_not_restart_it(self) -> None:
        """Fails if a worker's report of a removed job starts its units again.

        The worker had been cut off and listed an end of the job. The read of
        the unknown job was behind the removal (rule TWICE).
        """

        async def run() -> None:
            world = _RemovedWorld()
            await world.remove_job()
            await world.follow()
            world.let_reads_be_behind()
            await world.loader.fetch_unknown(frozenset({_LATER}))
            self.assertEqual(world.state.jobs, {})

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
