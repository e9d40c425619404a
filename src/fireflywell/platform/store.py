"""Client of the platform's metadata store; implements `RowStore`.

The protocol is in `coordination/row_store.py`.
"""

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

# A call usually takes 4 to 10 ms, up to 60 times as long if the store is slow.
_CALL_TIMEOUT = datetime.timedelta(milliseconds=1500)

_PARTITIONS_PER_PAGE = 1000

# Size of a page's JSON around the rows.
_ENVELOPE_BYTES = 1024

# Responses up to this size arrive soon after the store has set `now_ms` in
# them. The transfer of a larger one would delay the estimate of its clock.
_MAX_CLOCK_RESPONSE_BYTES = 16_384

# Limit of the store for the rows of one transaction.
MAX_TRANSACTION_ROWS = 100


class PlatformStore:
    """Reads, writes and follows rows of the platform's store over HTTP."""

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
        """Returns an estimate of the store's monotonic clock, in seconds."""
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
            answer = self._parse_response(response)
            rows = tuple(_decode_row(item) for item in answer.get("rows", ()))
            return row_store.Conflict(rows)
        answer = self._decode_response(response)
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
                # `target` is the exclusive end of the range of keys.
                query["target"] = end
            answer = await self._get("/rows-get", query)
            rows.extend(_decode_row(item) for item in answer["rows"])
            # The result has the version of the first page, so that a caller
            # that follows from it also gets the changes between two pages.
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
            # The limit applies to the response body, which holds the values
            # in base64.
            limit_bytes = limit_bytes * 4 // 3 + _ENVELOPE_BYTES
        try:
            answer = await self._get(
                "/rows-feed", query, wait + _CALL_TIMEOUT, limit_bytes
            )
        except errors.AnswerTooLargeError as error:
            self._metrics.count("node.store.backlogs")
            raise errors.BacklogTooLargeError(
                f"the changes of table {table} after version {after} exceed "
                f"the limit: {error}; read the table's rows instead"
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
        return self._decode_response(response)

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

    def _decode_response(self, response: http_client.Response) -> Any:
        if response.status == 200:
            return self._parse_response(response)
        if response.status == 410:
            raise errors.HistoryLostError(
                "the store no longer keeps the changes after the requested "
                "version; read the rows again"
            )
        if response.status in (429, 503):
            self._metrics.count("node.store.refused")
            raise errors.PlatformUnavailableError(
                f"the store rejected a call with status {response.status} and "
                "changed nothing; retry later"
            )
        raise errors.PlatformRejectedError(
            "the store returned unexpected status "
            f"{response.status}: {response.body[:200]!r}"
        )

    def _parse_response(self, response: http_client.Response) -> Any:
        try:
            answer = json.loads(response.body)
        except ValueError as error:
            raise errors.AnswerLostError(
                "the store's response isn't JSON; a write may have been applied"
            ) from error
        # `now_ms` is the time of the store's monotonic clock, in milliseconds.
        now_ms = answer.get("now_ms")
        is_fast = len(response.body) <= _MAX_CLOCK_RESPONSE_BYTES
        if isinstance(now_ms, int | float) and (
            is_fast or self._offset_s is None
        ):
            local = self._clock.monotonic().total_seconds()
            self._offset_s = now_ms / 1000 - local
        return answer


def _encode_transaction(transaction: row_store.Transaction) -> dict[str, Any]:
    return {
        "expected": [
            {**_encode_row_key(item.row_key), "row_version": item.version}
            for item in transaction.expected
        ],
        "puts": [
            {
                **_encode_row_key(item.row_key),
                "value": base64.b64encode(item.value).decode("ascii"),
            }
            for item in transaction.puts
        ],
        "remove": [_encode_row_key(item) for item in transaction.removes],
    }


def _encode_row_key(row_key: row_store.RowKey) -> dict[str, str]:
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
        # A row of another writer may hold any value. An empty value is invalid
        # in every table, so it is logged where the row is decoded.
        value = b""
    return row_store.Row(
        row_key,
        value,
        int(item.get("row_version", 0)),
        bool(item.get("deleted", False)),
    )
