"""Decides which peers live and which incarnation at an address is current.

Two processes never listen at one address at the same time. Each handshake is
a challenge that is sent after the connection exists, hence a process that
answers a later challenge at an address has replaced the one that answered an
earlier one.
"""

import collections
import dataclasses
import datetime

from fireflywell import clock as clock_lib
from fireflywell.membership import links
from fireflywell.membership import messages

ALIVE_FOR = datetime.timedelta(seconds=3)
# Restarts of one address that are remembered, to refuse a replaced process.
_REMEMBERED_INCARNATIONS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The peer is the current process at its address."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedReplacement:
    """The peer replaces a former process, which is gone."""

    former: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotAdmitted:
    """The peer is refused."""

    reason: str


Admission = Admitted | AdmittedReplacement | NotAdmitted


class _Peer:
    """What is known of one address."""

    __slots__ = (
        "challenge",
        "hello",
        "heard_at",
        "heartbeat",
        "is_absent",
        "loads",
        "replaced",
    )

    def __init__(self) -> None:
        self.hello: messages.Hello | None = None
        self.challenge = -1
        self.heard_at = datetime.timedelta()
        self.heartbeat = messages.Heartbeat(0, 0, "", False, False)
        self.loads: dict[str, messages.ServiceLoad] = {}
        self.replaced: collections.deque[str] = collections.deque(
            maxlen=_REMEMBERED_INCARNATIONS
        )
        self.is_absent = False


class PeerRegistry:
    """Holds the configured peers and what was heard from them."""

    __slots__ = ("_clock", "_peers")

    def __init__(
        self, addresses: tuple[str, ...], clock: clock_lib.Clock
    ) -> None:
        self._clock = clock
        self._peers = {address: _Peer() for address in addresses}

    def admit(self, hello: messages.Hello, challenge: int) -> Admission:
        """Decides on a peer that has proven its identity.

        Args:
            hello: The proven identity.
            challenge: Number of this process's challenge that it answered;
                later challenges have higher numbers.
        """
        peer = self._peers.get(hello.address)
        if peer is None:
            return NotAdmitted(
                f"{hello.address} isn't listed under peers in the settings"
            )
        if hello.incarnation in peer.replaced:
            return NotAdmitted(
                f"{hello.incarnation} at {hello.address} was replaced by "
                "a later process"
            )
        former = peer.hello
        if former is None or former.incarnation == hello.incarnation:
            peer.hello = hello
            peer.challenge = max(peer.challenge, challenge)
            self._note_heard(peer)
            return Admitted()
        if challenge < peer.challenge:
            peer.replaced.append(hello.incarnation)
            return NotAdmitted(
                f"{hello.incarnation} at {hello.address} is older than the "
                "process that answered there since"
            )
        peer.replaced.append(former.incarnation)
        peer.hello = hello
        peer.challenge = challenge
        peer.heartbeat = messages.Heartbeat(0, 0, "", False, False)
        peer.loads = {}
        self._note_heard(peer)
        return AdmittedReplacement(former.incarnation)

    def handle_message(
        self, hello: messages.Hello, message: messages.Message
    ) -> links.PeerView | None:
        """Takes a message over from an admitted peer.

        Returns:
            The peer's view; None if the sender has been replaced since, in
            which case the message must be ignored.
        """
        peer = self._peers[hello.address]
        if peer.hello is None or peer.hello.incarnation != hello.incarnation:
            return None
        self._note_heard(peer)
        match message:
            case messages.Heartbeat() as heartbeat:
                peer.heartbeat = heartbeat
            case messages.LoadReport(loads=loads):
                for load in loads:
                    peer.loads[load.service] = load
        return self._make_view(hello, peer)

    def update_listed_hosts(self, hosts: frozenset[str]) -> None:
        """Takes over which IP numbers the platform lists."""
        for address, peer in self._peers.items():
            peer.is_absent = address.rpartition(":")[0] not in hosts

    def get_time_since_heard(self, address: str) -> datetime.timedelta | None:
        """Returns how long a peer was not heard; None if it never was."""
        peer = self._peers[address]
        if peer.hello is None:
            return None
        return self._clock.monotonic() - peer.heard_at

    def list_views(self) -> tuple[links.PeerView, ...]:
        """Returns all peers that were heard at least once."""
        return tuple(
            self._make_view(peer.hello, peer)
            for peer in self._peers.values()
            if peer.hello is not None
        )

    def _note_heard(self, peer: _Peer) -> None:
        peer.heard_at = self._clock.monotonic()
        peer.is_absent = False

    def _make_view(self, hello: messages.Hello, peer: _Peer) -> links.PeerView:
        return links.PeerView(
            address=hello.address,
            zone=hello.zone,
            role=hello.role,
            incarnation=hello.incarnation,
            state=self._decide_state(peer),
            is_ready=peer.heartbeat.ready,
            is_leaving=peer.heartbeat.leaving,
            bundle_version=peer.heartbeat.bundle_version,
            loads=tuple(peer.loads.values()),
        )

    def _decide_state(self, peer: _Peer) -> links.PeerState:
        silence = self._clock.monotonic() - peer.heard_at
        if silence <= ALIVE_FOR:
            return links.PeerState.ALIVE
        if peer.is_absent:
            return links.PeerState.GONE
        return links.PeerState.SUSPECT
