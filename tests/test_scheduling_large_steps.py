"""Steps that don't fit now beside others that may never fit."""

import math
import unittest
from unittest import mock

from fireflywell.scheduling import model
from fireflywell.scheduling import workers as workers_lib
from tests import node_world
from tests import scheduling_samples as samples

_TICK_S = 0.1
_RUN_S = 0.5
_WHOLE_WORKER = model.ResourceAmounts(4000, 100)
_TOO_MUCH_MEMORY = model.ResourceAmounts(4000, 1_000_000)
_LARGE_ID = "00000000000000a1"
_ADVISED = model.QueuePolicy(
    "audits",
    node_world.SERVICE,
    0,
    4,
    1.6,
    0.6,
    model.AdvicePolicy(0.1, 0.0, 3.0),
)


def _make_id(number: int) -> str:
    return f"{number:016x}"


class UnplaceableStepTest(unittest.TestCase):
    """Old steps that no worker can hold beside a large one that fits."""

    def find_start(
        self, step: model.Step, policy: model.QueuePolicy = node_world.POLICY
    ) -> float:
        """Returns when an overdue unit that needs a whole worker starts.

        That is inf if it does not start within 20 s.

        Small jobs arrive at half of the worker's capacity. Twelve jobs are
        older than the large one.

        Args:
            step: Step of the older jobs.
            policy: Policy of the older jobs.
        """
        state = samples.make_state("w1")
        for number in range(12):
            job = samples.make_job(
                _make_id(number + 1), step, arrived_s=-2000.0, policy=policy
            )
            state.add_job(job)
        large = node_world.make_step(1, demand=_WHOLE_WORKER, estimated_s=1.0)
        running = []
        for tick in range(200):
            now_s = tick * _TICK_S
            if tick % 2:
                small = node_world.make_step(1, estimated_s=_RUN_S)
                state.add_job(
                    samples.make_job(
                        _make_id(tick + 0x1000), small, arrived_s=now_s
                    )
                )
            if tick == 20:
                state.add_job(
                    samples.make_job(_LARGE_ID, large, arrived_s=-1000.0)
                )
            for item in tuple(running):
                ends_s, run = item
                if ends_s <= now_s:
                    running.remove(item)
                    end = samples.report_end(run.unit.name, run.number)
                    report = samples.make_report(ended=(end,))
                    state.apply_report("w1", report, -1.0, now_s)
            for run in state.plan(now_s):
                if run.unit.step.job.job_id == _LARGE_ID:
                    return now_s
                running.append((now_s + _RUN_S, run))
        return math.inf

    def test_large_step_starts(self) -> None:
        """Fails if steps that can't start keep a large step waiting for ever.

        Only the oldest of the steps that are too large for now could reserve a
        worker, and these were among them.
        """
        for name, step, policy in (
            (
                "memory",
                node_world.make_step(1, demand=_TOO_MUCH_MEMORY),
                node_world.POLICY,
            ),
            (
                "accelerators",
                node_world.make_step(
                    1, demand=model.ResourceAmounts(4000, 100, 1)
                ),
                node_world.POLICY,
            ),
            (
                "gang",
                node_world.make_step(2, demand=_WHOLE_WORKER, is_gang=True),
                node_world.POLICY,
            ),
            (
                "ticket",
                node_world.make_step(1, demand=_WHOLE_WORKER),
                _ADVISED,
            ),
        ):
            with self.subTest(name):
                # A turn takes the time of the runs on the worker.
                self.assertLess(self.find_start(step, policy), 3.0)


class PassCostTest(unittest.TestCase):
    """Work of a planning pass beside many steps that don't fit."""

    def count_checks(self, step_count: int, *, is_large: bool) -> int:
        """Returns how many pairs of a step and a worker a pass looks at.

        Args:
            step_count: Number of steps that no worker can hold.
            is_large: Whether they need more CPU than any worker has free.
        """
        state = samples.make_state(*(f"w{n}" for n in range(20)))
        busy = node_world.make_step(60, estimated_s=1000.0)
        state.add_job(samples.make_job(_LARGE_ID, busy))
        state.plan(1.0)
        for worker in state.workers.values():
            for run in worker.runs.values():
                run.confirm(1.0)
        demand = model.ResourceAmounts(2000 if is_large else 1000, 1_000_000)
        step = node_world.make_step(1, demand=demand, estimated_s=100.0)
        for number in range(step_count):
            state.add_job(samples.make_job(_make_id(number + 1), step))
        state.plan(2.0)
        calls = 0
        for name in ("fits", "count_holdable"):
            with mock.patch.object(
                workers_lib.Worker,
                name,
                autospec=True,
                side_effect=getattr(workers_lib.Worker, name),
            ) as method:
                state.plan(3.0)
                calls += method.call_count
        return calls

    def test_cost_does_not_grow_with_steps_alike(self) -> None:
        """Fails if a pass tries each of many steps alike on each worker.

        With 100 workers and 2,000 steps a pass took more than a second, in
        which the process did nothing else.
        """
        for is_large in (False, True):
            with self.subTest(is_large=is_large):
                self.assertEqual(
                    self.count_checks(10, is_large=is_large),
                    self.count_checks(300, is_large=is_large),
                )
