"""Sessions with workers that restart or run units of an earlier owner.

Each test places a second run as soon as the service's state allows one.
"""

import unittest

import anyio

from fireflywell import errors
from fireflywell.node import order_sender
from fireflywell.scheduling import orders
from fireflywell.scheduling import runs as runs_lib
from tests import scheduling_samples as samples
from tests import session_world
from tests import virtual_time


class RestartedWorkerTest(unittest.TestCase):
    """Workers that come back under their id."""

    def test_start_in_flight_may_reach_the_next_incarnation(self) -> None:
        """Fails if a unit starts elsewhere while its start is in flight.

        The worker came back under its id; the start reached the next
        incarnation after that one's first report and before a request with the
        higher token.
        """

        async def run() -> None:
            world = session_world.SessionWorld()
            may_answer = anyio.Event()
            world.client.before_start = may_answer.wait
            world.client.outcomes.append(orders.Accepted(1))
            may_arrive = world.delay_renewals_after_restart()
            async with world.run():
                first = world.begin_start()
                await session_world.wait_until(lambda: world.client.starts)
                world.client.started_unix_ms = 2
                await anyio.sleep(0.1)
                self.assertEqual(world.place(), [])
                world.client.running = (
                    samples.report_running(session_world.UNIT),
                )
                may_answer.set()
                await anyio.sleep(0.05)
                self.assertEqual(world.place(), [])
                may_arrive.set()
                await anyio.sleep(0.05)
                self.assertEqual(world.place(), [])
                self.assertIs(first.phase, runs_lib.RunPhase.RUNNING)
                world.client.running = ()
                await session_world.wait_until(
                    lambda: world.state.has_waiting_units
                )
                (second,) = world.place()
                self.assertGreater(second.number, first.number)

        anyio.run(run)

    def test_stop_that_the_former_incarnation_confirmed_is_repeated(
        self,
    ) -> None:
        """Fails if a unit starts elsewhere though its start may be carried out.

        The former incarnation confirmed the stop, and the answer came after
        the first report of the next one, which doesn't know the stop.
        """

        async def run() -> None:
            world = session_world.SessionWorld()
            may_answer = anyio.Event()
            world.client.before_stop = may_answer.wait
            world.client.outcomes.extend(
                (
                    errors.AnswerLostError("no answer"),
                    orders.Refused(orders.Refusal.NO_ROOM),
                )
            )
            may_arrive = world.delay_renewals_after_restart()
            async with world.run():
                world.begin_start()
                await session_world.wait_until(
                    lambda: world.state.pending_stops
                )
                world.send_stops()
                await session_world.wait_until(lambda: world.client.stops)
                world.client.started_unix_ms = 2
                await session_world.wait_until(
                    lambda: world.session.incarnation_start_unix_ms == 2
                )
                may_answer.set()
                await session_world.wait_until(
                    lambda: len(world.client.stops) > 1
                )
                await anyio.sleep(0.05)
                self.assertFalse(world.state.has_waiting_units)
                may_arrive.set()
                await session_world.wait_until(
                    lambda: world.state.has_waiting_units
                )
                tokens = [item.fencing_token for item in world.client.stops]
                self.assertGreater(len(tokens), 1)
                self.assertGreater(tokens[-1], tokens[0])
                self.assertEqual(tokens, sorted(tokens))

        anyio.run(run)

    def test_lease_may_end_by_the_clock_of_the_former_incarnation(self) -> None:
        """Fails if a unit starts elsewhere while a start's lease runs.

        The start named the end of its lease on the clock of the worker's former
        incarnation; the next one shortened it to its own longest lease.
        """

        async def run() -> None:
            world = session_world.SessionWorld()
            may_answer = anyio.Event()
            world.client.before_start = may_answer.wait
            world.client.outcomes.append(orders.Accepted(1))
            may_arrive = world.delay_renewals_after_restart()
            async with world.run():
                world.begin_start()
                await session_world.wait_until(lambda: world.client.starts)
                world.client.started_unix_ms = 2
                await anyio.sleep(0.1)
                may_answer.set()
                started_s = world.clock.monotonic().total_seconds()
                world.guard.permits_orders = False
                world.client.is_silent = True
                may_arrive.set()
                await session_world.wait_until(
                    lambda: world.state.has_waiting_units
                )
                waited_s = world.clock.monotonic().total_seconds() - started_s
                self.assertGreaterEqual(
                    waited_s, session_world.LONGEST_LEASE.total_seconds()
                )

        anyio.run(run)

    def test_later_run_may_have_a_lease_by_the_former_clock(self) -> None:
        """Fails if a unit starts elsewhere while a renewed lease runs.

        The worker ran nothing when it restarted. A renewal named the end of a
        lease on its former clock; a start after that doesn't shorten it.
        """

        async def run() -> None:
            world = session_world.SessionWorld()
            world.client.outcomes.append(orders.Accepted(1))
            async with world.run():
                world.client.started_unix_ms = 2
                # The worker runs nothing, so the next request is far off.
                world.session.enqueue(order_sender.StopCommand("none", 1))
                await session_world.wait_until(
                    lambda: world.session.incarnation_start_unix_ms == 2
                )
                restarted_s = world.clock.monotonic().total_seconds()
                await session_world.wait_until(
                    lambda: world.worker.is_reachable
                )
                world.begin_start()
                await session_world.wait_until(lambda: world.client.starts)
                world.guard.permits_orders = False
                world.client.is_silent = True
                await session_world.wait_until(
                    lambda: world.state.has_waiting_units
                )
                waited_s = world.clock.monotonic().total_seconds() - restarted_s
                self.assertGreaterEqual(
                    waited_s, session_world.LONGEST_LEASE.total_seconds()
                )

        anyio.run(run)

    def test_runs_of_the_former_incarnation_start_again(self) -> None:
        """Fails if units wait although the worker that ran them restarted."""

        async def run() -> None:
            world = session_world.SessionWorld()
            world.client.outcomes.append(orders.Accepted(1))
            async with world.run():
                first = world.begin_start()
                world.client.running = (
                    samples.report_running(session_world.UNIT),
                )
                await session_world.wait_until(
                    lambda: first.phase is runs_lib.RunPhase.RUNNING
                )
                await anyio.sleep(0.1)
                world.client.running = ()
                world.client.started_unix_ms = 2
                await session_world.wait_until(
                    lambda: world.state.has_waiting_units
                )

        anyio.run(run)


