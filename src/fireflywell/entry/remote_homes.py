"""Chooses another entry that has a free slot for a request."""

import dataclasses
import datetime

from fireflywell import clock as clock_lib
from fireflywell.membership import links as links_lib
from fireflywell.membership import messages

# Loads are reported each second.
_FULL_FOR = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteHome:
    """An entry that reported free slots of a service."""

    address: str
    incarnation: str
    service: str


class _PeerSlots:
    """What was forwarded to one peer for one service since its report."""

    __slots__ = ("full_until", "reported", "sent")

    def __init__(self, reported: int) -> None:
        self.reported = reported
        self.sent = 0
        self.full_until = datetime.timedelta()


class RemoteHomes:
    """Free slots of the peers, less what was forwarded since they reported."""

    __slots__ = ("_clock", "_links", "_slots")

    def __init__(
        self, links: links_lib.PeerLinks, clock: clock_lib.Clock
    ) -> None:
        self._links = links
        self._clock = clock
        self._slots: dict[tuple[str, str], _PeerSlots] = {}

    def find(self, service: str) -> RemoteHome | None:
        """Returns the entry with the most free slots of a service, if any."""
        best: RemoteHome | None = None
        best_free = 0
        for peer in self._links.list_peers():
            is_entry = peer.role is messages.Role.ENTRY
            is_alive = peer.state is links_lib.PeerState.ALIVE
            if not is_entry or not is_alive or peer.is_leaving:
                continue
            free = self._count_free(peer, service)
            if free > best_free:
                best = RemoteHome(peer.address, peer.incarnation, service)
                best_free = free
        return best

    def note_sent(self, home: RemoteHome) -> None:
        """Counts a request that is being forwarded."""
        self._find_slots(home).sent += 1

    def note_finished(self, home: RemoteHome) -> None:
        """Counts a forwarded request that ended."""
        slots = self._find_slots(home)
        slots.sent = max(0, slots.sent - 1)

    def note_full(self, home: RemoteHome) -> None:
        """Notes that the entry refused for lack of room or wasn't reached."""
        slots = self._find_slots(home)
        slots.full_until = self._clock.monotonic() + _FULL_FOR

    def _count_free(self, peer: links_lib.PeerView, service: str) -> int:
        for load in peer.loads:
            if load.service != service:
                continue
            slots = self._slots.get((peer.address, service))
            if slots is None:
                slots = _PeerSlots(load.free_slots)
                self._slots[peer.address, service] = slots
            if slots.reported != load.free_slots:
                slots.reported = load.free_slots
                slots.sent = 0
            if slots.full_until > self._clock.monotonic():
                return 0
            return load.free_slots - slots.sent
        return 0

    def _find_slots(self, home: RemoteHome) -> _PeerSlots:
        return self._slots.setdefault(
            (home.address, home.service), _PeerSlots(0)
        )
