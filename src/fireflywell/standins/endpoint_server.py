"""Serves a stand-in instance over TCP, down to resets and refusals."""

import functools
import random
import socket
import struct

import anyio
import anyio.abc
import h11

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.standins import endpoint
from fireflywell.standins import http_wire
from fireflywell.standins import replies
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib


class EndpointServer:
    """One listening address of an instance.

    While the instance's VM is away, connections are refused; those that were
    open when it went away are reset.
    """

    __slots__ = (
        "_address",
        "_application",
        "_clock",
        "_connections",
        "_port",
        "_random",
    )

    def __init__(
        self,
        application: endpoint.EndpointApplication,
        address: str,
        port: int,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._application = application
        self._address = address
        self._port = port
        self._clock = clock
        self._random = rng
        self._connections: supervisor_lib.Supervisor | None = None

    @property
    def application(self) -> endpoint.EndpointApplication:
        """The instance behind the address."""
        return self._application

    async def run(self) -> None:
        """Serves until cancelled.

        Raises:
            SettingsError: The address can't be bound.
        """
        while True:
            with anyio.CancelScope() as scope:
                await self._serve_while_up(scope)
            await self._application.wait_until_back()

    async def _serve_while_up(self, scope: anyio.CancelScope) -> None:
        self._connections = supervisor_lib.Supervisor(
            self._application.name,
            self._clock,
            self._random,
            (
                supervisor_lib.Child(
                    "accept", self._accept, policies.StopProcess()
                ),
                supervisor_lib.Child(
                    "away",
                    functools.partial(self._cancel_when_away, scope),
                    policies.StopProcess(),
                ),
            ),
        )
        await self._connections.run()

    async def _cancel_when_away(self, scope: anyio.CancelScope) -> None:
        await self._application.wait_until_away()
        scope.cancel()

    async def _accept(self) -> None:
        try:
            listener = await anyio.create_tcp_listener(
                local_host=self._address, local_port=self._port, backlog=2048
            )
        except OSError as error:
            raise errors.SettingsError(
                f"can't listen on {self._address}:{self._port} "
                f"({error.strerror}); check that the port is free"
            ) from error
        async with listener:
            await listener.serve(self._start_connection)

    async def _start_connection(self, stream: anyio.abc.SocketStream) -> None:
        assert self._connections is not None
        self._connections.start_child(
            supervisor_lib.Child(
                "connection",
                functools.partial(self._serve_connection, stream),
                policies.NeverRestart(),
            )
        )

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        self._application.note_connection_opened()
        try:
            async with stream:
                try:
                    await self._exchange_until_closed(stream)
                except http_wire.CONNECTION_ERRORS:
                    return
                except anyio.get_cancelled_exc_class():
                    _reset_on_close(stream)
                    raise
        finally:
            self._application.note_connection_closed()

    async def _exchange_until_closed(
        self, stream: anyio.abc.SocketStream
    ) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            request = await http_wire.read_request(connection, stream)
            if request is None:
                return
            async with self._application.answer(request) as reply:
                may_go_on = await _send_reply(connection, stream, reply)
            if not may_go_on or connection.our_state is not h11.DONE:
                return
            connection.start_next_cycle()


async def _send_reply(
    connection: h11.Connection,
    stream: anyio.abc.SocketStream,
    reply: replies.Reply,
) -> bool:
    """Sends a reply; returns whether the connection may carry another."""
    match reply:
        case replies.Respond(status=status, headers=headers, body=body):
            await http_wire.send_response(
                connection, stream, status, headers, body
            )
            return True
        case replies.Truncate(promised_bytes=promised, body=body):
            length = [("content-length", str(promised))]
            head = h11.Response(status_code=200, headers=length)
            data = connection.send(head) or b""
            data += connection.send(h11.Data(data=body)) or b""
            await stream.send(data)
            return False
        case replies.Reset():
            _reset_on_close(stream)
            return False
        case replies.NeverAnswer():
            # Ends with `EndOfStream` when the caller closes the connection.
            while True:
                await stream.receive()


def _reset_on_close(stream: anyio.abc.SocketStream) -> None:
    """Makes closing the stream send a reset in place of an orderly end."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
