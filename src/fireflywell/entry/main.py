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
from fireflywell.entry import assembly
from fireflywell.entry import homes as homes_lib
from fireflywell.entry import pause_guard
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

_CLUSTER_KEY_BYTES = 32


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
    rng = random.SystemRandom()
    metrics = make_metrics(settings.statsd, "entry", clock)
    cluster_key = read_cluster_key(settings.cluster_key_file)
    transport = transport_lib.PlatformTransport(
        settings.platform_url, clock, rng, metrics
    )
    store = tables.TableClient(transport)
    holder = holder_lib.BundleHolder()
    view = view_lib.FleetView()
    watcher = view_lib.FleetWatcher(
        view, store, machines.MachineClient(transport), clock, rng
    )
    links = links_lib.NoPeers(
        f"{settings.address}:{settings.peer_port}",
        f"{rng.getrandbits(128):032x}",
    )
    bundle_watcher = watcher_lib.BundleWatcher(
        holder,
        store,
        objects.ObjectClient(transport),
        links,
        trust.load_trust(pathlib.Path(settings.trust_file)),
        len(settings.peers),
        clock,
        rng,
    )
    guard = pause_guard.PauseGuard(watcher.refresh, links, clock)
    homes = homes_lib.OnlyEntry()
    parts = assembly.assemble_entry(
        assembly.EntryContext(
            holder=holder,
            view=view,
            store=store,
            links=links,
            homes=homes,
            guard=guard,
            cluster_key=cluster_key,
            zone=settings.zone,
            clock=clock,
            rng=rng,
            metrics=metrics,
        )
    )
    listener = asgi.Listener(parts.application, settings.address, settings.port)
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
            supervisor_lib.Child(
                "pause_guard", guard.run, policies.RestartWithBackoff()
            ),
            *parts.list_children(),
        ),
    )
    async with anyio.create_task_group() as group:
        group.start_soon(root.run)
        await stop.wait()
        parts.application.stop_being_ready()
        await clock.sleep(settings.balancer_lag)
        listener.stop()
        await listener.wait_until_stopped()
        await assembly.drain_entry(parts, homes, clock, settings.stop_timeout)
        logs.log_event("entry.stopped")
        group.cancel_scope.cancel()
    await parts.instances.close()
    await transport.close()


def read_cluster_key(path: str) -> bytes:
    """Reads the key shared by all processes.

    Raises:
        SettingsError: The file can't be read or doesn't hold such a key.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="ascii").strip()
        key = bytes.fromhex(text)
    except OSError as error:
        raise settings_lib.SettingsFileError(
            pathlib.Path(path), error
        ) from error
    except ValueError as error:
        raise _make_cluster_key_error(path) from error
    if len(key) != _CLUSTER_KEY_BYTES:
        raise _make_cluster_key_error(path)
    return key


def _make_cluster_key_error(path: str) -> errors.SettingsError:
    return errors.SettingsError(
        f"{path} must hold a cluster key of {2 * _CLUSTER_KEY_BYTES} "
        "hexadecimal digits; give all processes the same file"
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
