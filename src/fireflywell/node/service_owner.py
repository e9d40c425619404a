"""Schedules one service's jobs on its workers while this node owns it."""

from collections.abc import Callable
import datetime
import functools
import random

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import advice_line
from fireflywell.node import advice_requester
from fireflywell.node import assigned_workers
from fireflywell.node import cancellation_sweeper
from fireflywell.node import drain_marks
from fireflywell.node import first_report
from fireflywell.node import fleet_cache
from fireflywell.node import heartbeat as heartbeat_lib
from fireflywell.node import instance_registry
from fireflywell.node import job_loader
from fireflywell.node import order_sender
from fireflywell.node import ownership
from fireflywell.node import ownership_guard
from fireflywell.node import progress_writer
from fireflywell.node import relocation_sweeper
from fireflywell.node import settings as node_settings
from fireflywell.node import table_follower
from fireflywell.node import tables
from fireflywell.node import wait_reporter
from fireflywell.node import worker_events
from fireflywell.node import worker_leases
from fireflywell.node import worker_session
from fireflywell.node import worker_sessions
from fireflywell.scheduling import capacity
from fireflywell.scheduling import cordons
from fireflywell.scheduling import evictions
from fireflywell.scheduling import maintenance
from fireflywell.scheduling import orders
from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import service_state
from fireflywell.scheduling import workers as workers_lib
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

# Delay after each planning pass; events that arrive meanwhile share the next
# pass.
_PLAN_DELAY = datetime.timedelta(milliseconds=6)

# A planning pass also runs at this interval without an event, because steps
# become due at times of day and workers' pauses end.
_PLAN_INTERVAL_S = 0.2

# How often it is checked whether ownership has to be confirmed after the node's
# lease has lapsed.
_CONFIRMATION_INTERVAL = datetime.timedelta(milliseconds=100)

_SYNC_INTERVAL_S = 0.25

# Without a changed drain request, the maintenance loop runs at this interval
# to check workers' loads and drained workers.
_MAINTENANCE_INTERVAL_S = 0.15

_RETRY_DELAY = datetime.timedelta(milliseconds=200)

# Added to the longest lease that an earlier owner can have granted.
_ORPHAN_MARGIN = datetime.timedelta(milliseconds=500)

MakeClient = Callable[[workers_lib.WorkerInstance], orders.WorkerClient]


