"""Orders without an answer: work that runs is kept, and no unit waits for ever.

A call without an answer may be carried out seconds later, but a start only
until the lease in it has ended.
"""

import unittest

import anyio

from fireflywell import errors
from fireflywell.node import order_sender
from fireflywell.scheduling import orders
from fireflywell.scheduling import runs as runs_lib
from tests import node_world
from tests import scheduling_samples as samples
from tests import session_world
from tests import virtual_time

_LOST = errors.AnswerLostError("no answer")
_NO_ROOM = orders.Refused(orders.Refusal.NO_ROOM)


async def _add_runs(world: session_world.SessionWorld, count: int) -> None:
    """Adds runs on `w1` that have to be stopped, as after a cancellation."""
    step = node_world.make_step(count)
    world.state.add_job(samples.make_job(session_world.JOB_ID, step))
    world.client.running = tuple(
        samples.report_running(f"{session_world.JOB_ID}.0.0.{index}")
        for index in range(count)
    )
    await session_world.wait_until(lambda: len(world.worker.runs) == count)
    world.state.cancel_job(session_world.JOB_ID)
    world.send_stops()


class RepeatedStartTest(unittest.TestCase):
    """Starts that are repeated until they are answered."""

    def test_accepted_repeat_keeps_the_run(self) -> None:
        """Fails if a run is stopped although a repeat of its start succeeded.

        Two transmissions had no answer, or a repeat was refused for a moment.
        Both take most of the lease in the order, so a stall of the machine must
        not count as time.
        """
        cases = (
            (_LOST, _LOST, _LOST, orders.Accepted(1)),
            (_LOST, orders.Unhealthy(), orders.Accepted(1)),
        )
        for outcomes in cases:
            with self.subTest(outcomes=outcomes):
                virtual_time.run(self.repeat_start, outcomes)

    async def repeat_start(
        self, outcomes: tuple[orders.OrderOutcome | Exception, ...]
    ) -> None:
        """Checks that the run is kept and all transmissions are equal."""
        world = session_world.SessionWorld(virtual_time.LoopClock())
        world.client.outcomes.extend(outcomes)
        async with world.run():
            run = world.begin_start()
            await session_world.wait_until(
                lambda: run.phase is not runs_lib.RunPhase.SENDING
            )
            self.assertIs(run.phase, runs_lib.RunPhase.RUNNING)
            self.assertFalse(world.state.pending_stops)
            self.assertEqual(len(world.client.starts), len(outcomes))
            leases = {item.lease_until_ms for item in world.client.starts}
            self.assertEqual(len(leases), 1)

    def test_late_start_of_a_long_running_unit_is_not_stopped(self) -> None:
        """Fails if a unit that callers use is stopped because it began late.

        A stop without an answer ended it while others of its step were away.
        """

        async def run() -> None:
            world = session_world.SessionWorld()
            world.client.outcomes.extend((_LOST, _NO_ROOM))
            step = node_world.make_step(1, is_long_running=True, may_be_away=1)
            async with world.run():
                first = world.begin_start(step)
                await session_world.wait_until(
                    lambda: first.phase is not runs_lib.RunPhase.SENDING
                )
                self.assertFalse(world.state.pending_stops)
                world.client.running = (
                    samples.report_running(session_world.UNIT),
                )
                await session_world.wait_until(
                    lambda: first.phase is runs_lib.RunPhase.RUNNING
                )
            self.assertEqual(world.client.stops, [])

        anyio.run(run)

    def test_stop_is_not_sent_to_a_run_that_is_at_work(self) -> None:
        """Fails if a run is stopped after a report has shown that it began."""

        async def run() -> None:
            world = session_world.SessionWorld()
            world.client.outcomes.extend((_LOST, _NO_ROOM))
            async with world.run():
                first = world.begin_start()
                await session_world.wait_until(
                    lambda: first.phase is not runs_lib.RunPhase.SENDING
                )
                world.client.running = (
                    samples.report_running(session_world.UNIT),
                )
                await session_world.wait_until(
                    lambda: first.phase is runs_lib.RunPhase.RUNNING
                )
                world.send_stops()
                await anyio.sleep(0.05)
            self.assertEqual(world.client.stops, [])

        anyio.run(run)


