"""Promises that a soak checks from what callers and workers have seen."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

from tools import soak_clients
from tools import soak_spans

from fireflywell.standins import emulator_values as values

# A job that was cancelled starts no unit later than this after the
# acknowledgement, unless the order had been sent before.
CANCEL_BOUND_S = 3.0

# Orders that are under way may be this late: a link holds them up for as long
# as the longest fault lasts.
_HELD_UP_S = 4.5

_DONE = "done"


def find_broken_promises(
    jobs: Iterable[soak_clients.JobRecord],
    records: values.Records,
    stale: Sequence[soak_spans.Span] = (),
) -> list[str]:
    """Returns what contradicts the promises, one line for each finding.

    Args:
        jobs: What clients know of their jobs.
        records: What the workers have seen.
        stale: When the store's state may be unknown to nodes. The users' rule
            on starts after a cancellation holds only for nodes with a store
            without disruption.
    """
    listed = {job.job_id: job for job in jobs}
    findings = [
        f"job {job.job_id}: {fault}"
        for job in listed.values()
        for fault in job.faults
    ]
    findings.extend(
        f"job {job.job_id}: accepted, and shown as unknown at {at_s:.2f}"
        for job in listed.values()
        for at_s in job.unknown_s
    )
    findings.extend(_check_jobs(listed, records, stale))
    findings.extend(_check_runs(records))
    return findings


def list_unfinished(
    jobs: Iterable[soak_clients.JobRecord], records: values.Records
) -> list[str]:
    """Returns what is still to come: ends of jobs, units to start or stop."""
    active = collections.Counter(
        name.partition(".")[0] for name in records.active
    )
    unfinished = []
    for job in jobs:
        if job.accepted_s is None and not job.may_have_run:
            continue
        running = active[job.job_id]
        if job.cancelled_s is not None:
            if running:
                unfinished.append(f"job {job.job_id}: cancelled, still runs")
        elif job.cancel_sent_s is not None or job.accepted_s is None:
            continue
        elif job.is_long_running:
            if running != job.units:
                unfinished.append(
                    f"job {job.job_id}: {running} of {job.units} units at work"
                )
        elif job.state != "completed":
            unfinished.append(f"job {job.job_id}: shown as {job.state!r}")
    return unfinished


def _check_jobs(
    jobs: dict[str, soak_clients.JobRecord],
    records: values.Records,
    stale: Sequence[soak_spans.Span],
) -> Iterator[str]:
    for start in records.starts:
        job_id = start.unit.partition(".")[0]
        job = jobs.get(job_id)
        if job is None:
            yield f"unit {start.unit} of a job that nobody submitted"
        elif job.accepted_s is None and not job.may_have_run:
            yield f"unit {start.unit} started, but its job was refused"
        elif job.is_unknown and job.accepted_s is None:
            yield (
                f"unit {start.unit} started, but the cancellation of its job "
                "was answered that no such job exists"
            )
        elif job.cancelled_s is not None:
            late = soak_spans.Span(job.cancelled_s, start.at_s)
            late_s = soak_spans.measure(late, stale)
            if late_s > CANCEL_BOUND_S + _HELD_UP_S:
                yield (
                    f"unit {start.unit} started {late_s:.2f} s after its job "
                    "was cancelled"
                )
    for job in jobs.values():
        if job.state in ("failed", "cancelled") and job.cancel_sent_s is None:
            yield f"job {job.job_id} is shown as {job.state} without a cause"


def _check_runs(records: values.Records) -> Iterator[str]:
    ends = {(end.life, end.unit, end.run): end for end in records.ends}
    by_unit: dict[str, list[values.StartSeen]] = {}
    for start in sorted(records.starts, key=lambda item: item.at_s):
        by_unit.setdefault(start.unit, []).append(start)
    for unit, starts in by_unit.items():
        for earlier, later in zip(starts, starts[1:], strict=False):
            end = ends.get((earlier.life, unit, earlier.run))
            if end is None or end.at_s > later.at_s:
                yield (
                    f"unit {unit} runs twice: run {earlier.run} on "
                    f"{earlier.life} until {end.at_s if end else 'now'}, run "
                    f"{later.run} on {later.life} from {later.at_s}"
                )
            elif end.kind == _DONE and end.is_noted:
                yield (
                    f"unit {unit} started again after it was done: run "
                    f"{earlier.run} on {earlier.life} until {end.at_s}, run "
                    f"{later.run} on {later.life} from {later.at_s}"
                )
