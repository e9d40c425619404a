"""Tasks that talk to one worker: lease renewal, reports and orders."""

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

# How long a report waits for an end; also the pace of reports on load.
_REPORT_WAIT = datetime.timedelta(milliseconds=900)

# Ends that follow each other within this time come in one report.
_REPORT_PAUSE = datetime.timedelta(milliseconds=25)

# Without runs, a worker is only asked now and then whether it is there.
_IDLE_INTERVAL = datetime.timedelta(seconds=2)

_RETRY_DELAY = datetime.timedelta(milliseconds=150)

# Ends are listed again until they are noted in the store; asking sooner
# would return the same ones.
_NOTE_TIMEOUT = datetime.timedelta(milliseconds=250)

# Orders that one worker gets at the same time.
_SENDERS = 4
_ORDER_QUEUE = 512

# A start without an answer is sent again to the same worker, which carries
# out a run once only.
_START_ATTEMPTS = 2

# A worker's clock may be this much slower than the node's.
CLOCK_DRIFT = 0.02
_LAPSE_MARGIN_S = 0.3

# Runs get leases of at most this length: long enough for a successor to take
# over, short enough to give up the runs of a worker that is out of reach.
LONGEST_LEASE = datetime.timedelta(seconds=6)

# After its node's lease is over, an owner keeps units alive for this long but
# starts none. A successor counts on this bound.
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
    """A filling run's new share."""

    run: jobs_lib.Run
    percent: int


Command = StartCommand | StopCommand | ThrottleCommand


