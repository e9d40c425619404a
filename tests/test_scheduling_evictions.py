"""Evictions of long-running units whose worker restarts meanwhile."""

import unittest

from fireflywell.scheduling import evictions
from fireflywell.scheduling import runs as runs_lib
from tests import node_world
from tests import scheduling_samples as samples

_JOB_ID = "00000000000000a1"


class RestartedWorkerTest(unittest.TestCase):
    """A worker that restarts while a unit is being evicted from it."""

    def setUp(self) -> None:
        """Runs a unit on each of two workers; one start lost an answer."""
        self.state = samples.make_state("w1", "w2")
        step = node_world.make_step(
            2, is_long_running=True, may_be_away=1, max_per_worker=1
        )
        self.state.add_job(samples.make_job(_JOB_ID, step))
        self.runs = {run.worker_id: run for run in self.state.plan(1.0)}
        self.runs["w1"].unanswered_starts = 1
        for run in self.runs.values():
            self.state.confirm_start(run, 1.1)
            self.report(run.worker_id, 2.0, run)

    def report(self, worker_id: str, now_s: float, *runs: runs_lib.Run) -> None:
        """Applies a report that lists the given runs."""
        listed = (
            samples.report_running(run.unit.name, run.number) for run in runs
        )
        self.state.apply_report(
            worker_id,
            samples.make_report(running=tuple(listed)),
            now_s - 0.01,
            now_s,
        )

    def may_send_stop(self, now_s: float) -> bool:
        """Returns whether the evicted run's stop may be sent."""
        return evictions.may_send_stop(
            self.state, self.runs["w1"], now_s, is_owner=True
        )

    def test_units_start_again_after_both_workers_were_lost(self) -> None:
        """Fails if two units wait for each other for ever.

        The stop of the evicted run, which its worker's restart had ended, was
        held back until the other unit worked, and the other unit waited for the
        worker that the run occupied.
        """
        evicted = self.runs["w1"]
        self.state.stop_run(evicted)
        self.state.workers["w2"].is_reachable = False
        self.state.drop_worker_runs("w2")
        self.state.end_incarnation("w1", 3.0)
        self.assertTrue(self.may_send_stop(3.1))
        self.state.confirm_stop("w1", evicted.unit.name, evicted.number, 3.2)
        self.report("w1", 4.0)
        self.assertEqual(len(self.state.plan(5.0)), 1)

    def test_unit_that_the_next_incarnation_started_is_spared(self) -> None:
        """Fails if a unit is interrupted because its worker had restarted."""
        self.state.stop_run(self.runs["w1"])
        self.state.drop_worker_runs("w2")
        self.state.end_incarnation("w1", 3.0)
        self.report("w1", 3.0, self.runs["w1"])
        self.assertFalse(self.may_send_stop(3.1))

    def test_stop_of_a_unit_at_work_is_held_back(self) -> None:
        """Fails if a unit is interrupted while too many others are away."""
        self.state.stop_run(self.runs["w1"])
        self.assertTrue(self.may_send_stop(2.1))
        self.state.drop_worker_runs("w2")
        self.assertFalse(self.may_send_stop(2.2))


if __name__ == "__main__":
    unittest.main()
