"""Orders to a worker's former incarnation that the next one receives.

A worker that starts again under its id knows nothing, and a call without an
answer may be carried out seconds later.
"""

import collections
import dataclasses
import datetime
import math
import unittest

import anyio

from fireflywell.scheduling import orders
from fireflywell.scheduling import runs as runs_lib
from fireflywell.standins import unit_worker
from tests import captured_log
from tests import node_world
from tests import scheduling_samples as samples
from tests import session_world
from tests import test_node_takeover
from tests import virtual_time

_FIRST_JOB = "00000000000000a1"
_DELAY_S = 1.2

# Longest time between two report requests to an idle worker.
_IDLE_S = 2.0
_LEASE_S = node_world.BOUNDS.longest_run_lease.total_seconds()


@dataclasses.dataclass(frozen=True, slots=True)
class _LateCalls:
    """Calls on their way to a worker that has restarted.

    Attributes:
        run: The run of the start.
        start_may_arrive: Set once the worker may receive the start.
        request_may_arrive: Set once the worker may receive report requests
            with the higher token.
    """

    run: runs_lib.Run
    start_may_arrive: anyio.Event
    request_may_arrive: anyio.Event


class RestartedWorkerTest(test_node_takeover.NodeTestCase):
    """Workers that restart while orders to them are late."""

    def test_repeated_request_acknowledges_no_end_of_another_incarnation(
        self,
    ) -> None:
        """Fails if the repeat of a lost request makes a worker forget ends.

        The worker had restarted, answered starts and got no report request
        since; it no longer listed its own ends, so done units started again.
        """
        anyio.run(self.lose_acknowledgement, False)

    def test_late_acknowledgement_forgets_no_end_of_the_next_incarnation(
        self,
    ) -> None:
        """Fails if units start again although they are done.

        The next incarnation carried out an acknowledgement of the former one's
        ends and no longer listed its own.
        """
        anyio.run(self.lose_acknowledgement, True)

    async def lose_acknowledgement(self, is_carried_out: bool) -> None:
        """Restarts a worker while an acknowledgement has no answer.

        Args:
            is_carried_out: Whether the next incarnation carries it out while
                it runs units of its own.
        """
        world = node_world.NodeWorld("w1")
        worker = world.workers["w1"]
        worker.delayed_acknowledgements = 1
        worker.delay_s = _DELAY_S
        async with self.run_node(world, "node-a"):
            await world.submit(node_world.make_step(3), job_id=_FIRST_JOB)
            await world.wait_for_state("completed", _FIRST_JOB)
            with anyio.fail_after(3):
                while worker.delayed_acknowledgements:
                    await anyio.sleep(0.005)
            worker.restart(keeps_late_orders=is_carried_out)
            worker.run_s = 1.5 * _DELAY_S
            # Each unit ends while the end before it is being stored.
            for number in range(3):
                starts = len(worker.starts)
                await world.submit(job_id=f"{number:016x}")
                with anyio.fail_after(_DELAY_S):
                    while len(worker.starts) == starts:
                        await anyio.sleep(0.002)
            for number in range(3):
                await world.wait_for_state("completed", f"{number:016x}")
            await anyio.sleep(0.1)
        self.assertEqual(self.find_repeated_units(worker), [])

    def test_late_start_does_not_reach_the_next_incarnation(self) -> None:
        """Fails if a start is carried out after its run was over.

        The lease in it had ended by the clock of the former incarnation, and
        its unit ran elsewhere; the next incarnation's clock was behind.
        """

        async def run() -> None:
            world = node_world.NodeWorld("w1", run_s=0.2)
            worker = world.workers["w1"]
            worker.set_age(datetime.timedelta(minutes=1))
            worker.delayed_starts = 1
            worker.delay_s = 2 * _LEASE_S
            worker.refused_starts = 1000
            async with self.run_node(world, "node-a"):
                await world.submit(node_world.make_step(1))
                with anyio.fail_after(3):
                    while worker.delayed_starts:
                        await anyio.sleep(0.005)
                other = world.add_worker("w2", run_s=8 * _LEASE_S)
                with anyio.fail_after(1.5 * _LEASE_S):
                    while not other.starts:
                        await anyio.sleep(0.005)
                worker.restart(keeps_late_orders=True)
                # The worker carries out late orders when it is called.
                await anyio.sleep(worker.delay_s + _IDLE_S)
                self.assertEqual(len(other.active_units), 1)
            self.assertEqual(worker.starts, [])

        anyio.run(run)

    def test_late_start_before_the_restart_is_seen_is_stopped(self) -> None:
        """Fails if a late start isn't logged, or its run isn't stopped.

        Nothing keeps a new incarnation from carrying it out before the first
        order with a higher token.
        """

        async def run() -> None:
            world = session_world.SessionWorld()
            world.client.outcomes.append(orders.Accepted(1))
            async with world.run():
                first = world.begin_start()
                await session_world.wait_until(
                    lambda: first.phase is runs_lib.RunPhase.RUNNING
                )
                await session_world.wait_until(
                    lambda: world.state.has_waiting_units
                )
                world.worker.is_cordoned = True
                (second,) = world.place()
                world.state.confirm_start(second, math.inf)
                world.client.running = (
                    samples.report_running(first.unit.name, first.number),
                )
                world.client.started_unix_ms = 2
                with captured_log.capture_log() as lines:
                    await session_world.wait_until(
                        lambda: world.state.pending_stops
                    )
                    await anyio.sleep(0.05)
                (line,) = captured_log.select_event(lines, "run.late_start")
                self.assertFalse(line["is_kept"])
                (stop,) = world.state.pending_stops
                self.assertEqual(stop.run, first.number)
                self.assertNotEqual(second.worker_id, stop.worker_id)

        anyio.run(run)

    def test_start_that_the_next_incarnation_carried_out_is_kept(self) -> None:
        """Fails if work that a restarted worker has begun is thrown away.

        Its start was stopped as soon as the restart was seen, and the unit
        started again, though the next report lists the run.
        """

        async def run() -> None:
            world = session_world.SessionWorld(virtual_time.LoopClock())
            world.client.outcomes.append(orders.Accepted(1))
            async with world.run():
                late = await self.restart_during_start(world)
                first = late.run
                world.client.running = (
                    samples.report_running(first.unit.name, first.number),
                )
                late.start_may_arrive.set()
                await anyio.sleep(0.05)
                world.send_stops()
                await anyio.sleep(0.05)
                self.assertEqual(world.client.stops, [])
                self.assertEqual(world.place(), [])
                late.request_may_arrive.set()
                await session_world.wait_until(
                    lambda: first.phase is runs_lib.RunPhase.RUNNING
                )
                self.assertEqual(world.place(), [])

        virtual_time.run(run)

    def test_report_without_a_start_in_flight_proves_its_end(self) -> None:
        """Fails if a unit waits for a stop though its start can't arrive.

        A worker that has received a request with the higher token refuses the
        start to its former incarnation.
        """

        async def run() -> None:
            world = session_world.SessionWorld(virtual_time.LoopClock())
            world.client.outcomes.append(orders.Accepted(1))
            async with world.run():
                late = await self.restart_during_start(world)
                first = late.run
                self.assertEqual(world.place(), [])
                late.request_may_arrive.set()
                with anyio.fail_after(0.5):
                    await session_world.wait_until(
                        lambda: world.state.has_waiting_units
                    )
                (second,) = world.place()
                self.assertGreater(second.number, first.number)
                late.start_may_arrive.set()
                await anyio.sleep(0.05)
                # The worker has refused it.
                self.assertEqual(len(world.client.outcomes), 1)
                self.assertIs(first.phase, runs_lib.RunPhase.ENDED)

        virtual_time.run(run)

    async def restart_during_start(
        self, world: session_world.SessionWorld
    ) -> _LateCalls:
        """Restarts a worker while a start is on its way to it."""
        may_arrive = world.delay_renewals_after_restart()
        token = world.state.order_tokens.find("w1")
        start_may_arrive = anyio.Event()
        world.client.before_start = start_may_arrive.wait
        first = world.begin_start()
        await session_world.wait_until(lambda: world.client.starts)
        world.client.started_unix_ms = 2
        await session_world.wait_until(
            lambda: world.state.order_tokens.find("w1") > token
        )
        return _LateCalls(first, start_may_arrive, may_arrive)

    def find_repeated_units(self, worker: unit_worker.UnitWorker) -> list[str]:
        """Returns the units that started again after they were done."""
        starts = collections.Counter(start.unit for start in worker.starts)
        done = {
            end.unit for end in worker.ends if end.kind is orders.EndKind.DONE
        }
        return [unit for unit in done if starts[unit] > 1]


if __name__ == "__main__":
    unittest.main()
