"""Watches whether this machine gives the soak processor time."""

import anyio
from tools import soak_plan
from tools import soak_spans

from fireflywell import clock as clock_lib

# A node renews its lease three times while it lasts, so shorter stalls than a
# third of it leave the lease whole.
_STALL_PROBE_S = 0.1
_SHORTEST_STALL_S = soak_plan.LEASE_S / 3


class StallWatcher:
    """Records when this machine gave no processor time to the soak.

    The nodes share the machine, and their leases lapse then as in a pause of
    all nodes.

    Attributes:
        stalls: The stalls.
    """

    __slots__ = ("_clock", "stalls")

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self.stalls: list[soak_spans.Span] = []

    @property
    def longest_s(self) -> float:
        """Length of the longest stall."""
        return max((item.length_s for item in self.stalls), default=0.0)

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            begun_s = self._clock.monotonic().total_seconds()
            await anyio.sleep(_STALL_PROBE_S)
            ended_s = self._clock.monotonic().total_seconds()
            if ended_s - begun_s > _STALL_PROBE_S + _SHORTEST_STALL_S:
                self.stalls.append(soak_spans.Span(begun_s, ended_s))
