"""Commands `fireflywell vm ...`."""

import dataclasses
import datetime
from typing import Any

import click

from fireflywell import errors
from fireflywell.cli import fleet_rows
from fireflywell.cli import parameters
from fireflywell.cli import progress
from fireflywell.cli import running
from fireflywell.cli import settings as cli_settings
from fireflywell.fleet import vm_records
from fireflywell.fleet import waves
from fireflywell.infrastructure import records

# What the planner assumes until it has measured a VM.
_TIME_PER_VM_SECONDS = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class VmLine:
    """A VM as the platform lists it and as its row says.

    Attributes:
        vm_id: Name of the VM.
        vm: Entry of the platform's list; None if it isn't listed.
        record: Content of its row; None if it has none.
    """

    vm_id: str
    vm: records.Vm | None
    record: vm_records.VmRecord | None


@click.group()
def vm() -> None:
    """Shows VMs, their pools and the pace of maintenance.

    \b
    Examples:
      fireflywell --config ops.toml vm list --pool reporting
      fireflywell --config ops.toml vm pace
    """  # noqa: D301


@vm.command(name="list")
@click.option("--pool", help="Only VMs of this pool.")
@click.option(
    "--phase",
    type=click.Choice([item.value for item in vm_records.VmPhase]),
    help="Only VMs in this phase.",
)
@click.pass_obj
def list_vms(
    context: cli_settings.CliContext, pool: str | None, phase: str | None
) -> None:
    """Lists VMs with pool, phase, move id and last maintenance.

    \b
    Example:
      fireflywell --config ops.toml vm list --phase draining
    """  # noqa: D301
    found = [
        item for item in _read(context) if _matches(item.record, pool, phase)
    ]
    running.print_result(
        context,
        [_make_document(item) for item in found],
        [_describe(item) for item in found] or ["no VMs"],
    )


@vm.command()
@click.argument("vm_id")
@click.pass_obj
def show(context: cli_settings.CliContext, vm_id: str) -> None:
    """Shows one VM.

    \b
    Example:
      fireflywell --config ops.toml vm show vm1
    """  # noqa: D301
    for item in _read(context):
        if item.vm_id == vm_id:
            running.print_result(
                context, _make_document(item), _describe_in_full(item)
            )
            return
    raise errors.NotFoundError(
        f"VM {vm_id} has no row and isn't in the platform's list; "
        "'fireflywell vm list' shows those that are"
    )


@vm.command()
@click.option(
    "--time-per-vm",
    default=_TIME_PER_VM_SECONDS,
    show_default=True,
    type=parameters.Amount(0, min_open=True),
    help="Seconds from the drain decision until a VM serves again.",
)
@click.pass_obj
def pace(context: cli_settings.CliContext, time_per_vm: float) -> None:
    """Says whether every VM can be maintained in time, and what binds.

    Exit code 1 if it can't.

    \b
    Example:
      fireflywell --config ops.toml vm pace --time-per-vm 300
    """  # noqa: D301

    async def work() -> waves.PaceCheck:
        async with running.connect(context) as connection:
            return await progress.run_with_progress(
                lambda: _check_pace(
                    connection, datetime.timedelta(seconds=time_per_vm)
                ),
                lambda: "reading the VMs",
                connection.clock,
            )

    match running.run(work):
        case waves.PaceMet(needed=needed):
            running.print_result(
                context,
                {"is_met": True, "needed_seconds": needed.total_seconds()},
                [f"met: one pass over all VMs takes {needed}"],
            )
        case waves.PaceMissed(needed=needed, constraint=constraint):
            seconds = None
            if needed != datetime.timedelta.max:
                seconds = needed.total_seconds()
            running.print_result(
                context,
                {
                    "is_met": False,
                    "needed_seconds": seconds,
                    "constraint": constraint,
                },
                [f"missed: {constraint}"],
            )
            click.get_current_context().exit(1)


async def _check_pace(
    connection: running.Connection, time_per_vm: datetime.timedelta
) -> waves.PaceCheck:
    bundle = await fleet_rows.read_bundle(connection)
    assignments = await fleet_rows.read_vms(connection.table)
    if not assignments:
        raise errors.NotFoundError(
            "no VM belongs to a pool yet; the planner assigns them once a "
            "bundle is in force and a control process runs"
        )
    members = {item.vm_id for item in assignments}
    listed = await connection.machines.list_vms()
    # Only VMs with a row are maintained.
    return waves.check_pace(
        bundle,
        tuple(item for item in listed if item.vm_id in members),
        assignments,
        min(time_per_vm, bundle.maintenance.return_timeout),
    )


def _read(context: cli_settings.CliContext) -> tuple[VmLine, ...]:
    async def read(connection: running.Connection) -> tuple[VmLine, ...]:
        found = await fleet_rows.read_vms(connection.table)
        listed = await connection.machines.list_vms()
        by_row = {item.vm_id: item for item in found}
        by_list = {item.vm_id: item for item in listed}
        return tuple(
            VmLine(name, by_list.get(name), by_row.get(name))
            for name in sorted({*by_row, *by_list})
        )

    async def work() -> tuple[VmLine, ...]:
        async with running.connect(context) as connection:
            return await progress.run_with_progress(
                lambda: read(connection),
                lambda: "reading the VMs",
                connection.clock,
            )

    return running.run(work)


def _matches(
    record: vm_records.VmRecord | None, pool: str | None, phase: str | None
) -> bool:
    if record is None:
        return pool is None and phase is None
    return pool in (None, record.pool) and phase in (None, record.phase.value)


def _make_document(item: VmLine) -> dict[str, Any]:
    return {
        "vm_id": item.vm_id,
        "listed": dataclasses.asdict(item.vm) if item.vm else None,
        "record": dataclasses.asdict(item.record) if item.record else None,
    }


def _describe(item: VmLine) -> str:
    parts = [item.vm_id]
    if item.record is None:
        parts.append("no pool")
    else:
        parts += [item.record.pool, item.record.phase.value]
        if item.record.target_pool:
            parts.append(f"to {item.record.target_pool}")
        if item.record.move_id:
            parts.append(f"move {item.record.move_id}")
        parts.append(f"maintained {_say_when(item.record.maintained_at)}")
    if item.vm is None:
        parts.append("not listed by the platform")
    else:
        parts.append(f"{item.vm.zone}/{item.vm.rack} {item.vm.state.value}")
    return "  ".join(parts)


def _describe_in_full(item: VmLine) -> list[str]:
    lines = [f"VM {item.vm_id}"]
    if item.record is None:
        lines.append("pool none: it has no row")
    else:
        lines += [
            f"pool {item.record.pool}",
            f"phase {item.record.phase.value}",
            f"move {item.record.move_id or 'none'}",
            f"target pool {item.record.target_pool or 'none'}",
            f"maintained {_say_when(item.record.maintained_at)}",
        ]
    if item.vm is None:
        return [*lines, "not listed by the platform"]
    return [
        *lines,
        f"address {item.vm.address}, zone {item.vm.zone}, rack {item.vm.rack}",
        f"platform {item.vm.state.value}, boot {item.vm.boot}",
    ]


def _say_when(seconds: int) -> str:
    if not seconds:
        return "never"
    return datetime.datetime.fromtimestamp(seconds, datetime.UTC).isoformat()