class ServiceOwner:
    """Loads, schedules and stores one service's jobs during one tenure."""

    __slots__ = (
        "_advice",
        "_cancellations",
        "_state",
        "_clock",
        "_guard",
        "_heartbeat",
        "_is_stopped",
        "_loader",
        "_make_client",
        "_demand_estimator",
        "_metrics",
        "_need",
        "_need_version",
        "_plan_wake",
        "_random",
        "_registry",
        "_relocations",
        "_assigned_workers",
        "_scope",
        "_sessions",
        "_settings",
        "_store",
        "_sync_wake",
        "_tenure",
        "_tree",
        "_fleet_cache",
        "_maintenance_wake",
        "_wait_reporter",
        "_writer",
    )

    def __init__(
        self,
        tenure: ownership.Tenure,
        settings: node_settings.NodeSettings,
        store: row_store.RowStore,
        clock: clock_lib.Clock,
        rng: random.Random,
        heartbeat: heartbeat_lib.Heartbeat,
        registry: instance_registry.InstanceRegistry,
        make_client: MakeClient,
        cache: fleet_cache.FleetCache,
        metrics: metrics_lib.Metrics,
        advice: advice_line.AdviceLine,
    ) -> None:
        self._metrics = metrics
        self._fleet_cache = cache
        self._maintenance_wake = anyio.Event()
        self._sync_wake = anyio.Event()
        self._tenure = tenure
        self._settings = settings
        self._store = store
        self._clock = clock
        self._random = rng
        self._heartbeat = heartbeat
        self._guard = ownership_guard.OwnershipGuard(
            tenure, store, heartbeat, clock
        )
        self._make_client = make_client
        self._is_stopped = False
        self._demand_estimator = capacity.DemandEstimator()
        # Number of wanted VMs that was stored last.
        self._need: int | None = None
        # Version of the row that holds it, as far as this owner knows.
        self._need_version = 0
        self._plan_wake = anyio.Event()
        self._scope = anyio.CancelScope()
        self._state = service_state.ServiceState(
            tenure.token, settings.bounds.stop.total_seconds()
        )
        self._writer = progress_writer.ProgressWriter(
            tenure,
            self._state,
            store,
            clock,
            rng,
            settings.bounds.status_retention,
            self.stop,
            settings.row_bytes,
        )
        self._assigned_workers = assigned_workers.AssignedWorkers(
            tenure, self._state, store, clock, self._wake_planner, self.stop
        )
        self._relocations = relocation_sweeper.RelocationSweeper(
            store, clock, settings.bounds.status_retention
        )
        self._cancellations = cancellation_sweeper.CancellationSweeper(
            store, clock
        )
        self._loader = job_loader.JobLoader(
            tenure,
            self._state,
            self._writer,
            store,
            clock,
            self._wake_planner,
            self._demand_estimator.record_arrival,
            self._relocations.add,
            self._cancellations.add,
        )
        self._advice = advice_requester.AdviceRequester(
            self._state, advice, clock, self._wake_planner, metrics
        )
        self._wait_reporter = wait_reporter.WaitReporter(
            tenure.service, self._state, metrics
        )
        self._tree = self._build_tree()
        self._registry = registry
        self._sessions = worker_sessions.WorkerSessions(
            tenure.service,
            self._state,
            registry,
            self._assigned_workers,
            clock,
            self._connect,
            self._make_session,
            self._tree.start_child,
            self._is_from_spare_pool,
            self._update_cordon,
        )

    @property
    def state(self) -> service_state.ServiceState:
        """The jobs and workers of the service."""
        return self._state

    @property
    def service(self) -> str:
        """Name of the service."""
        return self._tenure.service

    @property
    def _run_lease(self) -> datetime.timedelta:
        longest = self._settings.bounds.longest_run_lease
        return min(longest, worker_leases.LONGEST_LEASE)

    def stop(self) -> None:
        """Stops the owner's tasks; no further order is sent to a worker."""
        self._is_stopped = True
        self._scope.cancel()

    async def run(self) -> None:
        """Loads the service's state and runs it until stopped."""
        end_subscription = self._fleet_cache.subscribe(
            self._handle_fleet_change
        )
        try:
            with self._scope:
                await self._load()
                await self._tree.run_until_cancelled()
        finally:
            end_subscription()
            self._wait_reporter.close()
        logs.log_event(
            "ownership.ended", service=self.service, token=self._tenure.token
        )

    def _build_tree(self) -> supervisor_lib.Supervisor:
        restart = policies.RestartWithBackoff()
        follower = table_follower.TableFollower(
            self._store,
            self._clock,
            tables.name_jobs_table(self.service),
            lambda: (self.service,),
            self._loader.apply_snapshot,
            self._loader.apply_changes,
            on_confirmed=self._loader.mark_confirmed,
            find_needed_version=lambda: self._tenure.version,
            find_proven_time=self._heartbeat.find_proven_time,
        )
        children = (
            supervisor_lib.Child("jobs", follower.run, restart),
            supervisor_lib.Child("writer", self._writer.run, restart),
            supervisor_lib.Child(
                "waiting-counts",
                functools.partial(
                    self._writer.run_waiting_counts, self._loader.measure_age
                ),
                restart,
            ),
            supervisor_lib.Child("sweep", self._writer.run_sweep, restart),
            supervisor_lib.Child("relocations", self._relocations.run, restart),
            supervisor_lib.Child(
                "cancellations", self._cancellations.run, restart
            ),
            supervisor_lib.Child(
                "assigned-workers", self._assigned_workers.run, restart
            ),
            supervisor_lib.Child("workers", self._sync_workers, restart),
            supervisor_lib.Child("ownership", self._confirm_ownership, restart),
            supervisor_lib.Child("planner", self._run_planner, restart),
            supervisor_lib.Child("upkeep", self._run_maintenance, restart),
            supervisor_lib.Child("advice", self._advice.run, restart),
        )
        return supervisor_lib.Supervisor(
            f"service {self.service}", self._clock, self._random, children
        )

    async def _load(self) -> None:
        # After a handover, too: an owner before the last one may have been cut
        # off and have renewed leases until shortly after it was replaced.
        orphan_timeout = (
            self._run_lease * (1 + worker_leases.CLOCK_DRIFT)
            + worker_leases.RENEWAL_GRACE
            + _ORPHAN_MARGIN
        )
        while True:
            try:
                await self._assigned_workers.load(orphan_timeout)
                await self._loader.load_progress()
                await fleet_cache.read_rows(
                    self._store,
                    self._fleet_cache,
                    ownership.FLEET_SERVICE,
                    self._tenure.version,
                )
                return
            except errors.PlatformError as error:
                logs.log_event(
                    "ownership.load_failed",
                    service=self.service,
                    error=str(error),
                )
                await self._clock.sleep(_RETRY_DELAY)

    async def _sync_workers(self) -> None:
        """Starts and ends sessions so that each listed worker has one."""
        await self._loader.wait_until_loaded()
        while True:
            self._sessions.sync()
            with anyio.move_on_after(_SYNC_INTERVAL_S):
                await self._sync_wake.wait()
            self._sync_wake = anyio.Event()

    def _is_from_spare_pool(self, instance: workers_lib.WorkerInstance) -> bool:
        return instance.vm_id in self._fleet_cache.spare_pool_vms

    def _connect(
        self, instance: workers_lib.WorkerInstance
    ) -> orders.WorkerClient:
        return first_report.FirstReportClient(self._make_client(instance))

    def _make_session(
        self, worker: workers_lib.Worker
    ) -> worker_session.WorkerSession:
        return worker_session.WorkerSession(
            worker,
            self._connect(worker.instance),
            self._state,
            self._writer,
            self._guard,
            worker_leases.WorkerLeases(
                self._clock,
                self._run_lease,
                self._settings.bounds.longest_run_lease,
            ),
            self._clock,
            self._handle_session_change,
            self._loader.fetch_unknown,
            self._metrics,
            self._assigned_workers,
            self._registry.has_successor,
        )

    def _handle_session_change(self) -> None:
        # After the recovery, no report is missing. This runs after each order.
        if not self._state.is_recovery_complete:
            for worker_id, running in self._sessions.by_worker.items():
                if running.session.has_reported:
                    self._assigned_workers.mark_reported(worker_id)
        worker_events.log_job_starts(self._state.take_job_starts())
        self._writer.wake()
        self._wake_planner()

    def wake_sync(self) -> None:
        """Wakes the sync task, because the list of workers may have changed."""
        self._sync_wake.set()

    def _handle_fleet_change(self) -> None:
        # Nothing may be placed on a VM once its request is known to be ready.
        self._update_cordons()
        self._maintenance_wake.set()

    def _wake_planner(self) -> None:
        self._plan_wake.set()

    async def _confirm_ownership(self) -> None:
        """Stops the owner if another node has claimed the service.

        After this node's lease has lapsed and was renewed, nothing is started
        or renewed before a write has confirmed the ownership.
        """
        while True:
            try:
                if not await self._guard.confirm():
                    self.stop()
                    return
            except errors.PlatformError as error:
                logs.log_event(
                    "ownership.not_confirmed",
                    service=self.service,
                    error=str(error),
                )
            await self._clock.sleep(_CONFIRMATION_INTERVAL)

    async def _run_planner(self) -> None:
        while True:
            with anyio.move_on_after(_PLAN_INTERVAL_S):
                await self._plan_wake.wait()
            self._plan_wake = anyio.Event()
            self._enqueue_stops()
            due_work = self._state.queue_due_steps(
                self._read_unix_ms(), self._now_s()
            )
            if due_work:
                self._demand_estimator.record_arrival(self._now_s(), due_work)
            # The drain requests must be loaded first: a former owner may have
            # drained VMs on which nothing may start.
            is_planning = (
                self._guard.permits_orders and self._fleet_cache.is_loaded
            )
            if self._state.has_waiting_units and is_planning:
                self._plan()
            self._wait_reporter.report(
                self._now_s(),
                self._assigned_workers.unreported_workers,
                is_planning=is_planning,
            )
            self._writer.wake()
            await self._clock.sleep(_PLAN_DELAY)

    async def _run_maintenance(self) -> None:
        """Drains workers whose VMs are due for maintenance or a move."""
        while True:
            with anyio.move_on_after(_MAINTENANCE_INTERVAL_S):
                await self._maintenance_wake.wait()
            self._maintenance_wake = anyio.Event()
            await self._publish_need()
            requests = self._fleet_cache.list_drain_requests()
            self._mark_due_workers(requests)
            self._update_cordons()
            await self._reopen_requests()
            for worker in maintenance.choose_workers_to_drain(
                self._state, requests, self._store.now_s(), self._now_s()
            ):
                self._cordon(worker)
            # A former owner must not interrupt units, because the next one
            # may interrupt others of the same steps.
            if not self._guard.permits_orders:
                continue
            for running in tuple(self._sessions.by_worker.values()):
                if running.cordon is not None:
                    await self._drain_worker(running)

    async def _publish_need(self) -> None:
        """Stores how many spare-pool VMs the service needs."""
        if not self._heartbeat.is_valid or self._is_spare_pool_empty():
            return
        need = self._demand_estimator.compute_need(self._state, self._now_s())
        if need == self._need:
            return
        row_key = fleet_cache.locate_need(ownership.FLEET_SERVICE, self.service)
        # Without the condition, a write that the store applies late would
        # replace a newer need.
        try:
            result = await self._store.transact(
                row_store.Transaction(
                    (row_store.Condition(row_key, self._need_version),),
                    (row_store.Put(row_key, str(need).encode()),),
                )
            )
        except errors.PlatformError:
            return
        match result:
            case row_store.Conflict() as conflict:
                self._need_version = conflict.find_version(row_key)
                return
            case row_store.Committed(version=version):
                self._need_version = version
        logs.log_event(
            "capacity.need",
            service=self.service,
            need=need,
            previous=self._need,
            jobs=len(self._state.jobs),
        )
        self._need = need

    def _mark_due_workers(
        self, requests: tuple[maintenance.DrainRequest, ...]
    ) -> None:
        due = {
            request.vm_id
            for request in requests
            if request.phase is maintenance.DrainPhase.DUE
            and not request.target
        }
        for worker in self._state.workers.values():
            worker.is_due_for_maintenance = worker.instance.vm_id in due

    async def _reopen_requests(self) -> None:
        """Sets requests back to `DUE` if their VMs aren't empty.

        A former owner may have marked a VM as drained on which this owner has
        started runs; it is drained again.
        """
        for running in tuple(self._sessions.by_worker.values()):
            worker = running.session.worker
            request = self._fleet_cache.find(worker.instance.vm_id)
            if (
                request is not None
                and request.phase is maintenance.DrainPhase.READY
                and worker.is_reachable
                and worker.runs
            ):
                await self._store_request(drain_marks.reopen(request))

    def _is_spare_pool_empty(self) -> bool:
        return not self._fleet_cache.spare_pool_vms

    def _update_cordons(self) -> None:
        # A cache without rows doesn't show that the requests were closed.
        if self._fleet_cache.is_loaded:
            for running in self._sessions.by_worker.values():
                self._update_cordon(running)

    def _update_cordon(self, running: worker_sessions.RunningSession) -> None:
        """Cordons a worker as far as its VM's drain request requires it."""
        worker = running.session.worker
        request = self._fleet_cache.find(worker.instance.vm_id)
        cordon = cordons.update_cordon(
            running.cordon, request, worker.reported_s, self._now_s()
        )
        self._set_cordon(running, cordon)

    def _cordon(self, worker: workers_lib.Worker) -> None:
        """Cordons a worker whose request is due."""
        running = self._sessions.by_worker.get(worker.worker_id)
        request = self._fleet_cache.find(worker.instance.vm_id)
        if running is None or request is None:
            return
        self._set_cordon(running, cordons.make_cordon(request, self._now_s()))

    def _set_cordon(
        self,
        running: worker_sessions.RunningSession,
        cordon: cordons.Cordon | None,
    ) -> None:
        worker = running.session.worker
        was_cordoned = worker.is_cordoned
        running.cordon = cordon
        worker.is_cordoned = cordon is not None
        if worker.is_cordoned == was_cordoned:
            return
        if cordon is None:
            logs.log_event(
                "upkeep.released",
                worker=worker.worker_id,
                machine=worker.instance.vm_id,
            )
            self._wake_planner()
            return
        logs.log_event(
            "upkeep.reserved",
            worker=worker.worker_id,
            machine=worker.instance.vm_id,
            runs=len(worker.runs),
        )

    async def _drain_worker(
        self, running: worker_sessions.RunningSession
    ) -> None:
        assert running.cordon is not None
        worker = running.session.worker
        request = self._fleet_cache.find(worker.instance.vm_id)
        if request is None or not drain_marks.needs_mark(request, self._tenure):
            return
        waited_s = self._now_s() - running.cordon.since_s
        for run in evictions.choose_evictions(
            self._state,
            worker,
            waited_s,
            self._now_s(),
            is_move=bool(request.target),
        ):
            logs.log_event(
                "run.evicted",
                job=run.unit.step.job.job_id,
                unit=run.unit.name,
                worker=worker.worker_id,
                wave=request.wave,
            )
            self._state.stop_run(run)
        self._enqueue_stops()
        if worker.runs or not worker.is_reachable:
            return
        if worker.report_requested_s <= running.cordon.since_s:
            # Its VM may have left the service and run another worker by now.
            running.session.request_report()
            return
        await self._store_request(
            drain_marks.mark_drained(request, self._tenure)
        )

    async def _store_request(self, request: maintenance.DrainRequest) -> None:
        await fleet_cache.store_drain_request(
            self._store,
            self._fleet_cache,
            ownership.FLEET_SERVICE,
            request,
        )

    def _plan(self) -> None:
        started = self._clock.monotonic()
        runs = self._state.plan(started.total_seconds())
        self._metrics.record_duration(
            "node.plan", self._clock.monotonic() - started
        )
        self._enqueue_starts(runs)

    def _enqueue_starts(self, runs: list[runs_lib.Run]) -> None:
        for run in runs:
            self._sessions.by_worker[run.worker_id].session.enqueue(
                order_sender.StartCommand(run)
            )
        if runs:
            logs.log_event(
                "placement.decided",
                service=self.service,
                runs=[
                    f"{run.unit.name}#{run.number}@{run.worker_id}"
                    for run in runs
                ],
            )

    def _enqueue_stops(self) -> None:
        stops = self._state.pending_stops
        while stops:
            item = stops.popleft()
            running = self._sessions.by_worker.get(item.worker_id)
            if running is not None:
                running.session.enqueue(
                    order_sender.StopCommand(item.unit, item.run)
                )

    def _read_unix_ms(self) -> int:
        return int(self._clock.now().timestamp() * 1000)

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()
