"""Order in which ready steps get capacity.

Answers the load in which a queue asks for several times what its pool holds
for some seconds and for little in between: what can still meet its objective
goes first, the most value for each core-second before the rest, and work that
can't meet it waits for the quiet time without being dropped.
"""

import dataclasses
import enum

from fireflywell.scheduling import jobs

# After this many times its objective, a job is too late to be of use.
_LATE_FACTOR = 3.0

# The value of a job is this fixed part plus a part that grows with its work.
_BASE_VALUE = 0.3
_MAX_VALUE = 4.0


class Band(enum.IntEnum):
    """Coarse order; a lower band gets capacity first."""

    SERVING = 0  # Long-running units serve users all the time.
    FEASIBLE = 1  # Can still meet the objective.
    LATE = 2  # Missed the objective and is still of some use.
    OVERDUE = 3  # Later than that.


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Place of a step in the order; the smallest goes first.

    Attributes:
        band: Coarse order.
        priority: Priority of the queue.
        cost: Core-seconds that are left for each unit of value.
        arrived_s: Breaks ties by age.
    """

    band: Band
    priority: int
    cost: float
    arrived_s: float


class MeanWork:
    """Running mean of the work of a queue's jobs, in core-seconds."""

    __slots__ = ("_count", "_mean")

    def __init__(self) -> None:
        self._mean = 0.0
        self._count = 0

    @property
    def value(self) -> float:
        """The mean, or 0 before the first job."""
        return self._mean

    def add(self, core_seconds: float) -> None:
        """Takes one more job into account."""
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
    """Returns the core-seconds of the units that aren't done."""
    return sum(
        (step.spec.count - step.done_count)
        * step.expected_unit_duration_s
        * _compute_cores_per_unit(step)
        for step in job.steps
    )


def compute_critical_path_s(
    job: jobs.Job, occurrence: int, *, remaining: bool
) -> float:
    """Returns the longest chain of steps of one occurrence, in seconds.

    Args:
        job: The job.
        occurrence: Which repetition of the steps.
        remaining: Whether steps that are done count nothing.
    """
    ends: list[float] = []
    for position, spec in enumerate(job.submission.request.steps):
        step = job.find_step(occurrence, position)
        assert step is not None
        own = (
            0.0 if remaining and step.is_done else step.expected_unit_duration_s
        )
        # Steps may only refer to others; a reference forward is ignored.
        earlier = [ends[p] for p in spec.after if p < position]
        ends.append(own + max(earlier, default=0.0))
    return max(ends, default=0.0)


def compute_objective_s(job: jobs.Job, occurrence: int) -> float:
    """Returns the time from arrival within which a job should be done."""
    chain = compute_critical_path_s(job, occurrence, remaining=False)
    return job.policy.stretch_factor * chain + job.policy.target_s


def rank_step(
    step: jobs.StepOccurrence,
    now_s: float,
    objective_start_s: float,
    mean_work: float,
) -> Rank:
    """Returns the place of a ready step in the order.

    Args:
        step: The step.
        now_s: Monotonic time.
        due_s: Monotonic time from which the objective counts.
        mean_work: Mean core-seconds of the queue's jobs.
    """
    job = step.job
    if step.spec.is_long_running:
        return Rank(Band.SERVING, job.policy.priority, 0.0, job.arrived_s)
    objective_s = compute_objective_s(job, step.occurrence)
    critical_path_s = compute_critical_path_s(
        job, step.occurrence, remaining=True
    )
    projected_s = now_s - objective_start_s + critical_path_s
    if projected_s <= objective_s:
        band = Band.FEASIBLE
    elif projected_s <= objective_s * _LATE_FACTOR:
        band = Band.LATE
    else:
        band = Band.OVERDUE
    ratio = compute_work(job) / mean_work if mean_work > 0 else 1.0
    value = min(_MAX_VALUE, _BASE_VALUE + (1 - _BASE_VALUE) * ratio)
    cost = compute_remaining_work(job) / value
    return Rank(band, job.policy.priority, cost, job.arrived_s)


def _compute_cores_per_unit(step: jobs.StepOccurrence) -> float:
    # An accelerator counts as eight cores, as in the price of wasted work.
    demand = step.spec.demand
    return demand.cpu_millis / 1000 + 8.0 * demand.accelerators
