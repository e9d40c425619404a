"""Renews this node's row, which is its lease, and reads the other nodes'."""

import datetime

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import directory as directory_lib
from fireflywell.node import renewal_times
from fireflywell.node import settings as node_settings
from fireflywell.node import tables
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import logs

# Three renewals fit into the lease, so one lost call doesn't end it.
_RENEWALS_PER_LEASE = 3

# The node treats its lease as expired after this share of it, so that it stops
# before other nodes may claim its services.
_VALID_SHARE = 0.85

# If the backlog is larger than this many renewals of each node, all rows are
# read instead. That takes one call for each node, however long the backlog is.
_MAX_BACKLOG_RENEWALS = 8

# Approximate size of a node's row.
_ROW_BYTES = 80

# The backlog limit allows for at least this many nodes, so that nodes that join
# during a start are read as changes, too.
_MIN_BACKLOG_NODES = 32

# The node renews early when another one has been silent for its lease, so that
# a takeover doesn't wait for the next renewal. It pauses for at least this.
_SHORTEST_PAUSE = datetime.timedelta(milliseconds=50)

# Added to the time of such a renewal, so that it is surely after the lease.
_EXPIRY_MARGIN = datetime.timedelta(milliseconds=1)

# A node whose renewals have failed for this share of the lease isn't ready: it
# can't accept jobs without the store, so callers go to other nodes.
_FAILING_SHARE = 0.6


