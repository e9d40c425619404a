"""Chooses the instance or the peer to which a request is sent."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from fireflywell.fleet import instances as instances_lib
from fireflywell.membership import links
from fireflywell.membership import messages

_CLOSED_SHARE = 3 / 8


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An instance with the state that routing depends on.

    Attributes:
        instance: The instance.
        in_progress: Requests that this entry has on it.
        is_home: Whether this entry is the home of the instance.
        is_ejected: Whether the instance is ejected after repeated failures.
        long_in_progress: Those of `in_progress` that are long.
        is_on_trial: Whether it gets one request at a time, because it had no
            success yet since its ejection ended.
    """

    instance: instances_lib.Instance
    in_progress: int
    is_home: bool
    is_ejected: bool
    long_in_progress: int = 0
    is_on_trial: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCapacity:
    """A peer that is the home of instances of the service.

    Attributes:
        address: Address of the peer's membership listener.
        incarnation: Its incarnation; no other one may run forwarded requests.
        zone: Its availability zone.
        free_slots: Free slots in its last report, which may be 1 s old.
        forwarded: Requests forwarded by this entry that are in progress there
            and may be missing from the report.
    """

    address: str
    incarnation: str
    zone: str
    free_slots: int
    forwarded: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTo:
    """Sends the request to this instance."""

    instance: instances_lib.Instance


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardTo:
    """Forwards the request to the peer that is home of a free instance."""

    address: str
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoute:
    """No instance can take the request now."""

    reason: str


RouteDecision = RouteTo | NoRoute
AnyRouteDecision = RouteTo | ForwardTo | NoRoute


def choose_instance(
    candidates: tuple[Candidate, ...],
    zone: str,
    is_long: bool = False,
    closed_share: float = _CLOSED_SHARE,
) -> RouteDecision:
    """Chooses the instance with the most free slots; ties prefer `zone`.

    Args:
        candidates: All instances of the service.
        zone: Availability zone of this entry.
        is_long: Whether the request is long.
        closed_share: Fraction of each instance's slots that long requests may
            not use.
    """
    best: Candidate | None = None
    best_rank: tuple[int, bool, str] | None = None
    for item in candidates:
        free = _count_free(item, is_long, closed_share)
        if free <= 0:
            continue
        instance = item.instance
        rank = (free, instance.zone == zone, instance.instance_id)
        if best_rank is None or rank > best_rank:
            best, best_rank = item, rank
    if best is None:
        return NoRoute(_explain_no_route(candidates))
    return RouteTo(best.instance)


def choose_route(
    candidates: tuple[Candidate, ...],
    peers: Iterable[PeerCapacity],
    zone: str,
    is_long: bool = False,
    closed_share: float = _CLOSED_SHARE,
) -> AnyRouteDecision:
    """Chooses an instance or, if none has a free slot here, a peer.

    Only instances that have their home at this entry are considered. If there
    is no usable peer either, the result is `NoRoute` and the request waits.

    Args:
        candidates: All instances of the service.
        peers: Peers that may have free slots, without those that refused this
            request.
        zone: Availability zone of this entry.
        is_long: Whether the request is long.
        closed_share: Fraction of each instance's slots that long requests may
            not use.
    """
    decision = choose_instance(candidates, zone, is_long, closed_share)
    match decision:
        case RouteTo():
            return decision
        case NoRoute():
            return _choose_peer(peers, zone) or decision


def _choose_peer(peers: Iterable[PeerCapacity], zone: str) -> ForwardTo | None:
    usable = [peer for peer in peers if peer.free_slots > peer.forwarded]
    if not usable:
        return None
    best = max(usable, key=lambda peer: _rank_peer(peer, zone))
    return ForwardTo(best.address, best.incarnation)


def list_peer_capacity(
    peers: Iterable[links.PeerView], service: str
) -> Iterator[PeerCapacity]:
    """Yields the entries alive that report free slots of a service."""
    for peer in peers:
        if (
            peer.role is not messages.Role.ENTRY
            or peer.state is not links.PeerState.ALIVE
            or peer.is_leaving
        ):
            continue
        for load in peer.loads:
            if load.service == service and load.free_slots > 0:
                yield PeerCapacity(
                    peer.address, peer.incarnation, peer.zone, load.free_slots
                )


def _count_free(item: Candidate, is_long: bool, closed_share: float) -> int:
    if not item.is_home or item.instance.is_leaving or item.is_ejected:
        return 0
    if item.is_on_trial and item.in_progress:
        return 0
    slots = item.instance.slots
    free = slots - item.in_progress
    if not is_long:
        return free
    open_slots = max(1, slots - round(slots * closed_share))
    return min(free, open_slots - item.long_in_progress)


def _rank_peer(peer: PeerCapacity, zone: str) -> tuple[int, bool, str]:
    return peer.free_slots - peer.forwarded, peer.zone == zone, peer.address


def _explain_no_route(candidates: tuple[Candidate, ...]) -> str:
    if not candidates:
        return "the service has no instance"
    if all(item.instance.is_leaving for item in candidates):
        return "all instances are leaving"
    if not any(item.is_home for item in candidates):
        return "this entry is the home of no instance"
    return "all slots are taken"
