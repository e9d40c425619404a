"""Runs commands: errors in one line, exit codes, connections, progress."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import pathlib
import random
from typing import Any
from typing import TypeVar

import anyio
import click

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import process
from fireflywell import settings as settings_lib
from fireflywell.cli import settings as cli_settings
from fireflywell.infrastructure import machines as machines_lib
from fireflywell.infrastructure import objects as objects_lib
from fireflywell.infrastructure import tables
from fireflywell.infrastructure import transport as transport_lib
from fireflywell.telemetry import metrics

T = TypeVar("T")

# Mistakes that the user can correct without the system changing.
_USER_ERRORS = (
    errors.SettingsError,
    errors.BundleSchemaError,
    errors.JobRefusedError,
)


class CommandGroup(click.Group):
    """Group whose commands report project errors without a traceback."""

    __slots__ = ()

    def invoke(self, ctx: click.Context) -> Any:
        """Runs a command and turns its error into an exit code."""
        try:
            return super().invoke(ctx)
        except errors.FireflywellError as error:
            for line in str(error).splitlines():
                click.echo(f"error: {line}", err=True)
            is_user_error = isinstance(error, _USER_ERRORS)
            code = process.EXIT_USAGE if is_user_error else process.EXIT_FAILED
            ctx.exit(code)


class Connection:
    """The platform as commands use it."""

    __slots__ = ("clock", "machines", "objects", "rng", "table")

    def __init__(
        self,
        transport: transport_lib.PlatformTransport,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.table = tables.TableClient(transport)
        self.objects = objects_lib.ObjectClient(transport)
        self.machines = machines_lib.MachineClient(transport)


@contextlib.asynccontextmanager
async def connect(
    context: cli_settings.CliContext,
) -> AsyncIterator[Connection]:
    """Connects to the platform named in the settings.

    Raises:
        SettingsError: The settings don't name it.
    """
    url = context.require("platform_url")
    clock = clock_lib.SystemClock()
    rng = random.SystemRandom()
    transport = transport_lib.PlatformTransport(
        url, clock, rng, metrics.NullMetrics()
    )
    try:
        yield Connection(transport, clock, rng)
    finally:
        await transport.close()


def run(work: Callable[[], Awaitable[T]]) -> T:
    """Runs a command's coroutine function."""
    return anyio.run(work)


def read_text(path: pathlib.Path) -> str:
    """Reads a file named on the command line.

    Raises:
        SettingsError: It can't be read or isn't text.
    """
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise settings_lib.make_settings_file_error(path, error) from error
    except UnicodeDecodeError as error:
        raise errors.SettingsError(
            f"{path} isn't UTF-8 text; check that it is the right file"
        ) from error


def write_text(path: pathlib.Path, text: str, mode: int = 0o644) -> None:
    """Writes a new file; refuses to replace one.

    Raises:
        SettingsError: It exists or can't be written.
    """
    try:
        path.touch(mode=mode, exist_ok=False)
        path.write_text(text, encoding="utf-8")
    except FileExistsError as error:
        raise errors.SettingsError(
            f"{path} exists and is kept; name another file or move it away"
        ) from error
    except OSError as error:
        raise errors.SettingsError(
            f"{path} can't be written: {error.strerror}; check the path"
        ) from error


def print_result(
    context: cli_settings.CliContext, document: Any, lines: list[str]
) -> None:
    """Prints data as JSON, or lines for a reader."""
    if context.as_json:
        click.echo(json.dumps(document, sort_keys=True, default=str))
        return
    for line in lines:
        click.echo(line)
