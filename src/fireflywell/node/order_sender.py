"""Sends starts, stops and throttles to one worker."""

from collections.abc import Callable
import dataclasses
import datetime
import math

import anyio
import anyio.streams.memory

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.node import answer_times
from fireflywell.node import ownership_guard
from fireflywell.node import progress_writer
from fireflywell.node import worker_leases
from fireflywell.scheduling import evictions
from fireflywell.scheduling import orders
from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import service_state
from fireflywell.scheduling import workers as workers_lib
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

_MAX_QUEUED_ORDERS = 512

_RETRY_DELAY = datetime.timedelta(milliseconds=150)

# Interval between repeats of a start to a worker that refuses orders for now.
_UNHEALTHY_DELAY = datetime.timedelta(milliseconds=500)

# A start that can't be sent is tried this often before its unit goes elsewhere.
_MAX_SEND_ATTEMPTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class StartCommand:
    """A run to start."""

    run: runs_lib.Run


@dataclasses.dataclass(frozen=True, slots=True)
class StopCommand:
    """A run to stop."""

    unit: str
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleCommand:
    """A filling run whose share of the worker changes."""

    run: runs_lib.Run
    percent: int


_RunningOrder = StopCommand | ThrottleCommand
Command = StartCommand | _RunningOrder
_CommandStream = (
    anyio.streams.memory.MemoryObjectSendStream[StartCommand]
    | anyio.streams.memory.MemoryObjectSendStream[_RunningOrder]
)


