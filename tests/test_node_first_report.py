"""Tests the requests for a worker's first report."""

import datetime
import unittest

import anyio

from fireflywell import errors
from fireflywell.node import first_report
from fireflywell.scheduling import orders

_ORDER = orders.RenewOrder(1, 0, None, datetime.timedelta())
_REPORT = orders.WorkerReport(1, 1, (), ())


class _Client:
    """A worker's client that leaves the next calls unanswered.

    Attributes:
        lost: Errors of the next calls, each raised after `delay_s`.
        delay_s: When a lost call is noticed.
        calls: Number of calls.
    """

    def __init__(self, *lost: errors.PlatformError) -> None:
        self.lost = list(lost)
        self.delay_s = 60.0
        self.calls = 0

    async def renew(self, order: orders.RenewOrder) -> orders.WorkerReport:
        """Reports, unless the call is lost."""
        del order
        self.calls += 1
        if self.lost:
            error = self.lost.pop(0)
            await anyio.sleep(self.delay_s)
            raise error
        return _REPORT


class FirstReportTest(unittest.TestCase):
    """Calls that are lost before a worker's first report."""

    def test_lost_call_delays_no_other(self) -> None:
        """Fails if the first report waits until a lost call is noticed."""
        client = _Client(errors.AnswerLostError("lost"))
        self.assertEqual(self._renew(client, 1), [_REPORT])
        self.assertEqual(client.calls, 2)

    def test_later_reports_are_requested_once(self) -> None:
        """Fails if a lease is granted more often than its session asked for."""
        client = _Client()
        self.assertEqual(self._renew(client, 2), [_REPORT, _REPORT])
        self.assertEqual(client.calls, 2)

        async def run() -> None:
            repeating = first_report.FirstReportClient(
                client  # type: ignore[arg-type]
            )
            await repeating.renew(_ORDER)
            client.lost = [errors.AnswerLostError("lost")]
            client.delay_s = 0.0
            with self.assertRaises(errors.AnswerLostError):
                await repeating.renew(_ORDER)

        anyio.run(run)
        self.assertEqual(client.calls, 4)

    def test_requests_to_a_silent_worker_are_few(self) -> None:
        """Fails if an unreachable worker is called without a bound."""
        client = _Client(*(errors.AnswerLostError("lost") for _ in range(9)))
        client.delay_s = 0.5
        with self.assertRaises(errors.AnswerLostError):
            self._renew(client, 1)
        self.assertEqual(client.calls, 3)

    def test_call_that_fails_at_once_is_not_repeated_at_once(self) -> None:
        """Fails if a worker that is down is called several times at once."""
        client = _Client(*(errors.AnswerLostError("lost") for _ in range(9)))
        client.delay_s = 0.0
        with self.assertRaises(errors.AnswerLostError):
            self._renew(client, 1)
        self.assertEqual(client.calls, 1)

    def _renew(
        self, client: _Client, times: int
    ) -> list[orders.WorkerReport | orders.OrderOutcome]:
        async def run() -> list[orders.WorkerReport | orders.OrderOutcome]:
            repeating = first_report.FirstReportClient(
                client  # type: ignore[arg-type]
            )
            with anyio.fail_after(20):
                return [await repeating.renew(_ORDER) for _ in range(times)]

        return anyio.run(run)


if __name__ == "__main__":
    unittest.main()
