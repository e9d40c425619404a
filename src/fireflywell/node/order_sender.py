"""Sends starts, stops and throttles to one worker."""

from collections.abc import Callable
import dataclasses
import datetime
import math

import anyio
import anyio.streams.memory

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.node import ownership_guard
from fireflywell.node import progress_writer
from fireflywell.node import worker_leases
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import orders
from fireflywell.scheduling import service_state
from fireflywell.scheduling import workers as workers_lib
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

_MAX_QUEUED_ORDERS = 512

_RETRY_DELAY = datetime.timedelta(milliseconds=150)

# A start without an answer is sent again to the same worker, which starts a
# run number at most once.
_START_ATTEMPTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class StartCommand:
    """A run to start."""

    run: jobs_lib.Run


@dataclasses.dataclass(frozen=True, slots=True)
class StopCommand:
    """A run to stop."""

    unit: str
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleCommand:
    """A filling run whose share of the worker changes."""

    run: jobs_lib.Run
    percent: int


Command = StartCommand | StopCommand | ThrottleCommand


class OrderSender:
    """Queues orders to one worker and applies their outcomes."""

    __slots__ = (
        "_client",
        "_clock",
        "_command_receiver",
        "_command_sender",
        "_guard",
        "_leases",
        "_metrics",
        "_on_change",
        "_state",
        "_token",
        "_worker",
        "_writer",
    )

    def __init__(
        self,
        worker: workers_lib.Worker,
        client: orders.WorkerClient,
        state: service_state.ServiceState,
        writer: progress_writer.ProgressWriter,
        guard: ownership_guard.OwnershipGuard,
        token: int,
        leases: worker_leases.WorkerLeases,
        clock: clock_lib.Clock,
        on_change: Callable[[], None],
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._worker = worker
        self._client = client
        self._state = state
        self._writer = writer
        self._guard = guard
        self._token = token
        self._leases = leases
        self._clock = clock
        self._on_change = on_change
        self._metrics = metrics
        self._command_sender, self._command_receiver = (
            anyio.create_memory_object_stream[Command](math.inf)
        )

    def enqueue(self, command: Command) -> None:
        """Queues an order; only stops are accepted while the queue is full.

        The unit of a stop is placed again only once the stop is confirmed.
        """
        is_full = (
            self._command_sender.statistics().current_buffer_used
            >= _MAX_QUEUED_ORDERS
        )
        match command:
            case StartCommand(run=run) if is_full:
                self._state.refuse_start(
                    run, orders.Refusal.NO_ROOM, self._now_s()
                )
            case ThrottleCommand(run=run) if is_full:
                run.is_share_confirmed = False
            case _:
                self._command_sender.send_nowait(command)

    async def run(self) -> None:
        """Sends queued orders until cancelled; several tasks may run it."""
        async for command in self._command_receiver:
            match command:
                case StartCommand(run=run):
                    await self._start(run)
                case StopCommand(unit=unit, run=number):
                    await self._stop(unit, number)
                case ThrottleCommand(run=run, percent=percent):
                    await self._throttle(run, percent)

    async def _start(self, run: jobs_lib.Run) -> None:
        if run.phase is not jobs_lib.RunPhase.SENDING:
            return
        can_start = (
            self._worker.is_reachable
            and self._leases.has_clock
            and self._guard.permits_orders
        )
        if not can_start:
            self._state.refuse_start(run, orders.Refusal.NO_ROOM, self._now_s())
            return
        unit = run.unit
        order = orders.StartOrder(
            unit.name,
            run.number,
            unit.step.job.submission.request.specification,
            self._leases.compute_end(),
            self._token,
            unit.checkpoint,
            unit.step.tickets.get(self._worker.worker_id, ""),
        )
        self._leases.extend()
        outcome = await self._send_start(run, order)
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
            case None if run.phase is jobs_lib.RunPhase.SENDING:
                self._log_refusal(run, "no answer")
                self._state.mark_start_unknown(run)
        self._on_change()

    async def _send_start(
        self, run: jobs_lib.Run, order: orders.StartOrder
    ) -> orders.OrderOutcome | None:
        """Returns the first answer; None if the order may be carried out."""
        for _ in range(_START_ATTEMPTS):
            if run.phase is not jobs_lib.RunPhase.SENDING:
                break
            run.unanswered_starts += 1
            try:
                outcome = await self._client.start(order)
            except errors.PlatformUnavailableError:
                run.unanswered_starts -= 1
                await self._clock.sleep(_RETRY_DELAY)
            except errors.PlatformError as error:
                self._log_unanswered_start(run, str(error))
            else:
                run.unanswered_starts -= 1
                return outcome
        return None if run.unanswered_starts else orders.Unhealthy()

    async def _stop(self, unit: str, number: int) -> None:
        order = orders.StopOrder(unit, number, self._token)
        while True:
            try:
                outcome = await self._client.stop(order)
            except errors.PlatformError:
                if not self._has_run(unit, number):
                    return
                await self._clock.sleep(_RETRY_DELAY)
                continue
            match outcome:
                case orders.Accepted():
                    self._state.confirm_stop(
                        self._worker.worker_id, unit, number, self._now_s()
                    )
                    return
                case orders.Unhealthy():
                    await self._clock.sleep(_RETRY_DELAY)
                case orders.IncarnationMismatch() if self._has_run(
                    unit, number
                ):
                    await self._clock.sleep(_RETRY_DELAY)
                case _:
                    return

    async def _throttle(self, run: jobs_lib.Run, percent: int) -> None:
        if run.phase is not jobs_lib.RunPhase.RUNNING:
            return
        order = orders.ThrottleOrder(
            run.unit.name, run.number, percent, self._token
        )
        # Without an answer the worker may have either share, and a late order
        # may change it again, so the order is repeated until it is accepted.
        run.is_share_confirmed = False
        try:
            outcome = await self._client.throttle(order)
        except errors.PlatformError as error:
            self._log_failed_throttle(run, str(error))
            return
        match outcome:
            case orders.Accepted():
                run.is_share_confirmed = run.share_percent == percent
            case _:
                self._log_failed_throttle(run, repr(outcome))

    def _log_failed_throttle(self, run: jobs_lib.Run, reason: str) -> None:
        logs.log_event(
            "worker.pace_failed",
            worker=self._worker.worker_id,
            unit=run.unit.name,
            error=reason,
        )

    def _has_run(self, unit: str, number: int) -> bool:
        return (unit, number) in self._worker.runs

    def _log_refusal(self, run: jobs_lib.Run, reason: str) -> None:
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

    def _log_unanswered_start(self, run: jobs_lib.Run, reason: str) -> None:
        self._metrics.count("node.runs.unanswered")
        logs.log_event(
            "run.start_unanswered",
            job=run.unit.step.job.job_id,
            unit=run.unit.name,
            run=run.number,
            worker=self._worker.worker_id,
            reason=reason,
        )

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()
