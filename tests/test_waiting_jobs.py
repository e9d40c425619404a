"""Jobs that wait: those of which no unit is known to have started."""

import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell.coordination import row_store
from fireflywell.node import job_frontend
from fireflywell.node import stored_progress
from fireflywell.node import tables
from fireflywell.scheduling import job_rows
from fireflywell.scheduling import job_starts
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import model
from fireflywell.scheduling import orders
from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import service_state
from fireflywell.scheduling import waiting_work
from fireflywell.standins import row_store as store_standin
from fireflywell.telemetry import metrics as metrics_lib
from tests import node_world
from tests import scheduling_samples as samples
from tests import test_node_takeover

_QUEUE = node_world.POLICY.queue
_JOB_ID = node_world.JOB_ID
_UNIT = f"{_JOB_ID}.0.0.0"
_REFUSALS = (*orders.Refusal, None)
_LONG_RUNNING = node_world.make_step(1, is_long_running=True)


class StateTestCase(unittest.TestCase):
    """A service with one worker and one job."""

    def setUp(self) -> None:
        """Creates the service."""
        self.state = samples.make_state("w1")

    def place(self, *steps: model.Step) -> list[runs_lib.Run]:
        """Adds a job and places its units."""
        self.job = samples.make_job(_JOB_ID, *steps)
        self.state.add_job(self.job)
        return self.state.plan(0.0)

    def check_waiting(self) -> None:
        """Checks that the job counts as waiting and nothing is stored of it."""
        self.assertEqual(self.state.count_waiting(), {_QUEUE: 1})
        self.assertIs(self.job.state, jobs_lib.JobState.QUEUED)
        self.assertEqual(self.state.dirty, {})

    def check_started(self) -> None:
        """Checks that the job doesn't wait and that this gets stored."""
        self.assertEqual(self.state.count_waiting(), {})
        self.assertIs(self.job.state, jobs_lib.JobState.RUNNING)
        self.assertIn(_JOB_ID, self.state.dirty)


class UnstartedJobTest(StateTestCase):
    """Events that don't show that a worker has begun a unit."""

    def test_placed_unit_has_not_started(self) -> None:
        """Fails if a job counts as started before any worker says so.

        Workers of a dark rack left the starts unanswered, and `waiting` lacked
        the jobs until the workers' leases were over (rule MIXED).
        """
        self.place(node_world.make_step(3))
        self.check_waiting()

    def test_start_without_answer_shows_no_start(self) -> None:
        """Fails if a job counts as started after a start without an answer."""
        (run,) = self.place()
        run.unanswered_starts = 1
        self.state.mark_start_unknown(run)
        self.check_waiting()
        self.state.drop_worker_runs("w1")
        self.check_waiting()

    def test_refused_start_shows_no_start(self) -> None:
        """Fails if a job counts as started after a worker refused its unit."""
        for reason in _REFUSALS:
            with self.subTest(reason=reason):
                self.setUp()
                (run,) = self.place()
                self.state.refuse_start(run, reason, 1.0)
                self.check_waiting()

    def test_stop_of_an_unanswered_start_shows_no_start(self) -> None:
        """Fails if a confirmed stop of a start counts as the start."""
        (run,) = self.place()
        run.unanswered_starts = 1
        self.state.give_up_start(run)
        self.state.confirm_stop("w1", _UNIT, run.number, 1.0)
        self.check_waiting()
        self.state.apply_report("w1", samples.make_report(), 2.0, 2.0)
        self.check_waiting()

    def test_gang_without_any_member_has_not_started(self) -> None:
        """Fails if a gang counts as started that was refused as a whole."""
        runs = self.place(node_world.make_step(3, is_gang=True))
        self.assertEqual(len(runs), 3)
        for run in runs:
            self.state.refuse_start(run, orders.Refusal.NO_ROOM, 1.0)
        self.check_waiting()

    def test_wait_of_a_refused_job_counts_from_its_acceptance(self) -> None:
        """Fails if a refusal hides from operators how long a job has waited."""
        (run,) = self.place()
        self.state.refuse_start(run, orders.Refusal.NO_ROOM, 5.0)
        tracker = waiting_work.WaitTracker(self.state)
        work = tracker.look(6.0, (), is_planning=True)
        self.assertEqual(work.longest_wait_s, 6.0)


