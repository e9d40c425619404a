"""Stand-in for a network link between two processes that can misbehave."""

import dataclasses
import datetime
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


@dataclasses.dataclass(frozen=True, slots=True)
class Open:
    """The link carries everything at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """Connections stay open and carry nothing, as in a partition.

    Attributes:
        to_target: Whether nothing reaches the target.
        to_caller: Whether nothing comes back.
    """

    to_target: bool = True
    to_caller: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Delayed:
    """Each piece of data arrives later, in order.

    Attributes:
        seconds: Delay in each direction.
    """

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slow:
    """All connections share a bandwidth in each direction.

    Attributes:
        bytes_per_s: The bandwidth.
    """

    bytes_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Redirected:
    """New connections reach another process, to which the address went.

    Attributes:
        address: Address of that process.
        port: Its port.
    """

    address: str
    port: int


LinkState = Open | Silent | Delayed | Slow | Redirected


class LinkProxy:
    """Relays connections to one target.

    Once a silent link is open again, or its target changes, its connections are
    closed, so that both sides connect anew.
    """

    __slots__ = (
        "_busy_until",
        "_changed",
        "_clock",
        "_scopes",
        "_settings",
        "_state",
        "_supervisor",
    )

    def __init__(
        self,
        settings: standin_settings.LinkSettings,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._state: LinkState = Open()
        # Until when each direction carries what was already received.
        self._busy_until = {True: clock.monotonic(), False: clock.monotonic()}
        self._scopes: set[anyio.CancelScope] = set()
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
        self.set_state(Silent() if is_cut else Open())

    def set_state(self, state: LinkState) -> None:
        """Changes what the link does; a healed one closes its connections."""
        if state == self._state:
            return
        if isinstance(self._state, Silent | Redirected) or isinstance(
            state, Redirected
        ):
            self.reset_connections()
        self._state = state
        self._changed.set()
        self._changed = anyio.Event()

    def reset_connections(self) -> None:
        """Breaks off all connections."""
        for scope in self._scopes:
            scope.cancel()

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
                policies.NeverRestart(),
            )
        )

    async def _relay_connection(self, near: anyio.abc.SocketStream) -> None:
        async with near:
            await self._wait_while_silent(is_to_target=True)
            try:
                far = await anyio.connect_tcp(*self._locate_target())
            except OSError:
                return
            async with far, anyio.create_task_group() as group:
                scope = group.cancel_scope
                self._scopes.add(scope)
                try:
                    group.start_soon(self._relay, near, far, scope, True)
                    await self._relay(far, near, scope, False)
                finally:
                    self._scopes.discard(scope)

    def _locate_target(self) -> tuple[str, int]:
        match self._state:
            case Redirected(address=address, port=port):
                return address, port
            case _:
                return self._settings.target_address, self._settings.target_port

    async def _relay(
        self,
        source: anyio.abc.SocketStream,
        target: anyio.abc.SocketStream,
        scope: anyio.CancelScope,
        is_to_target: bool,
    ) -> None:
        try:
            while True:
                data = await source.receive()
                match self._state:
                    case Delayed(seconds=seconds):
                        await anyio.sleep(seconds)
                    case Silent():
                        await self._wait_while_silent(is_to_target)
                    case Slow(bytes_per_s=bytes_per_s):
                        seconds = len(data) / bytes_per_s
                        await self._wait_for_turn(seconds, is_to_target)
                    case Open() | Redirected():
                        pass
                await target.send(data)
        except _STREAM_ERRORS:
            scope.cancel()

    async def _wait_for_turn(self, seconds: float, is_to_target: bool) -> None:
        now = self._clock.monotonic()
        begin = max(now, self._busy_until[is_to_target])
        end = begin + datetime.timedelta(seconds=seconds)
        self._busy_until[is_to_target] = end
        await self._clock.sleep(end - now)

    async def _wait_while_silent(self, is_to_target: bool) -> None:
        while isinstance(self._state, Silent):
            state = self._state
            if not (state.to_target if is_to_target else state.to_caller):
                return
            await self._changed.wait()
