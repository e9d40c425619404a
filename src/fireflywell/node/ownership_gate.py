"""Runs what only nodes with a duty need."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import anyio


class OwnershipGate:
    """Open while this node owns a service or orders VMs.

    Most nodes of a large deployment own nothing. They need not read the
    entries of all workers, which change several times a second.
    """

    __slots__ = ("_changed", "_duties")

    def __init__(self) -> None:
        self._duties = 0
        self._changed = anyio.Event()

    def add_owner(self) -> None:
        """Notes one more duty."""
        self._duties += 1
        self._signal()

    def remove_owner(self) -> None:
        """Notes that a duty is over."""
        self._duties -= 1
        self._signal()

    async def run_while_owning(
        self,
        run: Callable[[], Coroutine[Any, Any, None]],
        on_close: Callable[[], None],
    ) -> None:
        """Runs a task whenever the gate is open, until cancelled.

        Args:
            run: The task; it is cancelled when the last duty ends.
            on_close: Called after that; what the task knew is out of date.
        """
        while True:
            while not self._duties:
                await self._changed.wait()
            async with anyio.create_task_group() as group:
                group.start_soon(run)
                while self._duties:
                    await self._changed.wait()
                group.cancel_scope.cancel()
            on_close()

    def _signal(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
