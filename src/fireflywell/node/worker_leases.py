"""Tracks a worker's clock and the end of the leases granted to it."""

import datetime
import math

from fireflywell import clock as clock_lib

# A worker's clock may be this much slower than the node's.
CLOCK_DRIFT = 0.02
_EXPIRY_MARGIN_S = 0.3

# Shares of a lease. A start doesn't extend the lease of a worker that hasn't
# answered for the first one, unless less than the second one of it is left.
# A worker with runs answers each 0.9 s, and a lease lasts 6 s.
_ANSWER_AGE_SHARE = 0.2
_LEAST_LEFT_SHARE = 0.5

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
        "_granted_end_ms",
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
        # End of the last lease on the worker's clock; None if there is none.
        self._granted_end_ms: int | None = None
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
        if clock_ms < self._worker_clock_ms:
            # Another incarnation's clock.
            self._granted_end_ms = None
        self._worker_clock_ms = clock_ms
        self._worker_clock_read_s = self._now_s()

    def grant(self) -> int:
        """Grants a lease now; returns its end on the worker's clock, in ms."""
        lease_ms = self._lease.total_seconds() * 1000
        self._granted_end_ms = math.floor(self._estimate_clock_ms() + lease_ms)
        self.extend()
        return self._granted_end_ms

    def grant_for_start(self, order_answered_s: float) -> int:
        """Returns the end of a start's lease on the worker's clock, in ms.

        A worker that has fallen silent gets starts until that is noticed. They
        name the end of the last lease, as renewals stop then, too, so that its
        units are free sooner.

        Args:
            order_answered_s: Monotonic time of the last answer to an order.
        """
        assert self._worker_clock_read_s is not None
        lease_s = self._lease.total_seconds()
        answered_s = max(order_answered_s, self._worker_clock_read_s)
        if (
            self._granted_end_ms is None
            or self._now_s() - answered_s < _ANSWER_AGE_SHARE * lease_s
            or self._granted_end_ms - self._estimate_clock_ms()
            < _LEAST_LEFT_SHARE * lease_s * 1000
        ):
            return self.grant()
        return self._granted_end_ms

    def is_past(self, end_ms: int) -> bool:
        """Returns whether a time on the worker's clock has likely passed."""
        return self._estimate_clock_ms() > end_ms

    def extend(self) -> None:
        """Records that a lease may have been granted just now."""
        self._extend_by(self._lease)

    def extend_to_longest(self) -> None:
        """Records that a lease may end as late as the worker allows.

        That is so if a restarted worker receives the end of a lease on the
        clock of its former incarnation.
        """
        self._granted_end_ms = None
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
