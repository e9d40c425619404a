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


class JobStarts:
    """First starts that haven't been logged yet."""

    __slots__ = ("_items",)

    def __init__(self) -> None:
        self._items: list[JobStart] = []

    def record(self, item: JobStart) -> None:
        """Records the first start of a job."""
        self._items.append(item)

    def take(self) -> list[JobStart]:
        """Removes and returns the recorded ones."""
        items, self._items = self._items, []
        return items
