"""Relates versions of the store to this node's clock by its own renewals."""

import collections
import dataclasses
import datetime

# Renewals that are remembered. They reach back further than reads are behind.
_MAX_RENEWALS = 128


@dataclasses.dataclass(frozen=True, slots=True)
class _Renewal:
    """A renewal of this node's lease that the store confirmed.

    Attributes:
        version: Version of the store that it made.
        sent_at: Monotonic time before the call.
        answered_at: Monotonic time after the call.
    """

    version: int
    sent_at: datetime.timedelta
    answered_at: datetime.timedelta


class RenewalTimes:
    """Tells when a state of the store that was read was the present one.

    Transactions are always applied to the present state, so this node's own
    renewals date the versions before and after them.
    """

    __slots__ = ("_renewals",)

    def __init__(self) -> None:
        self._renewals: collections.deque[_Renewal] = collections.deque(
            maxlen=_MAX_RENEWALS
        )

    def record(
        self,
        version: int,
        sent_at: datetime.timedelta,
        answered_at: datetime.timedelta,
    ) -> None:
        """Records a renewal."""
        self._renewals.append(_Renewal(version, sent_at, answered_at))

    def find_earliest(self, version: int) -> datetime.timedelta | None:
        """Returns a time that is before the end of a state of the store.

        Args:
            version: Version of the state.

        Returns:
            Monotonic time; the state shows all that was stored before it. None
            if there is no such renewal.
        """
        for renewal in reversed(self._renewals):
            if renewal.version <= version:
                return renewal.sent_at
        return None

    def find_latest(self, version: int) -> datetime.timedelta | None:
        """Returns a time by which a version of the store was surely made.

        Args:
            version: The version.

        Returns:
            Monotonic time; None if no later renewal is known.
        """
        latest = None
        for renewal in reversed(self._renewals):
            if renewal.version < version:
                break
            latest = renewal.answered_at
        return latest
