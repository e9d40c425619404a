"""In-memory worker that runs units under leases, with faults on demand."""

import dataclasses
import datetime

import anyio
import anyio.lowlevel

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.scheduling import orders
from fireflywell.scheduling import workers

# Units of a job whose specification begins so never end by themselves.
ENDLESS_PREFIX = "endless"
_ENDLESS_S = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class StartRecord:
    """A start that the worker carried out."""

    unit: str
    run: int
    token: int
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndRecord:
    """An end of a run.

    Attributes:
        unit: Name of the unit.
        run: Number of the run.
        kind: How it ended.
        number: Position in the worker's list of ends.
        at_s: Monotonic time.
    """

    unit: str
    run: int
    kind: orders.EndKind
    number: int
    at_s: float


class _ActiveRun:
    __slots__ = ("ends_at_s", "unit", "number")

    def __init__(self, unit: str, number: int, ends_at_s: float) -> None:
        self.unit = unit
        self.number = number
        self.ends_at_s = ends_at_s


class UnitWorker:
    """One incarnation of a worker; a `WorkerClient` without a connection.

    Attributes:
        instance: How the worker lists itself.
        run_s: How long a unit runs; None for units that never end.
        is_silent: Whether no order arrives and no answer is sent.
        lose_answers: How many of the next starts are carried out without an
            answer.
        delayed_starts: How many of the next starts get no answer and are
            carried out `delay_s` later.
        delayed_acknowledgements: How many of the next report requests that
            acknowledge ends get no answer and are carried out `delay_s` later.
        delay_s: Delay of those starts and report requests.
        refused_starts: How many of the starts after them are refused as by an
            unhealthy worker.
        fails: Whether every unit fails.
        starts: Starts that were carried out, in order.
        ends: Ends of runs, in order.
        noted: Highest number of ends that may be forgotten.
    """

    __slots__ = (
        "_active",
        "_started",
        "_changed",
        "_clock",
        "_count",
        "_delayed",
        "_ended",
        "_highest",
        "_lease_until_ms",
        "_token",
        "delay_s",
        "delayed_acknowledgements",
        "delayed_starts",
        "ends",
        "fails",
        "instance",
        "is_silent",
        "lose_answers",
        "noted",
        "refused_starts",
        "run_s",
        "starts",
    )

    def __init__(
        self,
        instance: workers.WorkerInstance,
        clock: clock_lib.Clock,
        run_s: float | None = 0.05,
    ) -> None:
        self.instance = instance
        self.run_s = run_s
        self.is_silent = False
        self.lose_answers = 0
        self.delayed_starts = 0
        self.delayed_acknowledgements = 0
        self.delay_s = 0.0
        self.refused_starts = 0
        self.fails = False
        self.starts: list[StartRecord] = []
        self.ends: list[EndRecord] = []
        self.noted = 0
        self._clock = clock
        self._started = clock.monotonic()
        self._active: dict[tuple[str, int], _ActiveRun] = {}
        # Orders to carry out later, by the monotonic time at which they are.
        self._delayed: list[
            tuple[float, orders.StartOrder | orders.RenewOrder]
        ] = []
        self._ended: list[orders.EndReport] = []
        self._highest: dict[str, int] = {}
        self._count = 0
        self._token = 0
        self._lease_until_ms = 0
        self._changed = anyio.Event()

    @property
    def active_units(self) -> list[str]:
        """Names of the units that run now."""
        self._end_due()
        return [run.unit for run in self._active.values()]

    def set_age(self, age: datetime.timedelta) -> None:
        """Sets the worker's clock as if it had started some time ago."""
        self._started = self._clock.monotonic() - age

    async def start(self, order: orders.StartOrder) -> orders.OrderOutcome:
        """Starts a unit; see `WorkerClient.start`."""
        await self._receive()
        if self.delayed_starts > 0:
            self.delayed_starts -= 1
            self._delayed.append((self._now_s() + self.delay_s, order))
            raise errors.AnswerLostError("the start is carried out later")
        if self.refused_starts > 0:
            self.refused_starts -= 1
            return orders.Unhealthy()
        start_count = len(self.starts)
        outcome = self._carry_out_start(order)
        if self.lose_answers > 0 and len(self.starts) > start_count:
            self.lose_answers -= 1
            raise errors.AnswerLostError("the answer was lost on purpose")
        return outcome

    def _carry_out_start(self, order: orders.StartOrder) -> orders.OrderOutcome:
        if order.fencing_token < self._token:
            return orders.Refused(orders.Refusal.FENCED)
        self._token = order.fencing_token
        self._end_due()
        self._lease_until_ms = max(self._lease_until_ms, order.lease_until_ms)
        key = (order.unit, order.run)
        if key in self._active:
            return orders.Accepted(self._read_clock_ms())
        if order.lease_until_ms <= self._read_clock_ms():
            return orders.Refused(orders.Refusal.LEASE_OVER)
        if order.run <= self._highest.get(order.unit, 0):
            return orders.Refused(orders.Refusal.OLD_RUN)
        now_s = self._now_s()
        run_s = self.run_s
        if run_s is None or order.specification.startswith(ENDLESS_PREFIX):
            run_s = _ENDLESS_S
        self._highest[order.unit] = order.run
        self._active[key] = _ActiveRun(order.unit, order.run, now_s + run_s)
        self.starts.append(
            StartRecord(order.unit, order.run, order.fencing_token, now_s)
        )
        self._signal()
        return orders.Accepted(self._read_clock_ms())

    async def stop(self, order: orders.StopOrder) -> orders.OrderOutcome:
        """Stops a run; see `WorkerClient.stop`."""
        await self._receive()
        if order.fencing_token < self._token:
            return orders.Refused(orders.Refusal.FENCED)
        self._end_due()
        known = self._highest.get(order.unit, 0)
        self._highest[order.unit] = max(known, order.run)
        if (order.unit, order.run) in self._active:
            self._end(
                order.unit, order.run, orders.EndKind.STOPPED, self._now_s()
            )
        return orders.Accepted(self._read_clock_ms())

    async def throttle(
        self, order: orders.ThrottleOrder
    ) -> orders.OrderOutcome:
        """Accepts any share; see `WorkerClient.throttle`."""
        del order
        await self._receive()
        return orders.Accepted(self._read_clock_ms())

    async def renew(
        self, order: orders.RenewOrder
    ) -> orders.WorkerReport | orders.OrderOutcome:
        """Extends leases and reports; see `WorkerClient.renew`."""
        await self._receive()
        if order.last_acknowledged_end and self.delayed_acknowledgements > 0:
            self.delayed_acknowledgements -= 1
            self._delayed.append((self._now_s() + self.delay_s, order))
            raise errors.AnswerLostError("the request is carried out later")
        if order.fencing_token < self._token:
            return orders.Refused(orders.Refusal.FENCED)
        self._carry_out_renewal(order)
        with anyio.move_on_after(order.wait.total_seconds()):
            while not self._ended:
                await self._wait_for_end()
        await self._receive()
        return orders.WorkerReport(
            self._read_clock_ms(),
            self.instance.started_unix_ms,
            tuple(
                orders.RunReport(run.unit, run.number, "", 100, 0.0)
                for run in self._active.values()
            ),
            tuple(self._ended),
        )

    def _carry_out_renewal(self, order: orders.RenewOrder) -> None:
        self._token = order.fencing_token
        self._end_due()
        if order.lease_until_ms is not None:
            self._lease_until_ms = max(
                self._lease_until_ms, order.lease_until_ms
            )
        self.noted = max(self.noted, order.last_acknowledged_end)
        self._ended = [e for e in self._ended if e.number > self.noted]

    async def close(self) -> None:
        """Does nothing: there is no connection."""

    def crash(self) -> None:
        """Ends all runs without a trace."""
        for run in self._active.values():
            self.ends.append(
                EndRecord(
                    run.unit,
                    run.number,
                    orders.EndKind.BROKEN,
                    0,
                    self._now_s(),
                )
            )
        self._active.clear()
        self._delayed = []
        self.is_silent = True

    def restart(self, *, keeps_late_orders: bool = False) -> None:
        """Begins another incarnation under the same id, without memory.

        Args:
            keeps_late_orders: Whether it carries out the orders that the
                former incarnation had yet to carry out.
        """
        delayed = self._delayed if keeps_late_orders else []
        self.crash()
        self._delayed = list(delayed)
        self.is_silent = False
        self.instance = dataclasses.replace(
            self.instance, started_unix_ms=self.instance.started_unix_ms + 1
        )
        self.noted = 0
        self._started = self._clock.monotonic()
        self._ended = []
        self._highest = {}
        self._count = 0
        self._token = 0
        self._lease_until_ms = 0

    async def _receive(self) -> None:
        await anyio.lowlevel.checkpoint()
        self._carry_out_delayed()
        if self.is_silent:
            await anyio.sleep(0.02)
            raise errors.PlatformUnavailableError("the worker is silent")

    def _carry_out_delayed(self) -> None:
        now_s = self._now_s()
        due = [order for at_s, order in self._delayed if at_s <= now_s]
        self._delayed = [item for item in self._delayed if item[0] > now_s]
        for order in due:
            match order:
                case orders.StartOrder():
                    self._carry_out_start(order)
                case orders.RenewOrder() if order.fencing_token >= self._token:
                    self._carry_out_renewal(order)

    async def _wait_for_end(self) -> None:
        self._carry_out_delayed()
        self._end_due()
        if self._ended:
            return
        due = [run.ends_at_s for run in self._active.values()]
        pause = min(due, default=self._now_s() + 0.05) - self._now_s()
        with anyio.move_on_after(max(0.001, min(pause, 0.05))):
            await self._changed.wait()
        self._end_due()

    def _end_due(self) -> None:
        now_s = self._now_s()
        lapse_s = (
            self._started.total_seconds() + (self._lease_until_ms - 1) / 1000
        )
        for run in tuple(self._active.values()):
            if run.ends_at_s <= min(now_s, lapse_s):
                kind = (
                    orders.EndKind.FAILED
                    if self.fails
                    else (orders.EndKind.DONE)
                )
                self._end(run.unit, run.number, kind, run.ends_at_s)
            elif lapse_s <= now_s:
                self._end(run.unit, run.number, orders.EndKind.LAPSED, lapse_s)

    def _end(
        self, unit: str, number: int, kind: orders.EndKind, at_s: float
    ) -> None:
        self._active.pop((unit, number), None)
        self._count += 1
        self._ended.append(
            orders.EndReport(self._count, unit, number, kind, "")
        )
        self.ends.append(EndRecord(unit, number, kind, self._count, at_s))
        self._signal()

    def _signal(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    def _read_clock_ms(self) -> int:
        elapsed = self._clock.monotonic() - self._started
        return int(elapsed / datetime.timedelta(milliseconds=1)) + 1

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()
