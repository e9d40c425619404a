"""Runs whose start or stop has no answer, and the reports that decide them."""

import unittest

from fireflywell.scheduling import model
from fireflywell.scheduling import orders
from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import workers as workers_lib
from tests import node_world
from tests import scheduling_samples as samples

_ID = "00000000000000a1"
_UNIT = f"{_ID}.0.0.0"
_LEASE_END_MS = 6000
_TOKEN = 1000


class OpenStartTest(unittest.TestCase):
    """Starts without an answer."""

    def setUp(self) -> None:
        """Builds a service with two workers."""
        self.state = samples.make_state("w1", "w2")

    def start(self) -> runs_lib.Run:
        """Returns a run whose start was sent once without an answer."""
        self.state.add_job(samples.make_job(_ID, node_world.make_step(1)))
        (run,) = self.state.plan(1.0)
        run.unanswered_starts = 1
        run.may_start_until_ms = _LEASE_END_MS
        run.start_token = _TOKEN
        return run

    def report(
        self,
        run: runs_lib.Run,
        clock_ms: int,
        *running: orders.RunReport,
        has_all_ends: bool = True,
        token: int = _TOKEN,
    ) -> None:
        """Applies a report of the run's worker."""
        report = orders.WorkerReport(clock_ms, 1, running, (), has_all_ends)
        at_s = clock_ms / 1000
        self.state.apply_report(run.worker_id, report, at_s, at_s, token)

    def test_lease_end_decides_a_start_without_an_answer(self) -> None:
        """Fails if a unit waits for ever, or starts while its order is valid.

        The worker refuses an order after the end of its lease, so a later
        complete report shows whether the run began.
        """
        for phase in (
            runs_lib.RunPhase.SENDING,
            runs_lib.RunPhase.START_UNKNOWN,
            runs_lib.RunPhase.STOPPING,
        ):
            with self.subTest(phase=phase):
                self.setUp()
                run = self.start()
                run.phase = phase
                self.report(run, _LEASE_END_MS)
                self.assertEqual(self.state.plan(7.0), [])
                self.report(run, _LEASE_END_MS + 1, has_all_ends=False)
                self.assertEqual(self.state.plan(7.0), [])
                self.report(run, _LEASE_END_MS + 2)
                (second,) = self.state.plan(7.0)
                self.assertGreater(second.number, run.number)

    def test_reported_run_is_kept(self) -> None:
        """Fails if work that began late is thrown away or started twice."""
        run = self.start()
        self.state.refuse_start(run, orders.Refusal.NO_ROOM, 2.0)
        self.report(run, 3000, samples.report_running(_UNIT))
        self.assertIs(run.phase, runs_lib.RunPhase.RUNNING)
        self.assertEqual(self.state.plan(4.0), [])

    def test_lease_end_of_the_former_incarnation_decides_nothing(self) -> None:
        """Fails if a unit starts twice because a worker's clock began anew.

        A report that was requested with the same token as the start decides
        only after the confirmed stop, which is requested until it is confirmed.
        """
        run = self.start()
        self.state.end_incarnation(run.worker_id, 2.0)
        self.state.confirm_start(run, 2.1)
        self.state.refuse_start(run, orders.Refusal.OLD_RUN, 2.2)
        for clock_ms in (3000, _LEASE_END_MS + 1, 9000):
            self.report(run, clock_ms)
            self.assertEqual(self.state.plan(clock_ms / 1000), [])
        self.assertGreater(len(self.state.pending_stops), 1)
        self.state.confirm_stop(run.worker_id, _UNIT, 1, 10.0)
        self.report(run, 11_000)
        self.assertEqual(len(self.state.plan(11.0)), 1)

    def test_request_with_a_higher_token_decides_after_a_restart(self) -> None:
        """Fails if a unit waits for a stop, or starts beside its run.

        A worker that has received a higher token refuses the start. An
        incomplete report may lack the run's end.
        """
        for phase in (
            runs_lib.RunPhase.SENDING,
            runs_lib.RunPhase.START_UNKNOWN,
            runs_lib.RunPhase.STOPPING,
        ):
            with self.subTest(phase=phase):
                self.setUp()
                run = self.start()
                run.phase = phase
                self.state.end_incarnation(run.worker_id, 2.0)
                self.report(run, 3000)
                self.report(run, 3100, has_all_ends=False, token=_TOKEN + 1)
                self.assertEqual(self.state.plan(3.1), [])
                self.report(run, 3200, token=_TOKEN + 1)
                (second,) = self.state.plan(3.2)
                self.assertGreater(second.number, run.number)

    def test_higher_token_says_nothing_of_later_starts(self) -> None:
        """Fails if a start to the next incarnation counts as refused by it."""
        run = self.start()
        self.state.end_incarnation(run.worker_id, 2.0)
        self.report(run, 3000, token=_TOKEN + 1)
        (second,) = self.state.plan(3.0)
        second.unanswered_starts = 1
        second.may_start_until_ms = _LEASE_END_MS
        second.start_token = _TOKEN + 1
        self.report(second, 3500, token=_TOKEN + 1)
        self.assertEqual(self.state.plan(3.5), [])

    def test_stop_of_a_cancelled_run_outlasts_a_restart(self) -> None:
        """Fails if a cancelled unit works on because its worker restarted."""
        run = self.start()
        self.state.cancel_job(_ID)
        self.state.end_incarnation(run.worker_id, 2.0)
        self.report(run, 3000, samples.report_running(_UNIT))
        self.assertIs(run.phase, runs_lib.RunPhase.STOPPING)

    def test_accepted_start_of_a_stopped_run_is_not_forgotten(self) -> None:
        """Fails if a unit starts beside its run whose stop has no answer.

        An older report doesn't list the run.
        """
        run = self.start()
        self.state.stop_run(run)
        self.state.confirm_start(run, 5.0)
        report = orders.WorkerReport(_LEASE_END_MS + 1, 1, (), ())
        self.state.apply_report(run.worker_id, report, 4.9, 5.1)
        self.assertEqual(self.state.plan(5.2), [])


