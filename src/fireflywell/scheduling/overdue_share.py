"""Share of the placed capacity that goes to the oldest overdue work."""

from fireflywell.scheduling import model

# While overdue work waits, one part in this many of the placed capacity goes
# to the oldest of it. A tenth bounds the wait of each accepted job and leaves
# nine tenths to the jobs that can still meet their objective.
SHARE_DIVISOR = 10

# A unit counts as at least this many thousandths of a core, so that units that
# hardly need CPU use up the share, too.
_MIN_COST = 100

_ACCELERATOR_COST = 8_000


class OverdueShare:
    """Decides when the oldest overdue step has its turn.

    A turn is paid back by placements of other work before the next one. What
    is paid isn't saved up while no overdue work waits.
    """

    __slots__ = ("_debt",)

    def __init__(self) -> None:
        # Cost of other work that must be placed before the next turn.
        self._debt = 0

    @property
    def is_due(self) -> bool:
        """Whether the oldest overdue step has its turn now."""
        return self._debt <= 0

    def count_until_due(self, spec: model.Step) -> int:
        """Returns how many units of a step may be placed before a turn."""
        return -(-self._debt // _compute_cost(spec))

    def record_other(self, spec: model.Step, count: int) -> None:
        """Records the placement of units outside of a turn."""
        self._debt = max(0, self._debt - count * _compute_cost(spec))

    def record_turn(self, spec: model.Step, count: int) -> None:
        """Records the placement of units in a turn."""
        self._debt += count * _compute_cost(spec) * (SHARE_DIVISOR - 1)


def _compute_cost(spec: model.Step) -> int:
    demand = spec.demand
    cpu = 0 if spec.is_filling else demand.cpu_millis
    return max(_MIN_COST, cpu + _ACCELERATOR_COST * demand.accelerators)
