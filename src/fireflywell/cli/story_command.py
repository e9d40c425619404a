"""The command that tells a job's story from saved logs."""

import dataclasses
import json
import pathlib

import click

from fireflywell import errors
from fireflywell.cli import settings as cli_settings
from fireflywell.cli import story as story_lib


@click.command()
@click.argument("job_id")
@click.argument(
    "logs",
    nargs=-1,
    required=True,
    type=click.Path(path_type=pathlib.Path, exists=True, dir_okay=False),
)
@click.option(
    "--around",
    is_flag=True,
    help="Also shows changes of owners, store and workers meanwhile.",
)
@click.pass_obj
def story(
    context: cli_settings.CliContext,
    job_id: str,
    logs: tuple[pathlib.Path, ...],
    around: bool,
) -> None:
    """Prints what the nodes' logs say of a job, in order of time.

    Each file is the standard output of one node, or of several with the node's
    name before each line. No connection is needed.

    \b
    Example:
      fireflywell story fe63dc5dcc1c6a69 node-*.log --around
    """  # noqa: D301
    lines = [line for path in logs for line in _read_file(path)]
    found = story_lib.tell_story(job_id, lines, with_surroundings=around)
    if context.as_json:
        items = [dataclasses.asdict(line) for line in found.lines]
        click.echo(json.dumps({"job": job_id, "lines": items}))
    if not found.lines:
        raise errors.NotFoundError(
            f"no line of {len(logs)} logs names job {job_id}; check the id, "
            "and whether the logs of all nodes and of that time are there"
        )
    if not context.as_json:
        _print_story(found)


def _read_file(path: pathlib.Path) -> list[story_lib.LogLine]:
    with path.open(encoding="utf-8", errors="replace") as lines:
        return list(story_lib.read_log(path.stem, lines))


def _print_story(found: story_lib.Story) -> None:
    first_s = found.lines[0].at_s
    width = max(len(line.source) for line in found.lines)
    for line in found.lines:
        click.echo(
            f"{line.at_s - first_s:9.3f} s  {line.source:<{width}}  "
            f"{line.event:<24} {line.describe()}"
        )
