"""Late submissions of a soak, chosen from its seed."""

import random

from tools import soak_plan

from fireflywell.node import tables
from fireflywell.standins import emulator_values

# A series lasts for a share of the round; the nodes that have sent the late
# writes are lost or paused meanwhile.
_ROUND_S = (2.0, 4.0)
_LATE_S = (1.0, 3.0)
_LATE_SHARES = (0.2, 0.6)
_NODE_FAULTS = (0, 2)
_GIVE_UP_SHARE = 0.8
_DOWN_S = (0.2, 1.5)
_PAUSE_S = (0.3, soak_plan.LEASE_S + 1.0)


def plan_late_submissions(
    seed: int, shape: soak_plan.Shape
) -> list[soak_plan.Planned]:
    """Returns rounds in which writes of jobs and cancellations are late."""
    planned: list[soak_plan.Planned] = []
    if seed < soak_plan.FIRST_SUBMISSIONS_SEED:
        return planned
    rng = random.Random(f"submissions {seed}")
    job_tables = tuple({tables.name_jobs_table(s) for s in shape.services})
    at_s = soak_plan.FIRST_FAULT_S
    while at_s < shape.fault_s:
        late = emulator_values.TransactionsLate(
            round(rng.uniform(*_LATE_S), 2),
            round(rng.uniform(*_LATE_SHARES), 2),
            job_tables,
        )
        planned.append(soak_plan.Planned(at_s, soak_plan.PlatformFault(late)))
        seconds = rng.uniform(*_ROUND_S)
        for _ in range(rng.randint(*_NODE_FAULTS)):
            planned.append(
                soak_plan.Planned(
                    at_s + rng.uniform(0.0, seconds), _choose_fault(rng, shape)
                )
            )
        at_s += seconds
    return [item for item in planned if item.at_s < shape.fault_s]


def choose_give_up_share(seed: int) -> float:
    """Returns the share of unclear submissions that their callers cancel."""
    return 0.0 if seed < soak_plan.FIRST_SUBMISSIONS_SEED else _GIVE_UP_SHARE


def _choose_fault(
    rng: random.Random, shape: soak_plan.Shape
) -> soak_plan.Fault:
    node = rng.randrange(shape.nodes)
    match rng.randrange(3):
        case 0:
            return soak_plan.KillNode(node, round(rng.uniform(*_DOWN_S), 2))
        case 1:
            return soak_plan.TermNode(node)
        case _:
            return soak_plan.PauseNode(node, round(rng.uniform(*_PAUSE_S), 2))
