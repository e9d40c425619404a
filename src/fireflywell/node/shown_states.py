"""Remembers the states of jobs that callers were told."""

import collections
import dataclasses
import datetime

from fireflywell import clock as clock_lib
from fireflywell.scheduling import jobs as jobs_lib

# Number of jobs that are remembered.
_MAX_JOBS = 4096

# No state changes to an earlier one, and no final state to another.
_ORDER = {
    jobs_lib.JobState.QUEUED: 0,
    jobs_lib.JobState.RUNNING: 1,
    jobs_lib.JobState.COMPLETED: 2,
    jobs_lib.JobState.FAILED: 2,
    jobs_lib.JobState.CANCELLED: 2,
}


@dataclasses.dataclass(frozen=True, slots=True)
class _ShownState:
    """The latest state of a job that callers were told.

    Attributes:
        state: The state.
        version: Version of the row that tells it.
        read_at: Monotonic time at which it was last read.
    """

    state: jobs_lib.JobState
    version: int
    read_at: datetime.timedelta


class ShownStates:
    """The latest known state of each recently used job.

    A read of the store may show an earlier state than the one before it. What
    callers are told never goes back to it.
    """

    __slots__ = ("_clock", "_retention", "_shown")

    def __init__(
        self, clock: clock_lib.Clock, retention: datetime.timedelta
    ) -> None:
        """Creates an instance that remembers no states.

        Args:
            clock: The clock.
            retention: How long a state is used after it was read. The job may
                be removed after that, and its id used again.
        """
        self._clock = clock
        self._retention = retention
        # By queue and id.
        self._shown: collections.OrderedDict[tuple[str, str], _ShownState] = (
            collections.OrderedDict()
        )

    def find(self, queue: str, job_id: str) -> jobs_lib.JobState | None:
        """Returns the latest known state of a job, or None."""
        shown = self._shown.get((queue, job_id))
        if shown is None:
            return None
        age = self._clock.monotonic() - shown.read_at
        return shown.state if age < self._retention else None

    def discard_before(self, queue: str, job_id: str, version: int) -> None:
        """Forgets a state of an earlier job with the same id.

        Args:
            queue: The job's queue.
            job_id: The id.
            version: Version of the submission's row, which precedes those of
                the job's progress.
        """
        shown = self._shown.get((queue, job_id))
        if shown is not None and shown.version < version:
            del self._shown[queue, job_id]

    def record(
        self, queue: str, job_id: str, state: jobs_lib.JobState, version: int
    ) -> jobs_lib.JobState:
        """Records a state that was read.

        Args:
            queue: The job's queue.
            job_id: The job.
            state: The state.
            version: Version of the row that tells it: of the job's progress,
                or of its submission if it has none.

        Returns:
            The latest known state.
        """
        known = self._shown.get((queue, job_id))
        if self.find(queue, job_id) is None:
            known = None
        if known is not None and _ORDER[known.state] >= _ORDER[state]:
            state = known.state
            version = max(known.version, version)
        self._shown.pop((queue, job_id), None)
        self._shown[queue, job_id] = _ShownState(
            state, version, self._clock.monotonic()
        )
        if len(self._shown) > _MAX_JOBS:
            self._shown.popitem(last=False)
        return state
