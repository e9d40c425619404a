"""HTTP client that sends orders to the platform's workers."""

import datetime
import json
from typing import Any

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import http_client
from fireflywell.scheduling import orders

# A worker usually answers an order within a few milliseconds.
_ORDER_TIMEOUT = datetime.timedelta(milliseconds=700)

# Added to the time for which the worker may hold back its report until a run
# ends.
_REPORT_TIMEOUT = datetime.timedelta(milliseconds=1200)


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
        return await self._send_order("/run-start", document)

    async def stop(self, order: orders.StopOrder) -> orders.OrderOutcome:
        """Stops a run; see `WorkerClient.stop`."""
        document = {
            "task": order.unit,
            "run": order.run,
            "fencing_token": order.fencing_token,
        }
        return await self._send_order("/run-stop", document)

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
        return await self._send_order("/pace", document)

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
            order.wait + _REPORT_TIMEOUT,
            self._headers,
        )
        if response.status != 200:
            return _decode_outcome(response)
        return _decode_report(response.body)

    async def close(self) -> None:
        """Closes the connections to the worker."""
        await self._client.close()

    async def _send_order(
        self, path: str, document: dict[str, Any]
    ) -> orders.OrderOutcome:
        response = await self._client.call(
            "POST",
            path,
            json.dumps(document).encode(),
            _ORDER_TIMEOUT,
            self._headers,
        )
        return _decode_outcome(response)


def _decode_outcome(response: http_client.Response) -> orders.OrderOutcome:
    match response.status:
        case 200:
            return orders.Accepted(int(_parse_body(response.body)["clock_ms"]))
        case 409:
            reason = _parse_body(response.body).get("reason", "")
            try:
                return orders.Refused(orders.Refusal(reason))
            except ValueError:
                return orders.Refused(orders.Refusal.OTHER)
        case 421:
            return orders.IncarnationMismatch()
        case 429 | 503:
            return orders.Unhealthy()
    raise errors.PlatformRejectedError(
        "a worker returned unexpected status "
        f"{response.status}: {response.body[:200]!r}"
    )


def _decode_report(body: bytes) -> orders.WorkerReport:
    item = _parse_body(body)
    # Rows of [unit, run, checkpoint, percent, load]; `load` may be missing.
    running = tuple(
        orders.RunReport(
            row[0],
            int(row[1]),
            row[2] or "",
            int(row[3]),
            float(row[4]) if len(row) > 4 and row[4] is not None else 0.0,
        )
        for row in item.get("running") or ()
    )
    # Rows of [number, unit, run, kind, checkpoint].
    ended = tuple(
        orders.EndReport(
            int(row[0]), row[1], int(row[2]), orders.EndKind(row[3]), row[4]
        )
        for row in item.get("ended") or ()
    )
    # `born` is the start of the incarnation, in Unix milliseconds.
    return orders.WorkerReport(
        int(item["clock_ms"]), int(item.get("born") or 0), running, ended
    )


def _parse_body(body: bytes) -> Any:
    try:
        return json.loads(body)
    except ValueError as error:
        raise errors.AnswerLostError(
            "a worker's response isn't JSON"
        ) from error
