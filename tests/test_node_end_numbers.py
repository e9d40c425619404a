"""Notices ends that a worker has forgotten before they were reported."""

import unittest

from fireflywell.node import end_numbers
from tests import captured_log
from tests import scheduling_samples as samples


class EndNumbersTest(unittest.TestCase):
    """Numbers of the ends in successive reports."""

    def setUp(self) -> None:
        """Makes the numbers of a worker that was never heard of."""
        self._numbers = end_numbers.EndNumbers("w1")

    def _check(self, *numbers: int) -> list[tuple[int, int]]:
        """Returns the first and last number of each logged gap."""
        with captured_log.capture_log() as lines:
            self._numbers.check(
                tuple(
                    samples.report_end("00000000000000a1.0.0.0", number=number)
                    for number in numbers
                )
            )
        return [
            (line["first"], line["last"])
            for line in captured_log.select_event(lines, "worker.ends_missing")
        ]

    def test_listed_and_acknowledged_ends_leave_no_gap(self) -> None:
        """Fails if a gap is logged while all ends were reported.

        An earlier owner may have acknowledged the first ends.
        """
        self.assertEqual(self._check(), [])
        self.assertEqual(self._check(7, 8), [])
        self.assertEqual(self._check(8, 9), [])
        self.assertEqual(self._check(), [])
        self.assertEqual(self._check(10), [])

    def test_forgotten_ends_are_logged(self) -> None:
        """Fails if ends that no owner has seen vanish without a trace."""
        self.assertEqual(self._check(7), [])
        self.assertEqual(self._check(10, 11), [(8, 9)])
        self._numbers.begin_incarnation()
        self.assertEqual(self._check(4), [(1, 3)])
        self.assertEqual(self._check(4, 5), [])


if __name__ == "__main__":
    unittest.main()
