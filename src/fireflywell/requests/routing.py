"""Choice of the instance for a request."""

import dataclasses

from fireflywell.fleet import instances as instances_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An instance with what counts for routing.

    Attributes:
        instance: The instance.
        in_progress: Requests that this entry has on it.
        is_home: Whether this entry is the home of the instance.
        is_ejected: Whether the instance was ejected for failing everything.
    """

    instance: instances_lib.Instance
    in_progress: int
    is_home: bool
    is_ejected: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTo:
    """Sends the request to this instance."""

    instance: instances_lib.Instance


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoute:
    """No instance can take the request now."""

    reason: str


RouteDecision = RouteTo | NoRoute


def choose_instance(
    candidates: tuple[Candidate, ...], zone: str
) -> RouteDecision:
    """Chooses the instance with the most free slots, own zone first.

    Args:
        candidates: All instances of the service.
        zone: Availability zone of this entry.
    """
    usable = [item for item in candidates if _can_take_work(item)]
    if not usable:
        return NoRoute(_explain_no_route(candidates))
    best = max(usable, key=lambda item: _rank(item, zone))
    return RouteTo(best.instance)


def _can_take_work(item: Candidate) -> bool:
    return (
        item.is_home
        and not item.instance.is_leaving
        and not item.is_ejected
        and item.in_progress < item.instance.slots
    )


def _rank(item: Candidate, zone: str) -> tuple[int, bool, str]:
    free = item.instance.slots - item.in_progress
    return free, item.instance.zone == zone, item.instance.instance_id


def _explain_no_route(candidates: tuple[Candidate, ...]) -> str:
    if not candidates:
        return "the service has no instance"
    if all(item.instance.is_leaving for item in candidates):
        return "all instances are leaving"
    if not any(item.is_home for item in candidates):
        return "this entry is the home of no instance"
    return "all slots are taken"
