"""Stand-in for the platform's services, served over HTTP."""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import json
from typing import Any
import urllib.parse

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell.infrastructure import records
from fireflywell.standins import faults
from fireflywell.standins import machines as machines_lib
from fireflywell.standins import table_store

_BODY_LIMIT_BYTES = 32 * 1024 * 1024


_SummaryHook = Callable[[], dict[str, Any]]
_FaultHook = Callable[[dict[str, Any]], Awaitable[bool]]


class PlatformApplication:
    """ASGI application for tables, objects, VMs, workers and faults."""

    __slots__ = (
        "_clock",
        "_fault_hook",
        "_latency",
        "_machines",
        "_objects",
        "_rules",
        "_runs_hook",
        "_stale",
        "_summary_hook",
        "_table",
    )

    def __init__(
        self,
        clock: clock_lib.Clock,
        machines: machines_lib.Machines,
        latency: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        self._clock = clock
        self._latency = latency
        self._machines = machines
        self._table = table_store.MemoryTable()
        self._stale: table_store.MemoryTable | None = None
        self._objects: dict[str, bytes] = {}
        self._rules = faults.FaultRules()
        self._summary_hook: _SummaryHook | None = None
        self._runs_hook: _SummaryHook | None = None
        self._fault_hook: _FaultHook | None = None

    @property
    def rules(self) -> faults.FaultRules:
        """The faults in force."""
        return self._rules

    @property
    def table(self) -> table_store.MemoryTable:
        """The table behind the HTTP calls."""
        return self._table

    def set_deployment_hooks(
        self,
        describe: _SummaryHook,
        describe_runs: _SummaryHook,
        set_fault: _FaultHook,
    ) -> None:
        """Adds what the rest of a deployment tells and lets fail.

        Args:
            describe: Returns fields that are added to `/stats`.
            describe_runs: Returns the content of `/runs`.
            set_fault: Applies a fault document of `/faults` that isn't about
                the platform's calls; returns False if it doesn't know it.
        """
        self._summary_hook = describe
        self._runs_hook = describe_runs
        self._fault_hook = set_fault

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one call."""
        body = await asgi.read_body(receive, _BODY_LIMIT_BYTES)
        method, path = scope["method"], scope["path"]
        if path == "/faults":
            await self._set_fault(body, send)
            return
        if path == "/stats":
            await asgi.send_json(send, 200, self._describe_load())
            return
        if path == "/runs" and self._runs_hook is not None:
            await asgi.send_json(send, 200, self._runs_hook())
            return
        await self._clock.sleep(self._latency * 2)
        fault = self._rules.take_fault(path, _is_write(method, path))
        match fault:
            case faults.Down():
                await asgi.send_json(send, 503, {"error": "down by a fault"})
                return
            case faults.LoseCalls():
                await asgi.send_json(send, 504, {"error": "lost by a fault"})
                return
            case faults.Slow(delay=delay):
                await self._clock.sleep(delay)
            case _:
                pass
        try:
            status, content = await self._answer(
                method, path, scope["query_string"].decode(), body
            )
        except (KeyError, ValueError, TypeError) as error:
            status, content = 400, _encode({"error": repr(error)})
        if isinstance(fault, faults.LoseAnswers):
            await asgi.send_json(send, 504, {"error": "lost by a fault"})
            return
        await asgi.send_response(send, status, (), content)

    async def _set_fault(self, body: bytes, send: asgi.Send) -> None:
        try:
            document = json.loads(body)
            is_applied = self._fault_hook is not None and (
                await self._fault_hook(document)
            )
            if not is_applied:
                self._rules.set_rule(faults.decode_rule(document))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            await asgi.send_json(send, 400, {"error": repr(error)})
            return
        if not self._rules.has_stale_reads:
            self._stale = None
        elif self._stale is None:
            self._stale = self._table.copy()
        await asgi.send_json(send, 200, {})

    def _describe_load(self) -> dict[str, Any]:
        summary = {
            "reads": self._table.reads,
            "writes": self._table.writes,
            "revision": self._table.revision,
            "reboots": self._machines.reboots,
            "highest_reboots": self._machines.highest_reboots,
            "task_starts": self._machines.task_starts,
        }
        if self._summary_hook is not None:
            summary.update(self._summary_hook())
        return summary

    async def _answer(
        self, method: str, path: str, query: str, body: bytes
    ) -> tuple[int, bytes]:
        parts = path.strip("/").split("/")
        match method, parts:
            case "POST", ["v1", "tables", "transact"]:
                return 200, await self._transact(json.loads(body))
            case "POST", ["v1", "tables", "read"]:
                return 200, await self._read(json.loads(body))
            case "GET", ["v1", "tables", "scan"]:
                return 200, await self._scan(query)
            case "PUT", ["v1", "objects", *name]:
                self._objects["/".join(name)] = body
                return 200, b""
            case "GET", ["v1", "objects", *name]:
                content = self._objects.get("/".join(name))
                return (404, b"") if content is None else (200, content)
            case _, ["v1", *rest]:
                return await self._machines.answer(method, rest, body)
        return 404, _encode({"error": f"no call {method} {path}"})

    async def _transact(self, document: dict[str, Any]) -> bytes:
        transaction = records.Transaction(
            write_id=document["write_id"],
            conditions=tuple(
                records.Condition(item["key"], item["version"])
                for item in document["conditions"]
            ),
            writes=tuple(
                records.Write(item["key"], item["value"])
                for item in document["writes"]
            ),
        )
        match await self._table.transact(transaction):
            case records.Committed(revision=revision):
                return _encode({"committed": True, "revision": revision})
            case records.Conflict(key=key, actual_version=version):
                return _encode(
                    {"committed": False, "key": key, "actual_version": version}
                )

    async def _read(self, document: dict[str, Any]) -> bytes:
        table = self._stale or self._table
        rows = await table.read(tuple(document["keys"]))
        return _encode({"rows": [_encode_row(row) for row in rows]})

    async def _scan(self, query: str) -> bytes:
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        table = self._stale or self._table
        page = await table.scan(
            fields["prefix"],
            fields.get("after_key", ""),
            int(fields.get("after_revision", "0")),
            int(fields.get("limit", "2000")),
        )
        return _encode(
            {
                "rows": [_encode_row(row) for row in page.rows],
                "deleted": list(page.deleted),
                "revision": page.revision,
                "more": page.more,
            }
        )


def _is_write(method: str, path: str) -> bool:
    is_read = path == "/v1/tables/read"
    return method in ("POST", "PUT") and not is_read


def _encode(document: Any) -> bytes:
    return json.dumps(document).encode()


def _encode_row(row: records.Row) -> dict[str, Any]:
    return {
        "key": row.key,
        "version": row.version,
        "revision": row.revision,
        "value": row.value,
        "write_id": row.write_id,
    }
