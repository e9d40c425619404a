"""A simulated worker that loses orders and carries them out late."""

import dataclasses
import random

import anyio
import anyio.abc

from fireflywell import errors
from fireflywell.scheduling import orders

# Time after which a lost order is carried out, in seconds; longer than a lease.
_LONGEST_DELAY_S = 1.5

_TIMEOUT_S = 0.03
_UNIT_DURATION_S = 0.05


class UnitCounts:
    """What all workers together have run.

    Attributes:
        violations: Units that ran twice at a time or again after their end.
    """

    def __init__(self) -> None:
        self._active: set[str] = set()
        self._done: set[str] = set()
        self.violations: list[str] = []

    def begin(self, unit: str) -> None:
        """Records the start of a unit."""
        if unit in self._active or unit in self._done:
            self.violations.append(unit)
        self._active.add(unit)

    def end(self, unit: str, kind: orders.EndKind) -> None:
        """Records the end of a unit's run."""
        self._active.discard(unit)
        if kind is orders.EndKind.DONE:
            self._done.add(unit)

    def void_end(self, unit: str) -> None:
        """Records that an end may be unknown: the worker's lease has lapsed."""
        self._done.discard(unit)


class LateWorker:
    """A worker's client and the worker behind it.

    A share of all calls has no answer. Such an order is carried out late, after
    newer ones, or not at all.

    Attributes:
        lease_ends: End of the lease in the start order of each run.
        listed: Runs that the last answered report lists.
        reported_clock_ms: Clock of the last answered report.
    """

    def __init__(
        self,
        counts: UnitCounts,
        group: anyio.abc.TaskGroup,
        rng: random.Random,
        lost_share: float,
    ) -> None:
        self._counts = counts
        self._group = group
        self._random = rng
        self._lost_share = lost_share
        self._running: dict[str, int] = {}
        # Highest run of each unit that was stopped or has ended.
        self._highest: dict[str, int] = {}
        self._ends: list[orders.EndReport] = []
        self._last_end = 0
        self._lease_until_ms = 0
        self.lease_ends: dict[tuple[str, int], int] = {}
        self.listed: set[tuple[str, int]] = set()
        self.reported_clock_ms = 0

    def read_clock_ms(self) -> int:
        """Returns the time on the worker's clock."""
        return int(anyio.current_time() * 1000)

    async def start(self, order: orders.StartOrder) -> orders.OrderOutcome:
        """Carries out a start now or late."""
        self.lease_ends[order.unit, order.run] = order.lease_until_ms
        if self._random.random() < self._lost_share:
            await self._lose(order)
        return self._begin(order)

    async def stop(self, order: orders.StopOrder) -> orders.OrderOutcome:
        """Carries out a stop now or late; a share of them is refused."""
        if self._random.random() < self._lost_share:
            await self._lose(order)
        if self._random.random() < self._lost_share:
            return orders.Refused(orders.Refusal.OTHER)
        return self._end_by_order(order)

    async def throttle(
        self, order: orders.ThrottleOrder
    ) -> orders.OrderOutcome:
        """Accepts a throttle, which has no effect."""
        del order
        return orders.Accepted(self.read_clock_ms())

    async def renew(
        self, order: orders.RenewOrder
    ) -> orders.WorkerReport | orders.OrderOutcome:
        """Extends the lease now or late, and reports."""
        await anyio.sleep(0.02)
        if self._random.random() < self._lost_share / 2:
            await self._lose(order)
        self._extend(order)
        report = orders.WorkerReport(
            self.read_clock_ms(),
            1,
            tuple(
                orders.RunReport(unit, run, "", 50, 0.0)
                for unit, run in self._running.items()
            ),
            tuple(self._ends),
        )
        self.reported_clock_ms = report.clock_ms
        self.listed = {(item.unit, item.run) for item in report.running}
        self.listed.update((item.unit, item.run) for item in report.ended)
        return report

    async def close(self) -> None:
        """Does nothing: there is no connection."""

    async def run(self) -> None:
        """Ends all runs whenever the lease has expired.

        The owner may start units again then whose end wasn't acknowledged.
        """
        while True:
            if self.read_clock_ms() > self._lease_until_ms:
                for unit in tuple(self._running):
                    self._end(unit, orders.EndKind.LAPSED)
                for end in self._ends:
                    self._counts.void_end(end.unit)
            await anyio.sleep(0.01)

    async def _lose(
        self, order: orders.StartOrder | orders.StopOrder | orders.RenewOrder
    ) -> None:
        if self._random.random() < 0.8:
            delay_s = self._random.uniform(0.01, _LONGEST_DELAY_S)
            self._group.start_soon(self._carry_out_late, order, delay_s)
        await anyio.sleep(_TIMEOUT_S)
        raise errors.AnswerLostError("the worker didn't answer")

    async def _carry_out_late(
        self,
        order: orders.StartOrder | orders.StopOrder | orders.RenewOrder,
        delay_s: float,
    ) -> None:
        await anyio.sleep(delay_s)
        match order:
            case orders.StartOrder():
                self._begin(order)
            case orders.StopOrder():
                self._end_by_order(order)
            case orders.RenewOrder():
                self._extend(
                    dataclasses.replace(order, last_acknowledged_end=0)
                )

    def _begin(self, order: orders.StartOrder) -> orders.OrderOutcome:
        if order.lease_until_ms <= self.read_clock_ms():
            return orders.Refused(orders.Refusal.LEASE_OVER)
        self._lease_until_ms = max(self._lease_until_ms, order.lease_until_ms)
        if order.run <= self._highest.get(order.unit, 0):
            return orders.Refused(orders.Refusal.OLD_RUN)
        if self._running.get(order.unit) != order.run:
            self._counts.begin(order.unit)
            self._running[order.unit] = order.run
            self._group.start_soon(self._work, order.unit, order.run)
        return orders.Accepted(self.read_clock_ms())

    async def _work(self, unit: str, run: int) -> None:
        await anyio.sleep(_UNIT_DURATION_S)
        if self._running.get(unit) == run:
            self._end(unit, orders.EndKind.DONE)

    def _end_by_order(self, order: orders.StopOrder) -> orders.OrderOutcome:
        if self._running.get(order.unit) == order.run:
            self._end(order.unit, orders.EndKind.STOPPED)
        self._highest[order.unit] = max(
            self._highest.get(order.unit, 0), order.run
        )
        return orders.Accepted(self.read_clock_ms())

    def _end(self, unit: str, kind: orders.EndKind) -> None:
        run = self._running.pop(unit)
        self._highest[unit] = max(self._highest.get(unit, 0), run)
        self._counts.end(unit, kind)
        self._last_end += 1
        self._ends.append(orders.EndReport(self._last_end, unit, run, kind, ""))

    def _extend(self, order: orders.RenewOrder) -> None:
        if order.lease_until_ms is not None:
            self._lease_until_ms = max(
                self._lease_until_ms, order.lease_until_ms
            )
        self._ends = [
            end
            for end in self._ends
            if end.number > order.last_acknowledged_end
        ]