class StartedJobTest(StateTestCase):
    """Events that show that a worker has begun a unit."""

    def check_evidence(self, evidence: job_starts.StartEvidence) -> None:
        """Checks that the start is recorded once, with what shows it."""
        self.check_started()
        found = [item.evidence for item in self.state.take_job_starts()]
        self.assertEqual(found, [evidence])

    def test_accepted_start_stays_one_after_the_run_is_lost(self) -> None:
        """Fails if a job waits again because the only run of it was lost."""
        (run,) = self.place()
        self.state.confirm_start(run, 1.0)
        self.check_evidence(job_starts.StartEvidence.ANSWER)
        self.state.drop_worker_runs("w1")
        self.assertTrue(self.state.has_waiting_units)
        self.check_started()

    def test_answer_of_a_former_incarnation_shows_a_start(self) -> None:
        """Fails if a unit that a worker began before its restart isn't counted.

        The run goes on only if the next incarnation lists it, but the job has
        started.
        """
        (run,) = self.place()
        run.unanswered_starts = 1
        self.state.end_incarnation("w1", 1.0)
        self.state.confirm_start(run, 1.5)
        self.check_evidence(job_starts.StartEvidence.ANSWER)
        self.assertIs(run.phase, runs_lib.RunPhase.START_UNKNOWN)

    def test_listed_run_shows_a_start(self) -> None:
        """Fails if a start without an answer isn't learned from a report."""
        (run,) = self.place()
        run.unanswered_starts = 1
        self.state.mark_start_unknown(run)
        report = samples.make_report((samples.report_running(_UNIT),))
        self.state.apply_report("w1", report, 1.0, 1.0)
        self.check_evidence(job_starts.StartEvidence.REPORT)

    def test_listed_run_of_an_earlier_owner_shows_a_start(self) -> None:
        """Fails if an owner doesn't store that an inherited job has started.

        The earlier owner was lost before it stored the start.
        """
        self.job = samples.make_job(_JOB_ID)
        self.state.add_job(self.job)
        report = samples.make_report((samples.report_running(_UNIT),))
        self.state.apply_report("w1", report, 1.0, 1.0)
        self.check_evidence(job_starts.StartEvidence.REPORT)

    def test_listed_run_beside_another_one_shows_a_start(self) -> None:
        """Fails if a run that isn't adopted doesn't count as a start.

        It began late, when its unit had been given to another worker.
        """
        samples.add_worker(self.state, "w2")
        (run,) = self.place()
        other = "w2" if run.worker_id == "w1" else "w1"
        report = samples.make_report((samples.report_running(_UNIT, run=7),))
        self.state.apply_report(other, report, 1.0, 1.0)
        self.check_evidence(job_starts.StartEvidence.REPORT)

    def test_listed_end_shows_a_start(self) -> None:
        """Fails if a run that was never seen at work doesn't count as a start.

        Its worker lists the end only until it is acknowledged.
        """
        for kind in orders.EndKind:
            if kind is orders.EndKind.DONE:
                continue
            with self.subTest(kind=kind):
                self.setUp()
                self.place(node_world.make_step(2))
                report = samples.make_report(
                    ended=(samples.report_end(_UNIT, kind=kind),)
                )
                self.state.apply_report("w1", report, 1.0, 1.0)
                self.check_evidence(job_starts.StartEvidence.END)

    def test_gang_has_started_with_its_first_member(self) -> None:
        """Fails if a gang of which a member has begun counts as waiting."""
        runs = self.place(node_world.make_step(2, is_gang=True))
        self.state.confirm_start(runs[0], 1.0)
        self.state.refuse_start(runs[1], orders.Refusal.NO_ROOM, 1.0)
        self.check_evidence(job_starts.StartEvidence.ANSWER)

    def test_cancelled_job_is_not_shown_as_running(self) -> None:
        """Fails if a late answer to a start undoes a cancellation's state."""
        (run,) = self.place()
        self.state.cancel_job(_JOB_ID)
        self.state.confirm_start(run, 1.0)
        self.assertIs(self.job.state, jobs_lib.JobState.CANCELLED)
        self.assertEqual(self.state.take_job_starts(), [])


