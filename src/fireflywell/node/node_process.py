"""The node process: serves callers and runs the owners of its services."""

from collections.abc import Callable
import dataclasses
import datetime
import functools
import random
import uuid

import anyio

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell.coordination import row_store
from fireflywell.node import advice_line
from fireflywell.node import configuration as configuration_lib
from fireflywell.node import directory as directory_lib
from fireflywell.node import fleet_cache
from fireflywell.node import fleet_controller
from fireflywell.node import heartbeat as heartbeat_lib
from fireflywell.node import instance_registry
from fireflywell.node import job_frontend
from fireflywell.node import maintenance_waves
from fireflywell.node import ownership
from fireflywell.node import ownership_gate
from fireflywell.node import queue_services
from fireflywell.node import service_owner
from fireflywell.node import settings as node_settings
from fireflywell.node import table_follower
from fireflywell.node import tables
from fireflywell.node import vm_orders
from fireflywell.scheduling import maintenance
from fireflywell.scheduling import model
from fireflywell.scheduling import orders
from fireflywell.scheduling import workers as workers_lib
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

# Workers renew their entries several times a second; a pause between reads
# collects their changes.
_INSTANCES_PAUSE = datetime.timedelta(milliseconds=200)
_FLEET_PAUSE = datetime.timedelta(milliseconds=80)

# Share of the grace period within which requests in progress at a stop must be
# answered.
_DRAIN_SHARE = 0.8

# The load balancer probes once a second and removes a node after two failures.
_BALANCER_REACTION_TIME = datetime.timedelta(seconds=2.2)


@dataclasses.dataclass(frozen=True, slots=True)
class NodeDependencies:
    """Clients, decoders and interfaces that a node process is built with.

    Attributes:
        store: The row store.
        decode_configuration: Decodes the operator's configuration.
        decode_instance: Decodes a worker's entry.
        decode_wave: Decodes an operator's request for maintenance.
        make_client: Connects to a worker.
        fleet: Client of the platform's interface for VMs.
        advice: Client of the service that decides on eligible workers.
        make_callers_api: Builds the callers' interface.
        make_readiness_api: Builds the load balancer's interface.
        metrics: Receives samples.
        metrics_api: Serves the samples, if the settings name an address.
    """

    store: row_store.RowStore
    decode_configuration: Callable[[bytes], configuration_lib.Configuration]
    decode_instance: Callable[[str, bytes], workers_lib.WorkerInstance]
    decode_wave: Callable[[bytes], maintenance.Wave]
    make_client: Callable[[workers_lib.WorkerInstance], orders.WorkerClient]
    fleet: vm_orders.FleetClient
    advice: advice_line.AdviceClient
    make_callers_api: Callable[
        [job_frontend.JobFrontend, directory_lib.ConfigurationHolder],
        asgi.Application,
    ]
    make_readiness_api: Callable[[Callable[[], bool]], asgi.Application]
    metrics: metrics_lib.Metrics
    metrics_api: asgi.Application


