"""Flows of the weighted fair queue: a class, and its teams."""

import collections
from collections.abc import Iterator
import heapq
import itertools

from fireflywell.bundle import model
from fireflywell.requests import queue_values
from fireflywell.requests import service_times


class WaitingTicket:
    """A ticket in the queue.

    `cost` is the run time in seconds that was expected when the ticket was
    queued. The sums of waiting costs use it; the charge uses the current mean.
    """

    __slots__ = ("cost", "lane", "team", "ticket", "times")

    def __init__(
        self,
        ticket: queue_values.Ticket,
        times: service_times.RouteTimes,
        team: "TeamFlow",
    ) -> None:
        self.ticket = ticket
        self.times = times
        self.cost = times.mean
        self.lane = times.lane
        self.team = team


# Credit, in runs, of a team that used less than its share: its next requests go
# before the backlog of the other teams.
_TEAM_CREDIT = 2.0
_LANES = len(service_times.Lane)
_LaneQueue = collections.OrderedDict[str, WaitingTicket]


class TeamFlow:
    """Waiting tickets of one team in one class, and the team's tag."""

    __slots__ = (
        "costs",
        "pending_correction",
        "in_heap",
        "lanes",
        "name",
        "class_flow",
        "queued",
        "tag",
        "weight",
    )

    def __init__(
        self, name: str, weight: float, class_flow: "ClassFlow"
    ) -> None:
        self.name = name
        self.weight = weight
        self.class_flow = class_flow
        self.tag = 0.0
        self.pending_correction = 0.0
        self.lanes: tuple[_LaneQueue, ...] = tuple(
            collections.OrderedDict() for _ in service_times.Lane
        )
        self.costs = [0.0] * _LANES
        self.in_heap = [False] * _LANES
        self.queued = 0

    def sort_by_arrival(self, lane: service_times.Lane) -> None:
        """Sorts a lane by arrival after tickets were moved into it."""
        queue = self.lanes[lane]
        for waiting in sorted(
            queue.values(), key=lambda item: item.ticket.enqueued_at
        ):
            queue.move_to_end(waiting.ticket.request_id)

    def charge(self, cost: float) -> None:
        """Adds the cost of served work to the tag.

        Corrections are collected in `pending_correction` and applied here, so
        that the tag never decreases: the heap's entries must stay valid lower
        bounds.
        """
        charged = cost + self.pending_correction
        self.pending_correction = min(0.0, charged)
        self.tag += max(0.0, charged) / self.weight


class ClassFlow:
    """Waiting tickets of one class by team and lane, and the class's tag."""

    __slots__ = (
        "active_weight",
        "config",
        "costs",
        "counts",
        "is_retired",
        "lane_tags",
        "queued",
        "tag",
        "teams",
        "virtual_time",
        "_heaps",
        "_order",
    )

    def __init__(self, config: model.RequestClass) -> None:
        self.config = config
        self.is_retired = False
        self.tag = 0.0
        self.virtual_time = 0.0
        self.active_weight = 0.0
        self.teams: dict[str, TeamFlow] = {}
        self.queued = 0
        self.counts = [0] * _LANES
        self.costs = [0.0] * _LANES
        self.lane_tags = [0.0] * _LANES
        self._heaps: tuple[list[tuple[float, int, TeamFlow]], ...] = tuple(
            [] for _ in service_times.Lane
        )
        self._order = itertools.count()

    def add(self, waiting: WaitingTicket) -> None:
        """Appends a ticket to its team's lane."""
        lane, team = waiting.lane, waiting.team
        if not self.counts[lane]:
            self._activate_lane(lane)
        if not team.queued:
            credit = _TEAM_CREDIT * waiting.cost / team.weight
            team.tag = max(team.tag, self.virtual_time - credit)
            self.active_weight += team.weight
        if not team.in_heap[lane]:
            team.in_heap[lane] = True
            item = (team.tag, next(self._order), team)
            heapq.heappush(self._heaps[lane], item)
        team.lanes[lane][waiting.ticket.request_id] = waiting
        team.costs[lane] += waiting.cost
        team.queued += 1
        self.queued += 1
        self.counts[lane] += 1
        self.costs[lane] += waiting.cost

    def remove(self, waiting: WaitingTicket) -> None:
        """Removes a ticket from its team's lane."""
        lane, team = waiting.lane, waiting.team
        queue = team.lanes[lane]
        del queue[waiting.ticket.request_id]
        team.costs[lane] = team.costs[lane] - waiting.cost if queue else 0.0
        team.queued -= 1
        self.queued -= 1
        self.counts[lane] -= 1
        # An empty lane is reset to zero, as rounding errors would add up.
        if self.counts[lane]:
            self.costs[lane] -= waiting.cost
        else:
            self.costs[lane] = 0.0
        if not team.queued:
            self.active_weight -= team.weight
        if not self.queued:
            self.active_weight = 0.0

    def take(self, lane: service_times.Lane) -> WaitingTicket:
        """Removes and returns the next ticket of a lane that isn't empty."""
        team = self._find_next_team(lane)
        self.virtual_time = max(self.virtual_time, team.tag)
        waiting = next(iter(team.lanes[lane].values()))
        self.remove(waiting)
        team.charge(waiting.times.mean)
        self.lane_tags[lane] += waiting.times.mean
        return waiting

    def list_waiting(self) -> Iterator[WaitingTicket]:
        """Yields all waiting tickets."""
        for team in self.teams.values():
            for queue in team.lanes:
                yield from queue.values()

    def _activate_lane(self, lane: service_times.Lane) -> None:
        active_tags = [
            tag
            for tag, count in zip(self.lane_tags, self.counts, strict=True)
            if count
        ]
        if active_tags:
            self.lane_tags[lane] = max(self.lane_tags[lane], min(active_tags))

    def _find_next_team(self, lane: service_times.Lane) -> TeamFlow:
        heap = self._heaps[lane]
        while True:
            tag, _, team = heap[0]
            if not team.lanes[lane]:
                heapq.heappop(heap)
                team.in_heap[lane] = False
            elif tag < team.tag:
                item = (team.tag, next(self._order), team)
                heapq.heapreplace(heap, item)
            else:
                return team
