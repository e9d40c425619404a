"""Weighted fair queue of two levels: classes, then teams inside a class.

Start-time fair queueing: each flow carries a tag that grows by the cost of its
served work divided by its weight, and the waiting flow with the lowest tag is
next. A flow that was idle continues at the tag of the work served last, so it
neither saves up nor owes for the time in which others used its share.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import heapq
import itertools

from fireflywell.bundle import model
from fireflywell.requests import queue_values
from fireflywell.requests import service_times


class Waiting:
    """A ticket in the queue.

    `cost` is the run time in seconds that was expected when the ticket came;
    the sums of waiting costs use it, while the charge uses the current mean.
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


_LANES = len(service_times.Lane)
_LaneQueue = collections.OrderedDict[str, Waiting]


class TeamFlow:
    """Waiting work of one team in one class."""

    __slots__ = (
        "costs",
        "debt",
        "in_heap",
        "lanes",
        "name",
        "owner",
        "queued",
        "tag",
        "weight",
    )

    def __init__(self, name: str, weight: float, owner: "ClassFlow") -> None:
        self.name = name
        self.weight = weight
        self.owner = owner
        self.tag = 0.0
        self.debt = 0.0
        self.lanes: tuple[_LaneQueue, ...] = tuple(
            collections.OrderedDict() for _ in service_times.Lane
        )
        self.costs = [0.0] * _LANES
        self.in_heap = [False] * _LANES
        self.queued = 0

    def sort_by_arrival(self, lane: service_times.Lane) -> None:
        """Restores the order of a lane after tickets were moved into it."""
        queue = self.lanes[lane]
        for waiting in sorted(
            queue.values(), key=lambda item: item.ticket.enqueued_at
        ):
            queue.move_to_end(waiting.ticket.request_id)

    def charge(self, cost: float) -> None:
        """Adds served work to the tag.

        Corrections wait in `debt` until here, because a tag that never falls
        keeps the heap's entries valid lower bounds.
        """
        owed = cost + self.debt
        self.debt = min(0.0, owed)
        self.tag += max(0.0, owed) / self.weight


class ClassFlow:
    """Waiting work of one class."""

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

    def add(self, waiting: Waiting) -> None:
        """Appends a ticket to its team's lane."""
        lane, team = waiting.lane, waiting.team
        if not self.counts[lane]:
            self._activate_lane(lane)
        if not team.queued:
            team.tag = max(team.tag, self.virtual_time)
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

    def remove(self, waiting: Waiting) -> None:
        """Takes a ticket out of its team's lane."""
        lane, team = waiting.lane, waiting.team
        queue = team.lanes[lane]
        del queue[waiting.ticket.request_id]
        team.costs[lane] = team.costs[lane] - waiting.cost if queue else 0.0
        team.queued -= 1
        self.queued -= 1
        self.counts[lane] -= 1
        # Set to zero where it must be, as rounding errors would add up.
        if self.counts[lane]:
            self.costs[lane] -= waiting.cost
        else:
            self.costs[lane] = 0.0
        if not team.queued:
            self.active_weight -= team.weight
        if not self.queued:
            self.active_weight = 0.0

    def take(self, lane: service_times.Lane) -> Waiting:
        """Removes and returns the next ticket of a lane that isn't empty."""
        team = self._find_next_team(lane)
        self.virtual_time = max(self.virtual_time, team.tag)
        waiting = next(iter(team.lanes[lane].values()))
        self.remove(waiting)
        team.charge(waiting.times.mean)
        self.lane_tags[lane] += waiting.times.mean
        return waiting

    def list_waiting(self) -> Iterator[Waiting]:
        """Yields all waiting tickets."""
        for team in self.teams.values():
            for queue in team.lanes:
                yield from queue.values()

    def _activate_lane(self, lane: service_times.Lane) -> None:
        busy = [
            tag
            for tag, count in zip(self.lane_tags, self.counts, strict=True)
            if count
        ]
        if busy:
            self.lane_tags[lane] = max(self.lane_tags[lane], min(busy))

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


class FairQueue:
    """All classes of one service."""

    __slots__ = ("_classes", "_index", "_team_weights", "_virtual_time")

    def __init__(self) -> None:
        self._classes: dict[str, ClassFlow] = {}
        self._team_weights: dict[str, float] = {}
        self._index: dict[str, Waiting] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._index)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._index

    def configure(
        self,
        classes: Iterable[model.RequestClass],
        teams: Iterable[model.Team],
    ) -> None:
        """Sets classes and teams; waiting tickets stay where they are.

        A class that is gone serves what waits in it and accepts no more.
        """
        self._team_weights = {team.name: team.weight for team in teams}
        for flow in self._classes.values():
            flow.is_retired = True
        for config in classes:
            flow = self._classes.setdefault(config.name, ClassFlow(config))
            flow.config = config
            flow.is_retired = False
        for name, flow in tuple(self._classes.items()):
            if flow.is_retired and not flow.queued:
                del self._classes[name]
                continue
            self._reweight_teams(flow)

    def list_classes(self) -> Iterable[ClassFlow]:
        """Returns all classes."""
        return self._classes.values()

    def find_class(self, name: str) -> ClassFlow | None:
        """Returns a class that accepts tickets, or None."""
        flow = self._classes.get(name)
        return None if flow is None or flow.is_retired else flow

    def find_team(self, flow: ClassFlow, name: str) -> TeamFlow | None:
        """Returns a team's flow in a class, or None for an unknown team."""
        weight = self._team_weights.get(name)
        if weight is None:
            return None
        team = flow.teams.get(name)
        if team is None:
            team = flow.teams[name] = TeamFlow(name, weight, flow)
        return team

    def add(self, waiting: Waiting) -> None:
        """Appends a ticket."""
        flow = waiting.team.owner
        if not flow.queued:
            flow.tag = max(flow.tag, self._virtual_time)
        flow.add(waiting)
        self._index[waiting.ticket.request_id] = waiting

    def remove(self, request_id: str) -> Waiting | None:
        """Removes and returns a ticket, or returns None."""
        waiting = self._index.pop(request_id, None)
        if waiting is not None:
            waiting.team.owner.remove(waiting)
        return waiting

    def take(self, flow: ClassFlow, lane: service_times.Lane) -> Waiting:
        """Removes and returns the next ticket of a class and lane."""
        self._virtual_time = max(self._virtual_time, flow.tag)
        waiting = flow.take(lane)
        del self._index[waiting.ticket.request_id]
        flow.tag += waiting.times.mean / flow.config.weight
        return waiting

    def correct(self, team: TeamFlow, difference: float) -> None:
        """Adds the difference between actual and estimated cost, in seconds."""
        team.debt += difference
        team.owner.tag += difference / team.owner.config.weight

    def move_route(self, times: service_times.RouteTimes) -> None:
        """Moves a route's waiting tickets to the lane where it belongs now."""
        flow = self._classes.get(times.key.class_name)
        if flow is None:
            return
        moved = [item for item in flow.list_waiting() if item.times is times]
        lane = times.lane
        for waiting in moved:
            self.remove(waiting.ticket.request_id)
            waiting.lane = lane
            waiting.cost = times.mean
            self.add(waiting)
        for team in {item.team.name: item.team for item in moved}.values():
            team.sort_by_arrival(lane)

    def _reweight_teams(self, flow: ClassFlow) -> None:
        flow.active_weight = 0.0
        for name, team in tuple(flow.teams.items()):
            team.weight = self._team_weights.get(name, team.weight)
            if team.queued:
                flow.active_weight += team.weight
            elif name not in self._team_weights:
                del flow.teams[name]
