"""Entry point of the load generator."""

import dataclasses
import datetime
import json
import pathlib
import sys
from typing import Any
from typing import TextIO

import anyio
import click

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import process
from fireflywell import settings as settings_lib
from fireflywell import sniffio_workaround
from fireflywell.loadtool import plan as plan_lib

_NO_HISTOGRAM = (
    "the load generator needs the package hdrhistogram; install the extra "
    "fireflywell[bench]"
)


@click.command()
@click.argument("plan_file", type=click.Path(path_type=pathlib.Path))
@click.option("--target", "targets", multiple=True, help="Replaces the plan's.")
@click.option("--seconds", type=float, help="Replaces the plan's duration.")
@click.option("--count", type=int, help="Replaces the plan's count.")
@click.option("--seed", type=int, help="Replaces the plan's seed.")
@click.option("--json", "as_json", is_flag=True, help="Prints JSON.")
@click.option(
    "--samples",
    "samples_file",
    type=click.Path(path_type=pathlib.Path),
    help="File for one JSON line for each request.",
)
def main(
    plan_file: pathlib.Path,
    targets: tuple[str, ...],
    seconds: float | None,
    count: int | None,
    seed: int | None,
    as_json: bool,
    samples_file: pathlib.Path | None,
) -> None:
    """Sends the load that PLAN_FILE describes and prints what became of it."""
    try:
        document = settings_lib.read_toml(plan_file)
        replaced = {
            "targets": list(targets) or None,
            "duration": seconds,
            "count": count,
            "seed": seed,
        }
        document.update(
            (name, value)
            for name, value in replaced.items()
            if value is not None
        )
        plan = settings_lib.parse_settings(
            document, plan_lib.Plan, str(plan_file)
        )
        plan_lib.check_plan(plan)
    except errors.SettingsError as error:
        click.echo(f"error: {error}", err=True)
        sys.exit(process.EXIT_USAGE)
    try:
        _run_and_print(plan, as_json, samples_file)
    except ImportError:
        click.echo(f"error: {_NO_HISTOGRAM}", err=True)
        sys.exit(process.EXIT_USAGE)
    except OSError as error:
        click.echo(f"error: {error}; check the file's path", err=True)
        sys.exit(process.EXIT_USAGE)


def _run_and_print(
    plan: plan_lib.Plan, as_json: bool, samples_file: pathlib.Path | None
) -> None:
    # Imported here because hdrhistogram is an optional package.
    from fireflywell.loadtool import report
    from fireflywell.loadtool import sender as sender_lib

    recorders = {
        flow.name: report.FlowRecorder(flow.name) for flow in plan.flows
    }
    output: TextIO | None = samples_file.open("w") if samples_file else None

    def note(sample: report.Sample) -> None:
        recorders[sample.flow].add(sample)
        if output is not None:
            output.write(json.dumps(_encode_sample(sample)) + "\n")

    sniffio_workaround.mark_sniffio_missing()
    sender = sender_lib.LoadSender(plan, clock_lib.SystemClock(), note)
    try:
        anyio.run(sender.run)
    finally:
        if output is not None:
            output.close()
    summaries = tuple(item.summarize() for item in recorders.values())
    if as_json:
        flows = [dataclasses.asdict(summary) for summary in summaries]
        click.echo(json.dumps({"flows": flows, "sent_late": sender.sent_late}))
        return
    for line in report.format_table(summaries):
        click.echo(line)
    click.echo(f"sent over 20 ms late by the generator: {sender.sent_late}")


def _encode_sample(sample: Any) -> dict[str, Any]:
    document = dataclasses.asdict(sample)
    document["latency"] = sample.latency / datetime.timedelta(milliseconds=1)
    return document


if __name__ == "__main__":
    main()
