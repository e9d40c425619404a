"""Startup functions that all daemons share."""

from collections.abc import Callable
import pathlib
from typing import Protocol
from typing import TypeVar

import anyio
import click

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import process
from fireflywell import settings as settings_lib
from fireflywell.entry import settings as entry_settings
from fireflywell.membership import handshake
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import metrics as metrics_lib
from fireflywell.telemetry import statsd_metrics


class DaemonSettings(Protocol):
    """Settings that every daemon has."""

    @property
    def log_file(self) -> str | None:
        """File for log lines; None for the standard output."""


class Daemon(Protocol):
    """A process that runs until its stop event is set."""

    async def run(self, stop: anyio.Event) -> None:
        """Runs until `stop` is set and the work in progress is finished."""


S = TypeVar("S", bound=DaemonSettings)


def run_daemon(
    settings_file: pathlib.Path,
    kind: type[S],
    make_daemon: Callable[[S, clock_lib.Clock], Daemon],
) -> int:
    """Reads settings and runs a daemon until it ends.

    Args:
        settings_file: TOML settings.
        kind: Class of the settings.
        make_daemon: Builds the daemon.

    Returns:
        The exit code of the process.
    """
    try:
        settings = settings_lib.load_settings(settings_file, kind)
    except errors.SettingsError as error:
        click.echo(f"error: {error}", err=True)
        return process.EXIT_USAGE

    async def run(stop: anyio.Event) -> None:
        await make_daemon(settings, clock_lib.SystemClock()).run(stop)

    log_path = pathlib.Path(settings.log_file) if settings.log_file else None
    return process.run_process(run, log_path)


def make_metrics(
    settings: entry_settings.StatsdSettings | None,
    prefix: str,
    clock: clock_lib.Clock,
) -> metrics_lib.Metrics:
    """Returns metrics sent to statsd, or discarded without such settings."""
    if settings is None:
        return metrics_lib.NullMetrics()
    return statsd_metrics.StatsdMetrics(
        settings.address, settings.port, f"fireflywell.{prefix}", clock
    )


def read_cluster_key(path: str) -> bytes:
    """Reads the key shared by all processes.

    Raises:
        SettingsError: The file can't be read or doesn't hold such a key.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise settings_lib.make_settings_file_error(
            pathlib.Path(path), error
        ) from error
    return handshake.parse_cluster_key(text, path)


def list_metrics_children(
    metrics: metrics_lib.Metrics,
) -> tuple[supervisor_lib.Child, ...]:
    """Returns the task that sends the metrics; empty if they are discarded."""
    match metrics:
        case statsd_metrics.StatsdMetrics() as sender:
            restart = policies.RestartWithBackoff()
            return (supervisor_lib.Child("metrics", sender.run, restart),)
    return ()
