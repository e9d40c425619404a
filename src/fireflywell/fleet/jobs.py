"""Jobs: specification, state and encoding as rows of the table."""

import dataclasses
import datetime
import enum
import json

from fireflywell.infrastructure import records

JOB_PREFIX = "job/"


class JobUrgency(enum.StrEnum):
    """Priority class of a job in placement and preemption."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


class JobState(enum.StrEnum):
    """State of a job between its submission and its end."""

    QUEUED = "queued"
    LEASED = "leased"
    DONE = "done"
    FAILED = "failed"
    SET_ASIDE = "set_aside"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


ENDED_STATES = frozenset(
    (
        JobState.DONE,
        JobState.FAILED,
        JobState.SET_ASIDE,
        JobState.CANCELLED,
        JobState.UNKNOWN,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """Specification of a job, as an operator or a team submits it.

    Attributes:
        job_id: Unique name.
        kind: Kind that pools name in `carries`.
        team: Team whose quota the job uses.
        command: Text passed to the worker.
        declared: Declared size; observed sizes of the kind take precedence.
        run_seconds: Declared run time; observed ones take precedence.
        urgency: Priority class in placement and preemption.
        is_idempotent: Whether a second run does no harm.
        can_checkpoint: Whether it can be checkpointed and resumed.
        zone: Only this availability zone; empty for any.
        deadline: Time by which it must have ended, such as a monthly close;
            None for no deadline.
        submitted_at: Time when it was accepted.
    """

    job_id: str
    kind: str
    team: str
    command: str
    declared: records.Resources
    run_seconds: float
    urgency: JobUrgency = JobUrgency.NORMAL
    is_idempotent: bool = True
    can_checkpoint: bool = False
    zone: str = ""
    deadline: datetime.datetime | None = None
    submitted_at: datetime.datetime = datetime.datetime.fromtimestamp(
        0, datetime.UTC
    )


@dataclasses.dataclass(frozen=True, slots=True)
class JobRecord:
    """A job with its state, as stored in its row.

    Attributes:
        spec: Specification of the job.
        state: State of the job.
        attempt: Number of the last attempt; 0 before the first.
        worker_id: Worker of the attempt; empty if none.
        failures: Attempts that failed.
        failed_workers: Workers on which attempts failed.
        is_cancel_requested: Whether an operator asked to cancel it.
        reason: Why it is in its state, for operators.
    """

    spec: JobSpec
    state: JobState = JobState.QUEUED
    attempt: int = 0
    worker_id: str = ""
    failures: int = 0
    failed_workers: tuple[str, ...] = ()
    is_cancel_requested: bool = False
    reason: str = ""

    @property
    def is_ended(self) -> bool:
        """Whether the job has ended and will not run again."""
        return self.state in ENDED_STATES


def make_job_key(shard: str, job_id: str) -> str:
    """Returns the row key of a job."""
    return f"{JOB_PREFIX}{shard}/{job_id}"


def encode_job(record: JobRecord) -> str:
    """Returns a job's record as JSON text for its row."""
    document = dataclasses.asdict(record)
    spec = document["spec"]
    deadline = record.spec.deadline
    spec["deadline"] = deadline.isoformat() if deadline else None
    spec["submitted_at"] = record.spec.submitted_at.isoformat()
    return json.dumps(document)


def decode_job(value: str) -> JobRecord:
    """Returns the job's record from the text of its row.

    Raises:
        ValueError: The text isn't valid JSON or holds an invalid value.
    """
    document = json.loads(value)
    spec = document["spec"]
    deadline = spec["deadline"]
    return JobRecord(
        spec=JobSpec(
            job_id=spec["job_id"],
            kind=spec["kind"],
            team=spec["team"],
            command=spec["command"],
            declared=records.Resources(**spec["declared"]),
            run_seconds=spec["run_seconds"],
            urgency=JobUrgency(spec["urgency"]),
            is_idempotent=spec["is_idempotent"],
            can_checkpoint=spec["can_checkpoint"],
            zone=spec["zone"],
            deadline=(
                datetime.datetime.fromisoformat(deadline) if deadline else None
            ),
            submitted_at=datetime.datetime.fromisoformat(spec["submitted_at"]),
        ),
        state=JobState(document["state"]),
        attempt=document["attempt"],
        worker_id=document["worker_id"],
        failures=document["failures"],
        failed_workers=tuple(document["failed_workers"]),
        is_cancel_requested=document["is_cancel_requested"],
        reason=document["reason"],
    )
