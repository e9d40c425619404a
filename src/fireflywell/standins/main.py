"""Entry point of the stand-in process."""

import pathlib
import random
import sys

import anyio
import click

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import process
from fireflywell import settings as settings_lib
from fireflywell.standins import deployment as deployment_lib
from fireflywell.standins import settings as standin_settings


@click.command()
@click.argument("settings_file", type=click.Path(path_type=pathlib.Path))
def main(settings_file: pathlib.Path) -> None:
    """Runs the platform and all instances of a deployment as stand-ins."""
    try:
        settings = settings_lib.load_settings(
            settings_file, standin_settings.StandinSettings
        )
        deployment = deployment_lib.Deployment(
            settings, clock_lib.SystemClock(), random.Random()
        )
    except errors.SettingsError as error:
        click.echo(f"error: {error}", err=True)
        sys.exit(process.EXIT_USAGE)

    async def run(stop: anyio.Event) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(deployment.run)
            await stop.wait()
            group.cancel_scope.cancel()

    log_path = pathlib.Path(settings.log_file) if settings.log_file else None
    sys.exit(process.run_process(run, log_path))


if __name__ == "__main__":
    main()
