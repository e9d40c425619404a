"""A session with one worker whose answers the test sets."""

import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import datetime
import random

import anyio
import anyio.lowlevel

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.node import order_sender
from fireflywell.node import worker_leases
from fireflywell.node import worker_session
from fireflywell.scheduling import model
from fireflywell.scheduling import orders
from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import workers as workers_lib
from fireflywell.telemetry import metrics as metrics_lib
from tests import scheduling_samples as samples

JOB_ID = "00000000000000a1"
UNIT = f"{JOB_ID}.0.0.0"
LEASE = datetime.timedelta(seconds=1)
LONGEST_LEASE = datetime.timedelta(seconds=2)


class ScriptedClient:
    """A worker's client whose answers the test sets.

    Attributes:
        outcomes: Answers to the next starts, or errors to raise; further starts
            have no answer.
        stop_outcomes: Answers to the next stops, or errors to raise; further
            stops are accepted.
        throttle_outcomes: Answers to the next throttles, accepted if empty.
        throttles: Throttles that were sent.
        starts: Starts that were sent.
        stops: Stops that were sent.
        before_start: Called when a start is sent.
        before_renewal: Called when a report request is sent, before the worker
            receives it.
        before_stop: Called when a stop is sent.
        running: Runs that the next reports list.
        running_after_throttle: Replaces `running` once a throttle is sent.
        started_unix_ms: Incarnation that reports.
        token: Highest fencing token that the worker has received; it refuses
            starts with a lower one.
        is_silent: Whether report requests get no answer.
        is_replaced: Whether another incarnation answers report requests.
        lost_reports: How many further report requests get no answer.
        renewals: Report requests that were sent.
    """

    def __init__(self) -> None:
        self.stop_outcomes: collections.deque[
            orders.OrderOutcome | Exception
        ] = collections.deque()
        self.lost_reports = 0
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
        self.before_stop = anyio.lowlevel.checkpoint
        self.before_renewal = _send_at_once
        self.token = 0
        self.running: tuple[orders.RunReport, ...] = ()
        self.running_after_throttle: tuple[orders.RunReport, ...] = ()
        self.started_unix_ms = 1
        self.is_silent = False
        self.is_replaced = False
        self.renewals: list[orders.RenewOrder] = []

    async def start(self, order: orders.StartOrder) -> orders.OrderOutcome:
        """Answers with the next outcome."""
        self.starts.append(order)
        await self.before_start()
        if order.fencing_token < self.token:
            return orders.Refused(orders.Refusal.FENCED)
        return await _answer(
            self.outcomes, errors.AnswerLostError("no answer to the start")
        )

    async def stop(self, order: orders.StopOrder) -> orders.OrderOutcome:
        """Answers with the next outcome."""
        self.stops.append(order)
        await self.before_stop()
        return await _answer(self.stop_outcomes, orders.Accepted(1))

    async def throttle(
        self, order: orders.ThrottleOrder
    ) -> orders.OrderOutcome:
        """Answers with the next outcome."""
        self.throttles.append(order)
        self.running = self.running_after_throttle or self.running
        return await _answer(self.throttle_outcomes, orders.Accepted(1))

    async def renew(
        self, order: orders.RenewOrder
    ) -> orders.WorkerReport | orders.OrderOutcome:
        """Reports the runs that the test set."""
        self.renewals.append(order)
        await self.before_renewal(order)
        await anyio.sleep(0.01)
        if self.is_silent:
            raise errors.AnswerLostError("the worker is silent")
        self.token = max(self.token, order.fencing_token)
        if self.is_replaced:
            return orders.IncarnationMismatch()
        if self.lost_reports:
            self.lost_reports -= 1
            raise errors.AnswerLostError("no answer to the report request")
        return orders.WorkerReport(
            self.read_clock_ms(), self.started_unix_ms, self.running, ()
        )

    def delay_renewals_above(self, token: int) -> anyio.Event:
        """Delays report requests with higher fencing tokens.

        Returns:
            The event to set once the worker may receive them.
        """
        may_arrive = anyio.Event()

        async def wait(order: orders.RenewOrder) -> None:
            if order.fencing_token > token:
                await may_arrive.wait()

        self.before_renewal = wait
        return may_arrive

    def read_clock_ms(self) -> int:
        """Returns the time on the worker's clock."""
        return int(anyio.current_time() * 1000)

    async def close(self) -> None:
        """Does nothing: there is no connection."""


