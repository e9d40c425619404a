"""Estimates of the size and run time of jobs from observations."""

import dataclasses
import datetime

from fireflywell.fleet import jobs
from fireflywell.infrastructure import records

# Minimum weight of one observation in the running mean of a kind.
_MINIMUM_WEIGHT = 0.1
# Observations after which the declared values are ignored.
_MINIMUM_OBSERVATIONS = 5
# Reserved beyond the observed mean: this fraction of the mean, and this many
# mean deviations.
_MARGIN_FRACTION = 0.15
_MARGIN_DEVIATIONS = 2.0


@dataclasses.dataclass(slots=True)
class _RunningStatistics:
    """Running mean and mean deviation of one quantity."""

    mean: float = 0.0
    deviation: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Updates the mean and the deviation with one observation."""
        self.count += 1
        weight = max(_MINIMUM_WEIGHT, 1.0 / self.count)
        self.deviation += weight * (abs(value - self.mean) - self.deviation)
        self.mean += weight * (value - self.mean)
        if self.count == 1:
            self.deviation = 0.0

    def estimate(self, declared: float) -> float:
        """Returns the expected value with its margin.

        With fewer than `_MINIMUM_OBSERVATIONS` observations this is the larger
        of the declared and the observed value.
        """
        if not self.count:
            return declared
        high = (
            self.mean * (1.0 + _MARGIN_FRACTION)
            + self.deviation * _MARGIN_DEVIATIONS
        )
        if self.count < _MINIMUM_OBSERVATIONS:
            return max(declared, high)
        return high


@dataclasses.dataclass(slots=True)
class _KindUsage:
    """Observed use and run time of one kind of job of one team."""

    cores: _RunningStatistics
    memory_mb: _RunningStatistics
    run_seconds: _RunningStatistics


class UsageEstimator:
    """Estimates the size and run time of jobs by kind and team.

    Accelerators are reserved as declared, since they are allocated whole.
    """

    __slots__ = ("_kinds",)

    def __init__(self) -> None:
        self._kinds: dict[tuple[str, str], _KindUsage] = {}

    def observe_use(self, spec: jobs.JobSpec, used: records.Resources) -> None:
        """Records the reported use of a running task."""
        usage = self._get_or_create(spec)
        usage.cores.add(used.cores)
        usage.memory_mb.add(used.memory_mb)

    def observe_run(
        self, spec: jobs.JobSpec, duration: datetime.timedelta
    ) -> None:
        """Records the run time of an attempt that succeeded."""
        self._get_or_create(spec).run_seconds.add(duration.total_seconds())

    def estimate_size(self, spec: jobs.JobSpec) -> records.Resources:
        """Returns the resources to reserve for a job."""
        usage = self._kinds.get((spec.kind, spec.team))
        if usage is None:
            return spec.declared
        return records.Resources(
            cores=usage.cores.estimate(spec.declared.cores),
            memory_mb=usage.memory_mb.estimate(spec.declared.memory_mb),
            accelerators=spec.declared.accelerators,
        )

    def estimate_run(self, spec: jobs.JobSpec) -> datetime.timedelta:
        """Returns the expected run time of a job."""
        usage = self._kinds.get((spec.kind, spec.team))
        seconds = spec.run_seconds
        if usage is not None:
            seconds = usage.run_seconds.estimate(spec.run_seconds)
        return datetime.timedelta(seconds=seconds)

    def _get_or_create(self, spec: jobs.JobSpec) -> _KindUsage:
        key = (spec.kind, spec.team)
        usage = self._kinds.get(key)
        if usage is None:
            usage = _KindUsage(
                _RunningStatistics(), _RunningStatistics(), _RunningStatistics()
            )
            self._kinds[key] = usage
        return usage