class UndecidedRunTest(unittest.TestCase):
    """Runs that neither an answer nor a stop decides."""

    def test_unit_is_free_once_the_lease_of_its_start_is_over(self) -> None:
        """Fails if a unit waits for ever because no order is answered.

        Its stop was refused, or had no answer, while the worker reported.
        """
        refused = orders.Refused(orders.Refusal.OTHER)
        for first_repeat in (_LOST, _NO_ROOM):
            for stop in (refused, _LOST):
                with self.subTest(repeat=first_repeat, stop=stop):
                    anyio.run(self.lose_start, first_repeat, stop)

    async def lose_start(
        self,
        repeat: orders.OrderOutcome | Exception,
        stop: orders.OrderOutcome | Exception,
    ) -> None:
        """Checks that the unit is placed elsewhere, but not too early."""
        world = session_world.SessionWorld()
        world.client.outcomes.extend((_LOST, repeat))
        world.client.stop_outcomes.extend([stop] * 10_000)
        async with world.run():
            first = world.begin_start()
            while not world.state.has_waiting_units:
                world.send_stops()
                await anyio.sleep(0.005)
            self.assertGreater(
                world.client.read_clock_ms(),
                world.client.starts[0].lease_until_ms,
            )
            (second,) = world.place()
            self.assertGreater(second.number, first.number)

    def test_unexpected_error_does_not_lose_the_unit(self) -> None:
        """Fails if a unit waits for ever after an error in a sending task."""

        async def run() -> None:
            world = session_world.SessionWorld()
            world.client.outcomes.append(RuntimeError("unexpected"))
            async with world.run():
                world.begin_start()
                await session_world.wait_until(
                    lambda: world.state.has_waiting_units
                )

        anyio.run(run)


class StopTest(unittest.TestCase):
    """Stops beside orders without an answer."""

    def test_stops_do_not_wait_for_starts(self) -> None:
        """Fails if starts without an answer delay the stop of a run."""

        async def run() -> None:
            world = session_world.SessionWorld()
            world.client.before_start = anyio.sleep_forever
            async with world.run():
                step = node_world.make_step(10)
                world.state.add_job(samples.make_job("00000000000000b2", step))
                units = samples.list_units(world.state.jobs["00000000000000b2"])
                for unit in units:
                    start = runs_lib.Run(unit, 1, "w1", 0.0)
                    world.session.enqueue(order_sender.StartCommand(start))
                await _add_runs(world, 1)
                await session_world.wait_until(lambda: world.client.stops)

        anyio.run(run)

    def test_stop_without_an_answer_lets_others_pass(self) -> None:
        """Fails if stops wait behind others that are never answered."""

        async def run() -> None:
            world = session_world.SessionWorld()
            world.client.stop_outcomes.extend([_LOST] * 400)
            async with world.run():
                await _add_runs(world, 6)
                await session_world.wait_until(
                    lambda: len({item.unit for item in world.client.stops}) == 6
                )
                # The order of the queue is kept: no stop is sent twice in the
                # time in which another one isn't sent.
                await session_world.wait_until(
                    lambda: len(world.client.stops) > 60
                )
                sent = [item.unit for item in world.client.stops]
                counts = {unit: sent.count(unit) for unit in set(sent)}
                self.assertLessEqual(
                    max(counts.values()) - min(counts.values()), 2
                )

        anyio.run(run)

    def test_refused_stop_of_a_listed_run_is_sent_again(self) -> None:
        """Fails if a run works on for ever because its stop was refused."""

        async def run() -> None:
            world = session_world.SessionWorld()
            refused = orders.Refused(orders.Refusal.OTHER)
            world.client.stop_outcomes.append(refused)
            async with world.run():
                await _add_runs(world, 1)
                while len(world.client.stops) < 2:
                    world.send_stops()
                    await anyio.sleep(0.005)

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
