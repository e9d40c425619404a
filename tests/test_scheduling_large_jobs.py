"""Schedules of many occurrences and steps of many units."""

import gc
import tracemalloc
import unittest

from fireflywell.coordination import row_store
from fireflywell.node import stored_progress
from fireflywell.node import tables
from fireflywell.scheduling import capacity
from fireflywell.scheduling import job_rows
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import long_running_demand
from fireflywell.scheduling import model
from fireflywell.scheduling import progress_rows
from fireflywell.scheduling import ranking
from fireflywell.scheduling import service_state
from fireflywell.scheduling import waiting_work
from tests import node_world
from tests import scheduling_samples as samples

_MINUTE_MS = 60_000
_MONTH_OF_MINUTES = 30 * 24 * 60
_MOST_UNITS = 60_000

# What all jobs of a service may take: a node has 300 MB for everything, and
# any of its services may have as many such jobs.
_MOST_BYTES = 10_000_000


def _make_schedule(
    number: int,
    repetitions: int,
    *steps: model.Step,
    first_unix_ms: int = 0,
    interval_ms: int = _MINUTE_MS,
) -> jobs_lib.Job:
    request = model.JobRequest(
        "text",
        steps or (node_world.make_step(),),
        model.Recurrence(first_unix_ms, interval_ms, repetitions),
    )
    submission = model.Submission(
        f"{number:016x}", node_world.POLICY, request, 0.0
    )
    return jobs_lib.Job(submission, 0.0)


class _Measurement:
    """Memory that is allocated while the block runs and is still in use."""

    def __init__(self) -> None:
        self.used_bytes = 0

    def __enter__(self) -> "_Measurement":
        gc.collect()
        tracemalloc.start()
        return self

    def __exit__(self, *_: object) -> None:
        gc.collect()
        self.used_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()


def _finish_all(
    state: service_state.ServiceState, now_s: float, first_end: int = 1
) -> list[str]:
    """Ends all runs on the workers as done; returns the names of the units."""
    names = []
    for worker in tuple(state.workers.values()):
        ends = tuple(
            samples.report_end(name, run, number=first_end + position)
            for position, (name, run) in enumerate(worker.runs)
        )
        names.extend(end.unit for end in ends)
        state.apply_report(
            worker.worker_id, samples.make_report(ended=ends), now_s, now_s
        )
    return names


class MemoryTest(unittest.TestCase):
    """Memory that accepted jobs take before most of them has begun."""

    def test_occurrences_in_the_future_take_no_memory(self) -> None:
        """Fails if a schedule takes memory for each future occurrence.

        The owner of 16 schedules of a month exceeded the memory of its node
        and was killed, and so was each owner after it.
        """
        state = samples.make_state("w1")
        with _Measurement() as measured:
            for number in range(16):
                state.add_job(_make_schedule(number, _MONTH_OF_MINUTES))
            state.queue_due_steps(0, 0.0)
            state.plan(0.0)
        self.assertLess(measured.used_bytes, _MOST_BYTES)

    def test_units_that_are_not_begun_take_little_memory(self) -> None:
        """Fails if a step takes memory for an object of each unit.

        16 jobs of 60,000 units exceeded the memory of a node, too.
        """
        for fields in ({}, {"is_gang": True}, {"is_long_running": True}):
            with self.subTest(fields=fields):
                state = samples.make_state("w1")
                step = node_world.make_step(_MOST_UNITS, **fields)
                tracker = waiting_work.WaitTracker(state)
                estimator = capacity.DemandEstimator()
                with _Measurement() as measured:
                    for number in range(16):
                        state.add_job(samples.make_job(f"{number:016x}", step))
                    for second in range(8):
                        state.plan(float(second))
                        tracker.look(float(second), (), is_planning=True)
                        estimator.compute_need(state, float(second))
                self.assertLess(measured.used_bytes, _MOST_BYTES)

    def test_occurrences_that_are_done_take_no_memory(self) -> None:
        """Fails if a schedule takes more memory the longer it runs."""
        state = samples.make_state("w1")
        job = _make_schedule(1, 3_000)
        state.add_job(job)
        with _Measurement() as measured:
            for number in range(3_000):
                now_s = 60.0 * number
                state.queue_due_steps(number * _MINUTE_MS, now_s)
                state.plan(now_s)
                _finish_all(state, now_s + 1, number + 1)
                job.changed_units.clear()
        self.assertTrue(job.are_units_done)
        self.assertLess(measured.used_bytes, _MOST_BYTES / 100)

    def test_a_successor_holds_no_more(self) -> None:
        """Fails if the next owner takes memory for what is done or not due."""
        job = _make_schedule(1, _MONTH_OF_MINUTES)
        job.state = jobs_lib.JobState.RUNNING
        for occurrence in range(20_000):
            job.mark_occurrence_done(occurrence)
        for occurrence in (20_005, 20_007):
            unit = job.find_unit(occurrence, 0, 0)
            assert unit is not None
            unit.save_checkpoint("abc")
        stored = stored_progress.StoredProgress()
        for write in progress_rows.list_writes(job, 0.0, "", 65_536):
            key = (
                progress_rows.make_range_key(write.units) if write.units else ""
            )
            row_key = tables.locate_progress_range("desk", job.job_id, key)
            stored.add(row_store.Row(row_key, write.value, 1), key)
        copy = _make_schedule(1, _MONTH_OF_MINUTES)
        with _Measurement() as measured:
            stored.restore(copy)
        self.assertLess(measured.used_bytes, _MOST_BYTES / 100)
        self.assertEqual(len(copy.done_occurrences), 20_000)
        self.assertEqual(
            [(s.occurrence, s.begun_units[0].checkpoint) for s in copy.steps],
            [(20_005, "abc"), (20_007, "abc")],
        )


