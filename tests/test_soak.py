"""The soak: a short seeded run, and checks that find what they look for."""

import pathlib
import tempfile
import unittest

import anyio
from tools import soak
from tools import soak_checks
from tools import soak_clients
from tools import soak_configuration
from tools import soak_plan

from fireflywell.standins import emulator_values as values

_ID = "00000000000000a1"
_UNIT = f"{_ID}.0.0.0"


def _make_job(**fields: object) -> soak_clients.JobRecord:
    job = soak_clients.JobRecord(_ID, "quotes", 1, False, accepted_s=1.0)
    job.state = "completed"
    for name, value in fields.items():
        setattr(job, name, value)
    return job


def _start(run: int, at_s: float, life: str = "w1") -> values.StartSeen:
    return values.StartSeen(life, _UNIT, run, at_s)


def _end(
    run: int, at_s: float, kind: str = "done", is_noted: bool = True
) -> values.EndSeen:
    return values.EndSeen("w1", _UNIT, run, kind, at_s, is_noted)


class ShortSoakTest(unittest.TestCase):
    """Real processes under a few faults."""

    def test_promises_hold_under_random_faults(self) -> None:
        """Fails if a seeded series of faults breaks a promise."""
        shape = soak_plan.Shape(nodes=3, fault_s=6.0, clients=2)
        with tempfile.TemporaryDirectory() as name:
            outcome = anyio.run(soak.run_soak, 20, shape, pathlib.Path(name))
        self.assertEqual(outcome.findings, ())
        self.assertGreater(outcome.accepted, 0)
        self.assertGreater(outcome.probes, 0)


class CheckTest(unittest.TestCase):
    """Checks on made-up records."""

    def find(
        self,
        job: soak_clients.JobRecord,
        starts: tuple[values.StartSeen, ...] = (),
        ends: tuple[values.EndSeen, ...] = (),
    ) -> str:
        """Returns the findings as one text."""
        records = values.Records(starts, ends, ())
        return "; ".join(soak_checks.find_broken_promises([job], records))

    def test_runs_at_the_same_time_are_found(self) -> None:
        """Fails if two runs of a unit at once go unnoticed."""
        starts = (_start(1, 2.0), _start(2, 3.0, "w2"))
        found = self.find(_make_job(), starts, (_end(1, 3.5, "lapsed"),))
        self.assertIn("runs twice", found)

    def test_start_after_a_noted_end_is_found(self) -> None:
        """Fails if a unit that was done and starts again goes unnoticed."""
        starts = (_start(1, 2.0), _start(2, 3.0, "w2"))
        self.assertIn(
            "after it was done", self.find(_make_job(), starts, (_end(1, 2.5),))
        )
        lost = (_end(1, 2.5, is_noted=False),)
        self.assertEqual(self.find(_make_job(), starts, lost), "")

    def test_start_of_a_refused_job_is_found(self) -> None:
        """Fails if a refusal that isn't true goes unnoticed."""
        job = _make_job(accepted_s=None)
        self.assertIn("refused", self.find(job, (_start(1, 2.0),)))

    def test_start_long_after_a_cancellation_is_found(self) -> None:
        """Fails if units of a cancelled job may start for ever."""
        job = _make_job(cancel_sent_s=1.5, cancelled_s=2.0, state="cancelled")
        self.assertEqual(self.find(job, (_start(1, 4.0),)), "")
        self.assertIn("cancelled", self.find(job, (_start(1, 12.0),)))

    def test_unfinished_work_is_listed(self) -> None:
        """Fails if a lost job passes for one that is done."""
        records = values.Records((), (), ())
        for job in (
            _make_job(state="queued"),
            _make_job(is_long_running=True, state="running"),
        ):
            with self.subTest(job=job):
                listed = soak_checks.list_unfinished([job], records)
                self.assertEqual(len(listed), 1)


class ConfigurationCheckTest(unittest.TestCase):
    """Checks of when nodes apply a change, on made-up records."""

    def find(
        self,
        *probes: soak_configuration.ProbeSeen,
        disturbances: tuple[soak_configuration.Disturbance, ...] = (),
    ) -> str:
        """Returns the findings for version 2, stored at 10 s."""
        changes = (values.ChangeSeen(2, 10.0),)
        return "; ".join(
            soak_configuration.find_late_nodes(probes, changes, disturbances)
        )

    def test_late_node_is_found(self) -> None:
        """Fails if a node may use an old configuration for ever."""
        in_time = soak_configuration.ProbeSeen(1, 2, 11.9, 12.5, False)
        self.assertEqual(self.find(in_time), "")
        late = soak_configuration.ProbeSeen(1, 2, 12.1, 12.2, False)
        self.assertIn("doesn't know", self.find(late))

    def test_disturbed_node_is_excused_for_a_while(self) -> None:
        """Fails if a disturbance of one node excuses another, or for long."""
        late = soak_configuration.ProbeSeen(1, 2, 14.0, 14.1, False)
        for node, ended_s, is_excused in (
            (1, 11.5, True),
            (1, 10.5, False),
            (2, 11.5, False),
        ):
            with self.subTest(node=node, ended_s=ended_s):
                found = self.find(
                    late,
                    disturbances=(
                        soak_configuration.Disturbance(
                            frozenset((node,)), False, 9.0, ended_s
                        ),
                    ),
                )
                self.assertEqual(found == "", is_excused)

    def test_only_faults_of_the_store_excuse_all_nodes(self) -> None:
        """Fails if a fault elsewhere hides that a node is late.

        In seed 3 a node was late by 0.19 s after the store had lost its
        history, which the platform's rules allow.
        """
        for fault, nodes in (
            (soak_plan.PlatformFault(values.HistoryLost()), {0, 1, 2}),
            (soak_plan.PlatformFault(values.StoreDown(1.0)), {0, 1, 2}),
            (soak_plan.PlatformFault(values.AnswersLost(1)), set()),
            (soak_plan.PlatformFault(values.WorkerFails("w1", 1.0)), set()),
            (soak_plan.PauseNode(1, 1.0), {1}),
            (soak_plan.ResetLink("node-2"), {2}),
            (soak_plan.ResetLink("w1"), set()),
        ):
            with self.subTest(fault=fault):
                found = soak_configuration.describe_disturbance(fault, 3, 5.0)
                self.assertEqual(set(found.nodes) if found else set(), nodes)

    def test_return_to_an_older_version_is_found(self) -> None:
        """Fails if a process may forget a change that it has applied."""
        known = soak_configuration.ProbeSeen(1, 2, 11.0, 11.1, True)
        forgotten = soak_configuration.ProbeSeen(1, 2, 11.5, 11.6, False)
        self.assertIn("no longer", self.find(known, forgotten))
        restart = soak_configuration.Disturbance(
            frozenset((1,)), True, 11.2, 11.3
        )
        found = self.find(known, forgotten, disturbances=(restart,))
        self.assertEqual(found, "")


if __name__ == "__main__":
    unittest.main()
