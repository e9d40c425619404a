"""Index of waiting tickets by deadline."""

from collections.abc import Callable
from collections.abc import Iterator
import datetime
import heapq

# The index is rebuilt when it holds more than this many entries of tickets
# that left the queue, and more of them than of waiting ones.
_DEAD_ENTRIES = 64


class DeadlineIndex:
    """Finds waiting tickets whose deadline has passed.

    Entries of tickets that left the queue stay until they are due or until
    they are the larger part, so that leaving costs nothing.
    """

    __slots__ = ("_heap", "_is_waiting")

    def __init__(self, is_waiting: Callable[[str], bool]) -> None:
        """Makes an empty index.

        Args:
            is_waiting: Tells whether a ticket is still in the queue.
        """
        self._heap: list[tuple[datetime.timedelta, str]] = []
        self._is_waiting = is_waiting

    def __len__(self) -> int:
        return len(self._heap)

    def add(
        self, deadline: datetime.timedelta, request_id: str, waiting: int
    ) -> None:
        """Adds a ticket.

        Args:
            deadline: Monotonic time.
            request_id: Id of the ticket.
            waiting: Number of tickets in the queue.
        """
        heapq.heappush(self._heap, (deadline, request_id))
        if len(self._heap) > 2 * waiting + _DEAD_ENTRIES:
            self._heap = [
                item for item in self._heap if self._is_waiting(item[1])
            ]
            heapq.heapify(self._heap)

    def take_due(self, now: datetime.timedelta) -> Iterator[str]:
        """Removes and yields the waiting tickets that are due at `now`."""
        while self._heap and self._heap[0][0] <= now:
            _, request_id = heapq.heappop(self._heap)
            if self._is_waiting(request_id):
                yield request_id
