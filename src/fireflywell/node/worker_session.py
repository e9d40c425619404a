"""Renews one worker's leases, applies its reports and sends it orders."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime
import math

import anyio
import anyio.streams.memory

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.node import heartbeat as heartbeat_lib
from fireflywell.node import progress_writer
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import orders
from fireflywell.scheduling import service_state
from fireflywell.scheduling import throttling
from fireflywell.scheduling import workers as workers_lib
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

# A worker with runs answers a report request after this time at the latest, or
# as soon as a run ends. It is also the interval of reports on load.
_REPORT_WAIT = datetime.timedelta(milliseconds=900)

# Pause after a report with ends, so that ends which follow within this time
# share the next report.
_REPORT_PAUSE = datetime.timedelta(milliseconds=25)

# Interval of report requests to a worker without runs, which only check that
# it is reachable.
_IDLE_INTERVAL = datetime.timedelta(seconds=2)

_RETRY_DELAY = datetime.timedelta(milliseconds=150)

# How long to wait until the ends of a report are stored. Until they are stored
# and acknowledged, each report would list the same ends again.
_STORE_TIMEOUT = datetime.timedelta(milliseconds=250)

# Orders that are sent to one worker at the same time.
_MAX_CONCURRENT_ORDERS = 4
_MAX_QUEUED_ORDERS = 512

# A start without an answer is sent again to the same worker, which starts a
# run number at most once.
_START_ATTEMPTS = 2

# A worker's clock may be this much slower than the node's.
CLOCK_DRIFT = 0.02
_LEASE_EXPIRY_MARGIN_S = 0.3

# Longest lease of a run: long enough for a successor to renew it after a
# takeover, short enough that runs on an unreachable worker soon expire.
LONGEST_LEASE = datetime.timedelta(seconds=6)

# After its node's lease has expired, an owner renews the leases of runs for
# this long but starts none. A successor relies on this bound.
RENEWAL_GRACE = datetime.timedelta(seconds=2)


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


class WorkerSession:
    """Renews leases, collects reports and sends orders for one worker."""

    __slots__ = (
        "_state",
        "_client",
        "_clock",
        "_worker_clock_ms",
        "_worker_clock_read_s",
        "_command_sender",
        "_fetch_jobs",
        "_heartbeat",
        "_leases_expire_s",
        "_lease",
        "_metrics",
        "_acknowledged_end",
        "_on_change",
        "_command_receiver",
        "_token",
        "_wake",
        "_worker",
        "_writer",
        "incarnation_start_unix_ms",
        "has_reported",
    )

    def __init__(
        self,
        worker: workers_lib.Worker,
        client: orders.WorkerClient,
        state: service_state.ServiceState,
        writer: progress_writer.ProgressWriter,
        heartbeat: heartbeat_lib.Heartbeat,
        token: int,
        lease: datetime.timedelta,
        clock: clock_lib.Clock,
        on_change: Callable[[], None],
        fetch_jobs: Callable[[frozenset[str]], Awaitable[None]],
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._metrics = metrics
        self._fetch_jobs = fetch_jobs
        self._worker = worker
        self._client = client
        self._state = state
        self._writer = writer
        self._heartbeat = heartbeat
        self._token = token
        self._lease = lease
        self._clock = clock
        self._on_change = on_change
        self._worker_clock_ms = 0
        self._worker_clock_read_s: float | None = None
        # Monotonic time after which all leases that were sent to the worker
        # have expired, so that none of its runs can still be active.
        self._leases_expire_s = 0.0
        self._acknowledged_end = 0
        self._wake = anyio.Event()
        self._command_sender, self._command_receiver = (
            anyio.create_memory_object_stream[Command](math.inf)
        )
        self.incarnation_start_unix_ms = worker.instance.started_unix_ms
        self.has_reported = False

    @property
    def worker(self) -> workers_lib.Worker:
        """State of the worker that this session talks to."""
        return self._worker

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
                # Resets the share, so that a later report sends it again.
                run.share_percent = 100
            case _:
                self._command_sender.send_nowait(command)
        self._wake.set()

    async def run(self) -> None:
        """Runs the session's tasks until cancelled."""
        restart = policies.RestartWithBackoff()
        try:
            async with anyio.create_task_group() as group:
                tree = supervisor_lib.Supervisor(
                    f"worker {self._worker.worker_id}",
                    self._clock,
                    self._writer.random,
                    (
                        supervisor_lib.Child(
                            "reports", self._follow_reports, restart
                        ),
                        *(
                            supervisor_lib.Child(
                                f"orders-{number}", self._send_orders, restart
                            )
                            for number in range(_MAX_CONCURRENT_ORDERS)
                        ),
                    ),
                )
                group.start_soon(tree.run)
        finally:
            with anyio.CancelScope(shield=True):
                await self._client.close()

    async def _follow_reports(self) -> None:
        while True:
            requested_s = self._now_s()
            try:
                report = await self._request_report()
            except errors.PlatformError as error:
                self._mark_unreachable(str(error))
                await self._clock.sleep(_RETRY_DELAY)
                continue
            match report:
                case orders.WorkerReport():
                    await self._apply_report(report, requested_s)
                case orders.IncarnationMismatch():
                    self._handle_new_incarnation(
                        "another incarnation answered", requested_s
                    )
                    self.expire_runs()
                    await self._clock.sleep(_RETRY_DELAY)
                case orders.Refused(reason=reason):
                    self._mark_unreachable(f"renewal refused: {reason}")
                    self._writer.check_tenure()
                    await self._clock.sleep(_RETRY_DELAY)
                case _:
                    self._mark_unreachable(
                        "the worker answered that it is unhealthy"
                    )
                    await self._clock.sleep(_RETRY_DELAY)

    async def _request_report(
        self,
    ) -> orders.WorkerReport | orders.OrderOutcome:
        is_first = self._worker_clock_read_s is None
        is_unreachable = not self._worker.is_reachable
        is_idle = not self._worker.runs
        wait = _REPORT_WAIT
        if is_first or is_idle or is_unreachable:
            wait = datetime.timedelta()
        lease_until = None
        # A worker that doesn't answer may still receive renewals. Its leases
        # are not extended, so that they expire by a known time.
        if not is_first and not is_unreachable and self._may_renew():
            lease_until = self._compute_lease_end()
            self._extend_lease_expiry()
        # A worker may restart under the same id and number its ends from 1
        # again. The former incarnation's number would make it discard ends that
        # no owner has stored.
        acknowledged_end = 0 if is_unreachable else self._acknowledged_end
        return await self._client.renew(
            orders.RenewOrder(self._token, acknowledged_end, lease_until, wait)
        )

    async def _apply_report(
        self, report: orders.WorkerReport, requested_s: float
    ) -> None:
        unknown = self._state.find_unknown_jobs(report)
        if unknown:
            try:
                await self._fetch_jobs(unknown)
            except errors.PlatformError as error:
                # The report is dropped as a whole; the next request returns
                # the same ends.
                logs.log_event(
                    "worker.report_deferred",
                    worker=self._worker.worker_id,
                    jobs=sorted(unknown),
                    error=str(error),
                )
                await self._clock.sleep(_RETRY_DELAY)
                return
        now_s = self._now_s()
        if (
            self.incarnation_start_unix_ms
            and report.started_unix_ms
            and report.started_unix_ms != self.incarnation_start_unix_ms
        ):
            self._handle_new_incarnation(
                "the worker has restarted", requested_s
            )
        self.incarnation_start_unix_ms = (
            report.started_unix_ms or self.incarnation_start_unix_ms
        )
        is_first = self._worker_clock_read_s is None
        if is_first:
            # An earlier owner may have renewed the leases until this owner's
            # first request.
            self._extend_lease_expiry()
        self._worker_clock_ms = report.clock_ms
        self._worker_clock_read_s = now_s
        if not self._worker.is_reachable:
            self._worker.is_reachable = True
            logs.log_event(
                "worker.reached",
                worker=self._worker.worker_id,
                runs=len(report.running),
                ends=len(report.ended),
            )
        last_end = self._state.apply_report(
            self._worker.worker_id, report, requested_s, now_s
        )
        for throttle in throttling.choose_throttles(self._worker):
            throttle.run.share_percent = throttle.percent
            self.enqueue(ThrottleCommand(throttle.run, throttle.percent))
        self.has_reported = True
        self._on_change()
        if last_end > self._acknowledged_end:
            self._log_ends(report)
            changed = frozenset(
                end.unit.partition(".")[0] for end in report.ended
            )
            if await self._writer.wait_until_stored(changed, _STORE_TIMEOUT):
                self._acknowledged_end = last_end
            await self._clock.sleep(_REPORT_PAUSE)
        elif not is_first and not self._worker.runs:
            await self._sleep_idle()

    async def _sleep_idle(self) -> None:
        self._wake = anyio.Event()
        if self._worker.runs:
            return
        with anyio.move_on_after(_IDLE_INTERVAL.total_seconds()):
            await self._wake.wait()

    async def _send_orders(self) -> None:
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
        if self._worker_clock_read_s is None or not self._heartbeat.is_valid:
            self._state.refuse_start(run, orders.Refusal.NO_ROOM, self._now_s())
            return
        unit = run.unit
        order = orders.StartOrder(
            unit.name,
            run.number,
            unit.step.job.submission.request.specification,
            self._compute_lease_end(),
            self._token,
            unit.checkpoint,
            unit.step.tickets.get(self._worker.worker_id, ""),
        )
        self._extend_lease_expiry()
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
            case None:
                self._log_refusal(run, "no answer")
                self._state.mark_start_unknown(run)
        self._on_change()

    async def _send_start(
        self, run: jobs_lib.Run, order: orders.StartOrder
    ) -> orders.OrderOutcome | None:
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
        try:
            await self._client.throttle(order)
        except errors.PlatformError as error:
            # Resets the share, so that the next report sends a throttle again.
            run.share_percent = 100
            logs.log_event(
                "worker.pace_failed",
                worker=self._worker.worker_id,
                unit=run.unit.name,
                error=str(error),
            )

    def _has_run(self, unit: str, number: int) -> bool:
        return (unit, number) in self._worker.runs

    def _may_renew(self) -> bool:
        return self._heartbeat.measure_lapse() < RENEWAL_GRACE

    def _compute_lease_end(self) -> int:
        """Returns the end of a lease granted now, on the worker's clock."""
        assert self._worker_clock_read_s is not None
        elapsed_ms = (self._now_s() - self._worker_clock_read_s) * 1000
        lease_ms = self._lease.total_seconds() * 1000
        return math.floor(self._worker_clock_ms + elapsed_ms + lease_ms)

    def _extend_lease_expiry(self) -> None:
        # The margin covers an order that arrives late, and the time that the
        # last report was on its way, by which the worker's clock may be ahead
        # of the estimate.
        span = self._lease.total_seconds() * (1 + CLOCK_DRIFT)
        self._leases_expire_s = max(
            self._leases_expire_s, self._now_s() + span + _LEASE_EXPIRY_MARGIN_S
        )

    def _mark_unreachable(self, reason: str) -> None:
        if self._worker.is_reachable:
            self._worker.is_reachable = False
            logs.log_event(
                "worker.lost",
                worker=self._worker.worker_id,
                reason=reason,
                runs=len(self._worker.runs),
            )
        self.expire_runs()

    def expire_runs(self) -> None:
        """Drops an unreachable worker's runs once its leases have expired."""
        if not self._worker.runs or self._worker.is_reachable:
            return
        if self._now_s() > self._leases_expire_s:
            dropped = self._state.drop_worker_runs(self._worker.worker_id)
            logs.log_event(
                "worker.leases_over",
                worker=self._worker.worker_id,
                runs=len(dropped),
                dropped=_describe_runs(dropped),
            )
            self._on_change()

    def _handle_new_incarnation(self, reason: str, requested_s: float) -> None:
        dropped = self._state.end_incarnation(
            self._worker.worker_id, requested_s
        )
        self._acknowledged_end = 0
        self._worker.is_reachable = False
        logs.log_event(
            "worker.restarted",
            worker=self._worker.worker_id,
            reason=reason,
            runs=len(dropped),
            dropped=_describe_runs(dropped),
        )
        self._on_change()

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

    def _log_ends(self, report: orders.WorkerReport) -> None:
        for end in report.ended:
            if end.number > self._acknowledged_end:
                self._metrics.count(f"node.runs.ended.{end.kind}")
        logs.log_event(
            "run.ended",
            worker=self._worker.worker_id,
            ends=[
                f"{end.unit}#{end.run}:{end.kind}"
                for end in report.ended
                if end.number > self._acknowledged_end
            ],
        )

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()


def _describe_runs(
    runs: tuple[service_state.DroppedRun, ...],
) -> list[str]:
    return [
        f"{item.run.unit.name}#{item.run.number}:{item.phase.name.lower()}"
        for item in runs
    ]
