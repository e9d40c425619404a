"""Contenders for one lease whose clocks run at different rates."""

import datetime
import random

from fireflywell.coordination import leases
from tests import stepped_calls

ROLE = "maintenance"
# With a duration of 5 s and a margin of 1 s, the rates of two clocks may differ
# by a factor of up to 6 / 4.
RATES = (0.85, 1.0, 1.2)


class Contender:
    """A simulated process: a clock, a keeper and at most one running call."""

    def __init__(
        self, time: stepped_calls.TrueTime, number: int, incarnation: int
    ) -> None:
        start = datetime.timedelta(seconds=1000 * number)
        self.clock = stepped_calls.DriftingClock(time, RATES[number], start)
        self.table = stepped_calls.SteppedTable()
        self.keeper = leases.LeaseKeeper(
            ROLE,
            f"process-{number}",
            self.table,
            self.clock,
            random.Random(number * 1000 + incarnation),
        )
        self.fenced = leases.FencedTable(self.table, self.keeper)
        self.task: stepped_calls.Task | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no call of the keeper is running."""
        return self.task is None or self.task.is_done
