"""Renews this node's row, which keeps its duties, and reads the others'."""

import datetime

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import directory as directory_lib
from fireflywell.node import settings as node_settings
from fireflywell.node import tables
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import logs

# Three renewals fit into the lease, so one lost call doesn't end it.
_RENEWALS_PER_LEASE = 3

# The holder stops this share of the lease before others may take over.
_VALID_SHARE = 0.85

# Renewals of each node that are read one by one. Beyond them all rows are read:
# that takes a call for each node, but no more the longer the absence was.
_LONGEST_BACKLOG = 8

# About the size of a node's row.
_ROW_BYTES = 80

# Nodes that join at a start are read one by one, too.
_FEWEST_NODES = 32

# A node whose renewals fail for this share of the lease sends callers to other
# nodes: it can't accept jobs.
_FAILING_SHARE = 0.6


class Heartbeat:
    """Renews one node's row in the store.

    The holder counts its lease from before the call that renewed it; others
    count from when they saw the change. So the holder always stops first.
    """

    __slots__ = (
        "_beats",
        "_clock",
        "_directory",
        "_incarnation",
        "_is_lost",
        "_lease",
        "_renewed_at",
        "_seen_version",
        "_settings",
        "_stopping",
        "_store",
        "_valid_since",
        "_version",
        "renewal_count",
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
        # Up to which version of the store the nodes' rows were read.
        self._seen_version: int | None = None
        self._renewed_at: datetime.timedelta | None = None
        self._valid_since: datetime.timedelta | None = None
        self._stopping = False
        self._is_lost = False
        self.renewal_count = 0

    @property
    def incarnation(self) -> str:
        """Identifies this run of the process."""
        return self._incarnation

    @property
    def is_stopping(self) -> bool:
        """Whether the node takes no more duties."""
        return self._stopping

    @property
    def is_valid(self) -> bool:
        """Whether this node may still give orders."""
        return self.measure_lapse() <= datetime.timedelta()

    @property
    def valid_since(self) -> datetime.timedelta | None:
        """Monotonic time from which the lease has never lapsed."""
        return self._valid_since

    @property
    def is_failing(self) -> bool:
        """Whether the store hasn't taken a renewal for a while."""
        if self._renewed_at is None:
            return False
        elapsed = self._clock.monotonic() - self._renewed_at
        return elapsed > self._lease * _FAILING_SHARE

    def measure_lapse(self) -> datetime.timedelta:
        """Returns for how long the lease has been over; negative before."""
        if self._renewed_at is None:
            return datetime.timedelta.max
        elapsed = self._clock.monotonic() - self._renewed_at
        return elapsed - self._lease * _VALID_SHARE

    async def run(self) -> None:
        """Renews until cancelled."""
        interval = self._lease / _RENEWALS_PER_LEASE
        while True:
            started = self._clock.monotonic()
            await self._renew_once()
            elapsed = self._clock.monotonic() - started
            await self._clock.sleep(
                max(interval - elapsed, datetime.timedelta(milliseconds=50))
            )

    async def announce_stop(self) -> None:
        """Tells the other nodes that this one takes no more duties."""
        self._stopping = True
        with anyio.move_on_after(1):
            await self._renew_once()

    async def _renew_once(self) -> None:
        try:
            if self._version is None:
                # The first read decides what the first write replaces.
                rows = await self._read_nodes()
                self._version = _find_version(rows, self._settings.name)
            started = self._clock.monotonic()
            if await self._write_row():
                if not self.is_valid:
                    self._valid_since = started
                self._renewed_at = started
                await self._read_nodes()
                self.renewal_count += 1
        except errors.PlatformError as error:
            self._note_failure(error)
        else:
            self._note_success()

    async def _read_nodes(self) -> tuple[row_store.Row, ...]:
        """Reads what has changed since the last time, or all rows."""
        if self._seen_version is None:
            page = await self._read_all_nodes()
        else:
            try:
                page = await self._store.follow(
                    tables.NODES,
                    self._seen_version,
                    datetime.timedelta(),
                    self._find_backlog_limit(),
                )
            except (errors.HistoryLostError, errors.BacklogTooLargeError):
                page = await self._read_all_nodes()
        self._seen_version = page.version
        self._directory.observe(page.rows)
        return page.rows

    def _find_backlog_limit(self) -> int:
        nodes = max(self._directory.size, _FEWEST_NODES)
        return nodes * _LONGEST_BACKLOG * _ROW_BYTES

    async def _read_all_nodes(self) -> row_store.Page:
        listed = await self._store.list_partitions(tables.NODES)
        pages: list[row_store.Page] = []

        async def read_one(name: str) -> None:
            pages.append(await self._store.read(tables.NODES, name))

        with supervisor_lib.raise_single_error():
            async with anyio.create_task_group() as group:
                # Its own row may not be there yet; the read tells the version.
                for name in {*listed, self._settings.name}:
                    group.start_soon(read_one, name)
        # Changes after the earliest read are in what is read next time.
        return row_store.Page(
            tuple(row for page in pages for row in page.rows),
            min(page.version for page in pages),
        )

    async def _write_row(self) -> bool:
        row_key = directory_lib.locate_node(self._settings.name)
        self._beats += 1
        record = directory_lib.NodeRecord(
            self._settings.name,
            self._incarnation,
            self._settings.callers_address,
            self._beats,
            self._stopping,
        )
        result = await self._store.transact(
            row_store.Transaction(
                expected=(row_store.Condition(row_key, self._version or 0),),
                puts=(
                    row_store.Put(row_key, directory_lib.encode_node(record)),
                ),
            ),
            self._lease / _RENEWALS_PER_LEASE,
        )
        match result:
            case row_store.Committed(version=version):
                self._version = version
                return True
            case row_store.Conflict() as conflict:
                # An earlier write whose answer was lost, or the last write of
                # this address's previous process.
                self._version = conflict.find_version(row_key)
                return False

    def _note_failure(self, error: Exception) -> None:
        if not self._is_lost:
            self._is_lost = True
            logs.log_event("heartbeat.lost", error=str(error))

    def _note_success(self) -> None:
        if self._is_lost:
            self._is_lost = False
            logs.log_event("heartbeat.regained")


def _find_version(rows: tuple[row_store.Row, ...], name: str) -> int:
    for row in rows:
        if row.row_key.key == name:
            return row.version
    return 0
