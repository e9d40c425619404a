"""Entry point of the control process."""

import pathlib
import sys

import click

from fireflywell import daemon
from fireflywell.control import control_process
from fireflywell.control import settings as control_settings


@click.command()
@click.argument("settings_file", type=click.Path(path_type=pathlib.Path))
def main(settings_file: pathlib.Path) -> None:
    """Runs a control process with the settings of a TOML file."""
    sys.exit(
        daemon.run_daemon(
            settings_file,
            control_settings.ControlSettings,
            control_process.ControlProcess,
        )
    )


if __name__ == "__main__":
    main()
