"""Entry point of the entry process."""

import pathlib
import sys

import click

from fireflywell import daemon
from fireflywell.entry import entry_process
from fireflywell.entry import settings as entry_settings


@click.command()
@click.argument("settings_file", type=click.Path(path_type=pathlib.Path))
def main(settings_file: pathlib.Path) -> None:
    """Runs an entry with the given TOML settings."""
    sys.exit(
        daemon.run_daemon(
            settings_file,
            entry_settings.EntrySettings,
            entry_process.EntryProcess,
        )
    )


if __name__ == "__main__":
    main()
