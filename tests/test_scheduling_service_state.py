"""Service state: no unit runs twice at a time, and no unit is forgotten."""

import unittest

from fireflywell.scheduling import job_rows
from fireflywell.scheduling import orders
from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import stop_requests
from tests import node_world
from tests import scheduling_samples as samples

_ID = "00000000000000a1"
_UNIT = f"{_ID}.0.0.0"


class RunTest(unittest.TestCase):
    """Starts, ends and reports of runs."""

    def setUp(self) -> None:
        """Builds a service with two workers."""
        self.state = samples.make_state("w1", "w2")

    def start(self, *steps: object) -> list[runs_lib.Run]:
        """Adds a job and returns its first runs."""
        job = samples.make_job(_ID, *steps)  # type: ignore[arg-type]
        self.state.add_job(job)
        return self.state.plan(1.0)

    def test_unit_of_an_unanswered_start_waits_for_the_confirmed_stop(
        self,
    ) -> None:
        """Fails if a unit is started again while its first start may happen.

        The first order had no response and may reach its worker later.
        """
        (run,) = self.start(node_world.make_step(1))
        self.state.mark_start_unknown(run)
        self.state.apply_report(run.worker_id, samples.make_report(), 2.0, 2.0)
        self.assertEqual(self.state.plan(2.0), [])
        self.state.confirm_stop(run.worker_id, _UNIT, 1, 3.0)
        # A report that was requested before the confirmation proves nothing.
        self.state.apply_report(run.worker_id, samples.make_report(), 2.5, 3.1)
        self.assertEqual(self.state.plan(3.2), [])
        self.state.apply_report(run.worker_id, samples.make_report(), 3.5, 3.6)
        (second,) = self.state.plan(3.7)
        self.assertGreater(second.number, run.number)

    def test_old_report_does_not_end_a_new_run(self) -> None:
        """Fails if a report requested before a start ends the new run.

        Such a report can't list the run, and its unit would be started twice.
        """
        (run,) = self.start(node_world.make_step(1))
        self.state.confirm_start(run, 5.0)
        self.state.apply_report(run.worker_id, samples.make_report(), 4.9, 5.1)
        self.assertIs(run.phase, runs_lib.RunPhase.RUNNING)

    def test_run_of_the_next_incarnation_survives_its_older_report(
        self,
    ) -> None:
        """Fails if a unit starts twice on and beside a restarted worker.

        The next incarnation confirmed the start after its first report had been
        requested, so that the report doesn't list the run.
        """
        (run,) = self.start(node_world.make_step(1))
        self.state.confirm_start(run, 5.0)
        self.assertEqual(self.state.end_incarnation(run.worker_id, 4.9), ())
        self.state.apply_report(run.worker_id, samples.make_report(), 4.9, 5.1)
        self.assertIs(run.phase, runs_lib.RunPhase.RUNNING)
        self.state.apply_report(run.worker_id, samples.make_report(), 5.2, 5.3)
        self.assertEqual(len(self.state.plan(5.3)), 1)

    def test_stop_of_an_unanswered_start_is_repeated_after_a_restart(
        self,
    ) -> None:
        """Fails if a stop that the former incarnation confirmed counts on.

        The next one doesn't know the stop and may carry out the start.
        """
        (run,) = self.start(node_world.make_step(1))
        run.unanswered_starts = 1
        self.state.mark_start_unknown(run)
        self.state.confirm_stop(run.worker_id, _UNIT, 1, 3.0)
        self.state.pending_stops.clear()
        self.state.end_incarnation(run.worker_id, 3.5)
        self.state.apply_report(run.worker_id, samples.make_report(), 3.5, 3.6)
        self.assertEqual(self.state.plan(3.7), [])
        self.assertEqual(len(self.state.pending_stops), 1)

    def test_run_whose_end_is_not_listed_yet_is_not_dropped(self) -> None:
        """Fails if a unit starts again although its run has ended `done`.

        A worker bounds the number of ends in a report. A run whose end comes
        later is in neither list and was taken as never started.
        """
        (run,) = self.start(node_world.make_step(1))
        self.state.confirm_start(run, 1.0)
        report = samples.make_report(has_all_ends=False)
        self.state.apply_report(run.worker_id, report, 2.0, 2.1)
        self.assertIs(run.phase, runs_lib.RunPhase.RUNNING)
        self.assertEqual(self.state.plan(3.0), [])

    def test_failure_counts_once_when_it_is_reported_again(self) -> None:
        """Fails if a failure that is reported repeatedly uses up attempts.

        A new owner receives ends that its predecessor didn't acknowledge.
        """
        (run,) = self.start(node_world.make_step(1))
        end = samples.report_end(_UNIT, kind=orders.EndKind.FAILED)
        report = samples.make_report(ended=(end,))
        for _ in range(3):
            self.state.apply_report(run.worker_id, report, 2.0, 2.0)
        unit = self.state.jobs[_ID].find_unit(0, 0, 0)
        assert unit is not None
        self.assertEqual(unit.failed_runs, [1])

    def test_run_without_a_unit_is_stopped_once(self) -> None:
        """Fails if each report of a run without a unit requests another stop.

        The run is listed until it has ended.
        """
        report = samples.make_report(
            running=(samples.report_running("x.0.0.0"),)
        )
        for at_s in (1.0, 1.1, 1.2):
            self.state.apply_report("w1", report, at_s, at_s)
        self.assertEqual(
            list(self.state.pending_stops),
            [stop_requests.StopRequest("w1", "x.0.0.0", 1)],
        )

    def test_end_of_a_gang_member_ends_the_others(self) -> None:
        """Fails if gang members run on after one of them has ended early."""
        runs = self.start(node_world.make_step(3, is_gang=True))
        self.assertEqual(len({run.number for run in runs}), 1)
        for run in runs:
            self.state.confirm_start(run, 1.0)
        end = samples.report_end(runs[0].unit.name, kind=orders.EndKind.LAPSED)
        report = samples.make_report(
            ended=(end,),
            running=tuple(
                samples.report_running(run.unit.name)
                for run in runs[1:]
                if run.worker_id == runs[0].worker_id
            ),
        )
        self.state.apply_report(runs[0].worker_id, report, 2.0, 2.0)
        self.assertEqual(len(self.state.pending_stops), 2)

    def test_cancelled_job_starts_nothing(self) -> None:
        """Fails if a unit starts after its job was cancelled."""
        self.start(node_world.make_step(1))
        self.state.cancel_job(_ID)
        self.state.add_job(samples.make_job(_ID, node_world.make_step(1)))
        self.assertEqual(self.state.plan(2.0), [])
        self.assertEqual(len(self.state.pending_stops), 1)


