"""Starts and ends the sessions with the listed workers of one service."""

from collections.abc import Callable

import anyio

from fireflywell import clock as clock_lib
from fireflywell.node import assigned_workers
from fireflywell.node import instance_registry
from fireflywell.node import worker_events
from fireflywell.node import worker_session
from fireflywell.scheduling import cordons
from fireflywell.scheduling import orders
from fireflywell.scheduling import service_state
from fireflywell.scheduling import workers as workers_lib
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import logs

# A worker that is no longer listed is dropped only after this time, because
# entries that expired during an outage of the store are listed again about two
# seconds after the store is back.
_ENTRY_GRACE_S = 2.5

# A worker is stored with the end of its leases this long after its loss was
# noticed, and as in use again before it gets another lease. A successor waits
# 8.6 s from its claim for one that isn't stored so. A worker that was unhealthy
# for a moment, or whose address has changed, reports sooner and needs no write.
_LOST_DELAY_S = 0.3

# Time from the first calls to all workers until those that haven't reported are
# stored so. A sound worker reports sooner, also if the first call was lost: a
# second one follows after 0.3 s.
_UNREPORTED_DELAY_S = 0.5

_OTHER_SERVICE = "it belongs to another service"


class RunningSession:
    """A worker session and the cancel scope that ends it."""

    __slots__ = ("unlisted_since_s", "cordon", "scope", "session")

    def __init__(self, session: worker_session.WorkerSession) -> None:
        self.session = session
        self.scope = anyio.CancelScope()
        self.unlisted_since_s: float | None = None
        # Why the worker gets no new units; None if it does.
        self.cordon: cordons.Cordon | None = None

    async def run(self) -> None:
        """Runs the session until its scope is cancelled."""
        with self.scope:
            await self.session.run()


