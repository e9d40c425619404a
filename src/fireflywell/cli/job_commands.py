"""Commands `fireflywell job ...`."""

import datetime
import secrets

import click

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.cli import fleet_rows
from fireflywell.cli import job_changes
from fireflywell.cli import job_texts
from fireflywell.cli import job_wait
from fireflywell.cli import parameters
from fireflywell.cli import progress
from fireflywell.cli import running
from fireflywell.cli import settings as cli_settings
from fireflywell.fleet import jobs
from fireflywell.infrastructure import records


@click.group()
def job() -> None:
    """Submits, shows, cancels and waits for jobs.

    \b
    Examples:
      fireflywell --config ops.toml job submit --kind reports \\
          --team analytics --cores 2 --memory-mb 4096 --run-time 600 "close 11"
      fireflywell --config ops.toml job list --state unknown
      fireflywell --config ops.toml job wait close-11
    """  # noqa: D301


@job.command()
@click.argument("command")
@click.option("--kind", required=True, help="Kind that pools carry.")
@click.option("--team", required=True, help="Team whose quota it uses.")
@click.option(
    "--cores", required=True, type=parameters.Amount(0), help="Processors."
)
@click.option(
    "--memory-mb",
    required=True,
    type=parameters.Amount(0),
    help="Memory in MB.",
)
@click.option(
    "--accelerators",
    default=0.0,
    show_default=True,
    type=parameters.Amount(0),
    help="Accelerators.",
)
@click.option(
    "--run-time",
    "run_seconds",
    required=True,
    type=parameters.Amount(0, min_open=True),
    help="Expected run time in seconds.",
)
@click.option(
    "--urgency",
    default=jobs.JobUrgency.NORMAL.value,
    show_default=True,
    type=click.Choice([item.value for item in jobs.JobUrgency]),
    help="How it competes for workers.",
)
@click.option(
    "--idempotent",
    "is_idempotent",
    is_flag=True,
    help="A second run does no harm; without this an interrupted job becomes "
    "unknown instead of being started again.",
)
@click.option(
    "--checkpoint",
    "can_checkpoint",
    is_flag=True,
    help="It can be checkpointed and resumed.",
)
@click.option("--zone", default="", help="Only this availability zone.")
@click.option(
    "--deadline", type=parameters.Date(), help="2026-12-31T18:00:00Z."
)
@click.option(
    "--job-id", type=parameters.JobId(), help="Name; random if not given."
)
@click.pass_obj
def submit(
    context: cli_settings.CliContext,
    command: str,
    kind: str,
    team: str,
    cores: float,
    memory_mb: float,
    accelerators: float,
    run_seconds: float,
    urgency: str,
    is_idempotent: bool,
    can_checkpoint: bool,
    zone: str,
    deadline: datetime.datetime | None,
    job_id: str | None,
) -> None:
    """Submits a job; says "accepted" only when its row is in the store.

    Submitting the same again under the same --job-id makes no second job.

    \b
    Example:
      fireflywell --config ops.toml job submit --kind reports \\
          --team analytics --cores 2 --memory-mb 4096 --run-time 600 \\
          --job-id close-11 "close 11"
    """  # noqa: D301
    name = job_id or f"job-{secrets.randbits(64):016x}"
    spec = jobs.JobSpec(
        job_id=name,
        kind=kind,
        team=team,
        command=command,
        declared=records.Resources(cores, memory_mb, accelerators),
        run_seconds=run_seconds,
        urgency=jobs.JobUrgency(urgency),
        is_idempotent=is_idempotent,
        can_checkpoint=can_checkpoint,
        zone=zone,
        deadline=deadline,
        submitted_at=clock_lib.SystemClock().now(),
    )
    _submit(context, spec)


@job.command()
@click.argument("job_id", type=parameters.JobId())
@click.pass_obj
def show(context: cli_settings.CliContext, job_id: str) -> None:
    """Shows one job.

    \b
    Example:
      fireflywell --config ops.toml job show close-11
    """  # noqa: D301

    async def work() -> jobs.JobRecord:
        async with running.connect(context) as connection:
            row = await progress.run_with_progress(
                lambda: job_changes.read_job_row(connection.table, job_id),
                lambda: f"job {job_id}: waiting for the platform",
                connection.clock,
            )
        return fleet_rows.decode_job_row(row)

    record = running.run(work)
    running.print_result(
        context,
        job_texts.make_document(record),
        job_texts.describe_in_full(record),
    )