class LateScheduleTest(unittest.TestCase):
    """A schedule that was submitted when many occurrences were due."""

    def test_planning_looks_at_few_of_them(self) -> None:
        """Fails if a planning pass ranks all occurrences that are due.

        Nodes that owned such a schedule answered nobody any more.
        """
        state = samples.make_state("w1")
        state.add_job(_make_schedule(1, 10_080))
        state.queue_due_steps(8_000 * _MINUTE_MS, 0.0)
        self.assertLess(len(state.list_waiting_steps()), 100)

    def test_all_of_them_run_once_and_in_order(self) -> None:
        """Fails if an occurrence that was put off never runs, or runs twice."""
        state = samples.make_state("w1", "w2")
        first = node_world.make_step(2)
        second = node_world.make_step(1, after=(0,))
        job = _make_schedule(1, 300, first, second)
        state.add_job(job)
        ended: list[str] = []
        for round_number in range(2_000):
            now_s = float(round_number)
            state.queue_due_steps(400 * _MINUTE_MS, now_s)
            state.plan(now_s)
            ended += _finish_all(state, now_s + 0.5, len(ended) + 1)
            if job.state.is_final:
                break
        self.assertEqual(job.state, jobs_lib.JobState.COMPLETED)
        self.assertEqual(len(ended), 900)
        self.assertEqual(len(set(ended)), 900)
        position = {name: number for number, name in enumerate(ended)}
        for occurrence in range(300):
            name = f"{job.job_id}.{occurrence}"
            self.assertGreater(
                position[f"{name}.1.0"],
                max(position[f"{name}.0.0"], position[f"{name}.0.1"]),
            )

    def test_blocked_occurrences_hold_up_no_others(self) -> None:
        """Fails if occurrences that are begun and wait keep later ones back."""
        state = samples.make_state("w1")
        step = node_world.make_step(
            2, demand=model.ResourceAmounts(10, 10), max_per_worker=1
        )
        state.add_job(_make_schedule(1, 100, step))
        for second in range(100):
            state.queue_due_steps(100 * _MINUTE_MS, float(second))
            for run in state.plan(float(second)):
                state.confirm_start(run, float(second))
        # One unit of each occurrence runs; the worker takes no second one.
        self.assertEqual(len(state.workers["w1"].runs), 100)

    def test_their_objective_starts_at_the_submission(self) -> None:
        """Fails if an occurrence counts as late by the time before its job."""
        state = samples.make_state("w1")
        job = _make_schedule(1, 10)
        job.arrived_s = 500.0
        state.add_job(job)
        state.queue_due_steps(5 * _MINUTE_MS - 1, 501.0)
        starts = {ranking.find_objective_start_s(step) for step in job.steps}
        self.assertEqual(starts, {500.0})


class DemandTest(unittest.TestCase):
    """VMs that large jobs ask for."""

    def test_only_occurrences_that_are_due_need_vms(self) -> None:
        """Fails if VMs move for work that is due in a month."""
        state = samples.make_state("w1")
        state.add_job(
            _make_schedule(1, _MONTH_OF_MINUTES, first_unix_ms=_MINUTE_MS)
        )
        state.queue_due_steps(0, 0.0)
        estimator = capacity.DemandEstimator()
        self.assertEqual(estimator.compute_need(state, 0.1), 0)

    def test_long_running_units_beyond_all_pools(self) -> None:
        """Fails if counting VMs for a large step takes minutes."""
        state = samples.make_state("w1")
        step = node_world.make_step(_MOST_UNITS, is_long_running=True)
        state.add_job(samples.make_job(f"{1:016x}", step))
        state.plan(0.0)
        demand = long_running_demand.compute_demand(state, 10.0)
        # `w1` has four cores and a VM as many, one for each unit.
        self.assertEqual(demand.vm_count, (_MOST_UNITS - 4) / 4)
        self.assertEqual(demand.cores, _MOST_UNITS - 4)


class StoredStepsTest(unittest.TestCase):
    """Progress of a schedule in the row of its state."""

    def test_done_occurrences_are_restored_from_their_steps(self) -> None:
        """Fails if an occurrence that is done runs again after a takeover."""
        steps = (node_world.make_step(2), node_world.make_step(1, after=(0,)))
        job = _make_schedule(1, 50, *steps)
        for occurrence in (0, 1, 2, 5):
            job.mark_occurrence_done(occurrence)
        job.load_occurrence(3)[0].mark_unit_done(1)
        stored = job_rows.decode_progress(
            job_rows.encode_progress(job_rows.snapshot_progress(job, 0.0))
        )
        copy = _make_schedule(1, 50, *steps)
        job_rows.restore_progress(copy, stored)
        self.assertEqual(list(copy.done_occurrences), [0, 1, 2, 5])
        self.assertEqual(
            [unit.is_done for unit in samples.list_units(copy)],
            [unit.is_done for unit in samples.list_units(job)],
        )


if __name__ == "__main__":
    unittest.main()
