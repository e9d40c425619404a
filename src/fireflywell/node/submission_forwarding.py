"""Decides which submissions go to a service's owner instead of the store.

Answers a slow store, of which a partition carries out a few transactions a
second while a hundred nodes write one for each submission: the owner stores
those of all nodes in shared transactions. Answers a store that refuses single
nodes, too.
"""

from collections.abc import Callable
import datetime

from fireflywell import clock as clock_lib

# A write that takes longer shows that the store is slow; otherwise it takes
# about 30 ms. A busy node is as slow for a moment, and forwarding costs little.
_SLOW_WRITE = datetime.timedelta(milliseconds=150)

# How long submissions are forwarded after the last sign of trouble. One node in
# ten that tries it by itself fills a partition that carries out five
# transactions a second, and a node may get a submission every few seconds only.
_FORWARD_FOR = datetime.timedelta(seconds=10)

# An owner that couldn't be reached isn't tried again for this time.
_UNREACHABLE_PAUSE = datetime.timedelta(seconds=1)


class ForwardingPolicy:
    """Tracks which services' writes are in trouble and who can be asked."""

    __slots__ = (
        "_clock",
        "_find_owner",
        "_get_write_time",
        "_troubled_at",
        "_unreachable_at",
    )

    def __init__(
        self,
        clock: clock_lib.Clock,
        find_owner: Callable[[str], str],
        get_write_time: Callable[[], datetime.timedelta] = datetime.timedelta,
    ) -> None:
        """Starts without any trouble.

        Args:
            clock: The node's clock.
            find_owner: Returns the callers' address of a service's owner;
                empty if it isn't known or is this node.
            get_write_time: Returns how long this node's last write of its own
                row took. A node thereby knows that the store is slow before
                its first submission.
        """
        self._get_write_time = get_write_time
        self._clock = clock
        self._find_owner = find_owner
        # When each service's last slow or failed write ended.
        self._troubled_at: dict[str, datetime.timedelta] = {}
        # When each address couldn't be reached.
        self._unreachable_at: dict[str, datetime.timedelta] = {}

    def record_write(self, service: str, elapsed: datetime.timedelta) -> None:
        """Records how long it took to store a job of a service."""
        if elapsed > _SLOW_WRITE:
            self.record_failure(service)

    def record_failure(self, service: str) -> None:
        """Records that a job of a service wasn't surely stored."""
        self._troubled_at[service] = self._clock.monotonic()

    def record_unreachable(self, address: str) -> None:
        """Records that an owner couldn't be reached."""
        self._unreachable_at[address] = self._clock.monotonic()

    def find_target(self, service: str) -> str:
        """Returns the address to which a submission is forwarded.

        Returns:
            The owner's address; empty if this node is to use the store.
        """
        is_troubled = self._is_recent(
            self._troubled_at.get(service), _FORWARD_FOR
        )
        if not is_troubled and self._get_write_time() <= _SLOW_WRITE:
            return ""
        address = self._find_owner(service)
        if self._is_recent(
            self._unreachable_at.get(address), _UNREACHABLE_PAUSE
        ):
            return ""
        return address

    def _is_recent(
        self, at: datetime.timedelta | None, period: datetime.timedelta
    ) -> bool:
        return at is not None and self._clock.monotonic() - at < period
