"""Entry point of the node process on the users' platform."""

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
from fireflywell.node import job_desk
from fireflywell.node import node_process
from fireflywell.node import settings as node_settings
from fireflywell.platform import configuration
from fireflywell.platform import instances
from fireflywell.platform import job_api
from fireflywell.platform import machines
from fireflywell.platform import settings as platform_settings
from fireflywell.platform import store as platform_store
from fireflywell.platform import waves
from fireflywell.platform import worker_calls
from fireflywell.scheduling import orders
from fireflywell.scheduling import workers

_DEFAULT_SETTINGS = "/etc/fireflywell/local.toml"

# Each follower of a table keeps one connection; the rest are short calls.
_STORE_CONNECTIONS = 48
_WORKER_CONNECTIONS = 8
_FLEET_CONNECTIONS = 2


def make_boundary(
    settings: node_settings.NodeSettings, clock: clock_lib.Clock
) -> node_process.Boundary:
    """Builds the translation for a node with these settings."""
    store = platform_store.PlatformStore(
        http_client.HttpClient(
            settings.store_address, clock, _STORE_CONNECTIONS
        ),
        clock,
    )

    def make_client(instance: workers.WorkerInstance) -> orders.WorkerClient:
        return worker_calls.HttpWorkerClient(
            instance.instance_id, instance.address, clock, _WORKER_CONNECTIONS
        )

    def make_callers_api(
        desk: job_desk.JobDesk, holder: directory_lib.ConfigurationHolder
    ) -> asgi.Application:
        return job_api.JobApi(desk, holder, clock)

    return node_process.Boundary(
        store=store,
        decode_configuration=configuration.decode_configuration,
        decode_instance=instances.decode_instance,
        decode_wave=waves.decode_wave,
        make_client=make_client,
        fleet=machines.MachinesClient(
            http_client.HttpClient(
                settings.machines_address, clock, _FLEET_CONNECTIONS
            ),
            settings.name,
        ),
        make_callers_api=make_callers_api,
        make_readiness_api=job_api.ReadinessApi,
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

    async def run(stop: anyio.Event) -> None:
        node = node_process.NodeProcess(
            settings, make_boundary(settings, clock), clock, rng
        )
        await node.run(stop)

    return process.run_process(run, None)


if __name__ == "__main__":
    sys.exit(main())
