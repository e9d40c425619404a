"""Notices that the process was paused and confirms its decisions afresh."""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
from typing import Protocol

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.membership import links as links_lib
from fireflywell.membership import messages
from fireflywell.telemetry import logs

_TICK = datetime.timedelta(milliseconds=100)
# A leaving endpoint gets no new work 2 s after the decision, so a view that
# wasn't updated for longer can't be relied on.
_LONGEST_GAP = datetime.timedelta(seconds=2)
_REFRESH_TIMEOUT = datetime.timedelta(seconds=1)
# Drain notices are repeated each second until they are confirmed.
_PEER_INTERVAL = datetime.timedelta(milliseconds=1200)


class SendGuard(Protocol):
    """Tells whether this process may rely on its view of the fleet."""

    @property
    def is_stale(self) -> bool:
        """Whether the view must be confirmed before anything is sent."""

    async def ensure_fresh(self) -> None:
        """Returns once the view is confirmed."""


class NeverPaused:
    """Guard for embedders whose process isn't paused."""

    __slots__ = ()

    @property
    def is_stale(self) -> bool:
        """False."""
        return False

    async def ensure_fresh(self) -> None:
        """Returns at once."""


class PauseGuard:
    """Measures the gaps of the event loop and refreshes after a long one."""

    __slots__ = (
        "_clock",
        "_heard",
        "_is_confirmed",
        "_last_tick",
        "_links",
        "_lock",
        "_pauses",
        "_refresh",
        "_resumed_at",
    )

    def __init__(
        self,
        refresh: Callable[[], Awaitable[None]],
        links: links_lib.PeerLinks,
        clock: clock_lib.Clock,
    ) -> None:
        """Creates a guard; run it as a child of a supervisor.

        Args:
            refresh: Reads the fleet from the store, or raises PlatformError.
            links: Peers that repeat drain notices.
            clock: Measures the gaps.
        """
        self._refresh = refresh
        self._links = links
        self._clock = clock
        self._last_tick = clock.monotonic()
        self._is_confirmed = True
        self._pauses = 0
        self._resumed_at = self._last_tick
        self._heard: dict[str, datetime.timedelta] = {}
        self._lock = anyio.Lock()
        links.subscribe(self._note_message)

    @property
    def is_stale(self) -> bool:
        """Whether a pause was noticed and the view not confirmed since."""
        self._note_gap(self._clock.monotonic())
        return not self._is_confirmed

    async def run(self) -> None:
        """Ticks until cancelled."""
        while True:
            now = self._clock.monotonic()
            self._note_gap(now)
            self._last_tick = now
            await self._clock.sleep(_TICK)

    async def ensure_fresh(self) -> None:
        """Reads the store, else hears the peers, until the view is current."""
        while self.is_stale:
            async with self._lock:
                if not self.is_stale:
                    return
                await self._confirm()

    async def _confirm(self) -> None:
        pauses = self._pauses
        try:
            with anyio.fail_after(_REFRESH_TIMEOUT.total_seconds()):
                await self._refresh()
        except (errors.PlatformError, TimeoutError):
            if not self._have_peers_confirmed():
                await self._clock.sleep(_TICK)
                return
        self._note_gap(self._clock.monotonic())
        # A pause during the refresh makes its result as old as the view.
        if pauses == self._pauses:
            self._is_confirmed = True
            logs.log_event("entry.view_confirmed", pauses=pauses)

    def _have_peers_confirmed(self) -> bool:
        """Whether more than half of the peers spoke long after the pause."""
        peers = self._links.list_peers()
        since = self._resumed_at + _PEER_INTERVAL
        heard = sum(
            1 for peer in peers if self._heard.get(peer.address, since) > since
        )
        return heard * 2 > len(peers)

    def _note_message(
        self, peer: links_lib.PeerView, _: messages.Message
    ) -> None:
        self._heard[peer.address] = self._clock.monotonic()

    def _note_gap(self, now: datetime.timedelta) -> None:
        gap = now - self._last_tick
        if gap <= _LONGEST_GAP:
            return
        self._last_tick = now
        self._resumed_at = now
        self._pauses += 1
        self._is_confirmed = False
        logs.log_event("entry.paused", seconds=gap.total_seconds())
