"""Maintenance waves that operators requested, as last read."""

from collections.abc import Callable

from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import tables
from fireflywell.scheduling import maintenance
from fireflywell.telemetry import logs

_KEY_PREFIX = "wave/"

# The key after all those with the prefix.
_KEYS_END = "wave0"


class MaintenanceWaves:
    """Holds the requested waves and computes their deadlines.

    Attributes:
        is_loaded: Whether all rows were read, so that a wave that isn't held
            isn't requested.
        waves: The waves by number.
    """

    __slots__ = (
        "_decode",
        "_first_seen_at_s",
        "_numbers_by_key",
        "_requests",
        "_store",
        "_versions",
        "is_loaded",
        "waves",
    )

    def __init__(
        self,
        decode: Callable[[bytes], maintenance.Wave],
        store: row_store.RowStore,
    ) -> None:
        self._decode = decode
        self._store = store
        self._first_seen_at_s: dict[int, float] = {}
        self._numbers_by_key: dict[str, int] = {}
        # The row that each wave was last decoded from.
        self._requests: dict[int, row_store.Condition] = {}
        # Version of the last applied row by key; older ones are ignored.
        self._versions: dict[str, int] = {}
        self.is_loaded = False
        self.waves: dict[int, maintenance.Wave] = {}

    def load_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Applies a full read of the operator's table."""
        keys = {row.row_key.key for row in rows if not row.is_removed}
        for key in tuple(self._numbers_by_key):
            if key not in keys:
                self._remove(key)
        self.apply_rows(rows)
        self.is_loaded = True

    def apply_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Applies the waves among changed rows of the operator's table."""
        for row in rows:
            key = row.row_key.key
            if not key.startswith(_KEY_PREFIX):
                continue
            if row.version < self._versions.get(key, 0):
                continue
            self._versions[key] = row.version
            if row.is_removed:
                self._remove(key)
                continue
            try:
                wave = self._decode(row.value)
            except errors.CorruptRowError as error:
                logs.log_event("wave.unreadable", error=str(error))
                self._requests.pop(self._numbers_by_key.get(key, 0), None)
                continue
            self._numbers_by_key[key] = wave.number
            self._requests[wave.number] = row_store.Condition(
                row.row_key, row.version
            )
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

    def find_request(self, number: int) -> row_store.Condition | None:
        """Returns the row that a wave is requested by, with its version.

        None if its latest row can't be read, so that the wave that is held may
        not be the one that operators ask for.
        """
        return self._requests.get(number)

    async def read_rows(self, at_least: int) -> None:
        """Reads and applies the requested waves.

        Args:
            at_least: Version of the store that the read must not precede.

        Raises:
            PlatformError: The store doesn't answer or shows an older state.
        """
        page = await self._store.read(
            tables.OPERATOR, "", _KEY_PREFIX, _KEYS_END, at_least
        )
        self.apply_rows(page.rows)

    def _remove(self, key: str) -> None:
        number = self._numbers_by_key.pop(key, None)
        if number is None:
            return
        request = self._requests.get(number)
        if request is not None and request.row_key.key == key:
            del self._requests[number]
        if number in self._numbers_by_key.values():
            return
        del self.waves[number]
        del self._first_seen_at_s[number]
        logs.log_event("wave.withdrawn", wave=number)

    def compute_deadline_s(self, wave: maintenance.Wave) -> float:
        """Returns the deadline of a wave in seconds on the store's clock.

        The wave's duration counts from when this node first read it.
        """
        return self._first_seen_at_s[wave.number] + wave.duration_s
