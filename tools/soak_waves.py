"""Maintenance waves of a soak, and what their rules say about them."""

from collections.abc import Iterator
import random

from tools import soak_plan

from fireflywell.standins import emulator_values as values

# Waves follow each other and share workers. The time of each is long enough for
# one VM after the other.
_FIRST_S = 2.0
_INTERVAL_S = 9.0
_DURATION_S = 20.0
_MACHINES = (2, 4)
_MOST_DOWN = 2

# A machine that the platform doesn't have.
_REMOVED = "w-removed"


def plan_waves(seed: int, shape: soak_plan.Shape) -> list[soak_plan.Planned]:
    """Returns the requests for waves; each names a VM that has left."""
    planned: list[soak_plan.Planned] = []
    if not (
        soak_plan.FIRST_WAVES_SEED <= seed < soak_plan.FIRST_SUBMISSIONS_SEED
    ):
        return planned
    rng = random.Random(f"waves {seed}")
    at_s = _FIRST_S
    while at_s < shape.fault_s:
        wave = values.WaveRequested(
            len(planned) + 1,
            (*rng.sample(shape.workers, rng.randint(*_MACHINES)), _REMOVED),
            _DURATION_S,
            rng.randint(1, _MOST_DOWN),
        )
        planned.append(soak_plan.Planned(at_s, soak_plan.PlatformFault(wave)))
        at_s += _INTERVAL_S
    return planned


def check_waves(records: values.Records) -> Iterator[str]:
    """Yields what contradicts the rules LIMIT and MIXED on waves."""
    limits = {item.wave: item.max_count for item in records.waves}
    for item in records.upkeeps:
        if item.down > limits.get(item.wave, 1):
            yield (
                f"wave {item.wave}: {item.down} VMs down at once when "
                f"{item.machine} was taken down"
            )
        if item.state == "completed":
            yield (
                f"wave {item.wave}: {item.machine} was taken down after the "
                "wave was shown as completed"
            )
    begun = {(item.wave, item.machine) for item in records.upkeeps}
    for wave in records.waves:
        for machine in wave.machines:
            if wave.state == "completed" and (wave.wave, machine) not in begun:
                yield (
                    f"wave {wave.wave} is shown as completed without the "
                    f"upkeep of {machine}"
                )


def list_unfinished(records: values.Records) -> Iterator[str]:
    """Yields the waves that aren't completed."""
    for wave in records.waves:
        if wave.state != "completed":
            yield f"wave {wave.wave}: shown as {wave.state!r}"
