"""Holds the configuration in force and tracks the nodes' renewals."""

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

# Speed of a node whose row doesn't tell it.
_DEFAULT_CPU_MILLIS = 1000


class ConfigurationHolder:
    """Holds the newest configuration read; never goes back to an older one."""

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
        """Time since the configuration was last confirmed as the newest."""
        return self._measure_since(self._confirmed_at)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each change."""
        self._listeners.append(listener)

    def mark_confirmed(self, at: datetime.timedelta) -> None:
        """Records that the configuration was the newest at a monotonic time."""
        self._confirmed_at = at

    def apply_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Adopts the configuration among rows of the operator's table."""
        for row in rows:
            if row.row_key.key == _CONFIGURATION_KEY and not row.is_removed:
                self._adopt(row)

    def _adopt(self, row: row_store.Row) -> None:
        started = self._clock.monotonic()
        try:
            decoded = self._decode(row.value)
        except errors.CorruptRowError as error:
            logs.log_event("configuration.unreadable", error=str(error))
            return
        if self._current and decoded.version <= self._current.version:
            return
        now = self._clock.monotonic()
        logs.log_event(
            "configuration.adopted",
            version=decoded.version,
            previous=self._current.version if self._current else None,
            previous_age_s=logs.round_seconds(self.age),
            confirmed_s=logs.round_seconds(self.confirmed_age),
            row_version=row.version,
            size_bytes=len(row.value),
            decode_s=logs.round_seconds(now - started),
            routes=len(decoded.routes),
            services=len(decoded.services),
        )
        self._metrics.record_gauge(
            "node.configuration.version", decoded.version
        )
        if self._current:
            _log_changed_services(self._current, decoded)
        self._current = decoded
        self._adopted_at = now
        for listener in self._listeners:
            listener()

    def _measure_since(
        self, at: datetime.timedelta | None
    ) -> datetime.timedelta | None:
        return None if at is None else self._clock.monotonic() - at


def _log_changed_services(
    previous: configuration_lib.Configuration,
    adopted: configuration_lib.Configuration,
) -> None:
    """Logs each queue that a configuration sends to another service."""
    former = previous.list_queue_services()
    for queue, service in adopted.list_queue_services().items():
        if former.get(queue, service) != service:
            logs.log_event(
                "queue.service_changed",
                queue=queue,
                service=service,
                previous=former[queue],
                configuration=adopted.version,
            )


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """A node's own row.

    Attributes:
        name: Name of the node.
        incarnation: Identifies one run of its process.
        address: Address for callers; two processes can't share it.
        beats: Number of the renewal; rises with each one.
        is_stopping: Whether the node is stopping and claims no more services.
        cpu_millis: Processor speed, in thousandths of a core.
    """

    name: str
    incarnation: str
    address: str
    beats: int
    is_stopping: bool
    cpu_millis: int = _DEFAULT_CPU_MILLIS


def encode_node(record: NodeRecord) -> bytes:
    """Returns the stored form of a node's row."""
    return bytes(
        msgpack.packb(
            [
                record.incarnation,
                record.address,
                record.beats,
                record.is_stopping,
                record.cpu_millis,
            ]
        )
    )


def decode_node(row: row_store.Row) -> NodeRecord:
    """Decodes a node's row.

    Raises:
        CorruptRowError: The row's value isn't that of a node.
    """
    try:
        incarnation, address, beats, stopping, *speed = msgpack.unpackb(
            row.value
        )
        return NodeRecord(
            row.row_key.key,
            incarnation,
            address,
            int(beats),
            bool(stopping),
            max(1, int(speed[0])) if speed else _DEFAULT_CPU_MILLIS,
        )
    except Exception as error:
        raise errors.CorruptRowError(
            f"the row of node {row.row_key.key} can't be decoded: {error!r}; "
            "it is ignored until the node renews it"
        ) from error


