"""Estimates how long a worker takes to answer, as TCP does for its peer."""

import datetime

from fireflywell import clock as clock_lib

# Shortest time limit: several round trips of the longest links.
_SHORTEST_TIMEOUT = datetime.timedelta(milliseconds=250)

# Each fourth call in a row without an answer has the longest time limit, so
# that the answers of a worker that has become slow are measured.
_CALLS_PER_LONG_TIMEOUT = 4

# Calls have shorter time limits for this time after one had no answer within
# the longest limit. Without losses, answers are late because the node is busy,
# and repeats would add to its load.
_LOSSY_PERIOD_S = 3.0

# Weights of a new sample and multiple of the deviation, from RFC 6298.
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATIONS = 4


class AnswerTimes:
    """Mean and deviation of a worker's answer times, smoothed.

    A call without an answer has the same effect when it is repeated, so calls
    are repeated soon while answers are lost. A busy node or worker answers
    later; the time limit then follows, and repeats don't add to the load.
    """

    __slots__ = ("_clock", "_deviation_s", "_lossy_until_s", "_mean_s")

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        # Monotonic time until which calls have shorter time limits.
        self._lossy_until_s = 0.0
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    def record(self, seconds: float) -> None:
        """Records the time of one answer that the worker didn't hold back."""
        if self._mean_s is None:
            self._mean_s = seconds
            self._deviation_s = seconds / 2
            return
        difference_s = abs(seconds - self._mean_s)
        self._deviation_s += _DEVIATION_WEIGHT * (
            difference_s - self._deviation_s
        )
        self._mean_s += _MEAN_WEIGHT * (seconds - self._mean_s)

    def record_loss(
        self, timeout: datetime.timedelta, longest: datetime.timedelta
    ) -> None:
        """Records a call without an answer.

        Args:
            timeout: Its time limit.
            longest: Longest time limit of such calls.
        """
        if timeout >= longest:
            self._lossy_until_s = self._now_s() + _LOSSY_PERIOD_S

    def choose_timeout(
        self, losses: int, longest: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns the time limit of a call.

        Args:
            losses: Calls in a row that had no answer.
            longest: Longest time limit, which is used before the first answer.
        """
        is_long = (losses + 1) % _CALLS_PER_LONG_TIMEOUT == 0
        if is_long or self._mean_s is None or not self._is_lossy():
            return longest
        estimate = datetime.timedelta(
            seconds=self._mean_s + _DEVIATIONS * self._deviation_s
        )
        return min(longest, max(_SHORTEST_TIMEOUT, estimate))

    def _is_lossy(self) -> bool:
        return self._lossy_until_s > 0 and self._now_s() < self._lossy_until_s

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()
