"""Clock interface, system clocks and a manually advanced clock.

Only the system clocks of this module read the time of the operating system.
"""

import datetime
import heapq
import itertools
import time
from typing import Protocol

import anyio
import anyio.lowlevel

_EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class Clock(Protocol):
    """Source of time, passed to every class that measures time or waits."""

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since an arbitrary fixed point; never decreases."""

    def now(self) -> datetime.datetime:
        """Returns the date and time in UTC, for display only."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits for `duration`; returns at once if it isn't positive."""


class SystemClock:
    """Reads the clocks of the operating system."""

    __slots__ = ()

    def monotonic(self) -> datetime.timedelta:
        """Returns the system's monotonic time."""
        return datetime.timedelta(seconds=time.monotonic())

    def now(self) -> datetime.datetime:
        """Returns the system's date and time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits for `duration` on the event loop."""
        await anyio.sleep(max(0.0, duration.total_seconds()))


class SuspendAwareClock(SystemClock):
    """System clock whose monotonic time includes suspensions of the VM.

    With a clock that stops during a suspension, an expired lease would still
    seem valid to its holder.
    """

    __slots__ = ()

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since boot, suspensions included."""
        return datetime.timedelta(
            seconds=time.clock_gettime(time.CLOCK_BOOTTIME)
        )


class ManualClock:
    """A clock that advances only when `advance` is called.

    For tests, simulations and embedders that need reproducible runs.
    """

    __slots__ = ("_elapsed", "_sequence", "_sleepers")

    def __init__(self) -> None:
        self._elapsed = datetime.timedelta()
        self._sequence = itertools.count()
        self._sleepers: list[tuple[datetime.timedelta, int, anyio.Event]] = []

    def monotonic(self) -> datetime.timedelta:
        """Returns the total time by which the clock was advanced."""
        return self._elapsed

    def now(self) -> datetime.datetime:
        """Returns a fixed start date plus the elapsed time."""
        return _EPOCH + self._elapsed

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Waits until the clock has been advanced by `duration`."""
        if duration <= datetime.timedelta():
            await anyio.lowlevel.checkpoint()
            return
        event = anyio.Event()
        wake_at = self._elapsed + duration
        heapq.heappush(self._sleepers, (wake_at, next(self._sequence), event))
        await event.wait()

    def advance(self, duration: datetime.timedelta) -> None:
        """Advances the clock and wakes the sleepers that are due."""
        self._elapsed += duration
        while self._sleepers and self._sleepers[0][0] <= self._elapsed:
            _, _, event = heapq.heappop(self._sleepers)
            event.set()
