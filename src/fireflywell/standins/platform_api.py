"""HTTP interface of the users' platform over the in-memory stand-ins.

Serves the row store, workers and the list of VMs as ASGI applications, so that
real node processes can be run against them.
"""

import base64
import binascii
import datetime
import json
from typing import Any
import urllib.parse

from fireflywell import asgi
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.scheduling import orders
from fireflywell.standins import row_store as row_store_standin
from fireflywell.standins import unit_worker

_BODY_LIMIT_BYTES = 1024 * 1024

# The platform caps how long its answers wait.
_LONGEST_FEED = datetime.timedelta(seconds=30)
_LONGEST_REPORT = datetime.timedelta(seconds=2)


class StoreApi:
    """Serves rows; see `MemoryRowStore` for its faults."""

    __slots__ = ("_store",)

    def __init__(self, store: row_store_standin.MemoryRowStore) -> None:
        self._store = store

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one call."""
        body = await asgi.read_body(receive, _BODY_LIMIT_BYTES)
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        try:
            match scope["method"], scope["path"]:
                case "POST", "/rows-tx":
                    status, answer = await self._transact(json.loads(body))
                case "GET", "/rows-get":
                    status, answer = 200, await self._read(query)
                case "GET", "/rows-parts":
                    status, answer = 200, await self._list_parts(query)
                case "GET", "/rows-feed":
                    status, answer = 200, await self._follow(query)
                case _:
                    status, answer = 404, {"error": "no such call"}
        except errors.HistoryLostError:
            status, answer = 410, {"error": "the history is gone"}
        except errors.PlatformUnavailableError:
            status, answer = 503, {"error": "nothing was done"}
        except errors.AnswerLostError:
            await _wait_until_caller_leaves(receive)
            return
        except (KeyError, ValueError, TypeError, binascii.Error) as error:
            status, answer = 400, {"error": repr(error)}
        answer["now_ms"] = self._store.now_s() * 1000
        await asgi.send_json(send, status, answer)

    async def _transact(
        self, document: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        transaction = row_store.Transaction(
            tuple(
                row_store.Condition(_decode_place(item), item["row_version"])
                for item in document.get("expected") or ()
            ),
            tuple(
                row_store.Put(
                    _decode_place(item), base64.b64decode(item["value"])
                )
                for item in document.get("puts") or ()
            ),
            tuple(_decode_place(i) for i in document.get("remove") or ()),
        )
        match await self._store.transact(transaction):
            case row_store.Committed(version=version):
                return 200, {"row_version": version}
            case row_store.Conflict(rows=rows):
                return 412, {"rows": [_encode_row(row) for row in rows]}

    async def _read(self, query: dict[str, str]) -> dict[str, Any]:
        page = await self._store.read(
            query["table"],
            query.get("part", ""),
            query.get("from", ""),
            query.get("target", ""),
        )
        return {
            "rows": [_encode_row(row) for row in page.rows],
            "row_version": page.version,
            "has_more": False,
        }

    async def _list_parts(self, query: dict[str, str]) -> dict[str, Any]:
        found = await self._store.list_partitions(query["table"])
        names = [name for name in found if name > query.get("after", "")]
        return {"parts": names[:1000]}

    async def _follow(self, query: dict[str, str]) -> dict[str, Any]:
        wait = datetime.timedelta(milliseconds=int(query.get("wait_ms", "0")))
        page = await self._store.follow(
            query["table"], int(query["after"]), min(wait, _LONGEST_FEED)
        )
        return {
            "rows": [_encode_row(row) for row in page.rows],
            "row_version": page.version,
        }


class WorkerApi:
    """Serves the orders of one worker."""

    __slots__ = ("worker",)

    def __init__(self, worker: unit_worker.UnitWorker) -> None:
        self.worker = worker

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one order."""
        body = await asgi.read_body(receive, _BODY_LIMIT_BYTES)
        headers = asgi.decode_headers(scope)
        wanted = asgi.find_header(headers, "x-fireflywell-expected-instance")
        if wanted and wanted != self.worker.instance.instance_id:
            await asgi.send_json(send, 421, {"error": "another instance"})
            return
        try:
            answer = await self._serve(scope["path"], json.loads(body))
        except errors.AnswerLostError:
            await _wait_until_caller_leaves(receive)
            return
        except errors.PlatformError:
            await asgi.send_json(send, 503, {"error": "unhealthy"})
            return
        except (KeyError, ValueError, TypeError) as error:
            await asgi.send_json(send, 400, {"error": repr(error)})
            return
        match answer:
            case orders.WorkerReport():
                await asgi.send_json(send, 200, _encode_report(answer))
            case orders.Accepted(clock_ms=clock_ms):
                await asgi.send_json(send, 200, {"clock_ms": clock_ms})
            case orders.Refused(reason=reason):
                await asgi.send_json(send, 409, {"reason": str(reason)})
            case orders.Unhealthy():
                await asgi.send_json(send, 503, {"error": "unhealthy"})
            case orders.IncarnationMismatch():
                await asgi.send_json(send, 421, {"error": "another life"})

    async def _serve(
        self, path: str, item: dict[str, Any]
    ) -> orders.OrderOutcome | orders.WorkerReport:
        token = int(item.get("fencing_token") or 0)
        match path:
            case "/run-start":
                start = orders.StartOrder(
                    item["task"],
                    item["run"],
                    item["specification"],
                    item["deadline_ms"],
                    token,
                    item.get("checkpoint", ""),
                    item.get("ticket", ""),
                )
                return await self.worker.start(start)
            case "/run-stop":
                stop = orders.StopOrder(item["task"], item["run"], token)
                return await self.worker.stop(stop)
            case "/pace":
                throttle = orders.ThrottleOrder(
                    item["task"], item["run"], item["percent"], token
                )
                return await self.worker.throttle(throttle)
            case "/hold":
                wait = datetime.timedelta(milliseconds=item.get("wait_ms", 0))
                renew = orders.RenewOrder(
                    token,
                    int(item.get("last_seen") or 0),
                    item.get("deadline_ms"),
                    min(wait, _LONGEST_REPORT),
                )
                return await self.worker.renew(renew)
        raise ValueError(f"no such order: {path}")


async def _wait_until_caller_leaves(receive: asgi.Receive) -> None:
    """Gives no answer, as a connection whose answers are lost."""
    while (await receive())["type"] != "http.disconnect":
        pass


def _decode_place(item: dict[str, Any]) -> row_store.RowKey:
    return row_store.RowKey(item["table"], item.get("part", ""), item["key"])


def _encode_row(row: row_store.Row) -> dict[str, Any]:
    item: dict[str, Any] = {
        "table": row.row_key.table,
        "part": row.row_key.partition,
        "key": row.row_key.key,
        "value": base64.b64encode(row.value).decode("ascii"),
        "row_version": row.version,
    }
    if row.is_removed:
        item["deleted"] = True
    return item


def _encode_report(report: orders.WorkerReport) -> dict[str, Any]:
    return {
        "clock_ms": report.clock_ms,
        "born": report.started_unix_ms,
        "running": [
            [run.unit, run.run, run.checkpoint, run.percent, run.load]
            for run in report.running
        ],
        "ended": [
            [end.number, end.unit, end.run, str(end.kind), end.checkpoint]
            for end in report.ended
        ],
    }
