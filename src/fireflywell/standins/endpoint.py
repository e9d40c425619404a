"""Stand-in for an instance of a service, with misbehaviour on demand."""

import collections
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import datetime
import json
from typing import Any

import anyio

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell.standins import http_wire
from fireflywell.standins import replies

_LARGE_ANSWER_BYTES = 5 * 1024 * 1024
# Bounds the memory of a long load test; totals are counted separately.
_RUNS_KEPT = 200_000


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One request that the instance ran."""

    request_id: str
    method: str
    path: str
    body: str


class EndpointApplication:
    """What one instance does with its requests, and what it counts.

    A request may name its run time in `X-Work-Seconds` and a misbehaviour in
    `X-Misbehave`: `truncate`, `crossed`, `oversized`, `fail`, `reset`,
    `silent`. Served by `EndpointServer`, or as an ASGI application where
    byte-level misbehaviour isn't needed.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_cut",
        "_fails_all",
        "_highest",
        "_highest_open",
        "_in_progress",
        "_is_away",
        "_is_leaving",
        "_latency",
        "_name",
        "_open",
        "_run_count",
        "_runs",
    )

    def __init__(
        self,
        name: str,
        clock: clock_lib.Clock,
        latency: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        self._name = name
        self._clock = clock
        self._latency = latency
        self._runs: collections.deque[Run] = collections.deque(
            maxlen=_RUNS_KEPT
        )
        self._run_count = 0
        self._in_progress = 0
        self._highest = 0
        self._open = 0
        self._highest_open = 0
        self._cut = 0
        self._is_leaving = False
        self._is_away = False
        self._fails_all = False
        self._changed = anyio.Event()

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self._name

    @property
    def runs(self) -> tuple[Run, ...]:
        """Requests run so far, in order."""
        return tuple(self._runs)

    @property
    def run_count(self) -> int:
        """Number of requests run so far."""
        return self._run_count

    @property
    def highest_in_progress(self) -> int:
        """Most requests that were in progress together."""
        return self._highest

    @property
    def highest_open_connections(self) -> int:
        """Most connections that were open together."""
        return self._highest_open

    @property
    def requests_cut(self) -> int:
        """Requests that were in progress when the VM went away."""
        return self._cut

    @property
    def is_away(self) -> bool:
        """Whether the VM of the instance is away."""
        return self._is_away

    @property
    def is_leaving(self) -> bool:
        """Whether the status page says that the instance leaves."""
        return self._is_leaving

    def set_latency(self, latency: datetime.timedelta) -> None:
        """Sets the network's delay in one direction."""
        self._latency = latency

    def go_away(self) -> None:
        """Stops answering, as during a reboot; counts what it cuts off."""
        if self._is_away:
            return
        self._cut += self._in_progress
        self._is_away = True
        self._signal()

    def come_back(self) -> None:
        """Answers again."""
        self._is_away = False
        self._is_leaving = False
        self._signal()

    def note_connection_opened(self) -> None:
        """Counts an accepted connection."""
        self._open += 1
        self._highest_open = max(self._highest_open, self._open)

    def note_connection_closed(self) -> None:
        """Counts a closed connection."""
        self._open -= 1

    async def wait_until_away(self) -> None:
        """Waits until the VM is away."""
        while not self._is_away:
            await self._changed.wait()

    async def wait_until_back(self) -> None:
        """Waits until the VM isn't away."""
        while self._is_away:
            await self._changed.wait()

    @contextlib.asynccontextmanager
    async def answer(
        self, request: http_wire.HttpRequest
    ) -> AsyncIterator[replies.Reply]:
        """Yields the reply; the request is in progress until the block ends."""
        match request.path.partition("?")[0]:
            case "/control":
                self._change_behaviour(json.loads(request.body))
                yield _respond_json({})
            case _ if self._is_away:
                yield replies.Reset()
            case "/status":
                yield _respond_json(self.describe())
            case "/runs":
                runs = [dataclasses.asdict(run) for run in self._runs]
                yield _respond_json({"runs": runs})
            case _:
                async with self._run(request) as reply:
                    yield reply

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one request by ASGI."""
        request = http_wire.HttpRequest(
            scope["method"],
            scope["path"],
            asgi.decode_headers(scope),
            await asgi.read_body(receive, http_wire.BODY_LIMIT_BYTES),
        )
        async with self.answer(request) as reply:
            match reply:
                case replies.Respond(status=status, headers=headers, body=body):
                    await asgi.send_response(send, status, headers, body)
                case replies.Truncate(promised_bytes=promised, body=body):
                    await _send_truncated(send, promised, body)
                case replies.Reset():
                    raise ConnectionResetError("reset as asked")
                case replies.NeverAnswer():
                    await anyio.sleep_forever()

    def describe(self) -> dict[str, Any]:
        """Returns the status page."""
        return {
            "instance": self._name,
            "in_progress": self._in_progress,
            "leaving": self._is_leaving,
            "highest_in_progress": self._highest,
            "highest_open_connections": self._highest_open,
            "requests_cut": self._cut,
            "runs": self._run_count,
        }

    def _change_behaviour(self, document: dict[str, Any]) -> None:
        self._fails_all = bool(document.get("fails_all", self._fails_all))
        self._is_leaving = bool(document.get("leaving", self._is_leaving))
        match document.get("away"):
            case True:
                self.go_away()
            case False:
                self.come_back()

    @contextlib.asynccontextmanager
    async def _run(
        self, request: http_wire.HttpRequest
    ) -> AsyncIterator[replies.Reply]:
        self._in_progress += 1
        self._highest = max(self._highest, self._in_progress)
        try:
            yield await self._work(request)
        finally:
            self._in_progress -= 1

    async def _work(self, request: http_wire.HttpRequest) -> replies.Reply:
        await self._clock.sleep(self._latency)
        headers = request.headers
        request_id = asgi.find_header(headers, "fireflywell-request-id") or ""
        text = request.body[:200].decode(errors="replace")
        self._runs.append(Run(request_id, request.method, request.path, text))
        self._run_count += 1
        seconds = float(asgi.find_header(headers, "x-work-seconds") or "0")
        await self._clock.sleep(datetime.timedelta(seconds=seconds))
        await self._clock.sleep(self._latency)
        if self._is_away:
            return replies.Reset()
        misbehaviour = asgi.find_header(headers, "x-misbehave")
        return self._choose_reply(misbehaviour, request_id, request.body)

    def _choose_reply(
        self, misbehaviour: str | None, request_id: str, body: bytes
    ) -> replies.Reply:
        if self._fails_all:
            misbehaviour = "fail"
        headers: tuple[asgi.Header, ...] = (
            asgi.Header("fireflywell-request-id", request_id),
        )
        if self._is_leaving:
            headers = (*headers, asgi.Header("connection", "close"))
        content = json.dumps(
            {"instance": self._name, "length": len(body)}
        ).encode()
        match misbehaviour:
            case "truncate":
                return replies.Truncate(1000, b"partial")
            case "reset":
                return replies.Reset()
            case "silent":
                return replies.NeverAnswer()
            case "fail":
                return replies.Respond(500, headers, b"failed")
            case "crossed":
                other = (asgi.Header("fireflywell-request-id", "other"),)
                return replies.Respond(200, other, content)
            case "oversized":
                return replies.Respond(200, headers, b"x" * _LARGE_ANSWER_BYTES)
            case _:
                return replies.Respond(200, headers, content)

    def _signal(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()


def _respond_json(document: Any) -> replies.Respond:
    headers = (asgi.Header("content-type", "application/json"),)
    return replies.Respond(200, headers, json.dumps(document).encode())


async def _send_truncated(
    send: asgi.Send, promised_bytes: int, body: bytes
) -> None:
    headers = [(b"content-length", str(promised_bytes).encode())]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})