class WorkerSession:
    """Talks to one incarnation of a worker on behalf of its service's owner."""

    __slots__ = (
        "_state",
        "_client",
        "_clock",
        "_clock_ms",
        "_clock_read_s",
        "_commands",
        "_fetch_jobs",
        "_heartbeat",
        "_lapse_s",
        "_lease",
        "_metrics",
        "_noted",
        "_on_change",
        "_received",
        "_token",
        "_wake",
        "_worker",
        "_writer",
        "born_unix_ms",
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
        self._clock_ms = 0
        self._clock_read_s: float | None = None
        # Monotonic time after which no run can be left if the worker stays
        # out of reach.
        self._lapse_s = 0.0
        self._noted = 0
        self._wake = anyio.Event()
        self._commands, self._received = anyio.create_memory_object_stream[
            Command
        ](_ORDER_QUEUE)
        self.born_unix_ms = worker.instance.started_unix_ms
        self.has_reported = False

    @property
    def worker(self) -> workers_lib.Worker:
        """The worker."""
        return self._worker

    def enqueue(self, command: Command) -> None:
        """Queues an order."""
        try:
            self._commands.send_nowait(command)
        except anyio.WouldBlock:
            if isinstance(command, StartCommand):
                self._state.refuse_start(
                    command.run, orders.Refusal.NO_ROOM, self._now_s()
                )
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
                            for number in range(_SENDERS)
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
                report = await self._ask_for_report()
            except errors.PlatformError as error:
                self._note_unreachable(str(error))
                await self._clock.sleep(_RETRY_DELAY)
                continue
            match report:
                case orders.WorkerReport():
                    await self._take_report(report, requested_s)
                case orders.IncarnationMismatch():
                    self._note_incarnation_mismatch("another life answered")
                    await self._clock.sleep(_RETRY_DELAY)
                case orders.Refused(reason=reason):
                    self._note_unreachable(f"renewal refused: {reason}")
                    self._writer.check_tenure()
                    await self._clock.sleep(_RETRY_DELAY)
                case _:
                    self._note_unreachable("the worker is unhealthy")
                    await self._clock.sleep(_RETRY_DELAY)

    async def _ask_for_report(
        self,
    ) -> orders.WorkerReport | orders.OrderOutcome:
        is_first = self._clock_read_s is None
        is_out_of_reach = not self._worker.is_reachable
        is_idle = not self._worker.runs
        wait = _REPORT_WAIT
        if is_first or is_idle or is_out_of_reach:
            wait = datetime.timedelta()
        lease_until = None
        # Leases of a worker that doesn't answer must be over at a known time,
        # even if it receives what it is sent.
        if not is_first and not is_out_of_reach and self._may_renew():
            lease_until = self._compute_lease_end()
            self._extend_lapse()
        # A worker may come back under its id with ends that are numbered from
        # 1 again; it must not forget those that nobody has noted.
        noted = 0 if is_out_of_reach else self._noted
        return await self._client.renew(
            orders.RenewOrder(self._token, noted, lease_until, wait)
        )

    async def _take_report(
        self, report: orders.WorkerReport, requested_s: float
    ) -> None:
        unknown = self._state.find_unknown_jobs(report)
        if unknown:
            try:
                await self._fetch_jobs(unknown)
            except errors.PlatformError as error:
                # Nothing of the report is used; it is asked for again.
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
            self.born_unix_ms
            and report.started_unix_ms
            and report.started_unix_ms != self.born_unix_ms
        ):
            self._note_incarnation_mismatch("the worker has restarted")
        self.born_unix_ms = report.started_unix_ms or self.born_unix_ms
        is_first = self._clock_read_s is None
        self._clock_ms = report.clock_ms
        self._clock_read_s = now_s
        if not self._worker.is_reachable:
            self._worker.is_reachable = True
            logs.log_event(
                "worker.reached",
                worker=self._worker.worker_id,
                runs=len(report.running),
                ends=len(report.ended),
            )
        last = self._state.apply_report(
            self._worker.worker_id, report, requested_s, now_s
        )
        for throttle in throttling.choose_throttles(self._worker):
            throttle.run.share_percent = throttle.percent
            self.enqueue(ThrottleCommand(throttle.run, throttle.percent))
        self.has_reported = True
        self._on_change()
        if last > self._noted:
            self._log_ends(report)
            changed = frozenset(
                end.unit.partition(".")[0] for end in report.ended
            )
            if await self._writer.wait_until_stored(changed, _NOTE_TIMEOUT):
                self._noted = last
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
        async for command in self._received:
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
        if self._clock_read_s is None or not self._heartbeat.is_valid:
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
        self._extend_lapse()
        outcome = await self._send_start(order)
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
                self._log_refusal(run, "other life")
                self._state.refuse_start(run, None, now_s)
            case None:
                self._log_refusal(run, "no answer")
                self._state.mark_start_unknown(run)
        self._on_change()

    async def _send_start(
        self, order: orders.StartOrder
    ) -> orders.OrderOutcome | None:
        is_maybe_sent = False
        for _ in range(_START_ATTEMPTS):
            try:
                return await self._client.start(order)
            except errors.PlatformUnavailableError:
                await self._clock.sleep(_RETRY_DELAY)
            except errors.AnswerLostError:
                is_maybe_sent = True
        if is_maybe_sent:
            return None
        return orders.Unhealthy()

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
            # The next report finds the pressure unchanged and asks again.
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
        """Returns the end of the longest lease, on the worker's clock."""
        assert self._clock_read_s is not None
        elapsed_ms = (self._now_s() - self._clock_read_s) * 1000
        lease_ms = self._lease.total_seconds() * 1000
        return math.floor(self._clock_ms + elapsed_ms + lease_ms)

    def _extend_lapse(self) -> None:
        # The order may arrive late; the worker's clock may also be ahead of
        # the estimate by the time that the last report was on its way.
        span = self._lease.total_seconds() * (1 + CLOCK_DRIFT)
        self._lapse_s = max(
            self._lapse_s, self._now_s() + span + _LAPSE_MARGIN_S
        )

    def _note_unreachable(self, reason: str) -> None:
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
        """Gives up the runs of a worker whose leases are over."""
        if not self._worker.runs or self._worker.is_reachable:
            return
        if self._now_s() > self._lapse_s:
            count = self._state.drop_worker_runs(self._worker.worker_id)
            logs.log_event(
                "worker.leases_over",
                worker=self._worker.worker_id,
                runs=count,
            )
            self._on_change()

    def _note_incarnation_mismatch(self, reason: str) -> None:
        count = self._state.drop_worker_runs(self._worker.worker_id)
        self._noted = 0
        self._worker.is_reachable = False
        logs.log_event(
            "worker.restarted",
            worker=self._worker.worker_id,
            reason=reason,
            runs=count,
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
        )

    def _log_ends(self, report: orders.WorkerReport) -> None:
        for end in report.ended:
            if end.number > self._noted:
                self._metrics.count(f"node.runs.ended.{end.kind}")
        logs.log_event(
            "run.ended",
            worker=self._worker.worker_id,
            ends=[
                f"{end.unit}#{end.run}:{end.kind}"
                for end in report.ended
                if end.number > self._noted
            ],
        )

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()
