"""Run time statistics by class and route; tells long from quick routes."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import enum
import math

from fireflywell.bundle import model
from fireflywell.requests import queue_values

# Routes beyond the limit share one record, so that callers can't grow memory
# by inventing paths.
_OTHER_ROUTES = "*"
# A long route becomes quick only below this fraction of the threshold. The
# hysteresis keeps it from changing its class with every request.
_QUICK_THRESHOLD_RATIO = 0.5
# Lower bound, in seconds, of a duration in the logarithmic mean.
_MINIMUM_DURATION_S = 1e-6


class Lane(enum.IntEnum):
    """Part of a flow's queue, by the expected length of the work.

    A route that was declared quick is unproven until its first run has
    finished: only a few of its requests run at a time, and they may run while
    long work uses all slots open to it.
    """

    QUICK = 0
    UNPROVEN = 1
    LONG = 2


class RouteTimes:
    """Run time statistics of one route of one class; durations in seconds.

    The arithmetic mean is the cost. The logarithmic mean decides whether the
    route is long, because one run that hangs must not make a quick route long.
    """

    __slots__ = (
        "class_name",
        "count",
        "is_long",
        "log_mean",
        "mean",
        "overdue",
        "running",
    )

    def __init__(
        self, class_name: str, initial_mean: float, is_long: bool
    ) -> None:
        self.class_name = class_name
        self.mean = initial_mean
        self.log_mean = math.log(initial_mean)
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
        """Adds the duration of a finished run to both moving averages."""
        self.count += 1
        share = max(smoothing, 1 / self.count)
        self.mean += share * (duration - self.mean)
        logarithm = math.log(max(duration, _MINIMUM_DURATION_S))
        self.log_mean += share * (logarithm - self.log_mean)

    def should_be_long(self, log_threshold: float) -> bool:
        """Whether finished and running requests classify the route as long."""
        if self.count == 0:
            return self.is_long or self.overdue > 0
        # Overdue runs reveal a slower route before the first of them finishes.
        if self.overdue >= 2 and 2 * self.overdue >= self.running:
            return True
        if self.is_long:
            return self.log_mean > log_threshold + math.log(
                _QUICK_THRESHOLD_RATIO
            )
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
        "_runs",
        "_threshold",
        "_unproven_running",
        "_not_overdue",
    )

    def __init__(self, options: queue_values.QueueOptions) -> None:
        self._options = options
        self._threshold = options.long_threshold.total_seconds()
        self._log_threshold = math.log(self._threshold)
        self._classes: dict[str, model.RequestClass] = {}
        self._routes: dict[str, dict[str, RouteTimes]] = {}
        self._runs: dict[str, _Run] = {}
        self._not_overdue: collections.OrderedDict[str, _Run] = (
            collections.OrderedDict()
        )
        self._unproven_running = 0
        self._changed: list[RouteTimes] = []

    @property
    def unproven_running(self) -> int:
        """Requests in progress on unproven routes."""
        return self._unproven_running

    def configure(self, classes: Iterable[model.RequestClass]) -> None:
        """Sets the classes; their declared kinds give the initial estimates."""
        for item in classes:
            self._classes[item.name] = item

    def find(self, class_name: str, route: str) -> RouteTimes:
        """Returns the statistics of a route; makes them if there are none."""
        routes = self._routes.get(class_name)
        if routes is None:
            routes = self._routes[class_name] = {}
        times = routes.get(route)
        if times is not None:
            return times
        if len(routes) >= self._options.maximum_routes:
            route = _OTHER_ROUTES
            times = routes.get(route)
            if times is not None:
                return times
        times = routes[route] = self._make_route(class_name)
        return times

    def record_start(self, ticket: queue_values.Ticket, now: float) -> bool:
        """Records that a request runs; returns False if it already did."""
        if ticket.request_id in self._runs:
            return False
        times = self.find(ticket.class_name, ticket.route)
        run = _Run(now, times)
        self._runs[ticket.request_id] = run
        self._not_overdue[ticket.request_id] = run
        times.running += 1
        if times.lane is Lane.UNPROVEN:
            self._unproven_running += 1
        return True

    def record_finish(
        self, request_id: str, duration: float, succeeded: bool
    ) -> bool:
        """Records the end of a request; returns False if it wasn't running.

        Args:
            request_id: The request.
            duration: Seconds for which it held its slot.
            succeeded: Whether the instance completed the work. The duration
                of a failure counts only if it is above the mean, because an
                instance that fails at once would make all work look quick.
        """
        run = self._runs.pop(request_id, None)
        if run is None:
            return False
        self._not_overdue.pop(request_id, None)
        times = run.times
        if times.lane is Lane.UNPROVEN:
            self._unproven_running -= 1
        times.running -= 1
        times.overdue -= run.is_overdue
        if succeeded or duration > times.mean:
            self._observe(times, duration)
        self._update(times)
        return True

    def mark_overdue(self, now: float) -> None:
        """Marks requests that have run for longer than the long threshold.

        Each request is marked at most once, so the cost doesn't depend on how
        often this is called.
        """
        while self._not_overdue:
            request_id, run = next(iter(self._not_overdue.items()))
            if now - run.started <= self._threshold:
                return
            del self._not_overdue[request_id]
            run.is_overdue = True
            run.times.overdue += 1
            was_long = run.times.is_long
            self._update(run.times)
            if run.times.is_long and not was_long:
                # The mean of earlier runs is no estimate for those in progress.
                initial_mean = self._options.long_guess.total_seconds()
                run.times.mean = max(run.times.mean, initial_mean)

    def pop_changed(self) -> Iterator[RouteTimes]:
        """Yields the routes that changed lanes since the last call."""
        while self._changed:
            yield self._changed.pop()

    def _observe(self, times: RouteTimes, duration: float) -> None:
        if times.lane is Lane.UNPROVEN:
            self._unproven_running -= times.running
            self._changed.append(times)
        times.observe(duration, self._options.smoothing)

    def _update(self, times: RouteTimes) -> None:
        is_long = times.should_be_long(self._log_threshold)
        if is_long == times.is_long:
            return
        if times.lane is Lane.UNPROVEN:
            self._unproven_running -= times.running
        times.is_long = is_long
        self._changed.append(times)

    def _make_route(self, class_name: str) -> RouteTimes:
        declared = self._classes.get(class_name)
        is_long = declared is not None and declared.kind is model.ClassKind.LONG
        initial_mean = (
            self._options.long_guess if is_long else self._options.quick_guess
        )
        return RouteTimes(class_name, initial_mean.total_seconds(), is_long)
