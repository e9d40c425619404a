"""The soak's late submissions, and the check on jobs that were cancelled."""

import pathlib
import tempfile
import unittest

import anyio
from tools import soak
from tools import soak_checks
from tools import soak_clients
from tools import soak_plan
from tools import soak_submissions

from fireflywell.standins import emulator_values as values

_SOAK_SEED = 5000
_ID = "00000000000000a1"


class ShortSoakTest(unittest.TestCase):
    """Real processes whose writes of jobs are late."""

    def test_no_job_runs_that_was_cancelled_as_unknown(self) -> None:
        """Fails if a late submission runs after its caller got 410."""
        shape = soak_plan.choose_shape(_SOAK_SEED, 3, 6, 4, 10.0)
        with tempfile.TemporaryDirectory() as name:
            outcome = anyio.run(
                soak.run_soak, _SOAK_SEED, shape, pathlib.Path(name)
            )
        self.assertEqual(outcome.findings, ())
        self.assertGreater(outcome.accepted, 0)


class PlanTest(unittest.TestCase):
    """Which faults a seed has."""

    def test_earlier_seeds_keep_their_plans(self) -> None:
        """Fails if seeds before the new ones get late submissions."""
        shape = soak_plan.choose_shape(1)
        last = soak_plan.FIRST_SUBMISSIONS_SEED - 1
        for seed in (1, 1000, 3000, last):
            self.assertEqual(
                soak_submissions.plan_late_submissions(seed, shape), []
            )
            self.assertEqual(soak_submissions.choose_give_up_share(seed), 0.0)

    def test_faults_of_all_kinds_meet(self) -> None:
        """Fails if writes are never late, or no node is lost meanwhile."""
        kinds = set()
        first = soak_plan.FIRST_SUBMISSIONS_SEED
        for seed in range(first, first + 10):
            shape = soak_plan.choose_shape(seed)
            for item in soak_submissions.plan_late_submissions(seed, shape):
                self.assertLess(item.at_s, shape.fault_s)
                kinds.add(type(item.fault).__name__)
        self.assertEqual(
            kinds, {"PlatformFault", "KillNode", "TermNode", "PauseNode"}
        )


class CheckTest(unittest.TestCase):
    """What the soak finds in a client's and the workers' records."""

    def find(self, **fields: object) -> list[str]:
        """Returns the findings for a start of a cancelled job."""
        job = soak_clients.JobRecord(
            _ID,
            "quotes",
            1,
            False,
            may_have_run=True,
            cancel_sent_s=1.0,
            cancelled_s=1.1,
            **fields,  # type: ignore[arg-type]
        )
        start = values.StartSeen("w1", f"{_ID}.0.0.0", 1, 1.2)
        records = values.Records((start,), (), ())
        return soak_checks.find_broken_promises([job], records)

    def test_start_of_an_unknown_job_is_found(self) -> None:
        """Fails if the check passes over a job that was never to run."""
        self.assertEqual(len(self.find(is_unknown=True)), 1)
        self.assertEqual(self.find(is_unknown=False), [])
        self.assertEqual(self.find(is_unknown=True, accepted_s=0.5), [])


if __name__ == "__main__":
    unittest.main()
