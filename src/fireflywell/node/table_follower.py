"""Follows the rows of a table: a snapshot first, then each change."""

from collections.abc import Callable
import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.telemetry import logs

# How long a call waits for changes. A dead connection is detected after this
# time plus the margin of the call.
_WAIT = datetime.timedelta(seconds=1)

_RETRY_DELAY = datetime.timedelta(milliseconds=200)

# Changes are read one by one while they are smaller than the table plus this
# allowance. It is for small tables, of which many changes fit into one answer.
_BACKLOG_ALLOWANCE_BYTES = 65_536

# The loss of the store is logged after this many failures in a row.
_FAILURES_TO_REPORT = 2


class TableFollower:
    """Passes the rows of a table's partitions, and their changes, to callbacks.

    `on_snapshot` gets all rows after each load, and `on_changes` the changed
    rows after that. The store returns every change of a row, not just the
    last. A follower that is behind therefore loads all rows again once the
    changes are larger than the table: otherwise larger answers increase the
    delay, and a longer delay the answers.

    Reads may show an earlier state. A snapshot is passed on only if it shows
    what the user needs and everything that was passed on before, also by an
    earlier run of the task; an older one is read again.
    """

    __slots__ = (
        "_clock",
        "_confirmed_at",
        "_failures",
        "_find_needed_version",
        "_find_proven_time",
        "_list_partitions",
        "_on_changes",
        "_on_confirmed",
        "_on_snapshot",
        "_passed_version",
        "_pause",
        "_snapshot_bytes",
        "_store",
        "_table",
    )

    def __init__(
        self,
        store: row_store.RowStore,
        clock: clock_lib.Clock,
        table: str,
        list_partitions: Callable[[], tuple[str, ...]],
        on_snapshot: Callable[[tuple[row_store.Row, ...]], None],
        on_changes: Callable[[tuple[row_store.Row, ...]], None],
        pause: datetime.timedelta = datetime.timedelta(milliseconds=20),
        on_confirmed: Callable[[datetime.timedelta], None] | None = None,
        find_needed_version: Callable[[], int] | None = None,
        find_proven_time: (
            Callable[[int], datetime.timedelta | None] | None
        ) = None,
    ) -> None:
        """Creates a follower; `run` starts it.

        Args:
            store: The store.
            clock: The clock.
            table: The table.
            list_partitions: Returns the partitions whose rows are read.
            on_snapshot: Gets all rows.
            on_changes: Gets changed rows.
            pause: Time between calls.
            on_confirmed: Gets the monotonic time of each call whose answer
                showed that the rows were up to date when it was sent.
            find_needed_version: Returns the version of the store that a
                snapshot must not precede; None if any is good for a start.
            find_proven_time: Returns a monotonic time; a state of a version
                shows all that was stored before it. None if no such time is
                known. Without this argument, a call counts as showing the
                moment at which it was sent if its answer shows the newest
                version known by then, which is less than a proof.
        """
        self._store = store
        self._clock = clock
        self._table = table
        self._list_partitions = list_partitions
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        # Time between calls, in which further changes collect for one answer.
        self._pause = pause
        self._failures = 0
        self._snapshot_bytes = 0
        self._on_confirmed = on_confirmed
        # Monotonic time at which the passed rows were last up to date.
        self._confirmed_at: datetime.timedelta | None = None
        self._find_needed_version = find_needed_version
        self._find_proven_time = find_proven_time
        # Version of the newest state of which rows were passed on.
        self._passed_version = 0

    async def run(self) -> None:
        """Follows the table until cancelled."""
        version: int | None = None
        while True:
            try:
                if version is None:
                    version = await self._load_snapshot()
                version = await self._follow_once(version)
            except errors.HistoryLostError:
                logs.log_event(
                    "store.history_lost",
                    table=self._table,
                    after=version,
                    confirmed_s=self._measure_confirmed_age(),
                )
                version = None
            except errors.BacklogTooLargeError as error:
                logs.log_event(
                    "store.backlog_skipped",
                    table=self._table,
                    after=version,
                    confirmed_s=self._measure_confirmed_age(),
                    reason=str(error),
                )
                version = None
            except errors.PlatformError as error:
                self._record_failure(error, version)
                await self._clock.sleep(_RETRY_DELAY)
            else:
                self._record_success()
                await self._clock.sleep(self._pause)

    async def _load_snapshot(self) -> int:
        started = self._clock.monotonic()
        known = self._store.newest_version
        needed = self._passed_version
        if self._find_needed_version is not None:
            needed = max(needed, self._find_needed_version())
        pages = [
            await self._store.read(self._table, partition, at_least=needed)
            for partition in self._list_partitions() or ("",)
        ]
        rows = tuple(row for page in pages for row in page.rows)
        self._snapshot_bytes = sum(len(row.value) for row in rows)
        self._on_snapshot(rows)
        self._passed_version = max(page.version for page in pages)
        # The changes that the oldest page doesn't show are still to come.
        version = min(page.version for page in pages)
        self._confirm(version, known, started)
        return version

    async def _follow_once(self, version: int) -> int:
        sent_at = self._clock.monotonic()
        known = self._store.newest_version
        page = await self._store.follow(
            self._table,
            version,
            _WAIT,
            self._snapshot_bytes + _BACKLOG_ALLOWANCE_BYTES,
        )
        if page.rows:
            self._on_changes(page.rows)
        self._passed_version = max(self._passed_version, page.version)
        self._confirm(page.version, known, sent_at)
        return max(version, page.version)

    def _confirm(
        self, version: int, known: int, sent_at: datetime.timedelta
    ) -> None:
        """Notes as of when the rows passed on are up to date.

        Args:
            version: Version of the state that they show.
            known: Newest version known when the call was sent.
            sent_at: When it was sent.
        """
        if self._find_proven_time is not None:
            at = self._find_proven_time(version)
        else:
            at = sent_at if version >= known else None
        if at is None or (self._confirmed_at and at <= self._confirmed_at):
            return
        self._confirmed_at = at
        if self._on_confirmed is not None:
            self._on_confirmed(at)

    def _measure_confirmed_age(self) -> float | None:
        if self._confirmed_at is None:
            return None
        return logs.round_seconds(self._clock.monotonic() - self._confirmed_at)

    def _record_failure(self, error: Exception, version: int | None) -> None:
        self._failures += 1
        if self._failures == _FAILURES_TO_REPORT:
            logs.log_event(
                "store.lost",
                table=self._table,
                after=version,
                confirmed_s=self._measure_confirmed_age(),
                error=str(error),
            )

    def _record_success(self) -> None:
        if self._failures >= _FAILURES_TO_REPORT:
            logs.log_event(
                "store.regained", table=self._table, failures=self._failures
            )
        self._failures = 0
