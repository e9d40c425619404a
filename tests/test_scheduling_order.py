"""Order, placement, throttling and VM demand under load peaks."""

import unittest

from fireflywell.scheduling import capacity
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import model
from fireflywell.scheduling import ranking
from fireflywell.scheduling import service_state
from fireflywell.scheduling import throttling
from tests import node_world
from tests import scheduling_samples as samples


def make_id(number: int) -> str:
    """Returns a job's id."""
    return f"{number:016x}"


class OverloadTest(unittest.TestCase):
    """Four seconds of demand at five times the capacity of the pool."""

    def replay(self, *, by_age: bool) -> int:
        """Simulates the peak and returns how many jobs met their objective.

        Args:
            by_age: Whether all jobs count as overdue, so that the oldest comes
                first.
        """
        state = samples.make_state("w1", "w2")
        step = node_world.make_step(
            4, demand=model.ResourceAmounts(1000, 100), estimated_s=0.6
        )
        finished = 0
        running: list[tuple[float, str, str]] = []
        for tick in range(100):
            now_s = tick * 0.1
            if now_s < 4.0:
                arrived_s = 0.0 if by_age else now_s
                job = samples.make_job(make_id(tick), step, arrived_s=arrived_s)
                state.add_job(job)
                # The true arrival decides whether the objective is met.
                job.arrived_s = now_s
                if by_age:
                    job.arrived_s = now_s - 100.0 + tick * 0.001
            for due_s, worker, unit in tuple(running):
                if due_s <= now_s:
                    running.remove((due_s, worker, unit))
                    report = samples.make_report(
                        ended=(samples.report_end(unit),)
                    )
                    # Requested before the runs were confirmed, so that the
                    # report doesn't end those that it doesn't list.
                    state.apply_report(worker, report, -1.0, now_s)
            for job_id, final in tuple(state.final_states.items()):
                if final == "completed" and job_id in state.finished:
                    job = state.finished.pop(job_id).job
                    true_arrival = int(job_id, 16) * 0.1
                    objective = ranking.estimate_occurrence(
                        job.steps
                    ).compute_objective_s(job.policy)
                    finished += now_s - true_arrival <= objective
            for run in state.plan(now_s):
                running.append((now_s + 0.6, run.worker_id, run.unit.name))
        return finished

    def test_feasible_jobs_go_before_late_ones(self) -> None:
        """Fails if a peak delays all jobs instead of only some.

        The baseline is first come, first served: all jobs are equally overdue.
        """
        self.assertGreater(
            self.replay(by_age=False), 2 * self.replay(by_age=True)
        )


class RecurrenceTest(unittest.TestCase):
    """Occurrences of a recurring job."""

    def test_objective_of_an_occurrence_starts_when_it_is_due(self) -> None:
        """Fails if a later occurrence counts as overdue when it is due.

        It then came after all newer work, because the job's arrival counted.
        """
        state = samples.make_state()
        samples.add_worker(state, "w1", cores=2)
        request = model.JobRequest(
            "text", (node_world.make_step(2),), model.Recurrence(0, 50_000, 2)
        )
        submission = model.Submission(
            make_id(1), node_world.POLICY, request, 0.0
        )
        state.add_job(jobs_lib.Job(submission, 0.0))
        state.queue_due_steps(0, 0.0)
        for number, run in enumerate(state.plan(0.0), 1):
            end = samples.report_end(run.unit.name, run.number, number=number)
            report = samples.make_report(ended=(end,))
            state.apply_report("w1", report, -1.0, 1.0)
        self.assertEqual(state.plan(2.0), [])
        state.queue_due_steps(50_000, 50.0)
        costly = node_world.make_step(2, estimated_s=5.0)
        state.add_job(samples.make_job(make_id(2), costly, arrived_s=50.0))
        placed = [run.unit.step.job.job_id for run in state.plan(50.0)]
        self.assertEqual(placed, [make_id(1)] * 2)


