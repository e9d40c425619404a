"""Stand-in for the platform's services, served over HTTP."""

import json
from typing import Any
import urllib.parse

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell.platform import records
from fireflywell.standins import faults
from fireflywell.standins import machines as machines_lib
from fireflywell.standins import table_store

_BODY_LIMIT_BYTES = 32 * 1024 * 1024


class PlatformApplication:
    """ASGI application for tables, objects, VMs, workers and faults."""

    __slots__ = (
        "_clock",
        "_fault",
        "_machines",
        "_objects",
        "_stale",
        "_table",
    )

    def __init__(
        self, clock: clock_lib.Clock, machines: machines_lib.Machines
    ) -> None:
        self._clock = clock
        self._machines = machines
        self._table = table_store.MemoryTable()
        self._stale: table_store.MemoryTable | None = None
        self._objects: dict[str, bytes] = {}
        self._fault: faults.Fault = faults.Healthy()

    @property
    def table(self) -> table_store.MemoryTable:
        """The table behind the HTTP calls."""
        return self._table

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
        is_lost = False
        match self._fault:
            case faults.Down():
                await asgi.send_json(send, 503, {"error": "down by a fault"})
                return
            case faults.Slow(delay=delay):
                await self._clock.sleep(delay)
            case faults.LoseAnswers(count=count) if _is_write(method, path):
                is_lost = True
                self._fault = (
                    faults.LoseAnswers(count - 1)
                    if count > 1
                    else faults.Healthy()
                )
            case _:
                pass
        try:
            status, content = await self._answer(
                method, path, scope["query_string"].decode(), body
            )
        except (KeyError, ValueError, TypeError) as error:
            status, content = 400, _encode({"error": repr(error)})
        if is_lost:
            await asgi.send_json(send, 504, {"error": "lost by a fault"})
            return
        await asgi.send_response(send, status, (), content)

    async def _set_fault(self, body: bytes, send: asgi.Send) -> None:
        try:
            self._fault = faults.decode_fault(json.loads(body))
        except (KeyError, ValueError) as error:
            await asgi.send_json(send, 400, {"error": str(error)})
            return
        is_stale = isinstance(self._fault, faults.StaleReads)
        self._stale = self._table.copy() if is_stale else None
        await asgi.send_json(send, 200, {})

    def _describe_load(self) -> dict[str, int]:
        return {
            "reads": self._table.reads,
            "writes": self._table.writes,
            "revision": self._table.revision,
        }

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
