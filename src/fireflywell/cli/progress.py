"""Tells the reader of a slow command that it still works."""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
from typing import TypeVar

import anyio
import click

from fireflywell import clock as clock_lib
from fireflywell.supervision import supervisor as supervisor_lib

T = TypeVar("T")

# Shorter waits end before a reader would wonder.
QUIET_TIME = datetime.timedelta(seconds=2)


async def run_with_progress(
    work: Callable[[], Awaitable[T]],
    describe: Callable[[], str],
    clock: clock_lib.Clock,
) -> T:
    """Runs work and prints a line to stderr for every two seconds of it.

    Args:
        work: What to run.
        describe: Returns the line.
        clock: Measures the pauses.
    """

    async def repeat() -> None:
        while True:
            await clock.sleep(QUIET_TIME)
            click.echo(describe(), err=True)

    with supervisor_lib.raise_single_error():
        async with anyio.create_task_group() as group:
            group.start_soon(repeat)
            result = await work()
            group.cancel_scope.cancel()
    return result
