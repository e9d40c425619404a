"""Weighted fair queue of two levels: classes, then teams inside a class.

Start-time fair queueing: each flow carries a tag that grows by the cost of its
served work divided by its weight, and the waiting flow with the lowest tag is
next. A flow that was idle continues at the tag of the work served last, so it
gets no priority for the time in which it had no work. A class may start a
bounded credit below that tag, so that a burst of a class that keeps to its
share is served at once.
"""

from collections.abc import Iterable
import datetime

from fireflywell.bundle import model
from fireflywell.requests import flows
from fireflywell.requests import service_times


class FairQueue:
    """Waiting tickets of one service, ordered by class and team weights."""

    __slots__ = (
        "_classes",
        "_credit",
        "_waiting",
        "_team_weights",
        "_virtual_time",
    )

    def __init__(self) -> None:
        self._credit = 0.0
        self._classes: dict[str, flows.ClassFlow] = {}
        self._team_weights: dict[str, float] = {}
        self._waiting: dict[str, flows.WaitingTicket] = {}
        self._virtual_time = 0.0

    @property
    def virtual_time(self) -> float:
        """Highest tag of the classes served so far."""
        return self._virtual_time

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting

    def find_deadline(self, request_id: str) -> datetime.timedelta | None:
        """Returns the deadline of a waiting ticket that has one, or None."""
        waiting = self._waiting.get(request_id)
        return None if waiting is None else waiting.ticket.deadline

    def configure(
        self,
        classes: Iterable[model.RequestClass],
        teams: Iterable[model.Team],
        burst: float,
    ) -> None:
        """Sets classes and teams; waiting tickets stay in their flows.

        A class that the bundle no longer has accepts no new tickets; those
        that already wait in it are still served.

        Args:
            classes: Classes of the bundle in force.
            teams: Its teams.
            burst: Credit of all classes together, in slot seconds. Without it,
                requests of a class well below its share would have to wait
                whenever several arrive at once.
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
            self._update_team_weights(flow)
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

    def add(self, waiting: flows.WaitingTicket) -> None:
        """Appends a ticket to the flow of its team."""
        flow = waiting.team.class_flow
        if not flow.queued:
            self._limit_credit(flow, waiting.cost)
        flow.add(waiting)
        self._waiting[waiting.ticket.request_id] = waiting

    def remove(self, request_id: str) -> flows.WaitingTicket | None:
        """Removes and returns a ticket, or returns None."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is not None:
            waiting.team.class_flow.remove(waiting)
        return waiting

    def take(
        self, flow: flows.ClassFlow, lane: service_times.Lane
    ) -> flows.WaitingTicket:
        """Removes and returns the next ticket of a class and lane."""
        # The tag of a class falls behind while the class is blocked at its slot
        # limit. Unbounded, that credit would let it displace the others later.
        self._limit_credit(flow, flow.costs[lane] / flow.counts[lane])
        self._virtual_time = max(self._virtual_time, flow.tag)
        waiting = flow.take(lane)
        del self._waiting[waiting.ticket.request_id]
        flow.tag += waiting.times.mean / flow.config.weight
        return waiting

    def correct(self, team: flows.TeamFlow, difference: float) -> None:
        """Charges the difference between actual and estimated cost.

        Args:
            team: The charged team.
            difference: Actual minus estimated run time in seconds.
        """
        team.pending_correction += difference
        team.class_flow.tag += difference / team.class_flow.config.weight

    def move_route(self, times: service_times.RouteTimes) -> None:
        """Moves a route's waiting tickets to the route's current lane."""
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

    def _limit_credit(self, flow: flows.ClassFlow, cost: float) -> None:
        # At least the cost of one run, because a single long run can cost more
        # than the configured credit.
        credit = max(self._credit, cost / flow.config.weight)
        flow.tag = max(flow.tag, self._virtual_time - credit)

    def _update_team_weights(self, flow: flows.ClassFlow) -> None:
        flow.active_weight = 0.0
        for name, team in tuple(flow.teams.items()):
            team.weight = self._team_weights.get(name, team.weight)
            if team.queued:
                flow.active_weight += team.weight
            elif name not in self._team_weights:
                del flow.teams[name]