class WorkerSessions:
    """Gives each listed worker of a service a session.

    Attributes:
        by_worker: The sessions by worker id.
    """

    __slots__ = (
        "_assigned_workers",
        "_clock",
        "_connect",
        "_is_from_spare_pool",
        "_make_session",
        "_on_started",
        "_registry",
        "_service",
        "_start_child",
        "_state",
        "_synced_since_s",
        "by_worker",
    )

    def __init__(
        self,
        service: str,
        state: service_state.ServiceState,
        registry: instance_registry.InstanceRegistry,
        assigned: assigned_workers.AssignedWorkers,
        clock: clock_lib.Clock,
        connect: Callable[[workers_lib.WorkerInstance], orders.WorkerClient],
        make_session: Callable[
            [workers_lib.Worker], worker_session.WorkerSession
        ],
        start_child: Callable[[supervisor_lib.Child], None],
        is_from_spare_pool: Callable[[workers_lib.WorkerInstance], bool],
        on_started: Callable[[RunningSession], None],
    ) -> None:
        """Starts without sessions.

        Args:
            service: Name of the service.
            state: Jobs and workers of the service.
            registry: The listed workers of all services.
            assigned: The stored list of workers that may run units.
            clock: The node's clock.
            connect: Makes a client for the address of a worker.
            make_session: Makes the session of a worker.
            start_child: Runs a session as a child of the owner's supervisor.
            is_from_spare_pool: Whether a worker's VM is from the spare pool.
            on_started: Called with each new session before it runs.
        """
        self._service = service
        self._state = state
        self._registry = registry
        self._assigned_workers = assigned
        self._clock = clock
        self._connect = connect
        self._make_session = make_session
        self._start_child = start_child
        self._is_from_spare_pool = is_from_spare_pool
        self._on_started = on_started
        self.by_worker: dict[str, RunningSession] = {}
        # When each worker that was listed at first had got its session.
        self._synced_since_s: float | None = None

    def sync(self) -> None:
        """Starts and ends sessions so that each listed worker has one."""
        listed = {
            item.instance_id: item
            for item in self._registry.list_instances(self._service)
        }
        self._start_sessions(listed)
        self._end_sessions(listed)
        self._update_assigned_workers()

    def _update_assigned_workers(self) -> None:
        """Passes on which workers don't answer and which have ended."""
        now_s = self._now_s()
        for worker_id, running in self.by_worker.items():
            session = running.session
            since_s = session.lost_since_s
            if since_s is not None and now_s - since_s > _LOST_DELAY_S:
                self._assigned_workers.mark_lost(
                    worker_id, session.remaining_lease
                )
        if self._registry.is_loaded:
            if self._synced_since_s is None:
                self._synced_since_s = now_s
            if now_s - self._synced_since_s > _UNREPORTED_DELAY_S:
                self._assigned_workers.mark_unreported_lost()
            self._assigned_workers.mark_replaced(self._registry.list_all())
        self._assigned_workers.check_recovery()

    def _start_sessions(
        self, listed: dict[str, workers_lib.WorkerInstance]
    ) -> None:
        for worker_id, instance in listed.items():
            running = self.by_worker.get(worker_id)
            if running is None:
                self._start_session(instance)
            elif not running.scope.cancel_called:
                self._update_session(running, instance)

    def _update_session(
        self, running: RunningSession, instance: workers_lib.WorkerInstance
    ) -> None:
        worker = running.session.worker
        former = worker.instance
        is_same_vm = former.vm_id == instance.vm_id
        if is_same_vm and former.address == instance.address:
            worker.replace_instance(instance)
        else:
            running.session.move(instance, self._connect(instance))
        worker.is_from_spare_pool = self._is_from_spare_pool(instance)

    def _start_session(self, instance: workers_lib.WorkerInstance) -> None:
        worker = workers_lib.Worker(instance)
        worker.is_from_spare_pool = self._is_from_spare_pool(instance)
        self._state.workers[instance.instance_id] = worker
        running = RunningSession(self._make_session(worker))
        self.by_worker[instance.instance_id] = running
        self._on_started(running)
        logs.log_event(
            "worker.listed",
            worker=instance.instance_id,
            service=self._service,
            rack=instance.rack,
        )
        self._start_child(
            supervisor_lib.Child(
                f"worker {instance.instance_id}",
                running.run,
                policies.RestartWithBackoff(),
            )
        )

    def _end_sessions(
        self, listed: dict[str, workers_lib.WorkerInstance]
    ) -> None:
        now_s = self._now_s()
        for worker_id, running in tuple(self.by_worker.items()):
            self._leave_other_service(running)
            if running.scope.cancel_called:
                running.session.expire_runs()
                self._end_session(running, _OTHER_SERVICE)
                continue
            if worker_id in listed:
                running.unlisted_since_s = None
                continue
            if running.unlisted_since_s is None:
                running.unlisted_since_s = now_s
            worker = running.session.worker
            running.session.expire_runs()
            is_grace_over = now_s - running.unlisted_since_s > _ENTRY_GRACE_S
            if is_grace_over and not worker.is_reachable:
                self._end_session(running, "it is no longer listed")

    def _leave_other_service(self, running: RunningSession) -> None:
        """Stops calling a worker that is listed with another service.

        Reports would list units of that service as unknown ones, which are
        stopped, and each owner's fencing token voids orders of the other.
        """
        entry = self._registry.find(running.session.worker.worker_id)
        if entry is not None and entry.service != self._service:
            running.session.give_up(_OTHER_SERVICE)
            running.scope.cancel()

    def _end_session(self, running: RunningSession, reason: str) -> None:
        """Ends the session of a worker, unless it may have runs.

        A run is dropped only if a report, an answer or the end of the leases
        proves that it is over. So a worker without runs leaves the stored list
        at once, and one with runs stays on it until its leases are over.
        """
        worker = running.session.worker
        if worker.runs:
            return
        del self.by_worker[worker.worker_id]
        running.scope.cancel()
        self._state.remove_worker(worker.worker_id)
        self._assigned_workers.forget(worker.worker_id)
        worker_events.log_dropped(worker.instance, reason)

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()
