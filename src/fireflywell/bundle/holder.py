"""The bundle in force in this process."""

import anyio

from fireflywell.bundle import model


class BundleHolder:
    """Holds the highest bundle that this process has adopted.

    The caller of `adopt` has verified the signatures. A lower or equal version
    changes nothing, so that late or replayed reads can't revert a bundle.
    """

    __slots__ = ("_changed", "_current", "_missing_reason")

    def __init__(self) -> None:
        self._current: model.Bundle | None = None
        self._missing_reason = "no bundle was read from the store or a peer yet"
        self._changed = anyio.Event()

    @property
    def current(self) -> model.Bundle | None:
        """The bundle in force, or None if none is known yet."""
        return self._current

    @property
    def version(self) -> int:
        """Version of the bundle in force; 0 if none is known yet."""
        return self._current.version if self._current else 0

    @property
    def missing_reason(self) -> str:
        """Why no bundle is in force; empty if one is."""
        return "" if self._current else self._missing_reason

    def set_missing_reason(self, reason: str) -> None:
        """Sets the reason given while no bundle is known."""
        self._missing_reason = reason

    def adopt(self, bundle: model.Bundle) -> bool:
        """Puts a verified bundle in force if its version is higher.

        Returns:
            Whether the bundle is now in force.
        """
        if bundle.version <= self.version:
            return False
        self._current = bundle
        self._changed.set()
        self._changed = anyio.Event()
        return True

    async def wait_until_above(self, version: int) -> model.Bundle:
        """Waits for a bundle with a higher version and returns it."""
        while True:
            if self._current is not None and self._current.version > version:
                return self._current
            await self._changed.wait()
