"""Queue limits and wait estimates, which decide whether a request is queued."""

import datetime

from fireflywell.requests import flows
from fireflywell.requests import queue_values
from fireflywell.requests import service_times

_MINIMUM_PAUSE_S = 0.1


def estimate_wait(
    team: flows.TeamFlow, lane: service_times.Lane, class_rate: float
) -> float:
    """Returns the expected wait in seconds of a ticket that arrives now.

    The team gets its weighted share of the class's rate. A team with no ticket
    in the lane waits at most for one turn of the class's other active teams.

    Args:
        team: Team of the ticket.
        lane: Lane of the ticket.
        class_rate: Number of slots that the class is expected to use.
    """
    flow = team.class_flow
    class_wait = flow.costs[lane] / class_rate
    team_ahead = team.costs[lane]
    if team_ahead <= 0.0:
        return min(class_wait, _estimate_first_turn(flow, team, class_rate))
    team_rate = class_rate * team.weight / flow.active_weight
    return min(class_wait, team_ahead / team_rate)


def find_full_queue(
    flow: flows.ClassFlow, team: flows.TeamFlow
) -> queue_values.RefusalKind | None:
    """Returns the limit that one more ticket would exceed, or None.

    A team may have as many waiting tickets as the class has free places, so
    one team fills at most half of the queue and two teams two thirds. A team
    without waiting tickets is accepted until the class is full.
    """
    free_places = flow.config.queue_limit - flow.queued
    if free_places <= 0:
        return queue_values.RefusalKind.CLASS_FULL
    if team.queued >= free_places:
        return queue_values.RefusalKind.TEAM_FULL
    return None


def clamp_pause(
    seconds: float, maximum: datetime.timedelta
) -> datetime.timedelta:
    """Returns the time for `retry_after`, from 0.1 s to `maximum`."""
    pause = datetime.timedelta(seconds=max(_MINIMUM_PAUSE_S, seconds))
    return min(pause, maximum)


def _estimate_first_turn(
    flow: flows.ClassFlow, team: flows.TeamFlow, class_rate: float
) -> float:
    # Each other active team is served about one ticket before this one.
    mean_cost = sum(flow.costs) / max(1, flow.queued)
    turns = flow.active_weight / team.weight
    return turns * mean_cost / class_rate