class NodeProcess:
    """Builds and runs the supervisor tree of one node."""

    __slots__ = (
        "_advice_line",
        "_dependencies",
        "_clock",
        "_configuration",
        "_job_frontend",
        "_directory",
        "_gate",
        "_heartbeat",
        "_is_draining",
        "_ownership",
        "_listeners",
        "_metrics_listener",
        "_owners",
        "_owners_tree",
        "_queues",
        "_random",
        "_registry",
        "_settings",
        "_fleet_cache",
        "_waves",
    )

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        dependencies: NodeDependencies,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._dependencies = dependencies
        self._clock = clock
        self._random = rng
        self._is_draining = False
        self._configuration = directory_lib.ConfigurationHolder(
            dependencies.decode_configuration, clock, dependencies.metrics
        )
        self._registry = instance_registry.InstanceRegistry(
            dependencies.decode_instance
        )
        self._directory = directory_lib.NodeDirectory(
            clock, settings.bounds.lease
        )
        store = dependencies.store
        self._heartbeat = heartbeat_lib.Heartbeat(
            settings, uuid.uuid4().hex, store, self._directory, clock
        )
        self._ownership = ownership.OwnershipManager(
            settings.name,
            store,
            clock,
            self._directory,
            self._heartbeat,
            self._list_services,
            self._start_owner,
            dependencies.metrics,
            settings.bounds.lease,
        )
        self._gate = ownership_gate.OwnershipGate()
        self._advice_line = advice_line.AdviceLine(dependencies.advice, clock)
        self._fleet_cache = fleet_cache.FleetCache()
        self._waves = maintenance_waves.MaintenanceWaves(
            dependencies.decode_wave, store
        )
        self._queues = queue_services.QueueServices(
            store, clock, self._heartbeat.find_proven_time, rng
        )
        self._job_frontend = job_frontend.JobFrontend(
            store,
            clock,
            dependencies.metrics,
            self._heartbeat.require_renewed_version,
            settings.bounds.status_retention,
            self._queues,
            self._find_owner_address,
            lambda: self._heartbeat.write_time,
            settings.row_bytes,
            lambda: self._heartbeat.renewed_version,
        )
        self._owners: dict[str, service_owner.ServiceOwner] = {}
        self._owners_tree = supervisor_lib.Supervisor("owners", clock, rng)
        self._listeners = (
            _make_listener(
                settings.callers_address,
                dependencies.make_callers_api(
                    self._job_frontend, self._configuration
                ),
            ),
            _make_listener(
                settings.readiness_address,
                dependencies.make_readiness_api(self._check_ready),
            ),
        )
        self._metrics_listener = (
            _make_listener(settings.metrics_address, dependencies.metrics_api)
            if settings.metrics_address
            else None
        )

    async def run(self, stop: anyio.Event) -> None:
        """Serves until `stop` is set and requests in progress are answered."""
        logs.log_event(
            "node.started",
            node=self._settings.name,
            incarnation=self._heartbeat.incarnation,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._build_tree().run)
            await stop.wait()
            await self._drain()
            group.cancel_scope.cancel()
        logs.log_event("node.stopped", node=self._settings.name)

    def _build_tree(self) -> supervisor_lib.Supervisor:
        restart = policies.RestartWithBackoff()
        operator_rows = self._follow(
            tables.OPERATOR,
            lambda: ("",),
            self._load_operator_rows,
            self._apply_operator_rows,
            on_confirmed=self._configuration.mark_confirmed,
        )
        instances = self._follow(
            tables.INSTANCES,
            lambda: ("",),
            self._replace_instances,
            self._apply_instances,
            _INSTANCES_PAUSE,
        )
        owners = self._follow(
            tables.OWNERS,
            self._ownership.list_partitions,
            self._ownership.apply_rows,
            self._ownership.apply_rows,
        )
        fleet_rows = self._follow(
            tables.FLEET,
            lambda: (ownership.FLEET_SERVICE,),
            self._fleet_cache.load_rows,
            self._fleet_cache.apply_rows,
            _FLEET_PAUSE,
            # An owner must know which VMs its predecessor has emptied.
            find_needed_version=lambda: self._gate.newest_claim,
        )
        callers, readiness = self._listeners
        children = (
            supervisor_lib.Child(
                "callers", callers.run, policies.StopProcess()
            ),
            supervisor_lib.Child(
                "readiness", readiness.run, policies.StopProcess()
            ),
            supervisor_lib.Child("configuration", operator_rows.run, restart),
            supervisor_lib.Child(
                "queue-services",
                functools.partial(self._queues.run, self._list_policies),
                restart,
            ),
            self._make_gated_child(
                "instances", instances, self._registry.clear
            ),
            self._make_gated_child(
                "upkeep-rows", fleet_rows, self._fleet_cache.clear
            ),
            supervisor_lib.Child("owner-rows", owners.run, restart),
            supervisor_lib.Child("heartbeat", self._heartbeat.run, restart),
            supervisor_lib.Child("ownership", self._ownership.run, restart),
            supervisor_lib.Child(
                "owners", self._owners_tree.run_until_cancelled, restart
            ),
        )
        optional_children: tuple[supervisor_lib.Child, ...] = ()
        if self._metrics_listener is not None:
            run = self._metrics_listener.run
            optional_children = (supervisor_lib.Child("metrics", run, restart),)
        return supervisor_lib.Supervisor(
            self._settings.name,
            self._clock,
            self._random,
            children + optional_children,
        )

    def _make_gated_child(
        self,
        name: str,
        follower: table_follower.TableFollower,
        on_close: Callable[[], None],
    ) -> supervisor_lib.Child:
        """Returns the child for a follower that runs only while owning."""
        run = functools.partial(
            self._gate.run_while_owning, follower.run, on_close
        )
        return supervisor_lib.Child(name, run, policies.RestartWithBackoff())

    def _load_operator_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        self._configuration.apply_rows(rows)
        self._waves.load_rows(rows)

    def _apply_operator_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        self._configuration.apply_rows(rows)
        self._waves.apply_rows(rows)

    def _replace_instances(self, rows: tuple[row_store.Row, ...]) -> None:
        self._registry.replace_all(rows)
        self._wake_owners()

    def _apply_instances(self, rows: tuple[row_store.Row, ...]) -> None:
        self._registry.apply_rows(rows)
        self._wake_owners()

    def _wake_owners(self) -> None:
        for owner in self._owners.values():
            owner.wake_sync()

    def _follow(
        self,
        table: str,
        list_partitions: Callable[[], tuple[str, ...]],
        on_snapshot: Callable[[tuple[row_store.Row, ...]], None],
        on_changes: Callable[[tuple[row_store.Row, ...]], None],
        pause: datetime.timedelta = datetime.timedelta(milliseconds=20),
        on_confirmed: Callable[[datetime.timedelta], None] | None = None,
        find_needed_version: Callable[[], int] | None = None,
    ) -> table_follower.TableFollower:
        return table_follower.TableFollower(
            self._dependencies.store,
            self._clock,
            table,
            list_partitions,
            on_snapshot,
            on_changes,
            pause,
            on_confirmed,
            find_needed_version,
        )

    async def _drain(self) -> None:
        """Releases the services and answers requests in progress."""
        self._is_draining = True
        await self._heartbeat.announce_stop()
        with anyio.move_on_after(1):
            await self._ownership.release_all()
        await self._clock.sleep(_BALANCER_REACTION_TIME)
        for listener in self._listeners:
            listener.stop()
        grace_for_requests = self._settings.bounds.grace * _DRAIN_SHARE
        with anyio.move_on_after(
            max(
                0.2,
                (grace_for_requests - _BALANCER_REACTION_TIME).total_seconds(),
            )
        ):
            for listener in self._listeners:
                await listener.wait_until_stopped()

    def _check_ready(self) -> bool:
        return (
            not self._is_draining
            and not self._heartbeat.is_failing
            and self._configuration.current is not None
        )

    def _find_owner_address(self, service: str) -> str:
        """Returns the callers' address of another node that owns a service."""
        owner = self._ownership.find_owner(service)
        if owner == self._settings.name:
            return ""
        return self._directory.find_address(owner)

    def _list_services(self) -> tuple[str, ...]:
        """Returns the services that need an owner."""
        configuration = self._configuration.current
        if configuration is None:
            return ()
        routed = {route.policy.service for route in configuration.routes}
        # Services to which no queue is sent any more may still hold jobs.
        used = self._queues.known_services
        return tuple(sorted(routed | used | set(self._owners)))

    def _list_policies(self) -> tuple[model.QueuePolicy, ...]:
        configuration = self._configuration.current
        if configuration is None:
            return ()
        return tuple(route.policy for route in configuration.routes)

    def _find_spare_pool(self) -> str:
        configuration = self._configuration.current
        if configuration is None:
            return ""
        for service in configuration.services:
            if service.is_spare:
                return service.name
        return ""

    async def _start_owner(
        self, tenure: ownership.Tenure
    ) -> Callable[[], None]:
        if tenure.service == ownership.FLEET_SERVICE:
            return self._start_fleet_controller(tenure)
        owner = service_owner.ServiceOwner(
            tenure,
            self._settings,
            self._dependencies.store,
            self._clock,
            self._random,
            self._heartbeat,
            self._registry,
            self._dependencies.make_client,
            self._fleet_cache,
            self._dependencies.metrics,
            self._advice_line,
        )
        self._owners[tenure.service] = owner

        self._gate.add_owner(tenure.version)

        async def run() -> None:
            try:
                await owner.run()
            finally:
                self._gate.remove_owner()
                if self._owners.get(tenure.service) is owner:
                    del self._owners[tenure.service]
                    self._ownership.mark_owner_stopped(tenure.service)

        self._owners_tree.start_child(
            supervisor_lib.Child(
                f"service {tenure.service}", run, policies.NeverRestart()
            )
        )
        return owner.stop

    def _start_fleet_controller(
        self, tenure: ownership.Tenure
    ) -> Callable[[], None]:
        controller = fleet_controller.FleetController(
            tenure,
            self._dependencies.store,
            self._dependencies.fleet,
            self._fleet_cache,
            self._waves,
            self._heartbeat,
            self._list_services,
            self._find_spare_pool,
            self._settings.bounds.lease,
            self._clock,
            self._random,
            self._dependencies.decode_instance,
        )
        self._gate.add_owner(tenure.version)

        async def run() -> None:
            try:
                await controller.run()
            finally:
                self._gate.remove_owner()

        self._owners_tree.start_child(
            supervisor_lib.Child("fleet", run, policies.NeverRestart())
        )
        return controller.stop


def _make_listener(
    address: str, application: asgi.Application
) -> asgi.Listener:
    host, _, port = address.rpartition(":")
    return asgi.Listener(application, host, int(port))
