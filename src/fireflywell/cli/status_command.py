"""Command `fireflywell status`."""

from collections.abc import Iterator
import dataclasses
from typing import Any

import anyio
import click
import httpcore

from fireflywell import errors
from fireflywell.cli import entry_pages
from fireflywell.cli import fleet_rows
from fireflywell.cli import progress
from fireflywell.cli import running
from fireflywell.cli import settings as cli_settings
from fireflywell.cli import status_values
from fireflywell.coordination import lease_rows
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables
from fireflywell.supervision import supervisor as supervisor_lib


@click.command()
@click.pass_obj
def status(context: cli_settings.CliContext) -> None:
    """Shows entries, roles, VMs and jobs, and what needs attention.

    The first line says whether anything does; exit code 1 if so.

    \b
    Example:
      fireflywell --config ops.toml status
    """  # noqa: D301

    async def work() -> status_values.SystemReport:
        async with running.connect(context) as connection:
            return await progress.run_with_progress(
                lambda: _collect(connection, context.settings.entries),
                lambda: "waiting for the platform and the entries",
                connection.clock,
            )

    report = running.run(work)
    problems = list(status_values.list_problems(report))
    running.print_result(
        context,
        _make_document(report, problems),
        list(_describe(report, problems)),
    )
    if problems:
        click.get_current_context().exit(1)


async def _collect(
    connection: running.Connection, addresses: tuple[str, ...]
) -> status_values.SystemReport:
    entries: list[status_values.EntryReport] = []

    async def ask(pool: httpcore.AsyncConnectionPool, address: str) -> None:
        entries.append(await _ask_entry(pool, address))

    store, error = None, ""
    with supervisor_lib.raise_single_error():
        async with (
            httpcore.AsyncConnectionPool() as pool,
            anyio.create_task_group() as group,
        ):
            for address in addresses:
                group.start_soon(ask, pool, address)
            try:
                store = await _read_store(connection)
            except (errors.PlatformError, errors.BundleError) as found:
                error = str(found)
    entries.sort(key=lambda item: item.address)
    return status_values.SystemReport(tuple(entries), store, error)


async def _read_store(
    connection: running.Connection,
) -> status_values.StoreReport:
    try:
        bundle = await fleet_rows.read_bundle(connection)
    except fleet_rows.NoBundleError:
        bundle = None
    vms = await fleet_rows.read_vms(connection.table)
    listed = {item.vm_id for item in await connection.machines.list_vms()}
    page = await tables.scan_all_rows(connection.table, lease_rows.LEASE_PREFIX)
    return status_values.StoreReport(
        bundle=bundle,
        roles=tuple(map(_read_role, page.rows)),
        vms=vms,
        unlisted=tuple(v.vm_id for v in vms if v.vm_id not in listed),
        jobs=await fleet_rows.read_jobs(connection.table),
    )


def _read_role(row: records.Row) -> status_values.RoleReport:
    record = fleet_rows.decode_lease_row(row)
    role = row.key.removeprefix(lease_rows.LEASE_PREFIX)
    return status_values.RoleReport(role, record.holder, record.token)


async def _ask_entry(
    pool: httpcore.AsyncConnectionPool, address: str
) -> status_values.EntryReport:
    document = await entry_pages.fetch_entry_status(pool, address)
    if document is not None:
        try:
            return _decode_entry(address, document)
        except (KeyError, TypeError, ValueError):
            pass
    return status_values.EntryReport(address, is_answering=False)


def _decode_entry(
    address: str, document: dict[str, Any]
) -> status_values.EntryReport:
    return status_values.EntryReport(
        address=address,
        is_answering=True,
        bundle_version=int(document["bundle_version"]),
        reason=str(document["reason"]),
        leaving=bool(document["leaving"]),
        ejected=tuple(
            str(name)
            for service in document["services"]
            for name in service["ejected"]
        ),
        silent_peers=tuple(
            f"{peer['address']} ({peer['state']})"
            for peer in document["peers"]
            if peer["state"] != "alive"
        ),
    )


def _make_document(
    report: status_values.SystemReport, problems: list[str]
) -> dict[str, Any]:
    store = report.store
    return {
        "needs_attention": problems,
        "entries": [dataclasses.asdict(item) for item in report.entries],
        "store": store
        and {
            "bundle_version": store.bundle.version if store.bundle else 0,
            "roles": [dataclasses.asdict(item) for item in store.roles],
            "vms": [
                dataclasses.asdict(item)
                for item in status_values.count_vms(store.vms)
            ],
            "jobs": [
                dataclasses.asdict(item)
                for item in status_values.count_jobs(store.jobs)
            ],
        },
    }


def _describe(
    report: status_values.SystemReport, problems: list[str]
) -> Iterator[str]:
    if problems:
        yield f"needs attention: {len(problems)}"
        yield from (f"! {problem}" for problem in problems)
    else:
        yield "ok: nothing needs attention"
    for entry in report.entries:
        yield f"entry {entry.address}: {_describe_entry(entry)}"
    if not report.entries:
        yield "entries: none in the settings"
    store = report.store
    if store is None:
        yield "bundle, roles, VMs and jobs: not known"
        return
    yield f"bundle: version {store.bundle.version if store.bundle else 0}"
    for role in store.roles:
        yield f"role {role.role}: {role.holder or 'free'}, token {role.token}"
    for vms in status_values.count_vms(store.vms):
        yield f"pool {vms.pool}: {vms.vms} {vms.phase}"
    for jobs in status_values.count_jobs(store.jobs):
        yield f"jobs {jobs.state}: {jobs.jobs}"


def _describe_entry(entry: status_values.EntryReport) -> str:
    if not entry.is_answering:
        return "no answer"
    state = "leaving" if entry.leaving else "ready"
    if entry.reason and not entry.leaving:
        state = "not ready"
    return f"{state}, bundle {entry.bundle_version}"
