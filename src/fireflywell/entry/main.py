"""Entry point of the entry process."""

import pathlib
import sys

import anyio
import click

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import process
from fireflywell import settings as settings_lib
from fireflywell.entry import entry_process
from fireflywell.entry import settings as entry_settings


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
        entry = entry_process.EntryProcess(settings, clock_lib.SystemClock())
        await entry.run(stop)

    log_path = pathlib.Path(settings.log_file) if settings.log_file else None
    sys.exit(process.run_process(run, log_path))


if __name__ == "__main__":
    main()
