"""HTTP client that sends orders to the platform's workers."""

from collections.abc import Iterator
import contextlib
import datetime
import json
from typing import Any

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import http_client
from fireflywell.platform import json_values
from fireflywell.scheduling import orders

# A worker returns this many ended runs at a time.
_ENDS_PER_REPORT = 500


class HttpWorkerClient:
    """Sends orders to one incarnation of a worker."""

    __slots__ = ("_client", "_headers")

    def __init__(
        self,
        instance_id: str,
        address: str,
        clock: clock_lib.Clock,
        max_connections: int,
    ) -> None:
        self._client = http_client.HttpClient(address, clock, max_connections)
        self._headers = f"X-Fireflywell-Expected-Instance: {instance_id}\r\n"

    async def start(self, order: orders.StartOrder) -> orders.OrderOutcome:
        """Starts a unit; see `WorkerClient.start`."""
        # `task` is the unit; `deadline_ms` is the end of the lease on the
        # worker's clock.
        document: dict[str, Any] = {
            "task": order.unit,
            "run": order.run,
            "specification": order.specification,
            "deadline_ms": order.lease_until_ms,
            "fencing_token": order.fencing_token,
        }
        if order.checkpoint:
            document["checkpoint"] = order.checkpoint
        if order.ticket:
            document["ticket"] = order.ticket
        return await self._send_order("/run-start", document, order.timeout)

    async def stop(self, order: orders.StopOrder) -> orders.OrderOutcome:
        """Stops a run; see `WorkerClient.stop`."""
        document = {
            "task": order.unit,
            "run": order.run,
            "fencing_token": order.fencing_token,
        }
        return await self._send_order(
            "/run-stop", document, orders.ORDER_TIMEOUT
        )

    async def throttle(
        self, order: orders.ThrottleOrder
    ) -> orders.OrderOutcome:
        """Sets the resource share of a filling run, in percent.

        See `WorkerClient.throttle`.
        """
        document = {
            "task": order.unit,
            "run": order.run,
            "percent": order.percent,
            "fencing_token": order.fencing_token,
        }
        return await self._send_order("/pace", document, orders.ORDER_TIMEOUT)

    async def renew(
        self, order: orders.RenewOrder
    ) -> orders.WorkerReport | orders.OrderOutcome:
        """Extends the leases of all runs and returns the worker's report.

        See `WorkerClient.renew`.
        """
        document: dict[str, Any] = {
            "fencing_token": order.fencing_token,
            # The worker deletes its ended runs up to this number.
            "last_seen": order.last_acknowledged_end,
        }
        if order.lease_until_ms is not None:
            document["deadline_ms"] = order.lease_until_ms
        wait_ms = int(order.wait.total_seconds() * 1000)
        if wait_ms:
            document["wait_ms"] = wait_ms
        response = await self._client.call(
            "POST",
            "/hold",
            json.dumps(document).encode(),
            order.wait + order.timeout,
            self._headers,
            connect_timeout=orders.REPORT_TIMEOUT,
        )
        if response.status != 200:
            return _decode_outcome(response)
        return _decode_report(response.body)

    async def close(self) -> None:
        """Closes the connections to the worker."""
        await self._client.close()

    async def _send_order(
        self, path: str, document: dict[str, Any], timeout: datetime.timedelta
    ) -> orders.OrderOutcome:
        response = await self._client.call(
            "POST",
            path,
            json.dumps(document).encode(),
            timeout,
            self._headers,
            connect_timeout=orders.ORDER_TIMEOUT,
        )
        return _decode_outcome(response)


def _decode_outcome(response: http_client.Response) -> orders.OrderOutcome:
    """Returns the outcome of an order.

    Raises:
        AnswerLostError: The response can't be read, or its status isn't one
            that a worker returns. The order may have been carried out.
    """
    match response.status:
        case 200:
            with _report_unreadable():
                item = json_values.parse_object(response.body)
                return orders.Accepted(_read_integer(item, "clock_ms"))
        case 409:
            with _report_unreadable():
                item = json_values.parse_object(response.body)
            try:
                reason = json_values.read_text(item.get("reason"), "reason")
                return orders.Refused(orders.Refusal(reason))
            except ValueError:
                return orders.Refused(orders.Refusal.OTHER)
        case 421:
            return orders.IncarnationMismatch()
        case 429 | 503:
            return orders.Unhealthy()
    raise errors.AnswerLostError(
        "a worker returned unexpected status "
        f"{response.status}: {response.body[:200]!r}"
    )


def _decode_report(body: bytes) -> orders.WorkerReport:
    """Decodes a report; one odd row makes the whole report unreadable.

    A run without its row would count as ended and would be started again.

    Raises:
        AnswerLostError: The report can't be read.
    """
    with _report_unreadable():
        item = json_values.parse_object(body)
        # `born` is the start of the incarnation, in Unix milliseconds.
        running = json_values.read_list(item.get("running"), "running", [])
        ended = json_values.read_list(item.get("ended"), "ended", [])
        return orders.WorkerReport(
            _read_integer(item, "clock_ms"),
            json_values.read_integer(item.get("born"), "born", 0),
            tuple(_decode_run(row) for row in running),
            tuple(_decode_end(row) for row in ended),
            has_all_ends=len(ended) < _ENDS_PER_REPORT,
        )


def _decode_run(row: Any) -> orders.RunReport:
    """Decodes a row [unit, run, checkpoint, percent, load].

    The load may be missing.
    """
    unit, run, checkpoint, percent, *rest = json_values.read_list(
        row, "running row", min_length=4
    )
    return orders.RunReport(
        json_values.read_text(unit, "unit"),
        json_values.read_integer(run, "run"),
        json_values.read_text(checkpoint, "checkpoint", ""),
        json_values.read_integer(percent, "percent"),
        json_values.read_number(rest[0] if rest else None, "load", 0.0),
    )


def _decode_end(row: Any) -> orders.EndReport:
    """Decodes a row [number, unit, run, kind, checkpoint]."""
    number, unit, run, kind, checkpoint, *_ = json_values.read_list(
        row, "ended row", min_length=5
    )
    return orders.EndReport(
        json_values.read_integer(number, "number"),
        json_values.read_text(unit, "unit"),
        json_values.read_integer(run, "run"),
        orders.EndKind(json_values.read_text(kind, "kind")),
        json_values.read_text(checkpoint, "checkpoint", ""),
    )


def _read_integer(item: dict[str, Any], key: str) -> int:
    return json_values.read_integer(item.get(key), key)


@contextlib.contextmanager
def _report_unreadable() -> Iterator[None]:
    """Raises `AnswerLostError` in place of a `ValueError`."""
    try:
        yield
    except ValueError as error:
        raise errors.AnswerLostError(
            f"a worker's response can't be read: {error}"
        ) from error