class _ObservedNode:
    __slots__ = ("changed_at", "first_seen_at", "record", "version")

    def __init__(
        self,
        record: NodeRecord,
        version: int,
        changed_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        self.record = record
        # Version of the row.
        self.version = version
        self.first_seen_at = now
        self.changed_at = changed_at


class NodeDirectory:
    """Tracks the nodes and when each was last seen to renew its row.

    Reads of the store may show an earlier state. A process therefore counts as
    silent only by a state that is known to be from after its lease, and never
    because nothing was read.
    """

    __slots__ = (
        "_clock",
        "_first_missed_at",
        "_lease",
        "_observed",
        "_proven_at",
        "_shown_version",
    )

    def __init__(
        self, clock: clock_lib.Clock, lease: datetime.timedelta
    ) -> None:
        self._clock = clock
        self._lease = lease
        self._observed: dict[str, _ObservedNode] = {}
        # Version of the newest state whose rows were observed.
        self._shown_version = 0
        # The observed rows show all renewals that were stored before this time.
        self._proven_at: datetime.timedelta | None = None
        # When each process, by node and incarnation, was asked for first whose
        # node was never seen.
        self._first_missed_at: dict[tuple[str, str], datetime.timedelta] = {}

    @property
    def size(self) -> int:
        """Number of nodes seen so far, including those that have ended."""
        return len(self._observed)

    def observe(
        self,
        rows: tuple[row_store.Row, ...],
        version: int = 0,
        proven_at: datetime.timedelta | None = None,
        find_latest: Callable[[int], datetime.timedelta | None] | None = None,
    ) -> None:
        """Records the processes and renewals in nodes' rows read just now.

        Args:
            rows: The rows; those older than the ones seen before are ignored.
            version: Version of the state that the rows complete.
            proven_at: Monotonic time; the state shows all that was stored
                before it. None if no such time is known.
            find_latest: Returns the time by which a version was surely made,
                if one is known. Otherwise a row counts as renewed just now.
        """
        now = self._clock.monotonic()
        for row in rows:
            try:
                record = decode_node(row)
            except errors.CorruptRowError as error:
                logs.log_event("node.unreadable", error=str(error))
                continue
            observed = self._observed.get(record.name)
            if observed is not None and row.version <= observed.version:
                continue
            latest = find_latest(row.version) if find_latest else None
            changed_at = now if latest is None else latest
            if observed is None or (
                observed.record.incarnation != record.incarnation
            ):
                self._observed[record.name] = _ObservedNode(
                    record, row.version, changed_at, now
                )
                self._first_missed_at.pop(
                    (record.name, record.incarnation), None
                )
            else:
                observed.record = record
                observed.version = row.version
                observed.changed_at = changed_at
        self._shown_version = max(self._shown_version, version)
        if proven_at is not None and (
            self._proven_at is None or proven_at > self._proven_at
        ):
            self._proven_at = proven_at

    def list_names(self) -> tuple[str, ...]:
        """Returns the nodes seen so far, including those that have ended."""
        return tuple(self._observed)

    def find_address(self, name: str) -> str:
        """Returns the callers' address of a node that isn't known to be silent.

        Empty if there is no such node, or if it is stopping.
        """
        observed = self._observed.get(name)
        if (
            observed is None
            or observed.record.is_stopping
            or self._is_silent_since(observed.changed_at)
        ):
            return ""
        return observed.record.address

    def list_live(self) -> tuple[NodeRecord, ...]:
        """Returns nodes that aren't known to be silent or stopping."""
        return tuple(
            node.record
            for name, node in sorted(self._observed.items())
            if not self._is_silent_since(node.changed_at)
            and not node.record.is_stopping
        )

    def has_incarnation_expired(
        self, name: str, incarnation: str, named_at: int
    ) -> bool:
        """Returns whether a process of a node can no longer give orders.

        That is so if another process runs at its address, or if it hasn't
        renewed its row for longer than the lease.

        Args:
            name: Name of the node.
            incarnation: The process.
            named_at: Version of the store at which the process was alive: that
                of the row that names it as an owner.
        """
        observed = self._observed.get(name)
        if observed is None:
            # The list of nodes may be behind. A living node renews its row
            # before its lease ends, and is then seen by that.
            return self._is_silent_since(
                self._first_missed_at.setdefault(
                    (name, incarnation), self._clock.monotonic()
                )
            )
        if observed.record.incarnation != incarnation:
            # If both are older, the row may be that of its predecessor.
            return max(observed.version, self._shown_version) >= named_at
        return self._is_silent_since(observed.changed_at)

    def find_next_expiry(
        self, after: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Returns when the next process may be found to be silent.

        Args:
            after: Processes whose lease ended before this monotonic time are
                left out.

        Returns:
            Monotonic time at which the lease of a process ends that isn't known
            to be silent; None if there is none.
        """
        return min(
            (
                node.changed_at + self._lease
                for node in self._observed.values()
                if node.changed_at + self._lease >= after
                and not self._is_silent_since(node.changed_at)
            ),
            default=None,
        )

    def measure_age(self, name: str) -> datetime.timedelta:
        """Returns the time since a node's process was first seen, or zero."""
        observed = self._observed.get(name)
        if observed is None:
            return datetime.timedelta()
        return self._clock.monotonic() - observed.first_seen_at

    def _is_silent_since(self, at: datetime.timedelta) -> bool:
        """Returns whether a node that renewed at a time lets its lease end."""
        return self._proven_at is not None and (
            self._proven_at - at > self._lease
        )


def locate_node(name: str) -> row_store.RowKey:
    """Returns the row key of a node's row.

    Each node has its own partition. While the store is slow, a shared one would
    process only a few renewals a second, and all leases would expire.
    """
    return row_store.RowKey(tables.NODES, name, name)