@job.command(name="list")
@click.option(
    "--state",
    "states",
    multiple=True,
    type=click.Choice([item.value for item in jobs.JobState]),
    help="Only jobs in this state; may be given several times.",
)
@click.option("--team", help="Only jobs of this team.")
@click.pass_obj
def list_jobs(
    context: cli_settings.CliContext, states: tuple[str, ...], team: str | None
) -> None:
    """Lists jobs.

    \b
    Example:
      fireflywell --config ops.toml job list --state queued --state leased
    """  # noqa: D301

    async def work() -> tuple[jobs.JobRecord, ...]:
        async with running.connect(context) as connection:
            return await progress.run_with_progress(
                lambda: fleet_rows.read_jobs(connection.table),
                lambda: "reading the jobs",
                connection.clock,
            )

    found = running.run(work)
    matching = list(job_changes.list_matching(found, states, team))
    running.print_result(
        context,
        [job_texts.make_document(record) for record in matching],
        [job_texts.describe_in_line(record) for record in matching]
        or ["no jobs"],
    )


@job.command()
@click.argument("job_id", type=parameters.JobId())
@click.pass_obj
def cancel(context: cli_settings.CliContext, job_id: str) -> None:
    """Asks the scheduler to cancel a job; `job wait` tells when it has.

    \b
    Example:
      fireflywell --config ops.toml job cancel close-11
    """  # noqa: D301

    async def work() -> jobs.JobRecord:
        async with running.connect(context) as connection:
            return await progress.run_with_progress(
                lambda: job_changes.request_cancel(
                    connection.table, job_id, connection.clock, connection.rng
                ),
                lambda: f"job {job_id}: waiting for the platform",
                connection.clock,
            )

    record = running.run(work)
    running.print_result(
        context,
        {"job_id": job_id, "state": record.state.value},
        [f"job {job_id}: cancellation is recorded; it is {record.state.value}"],
    )


@job.command()
@click.argument("job_id", type=parameters.JobId())
@click.option(
    "--timeout",
    default=60.0,
    show_default=True,
    type=parameters.Amount(0),
    help="Seconds to wait.",
)
@click.pass_obj
def wait(context: cli_settings.CliContext, job_id: str, timeout: float) -> None:
    """Waits until a job has ended; exit code 0 only if it is done.

    \b
    Example:
      fireflywell --config ops.toml job wait close-11 --timeout 3600
    """  # noqa: D301

    async def work() -> jobs.JobRecord:
        async with running.connect(context) as connection:
            return await job_wait.wait_for_end(
                connection.table,
                job_id,
                datetime.timedelta(seconds=timeout),
                connection.clock,
            )

    record = running.run(work)
    running.print_result(
        context,
        job_texts.make_document(record),
        [job_texts.describe_in_line(record)],
    )
    if record.state is not jobs.JobState.DONE:
        click.get_current_context().exit(1)


def _submit(context: cli_settings.CliContext, spec: jobs.JobSpec) -> None:
    name = spec.job_id

    async def work() -> job_changes.SubmittedJob:
        async with running.connect(context) as connection:
            return await progress.run_with_progress(
                lambda: _check_and_submit(connection, spec),
                lambda: f"job {name}: waiting for the platform",
                connection.clock,
            )

    submitted = running.run(work)
    record = submitted.record
    verb = "was already accepted" if submitted.was_known else "is accepted"
    running.print_result(
        context,
        {
            "job_id": name,
            "state": record.state.value,
            "was_known": submitted.was_known,
        },
        [f"job {name} {verb}, {record.state.value}"],
    )


async def _check_and_submit(
    connection: running.Connection, spec: jobs.JobSpec
) -> job_changes.SubmittedJob:
    if spec.deadline is not None and spec.deadline <= spec.submitted_at:
        raise errors.JobRefusedError(
            f"job {spec.job_id} isn't accepted, its deadline {spec.deadline} "
            "has passed; give a later --deadline or none"
        )
    bundle = await fleet_rows.read_bundle(connection)
    reason = job_changes.explain_never_runs(
        bundle,
        spec,
        await connection.machines.list_workers(),
        await fleet_rows.read_vms(connection.table),
    )
    if reason:
        raise errors.JobRefusedError(
            f"job {spec.job_id} isn't accepted, it could never run: {reason}"
        )
    return await job_changes.submit_job(
        connection.table, spec, connection.clock, connection.rng
    )
