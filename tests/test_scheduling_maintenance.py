"""Draining of workers for maintenance, within each step's `may_be_away`."""

import dataclasses
import unittest

from fireflywell.scheduling import evictions
from fireflywell.scheduling import maintenance
from fireflywell.scheduling import service_state
from tests import node_world
from tests import scheduling_samples as samples

_ID = "00000000000000a1"


def make_drain_request(
    name: str, deadline_s: float = 100.0
) -> maintenance.DrainRequest:
    """Returns a drain request for a worker's VM."""
    return maintenance.DrainRequest(
        f"m-{name}", 1, maintenance.DrainPhase.DUE, deadline_s, 1
    )


class EvictionTest(unittest.TestCase):
    """Choice of runs to stop: three long-running units on three workers."""

    def setUp(self) -> None:
        """Starts one unit on each of three workers; one may be interrupted."""
        self.state = samples.make_state()
        for number in (1, 2, 3):
            samples.add_worker(self.state, f"w{number}", f"r{number}-1")
        step = node_world.make_step(3, is_long_running=True, may_be_away=1)
        self.state.add_job(samples.make_job(_ID, step))
        for run in self.state.plan(1.0):
            self.state.confirm_start(run, 1.0)
            self.report(run.worker_id, run.unit.name, 100, 2.0)

    def report(self, worker: str, unit: str, percent: int, at_s: float) -> None:
        """Applies a worker's report that lists one run."""
        running = (samples.report_running(unit, percent=percent),)
        report = samples.make_report(running=running)
        self.state.apply_report(worker, report, at_s, at_s)

    def evict(self, at_s: float = 2.5) -> int:
        """Returns the number of runs to stop on the first worker."""
        worker = self.state.workers["w1"]
        return len(
            evictions.choose_evictions(
                self.state, worker, 0.0, at_s, is_move=False
            )
        )

    def test_unit_is_stopped_while_the_others_serve(self) -> None:
        """Fails if maintenance waits for long-running units to end."""
        self.assertEqual(self.evict(), 1)

    def test_unit_that_is_starting_counts_as_unavailable(self) -> None:
        """Fails if two units of a step are interrupted at once.

        A run counted as serving from its start on, before its progress reached
        100 % (quiet-1 of Atlas).
        """
        (run,) = self.state.workers["w2"].runs.values()
        self.report("w2", run.unit.name, 40, 2.1)
        self.assertEqual(self.evict(), 0)

    def test_unit_on_a_silent_worker_counts_as_unavailable(self) -> None:
        """Fails if a unit counts as serving although its worker is silent.

        The last report of a lost worker was still used, and a second unit of
        the step was stopped (trouble-3 of Atlas).
        """
        for worker in ("w1", "w2"):
            (run,) = self.state.workers[worker].runs.values()
            self.report(worker, run.unit.name, 100, 9.0)
        self.assertEqual(self.evict(at_s=9.1), 0)

    def test_unit_that_a_former_owner_may_have_stopped_is_away(self) -> None:
        """Fails if a new owner's evictions add to those of the former owner.

        A worker that the new owner reached late still listed a unit that the
        former owner had stopped, and the unit counted as serving (rule AVAIL).
        """
        self.adopt_runs(at_s=9.0)
        self.assertEqual(self.evict(at_s=9.1), 0)
        self.report_all(at_s=9.5)
        self.assertEqual(self.evict(at_s=9.6), 0)
        self.report_all(at_s=10.0)
        self.assertEqual(self.evict(at_s=10.1), 1)

    def adopt_runs(self, at_s: float) -> None:
        """Replaces the owner; workers take up to 0.9 s to stop a run."""
        former = self.state
        self.state = service_state.ServiceState(2, 0.9)
        self.state.is_recovery_complete = True
        for number in (1, 2, 3):
            samples.add_worker(self.state, f"w{number}", f"r{number}-1")
        step = node_world.make_step(3, is_long_running=True, may_be_away=1)
        self.state.add_job(samples.make_job(_ID, step))
        for name, worker in former.workers.items():
            (run,) = worker.runs.values()
            self.report(name, run.unit.name, 100, at_s)

    def report_all(self, at_s: float) -> None:
        """Applies a report of each worker; all units serve."""
        for name, worker in self.state.workers.items():
            (run,) = worker.runs.values()
            self.report(name, run.unit.name, 100, at_s)

    def test_short_units_may_end_before_they_are_stopped(self) -> None:
        """Fails if a drain stops short units without giving them time to end.

        Their work would be lost and repeated.
        """
        state = samples.make_state("w1")
        state.add_job(samples.make_job(_ID, node_world.make_step(1)))
        (run,) = state.plan(1.0)
        state.confirm_start(run, 1.0)
        worker = state.workers["w1"]
        early = evictions.choose_evictions(
            state, worker, 1.0, 2.0, is_move=False
        )
        late = evictions.choose_evictions(
            state, worker, 9.0, 10.0, is_move=False
        )
        self.assertEqual((len(early), len(late)), (0, 1))


