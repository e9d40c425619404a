"""Orders to workers: a unit starts again only after it can't run any more.

A call without an answer may be carried out seconds later. Each test places a
second run as soon as the service's state allows one.
"""

import dataclasses
import functools
import unittest

import anyio

from fireflywell import errors
from fireflywell.node import order_sender
from fireflywell.scheduling import model
from fireflywell.scheduling import orders
from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import steps as steps_lib
from tests import node_world
from tests import scheduling_samples as samples
from tests import session_world

# Each refusal that says nothing about an earlier transmission of the order.
_REFUSALS = (
    orders.Unhealthy(),
    orders.IncarnationMismatch(),
    *(
        orders.Refused(reason)
        for reason in orders.Refusal
        if reason is not orders.Refusal.OLD_RUN
    ),
)


async def _refuse(refusal: orders.OrderOutcome) -> list[runs_lib.Run]:
    """Returns what may be placed after a repeat got this refusal."""
    world = session_world.SessionWorld()
    world.client.outcomes.extend((errors.AnswerLostError("no answer"), refusal))
    async with world.run():
        world.begin_start()
        await session_world.wait_until(lambda: len(world.client.starts) == 2)
        # A report that doesn't list the run proves nothing.
        await anyio.sleep(0.1)
        return world.place()
    return []


class RepeatedStartTest(unittest.TestCase):
    """Starts whose first transmission had no answer."""

    def test_refused_repeat_says_nothing_about_the_first_transmission(
        self,
    ) -> None:
        """Fails if a unit starts elsewhere while its first start may follow.

        The worker refused the repeat and carried out the first transmission
        seconds later.
        """
        placed = {
            str(refusal): [run.number for run in anyio.run(_refuse, refusal)]
            for refusal in _REFUSALS
        }
        self.assertEqual(placed, {str(refusal): [] for refusal in _REFUSALS})

    def test_unit_starts_again_after_its_confirmed_stop(self) -> None:
        """Fails if a unit whose start is unknown is never started again."""

        async def run() -> None:
            world = session_world.SessionWorld()
            world.client.outcomes.extend(
                (
                    errors.AnswerLostError("no answer"),
                    orders.Refused(orders.Refusal.NO_ROOM),
                )
            )
            async with world.run():
                first = world.begin_start()
                await session_world.wait_until(
                    lambda: first.phase is not runs_lib.RunPhase.SENDING
                )
                world.send_stops()
                await session_world.wait_until(
                    lambda: world.state.has_waiting_units
                )
                (second,) = world.place()
                self.assertGreater(second.number, first.number)
            self.assertEqual(len(world.client.stops), 1)

        anyio.run(run)

    def test_refusal_of_the_only_transmission_frees_the_unit(self) -> None:
        """Fails if a unit waits although its only start was refused."""

        async def run() -> None:
            world = session_world.SessionWorld()
            world.client.outcomes.append(orders.Unhealthy())
            async with world.run():
                first = world.begin_start()
                await session_world.wait_until(
                    lambda: first.phase is not runs_lib.RunPhase.SENDING
                )
                (second,) = world.place()
                self.assertEqual(second.worker_id, "w2")
            self.assertEqual(world.client.stops, [])

        anyio.run(run)

    def test_start_is_not_sent_once_its_ticket_has_expired(self) -> None:
        """Fails if a start that waited too long is sent for a refusal."""

        async def run() -> None:
            world = session_world.SessionWorld()
            policy = dataclasses.replace(
                node_world.POLICY, advice=model.AdvicePolicy(0.1, 0.0, 3.0)
            )
            job = samples.make_job(session_world.JOB_ID, policy=policy)
            world.state.add_job(job)
            (step,) = world.state.list_waiting_steps()
            now_s = world.clock.monotonic().total_seconds()
            step.tickets["w1"] = steps_lib.Ticket("ticket", now_s + 60)
            async with world.run():
                (run,) = world.state.plan(now_s)
                step.tickets["w1"] = steps_lib.Ticket("ticket", now_s)
                step.advice_due_s = now_s + 60
                world.session.enqueue(order_sender.StartCommand(run))
                await session_world.wait_until(
                    lambda: run.phase is runs_lib.RunPhase.ENDED
                )
            self.assertEqual(world.client.starts, [])
            self.assertEqual(run.unit.failure_count, 0)
            self.assertTrue(world.state.has_waiting_units)
            self.assertLess(step.advice_due_s, now_s + 10)

        anyio.run(run)

    def test_unexpected_answer_leaves_the_start_unknown(self) -> None:
        """Fails if a unit is lost after an answer that can't be interpreted."""

        async def run() -> None:
            world = session_world.SessionWorld()
            answer = errors.PlatformRejectedError("unexpected status 500")
            world.client.outcomes.extend((answer, answer))
            async with world.run():
                first = world.begin_start()
                await session_world.wait_until(
                    lambda: first.phase is not runs_lib.RunPhase.SENDING
                )
                world.send_stops()
                await session_world.wait_until(
                    lambda: world.state.has_waiting_units
                )

        anyio.run(run)


