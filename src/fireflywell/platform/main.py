"""Entry point of the node process on the users' platform."""

import dataclasses
import datetime
import os
import pathlib
import random
import sys

import anyio

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import http_client
from fireflywell import process
from fireflywell.node import directory as directory_lib
from fireflywell.node import fleet_tenure
from fireflywell.node import job_frontend
from fireflywell.node import node_process
from fireflywell.node import settings as node_settings
from fireflywell.node import worker_session
from fireflywell.platform import advice
from fireflywell.platform import configuration
from fireflywell.platform import instances
from fireflywell.platform import job_api
from fireflywell.platform import machines
from fireflywell.platform import settings as platform_settings
from fireflywell.platform import store as platform_store
from fireflywell.platform import submission_forwarder
from fireflywell.platform import waves
from fireflywell.platform import worker_calls
from fireflywell.scheduling import orders
from fireflywell.scheduling import workers
from fireflywell.telemetry import logs
from fireflywell.telemetry import prometheus_metrics

_DEFAULT_SETTINGS = "/etc/fireflywell/local.toml"

# Each follower of a table holds one connection for its long polls; the others
# serve short calls.
_STORE_CONNECTIONS = 48
_WORKER_CONNECTIONS = worker_session.MAX_CONCURRENT_CALLS
_ADVICE_CONNECTIONS = 2
# Moves and waves list the VMs beside the orders.
_FLEET_CONNECTIONS = fleet_tenure.MAX_CONCURRENT_ORDERS + 2

# Address used for a service that isn't in the settings; calls to it fail.
_UNREACHABLE_ADDRESS = "127.0.0.1:9"

_WATCH_INTERVAL = datetime.timedelta(seconds=1)

# Settings that a reload applies to a running process; others need a restart.
_RELOADABLE_SETTINGS = ("store_address", "machines_address", "advice_address")


@dataclasses.dataclass(frozen=True, slots=True)
class _FileVersion:
    """Identifies a version of a file by its metadata."""

    modified_ns: int
    size_bytes: int
    inode: int


class PlatformConnections:
    """HTTP clients of the platform's services.

    Attributes:
        store: Client of the metadata store.
        fleet: Client of the VM API.
        advice: Client of the advice service.
    """

    __slots__ = ("_clock", "advice", "fleet", "store")

    def __init__(
        self, settings: node_settings.NodeSettings, clock: clock_lib.Clock
    ) -> None:
        self._clock = clock
        self.store = http_client.HttpClient(
            settings.store_address, clock, _STORE_CONNECTIONS
        )
        self.fleet = http_client.HttpClient(
            settings.machines_address or _UNREACHABLE_ADDRESS,
            clock,
            _FLEET_CONNECTIONS,
        )

        self.advice = http_client.HttpClient(
            settings.advice_address or _UNREACHABLE_ADDRESS,
            clock,
            _ADVICE_CONNECTIONS,
        )

    def apply(self, settings: node_settings.NodeSettings) -> None:
        """Sets the clients' addresses from reloaded settings."""
        self.store.set_address(settings.store_address)
        self.fleet.set_address(
            settings.machines_address or _UNREACHABLE_ADDRESS
        )
        self.advice.set_address(settings.advice_address or _UNREACHABLE_ADDRESS)


class SettingsReloader:
    """Reloads the settings file on SIGHUP or when the file has changed."""

    __slots__ = ("_connections", "_path", "_settings", "_file_version")

    def __init__(
        self,
        path: pathlib.Path,
        settings: node_settings.NodeSettings,
        connections: PlatformConnections,
    ) -> None:
        self._path = path
        self._settings = settings
        self._connections = connections
        self._file_version = _read_file_version(path)

    async def watch(self, clock: clock_lib.Clock) -> None:
        """Polls the file and reloads it after a change without a signal."""
        while True:
            await clock.sleep(_WATCH_INTERVAL)
            if _read_file_version(self._path) != self._file_version:
                self.reload()

    def reload(self) -> None:
        """Loads the file and applies its addresses.

        An invalid file is logged and leaves the current settings in use.
        """
        self._file_version = _read_file_version(self._path)
        try:
            loaded = platform_settings.load_settings(self._path)
        except errors.SettingsError as error:
            logs.log_event("settings.rejected", error=str(error))
            return
        changed = [
            field.name
            for field in dataclasses.fields(loaded)
            if getattr(loaded, field.name)
            != getattr(self._settings, field.name)
        ]
        applied = [name for name in changed if name in _RELOADABLE_SETTINGS]
        self._connections.apply(loaded)
        self._settings = loaded
        logs.log_event(
            "settings.reloaded",
            applied=applied,
            at_next_start=[name for name in changed if name not in applied],
        )


def _read_file_version(path: pathlib.Path) -> _FileVersion | None:
    try:
        status = path.stat()
    except OSError:
        # The file may be missing while it is being replaced. A reload then
        # fails and keeps the current settings.
        return None
    return _FileVersion(status.st_mtime_ns, status.st_size, status.st_ino)


def build_dependencies(
    settings: node_settings.NodeSettings,
    connections: PlatformConnections,
    clock: clock_lib.Clock,
) -> node_process.NodeDependencies:
    """Returns the platform's implementations of the node's dependencies."""
    metrics = prometheus_metrics.PrometheusMetrics()
    store = platform_store.PlatformStore(connections.store, clock, metrics)

    def make_client(instance: workers.WorkerInstance) -> orders.WorkerClient:
        return worker_calls.HttpWorkerClient(
            instance.instance_id, instance.address, clock, _WORKER_CONNECTIONS
        )

    def make_callers_api(
        frontend: job_frontend.JobFrontend,
        holder: directory_lib.ConfigurationHolder,
    ) -> asgi.Application:
        forwarder = submission_forwarder.SubmissionForwarder(clock)
        return job_api.JobApi(frontend, holder, clock, forwarder)

    return node_process.NodeDependencies(
        store=store,
        decode_configuration=configuration.decode_configuration,
        decode_instance=instances.decode_instance,
        decode_wave=waves.decode_wave,
        make_client=make_client,
        advice=advice.HttpAdviceClient(connections.advice),
        fleet=machines.HttpFleetClient(connections.fleet, settings.name),
        make_callers_api=make_callers_api,
        make_readiness_api=job_api.ReadinessApi,
        metrics=metrics,
        metrics_api=metrics,
    )


def main() -> int:
    """Runs the node process until it is stopped; returns its exit code."""
    path = pathlib.Path(
        os.environ.get(platform_settings.SETTINGS_VARIABLE, _DEFAULT_SETTINGS)
    )
    try:
        settings = platform_settings.load_settings(path)
    except errors.SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        return process.EXIT_USAGE
    clock = clock_lib.SuspendAwareClock()
    rng = random.Random()
    connections = PlatformConnections(settings, clock)
    reloader = SettingsReloader(path, settings, connections)

    async def run(stop: anyio.Event) -> None:
        node = node_process.NodeProcess(
            settings,
            build_dependencies(settings, connections, clock),
            clock,
            rng,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(reloader.watch, clock)
            await node.run(stop)
            group.cancel_scope.cancel()

    return process.run_process(run, None, reloader.reload)
