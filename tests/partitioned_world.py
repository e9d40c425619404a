"""Nodes that see the store and the workers through links of their own."""

import datetime
import functools

import anyio

from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import node_process
from fireflywell.node import tables
from fireflywell.scheduling import orders
from fireflywell.scheduling import workers as workers_lib
from fireflywell.standins import row_store as store_standin
from tests import node_world


class StoreView:
    """The store as one node sees it.

    Attributes:
        is_cut: Whether no call reaches the store.
        is_partly_down: Whether only the rows of nodes can be used. The store
            may be unavailable in part, and calls that were sent before a link
            was back have no answer until their timeout.
    """

    def __init__(self, store: store_standin.MemoryRowStore) -> None:
        self._store = store
        self.is_cut = False
        self.is_partly_down = False
        # Tables whose changes don't arrive.
        self.held: set[str] = set()

    def __getattr__(self, name: str) -> object:
        return getattr(self._store, name)

    async def transact(
        self,
        transaction: row_store.Transaction,
        timeout: datetime.timedelta | None = None,
    ) -> row_store.Committed | row_store.Conflict:
        """Applies a transaction unless this node is cut off."""
        await self._check(transaction.puts[0].row_key.table)
        return await self._store.transact(transaction, timeout)

    async def read(
        self,
        table: str,
        partition: str,
        first: str = "",
        end: str = "",
        at_least: int = 0,
    ) -> row_store.Page:
        """Reads rows unless this node is cut off."""
        await self._check(table)
        return await self._store.read(table, partition, first, end, at_least)

    async def list_partitions(self, table: str) -> tuple[str, ...]:
        """Lists partitions unless this node is cut off."""
        await self._check(table)
        return await self._store.list_partitions(table)

    async def follow(
        self,
        table: str,
        after: int,
        wait: datetime.timedelta,
        limit_bytes: int | None = None,
    ) -> row_store.Page:
        """Follows a table unless this node is cut off."""
        await self._check(table)
        while table in self.held:
            await anyio.sleep(0.05)
        page = await self._store.follow(table, after, wait, limit_bytes)
        await self._check(table)
        return page

    async def _check(self, table: str) -> None:
        is_down = self.is_partly_down and table != tables.NODES
        if self.is_cut or is_down:
            await anyio.sleep(0.02)
            raise errors.PlatformUnavailableError("this node is cut off")


class LinkedWorker:
    """A worker as one node sees it; some links are cut."""

    def __init__(self, client: orders.WorkerClient, is_cut: bool) -> None:
        self._client = client
        self._is_cut = is_cut

    def __getattr__(self, name: str) -> object:
        return functools.partial(self._call, name)

    async def _call(self, name: str, *args: object) -> object:
        if self._is_cut and name != "close":
            await anyio.sleep(0.02)
            raise errors.PlatformUnavailableError("the link is cut")
        return await getattr(self._client, name)(*args)


class PartitionedWorld(node_world.NodeWorld):
    """Nodes with their own view of the store and of the workers."""

    def __init__(self, *names: str, run_s: float | None = None) -> None:
        self.views: dict[str, StoreView] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self._viewer = ""
        super().__init__(*names, run_s=run_s)

    def make_node(self, name: str) -> node_process.NodeProcess:
        """Returns a node with its own view."""
        store = self.store
        self.views[name] = StoreView(store)
        self.store = self.views[name]  # type: ignore[assignment]
        self._viewer = name
        try:
            return super().make_node(name)
        finally:
            self.store = store

    @property
    def _connect(self):  # type: ignore[no-untyped-def,override]
        return functools.partial(self._connect_from, self._viewer)

    def _connect_from(
        self, node: str, instance: workers_lib.WorkerInstance
    ) -> orders.WorkerClient:
        worker = instance.instance_id
        return LinkedWorker(  # type: ignore[return-value]
            self.workers[worker], (node, worker) in self.cut_links
        )
