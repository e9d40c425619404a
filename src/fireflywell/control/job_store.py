"""Reads job records and writes them in batches under a lease."""

from collections.abc import Iterator
import random

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import transactions
from fireflywell.fleet import jobs
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables

# Rows in one transaction. A conflict on one row rejects the whole batch, whose
# rows are then written one by one.
_BATCH_ROWS = 50


class JobStore:
    """Caches the jobs that haven't ended and writes changes to the table."""

    __slots__ = (
        "_clock",
        "_leased",
        "_queued",
        "_random",
        "_revision",
        "_shard",
        "_table",
        "_versions",
    )

    def __init__(
        self,
        table: tables.Table,
        shard: str,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        """Creates a store with an empty cache.

        Args:
            table: Table service; a `FencedTable` for the holder of a lease.
            shard: Shard whose jobs are stored.
            clock: Clock of this process.
            rng: Source of write ids.
        """
        self._table = table
        self._shard = shard
        self._clock = clock
        self._random = rng
        self._queued: dict[str, jobs.JobRecord] = {}
        self._leased: dict[str, jobs.JobRecord] = {}
        self._versions: dict[str, int] = {}
        self._revision = 0

    @property
    def queued(self) -> tuple[jobs.JobRecord, ...]:
        """Jobs that wait to be placed."""
        return tuple(self._queued.values())

    @property
    def leased(self) -> tuple[jobs.JobRecord, ...]:
        """Jobs that are leased to a worker."""
        return tuple(self._leased.values())

    async def refresh(self) -> None:
        """Updates the cache with the rows that changed since the last read.

        Raises:
            PlatformError: The store can't be reached.
        """
        prefix = jobs.make_job_key(self._shard, "")
        page = await tables.scan_all_rows(self._table, prefix, self._revision)
        for row in page.rows:
            if row.version > self._versions.get(row.key, 0):
                self._cache_record(
                    row.key, jobs.decode_job(row.value), row.version
                )
        for key in page.deleted:
            self._evict_record(key)
        self._revision = max(self._revision, page.revision)

    async def write_all(
        self, changed: tuple[jobs.JobRecord, ...]
    ) -> frozenset[str]:
        """Writes records whose rows are unchanged since they were read.

        Returns:
            Ids of the jobs whose write is confirmed. The next `refresh` reads
            the others again if their rows have changed.

        Raises:
            LeaseLostError: This process no longer holds the lease.
            PlatformError: The store can't be reached. Batches written before
                the failure are in the cache.
        """
        written: set[str] = set()
        for batch in _split_into_batches(changed):
            if await self._write_batch(batch):
                written.update(record.spec.job_id for record in batch)
                continue
            for record in batch:
                if await self._write_batch((record,)):
                    written.add(record.spec.job_id)
        return frozenset(written)

    async def _write_batch(self, batch: tuple[jobs.JobRecord, ...]) -> bool:
        keys = [
            jobs.make_job_key(self._shard, record.spec.job_id)
            for record in batch
        ]
        transaction = records.Transaction(
            transactions.make_write_id(self._random),
            tuple(
                records.Condition(key, self._versions.get(key, 0))
                for key in keys
            ),
            tuple(
                records.Write(key, jobs.encode_job(record))
                for key, record in zip(keys, batch, strict=True)
            ),
        )
        try:
            result = await transactions.apply_transaction(
                self._table, transaction, self._clock, self._random
            )
        except errors.OutcomeUnknownError:
            return False
        match result:
            case records.Conflict():
                return False
            case records.Committed():
                for key, record in zip(keys, batch, strict=True):
                    version = self._versions.get(key, 0) + 1
                    self._cache_record(key, record, version)
                return True

    def _cache_record(
        self, key: str, record: jobs.JobRecord, version: int
    ) -> None:
        self._versions[key] = version
        name = record.spec.job_id
        self._queued.pop(name, None)
        self._leased.pop(name, None)
        match record.state:
            case jobs.JobState.QUEUED:
                self._queued[name] = record
            case jobs.JobState.LEASED:
                self._leased[name] = record
            case _:
                pass

    def _evict_record(self, key: str) -> None:
        name = key.rpartition("/")[2]
        self._versions.pop(key, None)
        self._queued.pop(name, None)
        self._leased.pop(name, None)


def _split_into_batches(
    changed: tuple[jobs.JobRecord, ...],
) -> Iterator[tuple[jobs.JobRecord, ...]]:
    for start in range(0, len(changed), _BATCH_ROWS):
        yield changed[start : start + _BATCH_ROWS]
