"""HTTP/1.1 client with keep-alive connections to one address.

A call by httpcore takes several times the processor time of one by this client,
and a VM has about one core for hundreds of calls a second. httptools parses
responses in C.
"""

import dataclasses
import datetime
import select
from typing import Self

import anyio
import anyio.abc
import httptools

from fireflywell import clock as clock_lib
from fireflywell import errors

_RECEIVE_BYTES = 65536
_MAX_PORT = 65_535
_FIRST_FINAL_STATUS = 200

# A call whose answer keeps arriving is ended after this many times its timeout.
# An answer of the store can then have 5 MB on a link of 5 Mbit/s.
_MAX_TIMEOUT_MULTIPLE = 6

# Connections idle for longer are closed instead of reused; most servers close
# them only later.
_IDLE_TIMEOUT = datetime.timedelta(seconds=8)


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response.

    Attributes:
        status: Status code.
        body: Body.
        elapsed: Time from sending the request to the end of the response.
    """

    status: int
    body: bytes
    elapsed: datetime.timedelta


class _ResponseCollector:
    """Collects one final response from the parser's events.

    Interim responses (status 1xx) before it are skipped. After a further one,
    the connection must not be used again, because a later call would get it.

    Attributes:
        parser: The parser that calls this object.
    """

    __slots__ = (
        "_limit_bytes",
        "body",
        "is_complete",
        "is_too_large",
        "keeps_alive",
        "parser",
        "status",
    )

    def __init__(self, limit_bytes: int | None) -> None:
        self._limit_bytes = limit_bytes
        self.body = bytearray()
        self.is_complete = False
        self.is_too_large = False
        self.keeps_alive = True
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0

    def on_message_begin(self) -> None:
        """Notes a response after the final one."""
        if self.is_complete:
            self.keeps_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Records whether the connection stays open, and checks the size."""
        if self.is_complete:
            return
        match name.lower():
            case b"connection" if value.lower() == b"close":
                self.keeps_alive = False
            case b"content-length":
                # The parser has checked that it is a number.
                self._check_size(int(value))

    def on_body(self, data: bytes) -> None:
        """Appends a part of the body and checks the size."""
        if self.is_complete:
            return
        self.body += data
        self._check_size(len(self.body))

    def _check_size(self, size_bytes: int) -> None:
        if self._limit_bytes is not None and size_bytes > self._limit_bytes:
            self.is_too_large = True

    def on_message_complete(self) -> None:
        """Marks the response as complete unless it is an interim one."""
        status = self.parser.get_status_code()
        if self.is_complete or status < _FIRST_FINAL_STATUS:
            return
        self.status = status
        self.is_complete = True


class _SlidingDeadline:
    """Deadline of a call, extended whenever a part of the answer arrives.

    The call may take `_MAX_TIMEOUT_MULTIPLE` times its timeout in total.
    """

    __slots__ = ("_clock", "_first_deadline", "_scope", "_started", "_timeout")

    def __init__(
        self,
        scope: anyio.CancelScope,
        timeout: datetime.timedelta,
        clock: clock_lib.Clock,
    ) -> None:
        self._scope = scope
        self._first_deadline = scope.deadline
        self._timeout = timeout
        self._clock = clock
        self._started = clock.monotonic()

    def extend(self) -> None:
        """Moves the deadline to one timeout from now, up to the maximum."""
        elapsed = self._clock.monotonic() - self._started
        extension = min(elapsed, self._timeout * (_MAX_TIMEOUT_MULTIPLE - 1))
        self._scope.deadline = self._first_deadline + extension.total_seconds()


class Connection:
    """A connection that carries one call at a time.

    Attributes:
        idle_since: Monotonic time of the end of the last call.
        is_stale: Whether it leads to a former address of the client and must
            not be used again.
    """

    __slots__ = ("_clock", "_poll", "_stream", "idle_since", "is_stale")

    def __init__(
        self, stream: anyio.abc.SocketStream, clock: clock_lib.Clock
    ) -> None:
        self._stream = stream
        self._clock = clock
        self.idle_since = clock.monotonic()
        self.is_stale = False
        raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        self._poll = select.poll()
        self._poll.register(raw_socket.fileno(), select.POLLIN)

    @classmethod
    async def open(cls, host: str, port: int, clock: clock_lib.Clock) -> Self:
        """Connects to an address.

        Raises:
            OSError: The address can't be reached.
        """
        return cls(await anyio.connect_tcp(host, port), clock)

    async def exchange(
        self,
        request: bytes,
        deadline: _SlidingDeadline,
        limit_bytes: int | None = None,
    ) -> tuple[Response, bool]:
        """Sends a request and reads its response.

        Args:
            request: The encoded request.
            deadline: Extended with each part of the response.
            limit_bytes: Largest body that is read; None for any.

        Returns:
            The response, and whether the connection can be used again.

        Raises:
            AnswerLostError: The connection ended before the response did.
            AnswerTooLargeError: The body is larger than the limit; the rest of
                it is not read.
        """
        started = self._clock.monotonic()
        collector = _ResponseCollector(limit_bytes)
        try:
            await self._stream.send(request)
            while not collector.is_complete:
                received = await self._stream.receive(_RECEIVE_BYTES)
                collector.parser.feed_data(received)
                if collector.is_too_large:
                    raise errors.AnswerTooLargeError(
                        f"the answer has more than {limit_bytes} bytes"
                    )
                deadline.extend()
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            OSError,
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise errors.AnswerLostError(
                f"the connection ended before the response did: {error!r}"
            ) from error
        finally:
            # The parser refers to the collector; the cycle of each call would
            # be left to the garbage collector.
            del collector.parser
        self.idle_since = self._clock.monotonic()
        response = Response(
            collector.status,
            bytes(collector.body),
            self.idle_since - started,
        )
        return response, collector.keeps_alive

    def has_input(self) -> bool:
        """Returns whether the other side closed the connection or sent data.

        To be asked between calls, when nothing is to be received.
        """
        return bool(self._poll.poll(0))

    async def close(self) -> None:
        """Closes the connection without waiting for the other side."""
        await anyio.aclose_forcefully(self._stream)


