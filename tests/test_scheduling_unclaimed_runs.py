"""Runs that a worker lists and that no unit of its owner accounts for.

A worker that doesn't guard its capacity starts whatever it is told to, so its
owner counts all runs there until a report shows that they have ended.
"""

import dataclasses
import unittest

import anyio

from fireflywell.node import order_sender
from fireflywell.scheduling import model
from fireflywell.scheduling import orders
from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import service_state
from tests import node_world
from tests import scheduling_samples as samples
from tests import session_world

_OVER_ID = f"{1:016x}"
_NEXT_ID = f"{2:016x}"


_CAPACITY = model.ResourceAmounts(4_000, 32_000)


def _make_state(
    capacity: model.ResourceAmounts = _CAPACITY,
) -> service_state.ServiceState:
    """Returns the state of a new owner with one worker."""
    state = samples.make_state("w1", token=2)
    worker = state.workers["w1"]
    worker.replace_instance(
        dataclasses.replace(worker.instance, capacity=capacity)
    )
    return state


def _report(
    state: service_state.ServiceState,
    at_s: float,
    running: int,
    ended: int = 0,
    name: str = f"{_OVER_ID}.0.0",
) -> None:
    """Applies a report that lists runs of an earlier owner."""
    state.apply_report(
        "w1",
        samples.make_report(
            tuple(
                samples.report_running(f"{name}.{i}") for i in range(running)
            ),
            tuple(
                samples.report_end(
                    f"{name}.{running + i}",
                    kind=orders.EndKind.STOPPED,
                    number=i + 1,
                )
                for i in range(ended)
            ),
        ),
        at_s,
        at_s,
    )


def _place(state: service_state.ServiceState, now_s: float) -> int:
    """Returns how many units are placed."""
    return len(state.plan(now_s))


class UnclaimedRunsTest(unittest.TestCase):
    """A takeover beside jobs that are over."""

    def test_runs_of_a_cancelled_job_take_capacity(self) -> None:
        """Fails if a takeover starts units beside runs that are being stopped.

        The new owner requested their stops and placed other units at once, so
        that workers had twice their capacity in use.
        """
        for step, capacity in (
            (
                node_world.make_step(4),
                _CAPACITY,
            ),
            (
                node_world.make_step(4, demand=model.ResourceAmounts(0, 100)),
                model.ResourceAmounts(4_000, 400),
            ),
            (
                node_world.make_step(
                    4, demand=model.ResourceAmounts(0, 100, 1)
                ),
                model.ResourceAmounts(4_000, 32_000, 4),
            ),
            (
                node_world.make_step(4, is_long_running=True),
                _CAPACITY,
            ),
        ):
            with self.subTest(step=step):
                state = _make_state(capacity)
                state.add_job(samples.make_job(_OVER_ID, step))
                state.add_job(samples.make_job(_NEXT_ID, step))
                state.cancel_job(_OVER_ID)
                _report(state, 1.0, running=4)
                self.assertEqual(_place(state, 1.1), 0)
                _report(state, 2.0, running=3, ended=1)
                self.assertEqual(_place(state, 2.1), 1)
                _report(state, 3.0, running=0, ended=4)
                self.assertEqual(_place(state, 3.1), 3)

    def test_runs_of_an_unknown_job_close_the_worker(self) -> None:
        """Fails if units are started beside runs whose resources aren't known.

        The job's final state is stored, or the worker has come from another
        service, so its steps aren't held.
        """
        state = _make_state()
        state.add_job(samples.make_job(_NEXT_ID))
        _report(state, 1.0, running=1)
        self.assertEqual(_place(state, 1.1), 0)
        _report(state, 2.0, running=0, ended=1)
        self.assertEqual(_place(state, 2.1), 1)

    def test_second_run_of_a_unit_takes_capacity(self) -> None:
        """Fails if a late run beside the unit's own one isn't counted."""
        state = _make_state()
        state.add_job(samples.make_job(_OVER_ID, node_world.make_step(4)))
        self.assertEqual(_place(state, 0.0), 4)
        (worker,) = state.workers.values()
        own = tuple(
            samples.report_running(name, run) for name, run in worker.runs
        )
        late = samples.report_running(f"{_OVER_ID}.0.0.0", 7)
        state.apply_report("w1", samples.make_report((*own, late)), 1.0, 1.0)
        self.assertEqual(worker.free_cpu, -1_000)
        self.assertTrue(worker.is_closed)
        state.apply_report("w1", samples.make_report(own), 2.0, 2.0)
        self.assertEqual(worker.free_cpu, 0)

    def test_limit_of_units_on_a_worker_counts_them(self) -> None:
        """Fails if more units of a step run on a worker than its job allows."""
        state = _make_state()
        step = node_world.make_step(2, max_per_worker=1)
        job = samples.make_job(_OVER_ID, step)
        job.steps[0].mark_unit_done(0)
        state.add_job(job)
        _report(state, 1.0, running=1)
        self.assertEqual(_place(state, 1.1), 0)
        _report(state, 2.0, running=0, ended=1)
        self.assertEqual(_place(state, 2.1), 1)

    def test_adopted_runs_count_once(self) -> None:
        """Fails if a run that the new owner takes over is counted twice."""
        state = _make_state()
        state.add_job(samples.make_job(_OVER_ID, node_world.make_step(4)))
        _report(state, 1.0, running=3)
        _report(state, 2.0, running=3)
        self.assertEqual(state.workers["w1"].free_cpu, 1_000)
        self.assertEqual(_place(state, 2.1), 1)


class QueuedStartsTest(unittest.TestCase):
    """Starts that are queued when a report lists an unclaimed run."""

    def test_they_are_not_sent_beyond_the_capacity(self) -> None:
        """Fails if starts that were placed before still fill the worker."""

        async def run() -> None:
            world = session_world.SessionWorld()
            world.client.outcomes.append(orders.Accepted(1))
            async with world.run():
                step = node_world.make_step(4)
                world.state.add_job(
                    samples.make_job(session_world.JOB_ID, step)
                )
                runs = world.state.plan(0.0)
                self.assertEqual(len(runs), 4)
                other = samples.make_job(_OVER_ID, node_world.make_step(1))
                world.state.add_job(other)
                world.state.cancel_job(_OVER_ID)
                world.client.running = (
                    samples.report_running(f"{_OVER_ID}.0.0.0"),
                )
                await session_world.wait_until(
                    lambda: world.worker.free_cpu < 0
                )
                world.session.enqueue(order_sender.StartCommand(runs[0]))
                await session_world.wait_until(
                    lambda: runs[0].phase is runs_lib.RunPhase.ENDED
                )
            self.assertEqual(world.client.starts, [])

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
