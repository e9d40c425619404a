"""Lean HTTP/1.1 client: keep-alive connections to one address.

httpcore spends several times the processor time of this on a call, and the
machines have about one core for hundreds of calls a second; httptools parses
responses in C.
"""

import dataclasses
import datetime
from typing import Self

import anyio
import anyio.abc
import httptools

from fireflywell import clock as clock_lib
from fireflywell import errors

_RECEIVE_BYTES = 65536

# A call whose answer keeps arriving ends after this many of its time limits. A
# call of the store can then carry 5 MB at 5 Mbit/s.
_LONGEST_TRANSFER = 6

# An idle connection is closed after this time, before most servers do.
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
    """Receives the events of one response from the parser."""

    __slots__ = (
        "_limit_bytes",
        "body",
        "is_complete",
        "is_too_large",
        "keeps_alive",
    )

    def __init__(self, limit_bytes: int | None) -> None:
        self._limit_bytes = limit_bytes
        self.body = bytearray()
        self.is_complete = False
        self.is_too_large = False
        self.keeps_alive = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Notes whether the server closes the connection, and the size."""
        match name.lower():
            case b"connection" if value.lower() == b"close":
                self.keeps_alive = False
            case b"content-length":
                # The parser has checked that it is a number.
                self._check_size(int(value))

    def on_body(self, data: bytes) -> None:
        """Collects a part of the body."""
        self.body += data
        self._check_size(len(self.body))

    def _check_size(self, size_bytes: int) -> None:
        if self._limit_bytes is not None and size_bytes > self._limit_bytes:
            self.is_too_large = True

    def on_message_complete(self) -> None:
        """Notes the end of the response."""
        self.is_complete = True


class _SilenceLimit:
    """Time limit of a call, which starts anew when a part of it arrives."""

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

    def restart(self) -> None:
        """Allows the call another time limit from now on."""
        elapsed = self._clock.monotonic() - self._started
        allowed = min(elapsed, self._timeout * (_LONGEST_TRANSFER - 1))
        self._scope.deadline = self._first_deadline + allowed.total_seconds()


class Connection:
    """One connection; it carries one call at a time."""

    __slots__ = ("_clock", "_stream", "idle_since", "is_stale")

    def __init__(
        self, stream: anyio.abc.SocketStream, clock: clock_lib.Clock
    ) -> None:
        self._stream = stream
        self._clock = clock
        self.idle_since = clock.monotonic()
        self.is_stale = False

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
        silence: _SilenceLimit,
        limit_bytes: int | None = None,
    ) -> tuple[Response, bool]:
        """Sends a request and reads its response.

        Args:
            request: The encoded request.
            silence: Ends the call if nothing arrives for too long.
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
        parser = httptools.HttpResponseParser(collector)
        try:
            await self._stream.send(request)
            while not collector.is_complete:
                parser.feed_data(await self._stream.receive(_RECEIVE_BYTES))
                if collector.is_too_large:
                    raise errors.AnswerTooLargeError(
                        f"the answer has more than {limit_bytes} bytes"
                    )
                silence.restart()
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            OSError,
            httptools.HttpParserError,
        ) as error:
            raise errors.AnswerLostError(
                f"the connection ended before the response did: {error!r}"
            ) from error
        self.idle_since = self._clock.monotonic()
        response = Response(
            parser.get_status_code(),
            bytes(collector.body),
            self.idle_since - started,
        )
        return response, collector.keeps_alive

    async def close(self) -> None:
        """Closes the connection without waiting for the other side."""
        await anyio.aclose_forcefully(self._stream)


class HttpClient:
    """Calls to one address over a bounded number of connections."""

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
    ) -> Response:
        """Sends one call and returns its response.

        Args:
            method: HTTP method.
            path: Path and query.
            body: JSON body, empty for none.
            timeout: Longest time in which nothing of the answer arrives. An
                answer that keeps arriving may take several times as long, so
                that a large one on a slow link isn't begun again and again.
            headers: Further header lines, each ending with CR LF.
            limit_bytes: Largest body of an answer; None for any.

        Raises:
            PlatformUnavailableError: The request was not sent.
            AnswerLostError: The request may have been carried out.
            AnswerTooLargeError: The answer is larger than the limit.
        """
        head = f"{method} {path} HTTP/1.1\r\nHost: {self._address}\r\n{headers}"
        if body:
            head += (
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n"
            )
        elif method != "GET":
            head += "Content-Length: 0\r\n"
        request = head.encode("latin-1") + b"\r\n" + body
        async with self._limiter:
            return await self._send(request, timeout, limit_bytes)

    def set_address(self, address: str) -> None:
        """Uses another address for the calls that follow."""
        if address == self._address:
            return
        host, _, port = address.rpartition(":")
        self._address = address
        self._host = host
        self._port = int(port)
        # Connections to the former address are closed when they are found.
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
    ) -> Response:
        connection: Connection | None = None
        is_reusable = False
        try:
            with anyio.fail_after(timeout.total_seconds()) as scope:
                connection = await self._take_connection()
                response, is_reusable = await connection.exchange(
                    request,
                    _SilenceLimit(scope, timeout, self._clock),
                    limit_bytes,
                )
                return response
        except TimeoutError as error:
            # Other idle connections may be silent for the same reason.
            await self.close()
            if connection is None:
                raise errors.PlatformUnavailableError(
                    f"{self._address} can't be reached within {timeout}"
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

    async def _take_connection(self) -> Connection:
        oldest_allowed = self._clock.monotonic() - _IDLE_TIMEOUT
        while self._idle:
            connection = self._idle.pop()
            if (
                connection.idle_since >= oldest_allowed
                and not connection.is_stale
            ):
                return connection
            await connection.close()
        try:
            return await Connection.open(self._host, self._port, self._clock)
        except OSError as error:
            raise errors.PlatformUnavailableError(
                f"{self._address} can't be reached: {error}"
            ) from error
