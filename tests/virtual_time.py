"""An event loop whose time passes only while all tasks wait.

A test on it takes the same course on a busy machine: a stall of the process
lets no time limit and no lease pass.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import selectors

import anyio

from fireflywell import clock as clock_lib

# Some monotonic time; a loop must not begin at zero, which means "never".
_FIRST_S = 1000.0


class _Selector(selectors.SelectSelector):
    """Waits for no time: the time of the loop passes instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = _FIRST_S

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns what is ready; without anything, the timeout passes."""
        if timeout is None:
            # No task waits for a time, so only an event can go on.
            return super().select(timeout)
        ready = super().select(0)
        if not ready:
            self.now_s += max(0.0, timeout)
        return ready


class _VirtualLoop(asyncio.SelectorEventLoop):

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Returns the loop's time, in seconds."""
        return self._virtual.now_s


class LoopClock(clock_lib.SystemClock):
    """Reads the time of the running event loop."""

    __slots__ = ()

    def monotonic(self) -> datetime.timedelta:
        """Returns the loop's time."""
        return datetime.timedelta(seconds=anyio.current_time())


def run(function: Callable[..., Awaitable[None]], *arguments: object) -> None:
    """Runs a coroutine function like `anyio.run`, on a loop of this module."""
    anyio.run(
        function, *arguments, backend_options={"loop_factory": _VirtualLoop}
    )