class AdoptedRunTest(unittest.TestCase):
    """Runs that an earlier owner started."""

    def test_adopted_run_keeps_its_lease(self) -> None:
        """Fails if a unit starts elsewhere while an earlier lease runs.

        An earlier owner granted it. The node's own lease had lapsed, so the
        session had renewed none when the worker stopped answering.
        """

        async def run() -> None:
            world = session_world.SessionWorld()
            world.guard.permits_orders = False
            world.state.add_job(samples.make_job(session_world.JOB_ID))
            world.client.running = (samples.report_running(session_world.UNIT),)
            async with world.run():
                await session_world.wait_until(lambda: world.worker.runs)
                first_s = world.clock.monotonic().total_seconds()
                world.client.is_silent = True
                await session_world.wait_until(
                    lambda: not world.worker.is_reachable
                )
                await session_world.wait_until(
                    lambda: world.state.has_waiting_units
                )
                waited_s = world.clock.monotonic().total_seconds() - first_s
                self.assertGreaterEqual(
                    waited_s, session_world.LEASE.total_seconds()
                )

        anyio.run(run)


class LostReportTest(unittest.TestCase):
    """Report requests without an answer."""

    def test_one_lost_report_does_not_make_a_worker_unreachable(self) -> None:
        """Fails if starts are refused because one call had no answer.

        The worker was sound; its leases weren't renewed either.
        """

        async def run() -> None:
            world = session_world.SessionWorld()
            async with world.run():
                world.client.lost_reports = 1
                world.begin_start()
                await session_world.wait_until(
                    lambda: not world.client.lost_reports
                )
                sent = len(world.client.renewals)
                while len(world.client.renewals) < sent + 2:
                    self.assertTrue(world.worker.is_reachable)
                    await anyio.sleep(0.005)
                # The repeat asks for no wait and grants no lease.
                repeat = world.client.renewals[sent]
                self.assertIsNone(repeat.lease_until_ms)
                self.assertFalse(repeat.wait)
                self.assertIsNotNone(world.client.renewals[-1].lease_until_ms)

        anyio.run(run)

    def test_silent_worker_becomes_unreachable(self) -> None:
        """Fails if a dead worker counts as reachable or keeps its leases."""

        async def run() -> None:
            world = session_world.SessionWorld()
            async with world.run():
                world.begin_start()
                world.client.is_silent = True
                await session_world.wait_until(
                    lambda: not world.worker.is_reachable
                )
                # Neither the repeats nor the requests after them grant leases.
                sent = [item.lease_until_ms for item in world.client.renewals]
                last = max(
                    index
                    for index, lease_ms in enumerate(sent)
                    if lease_ms is not None
                )
                self.assertGreater(len(sent) - last, 2)
                await session_world.wait_until(lambda: not world.worker.runs)

        anyio.run(run)

    def test_units_are_free_when_the_leases_of_a_lost_worker_end(self) -> None:
        """Fails if units wait for a report request after the leases are over.

        The end of the leases was noticed only when the request had failed.
        """

        async def run() -> None:
            world = session_world.SessionWorld(virtual_time.LoopClock())
            world.client.outcomes.append(orders.Accepted(1))
            async with world.run():
                first = world.begin_start()
                world.client.running = (
                    samples.report_running(session_world.UNIT),
                )
                await session_world.wait_until(
                    lambda: first.phase is runs_lib.RunPhase.RUNNING
                )
                # No request is answered or fails from now on.
                world.client.delay_renewals_above(0)
                requests = len(world.client.renewals)
                await session_world.wait_until(
                    lambda: len(world.client.renewals) > requests
                )
                world.session.give_up("no answer")
                lease_s = world.session.remaining_lease.total_seconds()
                with anyio.move_on_after(lease_s - 0.05):
                    await session_world.wait_until(
                        lambda: world.state.has_waiting_units
                    )
                self.assertFalse(world.state.has_waiting_units)
                with anyio.fail_after(0.25):
                    await session_world.wait_until(
                        lambda: world.state.has_waiting_units
                    )

        virtual_time.run(run)

    def test_starts_to_a_silent_worker_do_not_extend_its_leases(self) -> None:
        """Fails if units wait longer for each start sent to a lost worker.

        A worker gets starts until its loss is noticed.
        """

        async def run() -> None:
            world = session_world.SessionWorld(virtual_time.LoopClock())
            async with world.run():
                requests = len(world.client.renewals)
                world.client.is_silent = True
                world.session.request_report()
                await session_world.wait_until(
                    lambda: len(world.client.renewals) > requests
                )
                await anyio.sleep(0.3)
                lease = world.session.remaining_lease
                world.begin_start()
                await session_world.wait_until(lambda: world.client.starts)
                self.assertLessEqual(world.session.remaining_lease, lease)
                granted = [
                    item.lease_until_ms
                    for item in world.client.renewals
                    if item.lease_until_ms is not None
                ]
                (start,) = world.client.starts
                self.assertEqual(start.lease_until_ms, granted[-1])

        virtual_time.run(run)

    def test_worker_that_answers_orders_is_reachable(self) -> None:
        """Fails if a worker is lost though it answers orders meanwhile."""

        async def run() -> None:
            world = session_world.SessionWorld()
            world.client.outcomes.extend([orders.Accepted(1)] * 100)
            async with world.run():
                world.client.is_silent = True
                sent = len(world.client.renewals)
                number = 0
                while len(world.client.renewals) < sent + 6:
                    number += 1
                    job = samples.make_job(f"{number:016x}")
                    world.state.add_job(job)
                    (unit,) = samples.list_units(job)
                    start = runs_lib.Run(unit, 1, "w1", 0.0)
                    world.session.enqueue(order_sender.StartCommand(start))
                    await anyio.sleep(0.05)
                    self.assertTrue(world.worker.is_reachable)
                # Answers prove that the worker lives, so leases are renewed.
                self.assertIsNotNone(world.client.renewals[-1].lease_until_ms)

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