class Heartbeat:
    """Renews this node's lease, which is its row in the store.

    The node counts its lease from the start of the call that renewed it; other
    nodes count from when they read the change. The node therefore always stops
    before others may claim its services.

    Attributes:
        renewal_count: Renewals after which the other nodes' rows were read.
        write_time: How long the last write of this node's row took; the time
            limit if it failed.
    """

    __slots__ = (
        "_beats",
        "_clock",
        "_directory",
        "_incarnation",
        "_is_store_lost",
        "_lease",
        "_renewal_times",
        "_renewed_at",
        "_renewed_version",
        "_seen_version",
        "_settings",
        "_started_at",
        "_stopping",
        "_store",
        "_valid_since",
        "_version",
        "renewal_count",
        "write_time",
    )

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        incarnation: str,
        store: row_store.RowStore,
        directory: directory_lib.NodeDirectory,
        clock: clock_lib.Clock,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._store = store
        self._directory = directory
        self._clock = clock
        self._lease = settings.bounds.lease
        self._beats = 0
        self._version: int | None = None
        # The store's version up to which the nodes' rows were read.
        self._seen_version: int | None = None
        self._started_at: datetime.timedelta | None = None
        self._renewed_at: datetime.timedelta | None = None
        self._valid_since: datetime.timedelta | None = None
        self._renewed_version = 0
        self._renewal_times = renewal_times.RenewalTimes()
        self._stopping = False
        self._is_store_lost = False
        self.renewal_count = 0
        self.write_time = datetime.timedelta()

    @property
    def incarnation(self) -> str:
        """Identifies this run of the process."""
        return self._incarnation

    @property
    def is_stopping(self) -> bool:
        """Whether the node is stopping and claims no more services."""
        return self._stopping

    @property
    def is_valid(self) -> bool:
        """Whether the lease is valid, so that this node may give orders."""
        return self.measure_lapse() <= datetime.timedelta()

    @property
    def valid_since(self) -> datetime.timedelta | None:
        """Start of the last unbroken period of valid leases, monotonic."""
        return self._valid_since

    def require_renewed_version(self) -> int:
        """Returns the version of the store at the last renewal.

        A read that must show what others stored shortly before should not show
        an earlier state than this.

        Raises:
            StaleReadError: Renewals fail, so the version is old, and reads
                tell nothing about their own age.
        """
        if self._renewed_at is None or self.is_failing:
            raise errors.StaleReadError(
                "this node's row wasn't renewed for too long to tell how old "
                "the store's answers are; ask again later"
            )
        return self._renewed_version

    @property
    def renewed_version(self) -> int:
        """Version of the store at the last renewal; 0 before the first one.

        The store had it before any request arrived that is read now. That
        doesn't hold for other answers of the store: a process that was paused
        may read those before the requests that came earlier.
        """
        return self._renewed_version

    def find_proven_time(self, version: int) -> datetime.timedelta | None:
        """Returns a time before the end of a state of the store.

        Args:
            version: Version of the state.

        Returns:
            Monotonic time; the state shows all that was stored before it. None
            if no renewal of this node's row proves one.
        """
        return self._renewal_times.find_earliest(version)

    @property
    def is_failing(self) -> bool:
        """Whether renewals have failed for too long to accept jobs."""
        since = self._renewed_at or self._started_at
        if since is None:
            return False
        elapsed = self._clock.monotonic() - since
        return elapsed > self._lease * _FAILING_SHARE

    def measure_lapse(self) -> datetime.timedelta:
        """Returns the time since the lease expired; negative while valid."""
        if self._renewed_at is None:
            return datetime.timedelta.max
        elapsed = self._clock.monotonic() - self._renewed_at
        return elapsed - self._lease * _VALID_SHARE

    async def run(self) -> None:
        """Renews the lease until cancelled."""
        if self._started_at is None:
            self._started_at = self._clock.monotonic()
        interval = self._lease / _RENEWALS_PER_LEASE
        is_early = False
        while True:
            started = self._clock.monotonic()
            await self._renew_once()
            due_at = started + interval
            # While reads are behind, an early renewal proves nothing about
            # leases that ended before the last one.
            expiry = self._directory.find_next_expiry(started - interval)
            # At most every other renewal is early, however many nodes expire.
            is_early = not is_early and (
                expiry is not None and expiry + _EXPIRY_MARGIN < due_at
            )
            if is_early and expiry is not None:
                due_at = expiry + _EXPIRY_MARGIN
            pause = due_at - self._clock.monotonic()
            await self._clock.sleep(max(pause, _SHORTEST_PAUSE))

    async def announce_stop(self) -> None:
        """Marks this node as stopping in its row, so that others see it."""
        self._stopping = True
        with anyio.move_on_after(1):
            await self._renew_once()

    async def _renew_once(self) -> None:
        try:
            if self._version is None:
                # The first write replaces the version that this read returns.
                rows = await self._read_nodes()
                self._version = _find_version(rows, self._settings.name)
            started = self._clock.monotonic()
            version = await self._write_row()
            if version is not None:
                if not self.is_valid:
                    self._valid_since = started
                self._renewed_at = started
                self._renewed_version = version
                self._renewal_times.record(
                    version, started, self._clock.monotonic()
                )
                await self._read_nodes()
                self.renewal_count += 1
        except errors.PlatformError as error:
            self._record_failure(error)
        else:
            self._record_success()

    async def _read_nodes(self) -> tuple[row_store.Row, ...]:
        """Reads the nodes' rows that changed since the last read, or all."""
        if self._seen_version is None:
            page = await self._read_all_nodes()
        else:
            try:
                page = await self._store.follow(
                    tables.NODES,
                    self._seen_version,
                    datetime.timedelta(),
                    self._compute_backlog_limit(),
                )
            except (errors.HistoryLostError, errors.BacklogTooLargeError):
                page = await self._read_all_nodes()
        # A read of an earlier state must not set the position back.
        self._seen_version = max(self._seen_version or 0, page.version)
        self._directory.observe(
            page.rows,
            page.version,
            self._renewal_times.find_earliest(page.version),
            self._renewal_times.find_latest,
        )
        return page.rows

    def _compute_backlog_limit(self) -> int:
        nodes = max(self._directory.size, _MIN_BACKLOG_NODES)
        return nodes * _MAX_BACKLOG_RENEWALS * _ROW_BYTES

    async def _read_all_nodes(self) -> row_store.Page:
        listed = await self._store.list_partitions(tables.NODES)
        pages: list[row_store.Page] = []
        seen_version = self._seen_version or 0

        async def read_one(name: str) -> None:
            pages.append(
                await self._store.read(
                    tables.NODES, name, at_least=seen_version
                )
            )

        with supervisor_lib.raise_single_error():
            async with anyio.create_task_group() as group:
                # The list may show an earlier state, so nodes that were seen
                # are read in any case. This node's row may not exist yet; the
                # read of its partition still returns the store's version.
                known = self._directory.list_names()
                for name in {*listed, *known, self._settings.name}:
                    group.start_soon(read_one, name)
        # The next read starts at the earliest of these versions, so that it
        # misses no change.
        return row_store.Page(
            tuple(row for page in pages for row in page.rows),
            min(page.version for page in pages),
        )

    async def _write_row(self) -> int | None:
        """Writes this node's row; returns the version, None in a conflict."""
        row_key = directory_lib.locate_node(self._settings.name)
        self._beats += 1
        record = directory_lib.NodeRecord(
            self._settings.name,
            self._incarnation,
            self._settings.callers_address,
            self._beats,
            self._stopping,
            self._settings.cpu_millis,
        )
        value = directory_lib.encode_node(record)
        timeout = self._lease / _RENEWALS_PER_LEASE
        started = self._clock.monotonic()
        try:
            result = await self._store.transact(
                row_store.Transaction(
                    (row_store.Condition(row_key, self._version or 0),),
                    (row_store.Put(row_key, value),),
                ),
                timeout,
            )
        except errors.PlatformError:
            self.write_time = timeout
            raise
        self.write_time = self._clock.monotonic() - started
        match result:
            case row_store.Committed(version=version):
                self._version = version
                return version
            case row_store.Conflict() as conflict:
                # An earlier write was applied and its answer was lost, or the
                # previous process at this address wrote last.
                self._version = conflict.find_version(row_key)
                return None

    def _record_failure(self, error: Exception) -> None:
        if not self._is_store_lost:
            self._is_store_lost = True
            logs.log_event("heartbeat.lost", error=str(error))

    def _record_success(self) -> None:
        if self._is_store_lost:
            self._is_store_lost = False
            logs.log_event("heartbeat.regained")


def _find_version(rows: tuple[row_store.Row, ...], name: str) -> int:
    for row in rows:
        if row.row_key.key == name:
            return row.version
    return 0