class TakeoverTest(unittest.TestCase):
    """Jobs and runs that a new owner of the service recovers."""

    def test_run_numbers_increase_with_the_fencing_token(self) -> None:
        """Fails if a new owner reuses a run number of its predecessor.

        A worker would mistake the new run for the old one.
        """
        state = samples.make_state("w1", token=3)
        state.add_job(samples.make_job(_ID))
        (run,) = state.plan(1.0)
        self.assertEqual(run.number, 2001)

    def test_recovered_units_wait_until_workers_have_reported(self) -> None:
        """Fails if a recovered unit starts while a worker may still run it."""
        state = samples.make_state("w1")
        state.is_recovery_complete = False
        recovered = samples.make_job(_ID)
        recovered.is_recovered = True
        state.add_job(recovered)
        state.add_job(samples.make_job("00000000000000b2"))
        (run,) = state.plan(1.0)
        self.assertEqual(run.unit.step.job.job_id, "00000000000000b2")
        state.is_recovery_complete = True
        self.assertEqual(len(state.plan(1.0)), 1)

    def test_reported_jobs_that_were_not_loaded_are_found(self) -> None:
        """Fails if a report of a job that isn't loaded yet goes unnoticed.

        Such runs were stopped as unknown and started again (trouble-2 of both
        sites).
        """
        state = samples.make_state("w1")
        report = samples.make_report(running=(samples.report_running(_UNIT),))
        self.assertEqual(state.find_unknown_jobs(report), {_ID})
        state.add_job(samples.make_job(_ID))
        self.assertEqual(state.find_unknown_jobs(report), frozenset())

    def test_progress_is_restored_after_encoding(self) -> None:
        """Fails if a done unit runs again after a takeover.

        The new owner restores the units from the stored progress.
        """
        state = samples.make_state("w1")
        job = samples.make_job(_ID, node_world.make_step(2))
        state.add_job(job)
        runs = state.plan(1.0)
        end = samples.report_end(runs[0].unit.name)
        state.apply_report("w1", samples.make_report(ended=(end,)), 2.0, 2.0)
        stored = job_rows.encode_progress(job_rows.snapshot_progress(job, 2.0))
        copy = samples.make_job(_ID, node_world.make_step(2))
        job_rows.restore_progress(copy, job_rows.decode_progress(stored))
        done = [unit.is_done for unit in samples.list_units(copy)]
        self.assertEqual(sum(done), 1)
        self.assertEqual(copy.steps[0].waiting_count, 1)

    def test_submission_is_equal_after_decoding(self) -> None:
        """Fails if a stored job has other values than the submitted one."""
        step = node_world.make_step(2, after=(), required_label="a")
        submission = samples.make_job(_ID, step).submission
        stored = job_rows.encode_submission(submission)
        self.assertEqual(job_rows.decode_job(stored), submission)


if __name__ == "__main__":
    unittest.main()
