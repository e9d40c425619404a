"""When a worker's reports are requested again, and when it counts as silent."""

import datetime
import unittest

from fireflywell import clock as clock_lib
from fireflywell.node import answer_times
from fireflywell.node import report_schedule
from fireflywell.scheduling import orders

_NEVER = float("-inf")
_NO_WAIT = datetime.timedelta()


class ReportScheduleTest(unittest.TestCase):
    """Report requests with and without answers."""

    def setUp(self) -> None:
        """Builds the schedule of a worker that answers."""
        self.clock = clock_lib.ManualClock()
        self.times = answer_times.AnswerTimes(self.clock)
        self.times.record(0.002)
        self.schedule = report_schedule.ReportSchedule(self.clock, self.times)

    def now_s(self) -> float:
        """Returns the monotonic time."""
        return self.clock.monotonic().total_seconds()

    def lose(self, seconds: float, answered_s: float = _NEVER) -> bool:
        """Records a request that had no answer for some time."""
        requested_s = self.now_s()
        self.clock.advance(datetime.timedelta(seconds=seconds))
        return self.schedule.record_loss(requested_s, answered_s)

    def test_lost_answers_are_noticed_soon(self) -> None:
        """Fails if ends stay unreported because a lost answer is waited for.

        Runs that have ended kept other units off the worker for 2 s for each
        lost answer.
        """
        usual = self.schedule.choose_timing(is_idle=False)
        self.lose(1.0)
        repeat = self.schedule.choose_timing(is_idle=False)
        self.assertEqual(repeat.wait, _NO_WAIT)
        self.schedule.record_answer(self.now_s(), _NO_WAIT)
        after = self.schedule.choose_timing(is_idle=False)
        self.assertLess(after.wait, usual.wait)
        self.clock.advance(datetime.timedelta(seconds=10))
        self.assertEqual(self.schedule.choose_timing(is_idle=False), usual)

    def test_time_limit_follows_the_answers(self) -> None:
        """Fails if a busy worker or node is asked again before it can answer.

        The repeats made a busy owner slower still, so that it lost sound
        workers.
        """
        usual = self.schedule.choose_timing(is_idle=True).timeout
        self.assertEqual(usual, orders.REPORT_TIMEOUT)
        self.lose(usual.total_seconds())
        quick = self.schedule.choose_timing(is_idle=True).timeout
        for _ in range(20):
            self.times.record(0.4)
        slow = self.schedule.choose_timing(is_idle=True).timeout
        self.assertLess(quick.total_seconds(), 0.4)
        self.assertGreater(slow.total_seconds(), 0.4)
        fresh = answer_times.AnswerTimes(self.clock)
        self.assertEqual(
            fresh.choose_timeout(0, orders.ORDER_TIMEOUT), orders.ORDER_TIMEOUT
        )

    def test_slow_worker_gets_time_to_answer(self) -> None:
        """Fails if a slow worker's answers are never waited for."""
        timeouts = []
        for _ in range(9):
            timing = self.schedule.choose_timing(is_idle=False)
            timeouts.append(timing.timeout)
            self.lose(timing.timeout.total_seconds())
        # The first and each fourth one.
        self.assertEqual(timeouts.count(orders.REPORT_TIMEOUT), 3)

    def test_busy_node_does_not_repeat_its_calls(self) -> None:
        """Fails if late answers are taken as lost on a calm day.

        In a burst the owner uses its whole core and reads answers late; the
        repeats of its calls made it slower still.
        """
        self.lose(0.4)
        for _ in range(4):
            self.schedule.record_answer(self.now_s() - 0.3, _NO_WAIT)
        self.clock.advance(datetime.timedelta(seconds=5))
        timing = self.schedule.choose_timing(is_idle=False)
        self.assertEqual(timing.timeout, orders.REPORT_TIMEOUT)

    def test_two_quick_losses_do_not_make_a_worker_silent(self) -> None:
        """Fails if a worker is lost before it had time for an answer."""
        self.assertFalse(self.lose(0.25))
        self.assertFalse(self.lose(0.25))
        self.assertTrue(self.lose(1.2))

    def test_one_long_loss_does_not_make_a_worker_silent(self) -> None:
        """Fails if one lost answer makes a worker unreachable."""
        self.assertFalse(self.lose(5.0))
        self.assertFalse(self.schedule.is_answering(_NEVER))
        self.assertTrue(self.lose(0.25))

    def test_answered_order_shows_that_a_worker_lives(self) -> None:
        """Fails if a worker that answers orders counts as silent."""
        self.lose(2.0)
        answered_s = self.now_s()
        self.assertTrue(self.schedule.is_answering(answered_s))
        self.clock.advance(datetime.timedelta(seconds=0.1))
        self.assertFalse(self.lose(2.0, answered_s))
        self.assertTrue(self.lose(2.0, answered_s))


if __name__ == "__main__":
    unittest.main()
