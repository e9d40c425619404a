"""Limits on retries."""

import dataclasses
import datetime
import random

# A retry costs this many units; each first try earns `percent` of them. Whole
# numbers keep the limit exact.
_UNITS_PER_RETRY = 100


class RetryBudget:
    """Allows retries up to a part of the first tries.

    The budget starts empty, so that at no time more than that part was
    allowed, and keeps a bounded reserve, so that a long calm time doesn't pay
    for a retry storm.
    """

    __slots__ = ("_maximum_units", "_percent", "_units")

    def __init__(self, percent: int = 10, reserve: int = 10) -> None:
        """Makes an empty budget.

        Args:
            percent: Retries allowed for 100 first tries.
            reserve: Retries that may be saved up.
        """
        self._percent = percent
        self._maximum_units = reserve * _UNITS_PER_RETRY
        self._units = 0

    @property
    def available(self) -> int:
        """Retries that are allowed now."""
        return self._units // _UNITS_PER_RETRY

    def note_first_try(self) -> None:
        """Earns a part of a retry."""
        self._units = min(self._maximum_units, self._units + self._percent)

    def take_retry(self) -> bool:
        """Pays for one retry; returns False if it isn't allowed."""
        if self._units < _UNITS_PER_RETRY:
            return False
        self._units -= _UNITS_PER_RETRY
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class BackoffPolicy:
    """Pauses between tries, exponential and jittered.

    Attributes:
        base: Longest pause before the first retry.
        maximum: Longest pause before any retry.
        factor: Growth from one retry to the next.
    """

    base: datetime.timedelta = datetime.timedelta(milliseconds=25)
    maximum: datetime.timedelta = datetime.timedelta(seconds=1)
    factor: float = 2.0

    def compute_pause(
        self, retry: int, rng: random.Random
    ) -> datetime.timedelta:
        """Returns the pause before a retry.

        Half of the pause is random, so that callers which failed together
        don't come back together.

        Args:
            retry: 1 for the first retry.
            rng: Source of the jitter.
        """
        # Bounded, because a large power overflows a timedelta.
        growth = min(self.factor ** min(retry - 1, 64), 1e6)
        longest = min(self.maximum, self.base * growth)
        return longest * rng.uniform(0.5, 1.0)