class ThrottleTest(unittest.TestCase):
    """Throttles of filling runs that a worker doesn't accept."""

    def test_throttle_is_repeated_until_it_is_accepted(self) -> None:
        """Fails if a filling run keeps a share that the owner didn't choose.

        A refused throttle counted as accepted; one without an answer counted as
        refused although the worker may carry it out late.
        """
        for failure in (orders.Unhealthy(), errors.AnswerLostError("lost")):
            with self.subTest(failure=repr(failure)):
                anyio.run(self.fail_throttle, failure)

    async def fail_throttle(
        self, failure: orders.OrderOutcome | Exception
    ) -> None:
        """Checks that a throttle is sent again after a failure."""
        world = session_world.SessionWorld()
        filling = node_world.make_step(1, is_filling=True)
        serving = node_world.make_step(1, is_long_running=True, target_ms=100.0)
        world.client.outcomes.extend([orders.Accepted(1)] * 2)
        world.client.throttle_outcomes.append(failure)
        async with world.run():
            world.state.add_job(
                samples.make_job(session_world.JOB_ID, filling, serving)
            )
            runs = world.state.plan(world.clock.monotonic().total_seconds())
            for run in runs:
                world.session.enqueue(order_sender.StartCommand(run))
            await session_world.wait_until(
                lambda: all(
                    run.phase is runs_lib.RunPhase.RUNNING for run in runs
                )
            )
            # The first latency halves shares, the second one keeps them.
            world.client.running_after_throttle, world.client.running = (
                tuple(
                    samples.report_running(run.unit.name, load=load)
                    for run in runs
                )
                for load in (70.0, 90.0)
            )
            await session_world.wait_until(
                lambda: len(world.client.throttles) > 1
            )


class SilentWorkerTest(unittest.TestCase):
    """Workers that stop answering while starts are queued."""

    def test_queued_starts_are_not_sent_to_an_unreachable_worker(self) -> None:
        """Fails if queued starts delay the end of a silent worker's leases."""

        async def run() -> None:
            world = session_world.SessionWorld()
            world.client.before_start = functools.partial(anyio.sleep, 0.2)
            lost = errors.AnswerLostError("the worker is silent")
            world.client.outcomes.extend([lost] * 80)
            async with world.run():
                world.client.is_silent = True
                # The limit on open starts doesn't hold for a gang.
                step = node_world.make_step(
                    40, demand=model.ResourceAmounts(10, 1), is_gang=True
                )
                world.state.add_job(
                    samples.make_job(session_world.JOB_ID, step)
                )
                now_s = world.clock.monotonic().total_seconds()
                for item in world.state.plan(now_s):
                    world.session.enqueue(order_sender.StartCommand(item))
                await session_world.wait_until(lambda: not world.worker.runs)
            sent = {item.unit for item in world.client.starts}
            self.assertLess(len(sent), 40)

        anyio.run(run)


class DrainingWorkerTest(unittest.TestCase):
    """Workers that begin to drain while starts are on their way."""

    def drain(self, world: session_world.SessionWorld) -> None:
        """Applies an entry that says that the worker is draining."""
        instance = dataclasses.replace(world.worker.instance, is_draining=True)
        world.worker.replace_instance(instance)

    def test_nothing_is_sent_once_the_worker_drains(self) -> None:
        """Fails if starts that wait or have no answer go on while it drains.

        They were sent for as long as their leases lasted, and the units were
        lost with the worker.
        """

        async def run(step: model.Step) -> None:
            world = session_world.SessionWorld()
            world.client.before_start = functools.partial(anyio.sleep, 0.05)
            async with world.run():
                world.state.add_job(
                    samples.make_job(session_world.JOB_ID, step)
                )
                now_s = world.clock.monotonic().total_seconds()
                for item in world.state.plan(now_s):
                    world.session.enqueue(order_sender.StartCommand(item))
                await session_world.wait_until(lambda: world.client.starts)
                self.drain(world)
                sent = len(world.client.starts)
                await anyio.sleep(0.6)
                self.assertEqual(len(world.client.starts), sent)
                self.assertEqual(world.state.plan(now_s + 1), [])

        demand = model.ResourceAmounts(10, 1)
        for step in (
            node_world.make_step(12, demand=demand),
            node_world.make_step(40, demand=demand, is_gang=True),
            node_world.make_step(
                12, demand=demand, is_long_running=True, may_be_away=1
            ),
        ):
            with self.subTest(step=step):
                anyio.run(run, step)

    def test_an_unanswered_start_is_settled_before_the_next(self) -> None:
        """Fails if a unit starts elsewhere while a draining worker may run it.

        The stop that settles it is sent at once, because the worker may leave
        before the lease in the order ends.
        """

        async def run() -> None:
            world = session_world.SessionWorld()
            may_stop = anyio.Event()
            world.client.before_stop = may_stop.wait
            async with world.run():
                first = world.begin_start()
                await session_world.wait_until(lambda: world.client.starts)
                self.drain(world)
                await session_world.wait_until(
                    lambda: first.phase is runs_lib.RunPhase.START_UNKNOWN
                )
                self.assertEqual(world.place(), [])
                world.send_stops()
                await session_world.wait_until(lambda: world.client.stops)
                await anyio.sleep(0.1)
                self.assertEqual(world.place(), [])
                may_stop.set()
                await session_world.wait_until(
                    lambda: world.state.has_waiting_units
                )
                (second,) = world.place()
                self.assertEqual(second.worker_id, "w2")

        anyio.run(run)


class FullQueueTest(unittest.TestCase):
    """Sessions with more queued orders than they accept."""

    def test_stops_are_sent_although_the_queue_is_full(self) -> None:
        """Fails if a stop is dropped and its run is never settled."""

        async def run() -> None:
            world = session_world.SessionWorld()
            for number in range(600):
                world.session.enqueue(
                    order_sender.StopCommand(session_world.UNIT, number)
                )
            async with world.run():
                await session_world.wait_until(
                    lambda: len(world.client.stops) == 600
                )

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
