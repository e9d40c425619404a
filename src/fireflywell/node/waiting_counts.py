"""How many accepted jobs of each queue wait for their first start."""

import collections
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

# Callers are promised a number that is at most 2 s old; the rest is for the way
# from the store to the caller.
_LONGEST_AGE_S = 1.8

# Requests within this time share one count of the rows.
_SHARED_AGE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingCounts:
    """The numbers of all queues of a service.

    Attributes:
        at_s: When they were true, on the store's clock.
        by_queue: Numbers above zero by queue.
    """

    at_s: float
    by_queue: dict[str, int]

    def get(self, queue: str) -> int:
        """Returns the number of a queue."""
        return self.by_queue.get(queue, 0)


def encode_counts(counts: WaitingCounts) -> bytes:
    """Returns the stored form."""
    return bytes(msgpack.packb([counts.at_s, counts.by_queue]))


def decode_counts(data: bytes) -> WaitingCounts:
    """Reads the stored form.

    Raises:
        CorruptRowError: The bytes aren't counts.
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
    """Answers from what the service's owner has stored, or counts the rows.

    Counting reads all jobs of the service. Without an owner each node does so
    at most once in a while, however many callers ask.
    """

    __slots__ = ("_counted", "_locks", "_metrics", "_store")

    def __init__(
        self, store: row_store.RowStore, metrics: metrics_lib.Metrics
    ) -> None:
        self._store = store
        self._metrics = metrics
        self._counted: dict[str, WaitingCounts] = {}
        self._locks: collections.defaultdict[str, anyio.Lock] = (
            collections.defaultdict(anyio.Lock)
        )

    async def count(self, policy: model.QueuePolicy) -> int:
        """Returns how many jobs of a queue have not started.

        Raises:
            PlatformError: The store doesn't answer.
        """
        counts = await self._read_stored(policy.service)
        if counts is None:
            counts = await self._share_count(policy.service)
        return counts.get(policy.queue)

    async def _read_stored(self, service: str) -> WaitingCounts | None:
        row_key = tables.locate_waiting_counts(service)
        page = await self._store.read(
            row_key.table, row_key.partition, row_key.key, row_key.key + "\x00"
        )
        for row in page.rows:
            try:
                counts = decode_counts(row.value)
            except errors.CorruptRowError as error:
                logs.log_event(
                    "waiting_counts.unreadable",
                    service=service,
                    error=str(error),
                )
                continue
            if self._store.now_s() - counts.at_s < _LONGEST_AGE_S:
                return counts
        return None

    async def _share_count(self, service: str) -> WaitingCounts:
        async with self._locks[service]:
            known = self._counted.get(service)
            now_s = self._store.now_s()
            if known is not None and now_s - known.at_s < _SHARED_AGE_S:
                return known
            self._metrics.count("node.jobs.counted")
            counts = WaitingCounts(now_s, await self._count_rows(service))
            self._counted[service] = counts
            return counts

    async def _count_rows(self, service: str) -> dict[str, int]:
        jobs = await self._store.read(tables.name_jobs_table(service), service)
        progress = await self._store.read(
            tables.name_progress_table(service), service
        )
        gone = {row.row_key.key for row in progress.rows}
        gone.update(
            cancelled
            for row in jobs.rows
            if (cancelled := tables.split_cancel_key(row.row_key.key))
            is not None
        )
        counts: collections.Counter[str] = collections.Counter()
        for row in jobs.rows:
            job_id = row.row_key.key
            if job_id in gone or tables.split_cancel_key(job_id) is not None:
                continue
            try:
                submission = job_rows.decode_submission(row.value)
            except errors.CorruptRowError as error:
                logs.log_event("job.unreadable", job=job_id, error=str(error))
                continue
            counts[submission.policy.queue] += 1
        return dict(counts)
