"""Bounds on the wait of work that the usual order would leave for last."""

import unittest

from fireflywell.scheduling import model
from fireflywell.scheduling import overdue_share
from fireflywell.scheduling import runs as runs_lib
from tests import node_world
from tests import scheduling_samples as samples

_OLD_ID = "00000000000000a1"
_LATER_ID = "00000000000000a2"
_TICK_S = 0.1
_RUN_S = 0.4
# Far above three times the objective of each job here.
_LONG_AGO_S = -1000.0
_LOW_PRIORITY = model.QueuePolicy("audits", node_world.SERVICE, 1, 4, 1.6, 0.6)


class Pool:
    """Two workers with a steady stream of new jobs that fills them.

    Attributes:
        state: Jobs and workers of the service.
        started: Identifier of the job of each start, in order.
    """

    def __init__(self) -> None:
        self.state = samples.make_state("w1", "w2")
        self.started: list[str] = []
        self._running: list[tuple[float, runs_lib.Run]] = []
        self._now_s = 0.0
        self._count = 0

    def add_old(
        self,
        *steps: model.Step,
        job_id: str = _OLD_ID,
        policy: model.QueuePolicy = node_world.POLICY,
    ) -> None:
        """Adds a job that is overdue."""
        job = samples.make_job(
            job_id, *steps, arrived_s=_LONG_AGO_S, policy=policy
        )
        self.state.add_job(job)

    def advance(self, seconds: float) -> None:
        """Lets time pass; new jobs arrive and runs end."""
        for _ in range(round(seconds / _TICK_S)):
            self._now_s += _TICK_S
            self._count += 1
            step = node_world.make_step(3, estimated_s=_RUN_S)
            job_id = f"{self._count + 0x1000:016x}"
            self.state.add_job(
                samples.make_job(job_id, step, arrived_s=self._now_s)
            )
            self._end_runs()
            for run in self.state.plan(self._now_s):
                self.started.append(run.unit.step.job.job_id)
                if not run.unit.step.spec.is_long_running:
                    self._running.append((self._now_s + _RUN_S, run))

    def _end_runs(self) -> None:
        ended = [item for item in self._running if item[0] <= self._now_s]
        for item in ended:
            self._running.remove(item)
            run = item[1]
            end = samples.report_end(run.unit.name, run.number)
            # Requested before the runs were confirmed, so that the report
            # doesn't end those that it doesn't list.
            self.state.apply_report(
                run.worker_id,
                samples.make_report(ended=(end,)),
                -1.0,
                self._now_s,
            )


