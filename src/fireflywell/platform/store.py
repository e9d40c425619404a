"""Client of the platform's metadata store; implements `RowStore`.

The protocol is in `coordination/row_store.py`.
"""

import base64
from collections.abc import Iterator
import contextlib
import datetime
import json
from typing import Any
import urllib.parse

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import http_client
from fireflywell.coordination import row_store
from fireflywell.platform import json_values
from fireflywell.platform import store_clock
from fireflywell.platform import store_versions
from fireflywell.telemetry import metrics as metrics_lib

# A call usually takes 4 to 10 ms, up to 60 times as long if the store is slow.
_CALL_TIMEOUT = datetime.timedelta(milliseconds=1500)

_PARTITIONS_PER_PAGE = 1000

_FOLLOW_PATH = "/rows-feed"

# Size of a page's JSON around the rows.
_ENVELOPE_BYTES = 1024

# Responses up to this size arrive soon after the store has set `now_ms` in
# them. The transfer of a larger one would delay the estimate of its clock.
_MAX_CLOCK_RESPONSE_BYTES = 16_384

# Statuses of calls that the store refuses to carry out as they are. Any other
# unexpected one may come from a proxy that has passed the call on: 408 and 502,
# for instance.
_REJECTIONS = frozenset(
    (400, 401, 403, 404, 405, 410, 411, 413, 414, 422, 431, 507)
)

# Limit of the store for the rows of one transaction.
MAX_TRANSACTION_ROWS = 100


class PlatformStore:
    """Reads, writes and follows rows of the platform's store over HTTP."""

    __slots__ = ("_client", "_clock", "_metrics", "_store_clock", "_versions")

    def __init__(
        self,
        client: http_client.HttpClient,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._client = client
        self._metrics = metrics
        self._clock = clock
        self._store_clock = store_clock.StoreClock()
        self._versions = store_versions.StoreVersions(metrics)

    @property
    def newest_version(self) -> int:
        """The newest version of the store that any answer has shown."""
        return self._versions.newest

    def now_s(self) -> float:
        """Returns an estimate of the store's monotonic clock, in seconds."""
        return self._store_clock.estimate_s(self._clock.monotonic())

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
            self._versions.observe(answer)
            with _report_unreadable():
                rows = _decode_rows(answer, [])
            # Rows that don't exist may be listed, too, without a version.
            return row_store.Conflict(
                tuple(row for row in rows if row.version and not row.is_removed)
            )
        answer = self._decode_response(response)
        self._versions.observe(answer)
        with _report_unreadable():
            return row_store.Committed(_read_version(answer))

    async def read(
        self,
        table: str,
        partition: str,
        first: str = "",
        end: str = "",
        at_least: int = 0,
    ) -> row_store.Page:
        """Reads the rows of a partition; see `RowStore.read`."""
        rows: list[row_store.Row] = []
        version: int | None = None
        while True:
            query = {"table": table, "part": partition}
            if first:
                query["from"] = first
            if end:
                # `target` is the exclusive end of the range of keys.
                query["target"] = end
            answer = await self._get("/rows-get", query)
            with _report_unreadable():
                has_more = _read_flag(answer, "has_more")
                rows.extend(_decode_rows(answer, min_length=int(has_more)))
                found = _read_version(answer)
            row_store.check_version(found, at_least, table, partition)
            # A caller that follows from the earliest version also gets the
            # changes that another page doesn't show.
            version = found if version is None else min(version, found)
            if not has_more:
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
            with _report_unreadable():
                page = json_values.read_texts(answer.get("parts"), "parts")
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
                _FOLLOW_PATH, query, wait + _CALL_TIMEOUT, limit_bytes
            )
        except errors.AnswerTooLargeError as error:
            self._metrics.count("node.store.backlogs")
            raise errors.BacklogTooLargeError(
                f"the changes of table {table} after version {after} exceed "
                f"the limit: {error}; read the table's rows instead"
            ) from error
        with _report_unreadable():
            return row_store.Page(_decode_rows(answer), _read_version(answer))

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        timeout: datetime.timedelta = _CALL_TIMEOUT,
        limit_bytes: int | None = None,
    ) -> dict[str, Any]:
        known = self._versions.newest
        response = await self._call(
            "GET",
            f"{path}?{urllib.parse.urlencode(query, errors='surrogatepass')}",
            b"",
            timeout,
            limit_bytes,
        )
        if path == _FOLLOW_PATH and response.status == 410:
            raise errors.HistoryLostError(
                "the store no longer keeps the changes after the requested "
                "version; read the rows again"
            )
        answer = self._decode_response(response)
        self._versions.observe_read(
            answer, query["table"], query.get("part", ""), known
        )
        return answer

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

    def _decode_response(
        self, response: http_client.Response
    ) -> dict[str, Any]:
        if response.status == 200:
            return self._parse_response(response)
        if response.status in (429, 503):
            self._metrics.count("node.store.refused")
            raise errors.PlatformUnavailableError(
                f"the store rejected a call with status {response.status} and "
                "changed nothing; retry later"
            )
        text = (
            "the store returned unexpected status "
            f"{response.status}: {response.body[:200]!r}"
        )
        if response.status in _REJECTIONS:
            raise errors.PlatformRejectedError(text)
        self._metrics.count("node.store.answers_lost")
        raise errors.AnswerLostError(f"{text}; a write may have been applied")

    def _parse_response(self, response: http_client.Response) -> dict[str, Any]:
        # `now_ms` is the time of the store's monotonic clock, in milliseconds.
        with _report_unreadable():
            answer = json_values.parse_object(response.body)
            now_ms = json_values.read_number(answer.get("now_ms"), "now_ms", -1)
        is_fast = len(response.body) <= _MAX_CLOCK_RESPONSE_BYTES
        # The time in an answer that shows an earlier state may be of then.
        is_usable = is_fast and not self._versions.is_behind(answer)
        if now_ms >= 0 and (is_usable or not self._store_clock.is_known):
            self._store_clock.observe(now_ms / 1000, self._clock.monotonic())
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