class HttpClient:
    """Sends calls to one address over a bounded number of connections."""

    __slots__ = (
        "_address",
        "_clock",
        "_host",
        "_idle",
        "_limiter",
        "_port",
    )

    def __init__(
        self, address: str, clock: clock_lib.Clock, max_connections: int
    ) -> None:
        host, _, port = address.rpartition(":")
        self._address = address
        self._host = host
        self._port = int(port)
        self._clock = clock
        self._idle: list[Connection] = []
        self._limiter = anyio.CapacityLimiter(max_connections)

    @property
    def address(self) -> str:
        """Host and port."""
        return self._address

    async def call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: datetime.timedelta,
        headers: str = "",
        limit_bytes: int | None = None,
        connect_timeout: datetime.timedelta | None = None,
        host: str | None = None,
    ) -> Response:
        """Sends one call and returns its response.

        Args:
            method: HTTP method.
            path: Path and query.
            body: JSON body, empty for none.
            timeout: Longest time without progress. An answer that keeps
                arriving may take up to `_MAX_TIMEOUT_MULTIPLE` times as long,
                so that a large one on a slow link isn't requested again and
                again.
            headers: Further header lines, each ending with CR LF.
            limit_bytes: Largest body of an answer; None for any.
            connect_timeout: Time limit for a new connection; `timeout` then
                begins when it is open. None for one limit for both.
            host: Value of the `Host` header; None for the address.

        Raises:
            PlatformUnavailableError: The request was not sent.
            AnswerLostError: The request may have been executed.
            AnswerTooLargeError: The answer is larger than the limit.
        """
        host = self._address if host is None else host
        head = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}"
        if body:
            head += (
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n"
            )
        elif method != "GET":
            head += "Content-Length: 0\r\n"
        request = head.encode("latin-1") + b"\r\n" + body
        async with self._limiter:
            return await self._send(
                request, timeout, limit_bytes, connect_timeout
            )

    def set_address(self, address: str) -> None:
        """Sends later calls to another address."""
        if address == self._address:
            return
        host, _, port = address.rpartition(":")
        self._address = address
        self._host = host
        self._port = int(port)
        # `_take_idle_connection` closes stale connections when it reaches them.
        for connection in self._idle:
            connection.is_stale = True

    async def close(self) -> None:
        """Closes all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.close()

    async def _send(
        self,
        request: bytes,
        timeout: datetime.timedelta,
        limit_bytes: int | None,
        connect_timeout: datetime.timedelta | None,
    ) -> Response:
        connection = await self._take_idle_connection()
        first_timeout = timeout
        if connection is None and connect_timeout is not None:
            first_timeout = connect_timeout
        is_reusable = False
        try:
            with anyio.fail_after(first_timeout.total_seconds()) as scope:
                if connection is None:
                    started = self._clock.monotonic()
                    connection = await self._open_connection()
                    elapsed = self._clock.monotonic() - started
                    if connect_timeout is not None:
                        extension = elapsed + timeout - connect_timeout
                        scope.deadline += extension.total_seconds()
                response, is_reusable = await connection.exchange(
                    request,
                    _SlidingDeadline(scope, timeout, self._clock),
                    limit_bytes,
                )
                return response
        except TimeoutError as error:
            if connect_timeout is None or timeout >= connect_timeout:
                # Other idle connections may be unresponsive for the same
                # reason.
                await self.close()
            if connection is None:
                raise errors.PlatformUnavailableError(
                    f"{self._address} can't be reached within {first_timeout}"
                ) from error
            raise errors.AnswerLostError(
                f"{self._address} didn't answer within {timeout}"
            ) from error
        finally:
            if connection is not None:
                if is_reusable:
                    self._idle.append(connection)
                else:
                    await connection.close()

    async def _take_idle_connection(self) -> Connection | None:
        oldest_allowed = self._clock.monotonic() - _IDLE_TIMEOUT
        while self._idle:
            connection = self._idle.pop()
            if (
                connection.idle_since >= oldest_allowed
                and not connection.is_stale
                and not connection.has_input()
            ):
                return connection
            await connection.close()
        return None

    async def _open_connection(self) -> Connection:
        if self._port > _MAX_PORT:
            raise errors.PlatformUnavailableError(
                f"{self._address} can't be reached: ports end at {_MAX_PORT}"
            )
        try:
            return await Connection.open(self._host, self._port, self._clock)
        except (OSError, UnicodeError) as error:
            # A name with parts that are too long or empty can't be encoded.
            raise errors.PlatformUnavailableError(
                f"{self._address} can't be reached: {error}"
            ) from error
