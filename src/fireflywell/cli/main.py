"""Entry point of the operators' command line."""

import pathlib

import click

from fireflywell.cli import bundle_commands
from fireflywell.cli import job_commands
from fireflywell.cli import keygen
from fireflywell.cli import running
from fireflywell.cli import settings as cli_settings
from fireflywell.cli import status_command
from fireflywell.cli import story_command
from fireflywell.cli import vm_commands


@click.group(
    cls=running.CommandGroup,
    epilog='Completion: eval "$(_FIREFLYWELL_COMPLETE=bash_source '
    'fireflywell)"',
)
@click.option(
    "--config",
    type=click.Path(path_type=pathlib.Path),
    envvar="FIREFLYWELL_CONFIG",
    help="TOML settings: platform_url, trust_file, entries.",
)
@click.option("--json", "as_json", is_flag=True, help="Prints data as JSON.")
@click.pass_context
def main(
    context: click.Context, config: pathlib.Path | None, as_json: bool
) -> None:
    """Controls a fleet: bundles, VMs and jobs.

    Exit codes: 0 done, 1 failed or unknown, 2 a mistake of the user.

    \b
    Examples:
      fireflywell keygen alice
      fireflywell bundle check atlas.toml
      fireflywell --config ops.toml bundle show
      fireflywell --config ops.toml status
      fireflywell --config ops.toml vm list
      fireflywell --config ops.toml job list
      fireflywell story fe63dc5dcc1c6a69 node-*.log
    """  # noqa: D301
    context.obj = cli_settings.load_context(config, as_json)


# Other command groups are added here, one line each.
main.add_command(keygen.keygen)
main.add_command(bundle_commands.bundle)
main.add_command(job_commands.job)
main.add_command(status_command.status)
main.add_command(vm_commands.vm)
main.add_command(story_command.story)


if __name__ == "__main__":
    main()
