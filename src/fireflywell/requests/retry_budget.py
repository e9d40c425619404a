"""Retry budget and backoff."""

import dataclasses
import datetime
import random

# A retry costs this many units and each first try adds `percent` of them.
# Integers keep the limit exact.
_UNITS_PER_RETRY = 100


class RetryBudget:
    """Allows retries up to a percentage of the first tries.

    The budget starts empty, so that the percentage is never exceeded, and its
    reserve is bounded, so that a long time without failures doesn't allow a
    retry storm.
    """

    __slots__ = ("_maximum_units", "_percent", "_units")

    def __init__(self, percent: int = 10, reserve: int = 10) -> None:
        """Makes an empty budget.

        Args:
            percent: Retries allowed for 100 first tries.
            reserve: Maximum number of unused retries that are kept.
        """
        self._percent = percent
        self._maximum_units = reserve * _UNITS_PER_RETRY
        self._units = 0

    @property
    def available(self) -> int:
        """Retries that are allowed now."""
        return self._units // _UNITS_PER_RETRY

    def note_first_try(self) -> None:
        """Adds the share of one first try to the budget."""
        self._units = min(self._maximum_units, self._units + self._percent)

    def take_retry(self) -> bool:
        """Consumes one retry; returns False if the budget allows none."""
        if self._units < _UNITS_PER_RETRY:
            return False
        self._units -= _UNITS_PER_RETRY
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class BackoffPolicy:
    """Exponential backoff with jitter.

    Attributes:
        base: Longest pause before the first retry.
        maximum: Longest pause before any retry.
        factor: Growth of the pause from one retry to the next.
    """

    base: datetime.timedelta = datetime.timedelta(milliseconds=25)
    maximum: datetime.timedelta = datetime.timedelta(seconds=1)
    factor: float = 2.0

    def compute_pause(
        self, retry: int, rng: random.Random
    ) -> datetime.timedelta:
        """Returns the pause before a retry.

        Up to half of the pause is random, so that callers which failed at the
        same time don't retry at the same time.

        Args:
            retry: 1 for the first retry.
            rng: Source of the jitter.
        """
        # Bounded, because a large power overflows a timedelta.
        growth = min(self.factor ** min(retry - 1, 64), 1e6)
        longest = min(self.maximum, self.base * growth)
        return longest * rng.uniform(0.5, 1.0)
