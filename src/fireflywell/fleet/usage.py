"""Expected size and run time of jobs, by what was observed."""

import dataclasses
import datetime

from fireflywell.fleet import jobs
from fireflywell.infrastructure import records

# Weight of one observation in the running mean of a kind.
_WEIGHT = 0.1
# Observations after which the declared values count for nothing.
_TRUSTED_AFTER = 5
# Reserved beyond the observed use, in parts of it and in deviations.
_MARGIN = 0.15
_DEVIATIONS = 2.0


@dataclasses.dataclass(slots=True)
class _Spread:
    """Running mean and mean deviation of one quantity."""

    mean: float = 0.0
    deviation: float = 0.0
    count: int = 0

    def add(self, value: float) -> None:
        """Takes in one observation."""
        self.count += 1
        weight = max(_WEIGHT, 1.0 / self.count)
        self.deviation += weight * (abs(value - self.mean) - self.deviation)
        self.mean += weight * (value - self.mean)
        if self.count == 1:
            self.deviation = 0.0

    def estimate(self, declared: float) -> float:
        """Returns the expected value with its margin.

        A kind that was seen seldom is taken at the larger of its declared and
        its observed value.
        """
        if not self.count:
            return declared
        high = self.mean * (1.0 + _MARGIN) + self.deviation * _DEVIATIONS
        if self.count < _TRUSTED_AFTER:
            return max(declared, high)
        return high


@dataclasses.dataclass(slots=True)
class _KindUsage:
    """Observations of one kind of one team."""

    cores: _Spread
    memory_mb: _Spread
    run_seconds: _Spread


class UsageEstimator:
    """Learns the size and run time of jobs by kind and team.

    Accelerators are counted as declared: they are handed out whole.
    """

    __slots__ = ("_kinds",)

    def __init__(self) -> None:
        self._kinds: dict[tuple[str, str], _KindUsage] = {}

    def observe_use(self, spec: jobs.JobSpec, used: records.Resources) -> None:
        """Takes in the reported use of a running task."""
        usage = self._find(spec)
        usage.cores.add(used.cores)
        usage.memory_mb.add(used.memory_mb)

    def observe_run(
        self, spec: jobs.JobSpec, duration: datetime.timedelta
    ) -> None:
        """Takes in the run time of an attempt that succeeded."""
        self._find(spec).run_seconds.add(duration.total_seconds())

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
        """Returns the run time to plan with."""
        usage = self._kinds.get((spec.kind, spec.team))
        seconds = spec.run_seconds
        if usage is not None:
            seconds = usage.run_seconds.estimate(spec.run_seconds)
        return datetime.timedelta(seconds=seconds)

    def _find(self, spec: jobs.JobSpec) -> _KindUsage:
        key = (spec.kind, spec.team)
        usage = self._kinds.get(key)
        if usage is None:
            usage = _KindUsage(_Spread(), _Spread(), _Spread())
            self._kinds[key] = usage
        return usage
