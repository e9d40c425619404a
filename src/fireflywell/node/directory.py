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

_CONFIGURATION_KEY = "config"


class ConfigurationHolder:
    """The newest configuration; never an older one than before."""

    __slots__ = ("_current", "_decode", "_listeners")

    def __init__(
        self, decode: Callable[[bytes], configuration_lib.Configuration]
    ) -> None:
        self._decode = decode
        self._current: configuration_lib.Configuration | None = None
        self._listeners: list[Callable[[], None]] = []

    @property
    def current(self) -> configuration_lib.Configuration | None:
        """The configuration in force, or None before the first one."""
        return self._current

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change."""
        self._listeners.append(listener)

    def apply_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Adopts the configuration among rows of the operator's table."""
        for row in rows:
            if row.place.key == _CONFIGURATION_KEY and not row.is_removed:
                self._adopt(row)

    def _adopt(self, row: row_store.Row) -> None:
        try:
            fresh = self._decode(row.value)
        except errors.CorruptRowError as error:
            logs.log_event("configuration.unreadable", error=str(error))
            return
        if self._current and fresh.version <= self._current.version:
            return
        logs.log_event(
            "configuration.adopted",
            version=fresh.version,
            previous=self._current.version if self._current else None,
            routes=len(fresh.routes),
            services=len(fresh.services),
        )
        self._current = fresh
        for listener in self._listeners:
            listener()


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
            row.place.key, incarnation, address, int(beats), bool(stopping)
        )
    except Exception as error:
        raise errors.CorruptRowError(
            f"the row of node {row.place.key} can't be read: {error!r}"
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
    """Returns the place of a node's row.

    Each node has a partition: one that all share carries out only a few
    renewals a second while the store is slow, and all leases would lapse.
    """
    return row_store.RowKey(tables.NODES, name, name)
