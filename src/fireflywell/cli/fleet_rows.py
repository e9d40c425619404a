"""Reads rows of jobs, VMs and leases, and the bundle, for commands."""

from collections.abc import Callable
import json
from typing import TypeVar

from fireflywell import errors
from fireflywell.bundle import acceptance
from fireflywell.bundle import canonical
from fireflywell.bundle import model
from fireflywell.cli import running
from fireflywell.coordination import lease_rows
from fireflywell.fleet import jobs
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables

T = TypeVar("T")

# Jobs are kept in one shard.
JOB_SHARD = "0"


class NoBundleError(errors.BundleError):
    """No bundle is accepted yet."""


def decode_job_row(row: records.Row) -> jobs.JobRecord:
    """Returns the job held by a row.

    Raises:
        PlatformRejectedError: The row doesn't hold a job.
    """
    return _decode(row, jobs.decode_job, "a job")


def decode_vm_row(row: records.Row) -> vm_records.VmRecord:
    """Returns the VM record held by a row.

    Raises:
        PlatformRejectedError: The row doesn't hold one.
    """
    return _decode(row, vm_records.decode_vm_record, "a VM")


def decode_lease_row(row: records.Row) -> lease_rows.LeaseRecord:
    """Returns the lease held by a row.

    Raises:
        PlatformRejectedError: The row doesn't hold a lease.
    """
    return _decode(row, _decode_lease, "a lease")


async def read_jobs(table: tables.Table) -> tuple[jobs.JobRecord, ...]:
    """Returns all jobs in order of their names."""
    page = await tables.scan_all_rows(table, jobs.JOB_PREFIX)
    return tuple(map(decode_job_row, page.rows))


async def read_vms(table: tables.Table) -> tuple[vm_records.VmRecord, ...]:
    """Returns the records of all VMs in order of their names."""
    page = await tables.scan_all_rows(table, vm_records.VM_PREFIX)
    return tuple(map(decode_vm_row, page.rows))


async def read_bundle(connection: running.Connection) -> model.Bundle:
    """Returns the accepted bundle.

    Raises:
        NoBundleError: None is accepted yet.
        BundleError: Its body is missing or another one.
    """
    head = await acceptance.read_head(connection.table)
    if head.record is None:
        raise NoBundleError(
            "no bundle is accepted yet; roll one out with 'fireflywell bundle "
            "rollout'"
        )
    body = await connection.objects.get(acceptance.make_body_name(head.digest))
    if body is None:
        raise errors.BundleError(
            f"the body of version {head.version} isn't in the object store; "
            "roll it out again"
        )
    if canonical.compute_digest(body) != head.digest:
        raise errors.BundleError(
            f"the body of version {head.version} has another digest than its "
            "head; roll it out again"
        )
    return canonical.decode_bundle(body)


def _decode(row: records.Row, decode: Callable[[str], T], kind: str) -> T:
    try:
        return decode(row.value)
    except (ValueError, KeyError, TypeError) as error:
        raise errors.PlatformRejectedError(
            f"row {row.key} doesn't hold {kind} ({error!r}); find out what "
            "wrote it and correct it"
        ) from error


def _decode_lease(value: str) -> lease_rows.LeaseRecord:
    fields = json.loads(value)
    return lease_rows.LeaseRecord(
        str(fields["holder"]), int(fields["token"]), int(fields["renewals"])
    )
