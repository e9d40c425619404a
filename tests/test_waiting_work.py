"""Waiting work: what counts as a wait, and the reason that is given for it."""

import unittest

from fireflywell.node import wait_reporter
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import model
from fireflywell.scheduling import orders
from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import wait_reasons
from fireflywell.scheduling import waiting_work
from fireflywell.scheduling import workers as workers_lib
from fireflywell.telemetry import prometheus_metrics
from tests import captured_log
from tests import node_world
from tests import scheduling_samples as samples

_ID = "00000000000000a1"
_OTHER_ID = "00000000000000a2"
_LATE_S = 10.0


class WaitCase(unittest.TestCase):
    """A service with two workers of four cores."""

    def setUp(self) -> None:
        """Builds the service."""
        self.state = samples.make_state("w1", "w2")
        self.tracker = waiting_work.WaitTracker(self.state)

    def add_job(
        self, *steps: model.Step, job_id: str = _ID, arrived_s: float = 0.0
    ) -> jobs_lib.Job:
        """Adds a job, of one small unit unless steps are given."""
        job = samples.make_job(job_id, *steps, arrived_s=arrived_s)
        self.state.add_job(job)
        return job

    def look(
        self, now_s: float = _LATE_S, *unreported: str, is_planning: bool = True
    ) -> waiting_work.WaitingWork:
        """Returns the work that waits."""
        return self.tracker.look(now_s, unreported, is_planning=is_planning)

    def find_reason(
        self, now_s: float = _LATE_S, *unreported: str, is_planning: bool = True
    ) -> wait_reasons.Reason:
        """Returns the reason of the longest wait, which began before 0 s."""
        self.look(0.0)
        work = self.look(now_s, *unreported, is_planning=is_planning)
        assert work.long_wait is not None
        return work.long_wait.reason


class WaitTest(WaitCase):
    """Which work waits, and for how long."""

    def test_wait_of_a_new_job_counts_from_its_acceptance(self) -> None:
        """Fails if a takeover hides how long an accepted job has waited."""
        self.add_job(arrived_s=1.0)
        work = self.look(1.0 + waiting_work.EXPLAINED_WAIT_S)
        self.assertIsNone(work.long_wait)
        work = self.look(_LATE_S)
        assert work.long_wait is not None
        self.assertEqual(work.units, 1)
        self.assertEqual(work.long_wait.wait_s, 9.0)
        self.assertEqual(work.long_wait.unit, f"{_ID}.0.0.0")
        self.assertEqual(work.long_wait.free_cpu_share, 1.0)

    def test_wait_beside_full_workers_is_not_explained(self) -> None:
        """Fails if plain overload fills the log."""
        self.add_job(node_world.make_step(8))
        for run in self.state.plan(0.0):
            self.state.confirm_start(run, 0.0)
        self.add_job(job_id=_OTHER_ID)
        work = self.look()
        self.assertEqual(work.longest_wait_s, _LATE_S)
        self.assertIsNone(work.long_wait)

    def test_large_unit_does_not_hide_a_smaller_one(self) -> None:
        """Fails if an older wait without room hides one with room."""
        self.add_job(
            node_world.make_step(demand=model.ResourceAmounts(64_000, 100))
        )
        self.add_job(job_id=_OTHER_ID, arrived_s=1.0)
        work = self.look()
        assert work.long_wait is not None
        self.assertEqual(work.long_wait.unit, f"{_OTHER_ID}.0.0.0")

    def test_short_job_waits_only_while_nothing_of_it_runs(self) -> None:
        """Fails if a job at work is reported, or one that stopped isn't."""
        job = self.add_job(node_world.make_step(2))
        first, second = self.state.plan(0.0)
        self.state.confirm_start(first, 0.0)
        self.assertEqual(self.look(5.0).units, 0)
        report = samples.make_report(
            ended=(samples.report_end(first.unit.name),)
        )
        self.state.apply_report(first.worker_id, report, 5.0, 5.0)
        self.assertEqual(self.look(6.0).units, 1)
        self.assertEqual(self.look(9.0).longest_wait_s, 3.0)
        self.state.confirm_start(second, 9.0)
        self.assertEqual(self.look(9.5).units, 0)
        self.assertFalse(job.are_units_done)

    def test_each_long_running_unit_waits_by_itself(self) -> None:
        """Fails if one unit at work hides that another is missing."""
        self.add_job(node_world.make_step(2, is_long_running=True))
        first, _ = self.state.plan(0.0)
        self.state.confirm_start(first, 0.0)
        self.look(0.0)
        work = self.look()
        self.assertEqual((work.units, work.longest_wait_s), (1, _LATE_S))

    def test_units_of_a_final_job_do_not_wait(self) -> None:
        """Fails if a cancelled job whose stop is open counts as waiting."""
        self.add_job()
        self.state.plan(0.0)
        self.state.cancel_job(_ID)
        self.assertEqual(self.look().units, 0)


