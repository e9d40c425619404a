"""Index of waiting tickets by deadline."""

from collections.abc import Callable
from collections.abc import Iterator
import datetime
import heapq

# The index is rebuilt if more than this many of its entries are stale, i.e. of
# tickets that left the queue, and they outnumber those of waiting tickets.
_MINIMUM_STALE_ENTRIES = 64


class DeadlineIndex:
    """Finds waiting tickets whose deadline has passed.

    Entries of tickets that left the queue are removed lazily: when they are
    due or outnumber the others. So removing a ticket needs no search here.
    """

    __slots__ = ("_find_deadline", "_heap")

    def __init__(
        self, find_deadline: Callable[[str], datetime.timedelta | None]
    ) -> None:
        """Makes an empty index.

        Args:
            find_deadline: Returns the deadline of a waiting ticket. An entry
                with another deadline belongs to an earlier ticket with the
                same id and is ignored.
        """
        self._heap: list[tuple[datetime.timedelta, str]] = []
        self._find_deadline = find_deadline

    def __len__(self) -> int:
        return len(self._heap)

    def add(
        self, deadline: datetime.timedelta, request_id: str, waiting: int
    ) -> None:
        """Adds a ticket that was already added to the queue.

        Args:
            deadline: Monotonic time.
            request_id: Id of the ticket.
            waiting: Number of tickets in the queue.
        """
        heapq.heappush(self._heap, (deadline, request_id))
        if len(self._heap) > 2 * waiting + _MINIMUM_STALE_ENTRIES:
            self._heap = [
                item
                for item in self._heap
                if self._find_deadline(item[1]) == item[0]
            ]
            heapq.heapify(self._heap)

    def pop_due(self, now: datetime.timedelta) -> Iterator[str]:
        """Removes due entries and yields the ids of those that still wait."""
        while self._heap and self._heap[0][0] <= now:
            deadline, request_id = heapq.heappop(self._heap)
            if self._find_deadline(request_id) == deadline:
                yield request_id