class OverdueShareTest(unittest.TestCase):
    """Overdue work beside newer work that needs more than the whole pool."""

    def setUp(self) -> None:
        """Fills the pool."""
        self.pool = Pool()
        self.pool.advance(2.0)
        self.pool.started.clear()

    def test_overdue_unit_waits_for_a_bounded_number_of_placements(
        self,
    ) -> None:
        """Fails if newer work keeps an accepted job from ever starting.

        A job accepted at 18.5 s hadn't started at 35 s, although runs were
        placed all the time (incident 25).
        """
        self.pool.add_old(node_world.make_step(3))
        self.pool.advance(8.0)
        places = [
            index
            for index, job_id in enumerate(self.pool.started)
            if job_id == _OLD_ID
        ]
        divisor = overdue_share.SHARE_DIVISOR
        self.assertEqual(places, [0, divisor, 2 * divisor])

    def test_overdue_work_gets_no_more_than_its_share(self) -> None:
        """Fails if a backlog of overdue work delays the jobs in time."""
        for number in range(5):
            self.pool.add_old(
                node_world.make_step(9), job_id=f"{number + 0xB000:016x}"
            )
        self.pool.advance(8.0)
        old = [item for item in self.pool.started if int(item, 16) >= 0xB000]
        share = len(old) / len(self.pool.started)
        self.assertAlmostEqual(
            share, 1 / overdue_share.SHARE_DIVISOR, delta=0.01
        )

    def test_queue_of_low_priority_has_its_turn(self) -> None:
        """Fails if a queue starves while one of higher priority is busy."""
        self.pool.add_old(node_world.make_step(1), policy=_LOW_PRIORITY)
        self.pool.advance(1.0)
        self.assertIn(_OLD_ID, self.pool.started)

    def test_large_overdue_unit_gets_a_worker_to_itself(self) -> None:
        """Fails if small units take each freed core before a large one."""
        demand = model.ResourceAmounts(4000, 100)
        self.pool.add_old(node_world.make_step(1, demand=demand))
        self.pool.advance(2 * _RUN_S)
        self.assertIn(_OLD_ID, self.pool.started)

    def test_overdue_gang_gets_as_many_workers_as_it_needs(self) -> None:
        """Fails if a gang that needs several workers is never started."""
        self.pool.add_old(node_world.make_step(7, is_gang=True))
        self.pool.advance(2 * _RUN_S)
        self.assertEqual(self.pool.started.count(_OLD_ID), 7)

    def test_step_that_no_worker_can_hold_loses_its_turn(self) -> None:
        """Fails if one step without a suitable worker blocks all overdue work.

        Its label may belong to a worker that is gone.
        """
        self.pool.add_old(node_world.make_step(1, required_label="gone"))
        self.pool.add_old(node_world.make_step(1), job_id=_LATER_ID)
        self.pool.advance(1.0)
        self.assertIn(_LATER_ID, self.pool.started)


class ReservationTest(unittest.TestCase):
    """Workers that are kept free for a step that doesn't fit yet."""

    def test_large_unit_reserves_although_less_is_free(self) -> None:
        """Fails if a large unit that doesn't fit at once isn't considered.

        Costlier small units would take each freed core.
        """
        state = samples.make_state("w1")
        small = node_world.make_step(4, estimated_s=50.0)
        state.add_job(samples.make_job(_OLD_ID, small))
        run, *_ = state.plan(1.0)
        demand = model.ResourceAmounts(2000, 100)
        large = node_world.make_step(1, demand=demand, estimated_s=20.0)
        state.add_job(samples.make_job(_LATER_ID, large))
        state.plan(1.0)
        costly = node_world.make_step(40, estimated_s=50.0)
        state.add_job(samples.make_job("00000000000000a3", costly))
        end = samples.report_end(run.unit.name)
        report = samples.make_report(ended=(end,))
        state.apply_report("w1", report, 0.0, 2.0)
        self.assertEqual(state.plan(2.0), [])

    def test_worker_that_never_empties_is_not_reserved(self) -> None:
        """Fails if a unit waits for room that a long-running one keeps.

        The worker with the most free CPU was reserved, and the unit that
        fits on the other one as soon as it is empty waited for ever.
        """
        state = samples.make_state("w1", "w2")
        lasting = node_world.make_step(1, is_long_running=True)
        state.add_job(samples.make_job("00000000000000a9", lasting))
        (kept,) = state.plan(1.0)
        state.add_job(samples.make_job(_OLD_ID, node_world.make_step(7)))
        runs = state.plan(1.0)
        large = node_world.make_step(
            1, demand=model.ResourceAmounts(4000, 100), is_long_running=True
        )
        state.add_job(samples.make_job(_LATER_ID, large))
        stream = node_world.make_step(40)
        state.add_job(samples.make_job("00000000000000b1", stream))
        started = []
        # The runs beside the long-running unit end first.
        runs.sort(key=lambda run: run.worker_id != kept.worker_id)
        for number, run in enumerate(runs, 1):
            end = samples.report_end(run.unit.name, run.number, number=number)
            report = samples.make_report(ended=(end,))
            state.apply_report(run.worker_id, report, 0.0, 1.0 + number)
            started = state.plan(1.0 + number)
        self.assertEqual(
            [run.unit.step.job.job_id for run in started], [_LATER_ID]
        )


if __name__ == "__main__":
    unittest.main()
