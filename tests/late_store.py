"""A store that applies transactions late."""

import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.standins import row_store as store_standin


class LateStore(store_standin.MemoryRowStore):
    """A store that may apply a transaction late and without an answer."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        super().__init__(clock)
        self.is_late = False
        self.late: list[row_store.Transaction] = []

    async def transact(
        self,
        transaction: row_store.Transaction,
        timeout: datetime.timedelta | None = None,
    ) -> row_store.Committed | row_store.Conflict:
        """Applies a transaction, or keeps it for `apply_late`."""
        if self.is_late:
            self.late.append(transaction)
            raise errors.AnswerLostError("no answer")
        return await super().transact(transaction, timeout)

    async def apply_late(self) -> None:
        """Applies the transactions that had no answer, and all later ones."""
        self.is_late = False
        for transaction in self.late:
            await super().transact(transaction)
