"""Decides how a worker's reports are requested after lost answers."""

import dataclasses
import datetime

from fireflywell import clock as clock_lib
from fireflywell.node import answer_times
from fireflywell.scheduling import orders

# A worker with runs answers a report request after this time at the latest, or
# as soon as a run ends. It is also the interval of reports on load.
_WAIT = datetime.timedelta(milliseconds=900)

# After a lost answer, the wait is short for this time: a loss is noticed only
# after the wait, and ends that aren't reported hold room on the worker.
_SHORT_WAIT = datetime.timedelta(milliseconds=200)
_SHORT_WAIT_PERIOD = datetime.timedelta(seconds=3)


@dataclasses.dataclass(frozen=True, slots=True)
class ReportTiming:
    """Times of one report request.

    Attributes:
        wait: How long the worker may delay the report until a run ends.
        timeout: Time limit for the answer, beyond the wait.
    """

    wait: datetime.timedelta
    timeout: datetime.timedelta


class ReportSchedule:
    """Times of report requests, and whether the worker counts as silent."""

    __slots__ = (
        "_clock",
        "_losses",
        "_short_wait_until_s",
        "_timeout",
        "_times",
        "_unanswered_since_s",
    )

    def __init__(
        self, clock: clock_lib.Clock, times: answer_times.AnswerTimes
    ) -> None:
        self._clock = clock
        self._times = times
        # Time limit of the last request.
        self._timeout = orders.REPORT_TIMEOUT
        # Report requests without an answer since the last answer.
        self._losses = 0
        # Monotonic time of the first of them that no answer to an order
        # follows.
        self._unanswered_since_s: float | None = None
        # Monotonic time until which report requests have a short wait.
        self._short_wait_until_s = 0.0

    def choose_timing(self, is_idle: bool) -> ReportTiming:
        """Returns the times of the next request.

        The repeat of a request without an answer asks for no wait, and so does
        a request to a worker without runs.
        """
        timeout = self._times.choose_timeout(
            self._losses, orders.REPORT_TIMEOUT
        )
        self._timeout = timeout
        if self._losses or is_idle:
            return ReportTiming(datetime.timedelta(), timeout)
        is_short = self._now_s() < self._short_wait_until_s
        return ReportTiming(_SHORT_WAIT if is_short else _WAIT, timeout)

    def is_answering(self, order_answered_s: float) -> bool:
        """Returns whether no report is missing or an order was answered since.

        Args:
            order_answered_s: Monotonic time of the last answer to an order.
        """
        return (
            self._unanswered_since_s is None
            or order_answered_s >= self._unanswered_since_s
        )

    def record_answer(
        self, requested_s: float, wait: datetime.timedelta
    ) -> None:
        """Records that the worker answered a report request.

        Args:
            requested_s: Monotonic time of the request.
            wait: How long the worker could delay the answer.
        """
        if not wait:
            self._times.record(self._now_s() - requested_s)
        self._losses = 0
        self._unanswered_since_s = None

    def record_loss(self, requested_s: float, order_answered_s: float) -> bool:
        """Records a report request without an answer.

        One lost answer says little about the worker.

        Args:
            requested_s: Monotonic time of the request.
            order_answered_s: Monotonic time of the last answer to an order.

        Returns:
            Whether two or more requests in a row had no answer for the longest
            time limit, and no order was answered since the first of them.
        """
        now_s = self._now_s()
        self._losses += 1
        self._times.record_loss(self._timeout, orders.REPORT_TIMEOUT)
        self._short_wait_until_s = now_s + _SHORT_WAIT_PERIOD.total_seconds()
        since_s = self._unanswered_since_s
        if since_s is None or self.is_answering(order_answered_s):
            self._unanswered_since_s = requested_s
            return False
        return now_s - since_s >= orders.REPORT_TIMEOUT.total_seconds()

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()
