"""Throttles filling units before they slow down serving units on a worker."""

import dataclasses

from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import workers as workers_lib

# Share of a serving unit's latency target above which filling units are slowed
# down.
_BACKOFF_THRESHOLD = 0.85

# Share of the latency target below which filling units may use more.
_RECOVERY_THRESHOLD = 0.6

_RECOVERY_STEP_PERCENT = 15
_MINIMUM_PERCENT = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Throttle:
    """Change of the share of its worker that a filling run may use.

    Attributes:
        run: The run.
        percent: New share, 0 to 100.
    """

    run: runs_lib.Run
    percent: int


def choose_throttles(worker: workers_lib.Worker) -> list[Throttle]:
    """Returns the changed shares of a worker's filling runs after a report.

    Halves the shares when a serving unit's latency comes near its target, sets
    them to 0 when it reaches the target, and raises them in steps of
    `_RECOVERY_STEP_PERCENT` when it is well below. A share that its worker
    hasn't accepted is returned also if it is unchanged.
    """
    latency_ratio = 0.0
    filling_runs: list[runs_lib.Run] = []
    for run in worker.runs.values():
        spec = run.unit.step.spec
        if spec.is_filling:
            filling_runs.append(run)
        elif spec.target_ms > 0:
            latency_ratio = max(latency_ratio, run.load / spec.target_ms)
    return [
        Throttle(run, percent)
        for run in filling_runs
        if (percent := _choose_percent(run.share_percent, latency_ratio))
        != run.share_percent
        or not run.is_share_confirmed
    ]


def _choose_percent(current: int, latency_ratio: float) -> int:
    if latency_ratio >= 1.0:
        return 0
    if latency_ratio > _BACKOFF_THRESHOLD:
        halved = current // 2
        return halved if halved >= _MINIMUM_PERCENT else 0
    if latency_ratio < _RECOVERY_THRESHOLD:
        return min(100, current + _RECOVERY_STEP_PERCENT)
    return current
