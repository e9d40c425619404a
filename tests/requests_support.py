"""Helpers for tests of the request path's decisions."""

import datetime

from fireflywell import clock as clock_lib
from fireflywell.bundle import model
from fireflywell.requests import service_queue

SERVICE = model.Service("quotes", "quotes", 1, model.Budget(0))
NO_WORK = service_queue.SlotState(8, 8, 0)


def seconds(value: float) -> datetime.timedelta:
    """Returns a duration."""
    return datetime.timedelta(seconds=value)


class Bench:
    """A queue with a manual clock and a counter for request ids."""

    def __init__(
        self,
        classes: tuple[model.RequestClass, ...],
        teams: tuple[str, ...] = ("sales", "audit"),
    ) -> None:
        self.clock = clock_lib.ManualClock()
        self.teams = tuple(model.Team(name) for name in teams)
        self.queue = service_queue.ServiceQueue(
            SERVICE, classes, self.teams, self.clock
        )
        self._count = 0

    def make_ticket(
        self,
        class_name: str,
        team: str = "sales",
        route: str = "usual",
        within: float | None = None,
    ) -> service_queue.Ticket:
        """Returns a new ticket."""
        self._count += 1
        now = self.clock.monotonic()
        deadline = None if within is None else now + seconds(within)
        return service_queue.Ticket(
            f"r{self._count}", class_name, team, route, now, deadline
        )

    def offer(
        self,
        class_name: str,
        team: str = "sales",
        route: str = "usual",
        within: float | None = None,
    ) -> service_queue.Queued | service_queue.QueueRefusal:
        """Offers a new ticket."""
        ticket = self.make_ticket(class_name, team, route, within)
        return self.queue.offer(ticket)

    def finish(self, ticket: service_queue.Ticket, duration: float) -> None:
        """Reports the end of a run."""
        self.queue.note_finished(ticket, seconds(duration), True)

    def run(self, ticket: service_queue.Ticket, duration: float) -> None:
        """Starts a ticket, advances the clock and finishes the ticket."""
        self.queue.note_started(ticket)
        self.clock.advance(seconds(duration))
        self.finish(ticket, duration)

    def observe(
        self,
        class_name: str,
        duration: float,
        count: int = 3,
        route: str = "usual",
    ) -> None:
        """Runs new tickets so that the queue records this run time."""
        for _ in range(count):
            self.run(self.make_ticket(class_name, route=route), duration)

    def start_all(
        self, slots: int = 8, running: int = 0
    ) -> list[service_queue.Ticket]:
        """Starts and returns all tickets that may start in the free slots."""
        started: list[service_queue.Ticket] = []
        while True:
            used = running + len(started)
            long_count = sum(self.queue.is_long(item) for item in started)
            state = service_queue.SlotState(slots, slots - used, long_count)
            ticket = self.queue.take_next(state)
            if ticket is None:
                return started
            self.queue.note_started(ticket)
            started.append(ticket)
