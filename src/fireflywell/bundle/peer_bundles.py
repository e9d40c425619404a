"""What peers say about bundles, for a process that can't read the store."""

import dataclasses
import datetime

from fireflywell import clock as clock_lib
from fireflywell.bundle import signatures
from fireflywell.membership import messages

# A peer that wasn't heard for this long is suspect and doesn't count.
_HEARD_WITHIN = datetime.timedelta(seconds=3)
# All peers offer a bundle to one that lacks it. A body is asked of one of
# them, and of another only if it hasn't come within this time.
_REQUEST_INTERVAL = datetime.timedelta(seconds=1)
# Every process polls the store within 1.2 s, so a peer that is behind for
# longer missed it. Offers before that would grow with the square of the
# number of peers at each rollout.
_OFFER_DELAY = datetime.timedelta(milliseconds=1500)
_OFFER_INTERVAL = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """A message with the address of the peer that sent it."""

    address: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class PeerBundle:
    """A bundle that a peer sent, with a verified head."""

    record: signatures.HeadRecord
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    version: int
    at: datetime.timedelta


class PeerBundleCollector:
    """Collects what peers hold until more than half of them were heard."""

    __slots__ = (
        "_behind",
        "_best",
        "_clock",
        "_confirmed",
        "_heard",
        "_peer_count",
        "_request_at",
        "_requested",
    )

    def __init__(self, peer_count: int, clock: clock_lib.Clock) -> None:
        self._peer_count = peer_count
        self._clock = clock
        self._heard: dict[str, _Heard] = {}
        self._behind: dict[str, _Heard] = {}
        self._best: PeerBundle | None = None
        self._confirmed = ""
        self._requested = ""
        self._request_at = datetime.timedelta()

    def handle_heartbeat(self, address: str, version: int) -> None:
        """Notes the version that a peer holds."""
        self._heard[address] = _Heard(version, self._clock.monotonic())

    def claim_offer(self, address: str, version: int, own: int) -> bool:
        """Returns whether a peer needs an offer, and notes that it gets one.

        Args:
            address: The peer.
            version: Version that it holds.
            own: Version that this process holds.
        """
        if version >= own:
            self._behind.pop(address, None)
            return False
        now = self._clock.monotonic()
        behind = self._behind.get(address)
        if behind is None or behind.version != version:
            self._behind[address] = _Heard(version, now + _OFFER_DELAY)
            return False
        if now < behind.at:
            return False
        self._behind[address] = _Heard(version, now + _OFFER_INTERVAL)
        return True

    def mark_confirmed(self, digest: str) -> None:
        """Notes that the store showed this bundle as the accepted one."""
        self._confirmed = digest

    def is_confirmed(self, digest: str) -> bool:
        """Returns whether the store showed this bundle."""
        return bool(digest) and digest == self._confirmed

    def claim_request(self, digest: str) -> bool:
        """Notes a request for a body unless one was made a moment ago."""
        now = self._clock.monotonic()
        is_recent = now - self._request_at < _REQUEST_INTERVAL
        if digest == self._requested and is_recent:
            return False
        self._requested = digest
        self._request_at = now
        return True

    def keep_best(
        self, address: str, record: signatures.HeadRecord, body: bytes
    ) -> None:
        """Keeps a peer's bundle if it is the highest so far."""
        version = record.head.version
        self.handle_heartbeat(address, version)
        if self._best is None or version > self._best.record.head.version:
            self._best = PeerBundle(record, body)

    def choose_best(self) -> PeerBundle | None:
        """Returns the highest bundle once enough peers were heard.

        It waits for the body of the highest version that a living peer says
        it holds.
        """
        versions = [heard.version for heard in self._list_living()]
        if self._best is None or len(versions) * 2 <= self._peer_count:
            return None
        if self._best.record.head.version < max(versions):
            return None
        return self._best

    def explain(self) -> str:
        """Returns why no bundle of the peers can be taken yet."""
        heard = len(self._list_living())
        if heard * 2 <= self._peer_count or not self._peer_count:
            return (
                f"heard {heard} of {self._peer_count} peers, more than half "
                "are needed; check the store and the peers"
            )
        return f"none of the {heard} peers heard has sent a bundle yet"

    def _list_living(self) -> list[_Heard]:
        since = self._clock.monotonic() - _HEARD_WITHIN
        return [heard for heard in self._heard.values() if heard.at >= since]
