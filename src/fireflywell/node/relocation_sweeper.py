"""Removes relocations of jobs that no longer exist."""

import collections
import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import present_rows
from fireflywell.node import progress_writer
from fireflywell.node import row_removal
from fireflywell.node import tables
from fireflywell.scheduling import model

_SWEEP_INTERVAL = datetime.timedelta(seconds=5)

# A transaction holds at most 100 entries.
_ROWS_PER_SWEEP = 40


class _StoredRelocation:
    """A relocation in the store.

    Attributes:
        row: Its row.
        service: Service that it names.
        due_at_s: When it is checked next, on the store's clock.
    """

    __slots__ = ("due_at_s", "row", "service")

    def __init__(
        self, row: row_store.Row, service: str, due_at_s: float
    ) -> None:
        self.row = row
        self.service = service
        self.due_at_s = due_at_s

    @property
    def submission_key(self) -> row_store.RowKey:
        """Key of the submission's row."""
        return tables.locate_job(self.service, self.row.row_key.key)


class RelocationSweeper:
    """Checks the relocations in one service and removes those without a job.

    A submission renews a relocation before it relies on one that is older than
    half the retention time. It was then stored, or never will be, by the time
    at which the relocation is checked.
    """

    __slots__ = ("_clock", "_relocations", "_retention", "_store")

    def __init__(
        self,
        store: row_store.RowStore,
        clock: clock_lib.Clock,
        retention: datetime.timedelta,
    ) -> None:
        """Creates a sweeper that knows no relocations.

        Args:
            store: The store.
            clock: The clock.
            retention: Shortest time for which a finished job is kept.
        """
        self._store = store
        self._clock = clock
        self._retention = retention * progress_writer.RETENTION_FACTOR
        self._relocations: dict[str, _StoredRelocation] = {}

    def add(self, row: row_store.Row, relocation: model.Relocation) -> None:
        """Adds a relocation that was read.

        Args:
            row: Its row; an earlier one than the known one is ignored.
            relocation: The decoded value.
        """
        known = self._relocations.get(row.row_key.key)
        if known is None or known.row.version < row.version:
            self._relocations[row.row_key.key] = _StoredRelocation(
                row,
                relocation.service,
                relocation.renewed_at_s + self._retention.total_seconds(),
            )

    async def run(self) -> None:
        """Sweeps at each interval until cancelled."""
        while True:
            await self._clock.sleep(_SWEEP_INTERVAL)
            await self.sweep()

    async def sweep(self) -> None:
        """Removes the relocations that are due and whose job doesn't exist.

        Those of a service that doesn't answer are checked by a later sweep.
        """
        now_s = self._store.now_s()
        due = [r for r in self._relocations.values() if r.due_at_s < now_s]
        # A service that never answers must not take all places of each sweep.
        due.sort(key=lambda relocation: relocation.due_at_s)
        by_service = collections.defaultdict(list)
        for relocation in due[:_ROWS_PER_SWEEP]:
            by_service[relocation.service].append(relocation)
        for relocations in by_service.values():
            try:
                await self._sweep_service(relocations)
            except errors.PlatformError:
                # Nothing depends on the removal.
                for relocation in relocations:
                    relocation.due_at_s = now_s

    async def _sweep_service(
        self, relocations: list[_StoredRelocation]
    ) -> None:
        """Removes the relocations to one service whose job doesn't exist.

        Raises:
            PlatformError: The store doesn't answer.
        """
        present = await present_rows.read_present_rows(
            self._store, *(r.submission_key for r in relocations)
        )
        held = {row.row_key for row in present}
        unused = [r for r in relocations if r.submission_key not in held]
        next_due_at_s = self._store.now_s() + self._retention.total_seconds()
        for relocation in relocations:
            relocation.due_at_s = next_due_at_s
        if unused:
            await self._remove(unused)

    async def _remove(self, unused: list[_StoredRelocation]) -> None:
        """Removes relocations unless one of them was renewed."""
        removed = await row_removal.remove_unchanged(
            self._store, [relocation.row for relocation in unused]
        )
        # Later rows of those that were renewed arrive with the changes of the
        # table.
        gone = {row.row_key for row in removed}
        for relocation in unused:
            relocation.due_at_s = self._store.now_s()
            key = relocation.row.row_key.key
            is_known = self._relocations.get(key) is relocation
            if is_known and relocation.row.row_key in gone:
                del self._relocations[key]