class StopTest(unittest.TestCase):
    """Stops that a worker doesn't confirm."""

    def setUp(self) -> None:
        """Builds a service whose only run has to be stopped."""
        self.state = samples.make_state("w1")
        self.state.add_job(samples.make_job(_ID, node_world.make_step(1)))
        (self.run,) = self.state.plan(1.0)
        self.state.confirm_start(self.run, 1.0)
        self.state.stop_run(self.run)
        self.state.pending_stops.clear()

    def report(self, at_s: float, *running: orders.RunReport) -> None:
        """Applies a report."""
        report = samples.make_report(running)
        self.state.apply_report("w1", report, at_s, at_s)

    def test_listed_run_is_stopped_again(self) -> None:
        """Fails if a run works on for ever after its stop was refused."""
        for at_s in (2.0, 2.5, 3.0):
            self.report(at_s, samples.report_running(_UNIT))
        self.assertEqual(len(self.state.pending_stops), 1)

    def test_run_that_is_not_listed_is_over(self) -> None:
        """Fails if a unit waits for the answer to a stop of an ended run."""
        self.report(2.0)
        self.assertEqual(len(self.state.plan(3.0)), 1)


class OpenStartLimitTest(unittest.TestCase):
    """Limit of the starts without an answer on one worker."""

    def setUp(self) -> None:
        """Builds a service with one large and one small worker."""
        self.state = samples.make_state()
        samples.add_worker(self.state, "w1", cores=40)
        samples.add_worker(self.state, "w2", cores=80)

    def place(self, step: model.Step) -> dict[str, int]:
        """Returns how many units of a step are placed on each worker."""
        self.state.add_job(samples.make_job(_ID, step))
        names = [run.worker_id for run in self.state.plan(1.0)]
        return {name: names.count(name) for name in set(names)}

    def test_units_go_to_other_workers(self) -> None:
        """Fails if units queue behind starts that a worker doesn't answer."""
        limit = workers_lib.MAX_OPEN_STARTS
        step = node_world.make_step(
            3 * limit, demand=model.ResourceAmounts(1000, 1)
        )
        self.assertEqual(self.place(step), {"w1": limit, "w2": limit})
        self.assertEqual(self.state.plan(2.0), [])
        for run in tuple(self.state.workers["w2"].runs.values()):
            self.state.confirm_start(run, 3.0)
        placed = [run.worker_id for run in self.state.plan(4.0)]
        self.assertEqual(placed, ["w2"] * limit)

    def test_gang_of_more_units_is_placed(self) -> None:
        """Fails if a gang that fits on one worker only is never placed."""
        del self.state.workers["w1"]
        size = 2 * workers_lib.MAX_OPEN_STARTS
        step = node_world.make_step(
            size, demand=model.ResourceAmounts(1000, 1), is_gang=True
        )
        self.assertEqual(self.place(step), {"w2": size})


if __name__ == "__main__":
    unittest.main()
