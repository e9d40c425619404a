"""Describes jobs to readers and programs."""

import json
from typing import Any

from fireflywell.fleet import jobs


def make_document(record: jobs.JobRecord) -> Any:
    """Returns a job as a JSON document."""
    return json.loads(jobs.encode_job(record))


def describe_in_line(record: jobs.JobRecord) -> str:
    """Returns a job as one line of a list."""
    parts = [record.spec.job_id, record.state.value, record.spec.kind]
    parts += [record.spec.team, record.spec.urgency.value]
    if record.worker_id:
        parts.append(f"on {record.worker_id}")
    if record.is_cancel_requested and not record.is_ended:
        parts.append("cancellation requested")
    line = "  ".join(parts)
    return f"{line}: {record.reason}" if record.reason else line


def describe_in_full(record: jobs.JobRecord) -> list[str]:
    """Returns all that is known of a job."""
    spec, size = record.spec, record.spec.declared
    deadline = spec.deadline.isoformat() if spec.deadline else "none"
    return [
        f"job {spec.job_id}: {record.state.value}",
        f"reason {record.reason or 'none'}",
        f"kind {spec.kind}, team {spec.team}, {spec.urgency.value}",
        f"command {spec.command}",
        f"declared {size.cores:g} cores, {size.memory_mb:g} MB, "
        f"{size.accelerators:g} accelerators, {spec.run_seconds:g} s",
        f"idempotent {_say(spec.is_idempotent)}, "
        f"checkpoint {_say(spec.can_checkpoint)}, zone {spec.zone or 'any'}",
        f"submitted {spec.submitted_at.isoformat()}, deadline {deadline}",
        f"attempt {record.attempt} on {record.worker_id or 'no worker'}, "
        f"{record.failures} failed",
        f"cancellation requested {_say(record.is_cancel_requested)}",
    ]


def _say(value: bool) -> str:
    return "yes" if value else "no"
