"""Renews one worker's leases, applies its reports and sends it orders."""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.node import answer_times
from fireflywell.node import assigned_workers
from fireflywell.node import end_numbers
from fireflywell.node import first_report
from fireflywell.node import order_sender
from fireflywell.node import ownership_guard
from fireflywell.node import progress_writer
from fireflywell.node import report_schedule
from fireflywell.node import worker_connection
from fireflywell.node import worker_events
from fireflywell.node import worker_leases
from fireflywell.scheduling import orders
from fireflywell.scheduling import service_state
from fireflywell.scheduling import throttling
from fireflywell.scheduling import workers as workers_lib
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

# Pause after a report with ends, so that ends which follow within this time
# share the next report.
_REPORT_PAUSE = datetime.timedelta(milliseconds=25)

# Interval of report requests to a worker without runs, which only check that
# it is reachable.
_IDLE_INTERVAL = datetime.timedelta(seconds=2)

_RETRY_DELAY = datetime.timedelta(milliseconds=150)

# Least time after which the end of the leases is looked at again.
_EXPIRY_STEP = datetime.timedelta(milliseconds=2)

# Starts that are sent to one worker at the same time.
_MAX_CONCURRENT_STARTS = 6

# Stops and throttles that are sent to one worker at the same time.
_MAX_CONCURRENT_OTHER_ORDERS = 2

# Report requests that are on their way at the same time: several for the first
# report.
_MAX_CONCURRENT_REPORTS = first_report.MOST_REQUESTS

# With a connection for each of them, no order waits for one after the last look
# at whether it may be sent.
MAX_CONCURRENT_CALLS = (
    _MAX_CONCURRENT_STARTS
    + _MAX_CONCURRENT_OTHER_ORDERS
    + _MAX_CONCURRENT_REPORTS
)

# How long to wait until the ends of a report are stored. Until they are stored
# and acknowledged, each report would list the same ends again.
_STORE_TIMEOUT = datetime.timedelta(milliseconds=250)


