"""The soak's check of numbers of waiting jobs, on made-up records."""

import dataclasses
import unittest

from tools import soak_clients
from tools import soak_configuration
from tools import soak_counts

from fireflywell.standins import emulator_values as values

_SEEN = soak_counts.CountSeen(1, "quotes", 20.0, 20.1, 0)


def _make_jobs(count: int, **fields: object) -> list[soak_clients.JobRecord]:
    return [
        dataclasses.replace(
            soak_clients.JobRecord(f"{number:016x}", "quotes", 1, False, 14.9),
            **fields,  # type: ignore[arg-type]
        )
        for number in range(count)
    ]


class CountCheckTest(unittest.TestCase):
    """Which counts are found, and what excuses them."""

    def find(
        self,
        seen: soak_counts.CountSeen = _SEEN,
        jobs: list[soak_clients.JobRecord] | None = None,
        begun_s: float | None = None,
        disturbance: soak_configuration.Disturbance | None = None,
    ) -> int:
        """Returns how many findings there are about one count.

        Args:
            seen: The count.
            jobs: What clients know; two jobs that wait by default.
            begun_s: When the first job began; None if it waits.
            disturbance: What disturbed a node.
        """
        starts = []
        if begun_s is not None:
            unit = f"{0:016x}.0.0.0"
            starts.append(values.StartSeen("w1-1/0", unit, 1, begun_s))
        records = values.Records(
            starts=tuple(starts), ends=(), active=(), lives=()
        )
        return len(
            list(
                soak_counts.find_low_counts(
                    (seen,),
                    _make_jobs(2) if jobs is None else jobs,
                    records,
                    (disturbance,) if disturbance else (),
                )
            )
        )

    def test_less_than_half_is_found(self) -> None:
        """Fails if a count of under half of the waiting jobs passes."""
        self.assertEqual(self.find(), 1)
        half = dataclasses.replace(_SEEN, waiting=1)
        self.assertEqual(self.find(half), 0)
        self.assertEqual(self.find(half, _make_jobs(3)), 1)

    def test_jobs_that_need_not_be_counted(self) -> None:
        """Fails if a job is missed that no rule requires in the count."""
        for fields in (
            {"accepted_s": 15.1},
            {"accepted_s": None},
            {"cancel_sent_s": 20.05},
            {"service": "reviews"},
        ):
            with self.subTest(fields=fields):
                self.assertEqual(self.find(jobs=_make_jobs(2, **fields)), 0)

    def test_jobs_that_have_begun_are_not_missed(self) -> None:
        """Fails if a job counts as waiting after a worker has begun it."""
        one = _make_jobs(1)
        self.assertEqual(self.find(jobs=one, begun_s=20.05), 0)
        self.assertEqual(self.find(jobs=one, begun_s=20.2), 1)

    def test_disturbed_nodes_are_excused(self) -> None:
        """Fails if the answer of a node is judged that was just disturbed."""
        for node, ended_s, found in (
            (1, 17.5, 0),
            (1, 16.5, 1),
            (2, 17.5, 1),
        ):
            with self.subTest(node=node, ended_s=ended_s):
                disturbance = soak_configuration.Disturbance(
                    frozenset((node,)), False, 12.0, ended_s
                )
                self.assertEqual(self.find(disturbance=disturbance), found)


if __name__ == "__main__":
    unittest.main()
