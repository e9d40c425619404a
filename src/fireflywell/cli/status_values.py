"""What `fireflywell status` found, and what of it needs attention."""

import collections
from collections.abc import Iterator
import dataclasses

from fireflywell.bundle import model
from fireflywell.fleet import jobs
from fireflywell.fleet import vm_records


@dataclasses.dataclass(frozen=True, slots=True)
class EntryReport:
    """What one entry answered.

    Attributes:
        address: Base address.
        is_answering: Whether it answered.
        bundle_version: Version in force there.
        reason: Why it isn't ready; empty if it is.
        leaving: Whether it is stopping.
        ejected: Instances that it has ejected.
        silent_peers: Peers that it doesn't hear.
    """

    address: str
    is_answering: bool
    bundle_version: int = 0
    reason: str = ""
    leaving: bool = False
    ejected: tuple[str, ...] = ()
    silent_peers: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RoleReport:
    """Holder of a role as its lease row says; empty after a release."""

    role: str
    holder: str
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class PoolCount:
    """VMs of one pool in one phase."""

    pool: str
    phase: str
    vms: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobCount:
    """Jobs in one state."""

    state: str
    jobs: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReport:
    """What the platform's store holds.

    Attributes:
        bundle: The accepted bundle; None if there is none.
        roles: Leases.
        vms: Records of VMs.
        unlisted: VMs with a row that the platform doesn't list.
        jobs: Jobs.
    """

    bundle: model.Bundle | None
    roles: tuple[RoleReport, ...]
    vms: tuple[vm_records.VmRecord, ...]
    unlisted: tuple[str, ...]
    jobs: tuple[jobs.JobRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SystemReport:
    """Everything that a status shows.

    Attributes:
        entries: Entries of the settings file.
        store: What the store holds; None if it can't be read.
        store_error: Why it can't be read; empty if it was.
    """

    entries: tuple[EntryReport, ...]
    store: StoreReport | None
    store_error: str = ""


def count_vms(vms: tuple[vm_records.VmRecord, ...]) -> tuple[PoolCount, ...]:
    """Returns the number of VMs by pool and phase."""
    counts = collections.Counter((item.pool, item.phase.value) for item in vms)
    return tuple(
        PoolCount(pool, phase, counts[pool, phase])
        for pool, phase in sorted(counts)
    )


def count_jobs(found: tuple[jobs.JobRecord, ...]) -> tuple[JobCount, ...]:
    """Returns the number of jobs by state."""
    counts = collections.Counter(item.state for item in found)
    return tuple(
        JobCount(state.value, counts[state])
        for state in jobs.JobState
        if counts[state]
    )


def list_problems(report: SystemReport) -> Iterator[str]:
    """Yields what needs an operator's attention."""
    accepted = 0
    if report.store_error:
        yield f"the platform: {report.store_error}"
    if report.store is not None:
        if report.store.bundle is not None:
            accepted = report.store.bundle.version
        yield from _list_store_problems(report.store)
    for entry in report.entries:
        yield from _list_entry_problems(entry, accepted)


def _list_entry_problems(entry: EntryReport, accepted: int) -> Iterator[str]:
    name = f"entry {entry.address}"
    if not entry.is_answering:
        yield f"{name} doesn't answer"
        return
    if entry.reason:
        yield f"{name} isn't ready: {entry.reason}"
    if entry.bundle_version < accepted:
        yield (
            f"{name} has bundle {entry.bundle_version}, accepted is {accepted}"
        )
    if entry.ejected:
        yield f"{name} has ejected {', '.join(entry.ejected)}"
    if entry.silent_peers:
        yield f"{name} doesn't hear {', '.join(entry.silent_peers)}"


def _list_store_problems(store: StoreReport) -> Iterator[str]:
    if store.bundle is None:
        yield "no bundle is accepted yet"
    if not store.roles:
        yield "no control process has ever held a role"
    for role in store.roles:
        if not role.holder:
            yield f"nobody holds role {role.role}"
    if store.unlisted:
        yield f"the platform doesn't list {', '.join(store.unlisted)}"
    for pool in store.bundle.pools if store.bundle else ():
        vms = sum(item.pool == pool.name for item in store.vms)
        wanted = pool.target_vms
        if pool.minimum_vms is not None:
            wanted = min(wanted, pool.minimum_vms)
        if vms < wanted:
            yield f"pool {pool.name} has {vms} VMs of {wanted}"
    for count in count_jobs(store.jobs):
        if count.state in (jobs.JobState.UNKNOWN, jobs.JobState.SET_ASIDE):
            yield f"{count.jobs} jobs are {count.state}"
