"""Sessions with workers: a unit starts again only after it can't run any more.

A call without an answer may be carried out seconds later. Each test places a
second run as soon as the service's state allows one.
"""

import collections
from collections.abc import AsyncIterator
import contextlib
import datetime
import functools
import random
import unittest

import anyio
import anyio.lowlevel

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.node import order_sender
from fireflywell.node import worker_leases
from fireflywell.node import worker_session
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import model
from fireflywell.scheduling import orders
from fireflywell.telemetry import metrics as metrics_lib
from tests import node_world
from tests import scheduling_samples as samples

_JOB = "00000000000000a1"
_UNIT = f"{_JOB}.0.0.0"
_LEASE = datetime.timedelta(seconds=1)
_LONGEST_LEASE = datetime.timedelta(seconds=2)

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


class ScriptedClient:
    """A worker's client whose answers the test sets.

    Attributes:
        outcomes: Answers to the next starts, or errors to raise.
        throttle_outcomes: Answers to the next throttles, accepted if empty.
        throttles: Throttles that were sent.
        starts: Starts that were sent.
        stops: Stops that were sent.
        before_start: Called when a start is sent.
        running: Runs that the next reports list.
        running_after_throttle: Replaces `running` once a throttle is sent.
        started_unix_ms: Incarnation that reports.
        is_silent: Whether report requests get no answer.
    """

    def __init__(self) -> None:
        self.outcomes: collections.deque[orders.OrderOutcome | Exception] = (
            collections.deque()
        )
        self.throttle_outcomes: collections.deque[
            orders.OrderOutcome | Exception
        ] = collections.deque()
        self.throttles: list[orders.ThrottleOrder] = []
        self.starts: list[orders.StartOrder] = []
        self.stops: list[orders.StopOrder] = []
        self.before_start = anyio.lowlevel.checkpoint
        self.running: tuple[orders.RunReport, ...] = ()
        self.running_after_throttle: tuple[orders.RunReport, ...] = ()
        self.started_unix_ms = 1
        self.is_silent = False

    async def start(self, order: orders.StartOrder) -> orders.OrderOutcome:
        """Answers with the next outcome."""
        self.starts.append(order)
        await self.before_start()
        outcome = self.outcomes.popleft()
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def stop(self, order: orders.StopOrder) -> orders.OrderOutcome:
        """Accepts the stop."""
        self.stops.append(order)
        return orders.Accepted(1)

    async def throttle(
        self, order: orders.ThrottleOrder
    ) -> orders.OrderOutcome:
        """Answers with the next outcome."""
        self.throttles.append(order)
        self.running = self.running_after_throttle or self.running
        if not self.throttle_outcomes:
            return orders.Accepted(1)
        outcome = self.throttle_outcomes.popleft()
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def renew(
        self, order: orders.RenewOrder
    ) -> orders.WorkerReport | orders.OrderOutcome:
        """Reports the runs that the test set."""
        del order
        await anyio.sleep(0.01)
        if self.is_silent:
            raise errors.AnswerLostError("the worker is silent")
        return orders.WorkerReport(1, self.started_unix_ms, self.running, ())

    async def close(self) -> None:
        """Does nothing: there is no connection."""


class FakeGuard:
    """Permits all orders unless the test lets the node's lease lapse."""

    def __init__(self) -> None:
        self.permits_orders = True

    def permits_renewals(self, grace: datetime.timedelta) -> bool:
        """Returns whether leases may be renewed."""
        del grace
        return self.permits_orders


class FakeWriter:
    """Stores nothing."""

    def __init__(self) -> None:
        self.random = random.Random(1)

    def check_tenure(self) -> None:
        """Accepts that a worker has seen a higher fencing token."""

    async def wait_until_stored(
        self, job_ids: frozenset[str], timeout: datetime.timedelta
    ) -> bool:
        """Reports the jobs as stored."""
        del job_ids, timeout
        return True


