"""What every node knows of the configuration and of the other nodes."""

from collections.abc import Callable
import dataclasses
import datetime

import msgpack

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import configuration as configuration_lib
from fireflywell.node import tables
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

_CONFIGURATION_KEY = "config"


class ConfigurationHolder:
    """The newest configuration; never an older one than before."""

    __slots__ = (
        "_adopted_at",
        "_clock",
        "_confirmed_at",
        "_current",
        "_decode",
        "_listeners",
        "_metrics",
    )

    def __init__(
        self,
        decode: Callable[[bytes], configuration_lib.Configuration],
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._decode = decode
        self._clock = clock
        self._metrics = metrics
        self._current: configuration_lib.Configuration | None = None
        self._adopted_at: datetime.timedelta | None = None
        self._confirmed_at: datetime.timedelta | None = None
        self._listeners: list[Callable[[], None]] = []

    @property
    def current(self) -> configuration_lib.Configuration | None:
        """The configuration in force, or None before the first one."""
        return self._current

    @property
    def age(self) -> datetime.timedelta | None:
        """Time since the configuration in force was adopted."""
        return self._measure_since(self._adopted_at)

    @property
    def confirmed_age(self) -> datetime.timedelta | None:
        """Time since the configuration was last known to be the newest."""
        return self._measure_since(self._confirmed_at)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change."""
        self._listeners.append(listener)

    def mark_confirmed(self, at: datetime.timedelta) -> None:
        """Notes that no newer configuration was stored before that time."""
        self._confirmed_at = at

    def apply_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Adopts the configuration among rows of the operator's table."""
        for row in rows:
            if row.row_key.key == _CONFIGURATION_KEY and not row.is_removed:
                self._adopt(row)

    def _adopt(self, row: row_store.Row) -> None:
        started = self._clock.monotonic()
        try:
            fresh = self._decode(row.value)
        except errors.CorruptRowError as error:
            logs.log_event("configuration.unreadable", error=str(error))
            return
        if self._current and fresh.version <= self._current.version:
            return
        now = self._clock.monotonic()
        logs.log_event(
            "configuration.adopted",
            version=fresh.version,
            previous=self._current.version if self._current else None,
            previous_age_s=logs.round_seconds(self.age),
            confirmed_s=logs.round_seconds(self.confirmed_age),
            row_version=row.version,
            size_bytes=len(row.value),
            decode_s=logs.round_seconds(now - started),
            routes=len(fresh.routes),
            services=len(fresh.services),
        )
        self._metrics.record_gauge("node.configuration.version", fresh.version)
        self._current = fresh
        self._adopted_at = now
        for listener in self._listeners:
            listener()

    def _measure_since(
        self, at: datetime.timedelta | None
    ) -> datetime.timedelta | None:
        return None if at is None else self._clock.monotonic() - at


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """A node's own row.

    Attributes:
        name: Name of the node.
        incarnation: Identifies one run of its process.
        address: Address for callers; two processes can't share it.
        beats: Rises with each renewal.
        is_stopping: Whether the node takes no more duties.
    """

    name: str
    incarnation: str
    address: str
    beats: int
    is_stopping: bool


def encode_node(record: NodeRecord) -> bytes:
    """Returns the stored form of a node's row."""
    return bytes(
        msgpack.packb(
            [
                record.incarnation,
                record.address,
                record.beats,
                record.is_stopping,
            ]
        )
    )


def decode_node(row: row_store.Row) -> NodeRecord:
    """Reads a node's row.

    Raises:
        CorruptRowError: The row isn't one of a node.
    """
    try:
        incarnation, address, beats, stopping = msgpack.unpackb(row.value)
        return NodeRecord(
            row.row_key.key, incarnation, address, int(beats), bool(stopping)
        )
    except Exception as error:
        raise errors.CorruptRowError(
            f"the row of node {row.row_key.key} can't be read: {error!r}"
        ) from error


class _Observation:
    __slots__ = ("changed_at", "first_at", "record")

    def __init__(self, record: NodeRecord, now: datetime.timedelta) -> None:
        self.record = record
        self.first_at = now
        self.changed_at = now


class NodeDirectory:
    """The nodes and how long ago each was last seen to renew its row."""

    __slots__ = ("_clock", "_lease", "_seen")

    def __init__(
        self, clock: clock_lib.Clock, lease: datetime.timedelta
    ) -> None:
        self._clock = clock
        self._lease = lease
        self._seen: dict[str, _Observation] = {}

    @property
    def size(self) -> int:
        """Number of nodes that were ever seen."""
        return len(self._seen)

    def observe(self, rows: tuple[row_store.Row, ...]) -> None:
        """Takes a read of all nodes' rows into account."""
        now = self._clock.monotonic()
        for row in rows:
            try:
                record = decode_node(row)
            except errors.CorruptRowError as error:
                logs.log_event("node.unreadable", error=str(error))
                continue
            known = self._seen.get(record.name)
            if known is None or (
                known.record.incarnation != record.incarnation
            ):
                self._seen[record.name] = _Observation(record, now)
            elif known.record != record:
                known.record = record
                known.changed_at = now

    def list_live(self) -> tuple[NodeRecord, ...]:
        """Returns the nodes that renewed in time and aren't stopping."""
        oldest = self._clock.monotonic() - self._lease
        return tuple(
            item.record
            for name, item in sorted(self._seen.items())
            if item.changed_at >= oldest and not item.record.is_stopping
        )

    def is_incarnation_gone(self, name: str, incarnation: str) -> bool:
        """Returns whether a process of a node can no longer give orders.

        It is gone if another process runs at its address, or if it hasn't
        renewed its row for the lease.
        """
        known = self._seen.get(name)
        if known is None:
            return True
        if known.record.incarnation != incarnation:
            return True
        return self._clock.monotonic() - known.changed_at > self._lease

    def measure_age(self, name: str) -> datetime.timedelta:
        """Returns for how long a node's process has been known."""
        known = self._seen.get(name)
        if known is None:
            return datetime.timedelta()
        return self._clock.monotonic() - known.first_at


def locate_node(name: str) -> row_store.RowKey:
    """Returns the row key of a node's row.

    Each node has a partition: one that all share carries out only a few
    renewals a second while the store is slow, and all leases would lapse.
    """
    return row_store.RowKey(tables.NODES, name, name)
