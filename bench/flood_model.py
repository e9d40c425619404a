"""Discrete-event model of one service behind six entries.

Only the decisions are real: network and endpoints are delays on a clock set by
hand. Requests come in an open loop, so the time of arrival is the intended
send time.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import datetime
import heapq
import itertools
import math
import random
from typing import Protocol

import flood_loads
from hdrh import histogram

from fireflywell import clock as clock_lib
from fireflywell.requests import routing
from fireflywell.requests import service_queue

# Spread of the run times (sigma of the logarithm).
_SPREAD = 0.5
WARM_UP = 60.0
# Time after the window in which work may still end.
_DRAIN = 600.0
_REPORT_INTERVAL = 1.0
_FORWARD_TRIES = 2
_LONGEST_US = 3600 * 10**6


class Policy(Protocol):
    """Queue of one entry."""

    def offer(
        self, ticket: service_queue.Ticket
    ) -> service_queue.Queued | service_queue.QueueRefusal:
        """Queues or refuses a ticket."""

    def take_next(
        self, slots: service_queue.SlotState
    ) -> service_queue.Ticket | None:
        """Hands out the next ticket."""

    def drop_expired(self) -> Iterator[service_queue.Ticket]:
        """Yields expired tickets."""

    def withdraw(self, request_id: str) -> bool:
        """Removes a waiting ticket."""

    def may_start(
        self, ticket: service_queue.Ticket, slots: service_queue.SlotState
    ) -> bool:
        """Whether a forwarded request may start."""

    def note_started(self, ticket: service_queue.Ticket) -> None:
        """Notes a start."""

    def note_finished(
        self,
        ticket: service_queue.Ticket,
        duration: datetime.timedelta,
        succeeded: bool,
    ) -> None:
        """Notes an end."""

    def is_long(self, ticket: service_queue.Ticket) -> bool:
        """Whether a request is long."""


PolicyFactory = Callable[
    [flood_loads.Deployment, clock_lib.ManualClock], Policy
]


@dataclasses.dataclass(frozen=True, slots=True)
class Flood:
    """A flood of one class.

    Attributes:
        class_name: Class that is flooded.
        factor: Work that the flood brings, as a multiple of all slots.
        run_time: Mean run time in seconds of the flood's requests.
        route: Route of the flood's requests.
    """

    class_name: str
    factor: float
    run_time: float
    route: str


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """A Poisson stream of requests.

    Attributes:
        group: Row of the results that counts its requests.
        stream: Class of the requests.
        run_time: Mean run time in seconds.
        rate: Requests a second.
        route: Route of the requests.
        teams: Teams that send, in equal parts.
        starts_at: Seconds at which the stream begins.
    """

    group: str
    stream: flood_loads.Stream
    run_time: float
    rate: float
    route: str
    teams: tuple[str, ...]
    starts_at: float


class GroupResult:
    """Counts and latencies of one group in the window."""

    __slots__ = ("answered", "late", "latencies", "offered", "refused")

    def __init__(self) -> None:
        self.offered = 0
        self.answered = 0
        self.late = 0
        self.refused = 0
        self.latencies = histogram.HdrHistogram(1, _LONGEST_US, 3)

    @property
    def goodput(self) -> float:
        """Part of the offered requests that was answered in time."""
        return self.answered / self.offered if self.offered else math.nan

    def find_latency(self, percentile: float) -> float:
        """Returns a percentile of the latency in seconds."""
        if not self.answered:
            return math.nan
        return self.latencies.get_value_at_percentile(percentile) / 1e6


class _Job:
    """A request with its run time and where it is counted."""

    __slots__ = (
        "arrived",
        "is_counted",
        "origin",
        "run_time",
        "source",
        "ticket",
    )

    def __init__(
        self,
        source: Source,
        ticket: service_queue.Ticket,
        run_time: float,
        arrived: float,
        is_counted: bool,
    ) -> None:
        self.source = source
        self.ticket = ticket
        self.run_time = run_time
        self.arrived = arrived
        self.is_counted = is_counted
        self.origin: _Entry | None = None


class _Entry:
    """An entry that is home of one instance."""

    __slots__ = ("forwarded", "number", "policy", "reported_free", "running")

    def __init__(self, number: int, policy: Policy) -> None:
        self.number = number
        self.policy = policy
        self.forwarded = [0] * flood_loads.ENTRIES
        self.running: dict[str, _Job] = {}
        self.reported_free = flood_loads.SLOTS

    def measure_slots(self) -> service_queue.SlotState:
        """Returns the present state of the slots."""
        long_count = sum(
            self.policy.is_long(job.ticket) for job in self.running.values()
        )
        free = flood_loads.SLOTS - len(self.running)
        return service_queue.SlotState(flood_loads.SLOTS, free, long_count)


def _list_peer_capacity(
    entry: _Entry, peers: Iterable[_Entry]
) -> Iterator[routing.PeerCapacity]:
    for peer in peers:
        yield routing.PeerCapacity(
            str(peer.number),
            "",
            "",
            peer.reported_free,
            entry.forwarded[peer.number],
        )


class FloodModel:
    """One run: warm-up, window with or without a flood, drain."""

    __slots__ = (
        "_clock",
        "_end",
        "_entries",
        "_events",
        "_jobs",
        "_now",
        "_order",
        "_results",
    )

    def __init__(
        self,
        deployment: flood_loads.Deployment,
        make_policy: PolicyFactory,
        window: float,
    ) -> None:
        self._clock = clock_lib.ManualClock()
        self._entries = [
            _Entry(number, make_policy(deployment, self._clock))
            for number in range(flood_loads.ENTRIES)
        ]
        self._end = WARM_UP + window
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._jobs: dict[str, _Job] = {}
        self._results: dict[str, GroupResult] = {}
        self._now = 0.0

    def run(
        self, sources: tuple[Source, ...], seed: int
    ) -> dict[str, GroupResult]:
        """Runs all sources and returns the results by group.

        Each source has its own random numbers, so that a run with a flood has
        the same other requests as the one without.
        """
        for source in sources:
            self._results.setdefault(source.group, GroupResult())
            rng = random.Random(f"{seed} {source.group} {source.route}")
            self._schedule_arrival(source, rng, source.starts_at)
        self._schedule(_REPORT_INTERVAL, self._report_loads)
        limit = self._end + _DRAIN
        while self._events and self._events[0][0] <= limit:
            self._now, _, action = heapq.heappop(self._events)
            self._clock.advance(
                datetime.timedelta(seconds=self._now) - self._clock.monotonic()
            )
            action()
        return self._results

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), action))

    def _schedule_arrival(
        self, source: Source, rng: random.Random, after: float
    ) -> None:
        at = after + rng.expovariate(source.rate)
        if at < self._end:
            self._schedule(at, lambda: self._arrive(source, rng))

    def _report_loads(self) -> None:
        for entry in self._entries:
            entry.reported_free = flood_loads.SLOTS - len(entry.running)
        if self._now < self._end or self._jobs:
            self._schedule(self._now + _REPORT_INTERVAL, self._report_loads)

    def _arrive(self, source: Source, rng: random.Random) -> None:
        self._schedule_arrival(source, rng, self._now)
        job = self._make_job(source, rng)
        entry = self._entries[rng.randrange(len(self._entries))]
        result = self._results[source.group]
        result.offered += job.is_counted
        match entry.policy.offer(job.ticket):
            case service_queue.QueueRefusal():
                result.refused += job.is_counted
                return
            case service_queue.Queued():
                self._jobs[job.ticket.request_id] = job
        self._pump(entry)
        if job.ticket.request_id in self._jobs:
            self._try_forward(entry, job)

    def _make_job(self, source: Source, rng: random.Random) -> _Job:
        mu = math.log(source.run_time) - _SPREAD**2 / 2
        run_time = rng.lognormvariate(mu, _SPREAD)
        now = self._clock.monotonic()
        limit = source.stream.config.deadline
        ticket = service_queue.Ticket(
            f"r{next(self._order)}",
            source.stream.config.name,
            rng.choice(source.teams),
            source.route,
            now,
            None if limit is None else now + limit,
        )
        return _Job(source, ticket, run_time, self._now, self._now >= WARM_UP)

    def _pump(self, entry: _Entry) -> None:
        while len(entry.running) < flood_loads.SLOTS:
            ticket = entry.policy.take_next(entry.measure_slots())
            if ticket is None:
                break
            self._start(entry, self._jobs[ticket.request_id])
        for ticket in entry.policy.drop_expired():
            job = self._jobs.pop(ticket.request_id)
            self._results[job.source.group].late += job.is_counted

    def _try_forward(self, entry: _Entry, job: _Job) -> None:
        homes = {
            str(peer.number): peer
            for peer in self._entries
            if peer is not entry
        }
        for _ in range(_FORWARD_TRIES):
            decision = routing.choose_route(
                (), _list_peer_capacity(entry, homes.values()), ""
            )
            match decision:
                case routing.ForwardTo(address=address):
                    peer = homes.pop(address)
                case _:
                    return
            if peer.policy.may_start(job.ticket, peer.measure_slots()):
                entry.policy.withdraw(job.ticket.request_id)
                job.origin = entry
                entry.forwarded[peer.number] += 1
                self._start(peer, job)
                return

    def _start(self, entry: _Entry, job: _Job) -> None:
        del self._jobs[job.ticket.request_id]
        entry.running[job.ticket.request_id] = job
        entry.policy.note_started(job.ticket)
        self._schedule(
            self._now + job.run_time, lambda: self._finish(entry, job)
        )

    def _finish(self, entry: _Entry, job: _Job) -> None:
        del entry.running[job.ticket.request_id]
        if job.origin is not None:
            job.origin.forwarded[entry.number] -= 1
        entry.policy.note_finished(
            job.ticket, datetime.timedelta(seconds=job.run_time), True
        )
        if job.is_counted:
            self._count(job)
        self._pump(entry)

    def _count(self, job: _Job) -> None:
        result = self._results[job.source.group]
        latency = self._now - job.arrived
        limit = job.source.stream.config.deadline
        if limit is not None and latency > limit.total_seconds():
            result.late += 1
            return
        result.answered += 1
        result.latencies.record_value(max(1, round(latency * 1e6)))
