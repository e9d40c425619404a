"""Short units beside workers that are reserved for a larger step."""

import unittest

from fireflywell.scheduling import model
from tests import node_world
from tests import scheduling_samples as samples

_LONG_ID = "00000000000000a1"
_HOLDER_ID = "00000000000000a2"
_SHORT_ID = "00000000000000a3"
_WHOLE_WORKER = model.ResourceAmounts(4000, 100)
_LONG_S = 60.0
_LONG_AGO_S = -1000.0


class HeldWorkerTest(unittest.TestCase):
    """A step that waits for the end of a long unit."""

    def setUp(self) -> None:
        """Starts a unit on one of two workers that takes a minute."""
        self.state = samples.make_state("w1", "w2")
        self.add_job(_LONG_ID, node_world.make_step(1, estimated_s=_LONG_S))
        (run,) = self.state.plan(0.0)
        run.confirm(0.0)

    def add_job(
        self, job_id: str, step: model.Step, arrived_s: float = 0.0
    ) -> None:
        """Adds a job of one step."""
        self.state.add_job(samples.make_job(job_id, step, arrived_s=arrived_s))

    def add_short_job(self, now_s: float, duration_s: float = 0.3) -> None:
        """Adds a job of one small unit."""
        step = node_world.make_step(1, estimated_s=duration_s)
        self.add_job(_SHORT_ID, step, now_s)

    def add_gang(self) -> None:
        """Adds an overdue gang that needs both workers for itself."""
        step = node_world.make_step(
            2, demand=_WHOLE_WORKER, is_gang=True, estimated_s=1.0
        )
        self.add_job(_HOLDER_ID, step, _LONG_AGO_S)

    def assert_only_short_job_starts(self, now_s: float) -> None:
        """Checks what starts now."""
        self.assertEqual(
            [run.unit.step.job.job_id for run in self.state.plan(now_s)],
            [_SHORT_ID],
        )

    def test_short_units_run_while_an_overdue_gang_waits(self) -> None:
        """Fails if nothing runs on free workers while a gang waits.

        A gang that was overdue reserved all workers that it needs. All other
        jobs waited for as long as one unit there took (rule LOST).
        """
        self.add_gang()
        self.assertEqual(self.state.plan(1.0), [])
        self.add_short_job(1.0)
        self.assert_only_short_job_starts(1.1)

    def test_short_units_run_while_a_long_running_unit_waits(self) -> None:
        """Fails if work waits beside cores that a long-running unit waits for.

        The only worker runs a long unit and can't hold it soon.
        """
        self.state.workers["w2"].is_reachable = False
        step = node_world.make_step(
            1, demand=_WHOLE_WORKER, is_long_running=True
        )
        self.add_job(_HOLDER_ID, step)
        self.assertEqual(self.state.plan(1.0), [])
        self.add_short_job(1.0)
        self.assert_only_short_job_starts(1.1)

    def test_units_that_would_delay_the_holder_wait(self) -> None:
        """Fails if a stream of units keeps a gang from ever starting."""
        self.add_gang()
        self.assertEqual(self.state.plan(50.0), [])
        self.add_short_job(50.0, duration_s=11.0)
        self.assertEqual(self.state.plan(50.1), [])

    def test_holder_is_next_when_the_long_unit_should_end(self) -> None:
        """Fails if units take the workers just before the gang fits."""
        self.add_gang()
        self.add_short_job(59.0)
        self.assertEqual(self.state.plan(59.9), [])

    def test_late_unit_does_not_hold_up_others_for_long(self) -> None:
        """Fails if work waits for a unit that takes longer than expected.

        Nothing tells when it ends.
        """
        self.add_gang()
        self.add_short_job(60.0)
        self.assertEqual(self.state.plan(_LONG_S + 1.9), [])
        self.assert_only_short_job_starts(_LONG_S + 2.1)


if __name__ == "__main__":
    unittest.main()
