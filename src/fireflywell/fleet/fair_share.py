"""Weighted dominant-resource fairness among teams."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import datetime
import heapq

from fireflywell.bundle import model
from fireflywell.fleet import jobs
from fireflywell.infrastructure import records

# From this long before a job's latest start the weight of its team rises, up to
# `_DEADLINE_BOOST` times at the latest start.
_DEADLINE_HORIZON = datetime.timedelta(hours=6)
_DEADLINE_BOOST = 5.0
# The latest start is this many expected run times before the deadline, since
# actual run times differ widely from the expected ones.
_RUN_TIME_FACTOR = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedJob:
    """A job that waits for a worker, with its expected size and run time.

    Attributes:
        record: The job.
        size: Resources to reserve.
        expected_run_time: Expected run time of one attempt.
    """

    record: jobs.JobRecord
    size: records.Resources
    expected_run_time: datetime.timedelta


def add_resources(
    left: records.Resources, right: records.Resources
) -> records.Resources:
    """Returns the sum of two amounts."""
    return records.Resources(
        left.cores + right.cores,
        left.memory_mb + right.memory_mb,
        left.accelerators + right.accelerators,
    )


def compute_dominant_share(
    used: records.Resources, total: records.Resources
) -> float:
    """Returns the largest fraction used of any one resource.

    Source: Ghodsi et al., "Dominant Resource Fairness", NSDI 2011.
    """
    return max(
        used.cores / total.cores if total.cores else 0.0,
        used.memory_mb / total.memory_mb if total.memory_mb else 0.0,
        used.accelerators / total.accelerators if total.accelerators else 0.0,
    )


def is_within_quota(
    team: model.Team, used: records.Resources, size: records.Resources
) -> bool:
    """Returns whether a team stays within its quota with one more job."""
    after = add_resources(used, size)
    return (
        after.cores <= team.cores
        and after.memory_mb <= team.memory_mb
        and after.accelerators <= team.accelerators
    )


def is_due(job: QueuedJob, now: datetime.datetime) -> bool:
    """Returns whether a job must start now to end before its deadline."""
    deadline = job.record.spec.deadline
    return (
        deadline is not None
        and now >= deadline - job.expected_run_time * _RUN_TIME_FACTOR
    )


def compute_boost(job: QueuedJob, now: datetime.datetime) -> float:
    """Returns the factor by which a job's deadline raises its team's weight."""
    deadline = job.record.spec.deadline
    if deadline is None:
        return 1.0
    latest_start = deadline - job.expected_run_time * _RUN_TIME_FACTOR
    time_left = latest_start - now
    if time_left >= _DEADLINE_HORIZON:
        return 1.0
    nearness = 1.0 - max(time_left / _DEADLINE_HORIZON, 0.0)
    return 1.0 + (_DEADLINE_BOOST - 1.0) * nearness


class FairOrder:
    """Yields queued jobs by weighted dominant-resource fairness.

    The team with the smallest dominant share relative to its weight comes next.
    Within a team, urgent jobs and jobs that must start now come first, then
    jobs with an earlier latest start, then jobs that have waited longer.
    """

    __slots__ = ("_heap", "_now", "_queues", "_teams", "_total", "_used")

    def __init__(
        self,
        queued: Iterable[QueuedJob],
        teams: tuple[model.Team, ...],
        used: dict[str, records.Resources],
        total: records.Resources,
        now: datetime.datetime,
    ) -> None:
        """Sorts the jobs of each team.

        Args:
            queued: Jobs that wait for a worker.
            teams: Teams of the bundle in force.
            used: Resources reserved by each team's running jobs.
            total: Resources of all workers.
            now: Current time, compared with deadlines.
        """
        self._teams = {team.name: team for team in teams}
        self._used = dict(used)
        self._total = total
        self._now = now
        self._queues: dict[str, list[QueuedJob]] = {}
        for job in queued:
            self._queues.setdefault(job.record.spec.team, []).append(job)
        self._heap: list[tuple[float, str]] = []
        for team, queue in self._queues.items():
            # The next job is popped from the end, which takes constant time.
            queue.sort(key=self._rank, reverse=True)
            self._push(team)

    def list_in_order(self) -> Iterator[QueuedJob]:
        """Yields jobs in fair order.

        The caller calls `record_placement` for each job that gets a worker,
        before it takes the next one.
        """
        while self._heap:
            _, team = heapq.heappop(self._heap)
            job = self._queues[team].pop()
            yield job
            self._push(team)

    def record_placement(self, job: QueuedJob) -> None:
        """Adds a job's resources to the use of its team."""
        team = job.record.spec.team
        used = self._used.get(team, records.Resources())
        self._used[team] = add_resources(used, job.size)

    def has_quota_for(self, job: QueuedJob) -> bool:
        """Returns whether the job fits into its team's quota."""
        name = job.record.spec.team
        team = self._teams.get(name)
        used = self._used.get(name, records.Resources())
        return team is not None and is_within_quota(team, used, job.size)

    def _push(self, team: str) -> None:
        queue = self._queues[team]
        if not queue:
            return
        definition = self._teams.get(team)
        weight = definition.weight if definition is not None else 1.0
        used = self._used.get(team, records.Resources())
        share = compute_dominant_share(used, self._total)
        boost = compute_boost(queue[-1], self._now)
        heapq.heappush(self._heap, (share / (weight * boost), team))

    def _rank(self, job: QueuedJob) -> tuple[bool, float, float, str]:
        spec = job.record.spec
        is_urgent = spec.urgency is jobs.JobUrgency.URGENT
        latest_start = (
            (
                spec.deadline - job.expected_run_time * _RUN_TIME_FACTOR
            ).timestamp()
            if spec.deadline is not None
            else float("inf")
        )
        return (
            not (is_urgent or is_due(job, self._now)),
            latest_start,
            spec.submitted_at.timestamp(),
            spec.job_id,
        )
