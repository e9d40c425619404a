"""A row store whose partitions apply one transaction at a time."""

import datetime

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.standins import row_store as store_standin


class SerialStore(store_standin.MemoryRowStore):
    """Applies the transactions of a partition one after the other.

    Like the platform's store, it refuses a transaction that would wait for more
    than a second.
    """

    def __init__(self, clock: clock_lib.Clock, duration_s: float) -> None:
        super().__init__(clock)
        self.duration_s = duration_s
        self.sizes: list[int] = []
        self.rejected = b"none"
        self._free_at_s: dict[str, float] = {}

    async def transact(
        self,
        transaction: row_store.Transaction,
        timeout: datetime.timedelta | None = None,
    ) -> row_store.Committed | row_store.Conflict:
        """Waits for its turn and applies the transaction."""
        self.sizes.append(len(transaction.puts))
        if any(self.rejected in item.value for item in transaction.puts):
            raise errors.PlatformRejectedError("a row is too large")
        partition = transaction.puts[0].row_key.partition
        free_at_s = self._free_at_s.get(partition, 0.0)
        wait_s = max(0.0, free_at_s - self.now_s())
        if wait_s > 1.0:
            raise errors.PlatformUnavailableError("status 429")
        done_at_s = self.now_s() + wait_s + self.duration_s
        self._free_at_s[partition] = done_at_s
        if timeout and wait_s + self.duration_s > timeout.total_seconds():
            await anyio.sleep(timeout.total_seconds())
            raise errors.AnswerLostError("no answer in time")
        await anyio.sleep(wait_s + self.duration_s)
        return await super().transact(transaction, timeout)
