"""Tells which services hold the jobs of each queue.

The operator may send a queue to another service. Jobs that were accepted before
stay in the partition of the service that accepted them, so each queue has a row
with all services that may hold jobs of it. The first one is the queue's origin,
which never changes: the row at a job's key there is the authority for the job.
Services are only ever appended.
"""

import collections
from collections.abc import Callable
import datetime
import random

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import queue_service_rows
from fireflywell.node import tables
from fireflywell.scheduling import model
from fireflywell.telemetry import logs

# Counts within this time share one read of the lists.
_MAX_AGE = datetime.timedelta(seconds=1)

# Counts may leave out jobs that were accepted within the last 5 s. A list gets
# a service before the service gets the first job, so the lists may be about as
# old. The rest covers the way of an answer to the caller.
_MAX_PROVEN_AGE = datetime.timedelta(seconds=4.5)

# Counts read the lists again if these weren't followed, or aren't proved to be
# younger than this, so that they don't get too old during the count.
_MAX_UNREAD_AGE = datetime.timedelta(seconds=3)

# How long a call waits for changes of the lists. While the store answers, the
# lists are proved young enough for counts, so these read nothing.
_FOLLOW_WAIT = datetime.timedelta(seconds=2)

# Changes of more bytes than this are skipped, and all rows are read instead.
_MAX_CHANGES_BYTES = 262_144

# The lists are read at a first submission if they were read longer ago.
_MAX_READ_AGE = datetime.timedelta(seconds=10)

_RETRY_DELAY = datetime.timedelta(milliseconds=500)

# Nodes adopt a configuration at the same time. Each waits for a random time of
# up to this before it lists services, so that one does it for all.
_MAX_LISTING_DELAY = datetime.timedelta(seconds=1)

# Each failed attempt shows the services that other nodes have added.
_MAX_ATTEMPTS = 10

# A transaction holds at most 100 entries, and each row takes two.
_ROWS_PER_WRITE = 40


