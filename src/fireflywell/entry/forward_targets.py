"""Chooses another entry that has a free slot for a request."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import datetime

from fireflywell import clock as clock_lib
from fireflywell.membership import links as links_lib
from fireflywell.requests import routing

# Loads are reported each second.
_FULL_FOR = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardTarget:
    """An entry that reported free slots of a service."""

    address: str
    incarnation: str
    service: str


class _PeerSlots:
    """What was forwarded to one peer for one service since its report."""

    __slots__ = ("full_until", "reported", "sent")

    def __init__(self) -> None:
        self.reported = 0
        self.sent = 0
        self.full_until = datetime.timedelta()


class ForwardTargets:
    """Free slots of the peers, less what was forwarded since they reported."""

    __slots__ = ("_clock", "_links", "_slots", "_zone")

    def __init__(
        self, links: links_lib.PeerLinks, zone: str, clock: clock_lib.Clock
    ) -> None:
        self._links = links
        self._zone = zone
        self._clock = clock
        self._slots: dict[tuple[str, str], _PeerSlots] = {}

    def find(self, service: str) -> ForwardTarget | None:
        """Returns the entry with the most free slots of a service, if any."""
        peers = routing.list_peer_capacity(self._links.list_peers(), service)
        decision = routing.choose_route(
            (), self._subtract_sent(peers, service), self._zone
        )
        match decision:
            case routing.ForwardTo(address=address, incarnation=incarnation):
                return ForwardTarget(address, incarnation, service)
            case _:
                return None

    def record_sent(self, target: ForwardTarget) -> None:
        """Counts a request that is being forwarded."""
        self._find_slots(target).sent += 1

    def record_finished(self, target: ForwardTarget) -> None:
        """Counts a forwarded request that ended."""
        slots = self._find_slots(target)
        slots.sent = max(0, slots.sent - 1)

    def mark_full(self, target: ForwardTarget) -> None:
        """Notes that the entry refused for lack of room or wasn't reached."""
        slots = self._find_slots(target)
        slots.full_until = self._clock.monotonic() + _FULL_FOR

    def _subtract_sent(
        self, peers: Iterable[routing.PeerCapacity], service: str
    ) -> Iterator[routing.PeerCapacity]:
        for peer in peers:
            slots = self._slots.get((peer.address, service))
            if slots is None:
                yield peer
                continue
            if slots.reported != peer.free_slots:
                slots.reported = peer.free_slots
                slots.sent = 0
            if slots.full_until <= self._clock.monotonic():
                yield dataclasses.replace(peer, forwarded=slots.sent)

    def _find_slots(self, target: ForwardTarget) -> _PeerSlots:
        key = (target.address, target.service)
        slots = self._slots.get(key)
        if slots is None:
            slots = self._slots[key] = _PeerSlots()
        return slots
