"""Throttles filling units before they harm the serving units beside them."""

import dataclasses

from fireflywell.scheduling import jobs
from fireflywell.scheduling import workers as workers_lib

# Share of the target above which filling units are slowed down.
_BACKOFF_THRESHOLD = 0.85

# Share of the target below which filling units may use more.
_RECOVERY_THRESHOLD = 0.6

_RECOVERY_STEP_PERCENT = 15
_MINIMUM_PERCENT = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Throttle:
    """A filling run that is to use another share of its worker.

    Attributes:
        run: The run.
        percent: New share, 0 to 100.
    """

    run: jobs.Run
    percent: int


def choose_throttles(worker: workers_lib.Worker) -> list[Throttle]:
    """Returns the changes for one worker after a fresh report.

    Backs off by half as soon as a serving unit comes near its target, stops
    all filling work above it, and recovers in small steps.
    """
    pressure = 0.0
    fills: list[jobs.Run] = []
    for run in worker.runs.values():
        spec = run.unit.step.spec
        if spec.is_filling:
            fills.append(run)
        elif spec.target_ms > 0:
            pressure = max(pressure, run.load / spec.target_ms)
    return [
        Throttle(run, percent)
        for run in fills
        if (percent := _choose_percent(run.share_percent, pressure))
        != run.share_percent
    ]


def _choose_percent(current: int, pressure: float) -> int:
    if pressure >= 1.0:
        return 0
    if pressure > _BACKOFF_THRESHOLD:
        halved = current // 2
        return halved if halved >= _MINIMUM_PERCENT else 0
    if pressure < _RECOVERY_THRESHOLD:
        return min(100, current + _RECOVERY_STEP_PERCENT)
    return current
