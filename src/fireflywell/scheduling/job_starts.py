"""First starts of jobs, and what an owner concludes them from."""

import dataclasses
import enum


class StartEvidence(enum.StrEnum):
    """What shows that a worker has begun a unit.

    A start that is queued, refused or without an answer shows nothing.
    """

    ANSWER = "answer"  # The worker accepted the start.
    REPORT = "report"  # The worker lists the run.
    END = "end"  # The worker lists the run's end.


@dataclasses.dataclass(frozen=True, slots=True)
class JobStart:
    """The first start of a job that this owner has learned of.

    Attributes:
        job_id: The job.
        unit: Name of the unit.
        run: Number of the run.
        worker_id: The worker.
        evidence: What shows the start.
    """

    job_id: str
    unit: str
    run: int
    worker_id: str
    evidence: StartEvidence