class ReasonTest(WaitCase):
    """Why the unit that has waited longest isn't started."""

    def test_silent_worker_blocks_inherited_work(self) -> None:
        """Fails if the log doesn't name the workers that are waited for."""
        self.state.is_recovery_complete = False
        self.add_job().is_recovered = True
        self.assertEqual(
            self.find_reason(_LATE_S, "w3"),
            wait_reasons.RecoveryIncomplete(("w3",)),
        )
        self.state.is_recovery_complete = True
        self.assertNotIsInstance(
            self.find_reason(), wait_reasons.RecoveryIncomplete
        )

    def test_start_without_an_answer(self) -> None:
        """Fails if runs that were never confirmed pass for runs at work."""
        self.add_job()
        (run,) = self.state.plan(0.0)
        run.unanswered_starts = 1
        self.assertEqual(
            self.find_reason(),
            wait_reasons.StartUnanswered(run.worker_id, 1, 1, False, 1),
        )
        self.state.mark_start_unknown(run)
        self.assertEqual(
            self.find_reason(),
            wait_reasons.StartUnanswered(run.worker_id, 1, 1, True, 1),
        )

    def test_stop_that_is_not_confirmed(self) -> None:
        """Fails if a unit that waits for a report has no reason."""
        self.add_job()
        (run,) = self.state.plan(0.0)
        self.state.confirm_start(run, 0.0)
        self.state.stop_run(run)
        for is_reachable in (True, False):
            self.state.workers[run.worker_id].is_reachable = is_reachable
            self.assertEqual(
                self.find_reason(),
                wait_reasons.StopUnconfirmed(run.worker_id, 1, is_reachable),
            )

    def test_workers_that_accept_nothing(self) -> None:
        """Fails if cordoned, paused or silent workers aren't told apart."""
        self.add_job()
        first, second = self.state.workers.values()
        first.is_cordoned = True
        second.is_reachable = False
        self.assertEqual(
            self.find_reason(),
            wait_reasons.NoWorkerAccepts(
                wait_reasons.Obstacles(cordoned=1, unreachable=1)
            ),
        )
        second.is_reachable = True
        second.avoid_until_s = _LATE_S + 1
        self.assertEqual(
            self.find_reason(),
            wait_reasons.NoWorkerAccepts(
                wait_reasons.Obstacles(cordoned=1, paused=1)
            ),
        )

    def test_limit_per_worker_and_memory(self) -> None:
        """Fails if a unit that free workers may not run has no reason."""
        self.add_job(
            node_world.make_step(2, is_long_running=True, max_per_worker=1)
        )
        first, second = self.state.workers.values()
        second.free_memory = 0
        (run,) = self.state.plan(0.0)
        self.state.confirm_start(run, 0.0)
        self.assertEqual(
            self.find_reason(),
            wait_reasons.NoWorkerFits(
                wait_reasons.Obstacles(max_per_worker=1, memory=1)
            ),
        )
        self.assertEqual(run.worker_id, first.worker_id)

    def test_open_starts(self) -> None:
        """Fails if open starts hold work off and the reason is another."""
        limit = workers_lib.MAX_OPEN_STARTS
        small = model.ResourceAmounts(100, 100)
        self.add_job(node_world.make_step(2 * limit + 1, demand=small))
        self.assertEqual(len(self.state.plan(0.0)), 2 * limit)
        self.add_job(node_world.make_step(demand=small), job_id=_OTHER_ID)
        self.assertEqual(
            self.find_reason(),
            wait_reasons.NoWorkerFits(wait_reasons.Obstacles(open_starts=2)),
        )

    def test_missing_ticket(self) -> None:
        """Fails if a unit without a ticket passes for one behind others."""
        policy = model.QueuePolicy(
            "quotes", "desk", advice=model.AdvicePolicy(0.1, 0.01, 5.0)
        )
        self.state.add_job(samples.make_job(_ID, policy=policy))
        self.assertEqual(
            self.find_reason(),
            wait_reasons.NoWorkerFits(wait_reasons.Obstacles(ticket=2)),
        )

    def test_reservation_for_another_step(self) -> None:
        """Fails if work that reservations hold off has no reason."""
        steps = []
        for number, worker in enumerate(self.state.workers.values()):
            job = self.add_job(job_id=f"{number:016x}", arrived_s=_LATE_S)
            self.state.reservations.reserve(job.steps[0], [worker])
            steps.append(job.steps[0].key)
        self.add_job()
        self.assertEqual(
            self.find_reason(), wait_reasons.Reserved(tuple(steps))
        )

    def test_work_behind_others_names_its_band(self) -> None:
        """Fails if work past its time that comes last isn't recognized."""
        self.add_job()
        reason = self.find_reason(1000.0)
        assert isinstance(reason, wait_reasons.BehindOtherWork)
        self.assertIn("band overdue", wait_reasons.describe_reason(reason))

    def test_gang_that_waits_for_a_member(self) -> None:
        """Fails if a gang that can't start as a whole isn't recognized."""
        self.add_job(node_world.make_step(2, is_gang=True))
        first, second = self.state.plan(0.0)
        self.state.refuse_start(first, orders.Refusal.NO_ROOM, 0.0)
        reason = self.find_reason()
        assert isinstance(reason, wait_reasons.BehindOtherWork)
        self.assertTrue(reason.is_gang_incomplete)
        self.assertIs(second.phase, runs_lib.RunPhase.STOPPING)

    def test_owner_that_places_nothing(self) -> None:
        """Fails if an owner without a lease passes for full workers."""
        self.add_job()
        self.assertEqual(
            self.find_reason(is_planning=False), wait_reasons.PlannerStopped()
        )


