"""The emulator's row store: reads that are behind, late transactions."""

import datetime
import random

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.standins import emulator_values as values
from fireflywell.standins import row_store as row_store_standin

# The users' platform may perform a call without an answer seconds later.
_SHORTEST_DELAY_S = 1.0
_LONGEST_DELAY_S = 6.0


class FaultyRowStore(row_store_standin.MemoryRowStore):
    """A row store with faults that overlap.

    Attributes:
        late_writes: Transactions that were late.
    """

    __slots__ = ("_behind", "_late", "_random", "late_writes")

    def __init__(self, clock: clock_lib.Clock, rng: random.Random) -> None:
        super().__init__(clock)
        self._random = rng
        self._behind: list[values.StoreBehind] = []
        self._late: list[values.TransactionsLate] = []
        self.late_writes: list[values.LateWrite] = []

    async def fall_behind(self, fault: values.StoreBehind) -> None:
        """Lets reads be behind; of several faults the longest lag holds."""
        self._behind.append(fault)
        self._update_lag()
        await self._clock.sleep(datetime.timedelta(seconds=fault.seconds))
        self._behind.remove(fault)
        self._update_lag()

    async def delay_transactions(self, fault: values.TransactionsLate) -> None:
        """Applies some transactions late and without an answer."""
        self._late.append(fault)
        await self._clock.sleep(datetime.timedelta(seconds=fault.seconds))
        self._late.remove(fault)

    async def transact(
        self,
        transaction: row_store.Transaction,
        timeout: datetime.timedelta | None = None,
    ) -> row_store.Committed | row_store.Conflict:
        """Applies a transaction; see `RowStore.transact`."""
        if not self._is_late(transaction):
            return await super().transact(transaction, timeout)
        delay_s = self._random.uniform(_SHORTEST_DELAY_S, _LONGEST_DELAY_S)
        await self._clock.sleep(datetime.timedelta(seconds=delay_s))
        result = await super().transact(transaction, timeout)
        self.late_writes.append(
            values.LateWrite(
                tuple(_describe(item.row_key) for item in transaction.puts),
                self.now_s(),
                delay_s,
                isinstance(result, row_store.Committed),
            )
        )
        raise errors.AnswerLostError("the transaction was late on purpose")

    def _update_lag(self) -> None:
        self.read_lag_s = max((item.lag_s for item in self._behind), default=0)

    def _is_late(self, transaction: row_store.Transaction) -> bool:
        tables = {item.row_key.table for item in transaction.puts}
        return any(
            not tables.isdisjoint(fault.tables)
            and self._random.random() < fault.share
            for fault in self._late
        )


def _describe(row_key: row_store.RowKey) -> str:
    return f"{row_key.table}/{row_key.partition}/{row_key.key}"
