"""Operators' requests for maintenance, as last read."""

from collections.abc import Callable

from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.scheduling import maintenance
from fireflywell.telemetry import logs


class MaintenanceWaves:
    """The waves and when each must be complete."""

    __slots__ = ("_decode", "_seen_at_s", "_store", "waves")

    def __init__(
        self,
        decode: Callable[[bytes], maintenance.Wave],
        store: row_store.RowStore,
    ) -> None:
        self._decode = decode
        self._store = store
        self._seen_at_s: dict[int, float] = {}
        self.waves: dict[int, maintenance.Wave] = {}

    def apply_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Takes rows of the operator's table into account."""
        for row in rows:
            if not row.row_key.key.startswith("wave/") or row.is_removed:
                continue
            try:
                wave = self._decode(row.value)
            except errors.CorruptRowError as error:
                logs.log_event("wave.unreadable", error=str(error))
                continue
            if self.waves.get(wave.number) == wave:
                continue
            self.waves[wave.number] = wave
            self._seen_at_s.setdefault(wave.number, self._store.now_s())
            logs.log_event(
                "wave.observed",
                wave=wave.number,
                machines=len(wave.vm_ids),
                duration_s=wave.duration_s,
                max_count=wave.max_count,
            )

    def compute_deadline_s(self, wave: maintenance.Wave) -> float:
        """Returns when a wave must be complete, on the store's clock."""
        return self._seen_at_s[wave.number] + wave.duration_s
