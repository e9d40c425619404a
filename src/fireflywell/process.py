"""Runs a process: log output, signals and exit codes."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import pathlib
import signal
import sys

import anyio

from fireflywell import errors
from fireflywell import sniffio_workaround
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import logs

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


def run_process(
    run: Callable[[anyio.Event], Awaitable[None]],
    log_path: pathlib.Path | None,
    reload: Callable[[], None] | None = None,
) -> int:
    """Runs a daemon until it ends.

    Args:
        run: Runs the root supervisor, and stops gracefully when its event is
            set by SIGTERM or SIGINT.
        log_path: File for log lines, or None for the standard output.
        reload: Called on SIGHUP; if None, the signal is only logged.

    Returns:
        The exit code: 0 after a graceful stop, 1 after a failure, 2 if the
        settings or the environment are invalid.
    """
    try:
        output = log_path.open("a") if log_path else sys.stdout
    except OSError as error:
        print(f"error: {log_path}: {error.strerror}", file=sys.stderr)
        return EXIT_USAGE
    sniffio_workaround.mark_sniffio_missing()
    writer = logs.QueuedLogWriter(output)
    writer.start()
    try:
        with supervisor_lib.raise_single_error():
            anyio.run(_run_with_signals, run, reload)
        return EXIT_OK
    except errors.SettingsError as error:
        print(f"error: {error}", file=sys.stderr)
        return EXIT_USAGE
    except errors.ChildFailedError as error:
        if isinstance(error.__cause__, errors.SettingsError):
            print(f"error: {error.__cause__}", file=sys.stderr)
            return EXIT_USAGE
        print(f"error: {error}", file=sys.stderr)
        return EXIT_FAILED
    finally:
        writer.close()


async def _run_with_signals(
    run: Callable[[anyio.Event], Awaitable[None]],
    reload: Callable[[], None] | None,
) -> None:
    stop = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_watch_signals, stop, reload)
        await run(stop)
        group.cancel_scope.cancel()


async def _watch_signals(
    stop: anyio.Event, reload: Callable[[], None] | None
) -> None:
    with (
        _ignore_late_reload(),
        anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals,
    ):
        async for number in signals:
            if number == signal.SIGHUP:
                logs.log_event("process.reload_asked", signal=number.name)
                if reload is not None:
                    reload()
                continue
            logs.log_event("process.stopping", signal=number.name)
            stop.set()


@contextlib.contextmanager
def _ignore_late_reload() -> Iterator[None]:
    """Ignores SIGHUP after the block; its default would end the process."""
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
