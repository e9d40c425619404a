"""Baselines: FIFO, strict priority and static shares.

All know the declared kinds only and have the same bounds for each class.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import datetime

from fireflywell import clock as clock_lib
from fireflywell.bundle import model
from fireflywell.requests import service_queue


class _ClassQueues:
    """Bounded first-in-first-out queue for each class."""

    __slots__ = ("_classes", "_clock", "_expired", "_queues", "_where")

    def __init__(
        self,
        classes: Iterable[model.RequestClass],
        clock: clock_lib.Clock,
    ) -> None:
        self._classes = {item.name: item for item in classes}
        self._clock = clock
        self._queues: dict[
            str, collections.OrderedDict[str, service_queue.Ticket]
        ] = {name: collections.OrderedDict() for name in self._classes}
        self._where: dict[str, str] = {}
        self._expired: list[service_queue.Ticket] = []

    @property
    def queued(self) -> int:
        """Number of waiting tickets."""
        return len(self._where)

    def offer(
        self, ticket: service_queue.Ticket
    ) -> service_queue.Queued | service_queue.QueueRefusal:
        """Queues a ticket while its class has room."""
        queue = self._queues[ticket.class_name]
        if len(queue) >= self._classes[ticket.class_name].queue_limit:
            return service_queue.QueueRefusal(
                "full", None, service_queue.RefusalKind.CLASS_FULL
            )
        queue[ticket.request_id] = ticket
        self._where[ticket.request_id] = ticket.class_name
        return service_queue.Queued(datetime.timedelta())

    def drop_expired(self) -> Iterator[service_queue.Ticket]:
        """Yields the tickets dropped at their deadline."""
        while self._expired:
            yield self._expired.pop()

    def withdraw(self, request_id: str) -> bool:
        """Removes a waiting ticket."""
        name = self._where.pop(request_id, None)
        if name is None:
            return False
        del self._queues[name][request_id]
        return True

    def may_start(
        self, ticket: service_queue.Ticket, slots: service_queue.SlotState
    ) -> bool:
        """Whether a forwarded request may start."""
        del ticket
        return slots.free > 0 and not self._where

    def note_started(self, ticket: service_queue.Ticket) -> None:
        """Ignores a start."""

    def note_finished(
        self,
        ticket: service_queue.Ticket,
        duration: datetime.timedelta,
        succeeded: bool,
    ) -> None:
        """Ignores an end."""

    def is_long(self, ticket: service_queue.Ticket) -> bool:
        """Whether the class is declared long."""
        return self._classes[ticket.class_name].kind is model.ClassKind.LONG

    def _find_head(self, name: str) -> service_queue.Ticket | None:
        queue = self._queues[name]
        now = self._clock.monotonic()
        while queue:
            ticket = next(iter(queue.values()))
            if ticket.deadline is None or ticket.deadline > now:
                return ticket
            self.withdraw(ticket.request_id)
            self._expired.append(ticket)
        return None


class FifoQueue(_ClassQueues):
    """Hands out the oldest ticket of all classes."""

    __slots__ = ()

    def take_next(
        self, slots: service_queue.SlotState
    ) -> service_queue.Ticket | None:
        """Returns the oldest ticket if a slot is free."""
        if slots.free <= 0:
            return None
        heads = [
            head
            for name in self._classes
            if (head := self._find_head(name)) is not None
        ]
        if not heads:
            return None
        oldest = min(heads, key=lambda ticket: ticket.enqueued_at)
        self.withdraw(oldest.request_id)
        return oldest


class PriorityQueue(_ClassQueues):
    """Hands out the ticket of the most urgent class, in the given order."""

    __slots__ = ()

    def take_next(
        self, slots: service_queue.SlotState
    ) -> service_queue.Ticket | None:
        """Returns the most urgent ticket if a slot is free."""
        if slots.free <= 0:
            return None
        for name in self._classes:
            head = self._find_head(name)
            if head is not None:
                self.withdraw(head.request_id)
                return head
        return None


class StaticSharesQueue(_ClassQueues):
    """Gives each class a fixed number of slots at each entry."""

    __slots__ = ("_limits", "_running", "_runs")

    def __init__(
        self,
        classes: Iterable[model.RequestClass],
        clock: clock_lib.Clock,
        slots: int,
    ) -> None:
        super().__init__(classes, clock)
        weights = sum(item.weight for item in self._classes.values())
        self._limits = {
            item.name: max(1, round(slots * item.weight / weights))
            for item in self._classes.values()
        }
        self._running: collections.Counter[str] = collections.Counter()
        self._runs: set[str] = set()

    def may_start(
        self, ticket: service_queue.Ticket, slots: service_queue.SlotState
    ) -> bool:
        """Whether the class of a forwarded request has room."""
        name = ticket.class_name
        return slots.free > 0 and self._running[name] < self._limits[name]

    def take_next(
        self, slots: service_queue.SlotState
    ) -> service_queue.Ticket | None:
        """Returns the oldest ticket of a class with room."""
        if slots.free <= 0:
            return None
        for name, limit in self._limits.items():
            if self._running[name] >= limit:
                continue
            head = self._find_head(name)
            if head is not None:
                self.withdraw(head.request_id)
                return head
        return None

    def note_started(self, ticket: service_queue.Ticket) -> None:
        """Counts a start."""
        self._runs.add(ticket.request_id)
        self._running[ticket.class_name] += 1

    def note_finished(
        self,
        ticket: service_queue.Ticket,
        duration: datetime.timedelta,
        succeeded: bool,
    ) -> None:
        """Counts an end."""
        del duration, succeeded
        if ticket.request_id in self._runs:
            self._runs.remove(ticket.request_id)
            self._running[ticket.class_name] -= 1
