"""A row store behind a link of limited bandwidth, in simulated time."""

import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.standins import row_store as store_standin

_POLL = datetime.timedelta(milliseconds=20)


class LimitedLinkStore:
    """Delays the answers of a `MemoryRowStore` according to their size.

    An answer that takes longer than the timeout of its call is lost.

    Attributes:
        delivered_bytes: Bytes of rows that arrived, lost answers included.
    """

    def __init__(
        self,
        store: store_standin.MemoryRowStore,
        clock: clock_lib.Clock,
        bytes_per_s: float,
        call_limit: datetime.timedelta,
    ) -> None:
        self._store = store
        self._clock = clock
        self._bytes_per_s = bytes_per_s
        self._call_limit = call_limit
        self.delivered_bytes = 0.0

    @property
    def newest_version(self) -> int:
        """The newest version of the store."""
        return self._store.newest_version

    def now_s(self) -> float:
        """Returns the store's monotonic time in seconds."""
        return self._store.now_s()

    async def transact(
        self,
        transaction: row_store.Transaction,
        timeout: datetime.timedelta | None = None,
    ) -> row_store.Committed | row_store.Conflict:
        """Applies a transaction; see `RowStore.transact`."""
        return await self._store.transact(transaction, timeout)

    async def list_partitions(self, table: str) -> tuple[str, ...]:
        """Returns the partitions of a table; see `RowStore.list_partitions`."""
        return await self._store.list_partitions(table)

    async def read(
        self,
        table: str,
        partition: str,
        first: str = "",
        end: str = "",
        at_least: int = 0,
    ) -> row_store.Page:
        """Reads the rows of a partition; see `RowStore.read`."""
        page = await self._store.read(table, partition, first, end, at_least)
        await self._deliver(page, self._call_limit)
        return page

    async def follow(
        self,
        table: str,
        after: int,
        wait: datetime.timedelta,
        limit_bytes: int | None = None,
    ) -> row_store.Page:
        """Returns the changes of a table; see `RowStore.follow`."""
        deadline = self._clock.monotonic() + wait
        while True:
            page = await self._store.follow(table, after, datetime.timedelta())
            if page.rows or self._clock.monotonic() >= deadline:
                break
            await self._clock.sleep(_POLL)
        if limit_bytes is not None and measure(page) > limit_bytes:
            raise errors.BacklogTooLargeError("the changes exceed the limit")
        limit = deadline + self._call_limit - self._clock.monotonic()
        await self._deliver(page, limit)
        return page

    async def _deliver(
        self, page: row_store.Page, limit: datetime.timedelta
    ) -> None:
        limit_bytes = limit.total_seconds() * self._bytes_per_s
        arrived = min(measure(page), limit_bytes)
        self.delivered_bytes += arrived
        await self._clock.sleep(
            datetime.timedelta(seconds=arrived / self._bytes_per_s)
        )
        if measure(page) > limit_bytes:
            raise errors.AnswerLostError("the answer didn't arrive in time")


def measure(page: row_store.Page) -> int:
    """Returns the size of a page's rows in bytes."""
    return sum(len(row.value) for row in page.rows)
