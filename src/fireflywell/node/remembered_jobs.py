"""Remembers where jobs were stored, so that few calls find them again."""

import collections
import dataclasses
import datetime

from fireflywell import clock as clock_lib
from fireflywell.coordination import row_store
from fireflywell.node import tables

# Number of jobs that are remembered.
_MAX_JOBS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class JobLocation:
    """Where a job is stored.

    Attributes:
        queue: Queue that the caller named. Queues may use the same ids.
        job_id: The job.
        service: Service in whose partition the submission is stored.
        version: Version of the submission's row, which is never changed.
    """

    queue: str
    job_id: str
    service: str
    version: int

    @property
    def row_key(self) -> row_store.RowKey:
        """Key of the submission's row."""
        return tables.locate_job(self.service, self.job_id)


@dataclasses.dataclass(frozen=True, slots=True)
class _RememberedJob:
    """A job that was stored or found.

    Attributes:
        location: Where it was stored.
        kept_until: Monotonic time up to which it can't have been removed.
    """

    location: JobLocation
    kept_until: datetime.timedelta


class RememberedJobs:
    """The locations of recently used jobs, and until when they are certain.

    An owner removes a job some time after it has ended, so a location by itself
    doesn't tell that the job exists.
    """

    __slots__ = ("_clock", "_jobs", "_retention")

    def __init__(
        self, clock: clock_lib.Clock, retention: datetime.timedelta
    ) -> None:
        """Creates an instance that remembers no jobs.

        Args:
            clock: The clock.
            retention: Shortest time for which a finished job is kept.
        """
        self._clock = clock
        self._retention = retention
        # By queue and id.
        self._jobs: collections.OrderedDict[tuple[str, str], _RememberedJob] = (
            collections.OrderedDict()
        )

    def find(self, queue: str, job_id: str) -> JobLocation | None:
        """Returns where a job was stored, or None if it isn't remembered."""
        remembered = self._jobs.get((queue, job_id))
        return remembered.location if remembered else None

    def is_kept(self, queue: str, job_id: str) -> bool:
        """Returns whether a job can't have been removed yet."""
        remembered = self._jobs.get((queue, job_id))
        return (
            remembered is not None
            and self._clock.monotonic() < remembered.kept_until
        )

    def add(self, location: JobLocation) -> None:
        """Remembers a job that may be removed at any time."""
        self._add(location, self._clock.monotonic())

    def add_unfinished(self, location: JobLocation) -> None:
        """Remembers a job that was found without a final state.

        It is therefore kept for the retention time at least. Owners keep jobs
        half as long again, which covers a read that is behind.
        """
        self._add(location, self._clock.monotonic() + self._retention)

    def _add(
        self, location: JobLocation, kept_until: datetime.timedelta
    ) -> None:
        key = (location.queue, location.job_id)
        self._jobs[key] = _RememberedJob(location, kept_until)
        if len(self._jobs) > _MAX_JOBS:
            self._jobs.popitem(last=False)