def _decode_rows(
    answer: dict[str, Any],
    default: list[Any] | None = None,
    min_length: int = 0,
) -> tuple[row_store.Row, ...]:
    items = json_values.read_list(
        answer.get("rows"), "rows", default, min_length
    )
    return tuple(
        _decode_row(json_values.read_object(item, "row")) for item in items
    )


def _decode_row(item: dict[str, Any]) -> row_store.Row:
    row_key = row_store.RowKey(
        _read_key(item, "table"),
        _read_key(item, "part"),
        _read_key(item, "key"),
    )
    try:
        value = base64.b64decode(item.get("value") or "")
    except (ValueError, TypeError):
        # A row of another writer may hold any value. An empty value is invalid
        # in every table, so it is logged where the row is decoded.
        value = b""
    return row_store.Row(
        row_key,
        value,
        json_values.read_integer(item.get("row_version"), "row_version", 0),
        bool(item.get("deleted", False)),
    )


def _read_key(item: dict[str, Any], field: str) -> str:
    """Returns a part of a row's key.

    It may hold half of a surrogate pair, if another writer put it there. Where
    keys are used, such a row is left out; here it must not fail its page.
    """
    text = item.get(field, "" if field == "part" else None)
    if not isinstance(text, str):
        raise ValueError(f"{field} isn't a text")
    return text


def _read_flag(answer: dict[str, Any], field: str) -> bool:
    value = answer.get(field)
    if not isinstance(value, bool):
        raise ValueError(f"{field} isn't true or false")
    return value


def _read_version(answer: dict[str, Any]) -> int:
    return json_values.read_integer(answer.get("row_version"), "row_version")


@contextlib.contextmanager
def _report_unreadable() -> Iterator[None]:
    """Raises `AnswerLostError` in place of a `ValueError`."""
    try:
        yield
    except ValueError as error:
        raise errors.AnswerLostError(
            f"the store's response can't be read: {error}; a write may have "
            "been applied"
        ) from error
