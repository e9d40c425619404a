"""Counts the accepted jobs of each queue that have not started."""

import collections
from collections.abc import Callable
import dataclasses

import anyio
import msgpack

from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import tables
from fireflywell.scheduling import job_rows
from fireflywell.scheduling import model
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

# Stored counts older than this are not used. Callers are promised a number that
# is at most 2 s old; the rest covers the way from the store to the caller.
_MAX_STORED_AGE_S = 1.8

# Requests within this time share one reading of the service's rows.
_MAX_CACHE_AGE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCounts:
    """Numbers of waiting jobs of all queues of a service.

    Attributes:
        at_s: When the jobs were counted, on the store's clock.
        by_queue: Number of jobs by queue; queues without any are left out.
    """

    at_s: float
    by_queue: dict[str, int]

    def get(self, queue: str) -> int:
        """Returns the number of waiting jobs of a queue."""
        return self.by_queue.get(queue, 0)


def encode_counts(counts: WaitingCounts) -> bytes:
    """Encodes counts for the store."""
    return bytes(msgpack.packb([counts.at_s, counts.by_queue]))


def decode_counts(data: bytes) -> WaitingCounts:
    """Decodes counts from the store.

    Raises:
        CorruptRowError: The bytes aren't encoded counts.
    """
    try:
        at_s, by_queue = msgpack.unpackb(data)
        return WaitingCounts(
            float(at_s), {str(name): int(n) for name, n in by_queue.items()}
        )
    except Exception as error:
        raise errors.CorruptRowError(
            f"stored counts of waiting jobs can't be read: {error!r}; the jobs "
            "are counted instead"
        ) from error


class WaitingCounter:
    """Reads the counts that a service's owner stored, or counts the rows.

    Counting reads all jobs of the service. If there is no owner, the result is
    cached, so that a node counts at most once in `_MAX_CACHE_AGE_S`, however
    many callers ask.
    """

    __slots__ = (
        "_cached_counts",
        "_find_needed_version",
        "_locks",
        "_metrics",
        "_store",
    )

    def __init__(
        self,
        store: row_store.RowStore,
        metrics: metrics_lib.Metrics,
        find_needed_version: Callable[[], int] = lambda: 0,
    ) -> None:
        """Creates a counter.

        Args:
            store: The store.
            metrics: Receives samples.
            find_needed_version: Returns the version of the store that the rows
                which are counted must not precede; raises `StaleReadError`
                if it doesn't know one.
        """
        self._store = store
        self._find_needed_version = find_needed_version
        self._metrics = metrics
        self._cached_counts: dict[str, WaitingCounts] = {}
        self._locks: collections.defaultdict[str, anyio.Lock] = (
            collections.defaultdict(anyio.Lock)
        )

    async def count(self, service: str, queue: str) -> int:
        """Returns how many jobs of a queue a service holds unstarted.

        Raises:
            PlatformError: The store doesn't answer or shows an earlier state.
        """
        counts = await self._read_stored(service)
        if counts is None:
            counts = await self._get_cached_count(service)
        return counts.get(queue)

    async def _read_stored(self, service: str) -> WaitingCounts | None:
        row_key = tables.locate_waiting_counts(service)
        sent_s = self._store.now_s()
        row = await row_store.read_row(self._store, row_key)
        if row is None:
            return None
        try:
            counts = decode_counts(row.value)
        except errors.CorruptRowError as error:
            logs.log_event(
                "waiting_counts.unreadable", service=service, error=str(error)
            )
            return None
        # The estimate of the store's clock may be late by the time of a call,
        # so the counts are at most this old.
        now_s = self._store.now_s()
        age_s = (now_s - counts.at_s) + (now_s - sent_s)
        return counts if age_s < _MAX_STORED_AGE_S else None

    async def _get_cached_count(self, service: str) -> WaitingCounts:
        async with self._locks[service]:
            cached = self._cached_counts.get(service)
            now_s = self._store.now_s()
            if cached is not None and now_s - cached.at_s < _MAX_CACHE_AGE_S:
                return cached
            self._metrics.count("node.jobs.counted")
            counts = WaitingCounts(now_s, await self._count_rows(service))
            self._cached_counts[service] = counts
            return counts

    async def _count_rows(self, service: str) -> dict[str, int]:
        needed = self._find_needed_version()
        jobs = await self._store.read(
            tables.name_jobs_table(service), service, at_least=needed
        )
        progress = await self._store.read(
            tables.name_progress_table(service), service, at_least=needed
        )
        # Progress is stored once a unit of the job has started, or the job has
        # ended.
        not_waiting = {
            tables.split_progress_key(row.row_key.key)[0]
            for row in progress.rows
        }
        not_waiting.update(
            cancelled
            for row in jobs.rows
            if (cancelled := tables.split_cancel_key(row.row_key.key))
            is not None
        )
        counts: collections.Counter[str] = collections.Counter()
        for row in jobs.rows:
            job_id = row.row_key.key
            if (
                job_id in not_waiting
                or tables.split_cancel_key(job_id) is not None
            ):
                continue
            try:
                job = job_rows.decode_job(row.value)
            except errors.CorruptRowError as error:
                logs.log_event("job.unreadable", job=job_id, error=str(error))
                continue
            match job:
                case model.Submission(policy=policy):
                    counts[policy.queue] += 1
                case model.Relocation():
                    # The job is counted in the service that holds it.
                    continue
        return dict(counts)