class DrainChoiceTest(unittest.TestCase):
    """Choice of the workers to drain and of the time to do so."""

    def setUp(self) -> None:
        """Builds a service with four idle workers."""
        self.state: service_state.ServiceState = samples.make_state(
            "w1", "w2", "w3", "w4"
        )

    def choose(
        self, *requests: maintenance.DrainRequest, now_s: float = 0.0
    ) -> int:
        """Returns the number of workers that are chosen."""
        chosen = maintenance.choose_workers_to_drain(
            self.state, requests, now_s, now_s
        )
        return len(chosen)

    def _load_up(self) -> None:
        step = node_world.make_step(40)
        self.state.add_job(samples.make_job(_ID, step))
        self.state.plan(1.0)

    def test_idle_service_is_drained_at_once(self) -> None:
        """Fails if a wave waits for its deadline while the service is idle."""
        self.assertEqual(
            self.choose(make_drain_request("w1"), make_drain_request("w2")), 1
        )

    def test_busy_service_is_drained_only_near_the_deadline(self) -> None:
        """Fails if a peak loses capacity early, or a wave misses its deadline.

        A worker is drained under load only when the deadline requires it.
        """
        self._load_up()
        request = make_drain_request("w1", deadline_s=20.0)
        self.assertEqual(self.choose(request, now_s=5.0), 0)
        self.assertEqual(self.choose(request, now_s=15.0), 1)

    def test_moving_vms_do_not_use_up_the_limit(self) -> None:
        """Fails if VMs that move to another pool count towards a wave's limit.

        Two VMs of a wave were maintained late because of this (quiet-1 of
        Atlas).
        """
        self.state.workers["w2"].is_cordoned = True
        move = maintenance.DrainRequest(
            "m-w2", 0, maintenance.DrainPhase.READY, 0.0, 1, target="spares"
        )
        self.assertEqual(self.choose(make_drain_request("w1"), move), 1)

    def test_former_worker_of_a_maintained_vm_does_not_count(self) -> None:
        """Fails if the former worker of a maintained VM uses up the limit.

        Its registration expires seconds after the VM is back, and an idle VM of
        the wave waited for that (quiet-1 of the grown Atlas).
        """
        former = self.state.workers["w2"]
        former.is_cordoned = True
        former.is_reachable = False
        done = dataclasses.replace(
            make_drain_request("w2"), phase=maintenance.DrainPhase.DONE
        )
        self.assertEqual(self.choose(make_drain_request("w1"), done), 0)
        back = samples.add_worker(self.state, "w2-again")
        back.instance = dataclasses.replace(back.instance, vm_id="m-w2")
        self.assertEqual(self.choose(make_drain_request("w1"), done), 1)


class RelocationTest(unittest.TestCase):
    """Drains of long-running units that may only leave one at a time."""

    def setUp(self) -> None:
        """Places eight such units and fills the workers with short ones."""
        self.names = tuple(f"w{number}" for number in range(1, 9))
        self.state = samples.make_state(*self.names)
        step = node_world.make_step(
            8, is_long_running=True, may_be_away=1, max_per_worker=1
        )
        self.state.add_job(samples.make_job(_ID, step))
        self.state.plan(1.0)
        busy = node_world.make_step(80)
        self.state.add_job(samples.make_job("00000000000000a2", busy))
        self.state.plan(1.0)
        self.requests = tuple(
            maintenance.DrainRequest(
                f"m-{name}", 1, maintenance.DrainPhase.DUE, 26.0, 4
            )
            for name in self.names
        )

    def choose(self, now_s: float) -> list[str]:
        """Returns the identifiers of the workers that are chosen."""
        chosen = maintenance.choose_workers_to_drain(
            self.state, self.requests, now_s, now_s
        )
        return [worker.worker_id for worker in chosen]

    def test_first_unit_leaves_early_enough_for_the_last(self) -> None:
        """Fails if a wave is late because its units leave one at a time.

        Three of 85 VMs were late: 17 units of one job left one by one, but only
        from 16 s on, after a peak (quiet-1 of the grown Atlas).
        """
        self.assertEqual(self.choose(0.5), [])
        self.assertEqual(len(self.choose(2.0)), 1)

    def test_unit_does_not_go_to_a_worker_that_is_due(self) -> None:
        """Fails if a unit moves to a worker that the same wave drains later.

        Three of eleven units were interrupted twice (quiet-1 of the grown
        District).
        """
        state = samples.make_state("w1", "w2")
        state.workers["w1"].is_due_for_maintenance = True
        # Otherwise the due worker would be chosen: it has more free CPU.
        state.workers["w2"].free_cpu -= 1000
        step = node_world.make_step(1, is_long_running=True, may_be_away=1)
        state.add_job(samples.make_job(_ID, step))
        (run,) = state.plan(1.0)
        self.assertEqual(run.worker_id, "w2")

    def test_only_as_many_workers_are_drained_as_units_may_leave(self) -> None:
        """Fails if a worker is cordoned while its unit may not leave yet.

        Its free capacity would be unused until another unit is back.
        """
        self.state.workers["w1"].is_cordoned = True
        self.assertEqual(self.choose(2.0), [])


if __name__ == "__main__":
    unittest.main()
