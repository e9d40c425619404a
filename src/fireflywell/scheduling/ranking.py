"""Order in which ready steps get capacity.

Designed for bursts in which a queue demands several times the capacity of its
pool for some seconds, with little demand in between. Steps that can still meet
their objective come first, those with the most value per core-second before
the others. Jobs that can't meet it are kept and run after the burst, or in the
share of the overdue work; see `overdue_share`.
"""

import dataclasses
import enum

from fireflywell.scheduling import jobs

# A job projected to take more than this multiple of its objective is overdue.
_LATE_FACTOR = 3.0

# The value of a job is this base plus a part proportional to its work, up to
# the maximum.
_BASE_VALUE = 0.3
_MAX_VALUE = 4.0


class Band(enum.IntEnum):
    """Class of urgency; a lower band gets capacity first."""

    SERVING = 0  # Long-running units, which serve users all the time.
    FEASIBLE = 1  # Can still meet the objective.
    LATE = 2  # Can't meet it; at most `_LATE_FACTOR` times the objective.
    OVERDUE = 3  # Above `_LATE_FACTOR` times the objective.


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Sort key of a step; the smallest gets capacity first.

    Attributes:
        band: Class of urgency.
        priority: Priority of the queue; 0 comes first.
        cost: Remaining core-seconds per unit of value.
        arrived_s: Monotonic time of arrival, for an occurrence of a recurring
            job the time at which it was due. It breaks ties.
    """

    band: Band
    priority: int
    cost: float
    arrived_s: float

    @property
    def sort_key(self) -> tuple[int, int, float, float]:
        """Orders ranks like `<`, several times as fast."""
        return (self.band, self.priority, self.cost, self.arrived_s)


class MeanWork:
    """Weighted mean of the work of a queue's jobs, in core-seconds.

    Each job weighs at least 2 %, so that recent jobs dominate.
    """

    __slots__ = ("_count", "_mean")

    def __init__(self) -> None:
        self._mean = 0.0
        self._count = 0

    @property
    def value(self) -> float:
        """The mean, or 0 before the first job."""
        return self._mean

    def add(self, core_seconds: float) -> None:
        """Adds the work of one more job."""
        self._count += 1
        weight = max(0.02, 1.0 / self._count)
        self._mean += weight * (core_seconds - self._mean)


def compute_work(job: jobs.Job) -> float:
    """Returns the core-seconds of all units of a job."""
    return sum(
        step.spec.count
        * step.expected_unit_duration_s
        * _compute_cores_per_unit(step)
        for step in job.steps
    )


def compute_remaining_work(job: jobs.Job) -> float:
    """Returns the core-seconds of all units of a job that aren't done."""
    return sum(
        (step.spec.count - step.done_count)
        * step.expected_unit_duration_s
        * _compute_cores_per_unit(step)
        for step in job.steps
    )


def compute_critical_path_s(
    job: jobs.Job, occurrence: int, *, remaining: bool
) -> float:
    """Returns the longest dependency chain of one occurrence, in seconds.

    Args:
        job: The job.
        occurrence: Index of the occurrence.
        remaining: Whether steps that are done count as 0 seconds.
    """
    end_times_s: list[float] = []
    for position, spec in enumerate(job.submission.request.steps):
        step = job.find_step(occurrence, position)
        assert step is not None
        duration_s = (
            0.0 if remaining and step.is_done else step.expected_unit_duration_s
        )
        # A step can only depend on steps before it; other references are
        # ignored.
        dependency_ends_s = [end_times_s[p] for p in spec.after if p < position]
        end_times_s.append(duration_s + max(dependency_ends_s, default=0.0))
    return max(end_times_s, default=0.0)


def compute_objective_s(job: jobs.Job, occurrence: int) -> float:
    """Returns the target time from a job's arrival to its completion.

    Args:
        job: The job.
        occurrence: Index of the occurrence.
    """
    critical_path_s = compute_critical_path_s(job, occurrence, remaining=False)
    return job.policy.stretch_factor * critical_path_s + job.policy.target_s


def find_objective_start_s(step: jobs.StepOccurrence) -> float:
    """Returns the monotonic time at which a step's objective starts.

    That is the arrival of its job or, if the job recurs, the time at which the
    first step of the occurrence became ready.
    """
    job = step.job
    if job.submission.request.recurrence is None:
        return job.arrived_s
    ready_times_s = (
        other.ready_since_s
        for other in job.steps
        if other.occurrence == step.occurrence
        and other.ready_since_s is not None
    )
    return min(ready_times_s, default=job.arrived_s)


def rank_step(
    step: jobs.StepOccurrence,
    now_s: float,
    objective_start_s: float,
    mean_work: float,
) -> Rank:
    """Computes the sort key of a ready step.

    Args:
        step: The step.
        now_s: Current monotonic time.
        objective_start_s: Monotonic time at which the objective starts; see
            `find_objective_start_s`.
        mean_work: Mean core-seconds of the queue's jobs.
    """
    job = step.job
    if step.spec.is_long_running:
        return Rank(Band.SERVING, job.policy.priority, 0.0, job.arrived_s)
    objective_s = compute_objective_s(job, step.occurrence)
    critical_path_s = compute_critical_path_s(
        job, step.occurrence, remaining=True
    )
    projected_duration_s = now_s - objective_start_s + critical_path_s
    if projected_duration_s <= objective_s:
        band = Band.FEASIBLE
    elif projected_duration_s <= objective_s * _LATE_FACTOR:
        band = Band.LATE
    else:
        band = Band.OVERDUE
    relative_work = compute_work(job) / mean_work if mean_work > 0 else 1.0
    value = min(_MAX_VALUE, _BASE_VALUE + (1 - _BASE_VALUE) * relative_work)
    cost = compute_remaining_work(job) / value
    return Rank(band, job.policy.priority, cost, objective_start_s)


def _compute_cores_per_unit(step: jobs.StepOccurrence) -> float:
    # An accelerator counts as eight cores, as in the cost of wasted work.
    demand = step.spec.demand
    return demand.cpu_millis / 1000 + 8.0 * demand.accelerators