class ReporterTest(WaitCase):
    """Log lines and metrics."""

    def setUp(self) -> None:
        """Adds a reporter."""
        super().setUp()
        self.metrics = prometheus_metrics.PrometheusMetrics()
        self.reporter = wait_reporter.WaitReporter(
            "desk-1/a", self.state, self.metrics
        )

    def report(self, *times_s: float) -> list[dict[str, object]]:
        """Returns the log lines of reports at these times."""
        with captured_log.capture_log() as lines:
            for now_s in times_s:
                self.reporter.report(now_s, (), is_planning=True)
        return captured_log.select_event(lines, "work.waiting")

    def test_line_names_unit_wait_and_reason(self) -> None:
        """Fails if on-call can't get from a waiting job to the cause."""
        self.add_job()
        self.state.workers["w1"].is_cordoned = True
        self.state.workers["w2"].is_cordoned = True
        (line,) = self.report(_LATE_S)
        self.assertEqual(line["unit"], f"{_ID}.0.0.0")
        self.assertEqual(line["wait_s"], _LATE_S)
        self.assertEqual(line["reason"], "no_worker_accepts")
        self.assertEqual(line["details"], "cordoned 2")

    def test_at_most_one_line_a_second(self) -> None:
        """Fails if many planning passes flood the log."""
        self.add_job()
        times_s = [_LATE_S + 0.1 * number for number in range(25)]
        self.assertEqual(len(self.report(*times_s)), 3)

    def test_metrics_end_with_the_tenure(self) -> None:
        """Fails if a former owner shows waits, or a name breaks metrics."""
        self.add_job()
        self.report(_LATE_S)
        shown = self.metrics.render().decode()
        name = "fireflywell_node_work_longest_wait_desk_1_a"
        self.assertIn(f"{name} 10.0", shown)
        self.assertIn("node_work_delayed_behind_other_work_total 1.0", shown)
        self.reporter.close()
        self.assertIn(f"{name} 0.0", self.metrics.render().decode())


if __name__ == "__main__":
    unittest.main()