class QueueServices:
    """A cache of the rows of all queues.

    A cached or an earlier list of a queue can only lack services that were
    appended since.
    """

    __slots__ = (
        "_clock",
        "_find_proven_time",
        "_followed_at",
        "_proven_at",
        "_proven_queues",
        "_queue_locks",
        "_random",
        "_read_at",
        "_refresh_lock",
        "_rows",
        "_services",
        "_store",
        "_unreadable",
        "_version",
    )

    def __init__(
        self,
        store: row_store.RowStore,
        clock: clock_lib.Clock,
        find_proven_time: (
            Callable[[int], datetime.timedelta | None] | None
        ) = None,
        rng: random.Random | None = None,
    ) -> None:
        """Creates an empty cache.

        Args:
            store: The store.
            clock: The clock.
            find_proven_time: Returns a monotonic time before the end of a state
                of the store, given its version, or None if it can't tell one.
                Reads count as reads of the present state if it isn't given.
            rng: Source of delays.
        """
        self._store = store
        self._clock = clock
        self._find_proven_time = find_proven_time
        self._services: dict[str, tuple[str, ...]] = {}
        # Row of each queue that holds these services.
        self._rows: dict[str, row_store.Row] = {}
        # Queues whose newest row can't be decoded.
        self._unreadable: set[str] = set()
        self._random = rng or random.Random()
        # Version after which changes are still to be read; None for all rows.
        self._version: int | None = None
        # Monotonic time before the last read of all rows or of their changes.
        self._read_at: datetime.timedelta | None = None
        # Monotonic time before the last call for changes. While there is one,
        # each change arrives at once.
        self._followed_at: datetime.timedelta | None = None
        # Monotonic times: the lists show all that was stored before the first
        # one, and each queue's list all that was stored before its own one.
        self._proven_at: datetime.timedelta | None = None
        self._proven_queues: dict[str, datetime.timedelta] = {}
        self._refresh_lock = anyio.Lock()
        self._queue_locks: collections.defaultdict[str, anyio.Lock] = (
            collections.defaultdict(anyio.Lock)
        )

    @property
    def known_services(self) -> frozenset[str]:
        """All services that are known to hold jobs of some queue."""
        return frozenset(
            service for listed in self._services.values() for service in listed
        )

    async def run(
        self, list_policies: Callable[[], tuple[model.QueuePolicy, ...]]
    ) -> None:
        """Keeps `known_services` and the queues' rows up to date.

        Args:
            list_policies: Returns the policies of all configured queues. Their
                services are listed before jobs come, because the first jobs of
                many queues at many nodes would wait for the same partition.
        """
        wait = _FOLLOW_WAIT
        is_delayed = False
        while True:
            try:
                await self._read_changes(wait)
                missing = self._find_missing(list_policies())
                if missing and is_delayed:
                    await self._append(missing)
                elif missing:
                    delay_s = self._random.uniform(
                        0, _MAX_LISTING_DELAY.total_seconds()
                    )
                    await self._clock.sleep(datetime.timedelta(seconds=delay_s))
            except (errors.HistoryLostError, errors.BacklogTooLargeError):
                self._version = None
            except errors.PlatformError:
                # The calls of others that fail are reported.
                await self._clock.sleep(_RETRY_DELAY)
            else:
                is_delayed = bool(missing) and not is_delayed
                # Another node may have listed them meanwhile.
                wait = datetime.timedelta() if missing else _FOLLOW_WAIT

    async def find_origin(self, queue: str, service: str) -> str:
        """Returns a queue's origin, which a first call registers.

        Args:
            queue: The queue.
            service: Service that the configuration names, which becomes the
                origin of a queue without one.

        Raises:
            PlatformError: The store doesn't answer, or holds a row that can't
                be decoded.
        """
        if queue not in self._services:
            await self._find_or_add(queue, service, is_origin_enough=True)
        return self._services[queue][0]

    async def guess_service(self, queue: str, service: str) -> str:
        """Returns the service that most probably holds a job of a queue.

        Args:
            queue: The queue.
            service: Service that the configuration names.

        Raises:
            PlatformError: The store doesn't answer, or holds a row that can't
                be decoded.
        """
        origin = await self.find_origin(queue, service)
        return service if service in self._services[queue] else origin

    async def register(self, queue: str, service: str) -> str:
        """Lists a service that is about to hold a job of a queue.

        Args:
            queue: The queue.
            service: The service.

        Returns:
            The queue's origin.

        Raises:
            PlatformError: The store doesn't answer, or holds a row that can't
                be decoded; no job may be stored in the service yet.
        """
        if service not in self._services.get(queue, ()):
            await self._find_or_add(queue, service, is_origin_enough=False)
        return self._services[queue][0]

    async def list_services(self, queue: str) -> tuple[str, ...]:
        """Returns the services that may hold jobs of a queue, for counts.

        Returns:
            The services, the origin first; empty if no job of the queue was
            ever accepted.

        Raises:
            PlatformError: The store doesn't answer.
            StaleReadError: The list may be too old for counts.
        """
        now = self._clock.monotonic()
        is_followed = not _is_older(self._followed_at, now, _MAX_UNREAD_AGE)
        if not is_followed or not self._is_younger(queue, _MAX_UNREAD_AGE):
            try:
                await self.refresh()
            except errors.PlatformError:
                # A list that was read before may be recent enough.
                self.require_recent(queue)
        self.require_recent(queue)
        return self._services.get(queue, ())

    def require_recent(self, queue: str) -> None:
        """Checks that a count by a queue's list leaves out only new jobs.

        Raises:
            StaleReadError: The list may be too old for counts.
        """
        if not self._is_younger(queue, _MAX_PROVEN_AGE):
            raise errors.StaleReadError(
                f"the list of services of queue {queue} may be older than "
                f"{_MAX_PROVEN_AGE.total_seconds():g} s; ask again later"
            )

    async def refresh(self) -> None:
        """Reads the rows of all queues unless that was done within a second.

        Raises:
            PlatformError: The store doesn't answer.
        """
        async with self._refresh_lock:
            if _is_older(self._read_at, self._clock.monotonic(), _MAX_AGE):
                await self._read_rows()

    def _is_younger(self, queue: str, max_age: datetime.timedelta) -> bool:
        """Returns whether a queue's list is proved to be that young."""
        now = self._clock.monotonic()
        return not (
            _is_older(self._proven_at, now, max_age)
            and _is_older(self._proven_queues.get(queue), now, max_age)
        )

    async def _find_or_add(
        self, queue: str, service: str, *, is_origin_enough: bool
    ) -> None:
        """Reads the rows, and appends a service to a queue that lacks it.

        Args:
            queue: The queue.
            service: The service.
            is_origin_enough: Whether the service is only appended to a queue
                without any.
        """

        def is_found() -> bool:
            listed = self._services.get(queue, ())
            return service in listed or (is_origin_enough and bool(listed))

        async with self._queue_locks[queue]:
            # Rows that were read lately are good enough for a start: a
            # conflict tells the present one.
            now = self._clock.monotonic()
            is_read_due = _is_older(self._read_at, now, _MAX_READ_AGE)
            if is_read_due and not is_found():
                await self._read_rows()
            for _ in range(_MAX_ATTEMPTS):
                if is_found():
                    return
                await self._append({queue: service})
                if queue in self._unreadable:
                    break
            if not is_found():
                raise errors.PlatformUnavailableError(
                    f"the services of queue {queue} can't be decoded, or were "
                    "changed by others at each attempt"
                )

    def _find_missing(
        self, policies: tuple[model.QueuePolicy, ...]
    ) -> dict[str, str]:
        """Returns configured services, by queue, that its row lacks."""
        missing = {
            policy.queue: policy.service
            for policy in policies
            if policy.service not in self._services.get(policy.queue, ())
            and policy.queue not in self._unreadable
        }
        return dict(tuple(missing.items())[:_ROWS_PER_WRITE])

    async def _read_changes(self, wait: datetime.timedelta) -> None:
        """Reads all rows at first, and then their changes.

        Raises:
            HistoryLostError: The store doesn't keep the changes any more.
            BacklogTooLargeError: The changes are larger than the limit.
            PlatformError: The store doesn't answer.
        """
        if self._version is None:
            self._version = (await self._read_rows()).version
            return
        started = self._clock.monotonic()
        self._followed_at = started
        page = await self._store.follow(
            tables.QUEUE_SERVICES, self._version, wait, _MAX_CHANGES_BYTES
        )
        self._apply_page(page, started)
        self._version = max(self._version, page.version)

    async def _read_rows(self) -> row_store.Page:
        """Reads the rows of all queues. The read may be behind."""
        started = self._clock.monotonic()
        page = await self._store.read(
            tables.QUEUE_SERVICES, tables.QUEUE_SERVICES_PARTITION
        )
        self._apply_page(page, started)
        return page

    def _apply_page(
        self, page: row_store.Page, started: datetime.timedelta
    ) -> None:
        """Caches the rows of a page and notes which moment the lists show."""
        self._read_at = started
        proven_at: datetime.timedelta | None = started
        if self._find_proven_time is not None:
            proven_at = self._find_proven_time(page.version)
        if proven_at is not None:
            self._proven_at = max(proven_at, self._proven_at or proven_at)
        for row in page.rows:
            self._apply(row)

    async def _append(self, added: dict[str, str]) -> None:
        """Appends a service to the rows of some queues, or reads the rows.

        Args:
            added: The service by queue.

        Raises:
            PlatformError: The store doesn't answer.
        """
        expected = []
        puts = []
        for queue, service in added.items():
            row_key = tables.locate_queue_services(queue)
            known = self._rows.get(queue)
            listed = (*self._services.get(queue, ()), service)
            version = known.version if known else 0
            expected.append(row_store.Condition(row_key, version))
            value = queue_service_rows.encode_services(listed)
            puts.append(row_store.Put(row_key, value))
        started = self._clock.monotonic()
        try:
            result = await self._store.transact(
                row_store.Transaction(tuple(expected), tuple(puts))
            )
        except errors.PlatformError:
            # Others may have added the services meanwhile; a read tells, and
            # isn't held up by the writes to the partition.
            self._read_at = None
            raise
        match result:
            case row_store.Committed(version=version):
                for put in puts:
                    self._apply(row_store.Row(put.row_key, put.value, version))
                    # A transaction shows the present state of its rows.
                    self._proven_queues[put.row_key.key] = started
                    self._log_added(put.row_key.key)
            case row_store.Conflict(rows=rows):
                # Another node has changed a row, or an earlier transaction
                # without an answer was applied.
                for row in rows:
                    if row.version:
                        self._apply(row)
                        self._proven_queues[row.row_key.key] = started

    def _apply(self, row: row_store.Row) -> None:
        """Caches a row unless a later one is known."""
        queue = row.row_key.key
        known = self._rows.get(queue)
        if known is not None and known.version >= row.version:
            return
        try:
            listed = queue_service_rows.decode_services(row.value)
        except errors.CorruptRowError as error:
            self._unreadable.add(queue)
            logs.log_event("queue.unreadable", queue=queue, error=str(error))
            return
        self._unreadable.discard(queue)
        self._services[queue] = listed
        self._rows[queue] = row

    def _log_added(self, queue: str) -> None:
        services = self._services[queue]
        logs.log_event(
            "queue.service_added",
            queue=queue,
            service=services[-1],
            origin=services[0],
        )


def _is_older(
    at: datetime.timedelta | None,
    now: datetime.timedelta,
    max_age: datetime.timedelta,
) -> bool:
    return at is None or now - at >= max_age
