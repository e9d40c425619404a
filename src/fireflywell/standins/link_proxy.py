"""Stand-in for a network link between two processes that can be cut."""

import functools
import random

import anyio
import anyio.abc

from fireflywell import clock as clock_lib
from fireflywell.standins import settings as standin_settings
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib

_STREAM_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


class LinkProxy:
    """Relays connections to one target.

    While the link is cut, connections stay open and carry nothing, as in a
    partition. Healing closes them, so that both sides connect anew.
    """

    __slots__ = (
        "_changed",
        "_is_cut",
        "_settings",
        "_supervisor",
    )

    def __init__(
        self,
        settings: standin_settings.LinkSettings,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._is_cut = False
        self._changed = anyio.Event()
        self._supervisor = supervisor_lib.Supervisor(
            f"link {settings.name}",
            clock,
            rng,
            (
                supervisor_lib.Child(
                    "accept", self._accept, policies.StopProcess()
                ),
            ),
        )

    @property
    def name(self) -> str:
        """Name of the link."""
        return self._settings.name

    def set_cut(self, is_cut: bool) -> None:
        """Cuts or heals the link."""
        if is_cut != self._is_cut:
            self._is_cut = is_cut
            self._changed.set()
            self._changed = anyio.Event()

    async def run(self) -> None:
        """Relays until cancelled."""
        await self._supervisor.run()

    async def _accept(self) -> None:
        listener = await anyio.create_tcp_listener(
            local_host=self._settings.address, local_port=self._settings.port
        )
        async with listener:
            await listener.serve(self._start_connection)

    async def _start_connection(self, stream: anyio.abc.SocketStream) -> None:
        self._supervisor.start_child(
            supervisor_lib.Child(
                "connection",
                functools.partial(self._relay_connection, stream),
                policies.LetEnd(),
            )
        )

    async def _relay_connection(self, near: anyio.abc.SocketStream) -> None:
        async with near:
            while self._is_cut:
                await self._changed.wait()
            try:
                far = await anyio.connect_tcp(
                    self._settings.target_address, self._settings.target_port
                )
            except OSError:
                return
            async with far, anyio.create_task_group() as group:
                scope = group.cancel_scope
                group.start_soon(self._relay, near, far, scope)
                group.start_soon(self._relay, far, near, scope)
                group.start_soon(self._end_when_healed, scope)

    async def _relay(
        self,
        source: anyio.abc.SocketStream,
        target: anyio.abc.SocketStream,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            while True:
                data = await source.receive()
                while self._is_cut:
                    await self._changed.wait()
                await target.send(data)
        except _STREAM_ERRORS:
            scope.cancel()

    async def _end_when_healed(self, scope: anyio.CancelScope) -> None:
        while not self._is_cut:
            await self._changed.wait()
        while self._is_cut:
            await self._changed.wait()
        scope.cancel()
