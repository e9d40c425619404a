"""Maintenance waves that operators requested, as last read."""

from collections.abc import Callable

from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.scheduling import maintenance
from fireflywell.telemetry import logs


class MaintenanceWaves:
    """Holds the requested waves and computes their deadlines.

    Attributes:
        waves: The waves by number.
    """

    __slots__ = ("_decode", "_first_seen_at_s", "_store", "waves")

    def __init__(
        self,
        decode: Callable[[bytes], maintenance.Wave],
        store: row_store.RowStore,
    ) -> None:
        self._decode = decode
        self._store = store
        self._first_seen_at_s: dict[int, float] = {}
        self.waves: dict[int, maintenance.Wave] = {}

    def apply_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Applies the waves among changed rows of the operator's table."""
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
            self._first_seen_at_s.setdefault(wave.number, self._store.now_s())
            logs.log_event(
                "wave.observed",
                wave=wave.number,
                machines=len(wave.vm_ids),
                duration_s=wave.duration_s,
                max_count=wave.max_count,
            )

    def compute_deadline_s(self, wave: maintenance.Wave) -> float:
        """Returns the deadline of a wave in seconds on the store's clock.

        The wave's duration counts from when this node first read it.
        """
        return self._first_seen_at_s[wave.number] + wave.duration_s
