"""Runs tasks only while this node owns a service or the fleet."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import anyio


class OwnershipGate:
    """Runs tasks while this node has at least one owner.

    Most nodes of a large deployment own nothing. They don't have to read the
    entries of all workers, which change several times a second.
    """

    __slots__ = ("_changed", "_newest_claim", "_owner_count")

    def __init__(self) -> None:
        self._owner_count = 0
        self._newest_claim = 0
        self._changed = anyio.Event()

    @property
    def newest_claim(self) -> int:
        """Version of the newest claim of this node's owners so far."""
        return self._newest_claim

    def add_owner(self, claim_version: int) -> None:
        """Counts an owner that starts on this node.

        Args:
            claim_version: Version of the store at its claim.
        """
        self._newest_claim = max(self._newest_claim, claim_version)
        self._owner_count += 1
        self._signal()

    def remove_owner(self) -> None:
        """Stops counting an owner that has ended on this node."""
        self._owner_count -= 1
        self._signal()

    async def run_while_owning(
        self,
        run: Callable[[], Coroutine[Any, Any, None]],
        on_close: Callable[[], None],
    ) -> None:
        """Runs a task whenever this node has an owner, until cancelled.

        Args:
            run: The task; it is cancelled when the last owner ends.
            on_close: Called after that; drops the data that the task kept up
                to date.
        """
        while True:
            while not self._owner_count:
                await self._changed.wait()
            async with anyio.create_task_group() as group:
                group.start_soon(run)
                while self._owner_count:
                    await self._changed.wait()
                group.cancel_scope.cancel()
            on_close()

    def _signal(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