class PlacementTest(unittest.TestCase):
    """Choice of workers for units."""

    def test_long_running_units_are_spread(self) -> None:
        """Fails if units of a step share a worker and one crash ends them."""
        state = samples.make_state()
        for name, rack in (("w1", "r1-1"), ("w2", "r1-1"), ("w3", "r2-1")):
            samples.add_worker(state, name, rack)
        step = node_world.make_step(3, is_long_running=True)
        state.add_job(samples.make_job(make_id(1), step))
        self.assertEqual(
            {run.worker_id for run in state.plan(1.0)}, {"w1", "w2", "w3"}
        )

    def test_long_running_unit_gets_the_next_freed_capacity(self) -> None:
        """Fails if a large long-running unit is starved by small units.

        Each freed core would go to a small unit before enough are free.
        """
        state = samples.make_state("w1")
        small = node_world.make_step(4, demand=model.ResourceAmounts(1000, 1))
        state.add_job(samples.make_job(make_id(1), small))
        runs = state.plan(1.0)
        large = node_world.make_step(
            1, demand=model.ResourceAmounts(2000, 1), is_long_running=True
        )
        state.add_job(samples.make_job(make_id(2), large))
        state.add_job(samples.make_job(make_id(3), small))
        end = samples.report_end(runs[0].unit.name)
        state.apply_report("w1", samples.make_report(ended=(end,)), 1.0, 2.0)
        self.assertEqual(state.plan(2.0), [])
        end = samples.report_end(runs[1].unit.name, number=2)
        state.apply_report("w1", samples.make_report(ended=(end,)), 1.0, 2.1)
        started = [run.unit.step.job.job_id for run in state.plan(2.2)]
        self.assertEqual(started, [make_id(2)])

    def test_limits_of_a_worker_hold_within_one_pass(self) -> None:
        """Fails if a pass ignores its own placements on a worker.

        The worker would get more units of a step than `max_per_worker`.
        """
        state = samples.make_state("w1", "w2")
        step = node_world.make_step(9, max_per_worker=2)
        state.add_job(samples.make_job(make_id(1), step))
        self.assertEqual(len(state.plan(1.0)), 4)

    def test_gang_starts_whole_or_not_at_all(self) -> None:
        """Fails if some members of a gang start while others have no worker."""
        state = samples.make_state("w1")
        step = node_world.make_step(5, is_gang=True)
        state.add_job(samples.make_job(make_id(1), step))
        self.assertEqual(state.plan(1.0), [])
        samples.add_worker(state, "w2")
        self.assertEqual(len(state.plan(1.0)), 5)

    def test_worker_that_fails_everything_is_avoided(self) -> None:
        """Fails if a worker gets units during its pause after failures."""
        state = samples.make_state("w1", "w2")
        worker = state.workers["w1"]
        worker.avoid_until_s = 10.0
        state.add_job(samples.make_job(make_id(1), node_world.make_step(2)))
        self.assertEqual({r.worker_id for r in state.plan(1.0)}, {"w2"})


class ThrottlingTest(unittest.TestCase):
    """Filling units on the worker of a serving unit."""

    def choose(self, load: float, share: int = 100) -> list[int]:
        """Returns the changed shares, for a tail latency and current share."""
        state = samples.make_state("w1")
        serving = node_world.make_step(1, is_long_running=True, target_ms=100.0)
        filling = node_world.make_step(1, is_long_running=True, is_filling=True)
        state.add_job(samples.make_job(make_id(1), serving, filling))
        for run in state.plan(1.0):
            if run.unit.step.spec.is_filling:
                run.share_percent = share
            else:
                run.load = load
        throttles = throttling.choose_throttles(state.workers["w1"])
        return [item.percent for item in throttles]

    def test_filling_stops_above_the_target(self) -> None:
        """Fails if filling units run on while a serving unit is too slow."""
        self.assertEqual(self.choose(120.0), [0])

    def test_filling_backs_off_near_the_target(self) -> None:
        """Fails if filling units are slowed down only after a missed target."""
        self.assertEqual(self.choose(90.0), [50])

    def test_filling_recovers_in_steps(self) -> None:
        """Fails if throttled units stay throttled, or get all CPU back at once.

        A sudden return would raise the latency of the serving unit again.
        """
        self.assertEqual(self.choose(30.0, share=0), [15])


