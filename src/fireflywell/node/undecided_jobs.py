"""Remembers jobs whose submission the store may or may not hold."""

import collections
import datetime

from fireflywell import clock as clock_lib

# Number of jobs that are remembered.
_MAX_JOBS = 4096


class UndecidedJobs:
    """Recent jobs of which a write had no answer, by queue and id."""

    __slots__ = ("_clock", "_written_at")

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        # Monotonic time of the last such write of each job, in order.
        self._written_at: collections.OrderedDict[
            tuple[str, str], datetime.timedelta
        ] = collections.OrderedDict()

    def add(self, queue: str, job_id: str) -> None:
        """Records that a write of a job had no answer just now."""
        self._written_at[queue, job_id] = self._clock.monotonic()
        if len(self._written_at) > _MAX_JOBS:
            self._written_at.popitem(last=False)

    def discard(self, queue: str, job_id: str) -> None:
        """Records that a job is known to be stored."""
        self._written_at.pop((queue, job_id), None)

    def contains(self, queue: str, job_id: str) -> bool:
        """Returns whether the store may hold a job, by an earlier write."""
        return (queue, job_id) in self._written_at
