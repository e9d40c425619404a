"""Measures processor time of one offer, take and finish of the queue.

Run by `PYTHONPATH=src python bench/queue_cost.py`. Prints microseconds of a
request's way through the queue against queue length, classes and teams, and
the slope of a least-squares line.
"""

from collections.abc import Iterator
import dataclasses
import datetime
import json
import pathlib
import statistics
import time

import click

from fireflywell import clock as clock_lib
from fireflywell.bundle import model
from fireflywell.requests import service_queue

_ROUNDS = 5
_REQUESTS = 3000
_RUN_TIME = datetime.timedelta(milliseconds=40)
_STEP = datetime.timedelta(milliseconds=1)
_LONG_LIMIT = datetime.timedelta(hours=1)
_SLOTS = service_queue.SlotState(8, 1, 0)
_USUAL_LENGTH = 100
_USUAL_CLASSES = 5
_USUAL_TEAMS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Size of a queue.

    Attributes:
        length: Waiting requests.
        classes: Classes, all with work if `length` allows.
        teams: Teams, all with work in each class if `length` allows.
    """

    length: int
    classes: int
    teams: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Median microseconds of processor time for one request."""

    varied: str
    size: Size
    microseconds: float


class Harness:
    """A queue of a given size that stays at this size."""

    __slots__ = ("_clock", "_count", "_queue", "_size")

    def __init__(self, size: Size) -> None:
        self._size = size
        self._count = 0
        self._clock = clock_lib.ManualClock()
        classes = tuple(
            model.RequestClass(f"c{number}", 1.0 + number, queue_limit=10**6)
            for number in range(size.classes)
        )
        teams = tuple(model.Team(f"t{number}") for number in range(size.teams))
        service = model.Service("service", "pool", 1, model.Budget(0))
        self._queue = service_queue.ServiceQueue(
            service, classes, teams, self._clock
        )
        for _ in range(size.classes):
            ticket = self._make_ticket()
            self._queue.note_started(ticket)
            self._queue.note_finished(ticket, _RUN_TIME, True)
        for _ in range(size.length):
            self._queue.offer(self._make_ticket())

    def measure(self) -> float:
        """Returns microseconds of one offer, take, start and finish."""
        tickets = [self._make_ticket() for _ in range(_REQUESTS)]
        queue, clock = self._queue, self._clock
        started = time.process_time()
        for ticket in tickets:
            clock.advance(_STEP)
            queue.offer(ticket)
            taken = queue.take_next(_SLOTS)
            assert taken is not None
            queue.note_started(taken)
            queue.note_finished(taken, _RUN_TIME, True)
        return (time.process_time() - started) / _REQUESTS * 1e6

    def _make_ticket(self) -> service_queue.Ticket:
        self._count += 1
        class_number = self._count % self._size.classes
        team_number = self._count // self._size.classes % self._size.teams
        now = self._clock.monotonic()
        return service_queue.Ticket(
            f"r{self._count}",
            f"c{class_number}",
            f"t{team_number}",
            "usual",
            now,
            now + _LONG_LIMIT,
        )


def measure_all() -> Iterator[Cost]:
    """Yields the costs of all sizes."""
    for length in (0, 10, 100, 1000, 5000):
        yield measure_cost("length", Size(length, _USUAL_CLASSES, _USUAL_TEAMS))
    for classes in (1, 5, 10, 20):
        yield measure_cost(
            "classes", Size(_USUAL_LENGTH, classes, _USUAL_TEAMS)
        )
    for teams in (1, 20, 100, 360, 720):
        yield measure_cost("teams", Size(5000, _USUAL_CLASSES, teams))


def measure_cost(varied: str, size: Size) -> Cost:
    """Returns the median cost over some rounds."""
    harness = Harness(size)
    rounds = [harness.measure() for _ in range(_ROUNDS)]
    return Cost(varied, size, statistics.median(rounds))


def compute_slope(costs: list[Cost], varied: str) -> float:
    """Returns microseconds for each unit of what was varied."""
    chosen = [cost for cost in costs if cost.varied == varied]
    return statistics.linear_regression(
        [getattr(cost.size, varied) for cost in chosen],
        [cost.microseconds for cost in chosen],
    ).slope


@click.command()
@click.option("--json", "path", type=click.Path(path_type=pathlib.Path))
def main(path: pathlib.Path | None) -> None:
    """Prints the costs and their slopes."""
    costs = []
    print(f"{'varied':10}{'length':>8}{'classes':>9}{'teams':>7}{'us':>9}")
    for cost in measure_all():
        costs.append(cost)
        size = cost.size
        print(
            f"{cost.varied:10}{size.length:8}{size.classes:9}{size.teams:7}"
            f"{cost.microseconds:9.2f}",
            flush=True,
        )
    for varied in ("length", "classes", "teams"):
        slope = compute_slope(costs, varied)
        print(f"slope by {varied}: {slope:.5f} us for each one more")
    if path is not None:
        values = [dataclasses.asdict(cost) for cost in costs]
        path.write_text(json.dumps(values, indent=1))


if __name__ == "__main__":
    main()
