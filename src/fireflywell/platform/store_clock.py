"""Estimates the store's steady clock from the times in its answers."""

import datetime

# The estimate rests on the answers of this period and the one before, so that
# it follows clocks that drift apart.
_PERIOD = datetime.timedelta(seconds=10)


class StoreClock:
    """Estimates the store's clock; the estimate is late, never early.

    The time in an answer is from before its way to this node, so each answer
    gives an estimate that is late by the time of the way. The one of the
    fastest answer is kept.
    """

    __slots__ = ("_best_s", "_former_best_s", "_period_end")

    def __init__(self) -> None:
        # Time of the store's clock minus this node's, at best, in seconds.
        self._best_s: float | None = None
        self._former_best_s: float | None = None
        self._period_end = datetime.timedelta()

    @property
    def is_known(self) -> bool:
        """Whether any answer has told the time."""
        return self._best_s is not None

    def observe(self, store_s: float, now: datetime.timedelta) -> None:
        """Records the time in an answer.

        Args:
            store_s: The time in it, in seconds.
            now: This node's monotonic time.
        """
        offset_s = store_s - now.total_seconds()
        if self._best_s is None or now >= self._period_end:
            self._former_best_s = self._best_s
            self._best_s = offset_s
            self._period_end = now + _PERIOD
        else:
            self._best_s = max(self._best_s, offset_s)

    def estimate_s(self, now: datetime.timedelta) -> float:
        """Returns the store's time at a monotonic time of this node."""
        best_s = self._best_s or 0.0
        if self._former_best_s is not None:
            best_s = max(best_s, self._former_best_s)
        return now.total_seconds() + best_s