class RestoredJobTest(unittest.TestCase):
    """Jobs that a later owner or another node reads from the store."""

    def make_store(self) -> store_standin.MemoryRowStore:
        """Returns a store with a job, of which only a range is stored."""
        store = store_standin.MemoryRowStore(clock_lib.SystemClock())
        submission = model.Submission(
            _JOB_ID, node_world.POLICY, node_world.make_request(), store.now_s()
        )
        store.put(
            tables.locate_job(node_world.SERVICE, _JOB_ID),
            job_rows.encode_submission(submission),
        )
        store.put(
            tables.locate_progress_range(node_world.SERVICE, _JOB_ID, "0+1"),
            b"",
        )
        return store

    def test_stored_range_of_units_shows_a_start(self) -> None:
        """Fails if a job waits again because its state wasn't stored in time.

        The rows of a large job's units are written before its state.
        """

        async def run() -> tuple[int, row_store.Page]:
            store = self.make_store()
            frontend = job_frontend.JobFrontend(
                store, clock_lib.SystemClock(), metrics_lib.NullMetrics()
            )
            count = await frontend.count_waiting(node_world.POLICY)
            table = tables.name_progress_table(node_world.SERVICE)
            return count, await store.read(table, node_world.SERVICE)

        count, page = anyio.run(run)
        self.assertEqual(count, 0)
        job = samples.make_job(_JOB_ID)
        stored_progress.group_rows(page.rows)[_JOB_ID].restore(job)
        state = service_state.ServiceState(2)
        state.add_job(job)
        self.assertEqual(state.count_waiting(), {})


class CountedJobsTest(test_node_takeover.NodeTestCase):
    """Counts that callers get at any node, across takeovers."""

    async def wait_for_count(
        self, world: node_world.NodeWorld, expected: int
    ) -> None:
        """Waits until a queue's count is as expected."""
        with anyio.fail_after(8):
            while True:
                count = await world.frontend.count_waiting(node_world.POLICY)
                if count == expected:
                    return
                await anyio.sleep(0.05)

    async def check_count(
        self, world: node_world.NodeWorld, expected: int, seconds: float
    ) -> None:
        """Checks a queue's count again and again for some time."""
        with anyio.move_on_after(seconds):
            while True:
                count = await world.frontend.count_waiting(node_world.POLICY)
                self.assertEqual(count, expected)
                await anyio.sleep(0.05)

    async def submit_to_silent_workers(
        self, world: node_world.NodeWorld, count: int
    ) -> None:
        """Submits jobs right after all workers have become silent."""
        await world.submit(job_id="00000000000000ff")
        await world.wait_for_state("completed", "00000000000000ff")
        for worker in world.workers.values():
            worker.is_silent = True
        for number in range(count):
            await world.submit(job_id=f"{number:016x}")

    def test_jobs_sent_to_silent_workers_are_counted(self) -> None:
        """Fails if jobs that no worker has begun are missing in `waiting`.

        The owner told too low a number until the leases of the silent workers
        were over, and so did its successor for as long as they stayed silent.
        """

        async def run() -> None:
            world = node_world.NodeWorld("w1", "w2")
            async with self.run_node(world, "node-a"):
                await self.submit_to_silent_workers(world, 6)
                await self.wait_for_count(world, 6)
                await self.check_count(world, 6, 2.5)
            # Without an owner, the rows are counted.
            await self.check_count(world, 6, 0.5)
            async with self.run_node(world, "node-b"):
                await self.check_count(world, 6, 4.0)

        anyio.run(run)

    def test_jobs_that_have_begun_are_not_counted_again(self) -> None:
        """Fails if lost runs or a takeover make started jobs wait again."""

        async def run() -> None:
            world = node_world.NodeWorld("w1", "w2", run_s=None)
            async with self.run_node(world, "node-a"):
                for number in range(6):
                    job_id = f"{number:016x}"
                    await world.submit(_LONG_RUNNING, job_id=job_id)
                    await world.wait_for_state("running", job_id)
                await self.wait_for_count(world, 0)
                for worker in world.workers.values():
                    worker.is_silent = True
                await self.check_count(world, 0, 3.5)
            await self.check_count(world, 0, 0.5)
            async with self.run_node(world, "node-b"):
                await self.check_count(world, 0, 4.0)

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
