"""Limits of a service's queue and estimates of the time in it."""

from collections.abc import Iterable
import datetime

from fireflywell.requests import fair_queue
from fireflywell.requests import queue_values
from fireflywell.requests import service_times

_SHORTEST_PAUSE = 0.1


def estimate_wait(
    classes: Iterable[fair_queue.ClassFlow],
    team: fair_queue.TeamFlow,
    lane: service_times.Lane,
    slots: int,
) -> float:
    """Returns the expected wait in seconds of a ticket that comes now.

    The class gets at least its share among the classes with work, and the
    team its share of that. A team with little work waits at most for one turn
    of all of its class.

    Args:
        classes: All classes of the queue.
        team: Team of the ticket.
        lane: Lane of the ticket.
        slots: Slots that the lane may use.
    """
    flow = team.owner
    ahead = flow.costs[lane]
    if ahead <= 0.0:
        return 0.0
    own = flow.config.weight
    weights = own + sum(
        other.config.weight
        for other in classes
        if other is not flow and other.queued
    )
    class_rate = max(1, slots) * own / weights
    class_wait = ahead / class_rate
    team_ahead = team.costs[lane]
    if team_ahead <= 0.0:
        return min(class_wait, _estimate_first_turn(flow, team, class_rate))
    team_rate = class_rate * team.weight / flow.active_weight
    return min(class_wait, team_ahead / team_rate)


def find_full_queue(
    flow: fair_queue.ClassFlow, team: fair_queue.TeamFlow
) -> queue_values.RefusalKind | None:
    """Returns which bound leaves no room for one more ticket, or None.

    A team may hold as many tickets as the class has free places, so one team
    fills at most half of the queue, two teams two thirds, and a team with
    nothing in the queue finds room until the class is full.
    """
    room = flow.config.queue_limit - flow.queued
    if room <= 0:
        return queue_values.RefusalKind.CLASS_FULL
    if team.queued >= room:
        return queue_values.RefusalKind.TEAM_FULL
    return None


def make_pause(
    seconds: float, maximum: datetime.timedelta
) -> datetime.timedelta:
    """Returns an advised pause within its bounds."""
    pause = datetime.timedelta(seconds=max(_SHORTEST_PAUSE, seconds))
    return min(pause, maximum)


def _estimate_first_turn(
    flow: fair_queue.ClassFlow, team: fair_queue.TeamFlow, class_rate: float
) -> float:
    # The other active teams are each served about one ticket first.
    mean_cost = sum(flow.costs) / max(1, flow.queued)
    turns = flow.active_weight / team.weight
    return turns * mean_cost / class_rate
