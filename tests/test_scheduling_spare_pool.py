"""Long-running units that the own workers of a service can't hold."""

import unittest

from fireflywell.scheduling import capacity
from fireflywell.scheduling import model
from fireflywell.scheduling import service_state
from fireflywell.scheduling import workers as workers_lib
from tests import node_world
from tests import scheduling_samples as samples

_ID = "00000000000000a1"
_BUSY_ID = "00000000000000a2"


def add_spare(
    state: service_state.ServiceState, name: str
) -> workers_lib.Worker:
    """Adds a worker on a VM of the spare pool."""
    worker = samples.add_worker(state, name)
    worker.is_from_spare_pool = True
    return worker


def list_placed(state: service_state.ServiceState, at_s: float) -> list[str]:
    """Runs a planning pass and returns the workers of its runs."""
    return [run.worker_id for run in state.plan(at_s)]


class SparePoolTest(unittest.TestCase):
    """One own worker and two VMs of the spare pool."""

    def setUp(self) -> None:
        """Builds the service."""
        self.state = samples.make_state("w1")
        for name in ("s1", "s2"):
            add_spare(self.state, name)

    def test_unit_that_the_own_worker_cannot_hold_gets_a_spare_vm(
        self,
    ) -> None:
        """Fails if a long-running unit waits for ever beside empty VMs.

        Only one unit may run on each worker, and the others of the service are
        gone (incident 25).
        """
        step = node_world.make_step(2, is_long_running=True, max_per_worker=1)
        self.state.add_job(samples.make_job(_ID, step))
        self.assertEqual(list_placed(self.state, 1.0), ["w1"])
        # The first VM in the order of names leaves first.
        self.assertEqual(list_placed(self.state, 1.1), ["s2"])

    def test_own_worker_comes_first(self) -> None:
        """Fails if a unit keeps a spare VM though an own worker has room.

        The VM couldn't leave after a peak without interrupting the unit.
        """
        step = node_world.make_step(2, is_long_running=True)
        self.state.add_job(samples.make_job(_ID, step))
        self.assertEqual(list_placed(self.state, 1.0), ["w1", "w1"])

    def test_unit_waits_for_a_busy_own_worker_for_a_bounded_time(self) -> None:
        """Fails if short units keep a long-running one waiting for ever.

        The own worker could hold it once they have ended, so that a VM is used
        only after a while.
        """
        busy = node_world.make_step(4)
        self.state.workers["s1"].avoid_until_s = 9.0
        self.state.workers["s2"].avoid_until_s = 1.05
        self.state.add_job(samples.make_job(_BUSY_ID, busy))
        self.assertEqual(list_placed(self.state, 1.0), ["w1"] * 4)
        step = node_world.make_step(1, is_long_running=True)
        self.state.add_job(samples.make_job(_ID, step))
        self.assertEqual(list_placed(self.state, 1.1), [])
        self.assertEqual(list_placed(self.state, 3.0), [])
        self.assertEqual(list_placed(self.state, 3.2), ["s2"])

    def test_own_worker_that_is_away_for_a_moment_is_waited_for(self) -> None:
        """Fails if a refused order sends a unit to a VM that leaves later."""
        self.state.workers["w1"].avoid_until_s = 1.15
        step = node_world.make_step(1, is_long_running=True)
        self.state.add_job(samples.make_job(_ID, step))
        self.assertEqual(list_placed(self.state, 1.0), [])
        self.assertEqual(list_placed(self.state, 1.2), ["w1"])


class NeedTest(unittest.TestCase):
    """VMs that a service asks for because of long-running units."""

    def setUp(self) -> None:
        """Builds a service with one own worker and two large units."""
        self.state = samples.make_state("w1")
        self.estimator = capacity.DemandEstimator()
        demand = model.ResourceAmounts(3000, 100)
        step = node_world.make_step(2, is_long_running=True, demand=demand)
        self.state.add_job(samples.make_job(_ID, step))

    def compute_need(self, at_s: float) -> int:
        """Returns the number of VMs that the service asks for."""
        return self.estimator.compute_need(self.state, at_s)

    def test_waiting_unit_calls_a_vm(self) -> None:
        """Fails if no VM comes for a unit that own workers can't hold."""
        self.state.plan(1.0)
        self.assertEqual(self.compute_need(1.5), 0)
        self.assertEqual(self.compute_need(3.5), 1)

    def test_vm_with_such_a_unit_stays(self) -> None:
        """Fails if a VM leaves under a unit that has no other place."""
        add_spare(self.state, "s1")
        self.state.plan(1.0)
        self.assertEqual(list_placed(self.state, 1.1), ["s1"])
        for at_s in (1.2, 9.0, 60.0):
            self.assertEqual(self.compute_need(at_s), 1)

    def test_vm_is_released_once_an_own_worker_has_room(self) -> None:
        """Fails if a VM is kept for a unit that own workers can hold again."""
        add_spare(self.state, "s1")
        self.state.plan(1.0)
        self.state.plan(1.1)
        self.assertEqual(self.compute_need(1.2), 1)
        samples.add_worker(self.state, "w2")
        self.compute_need(2.0)
        self.assertEqual(self.compute_need(9.0), 0)

    def test_maintenance_of_an_own_worker_calls_no_vm(self) -> None:
        """Fails if VMs move for each worker that is maintained."""
        other = samples.add_worker(self.state, "w2")
        other.is_cordoned = True
        self.state.plan(1.0)
        other.is_reachable = False
        self.assertEqual(self.compute_need(9.0), 0)

    def test_service_without_workers_asks_for_a_vm(self) -> None:
        """Fails if jobs wait for ever once all own workers are gone.

        The size of a VM was unknown, and none was asked for.
        """
        self.state.remove_worker("w1")
        self.assertEqual(self.compute_need(1.0), 0)
        self.assertEqual(self.compute_need(5.0), 1)


if __name__ == "__main__":
    unittest.main()
