"""Entries and instances over loopback, for tests of the entry."""

from collections.abc import AsyncIterator
import contextlib
import random

import anyio
import httpcore

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell.entry import assembly
from fireflywell.standins import endpoint
from fireflywell.standins import endpoint_server
from fireflywell.standins import table_store
from tests import entry_helpers

INSTANCE_PORT = 18100
FIRST_ENTRY_PORT = 18110


class System:
    """Running entries that share a store, a network and instances."""

    def __init__(self, instances: int, **service_options: object) -> None:
        self.clock = clock_lib.SystemClock()
        self.table = table_store.MemoryTable()
        self.network = entry_helpers.FakeNetwork()
        self.addresses = [f"127.0.0.{n}" for n in range(1, instances + 1)]
        self.view = entry_helpers.make_view(*self.addresses)
        self.bundle = entry_helpers.make_bundle(
            INSTANCE_PORT, **service_options
        )
        self.instances = [
            endpoint.EndpointApplication(f"quotes@vm{n}", self.clock)
            for n in range(1, instances + 1)
        ]
        self.entries: list[assembly.EntryParts] = []
        self.pool = httpcore.AsyncConnectionPool()

    @property
    def runs(self) -> int:
        """Requests that instances ran."""
        return sum(item.run_count for item in self.instances)

    def add_entry(self, **parts: object) -> assembly.EntryParts:
        """Builds one more entry."""
        number = len(self.entries) + 1
        links = self.network.connect(f"10.0.0.{number}:1", f"{number:032x}")
        parts.setdefault("store", self.table)
        entry = entry_helpers.make_entry(
            self.bundle, self.view, links=links, **parts
        )
        self.entries.append(entry)
        return entry

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator["System"]:
        """Serves until the block ends."""
        async with anyio.create_task_group() as group:
            for item, address in zip(
                self.instances, self.addresses, strict=True
            ):
                server = endpoint_server.EndpointServer(
                    item, address, INSTANCE_PORT, self.clock, random.Random(1)
                )
                group.start_soon(server.run)
            listeners = []
            for number, entry in enumerate(self.entries):
                group.start_soon(entry.dispatcher.run)
                listener = asgi.Listener(
                    entry.application, "127.0.0.1", FIRST_ENTRY_PORT + number
                )
                group.start_soon(listener.run)
                await listener.wait_until_started()
                listeners.append(listener)
            try:
                async with self.pool:
                    yield self
            finally:
                for listener in listeners:
                    listener.stop()
                    await listener.wait_until_stopped()
                group.cancel_scope.cancel()

    async def call(
        self,
        entry: int = 0,
        method: str = "POST",
        path: str = "/quotes/price",
        body: bytes = b"body",
        **headers: str,
    ) -> httpcore.Response:
        """Sends a request; underscores in header names become hyphens."""
        names = [
            (name.replace("_", "-"), value) for name, value in headers.items()
        ]
        names.append(("content-length", str(len(body))))
        return await self.pool.request(
            method,
            f"http://127.0.0.1:{FIRST_ENTRY_PORT + entry}{path}",
            headers=names,
            content=body,
        )

    async def get_key(self, entry: int = 0) -> str:
        """Gets one bound key."""
        response = await self.call(entry, path="/fireflywell/keys?count=1")
        return response.content.decode().split('"')[3]


def name_outcome(response: httpcore.Response) -> str:
    """Returns the outcome that a response carries."""
    headers = dict(response.headers)
    return headers.get(b"fireflywell-outcome", b"none").decode()
