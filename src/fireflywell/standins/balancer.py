"""Stand-in for the platform's load balancer in front of the entries."""

import datetime
import functools
import random

import anyio
import anyio.abc
import h11
import httpcore

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell import connection_pool
from fireflywell import send_tracker
from fireflywell.standins import http_wire
from fireflywell.standins import settings as standin_settings
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib

_MOST_CONNECTIONS = 1_000
_CHECK_TIMEOUT = datetime.timedelta(seconds=1)
_OWN_HEADERS = ("connection", "keep-alive", "transfer-encoding")


class Balancer:
    """Spreads requests over the entries that say they are ready.

    A request that isn't answered within `retry_after` is sent to another
    entry too, whatever its method. The first entry may still run it, which is
    how a duplicated posting arises.
    """

    __slots__ = (
        "_clock",
        "_next",
        "_pool",
        "_random",
        "_ready",
        "_retries",
        "_settings",
        "_supervisor",
    )

    def __init__(
        self,
        settings: standin_settings.BalancerSettings,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._random = rng
        self._ready: tuple[str, ...] = ()
        self._next = 0
        self._retries = 0
        self._pool = connection_pool.ConnectionPool(
            _MOST_CONNECTIONS, _MOST_CONNECTIONS
        )
        self._supervisor = supervisor_lib.Supervisor(
            "balancer",
            clock,
            rng,
            (
                supervisor_lib.Child(
                    "accept", self._accept, policies.StopProcess()
                ),
                supervisor_lib.Child(
                    "checks", self._check_entries, policies.StopProcess()
                ),
            ),
        )

    @property
    def retries(self) -> int:
        """Requests that were sent to a further entry."""
        return self._retries

    @property
    def ready_entries(self) -> tuple[str, ...]:
        """Base addresses of the entries that said they are ready."""
        return self._ready

    async def run(self) -> None:
        """Serves until cancelled."""
        async with self._pool:
            await self._supervisor.run()

    async def _check_entries(self) -> None:
        while True:
            ready = [
                entry
                for entry in self._settings.entries
                if await self._is_ready(entry)
            ]
            self._ready = tuple(ready)
            await self._clock.sleep(self._settings.check_interval)

    async def _is_ready(self, entry: str) -> bool:
        try:
            with anyio.fail_after(_CHECK_TIMEOUT.total_seconds()):
                answer = await self._pool.request("GET", f"{entry}/readyz")
        except send_tracker.EXCHANGE_ERRORS:
            return False
        return answer.status == 200

    async def _accept(self) -> None:
        listener = await anyio.create_tcp_listener(
            local_host=self._settings.address,
            local_port=self._settings.port,
            backlog=2048,
        )
        async with listener:
            await listener.serve(self._start_connection)

    async def _start_connection(self, stream: anyio.abc.SocketStream) -> None:
        self._supervisor.start_child(
            supervisor_lib.Child(
                "connection",
                functools.partial(self._serve_connection, stream),
                policies.NeverRestart(),
            )
        )

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        async with stream:
            try:
                while True:
                    request = await http_wire.read_request(connection, stream)
                    if request is None:
                        return
                    await self._pass_on(connection, stream, request)
                    if connection.our_state is not h11.DONE:
                        return
                    connection.start_next_cycle()
            except http_wire.CONNECTION_ERRORS:
                return

    async def _pass_on(
        self,
        connection: h11.Connection,
        stream: anyio.abc.SocketStream,
        request: http_wire.HttpRequest,
    ) -> None:
        answer = await self._find_answer(request)
        if answer is None:
            body = b"no entry answered\n"
            await http_wire.send_response(connection, stream, 502, (), body)
            return
        headers = tuple(
            asgi.Header(name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, value in answer.headers
        )
        kept = tuple(item for item in headers if item.name not in _OWN_HEADERS)
        await http_wire.send_response(
            connection, stream, answer.status, kept, answer.content
        )

    async def _find_answer(
        self, request: http_wire.HttpRequest
    ) -> httpcore.Response | None:
        ready = self._ready
        self._next += 1
        for step in range(min(len(ready), self._settings.tries)):
            self._retries += step > 0
            entry = ready[(self._next + step) % len(ready)]
            is_last = step + 1 == self._settings.tries
            limit = self._settings.retry_after.total_seconds()
            try:
                with anyio.fail_after(None if is_last else limit):
                    return await self._pool.request(
                        request.method,
                        entry + request.path,
                        headers=[
                            (item.name, item.value)
                            for item in request.headers
                            if item.name not in _OWN_HEADERS
                        ],
                        content=request.body,
                    )
            except send_tracker.EXCHANGE_ERRORS:
                continue
        return None
