"""Observed run times by class and route, and which work is long."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum
import math

from fireflywell.bundle import model
from fireflywell.requests import queue_values

# Routes beyond the limit share one record, so that callers can't grow memory
# by inventing paths.
_OTHER_ROUTES = "*"
# A route becomes quick again only well below the threshold, so that it doesn't
# change sides with every request.
_QUICK_AGAIN = 0.5
# Shorter durations count as this many seconds in the logarithmic mean.
_SHORTEST = 1e-6


class Lane(enum.IntEnum):
    """Work of a flow waits apart by what is known of its length.

    Work that is declared quick and was never seen to end is unproven: only
    one such request at a time may use the slots that are closed to long work.
    """

    QUICK = 0
    UNPROVEN = 1
    LONG = 2


@dataclasses.dataclass(frozen=True, slots=True)
class RouteKey:
    """Names a record of run times."""

    class_name: str
    route: str


class RouteTimes:
    """Run times of one route of one class; durations in seconds.

    The arithmetic mean is the cost. The logarithmic mean tells long from quick
    work, because one run that hangs must not make a quick route long.
    """

    __slots__ = (
        "count",
        "is_long",
        "key",
        "log_mean",
        "mean",
        "overdue",
        "running",
    )

    def __init__(self, key: RouteKey, guess: float, is_long: bool) -> None:
        self.key = key
        self.mean = guess
        self.log_mean = math.log(guess)
        self.is_long = is_long
        self.count = 0
        self.running = 0
        self.overdue = 0

    @property
    def lane(self) -> Lane:
        """Lane in which the route's requests wait."""
        if self.is_long:
            return Lane.LONG
        return Lane.QUICK if self.count else Lane.UNPROVEN

    def observe(self, duration: float, smoothing: float) -> None:
        """Adds one finished run."""
        self.count += 1
        share = max(smoothing, 1 / self.count)
        self.mean += share * (duration - self.mean)
        logarithm = math.log(max(duration, _SHORTEST))
        self.log_mean += share * (logarithm - self.log_mean)

    def looks_long(self, log_threshold: float) -> bool:
        """Whether the route is long by its finished and running requests."""
        if self.count == 0:
            return self.is_long or self.overdue > 0
        # Runs in progress show a change before the first of them ends.
        if self.overdue >= 2 and 2 * self.overdue >= self.running:
            return True
        if self.is_long:
            return self.log_mean > log_threshold + math.log(_QUICK_AGAIN)
        return self.log_mean > log_threshold


class _Run:
    """A request in progress."""

    __slots__ = ("is_overdue", "started", "times")

    def __init__(self, started: float, times: RouteTimes) -> None:
        self.started = started
        self.times = times
        self.is_overdue = False


class ServiceTimes:
    """Observed run times of one service at one entry."""

    __slots__ = (
        "_changed",
        "_classes",
        "_log_threshold",
        "_options",
        "_routes",
        "_route_counts",
        "_runs",
        "_threshold",
        "_unproven",
        "_young",
    )

    def __init__(self, options: queue_values.QueueOptions) -> None:
        self._options = options
        self._threshold = options.long_threshold.total_seconds()
        self._log_threshold = math.log(self._threshold)
        self._classes: dict[str, model.RequestClass] = {}
        self._routes: dict[RouteKey, RouteTimes] = {}
        self._route_counts: collections.Counter[str] = collections.Counter()
        self._runs: dict[str, _Run] = {}
        self._young: collections.OrderedDict[str, _Run] = (
            collections.OrderedDict()
        )
        self._unproven = 0
        self._changed: list[RouteTimes] = []

    @property
    def unproven_running(self) -> int:
        """Requests in progress on unproven routes."""
        return self._unproven

    def configure(self, classes: Iterable[model.RequestClass]) -> None:
        """Sets the classes whose declared kinds are the first guesses."""
        for item in classes:
            self._classes[item.name] = item

    def find(self, class_name: str, route: str) -> RouteTimes:
        """Returns the record of a route, a new one if it is unknown."""
        key = RouteKey(class_name, route)
        times = self._routes.get(key)
        if times is not None:
            return times
        if self._route_counts[class_name] >= self._options.maximum_routes:
            key = RouteKey(class_name, _OTHER_ROUTES)
            times = self._routes.get(key)
            if times is not None:
                return times
        self._route_counts[class_name] += 1
        times = self._routes[key] = self._make_route(key)
        return times

    def note_started(self, ticket: queue_values.Ticket, now: float) -> None:
        """Notes that a request holds a slot from now on."""
        if ticket.request_id in self._runs:
            return
        times = self.find(ticket.class_name, ticket.route)
        run = _Run(now, times)
        self._runs[ticket.request_id] = run
        self._young[ticket.request_id] = run
        times.running += 1
        if times.lane is Lane.UNPROVEN:
            self._unproven += 1

    def note_finished(
        self, request_id: str, duration: float, succeeded: bool
    ) -> bool:
        """Notes the end of a request; returns False if it wasn't running.

        Args:
            request_id: The request.
            duration: Seconds for which it held its slot.
            succeeded: Whether the duration is that of real work. Failures
                count only where they took longer than usual, as an instance
                that fails at once would make all work look quick.
        """
        run = self._runs.pop(request_id, None)
        if run is None:
            return False
        self._young.pop(request_id, None)
        times = run.times
        if times.lane is Lane.UNPROVEN:
            self._unproven -= 1
        times.running -= 1
        times.overdue -= run.is_overdue
        if succeeded or duration > times.mean:
            self._observe(times, duration)
        self._update(times)
        return True

    def note_overdue(self, now: float) -> None:
        """Notes the requests that by now have run for longer than quick work.

        Each request is looked at once, so the cost doesn't depend on how
        often this is called.
        """
        while self._young:
            request_id, run = next(iter(self._young.items()))
            if now - run.started <= self._threshold:
                return
            del self._young[request_id]
            run.is_overdue = True
            run.times.overdue += 1
            self._update(run.times)

    def take_changed(self) -> Iterator[RouteTimes]:
        """Yields the routes that changed lanes since the last call."""
        while self._changed:
            yield self._changed.pop()

    def _observe(self, times: RouteTimes, duration: float) -> None:
        if times.lane is Lane.UNPROVEN:
            self._unproven -= times.running
            self._changed.append(times)
        times.observe(duration, self._options.smoothing)

    def _update(self, times: RouteTimes) -> None:
        is_long = times.looks_long(self._log_threshold)
        if is_long == times.is_long:
            return
        if times.lane is Lane.UNPROVEN:
            self._unproven -= times.running
        times.is_long = is_long
        self._changed.append(times)

    def _make_route(self, key: RouteKey) -> RouteTimes:
        declared = self._classes.get(key.class_name)
        is_long = declared is not None and declared.kind is model.ClassKind.LONG
        guess = (
            self._options.long_guess if is_long else self._options.quick_guess
        )
        return RouteTimes(key, guess.total_seconds(), is_long)
