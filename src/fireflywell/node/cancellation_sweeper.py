"""Removes early cancellations once no earlier submission can arrive."""

import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import row_removal
from fireflywell.scheduling import model

# An earlier submission is stored within this time, or never. Writes without an
# answer are applied some seconds later, and callers wait for a few seconds.
RETENTION = datetime.timedelta(seconds=60)

_SWEEP_INTERVAL = datetime.timedelta(seconds=5)


class CancellationSweeper:
    """Removes the early cancellations in one service after `RETENTION`."""

    __slots__ = ("_clock", "_rows", "_store")

    def __init__(
        self, store: row_store.RowStore, clock: clock_lib.Clock
    ) -> None:
        self._store = store
        self._clock = clock
        # By job.
        self._rows: dict[str, _StoredCancellation] = {}

    def add(
        self, row: row_store.Row, cancellation: model.EarlyCancellation
    ) -> None:
        """Adds a cancellation that was read.

        Args:
            row: Its row; an earlier one than the known one is ignored.
            cancellation: The decoded value.
        """
        known = self._rows.get(row.row_key.key)
        if known is None or known.row.version < row.version:
            self._rows[row.row_key.key] = _StoredCancellation(
                row, cancellation.cancelled_at_s + RETENTION.total_seconds()
            )

    async def run(self) -> None:
        """Sweeps at each interval until cancelled."""
        while True:
            await self._clock.sleep(_SWEEP_INTERVAL)
            try:
                await self.sweep()
            except errors.PlatformError:
                # A later sweep removes them.
                continue

    async def sweep(self) -> None:
        """Removes all cancellations that are due.

        Raises:
            PlatformError: The store doesn't answer.
        """
        now_s = self._store.now_s()
        due = [c.row for c in self._rows.values() if c.due_at_s < now_s]
        for first in range(0, len(due), row_removal.MAX_ROWS):
            batch = due[first : first + row_removal.MAX_ROWS]
            for row in await row_removal.remove_unchanged(self._store, batch):
                known = self._rows.get(row.row_key.key)
                if known is not None and known.row.version == row.version:
                    del self._rows[row.row_key.key]


class _StoredCancellation:
    """An early cancellation in the store.

    Attributes:
        row: Its row.
        due_at_s: When it is removed, on the store's clock.
    """

    __slots__ = ("due_at_s", "row")

    def __init__(self, row: row_store.Row, due_at_s: float) -> None:
        self.row = row
        self.due_at_s = due_at_s
