"""Copies the results of keyed requests to the store in the background."""

import datetime
import random

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import transactions
from fireflywell.entry import recorded_keys
from fireflywell.entry import stored_results
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables
from fireflywell.requests import key_ledger
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

_INTERVAL = datetime.timedelta(seconds=1)
# One write carries the results of up to 2,048 keys, or this many characters.
_BLOCKS_PER_WRITE = 32
_CHARACTERS_PER_WRITE = 1024 * 1024
_FLUSH_ATTEMPTS = 5
_FLUSH_WRITES = 1_000


class ResultCopier:
    """Copies changed blocks about once a second while the store is up."""

    __slots__ = (
        "_clock",
        "_ledger",
        "_lock",
        "_metrics",
        "_random",
        "_recorded",
        "_table",
        "_versions",
    )

    def __init__(
        self,
        ledger: key_ledger.KeyLedger,
        recorded: recorded_keys.RecordedKeyDeduplicator,
        table: tables.Table,
        clock: clock_lib.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._ledger = ledger
        self._recorded = recorded
        self._table = table
        self._clock = clock
        self._random = rng
        self._metrics = metrics
        self._lock = anyio.Lock()
        # Versions of the block rows that this process wrote.
        self._versions: dict[int, int] = {}

    async def run(self) -> None:
        """Copies until cancelled; keeps what couldn't be copied."""
        while True:
            await self._clock.sleep(_INTERVAL * self._random.uniform(0.9, 1.1))
            self._ledger.evict()
            try:
                await self.copy_once()
                await self._recorded.write_backlog()
                await self.delete_outdated()
            except (errors.PlatformError, errors.OutcomeUnknownError) as error:
                self._metrics.count("once.copy_failed")
                logs.log_event("once.copy_failed", error=str(error))

    async def copy_once(self) -> bool:
        """Copies one write's worth of changed blocks.

        Returns:
            Whether anything was copied.

        Raises:
            PlatformError: The store can't be reached.
            OutcomeUnknownError: It can't be told whether the blocks were
                written; they are written again.
        """
        async with self._lock:
            blocks = self._ledger.take_changed_blocks(_BLOCKS_PER_WRITE)
            if not blocks:
                return False
            try:
                await self._copy(blocks)
            except BaseException:
                self._ledger.put_back_blocks(blocks)
                raise
            return True

    async def delete_outdated(self) -> None:
        """Deletes rows of blocks whose records were all evicted.

        Raises:
            PlatformError: The store can't be reached.
            OutcomeUnknownError: It can't be told whether they were deleted.
        """
        async with self._lock:
            outdated = tuple(
                block
                for block in self._versions
                if self._ledger.is_block_evicted(block)
            )[:_BLOCKS_PER_WRITE]
            if not outdated:
                return
            keys = {
                block: stored_results.make_block_key(
                    self._ledger.incarnation, block
                )
                for block in outdated
            }
            result = await transactions.apply_transaction(
                self._table,
                records.Transaction(
                    transactions.make_write_id(self._random),
                    tuple(
                        records.Condition(key, self._versions[block])
                        for block, key in keys.items()
                    ),
                    tuple(records.Write(key, None) for key in keys.values()),
                ),
                self._clock,
                self._random,
            )
            match result:
                case records.Committed():
                    for block in outdated:
                        del self._versions[block]
                case records.Conflict():
                    await self._read_versions(outdated)

    async def close(self) -> bool:
        """Closes the ledger and writes all results and the closing record.

        Returns:
            Whether everything was written.
        """
        closing = self._ledger.close()
        for _ in range(_FLUSH_ATTEMPTS):
            try:
                await self._flush(closing)
                return True
            except (errors.PlatformError, errors.OutcomeUnknownError) as error:
                logs.log_event("once.flush_failed", error=str(error))
                await self._clock.sleep(_INTERVAL)
        return False

    async def _flush(self, closing: key_ledger.ClosingRecord) -> None:
        for _ in range(_FLUSH_WRITES):
            if not await self.copy_once():
                break
        for _ in range(_FLUSH_WRITES):
            if await self._recorded.write_backlog():
                break
        key = stored_results.make_closing_key(self._ledger.incarnation)
        text = stored_results.encode_closing_record(closing)
        await transactions.apply_transaction(
            self._table,
            records.Transaction(
                transactions.make_write_id(self._random),
                (records.Condition(key, 0),),
                (records.Write(key, text),),
            ),
            self._clock,
            self._random,
        )

    async def _copy(self, blocks: tuple[int, ...]) -> None:
        conditions: list[records.Condition] = []
        writes: list[records.Write] = []
        written: list[int] = []
        characters = 0
        for block in blocks:
            key = stored_results.make_block_key(self._ledger.incarnation, block)
            text = stored_results.encode_block(self._ledger.list_block(block))
            characters += len(text)
            if written and characters > _CHARACTERS_PER_WRITE:
                break
            version = self._versions.get(block, 0)
            conditions.append(records.Condition(key, version))
            writes.append(records.Write(key, text))
            written.append(block)
        result = await transactions.apply_transaction(
            self._table,
            records.Transaction(
                transactions.make_write_id(self._random),
                tuple(conditions),
                tuple(writes),
            ),
            self._clock,
            self._random,
        )
        match result:
            case records.Committed():
                for block in written:
                    self._versions[block] = self._versions.get(block, 0) + 1
                self._ledger.put_back_blocks(blocks[len(written) :])
                self._metrics.count("once.blocks_copied", len(written))
            case records.Conflict():
                # An earlier write took effect after its answer was lost.
                await self._read_versions(tuple(written))
                self._ledger.put_back_blocks(blocks)

    async def _read_versions(self, blocks: tuple[int, ...]) -> None:
        rows = await self._table.read(
            tuple(
                stored_results.make_block_key(self._ledger.incarnation, block)
                for block in blocks
            )
        )
        for block, row in zip(blocks, rows, strict=True):
            if row.version:
                self._versions[block] = row.version
            else:
                self._versions.pop(block, None)
