"""Workers of the emulator: rules of leases; late, rejected, lost orders."""

import dataclasses
import datetime
import json
import random

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell.scheduling import orders
from fireflywell.scheduling import workers as workers_lib
from fireflywell.standins import emulator_values as values
from fireflywell.standins import platform_api
from fireflywell.standins import unit_worker
from fireflywell.telemetry import logs

_BODY_LIMIT_BYTES = 1024 * 1024

# The users' platform may carry out a call without an answer seconds later. Most
# of these delays are shorter than the longest lease, so that starts still take
# effect; the others show that a start after its lease is refused.
_SHORTEST_DELAY_S = 2.0
_LONGEST_DELAY_S = 12.0


class WorkerIncarnation(unit_worker.UnitWorker):
    """One incarnation of a worker, which shortens long leases.

    A lease is at most `max_hold` long: an order for the former incarnation
    under the same id names a time on that one's clock, which may be far ahead.

    Attributes:
        begun_s: Monotonic time at which it began.
        leaving_s: When it said that it leaves, or None.
        ended_s: When it ended, or None.
    """

    __slots__ = (
        "_forfeited",
        "_max_hold_ms",
        "begun_s",
        "ended_s",
        "leaving_s",
    )

    def __init__(
        self,
        instance: workers_lib.WorkerInstance,
        clock: clock_lib.Clock,
        run_s: float,
        max_hold: datetime.timedelta,
    ) -> None:
        super().__init__(instance, clock, run_s)
        self._max_hold_ms = int(max_hold / datetime.timedelta(milliseconds=1))
        self._forfeited: set[int] = set()
        self.begun_s = clock.monotonic().total_seconds()
        self.leaving_s: float | None = None
        self.ended_s: float | None = None

    def is_noted(self, end: unit_worker.EndRecord) -> bool:
        """Returns whether an owner has taken note of an end in time.

        An end that was acknowledged only after the worker's lease had lapsed
        doesn't count: by then its unit may have been started elsewhere.
        """
        return 0 < end.number <= self.noted and (
            end.number not in self._forfeited
        )

    async def start(self, order: orders.StartOrder) -> orders.OrderOutcome:
        """Starts a unit; see `WorkerClient.start`."""
        self._forfeit_lapsed_ends()
        lease_until_ms = min(order.lease_until_ms, self._limit_lease())
        return await super().start(
            dataclasses.replace(order, lease_until_ms=lease_until_ms)
        )

    async def renew(
        self, order: orders.RenewOrder
    ) -> orders.WorkerReport | orders.OrderOutcome:
        """Extends leases and reports; see `WorkerClient.renew`."""
        self._forfeit_lapsed_ends()
        is_accepted = order.fencing_token >= self._token
        if is_accepted and order.last_acknowledged_end > self._count:
            # The number is of a former incarnation; ends up to it will be
            # forgotten.
            logs.log_event(
                "emulator.foreign_acknowledgement",
                worker=self.instance.instance_id,
                last_seen=order.last_acknowledged_end,
                ends=self._count,
                at_s=round(self._now_s(), 3),
            )
        if order.lease_until_ms is not None:
            lease_until_ms = min(order.lease_until_ms, self._limit_lease())
            order = dataclasses.replace(order, lease_until_ms=lease_until_ms)
        return await super().renew(order)

    def crash(self) -> None:
        """Ends all runs without a trace."""
        # Runs that were over before are recorded with their own ends.
        self._end_due()
        if self.ended_s is None:
            self.ended_s = self._now_s()
        super().crash()

    def _limit_lease(self) -> int:
        return self._read_clock_ms() + self._max_hold_ms

    def _forfeit_lapsed_ends(self) -> None:
        self._end_due()
        if self._read_clock_ms() >= self._lease_until_ms:
            self._forfeited.update(range(self.noted + 1, self._count + 1))


OrderFault = values.OrdersLate | values.OrdersRejected | values.OrdersLost


class FaultyWorkerApi(platform_api.WorkerApi):
    """Serves the orders of one worker, some of them late or not at all.

    Attributes:
        faults: Faults that apply now. An order meets the first one whose share
            it falls into.
        held: Starts that were lost or late.
    """

    __slots__ = ("_clock", "_random", "faults", "held")

    def __init__(
        self,
        worker: WorkerIncarnation,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        super().__init__(worker)
        self._clock = clock
        self._random = rng
        self.faults: list[OrderFault] = []
        self.held: list[values.StartHeld] = []

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one order."""
        match self._choose_fault(scope["path"]):
            case values.OrdersLate():
                await self._serve_late(scope, receive)
            case values.OrdersLost():
                self._record_held(scope, await _read(receive))
                await _wait_until_caller_leaves(receive)
            case values.OrdersRejected():
                body = await _read(receive)
                status = self._random.choice((429, 503))
                self._log("emulator.order_rejected", scope, body, status)
                await asgi.send_json(send, status, {"error": "unhealthy"})
            case None:
                await super().__call__(scope, receive, send)

    def _choose_fault(self, path: str) -> OrderFault | None:
        for fault in self.faults:
            share = fault.report_share if path == "/hold" else fault.share
            if self._random.random() < share:
                return fault
        return None

    async def _serve_late(
        self, scope: asgi.Scope, receive: asgi.Receive
    ) -> None:
        incarnation = self.worker
        body = await _read(receive)
        self._record_held(scope, body)
        delay_s = self._random.triangular(
            _SHORTEST_DELAY_S, _LONGEST_DELAY_S, _SHORTEST_DELAY_S
        )
        await self._clock.sleep(datetime.timedelta(seconds=delay_s))
        # The worker has lost what waited there if it ended in the meantime.
        if self.worker is incarnation:
            exchange = _UnansweredExchange(body)
            await super().__call__(scope, exchange.receive, exchange.send)
            self._log("emulator.order_late", scope, body, exchange.status)
        await _wait_until_caller_leaves(receive)

    def _record_held(self, scope: asgi.Scope, body: bytes) -> None:
        if scope["path"] == "/run-start":
            at_s = self._clock.monotonic().total_seconds()
            unit = str(json.loads(body)["task"])
            self.held.append(values.StartHeld(unit, at_s))

    def _log(
        self, event: str, scope: asgi.Scope, body: bytes, status: int
    ) -> None:
        logs.log_event(
            event,
            worker=self.worker.instance.instance_id,
            path=scope["path"],
            body=body.decode(errors="replace"),
            status=status,
            at_s=round(self._clock.monotonic().total_seconds(), 3),
        )


class _UnansweredExchange:
    """A request whose caller has left; keeps the status of the answer."""

    __slots__ = ("_messages", "status")

    def __init__(self, body: bytes) -> None:
        self._messages = [{"type": "http.request", "body": body}]
        self.status = 0

    async def receive(self) -> asgi.Message:
        """Returns the body, then that the caller has left."""
        if self._messages:
            return self._messages.pop()
        return {"type": "http.disconnect"}

    async def send(self, message: asgi.Message) -> None:
        """Drops the answer."""
        self.status = message.get("status", self.status)


async def _read(receive: asgi.Receive) -> bytes:
    return await asgi.read_body(receive, _BODY_LIMIT_BYTES)


async def _wait_until_caller_leaves(receive: asgi.Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
