"""Stand-in for an instance of a service, with misbehaviour on demand."""

import dataclasses
import datetime
import json
from typing import Any

from fireflywell import asgi
from fireflywell import clock as clock_lib

_BODY_LIMIT_BYTES = 8 * 1024 * 1024
_LARGE_ANSWER_BYTES = 5 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One request that the instance ran."""

    request_id: str
    method: str
    path: str
    body: str


class EndpointApplication:
    """ASGI application of one instance.

    A request may name its run time in `X-Work-Seconds` and a misbehaviour in
    `X-Misbehave`: `truncate`, `crossed`, `oversized`, `fail`, `reset`.
    """

    __slots__ = (
        "_clock",
        "_cut",
        "_fails_all",
        "_highest",
        "_in_progress",
        "_is_away",
        "_is_leaving",
        "_latency",
        "_name",
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
        self._runs: list[Run] = []
        self._in_progress = 0
        self._highest = 0
        self._cut = 0
        self._is_leaving = False
        self._is_away = False
        self._fails_all = False

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self._name

    @property
    def runs(self) -> tuple[Run, ...]:
        """Requests run so far, in order."""
        return tuple(self._runs)

    @property
    def highest_in_progress(self) -> int:
        """Most requests that were in progress together."""
        return self._highest

    @property
    def requests_cut(self) -> int:
        """Requests that were in progress when the VM went away."""
        return self._cut

    def go_away(self) -> None:
        """Stops answering, as during a reboot; counts what it cuts off."""
        self._cut += self._in_progress
        self._is_away = True

    def come_back(self) -> None:
        """Answers again."""
        self._is_away = False
        self._is_leaving = False

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one request."""
        body = await asgi.read_body(receive, _BODY_LIMIT_BYTES)
        if scope["path"] == "/control":
            self._change_behaviour(json.loads(body))
            await asgi.send_json(send, 200, {})
            return
        if self._is_away:
            raise ConnectionResetError("the instance is away")
        if scope["path"] == "/status":
            await asgi.send_json(send, 200, self._describe())
            return
        if scope["path"] == "/runs":
            runs = [dataclasses.asdict(run) for run in self._runs]
            await asgi.send_json(send, 200, {"runs": runs})
            return
        await self._serve(scope, body, send)

    def _change_behaviour(self, document: dict[str, Any]) -> None:
        self._fails_all = bool(document.get("fails_all", self._fails_all))
        self._is_leaving = bool(document.get("leaving", self._is_leaving))
        self._is_away = bool(document.get("away", self._is_away))

    def _describe(self) -> dict[str, Any]:
        return {
            "instance": self._name,
            "in_progress": self._in_progress,
            "leaving": self._is_leaving,
            "highest_in_progress": self._highest,
            "requests_cut": self._cut,
            "runs": len(self._runs),
        }

    async def _serve(
        self, scope: asgi.Scope, body: bytes, send: asgi.Send
    ) -> None:
        headers = asgi.decode_headers(scope)
        request_id = asgi.find_header(headers, "fireflywell-request-id") or ""
        self._runs.append(
            Run(
                request_id,
                scope["method"],
                scope["path"],
                body[:200].decode(errors="replace"),
            )
        )
        self._in_progress += 1
        self._highest = max(self._highest, self._in_progress)
        try:
            seconds = asgi.find_header(headers, "x-work-seconds") or "0"
            work = datetime.timedelta(seconds=float(seconds))
            await self._clock.sleep(work + self._latency)
        finally:
            self._in_progress -= 1
        if self._is_away:
            raise ConnectionResetError("the instance went away")
        misbehaviour = asgi.find_header(headers, "x-misbehave")
        await self._answer(misbehaviour, request_id, body, send)

    async def _answer(
        self,
        misbehaviour: str | None,
        request_id: str,
        body: bytes,
        send: asgi.Send,
    ) -> None:
        if self._fails_all:
            misbehaviour = "fail"
        headers = (asgi.Header("fireflywell-request-id", request_id),)
        content = json.dumps(
            {"instance": self._name, "length": len(body)}
        ).encode()
        match misbehaviour:
            case "truncate":
                await _send_truncated(send)
            case "reset":
                raise ConnectionResetError("reset as asked")
            case "fail":
                await asgi.send_response(send, 500, headers, b"failed")
            case "crossed":
                other = (asgi.Header("fireflywell-request-id", "other"),)
                await asgi.send_response(send, 200, other, content)
            case "oversized":
                large = b"x" * _LARGE_ANSWER_BYTES
                await asgi.send_response(send, 200, headers, large)
            case _:
                await asgi.send_response(send, 200, headers, content)


async def _send_truncated(send: asgi.Send) -> None:
    headers = [(b"content-length", b"1000")]
    await send(
        {"type": "http.response.start", "status": 200, "headers": headers}
    )
    await send({"type": "http.response.body", "body": b"partial"})
