"""Pool of HTTP/1.1 connections with constant work for each request.

httpcore's own pool examines all its connections, one system call for each idle
one, whenever a request begins or ends. A client with a few hundred requests in
progress then spends most of its processor time on that.
"""

import collections
from collections.abc import AsyncIterator
import contextlib
import datetime
from typing import Any
from typing import Self

import anyio
import httpcore


class ConnectionPool:
    """Sends requests over a bounded number of connections.

    A connection belongs to one request until its response is complete.
    """

    __slots__ = (
        "_backend",
        "_idle",
        "_idle_count",
        "_keepalive_seconds",
        "_limiter",
        "_max_idle",
    )

    def __init__(
        self,
        max_connections: int,
        max_idle: int,
        idle_timeout: datetime.timedelta | None = None,
        backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        """Initializes the pool.

        Args:
            max_connections: Most requests at once; further ones wait. One
                origin never has more connections, idle ones included.
            max_idle: Most idle connections that are kept for all origins.
            idle_timeout: Connections idle for longer aren't used again; None
                for no limit.
            backend: Opens connections; None for anyio's.
        """
        self._max_idle = max_idle
        self._keepalive_seconds = (
            None if idle_timeout is None else idle_timeout.total_seconds()
        )
        self._backend = backend or httpcore.AnyIOBackend()
        self._limiter = anyio.CapacityLimiter(max_connections)
        self._idle: dict[
            str, collections.deque[httpcore.AsyncHTTPConnection]
        ] = {}
        self._idle_count = 0

    @property
    def idle_count(self) -> int:
        """Idle connections that are kept."""
        return self._idle_count

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def request(
        self,
        method: str,
        url: str,
        headers: list[tuple[str, str]] | None = None,
        content: bytes = b"",
        extensions: dict[str, Any] | None = None,
    ) -> httpcore.Response:
        """Sends one request and reads its whole response.

        Args:
            method: HTTP method.
            url: Whole URL.
            headers: Header fields.
            content: Body.
            extensions: Extensions of httpcore, such as `timeout` and `trace`.

        Raises:
            OSError: As an exchange of httpcore; `send_tracker.EXCHANGE_ERRORS`
                lists all exceptions.
        """
        async with self.stream(
            method, url, headers, content, extensions
        ) as response:
            await response.aread()
            return response

    @contextlib.asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        headers: list[tuple[str, str]] | None = None,
        content: bytes = b"",
        extensions: dict[str, Any] | None = None,
    ) -> AsyncIterator[httpcore.Response]:
        """Sends one request; the response is read within the block.

        Its connection is closed if the block ends before the response does.
        For arguments and exceptions, see `request`.
        """
        target = httpcore.URL(url)
        async with self._limiter:
            connection = await self._take_connection(target.origin)
            try:
                async with connection.stream(
                    method,
                    target,
                    headers=headers,
                    content=content,
                    extensions=extensions,
                ) as response:
                    yield response
            finally:
                await self._release(str(target.origin), connection)

    async def close(self) -> None:
        """Closes idle connections, and each one in use after its response."""
        self._max_idle = 0
        idle, self._idle, self._idle_count = self._idle, {}, 0
        for connections in idle.values():
            for connection in connections:
                await _close_connection(connection)

    async def _take_connection(
        self, origin: httpcore.Origin
    ) -> httpcore.AsyncHTTPConnection:
        idle = self._idle.get(str(origin))
        while idle:
            # The connection used last is the least likely to have been closed
            # by the server.
            connection = idle.pop()
            self._idle_count -= 1
            if not connection.has_expired():
                return connection
            await _close_connection(connection)
        return httpcore.AsyncHTTPConnection(
            origin,
            keepalive_expiry=self._keepalive_seconds,
            network_backend=self._backend,
        )

    async def _release(
        self, origin: str, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        if not connection.is_idle() or self._idle_count >= self._max_idle:
            await _close_connection(connection)
            return
        idle = self._idle.setdefault(origin, collections.deque())
        idle.append(connection)
        self._idle_count += 1
        # After a peak, those idle for longest are closed one by one.
        if idle[0].has_expired():
            self._idle_count -= 1
            await _close_connection(idle.popleft())


async def _close_connection(connection: httpcore.AsyncHTTPConnection) -> None:
    # A cancelled request must not leave its connection open.
    with anyio.CancelScope(shield=True):
        await connection.aclose()
