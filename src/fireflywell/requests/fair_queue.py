"""Weighted fair queue of two levels: classes, then teams inside a class.

Start-time fair queueing: each flow carries a tag that grows by the cost of its
served work divided by its weight, and the waiting flow with the lowest tag is
next. A flow that was idle continues at the tag of the work served last, so it
doesn't owe for a time in which others left their shares unused. A class may
continue a bounded credit below that, so that bursts of a class that keeps to
its share find slots at once.
"""

from collections.abc import Iterable
import datetime

from fireflywell.bundle import model
from fireflywell.requests import flows
from fireflywell.requests import service_times


class FairQueue:
    """All classes of one service."""

    __slots__ = (
        "_classes",
        "_credit",
        "_index",
        "_team_weights",
        "_virtual_time",
    )

    def __init__(self) -> None:
        self._credit = 0.0
        self._classes: dict[str, flows.ClassFlow] = {}
        self._team_weights: dict[str, float] = {}
        self._index: dict[str, flows.Waiting] = {}
        self._virtual_time = 0.0

    @property
    def virtual_time(self) -> float:
        """Highest tag of the classes served so far."""
        return self._virtual_time

    def __len__(self) -> int:
        return len(self._index)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._index

    def find_deadline(self, request_id: str) -> datetime.timedelta | None:
        """Returns the deadline of a waiting ticket that has one, or None."""
        waiting = self._index.get(request_id)
        return None if waiting is None else waiting.ticket.deadline

    def configure(
        self,
        classes: Iterable[model.RequestClass],
        teams: Iterable[model.Team],
        burst: float,
    ) -> None:
        """Sets classes and teams; waiting tickets stay where they are.

        A class that is gone serves what waits in it and accepts no more.

        Args:
            classes: Classes of the bundle in force.
            teams: Its teams.
            burst: Slot seconds that all classes together may catch up. Without
                it the requests of a class well below its share queue for each
                other whenever some come together.
        """
        self._team_weights = {team.name: team.weight for team in teams}
        for flow in self._classes.values():
            flow.is_retired = True
        for config in classes:
            flow = self._classes.setdefault(
                config.name, flows.ClassFlow(config)
            )
            flow.config = config
            flow.is_retired = False
        for name, flow in tuple(self._classes.items()):
            if flow.is_retired and not flow.queued:
                del self._classes[name]
                continue
            self._reweight_teams(flow)
        weights = sum(flow.config.weight for flow in self._classes.values())
        self._credit = burst / weights if weights else 0.0

    def list_classes(self) -> Iterable[flows.ClassFlow]:
        """Returns all classes."""
        return self._classes.values()

    def find_class(self, name: str) -> flows.ClassFlow | None:
        """Returns a class that accepts tickets, or None."""
        flow = self._classes.get(name)
        return None if flow is None or flow.is_retired else flow

    def find_team(
        self, flow: flows.ClassFlow, name: str
    ) -> flows.TeamFlow | None:
        """Returns a team's flow in a class, or None for an unknown team."""
        weight = self._team_weights.get(name)
        if weight is None:
            return None
        team = flow.teams.get(name)
        if team is None:
            team = flow.teams[name] = flows.TeamFlow(name, weight, flow)
        return team

    def add(self, waiting: flows.Waiting) -> None:
        """Appends a ticket."""
        flow = waiting.team.owner
        if not flow.queued:
            self._bound_lead(flow, waiting.cost)
        flow.add(waiting)
        self._index[waiting.ticket.request_id] = waiting

    def remove(self, request_id: str) -> flows.Waiting | None:
        """Removes and returns a ticket, or returns None."""
        waiting = self._index.pop(request_id, None)
        if waiting is not None:
            waiting.team.owner.remove(waiting)
        return waiting

    def take(
        self, flow: flows.ClassFlow, lane: service_times.Lane
    ) -> flows.Waiting:
        """Removes and returns the next ticket of a class and lane."""
        # A class that had to wait for slots it may use falls behind all the
        # time. Without a bound it would then displace the others for long.
        self._bound_lead(flow, flow.costs[lane] / flow.counts[lane])
        self._virtual_time = max(self._virtual_time, flow.tag)
        waiting = flow.take(lane)
        del self._index[waiting.ticket.request_id]
        flow.tag += waiting.times.mean / flow.config.weight
        return waiting

    def correct(self, team: flows.TeamFlow, difference: float) -> None:
        """Adds the difference between actual and estimated cost, in seconds."""
        team.debt += difference
        team.owner.tag += difference / team.owner.config.weight

    def move_route(self, times: service_times.RouteTimes) -> None:
        """Moves a route's waiting tickets to the lane where it belongs now."""
        flow = self._classes.get(times.class_name)
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

    def _bound_lead(self, flow: flows.ClassFlow, cost: float) -> None:
        # One run is always allowed, as long work would else have no credit.
        credit = max(self._credit, cost / flow.config.weight)
        flow.tag = max(flow.tag, self._virtual_time - credit)

    def _reweight_teams(self, flow: flows.ClassFlow) -> None:
        flow.active_weight = 0.0
        for name, team in tuple(flow.teams.items()):
            team.weight = self._team_weights.get(name, team.weight)
            if team.queued:
                flow.active_weight += team.weight
            elif name not in self._team_weights:
                del flow.teams[name]