class CapacityTest(unittest.TestCase):
    """Demand for VMs of the spare pool, and their moves."""

    def test_targets_follow_needs_in_proportion(self) -> None:
        """Fails if one pool gets all VMs, or the pools get more than exist."""
        self.assertEqual(
            capacity.compute_targets({"a": 6, "b": 3, "c": 0}, 6),
            {"a": 4, "b": 2},
        )

    def test_idle_vm_moves_at_once_and_is_switched_off_later(self) -> None:
        """Fails if VMs stay in a pool after its peak.

        A VM moves to another pool's peak at once, is off after a pause.
        """
        vm = capacity.SparePoolVm("m1", "a", is_movable=True, idle_s=1.0)
        self.assertEqual(
            capacity.choose_moves((vm,), {"b": 1}, "spares"),
            [capacity.Move("m1", "b")],
        )
        self.assertEqual(capacity.choose_moves((vm,), {}, "spares"), [])
        idle = capacity.SparePoolVm("m1", "a", is_movable=True, idle_s=9.0)
        self.assertEqual(
            capacity.choose_moves((idle,), {}, "spares"),
            [capacity.Move("m1", "spares")],
        )

    def test_moving_vm_is_not_moved_again(self) -> None:
        """Fails if a VM gets a second order before its move has ended."""
        vm = capacity.SparePoolVm("m1", "a", is_movable=False, idle_s=9.0)
        self.assertEqual(capacity.choose_moves((vm,), {"b": 1}, "s"), [])

    def test_peak_is_noticed_within_half_a_second(self) -> None:
        """Fails if VMs are requested only after a peak of four seconds."""
        state = samples.make_state("w1")
        estimator = capacity.DemandEstimator()
        step = node_world.make_step(8, estimated_s=1.0)
        for tick in range(5):
            job = samples.make_job(make_id(tick), step, arrived_s=tick / 10)
            state.add_job(job)
            estimator.record_arrival(tick / 10, ranking.compute_work(job))
        self.assertGreater(estimator.compute_need(state, 0.5), 3)

    def test_rising_demand_is_extrapolated(self) -> None:
        """Fails if VMs are requested for the current demand while it rises.

        A queue rose from 7 to 40 jobs per second in 3 s; VMs were requested
        2.5 s after the start and were up when it was over (grown Atlas).
        """
        state = samples.make_state(*(f"w{number}" for number in range(20)))
        steady, rising = capacity.DemandEstimator(), capacity.DemandEstimator()
        for tick in range(30):
            at_s = 1.5 * tick / 30
            steady.record_arrival(at_s, 2.0)
            # The same total, with twice as many at the end as at the start.
            rising.record_arrival(1.5 * (tick / 30) ** 0.6, 2.0)
        self.assertEqual(steady.compute_need(state, 1.5), 0)
        self.assertGreater(rising.compute_need(state, 1.5), 0)

    def test_few_arrivals_make_no_trend(self) -> None:
        """Fails if a few large jobs in a row count as rising demand.

        VMs of a small site would move without need.
        """
        state = samples.make_state(*(f"w{number}" for number in range(20)))
        estimator = capacity.DemandEstimator()
        for at_s in (0.2, 0.9, 1.0, 1.1, 1.2):
            estimator.record_arrival(at_s, 12.0)
        self.assertEqual(estimator.compute_need(state, 1.5), 0)

    def test_no_need_without_demand(self) -> None:
        """Fails if VMs are requested for a service without jobs."""
        state = service_state.ServiceState(1)
        self.assertEqual(capacity.DemandEstimator().compute_need(state, 1.0), 0)


if __name__ == "__main__":
    unittest.main()
