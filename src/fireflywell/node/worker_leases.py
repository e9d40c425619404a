"""Tracks a worker's clock and the end of the leases granted to it."""

import datetime
import math

from fireflywell import clock as clock_lib

# A worker's clock may be this much slower than the node's.
CLOCK_DRIFT = 0.02
_EXPIRY_MARGIN_S = 0.3

# Longest lease of a run: long enough for a successor to renew it after a
# takeover, short enough that runs on an unreachable worker soon expire.
LONGEST_LEASE = datetime.timedelta(seconds=6)

# After its node's lease has expired, an owner renews the leases of runs for
# this long but starts none. A successor relies on this bound.
RENEWAL_GRACE = datetime.timedelta(seconds=2)


class WorkerLeases:
    """Leases that one owner has granted to the runs of one worker."""

    __slots__ = (
        "_clock",
        "_expire_s",
        "_lease",
        "_longest_lease",
        "_worker_clock_ms",
        "_worker_clock_read_s",
    )

    def __init__(
        self,
        clock: clock_lib.Clock,
        lease: datetime.timedelta,
        longest_lease: datetime.timedelta,
    ) -> None:
        """Starts without a lease.

        Args:
            clock: The owner's clock.
            lease: Duration of the leases that the owner grants.
            longest_lease: Duration to which a worker shortens longer leases.
        """
        self._clock = clock
        self._lease = lease
        self._longest_lease = longest_lease
        self._worker_clock_ms = 0
        self._worker_clock_read_s: float | None = None
        # Monotonic time after which all leases that were sent to the worker
        # have expired, so that none of its runs can still be active.
        self._expire_s = 0.0

    @property
    def has_clock(self) -> bool:
        """Whether the worker's clock was ever read."""
        return self._worker_clock_read_s is not None

    @property
    def are_expired(self) -> bool:
        """Whether no run can still be active or start by a granted lease."""
        return self._now_s() > self._expire_s

    @property
    def remaining(self) -> datetime.timedelta:
        """Time until no run can be active by a granted lease."""
        return datetime.timedelta(
            seconds=max(0.0, self._expire_s - self._now_s())
        )

    def record_clock(self, clock_ms: int) -> None:
        """Records the time on the worker's clock, in ms."""
        self._worker_clock_ms = clock_ms
        self._worker_clock_read_s = self._now_s()

    def compute_end(self) -> int:
        """Returns the end of a lease granted now, on the worker's clock."""
        lease_ms = self._lease.total_seconds() * 1000
        return math.floor(self._estimate_clock_ms() + lease_ms)

    def is_past(self, end_ms: int) -> bool:
        """Returns whether a time on the worker's clock has likely passed."""
        return self._estimate_clock_ms() > end_ms

    def extend(self) -> None:
        """Records that a lease is granted now."""
        self._extend_by(self._lease)

    def extend_to_longest(self) -> None:
        """Records that a lease may end as late as the worker allows.

        That is so if a restarted worker receives the end of a lease on the
        clock of its former incarnation.
        """
        self._extend_by(self._longest_lease)

    def _extend_by(self, lease: datetime.timedelta) -> None:
        # The margin covers an order that arrives late.
        span = lease.total_seconds() * (1 + CLOCK_DRIFT)
        self._expire_s = max(
            self._expire_s, self._now_s() + span + _EXPIRY_MARGIN_S
        )

    def _estimate_clock_ms(self) -> float:
        assert self._worker_clock_read_s is not None
        elapsed_ms = (self._now_s() - self._worker_clock_read_s) * 1000
        return self._worker_clock_ms + elapsed_ms

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()