class WorkerSession:
    """Renews leases, collects reports and sends orders for one worker."""

    __slots__ = (
        "_state",
        "_client",
        "_clock",
        "_fetch_jobs",
        "_guard",
        "_leases",
        "_metrics",
        "_acknowledged_end",
        "_assigned_workers",
        "_end_numbers",
        "_had_new_token",
        "_has_ended",
        "_has_successor",
        "_is_reporting",
        "_lost",
        "_on_change",
        "_order_sender",
        "_report_schedule",
        "_received_end",
        "_wake",
        "_worker",
        "_writer",
        "incarnation_start_unix_ms",
        "has_reported",
        "lost_since_s",
    )

    def __init__(
        self,
        worker: workers_lib.Worker,
        client: orders.WorkerClient,
        state: service_state.ServiceState,
        writer: progress_writer.ProgressWriter,
        guard: ownership_guard.OwnershipGuard,
        leases: worker_leases.WorkerLeases,
        clock: clock_lib.Clock,
        on_change: Callable[[], None],
        fetch_jobs: Callable[[frozenset[str]], Awaitable[None]],
        metrics: metrics_lib.Metrics,
        assigned: assigned_workers.AssignedWorkers,
        has_successor: Callable[[workers_lib.WorkerInstance], bool],
    ) -> None:
        self._metrics = metrics
        self._assigned_workers = assigned
        self._has_successor = has_successor
        self._fetch_jobs = fetch_jobs
        self._worker = worker
        self._client = worker_connection.WorkerConnection(client)
        self._state = state
        self._writer = writer
        self._guard = guard
        self._clock = clock
        self._on_change = on_change
        self._leases = leases
        self._acknowledged_end = 0
        # Highest acknowledged number that the worker has received.
        self._received_end = 0
        # Whether the last report request was answered with a report.
        self._is_reporting = False
        # Whether the token had risen with the last report.
        self._had_new_token = False
        self._end_numbers = end_numbers.EndNumbers(worker.worker_id)
        times = answer_times.AnswerTimes(clock)
        self._report_schedule = report_schedule.ReportSchedule(clock, times)
        self._wake = anyio.Event()
        # Set when the worker doesn't answer.
        self._lost = anyio.Event()
        self._order_sender = order_sender.OrderSender(
            worker,
            self._client,
            state,
            writer,
            guard,
            leases,
            times,
            clock,
            on_change,
            metrics,
        )
        self.incarnation_start_unix_ms = worker.instance.started_unix_ms
        # Whether another incarnation answers the calls, which is logged once.
        self._has_ended = False
        self.has_reported = False
        # Monotonic time of the first call without a report since the last one.
        self.lost_since_s: float | None = None

    @property
    def worker(self) -> workers_lib.Worker:
        """State of the worker that this session talks to."""
        return self._worker

    @property
    def remaining_lease(self) -> datetime.timedelta:
        """Time until the leases that this owner granted are over."""
        return self._leases.remaining

    def enqueue(self, command: order_sender.Command) -> None:
        """Queues an order; see `OrderSender.enqueue`."""
        self._order_sender.enqueue(command)
        self._wake.set()

    def request_report(self) -> None:
        """Ends the pause before the next report of a worker without runs."""
        self._wake.set()

    def move(
        self,
        instance: workers_lib.WorkerInstance,
        client: orders.WorkerClient,
    ) -> None:
        """Goes on with a worker whose entry names another address or VM.

        Its runs, leases and orders in progress belong to its id, which each
        order names. It is used again once it has reported, which also tells
        whether it has restarted; otherwise its runs end with their leases.

        Args:
            instance: The changed entry.
            client: Client for the new address.
        """
        former = self._worker.instance
        worker_events.log_moved(
            former, instance, len(self._worker.runs), self._leases.remaining
        )
        self._worker.replace_instance(instance)
        self._client.replace_client(client)
        # The first request at an address may be sent several times at once.
        self._is_reporting = False
        self._mark_unreachable("its entry names another address or VM")
        self._wake.set()

    def give_up(self, reason: str) -> None:
        """Counts the worker as lost, before the session is cancelled.

        Its runs end with their leases, see `expire_runs`.
        """
        self._mark_unreachable(reason)

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
                        supervisor_lib.Child(
                            "leases", self._follow_leases, restart
                        ),
                        *(
                            supervisor_lib.Child(
                                f"starts-{number}",
                                self._order_sender.run_starts,
                                restart,
                            )
                            for number in range(_MAX_CONCURRENT_STARTS)
                        ),
                        *(
                            supervisor_lib.Child(
                                f"orders-{number}",
                                self._order_sender.run_other_orders,
                                restart,
                            )
                            for number in range(_MAX_CONCURRENT_OTHER_ORDERS)
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
            token = self._state.order_tokens.find(self._worker.worker_id)
            try:
                report = await self._request_report(token)
            except errors.PlatformError as error:
                self._handle_unanswered_report(requested_s, str(error))
                await self._clock.sleep(_RETRY_DELAY)
                continue
            match report:
                case orders.WorkerReport():
                    await self._apply_report(report, requested_s, token)
                case orders.IncarnationMismatch():
                    self._handle_mismatch(requested_s)
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
        self, token: int
    ) -> orders.WorkerReport | orders.OrderOutcome:
        is_first = not self._leases.has_clock
        is_idle = not self._worker.runs
        is_answering = (
            self._worker.is_reachable
            and self._report_schedule.is_answering(
                self._order_sender.answered_s
            )
        )
        timing = self._report_schedule.choose_timing(
            # The first report with a new token decides about open starts.
            is_idle
            or is_first
            or self._had_new_token
            or not self._worker.is_reachable
        )
        lease_until = None
        # A worker that doesn't answer may still receive renewals. Its leases
        # are not extended, so that they expire by a known time.
        if not is_first and is_answering and self._may_renew():
            lease_until = self._leases.grant()
        # A worker may restart under the same id, also between two calls, and
        # number its ends from 1 again. The former incarnation's number would
        # make it discard ends that no owner has stored. So each number is sent
        # until the worker has received it and not again, and only right after
        # a report: a request without an answer may be due to a restart.
        acknowledged_end = 0
        if self._is_reporting and self._acknowledged_end > self._received_end:
            acknowledged_end = self._acknowledged_end
        requested_s = self._now_s()
        self._is_reporting = False
        answer = await self._client.renew(
            orders.RenewOrder(
                token,
                acknowledged_end,
                lease_until,
                timing.wait,
                timing.timeout,
            )
        )
        self._report_schedule.record_answer(requested_s, timing.wait)
        if isinstance(answer, orders.WorkerReport):
            self._received_end = max(self._received_end, acknowledged_end)
            self._is_reporting = True
        return answer

    async def _apply_report(
        self, report: orders.WorkerReport, requested_s: float, token: int
    ) -> None:
        if not await self._fetch_unknown_jobs(report):
            return
        now_s = self._now_s()
        self._has_ended = False
        self.lost_since_s = None
        is_first = not self._leases.has_clock
        has_new_token = self._observe_incarnation(report, requested_s)
        self._end_numbers.check(report.ended)
        if is_first:
            # An earlier owner may have renewed the leases until this owner's
            # first request.
            self._leases.extend()
        self._leases.record_clock(report.clock_ms)
        last_end = self._state.apply_report(
            self._worker.worker_id, report, requested_s, now_s, token
        )
        worker_events.log_late_starts(self._state.late_starts.take())
        for throttle in throttling.choose_throttles(self._worker):
            throttle.run.share_percent = throttle.percent
            self.enqueue(
                order_sender.ThrottleCommand(throttle.run, throttle.percent)
            )
        # Recovered units start once the workers have reported all their ends.
        self.has_reported = self.has_reported or report.has_all_ends
        self._on_change()
        if not await self._reach_worker(report):
            return
        if last_end > self._acknowledged_end:
            await self._store_ends(report, last_end)
        elif not (is_first or has_new_token or self._worker.runs):
            # A new incarnation is told the higher token at once, so that it
            # refuses late orders to the former one.
            await self._sleep_idle()

    async def _fetch_unknown_jobs(self, report: orders.WorkerReport) -> bool:
        """Reads the jobs of a report that the state doesn't hold.

        Returns:
            Whether the report can be applied. Otherwise it is dropped as a
            whole; the next request returns the same ends.
        """
        unknown = self._state.find_unknown_jobs(report)
        if not unknown:
            return True
        try:
            await self._fetch_jobs(unknown)
        except errors.PlatformError as error:
            logs.log_event(
                "worker.report_deferred",
                worker=self._worker.worker_id,
                jobs=sorted(unknown),
                error=str(error),
            )
            await self._clock.sleep(_RETRY_DELAY)
            return False
        return True

    def _observe_incarnation(
        self, report: orders.WorkerReport, requested_s: float
    ) -> bool:
        """Ends the former incarnation if another one has reported.

        Returns:
            Whether the token in orders to the worker has risen.
        """
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
        has_new_token = self._state.order_tokens.observe(
            self._worker.worker_id, report.started_unix_ms
        )
        if has_new_token:
            self._end_numbers.begin_incarnation()
        # Orders to the former incarnation, which name a time on its clock, may
        # be carried out until the new one has received a higher token.
        if has_new_token or self._had_new_token:
            self._leases.extend_to_longest()
        self._had_new_token = has_new_token
        return has_new_token

    async def _store_ends(
        self, report: orders.WorkerReport, last_end: int
    ) -> None:
        """Waits until the ends of a report are stored, to acknowledge them.

        An acknowledgement covers all ends up to a number, so it stops before
        the first end that isn't stored.
        """
        self._log_ends(report)
        changed = frozenset(end.unit.partition(".")[0] for end in report.ended)
        missing = await self._writer.wait_until_stored(changed, _STORE_TIMEOUT)
        unstored = (
            end.number
            for end in report.ended
            if end.unit.partition(".")[0] in missing
        )
        stored_end = min(unstored, default=last_end + 1) - 1
        self._acknowledged_end = max(self._acknowledged_end, stored_end)
        await self._clock.sleep(_REPORT_PAUSE)

    async def _reach_worker(self, report: orders.WorkerReport) -> bool:
        """Makes a worker that has reported usable, unless it is.

        Returns:
            Whether it is usable. Otherwise it is asked for another report.
        """
        if self._worker.is_reachable:
            return True
        # A successor has to wait for this worker before it gets a lease.
        if not await self._assigned_workers.acquire(
            self._worker.instance,
            self.incarnation_start_unix_ms,
            assigned_workers.ACQUIRE_TIMEOUT,
        ):
            return False
        if self.lost_since_s is not None:
            # It has moved meanwhile; only a later report shows it there.
            return False
        self._worker.is_reachable = True
        worker_events.log_reached(self._worker.worker_id, report)
        self._on_change()
        return True

    async def _sleep_idle(self) -> None:
        self._wake = anyio.Event()
        if self._worker.runs:
            return
        with anyio.move_on_after(_IDLE_INTERVAL.total_seconds()):
            await self._wake.wait()

    def _may_renew(self) -> bool:
        return self._guard.permits_renewals(worker_leases.RENEWAL_GRACE)

    def _handle_unanswered_report(
        self, requested_s: float, reason: str
    ) -> None:
        is_silent = self._report_schedule.record_loss(
            requested_s, self._order_sender.answered_s
        )
        if is_silent or not self._worker.is_reachable:
            self._mark_unreachable(reason)

    def _mark_unreachable(self, reason: str) -> None:
        if self.lost_since_s is None:
            self.lost_since_s = self._now_s()
        if self._worker.is_reachable:
            self._worker.is_reachable = False
            logs.log_event(
                "worker.lost",
                worker=self._worker.worker_id,
                reason=reason,
                runs=len(self._worker.runs),
            )
        self.expire_runs()
        self._lost.set()

    async def _follow_leases(self) -> None:
        """Drops a lost worker's runs as soon as its leases are over."""
        while True:
            if self._worker.is_reachable or not self._worker.runs:
                self._lost = anyio.Event()
                await self._lost.wait()
                continue
            await self._clock.sleep(max(self._leases.remaining, _EXPIRY_STEP))
            self.expire_runs()

    def expire_runs(self) -> None:
        """Drops an unreachable worker's runs once its leases have expired."""
        if not self._worker.runs or self._worker.is_reachable:
            return
        if self._leases.are_expired:
            dropped = self._state.drop_worker_runs(self._worker.worker_id)
            worker_events.log_leases_over(self._worker.worker_id, dropped)
            self._on_change()

    def _handle_mismatch(self, requested_s: float) -> None:
        """Ends a worker in whose place another one answers on its VM.

        An address may also go to a worker of another VM while this one is cut
        off and works on. Then its runs end with their leases.
        """
        if not self._has_successor(self._worker.instance):
            self._mark_unreachable("another worker answers at its address")
            return
        if self.lost_since_s is None:
            self.lost_since_s = self._now_s()
        # Orders that name this incarnation are never carried out any more.
        self.has_reported = True
        self._handle_new_incarnation(
            "another worker answers on its VM", requested_s
        )
        self._has_ended = True
        self.expire_runs()

    def _handle_new_incarnation(self, reason: str, requested_s: float) -> None:
        dropped = self._state.end_incarnation(
            self._worker.worker_id, requested_s
        )
        self._acknowledged_end = 0
        self._received_end = 0
        self._worker.is_reachable = False
        if self._has_ended and not dropped:
            return
        worker_events.log_restarted(self._worker.instance, reason, dropped)
        self._on_change()

    def _log_ends(self, report: orders.WorkerReport) -> None:
        new = [
            end for end in report.ended if end.number > self._acknowledged_end
        ]
        for end in new:
            self._metrics.count(f"node.runs.ended.{end.kind}")
        worker_events.log_ends(self._worker.worker_id, new)

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()
