"""Entry point of the entry process."""

import pathlib
import random
import sys

import anyio
import click

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import process
from fireflywell import settings as settings_lib
from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import trust
from fireflywell.bundle import watcher as watcher_lib
from fireflywell.entry import application as application_lib
from fireflywell.entry import dispatcher as dispatcher_lib
from fireflywell.entry import settings as entry_settings
from fireflywell.fleet import view as view_lib
from fireflywell.membership import links as links_lib
from fireflywell.platform import machines
from fireflywell.platform import objects
from fireflywell.platform import tables
from fireflywell.platform import transport as transport_lib
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib


@click.command()
@click.argument("settings_file", type=click.Path(path_type=pathlib.Path))
def main(settings_file: pathlib.Path) -> None:
    """Runs an entry with the given TOML settings."""
    try:
        settings = settings_lib.load_settings(
            settings_file, entry_settings.EntrySettings
        )
    except errors.SettingsError as error:
        click.echo(f"error: {error}", err=True)
        sys.exit(process.EXIT_USAGE)

    async def run(stop: anyio.Event) -> None:
        await run_entry(settings, clock_lib.SystemClock(), stop)

    log_path = pathlib.Path(settings.log_file) if settings.log_file else None
    sys.exit(process.run_process(run, log_path))


async def run_entry(
    settings: entry_settings.EntrySettings,
    clock: clock_lib.Clock,
    stop: anyio.Event,
) -> None:
    """Runs the entry's supervisor tree until `stop` is set.

    Raises:
        ChildFailedError: A part without which the entry is of no use failed.
    """
    rng = random.Random()
    metrics = make_metrics(settings.statsd, "entry", clock)
    transport = transport_lib.PlatformTransport(
        settings.platform_url, clock, rng, metrics
    )
    holder = holder_lib.BundleHolder()
    view = view_lib.FleetView()
    watcher = view_lib.FleetWatcher(
        view,
        tables.TableClient(transport),
        machines.MachineClient(transport),
        clock,
        rng,
    )
    bundle_watcher = make_bundle_watcher(
        settings, holder, transport, clock, rng
    )
    dispatcher = dispatcher_lib.Dispatcher(
        holder, view, settings.zone, clock, metrics
    )
    application = application_lib.EntryApplication(holder, dispatcher, metrics)
    listener = asgi.Listener(application, settings.address, settings.port)
    root = supervisor_lib.Supervisor(
        "entry",
        clock,
        rng,
        (
            supervisor_lib.Child(
                "listener", listener.run, policies.StopProcess()
            ),
            supervisor_lib.Child(
                "fleet_watcher", watcher.run, policies.RestartWithBackoff()
            ),
            supervisor_lib.Child(
                "bundle_watcher",
                bundle_watcher.run,
                policies.RestartWithBackoff(),
            ),
        ),
    )
    async with anyio.create_task_group() as group:
        group.start_soon(root.run)
        await stop.wait()
        application.stop_being_ready()
        await clock.sleep(settings.balancer_lag)
        listener.stop()
        logs.log_event("entry.stopped")
        group.cancel_scope.cancel()


def make_bundle_watcher(
    settings: entry_settings.EntrySettings,
    holder: holder_lib.BundleHolder,
    transport: transport_lib.PlatformTransport,
    clock: clock_lib.Clock,
    rng: random.Random,
) -> watcher_lib.BundleWatcher:
    """Returns the watcher that keeps the entry's bundle current.

    Raises:
        SettingsError: The trust file can't be used.
    """
    links = links_lib.NoPeers(
        f"{settings.address}:{settings.peer_port}",
        f"{rng.getrandbits(128):032x}",
    )
    return watcher_lib.BundleWatcher(
        holder,
        tables.TableClient(transport),
        objects.ObjectClient(transport),
        links,
        trust.load_trust(pathlib.Path(settings.trust_file)),
        len(settings.peers),
        clock,
        rng,
    )


def make_metrics(
    settings: entry_settings.StatsdSettings | None,
    prefix: str,
    clock: clock_lib.Clock,
) -> metrics_lib.Metrics:
    """Returns the metrics sender named in the settings."""
    if settings is None:
        return metrics_lib.NullMetrics()
    return metrics_lib.StatsdMetrics(
        settings.address, settings.port, f"fireflywell.{prefix}", clock
    )


if __name__ == "__main__":
    main()
