"""Order in which ready steps get capacity.

Designed for bursts in which a queue demands several times the capacity of its
pool for some seconds, with little demand in between. Steps that can still meet
their objective come first, those with the most value per core-second before
the others. Jobs that can't meet it are kept and run after the burst, or in the
share of the overdue work; see `overdue_share`.
"""

from collections.abc import Sequence
import dataclasses
import enum

from fireflywell.scheduling import jobs
from fireflywell.scheduling import model
from fireflywell.scheduling import steps as steps_lib

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
        cost: Remaining core-seconds of the occurrence per unit of value.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Expected work of one occurrence of a job.

    Attributes:
        work: Core-seconds of all units.
        remaining_work: Core-seconds of the units that aren't done.
        critical_path_s: Longest dependency chain.
        remaining_path_s: The same, without the steps that are done.
    """

    work: float
    remaining_work: float
    critical_path_s: float
    remaining_path_s: float

    def compute_objective_s(self, policy: model.QueuePolicy) -> float:
        """Returns the target time from the arrival to the completion."""
        return policy.stretch_factor * self.critical_path_s + policy.target_s


def compute_work(job: jobs.Job) -> float:
    """Returns the core-seconds of one occurrence, as the caller declared."""
    return sum(
        spec.count * spec.estimated_s * _compute_cores_per_unit(spec)
        for spec in job.submission.request.steps
    )


def estimate_occurrence(steps: Sequence[steps_lib.StepOccurrence]) -> Estimate:
    """Estimates the work of an occurrence from the units that have ended.

    Args:
        steps: All its steps.
    """
    work = 0.0
    remaining_work = 0.0
    ends_s: list[float] = []
    remaining_ends_s: list[float] = []
    for position, step in enumerate(steps):
        spec = step.spec
        duration_s = step.expected_unit_duration_s
        work_per_unit = duration_s * _compute_cores_per_unit(spec)
        work += spec.count * work_per_unit
        remaining_work += (spec.count - step.done_count) * work_per_unit
        # A step can only depend on steps before it; other references are
        # ignored.
        after = [p for p in spec.after if p < position]
        ends_s.append(duration_s + max((ends_s[p] for p in after), default=0.0))
        remaining_ends_s.append(
            (0.0 if step.is_done else duration_s)
            + max((remaining_ends_s[p] for p in after), default=0.0)
        )
    return Estimate(
        work,
        remaining_work,
        max(ends_s, default=0.0),
        max(remaining_ends_s, default=0.0),
    )


def find_objective_start_s(step: steps_lib.StepOccurrence) -> float:
    """Returns the monotonic time at which a step's objective starts.

    That is the arrival of its job or, if the job recurs, the time at which the
    occurrence was due, unless the job came later.
    """
    job = step.job
    if not job.is_recurring:
        return job.arrived_s
    due_s = step.ready_since_s if step.due_s is None else step.due_s
    return job.arrived_s if due_s is None else max(job.arrived_s, due_s)


def rank_step(
    step: steps_lib.StepOccurrence,
    now_s: float,
    objective_start_s: float,
    mean_work: float,
    estimate: Estimate,
) -> Rank:
    """Computes the sort key of a ready step.

    Args:
        step: The step.
        now_s: Current monotonic time.
        objective_start_s: Monotonic time at which the objective starts; see
            `find_objective_start_s`.
        mean_work: Mean core-seconds of the queue's jobs.
        estimate: Estimate of its occurrence.
    """
    job = step.job
    if step.spec.is_long_running:
        return Rank(Band.SERVING, job.policy.priority, 0.0, job.arrived_s)
    objective_s = estimate.compute_objective_s(job.policy)
    projected_duration_s = now_s - objective_start_s + estimate.remaining_path_s
    if projected_duration_s <= objective_s:
        band = Band.FEASIBLE
    elif projected_duration_s <= objective_s * _LATE_FACTOR:
        band = Band.LATE
    else:
        band = Band.OVERDUE
    relative_work = estimate.work / mean_work if mean_work > 0 else 1.0
    value = min(_MAX_VALUE, _BASE_VALUE + (1 - _BASE_VALUE) * relative_work)
    cost = estimate.remaining_work / value
    return Rank(band, job.policy.priority, cost, objective_start_s)


class Estimates:
    """Estimates of the occurrences that one planning pass looks at.

    Each is computed once in a pass, however many of its steps are ready.
    """

    __slots__ = ("_by_first_step",)

    def __init__(self) -> None:
        self._by_first_step: dict[steps_lib.StepOccurrence, Estimate] = {}

    def find(self, step: steps_lib.StepOccurrence) -> Estimate:
        """Returns the estimate of a step's occurrence."""
        steps = step.job.load_occurrence(step.occurrence)
        estimate = self._by_first_step.get(steps[0])
        if estimate is None:
            estimate = estimate_occurrence(steps)
            self._by_first_step[steps[0]] = estimate
        return estimate


def _compute_cores_per_unit(spec: model.Step) -> float:
    # An accelerator counts as eight cores, as in the cost of wasted work.
    demand = spec.demand
    return demand.cpu_millis / 1000 + 8.0 * demand.accelerators