class SessionWorld:
    """A service with two workers, one of which has a session."""

    def __init__(self) -> None:
        self.clock = clock_lib.SystemClock()
        self.state = samples.make_state("w1", "w2")
        self.worker = self.state.workers["w1"]
        self.worker.is_reachable = False
        # Units go to `w1` while `w2` accepts none.
        self.state.workers["w2"].is_cordoned = True
        self.client = ScriptedClient()
        self.guard = FakeGuard()
        self.session = worker_session.WorkerSession(
            self.worker,
            self.client,
            self.state,
            FakeWriter(),  # type: ignore[arg-type]
            self.guard,  # type: ignore[arg-type]
            1,
            worker_leases.WorkerLeases(self.clock, _LEASE, _LONGEST_LEASE),
            self.clock,
            lambda: None,
            self.fetch_jobs,
            metrics_lib.NullMetrics(),
        )

    async def fetch_jobs(self, job_ids: frozenset[str]) -> None:
        """Adds nothing: all jobs are loaded."""

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Runs the session until the block is left."""
        with anyio.fail_after(10):
            async with anyio.create_task_group() as group:
                group.start_soon(self.session.run)
                await wait_until(lambda: self.worker.is_reachable)
                yield
                group.cancel_scope.cancel()

    def place(self) -> list[jobs_lib.Run]:
        """Returns the runs that may be placed now."""
        self.state.workers["w2"].is_cordoned = False
        return self.state.plan(self.clock.monotonic().total_seconds())

    def begin_start(self) -> jobs_lib.Run:
        """Adds a job with one unit, places it on `w1` and sends the start."""
        self.state.add_job(samples.make_job(_JOB))
        (run,) = self.state.plan(self.clock.monotonic().total_seconds())
        self.session.enqueue(order_sender.StartCommand(run))
        return run

    def send_stops(self) -> None:
        """Sends the requested stops to the worker."""
        stops = self.state.pending_stops
        while stops:
            item = stops.popleft()
            self.session.enqueue(order_sender.StopCommand(item.unit, item.run))


async def wait_until(condition) -> None:
    """Waits until a condition holds."""
    while not condition():
        await anyio.sleep(0.005)


async def _refuse(refusal: orders.OrderOutcome) -> list[jobs_lib.Run]:
    """Returns what may be placed after a repeat got this refusal."""
    world = SessionWorld()
    world.client.outcomes.extend((errors.AnswerLostError("no answer"), refusal))
    async with world.run():
        run = world.begin_start()
        await wait_until(lambda: run.phase is not jobs_lib.RunPhase.SENDING)
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
            world = SessionWorld()
            world.client.outcomes.extend(
                (errors.AnswerLostError("no answer"), orders.Unhealthy())
            )
            async with world.run():
                first = world.begin_start()
                await wait_until(
                    lambda: first.phase is not jobs_lib.RunPhase.SENDING
                )
                world.send_stops()
                await wait_until(lambda: world.state.has_waiting_units)
                (second,) = world.place()
                self.assertGreater(second.number, first.number)
            self.assertEqual(len(world.client.stops), 1)

        anyio.run(run)

    def test_refusal_of_the_only_transmission_frees_the_unit(self) -> None:
        """Fails if a unit waits although its only start was refused."""

        async def run() -> None:
            world = SessionWorld()
            world.client.outcomes.append(orders.Unhealthy())
            async with world.run():
                first = world.begin_start()
                await wait_until(
                    lambda: first.phase is not jobs_lib.RunPhase.SENDING
                )
                (second,) = world.place()
                self.assertEqual(second.worker_id, "w2")
            self.assertEqual(world.client.stops, [])

        anyio.run(run)

    def test_unexpected_answer_leaves_the_start_unknown(self) -> None:
        """Fails if a unit is lost after an answer that can't be interpreted."""

        async def run() -> None:
            world = SessionWorld()
            answer = errors.PlatformRejectedError("unexpected status 500")
            world.client.outcomes.extend((answer, answer))
            async with world.run():
                first = world.begin_start()
                await wait_until(
                    lambda: first.phase is not jobs_lib.RunPhase.SENDING
                )
                world.send_stops()
                await wait_until(lambda: world.state.has_waiting_units)

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
        world = SessionWorld()
        filling = node_world.make_step(1, is_filling=True)
        serving = node_world.make_step(1, is_long_running=True, target_ms=100.0)
        world.client.outcomes.extend([orders.Accepted(1)] * 2)
        world.client.throttle_outcomes.append(failure)
        async with world.run():
            world.state.add_job(samples.make_job(_JOB, filling, serving))
            runs = world.state.plan(world.clock.monotonic().total_seconds())
            for run in runs:
                world.session.enqueue(order_sender.StartCommand(run))
            await wait_until(
                lambda: all(
                    run.phase is jobs_lib.RunPhase.RUNNING for run in runs
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
            await wait_until(lambda: len(world.client.throttles) > 1)


class SilentWorkerTest(unittest.TestCase):
    """Workers that stop answering while starts are queued."""

    def test_queued_starts_are_not_sent_to_an_unreachable_worker(self) -> None:
        """Fails if queued starts delay the end of a silent worker's leases."""

        async def run() -> None:
            world = SessionWorld()
            world.client.before_start = functools.partial(anyio.sleep, 0.2)
            lost = errors.AnswerLostError("the worker is silent")
            world.client.outcomes.extend([lost] * 80)
            async with world.run():
                world.client.is_silent = True
                step = node_world.make_step(
                    40, demand=model.ResourceAmounts(10, 1)
                )
                world.state.add_job(samples.make_job(_JOB, step))
                now_s = world.clock.monotonic().total_seconds()
                for item in world.state.plan(now_s):
                    world.session.enqueue(order_sender.StartCommand(item))
                await wait_until(lambda: not world.worker.runs)
            self.assertLess(len(world.client.starts), 40)

        anyio.run(run)


class FullQueueTest(unittest.TestCase):
    """Sessions with more queued orders than they accept."""

    def test_stops_are_sent_although_the_queue_is_full(self) -> None:
        """Fails if a stop is dropped and its run is never settled."""

        async def run() -> None:
            world = SessionWorld()
            for number in range(600):
                world.session.enqueue(order_sender.StopCommand(_UNIT, number))
            async with world.run():
                await wait_until(lambda: len(world.client.stops) == 600)

        anyio.run(run)


class RestartedWorkerTest(unittest.TestCase):
    """Workers that come back under their id."""

    def test_start_in_flight_may_reach_the_next_incarnation(self) -> None:
        """Fails if a unit starts elsewhere while its start is in flight.

        The worker came back under its id; the start reached the next
        incarnation after that one's first report.
        """

        async def run() -> None:
            world = SessionWorld()
            may_answer = anyio.Event()
            world.client.before_start = may_answer.wait
            world.client.outcomes.append(orders.Accepted(1))
            async with world.run():
                first = world.begin_start()
                await wait_until(lambda: world.client.starts)
                world.client.started_unix_ms = 2
                await anyio.sleep(0.1)
                self.assertEqual(world.place(), [])
                world.client.running = (samples.report_running(_UNIT),)
                may_answer.set()
                await anyio.sleep(0.05)
                self.assertEqual(world.place(), [])
                world.client.running = ()
                world.send_stops()
                await wait_until(lambda: world.state.has_waiting_units)
                (second,) = world.place()
                self.assertGreater(second.number, first.number)

        anyio.run(run)

    def test_lease_may_end_by_the_clock_of_the_former_incarnation(self) -> None:
        """Fails if a unit starts elsewhere while a start's lease runs.

        The start named the end of its lease on the clock of the worker's former
        incarnation; the next one shortened it to its own longest lease.
        """

        async def run() -> None:
            world = SessionWorld()
            may_answer = anyio.Event()
            world.client.before_start = may_answer.wait
            world.client.outcomes.append(orders.Accepted(1))
            async with world.run():
                world.begin_start()
                await wait_until(lambda: world.client.starts)
                world.client.started_unix_ms = 2
                await anyio.sleep(0.1)
                may_answer.set()
                started_s = world.clock.monotonic().total_seconds()
                world.guard.permits_orders = False
                world.client.is_silent = True
                await wait_until(lambda: world.state.has_waiting_units)
                waited_s = world.clock.monotonic().total_seconds() - started_s
                self.assertGreaterEqual(
                    waited_s, _LONGEST_LEASE.total_seconds()
                )

        anyio.run(run)

    def test_runs_of_the_former_incarnation_start_again(self) -> None:
        """Fails if units wait although the worker that ran them restarted."""

        async def run() -> None:
            world = SessionWorld()
            world.client.outcomes.append(orders.Accepted(1))
            async with world.run():
                first = world.begin_start()
                world.client.running = (samples.report_running(_UNIT),)
                await wait_until(
                    lambda: first.phase is jobs_lib.RunPhase.RUNNING
                )
                await anyio.sleep(0.1)
                world.client.running = ()
                world.client.started_unix_ms = 2
                await wait_until(lambda: world.state.has_waiting_units)

        anyio.run(run)


class AdoptedRunTest(unittest.TestCase):
    """Runs that an earlier owner started."""

    def test_adopted_run_keeps_its_lease(self) -> None:
        """Fails if a unit starts elsewhere while an earlier lease runs.

        An earlier owner granted it. The node's own lease had lapsed, so the
        session had renewed none when the worker stopped answering.
        """

        async def run() -> None:
            world = SessionWorld()
            world.guard.permits_orders = False
            world.state.add_job(samples.make_job(_JOB))
            world.client.running = (samples.report_running(_UNIT),)
            async with world.run():
                await wait_until(lambda: world.worker.runs)
                first_s = world.clock.monotonic().total_seconds()
                world.client.is_silent = True
                await wait_until(lambda: not world.worker.is_reachable)
                await wait_until(lambda: world.state.has_waiting_units)
                waited_s = world.clock.monotonic().total_seconds() - first_s
                self.assertGreaterEqual(waited_s, _LEASE.total_seconds())

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