class OrderSender:
    """Queues orders to one worker and applies their outcomes.

    Starts and other orders have a queue each, so that a stop isn't held up by
    starts without an answer.

    Attributes:
        answered_s: Monotonic time of the worker's last answer to an order.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_guard",
        "_leases",
        "_metrics",
        "_on_change",
        "_open_orders",
        "_order_receiver",
        "_order_sender",
        "_start_receiver",
        "_start_sender",
        "_state",
        "_times",
        "_worker",
        "_writer",
        "answered_s",
    )

    def __init__(
        self,
        worker: workers_lib.Worker,
        client: orders.WorkerClient,
        state: service_state.ServiceState,
        writer: progress_writer.ProgressWriter,
        guard: ownership_guard.OwnershipGuard,
        leases: worker_leases.WorkerLeases,
        times: answer_times.AnswerTimes,
        clock: clock_lib.Clock,
        on_change: Callable[[], None],
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._worker = worker
        self._client = client
        self._state = state
        self._writer = writer
        self._guard = guard
        self._leases = leases
        self._times = times
        self._clock = clock
        self._on_change = on_change
        self._metrics = metrics
        self.answered_s = -math.inf
        self._start_sender, self._start_receiver = (
            anyio.create_memory_object_stream[StartCommand](math.inf)
        )
        self._order_sender, self._order_receiver = (
            anyio.create_memory_object_stream[_RunningOrder](math.inf)
        )
        # Stops and throttles that are queued or being sent.
        self._open_orders: set[_RunningOrder] = set()

    def enqueue(self, command: Command) -> None:
        """Queues an order; only stops are accepted while the queue is full.

        The unit of a stop is placed again only once the stop is confirmed. A
        stop or throttle that is queued or being sent isn't queued again.
        """
        match command:
            case StartCommand(run=run) if (
                _count_queued(self._start_sender) >= _MAX_QUEUED_ORDERS
            ):
                self._state.refuse_start(
                    run, orders.Refusal.NO_ROOM, self._now_s()
                )
            case StartCommand():
                self._start_sender.send_nowait(command)
            case ThrottleCommand(run=run) if (
                _count_queued(self._order_sender) >= _MAX_QUEUED_ORDERS
            ):
                run.is_share_confirmed = False
            case _ if command not in self._open_orders:
                self._open_orders.add(command)
                self._order_sender.send_nowait(command)

    async def run_starts(self) -> None:
        """Sends queued starts until cancelled; several tasks may run it."""
        async for command in self._start_receiver:
            await self._start(command.run)

    async def run_other_orders(self) -> None:
        """Sends queued stops and throttles until cancelled, as `run_starts`.

        A stop without an answer goes back to the end of the queue.
        """
        async for command in self._order_receiver:
            is_settled = True
            try:
                match command:
                    case StopCommand(unit=unit, run=number):
                        is_settled = await self._stop(unit, number)
                    case ThrottleCommand(run=run, percent=percent):
                        await self._throttle(run, percent)
            finally:
                self._open_orders.discard(command)
            if not is_settled:
                self.enqueue(command)

    @property
    def _permits_starts(self) -> bool:
        """Whether a start may be sent now.

        Orders wait in a queue, for a connection and between repeats, so each
        transmission is checked: since its unit was placed, the worker may have
        begun to drain, or have listed runs that this owner didn't count.
        """
        return (
            self._worker.is_reachable
            and not self._worker.is_closed
            and self._guard.permits_orders
        )

    async def _start(self, run: runs_lib.Run) -> None:
        if run.phase is not runs_lib.RunPhase.SENDING:
            return
        if not (self._permits_starts and self._leases.has_clock):
            if self._worker.is_closed:
                self._log_refusal(run, self._describe_closure())
            self._state.refuse_start(run, orders.Refusal.NO_ROOM, self._now_s())
            self._on_change()
            return
        step = run.unit.step
        if not step.may_start_on(self._worker.worker_id, self._now_s()):
            # It has waited for a connection until its ticket was over.
            self._log_refusal(run, "the ticket expired before it was sent")
            self._state.refuse_start(
                run, orders.Refusal.NO_TICKET, self._now_s()
            )
            self._on_change()
            return
        try:
            self._apply_outcome(run, await self._send_start(run))
        finally:
            # After an unexpected error, too, the run must not stay undecided.
            match run.phase:
                case runs_lib.RunPhase.SENDING if (
                    run.unanswered_starts and self._worker.is_closed
                ):
                    # The worker may leave before the lease in the order ends.
                    self._state.give_up_start(run)
                case runs_lib.RunPhase.SENDING if run.unanswered_starts:
                    self._state.mark_start_unknown(run)
                case runs_lib.RunPhase.SENDING:
                    self._state.refuse_start(run, None, self._now_s())
        self._on_change()

    def _apply_outcome(
        self, run: runs_lib.Run, outcome: orders.OrderOutcome | None
    ) -> None:
        now_s = self._now_s()
        match outcome:
            case orders.Accepted():
                self._metrics.count("node.runs.started")
                self._metrics.record_duration(
                    "node.runs.wait",
                    datetime.timedelta(
                        seconds=now_s - run.unit.step.job.arrived_s
                    ),
                )
                self._state.confirm_start(run, now_s)
            case orders.Refused(reason=reason):
                self._log_refusal(run, reason)
                self._state.refuse_start(run, reason, now_s)
                if reason is orders.Refusal.FENCED:
                    self._writer.check_tenure()
            case orders.Unhealthy():
                self._log_refusal(run, "unhealthy")
                self._state.refuse_start(run, None, now_s)
            case orders.IncarnationMismatch():
                self._log_refusal(run, "another incarnation answered")
                self._state.refuse_start(run, None, now_s)
            case None if run.phase is runs_lib.RunPhase.SENDING:
                self._log_refusal(run, "no answer")

    async def _send_start(
        self, run: runs_lib.Run
    ) -> orders.OrderOutcome | None:
        """Returns the deciding answer; None if the order may be carried out.

        A start without an answer is sent again unchanged until it is answered
        or its lease ends: the worker starts a run number at most once, so an
        accepted repeat settles all transmissions.
        """
        order = self._make_start(run)
        run.may_start_until_ms = order.lease_until_ms
        run.start_token = order.fencing_token
        attempts = 0
        # The caller has checked that the first transmission may be sent.
        while not attempts or self._may_send(run, order):
            timeout = self._times.choose_timeout(attempts, orders.ORDER_TIMEOUT)
            attempts += 1
            run.unanswered_starts += 1
            sent_s = self._now_s()
            if timeout != order.timeout:
                order = dataclasses.replace(order, timeout=timeout)
            try:
                outcome = await self._client.start(order)
            except errors.PlatformUnavailableError:
                run.unanswered_starts -= 1
                if not run.unanswered_starts and attempts >= _MAX_SEND_ATTEMPTS:
                    break
                await self._clock.sleep(_RETRY_DELAY)
                continue
            except errors.PlatformError as error:
                self._times.record_loss(timeout, orders.ORDER_TIMEOUT)
                self._log_unanswered_start(run, str(error))
                await self._pause_since(sent_s)
                continue
            run.unanswered_starts -= 1
            self._times.record(self._now_s() - sent_s)
            self._record_answer(outcome)
            match outcome:
                case orders.Unhealthy() if run.unanswered_starts:
                    await self._clock.sleep(_UNHEALTHY_DELAY)
                case _:
                    return outcome
        return None if run.unanswered_starts else orders.Unhealthy()

    def _make_start(self, run: runs_lib.Run) -> orders.StartOrder:
        unit = run.unit
        ticket = unit.step.tickets.get(self._worker.worker_id)
        return orders.StartOrder(
            unit.name,
            run.number,
            unit.step.job.submission.request.specification,
            self._leases.grant_for_start(self.answered_s),
            self._find_token(),
            unit.checkpoint,
            ticket.text if ticket else "",
        )

    def _may_send(self, run: runs_lib.Run, order: orders.StartOrder) -> bool:
        return (
            run.phase is runs_lib.RunPhase.SENDING
            and self._permits_starts
            and not self._leases.is_past(order.lease_until_ms)
        )

    async def _stop(self, unit: str, number: int) -> bool:
        """Sends a stop once; returns whether it needn't be sent again."""
        run = self._worker.runs.get((unit, number))
        if run is not None and run.phase not in (
            runs_lib.RunPhase.START_UNKNOWN,
            runs_lib.RunPhase.STOPPING,
        ):
            return True
        if run is not None and not evictions.may_send_stop(
            self._state, run, self._now_s(), self._guard.permits_orders
        ):
            await self._clock.sleep(_RETRY_DELAY)
            return False
        sent_s = self._now_s()
        token = self._find_token()
        try:
            outcome = await self._client.stop(
                orders.StopOrder(unit, number, token)
            )
        except errors.PlatformError:
            await self._pause_since(sent_s)
            return (unit, number) not in self._worker.runs
        if token != self._find_token():
            # The answer may be the former incarnation's.
            return (unit, number) not in self._worker.runs
        self._record_answer(outcome)
        match outcome:
            case orders.Accepted():
                self._state.confirm_stop(
                    self._worker.worker_id, unit, number, self._now_s()
                )
                return True
            case orders.Refused(reason=reason):
                # The service's state requests it again after a while.
                self._log_refused_stop(unit, number, reason)
                return True
            case _:
                await self._clock.sleep(_RETRY_DELAY)
                return (unit, number) not in self._worker.runs

    async def _throttle(self, run: runs_lib.Run, percent: int) -> None:
        is_current = run.share_percent == percent
        if run.phase is not runs_lib.RunPhase.RUNNING or not is_current:
            return
        order = orders.ThrottleOrder(
            run.unit.name, run.number, percent, self._find_token()
        )
        # Without an answer the worker may have either share, and a late order
        # may change it again, so the order is repeated until it is accepted.
        run.is_share_confirmed = False
        try:
            outcome = await self._client.throttle(order)
        except errors.PlatformError as error:
            self._log_failed_throttle(run, str(error))
            return
        self._record_answer(outcome)
        match outcome:
            case orders.Accepted():
                run.is_share_confirmed = run.share_percent == percent
            case _:
                self._log_failed_throttle(run, repr(outcome))

    def _describe_closure(self) -> str:
        if self._worker.instance.is_draining:
            return "the worker is draining"
        if self._worker.has_unknown_runs:
            return "the worker lists runs whose resources aren't known"
        return "the worker's runs exceed its capacity"

    async def _pause_since(self, sent_s: float) -> None:
        """Keeps calls from being repeated in a loop if they fail at once."""
        elapsed = datetime.timedelta(seconds=self._now_s() - sent_s)
        if elapsed < _RETRY_DELAY:
            await self._clock.sleep(_RETRY_DELAY - elapsed)

    def _log_failed_throttle(self, run: runs_lib.Run, reason: str) -> None:
        logs.log_event(
            "worker.pace_failed",
            worker=self._worker.worker_id,
            unit=run.unit.name,
            error=reason,
        )

    def _record_answer(self, outcome: orders.OrderOutcome) -> None:
        match outcome:
            case orders.Accepted() | orders.Refused():
                self.answered_s = self._now_s()

    def _log_refusal(self, run: runs_lib.Run, reason: str) -> None:
        self._metrics.count("node.runs.refused")
        logs.log_event(
            "run.refused",
            job=run.unit.step.job.job_id,
            unit=run.unit.name,
            run=run.number,
            worker=self._worker.worker_id,
            reason=str(reason),
            unanswered=run.unanswered_starts,
        )

    def _log_refused_stop(
        self, unit: str, number: int, reason: orders.Refusal
    ) -> None:
        logs.log_event(
            "run.stop_refused",
            unit=unit,
            run=number,
            worker=self._worker.worker_id,
            reason=str(reason),
        )

    def _log_unanswered_start(self, run: runs_lib.Run, reason: str) -> None:
        self._metrics.count("node.runs.unanswered")
        logs.log_event(
            "run.start_unanswered",
            job=run.unit.step.job.job_id,
            unit=run.unit.name,
            run=run.number,
            worker=self._worker.worker_id,
            reason=reason,
        )

    def _find_token(self) -> int:
        return self._state.order_tokens.find(self._worker.worker_id)

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()


def _count_queued(stream: _CommandStream) -> int:
    return stream.statistics().current_buffer_used
