"""The platform's metadata store as a `coordination.row_store.RowStore`."""

import base64
import datetime
import json
from typing import Any
import urllib.parse

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import http_client
from fireflywell.coordination import row_store
from fireflywell.telemetry import metrics as metrics_lib

# A call takes about 4 to 10 ms; a slow store takes up to 60 times as long.
_CALL_TIMEOUT = datetime.timedelta(milliseconds=1500)

_PARTITIONS_PER_PAGE = 1000

# What the store writes around the rows of a page.
_ENVELOPE_BYTES = 1024

# Answers up to this size arrive soon after the store has written their time.
_CLOCK_ANSWER_BYTES = 16_384

# Rows that one transaction of the store may hold.
MAXIMUM_ENTRIES = 100


class PlatformStore:
    """Rows of the platform's store, reached over HTTP."""

    __slots__ = ("_client", "_clock", "_metrics", "_offset_s")

    def __init__(
        self,
        client: http_client.HttpClient,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._client = client
        self._metrics = metrics
        self._clock = clock
        self._offset_s: float | None = None

    def now_s(self) -> float:
        """Returns an estimate of the store's steady clock, in seconds."""
        return self._clock.monotonic().total_seconds() + (self._offset_s or 0.0)

    async def transact(
        self,
        transaction: row_store.Transaction,
        timeout: datetime.timedelta | None = None,
    ) -> row_store.Committed | row_store.Conflict:
        """Applies a transaction; see `RowStore.transact`."""
        body = json.dumps(_encode_transaction(transaction)).encode()
        response = await self._call(
            "POST", "/rows-tx", body, timeout or _CALL_TIMEOUT
        )
        self._metrics.record_duration("node.store.transact", response.elapsed)
        if response.status == 412:
            answer = self._parse(response)
            rows = tuple(_decode_row(item) for item in answer.get("rows", ()))
            return row_store.Conflict(rows)
        answer = self._read_answer(response)
        return row_store.Committed(int(answer["row_version"]))

    async def read(
        self, table: str, partition: str, first: str = "", end: str = ""
    ) -> row_store.Page:
        """Reads the rows of a partition; see `RowStore.read`."""
        rows: list[row_store.Row] = []
        version = 0
        while True:
            query = {"table": table, "part": partition}
            if first:
                query["from"] = first
            if end:
                query["target"] = end
            answer = await self._get("/rows-get", query)
            rows.extend(_decode_row(item) for item in answer["rows"])
            # Changes between two pages are seen again by following from the
            # version of the first one.
            version = version or int(answer["row_version"])
            if not answer["has_more"]:
                return row_store.Page(tuple(rows), version)
            first = rows[-1].row_key.key + "\x00"

    async def list_partitions(self, table: str) -> tuple[str, ...]:
        """Lists the partitions of a table; see `RowStore.list_partitions`."""
        names: list[str] = []
        while True:
            query = {"table": table}
            if names:
                query["after"] = names[-1]
            answer = await self._get("/rows-parts", query)
            page = [str(name) for name in answer["parts"]]
            names.extend(page)
            if len(page) < _PARTITIONS_PER_PAGE:
                return tuple(names)

    async def follow(
        self,
        table: str,
        after: int,
        wait: datetime.timedelta,
        limit_bytes: int | None = None,
    ) -> row_store.Page:
        """Returns the changes of a table; see `RowStore.follow`."""
        wait_ms = int(wait.total_seconds() * 1000)
        query = {"table": table, "after": str(after), "wait_ms": str(wait_ms)}
        if limit_bytes is not None:
            # Values are sent in base64.
            limit_bytes = limit_bytes * 4 // 3 + _ENVELOPE_BYTES
        try:
            answer = await self._get(
                "/rows-feed", query, wait + _CALL_TIMEOUT, limit_bytes
            )
        except errors.AnswerTooLargeError as error:
            self._metrics.count("node.store.backlogs")
            raise errors.BacklogTooLargeError(
                f"the changes of table {table} after {after}: {error}; read "
                "the rows instead"
            ) from error
        rows = tuple(_decode_row(item) for item in answer["rows"])
        return row_store.Page(rows, int(answer["row_version"]))

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        timeout: datetime.timedelta = _CALL_TIMEOUT,
        limit_bytes: int | None = None,
    ) -> Any:
        response = await self._call(
            "GET",
            f"{path}?{urllib.parse.urlencode(query)}",
            b"",
            timeout,
            limit_bytes,
        )
        return self._read_answer(response)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: datetime.timedelta,
        limit_bytes: int | None = None,
    ) -> http_client.Response:
        self._metrics.count("node.store.calls")
        try:
            return await self._client.call(
                method, path, body, timeout, limit_bytes=limit_bytes
            )
        except errors.PlatformUnavailableError:
            self._metrics.count("node.store.unreachable")
            raise
        except errors.AnswerLostError:
            self._metrics.count("node.store.answers_lost")
            raise

    def _read_answer(self, response: http_client.Response) -> Any:
        if response.status == 200:
            return self._parse(response)
        if response.status == 410:
            raise errors.HistoryLostError(
                "the store dropped the changes after this version; read the "
                "rows again"
            )
        if response.status in (429, 503):
            self._metrics.count("node.store.refused")
            raise errors.PlatformUnavailableError(
                f"the store refused a call with status {response.status}"
            )
        raise errors.PlatformRejectedError(
            f"the store answered {response.status}: {response.body[:200]!r}"
        )

    def _parse(self, response: http_client.Response) -> Any:
        try:
            answer = json.loads(response.body)
        except ValueError as error:
            raise errors.AnswerLostError(
                "the store's answer isn't JSON"
            ) from error
        # The store's steady clock, in milliseconds.
        now_ms = answer.get("now_ms")
        is_prompt = len(response.body) <= _CLOCK_ANSWER_BYTES
        if isinstance(now_ms, int | float) and (
            is_prompt or self._offset_s is None
        ):
            local = self._clock.monotonic().total_seconds()
            self._offset_s = now_ms / 1000 - local
        return answer


def _encode_transaction(transaction: row_store.Transaction) -> dict[str, Any]:
    return {
        "expected": [
            {**_encode_place(item.row_key), "row_version": item.version}
            for item in transaction.expected
        ],
        "puts": [
            {
                **_encode_place(item.row_key),
                "value": base64.b64encode(item.value).decode("ascii"),
            }
            for item in transaction.puts
        ],
        "remove": [_encode_place(item) for item in transaction.removes],
    }


def _encode_place(row_key: row_store.RowKey) -> dict[str, str]:
    return {
        "table": row_key.table,
        "part": row_key.partition,
        "key": row_key.key,
    }


def _decode_row(item: dict[str, Any]) -> row_store.Row:
    row_key = row_store.RowKey(item["table"], item.get("part", ""), item["key"])
    try:
        value = base64.b64decode(item.get("value") or "")
    except ValueError:
        # Other writers' rows may hold anything; an empty value is malformed
        # for every table and is logged where the row is decoded.
        value = b""
    return row_store.Row(
        row_key,
        value,
        int(item.get("row_version", 0)),
        bool(item.get("deleted", False)),
    )