async def _send_at_once(order: orders.RenewOrder) -> None:
    """Doesn't delay a report request."""
    del order
    await anyio.lowlevel.checkpoint()


async def _answer(
    outcomes: collections.deque[orders.OrderOutcome | Exception],
    default: orders.OrderOutcome | Exception,
) -> orders.OrderOutcome:
    """Returns or raises the next outcome, or the default if there is none."""
    outcome = outcomes.popleft() if outcomes else default
    await anyio.sleep(0.001)
    if isinstance(outcome, Exception):
        raise outcome
    return outcome


class FakeGuard:
    """Permits all orders unless the test lets the node's lease lapse."""

    def __init__(self) -> None:
        self.permits_orders = True

    def permits_renewals(self, grace: datetime.timedelta) -> bool:
        """Returns whether leases may be renewed."""
        del grace
        return self.permits_orders


class FakeWriter:
    """Stores nothing.

    Attributes:
        missing: Jobs that are never stored.
    """

    def __init__(self) -> None:
        self.random = random.Random(1)
        self.missing: frozenset[str] = frozenset()

    def check_tenure(self) -> None:
        """Accepts that a worker has seen a higher fencing token."""

    async def wait_until_stored(
        self, job_ids: frozenset[str], timeout: datetime.timedelta
    ) -> frozenset[str]:
        """Reports the jobs as stored, unless the test says otherwise."""
        del timeout
        return job_ids & self.missing


class FakeAssignedWorkers:
    """Stores each incarnation as in use, unless the test says otherwise.

    Attributes:
        is_store_down: Whether nothing can be stored.
        stored: Incarnations that are stored as in use.
    """

    def __init__(self) -> None:
        self.is_store_down = False
        self.stored: set[tuple[str, int]] = set()

    async def acquire(
        self,
        instance: workers_lib.WorkerInstance,
        started_unix_ms: int,
        timeout: datetime.timedelta,
    ) -> bool:
        """Stores the incarnation as in use, or waits in vain."""
        if self.is_store_down:
            await anyio.sleep(timeout.total_seconds())
            return False
        self.stored.add((instance.instance_id, started_unix_ms))
        return True


class SessionWorld:
    """A service with two workers, one of which has a session."""

    def __init__(self, clock: clock_lib.Clock | None = None) -> None:
        self.clock = clock or clock_lib.SystemClock()
        self.state = samples.make_state("w1", "w2")
        self.worker = self.state.workers["w1"]
        self.worker.is_reachable = False
        # Units go to `w1` while `w2` accepts none.
        self.state.workers["w2"].is_cordoned = True
        self.client = ScriptedClient()
        self.guard = FakeGuard()
        self.assigned_workers = FakeAssignedWorkers()
        # Whether another worker is listed on the VM of `w1`.
        self.has_successor = False
        self.session = worker_session.WorkerSession(
            self.worker,
            self.client,
            self.state,
            FakeWriter(),  # type: ignore[arg-type]
            self.guard,  # type: ignore[arg-type]
            worker_leases.WorkerLeases(self.clock, LEASE, LONGEST_LEASE),
            self.clock,
            lambda: None,
            self.fetch_jobs,
            metrics_lib.NullMetrics(),
            self.assigned_workers,  # type: ignore[arg-type]
            lambda _: self.has_successor,
        )

    def delay_renewals_after_restart(self) -> anyio.Event:
        """Delays report requests with a higher token than the present one.

        Returns:
            The event to set once the worker may receive them.
        """
        token = self.state.order_tokens.find("w1")
        return self.client.delay_renewals_above(token)

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

    def place(self) -> list[runs_lib.Run]:
        """Returns the runs that may be placed now."""
        self.state.workers["w2"].is_cordoned = False
        return self.state.plan(self.clock.monotonic().total_seconds())

    def begin_start(self, *steps: model.Step) -> runs_lib.Run:
        """Adds a job with one unit, places it on `w1` and sends the start."""
        self.state.add_job(samples.make_job(JOB_ID, *steps))
        (run,) = self.state.plan(self.clock.monotonic().total_seconds())
        self.session.enqueue(order_sender.StartCommand(run))
        return run

    def send_stops(self) -> None:
        """Sends the requested stops to the worker."""
        stops = self.state.pending_stops
        while stops:
            item = stops.popleft()
            self.session.enqueue(order_sender.StopCommand(item.unit, item.run))


async def wait_until(condition: Callable[[], object]) -> None:
    """Waits until a condition holds."""
    while not condition():
        await anyio.sleep(0.005)
