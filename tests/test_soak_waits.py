"""The soak's check of waiting work, on made-up records."""

import math
import unittest

from tools import soak_clients
from tools import soak_plan
from tools import soak_spans
from tools import soak_waits

from fireflywell.standins import emulator_values as values
from fireflywell.standins import link_proxy

_ID = "00000000000000a1"
_UNIT = f"{_ID}.0.0.0"
_ACCEPTED_S = 20.0
_OBSERVED = soak_spans.Span(0.0, 100.0)
_WORKERS = ("w1", "w2", "w3")


def _make_job(
    units: int = 1, is_long_running: bool = False
) -> soak_clients.JobRecord:
    return soak_clients.JobRecord(
        _ID, "quotes", units, is_long_running, accepted_s=_ACCEPTED_S
    )


def _start(at_s: float, unit: str = _UNIT, run: int = 1) -> values.StartSeen:
    return values.StartSeen("w1-1/0", unit, run, at_s)


def _end(
    at_s: float, unit: str = _UNIT, run: int = 1, kind: str = "done"
) -> values.EndSeen:
    return values.EndSeen("w1-1/0", unit, run, kind, at_s, kind == "done")


def _make_lives(cpu_millis: int = 16_000) -> tuple[values.LifeSeen, ...]:
    return tuple(
        values.LifeSeen(
            f"{name}-1/0", name, "quotes", cpu_millis, 0.0, None, None
        )
        for name in _WORKERS
    )


class WaitCheckTest(unittest.TestCase):
    """Which waits are found, and what excuses them."""

    def find(
        self,
        started_s: float,
        *faults: soak_waits.FaultSeen,
        held: tuple[values.StartHeld, ...] = (),
        lives: tuple[values.LifeSeen, ...] = _make_lives(),
        others: tuple[values.StartSeen, ...] = (),
    ) -> bool:
        """Returns whether the wait of a job until its start is found."""
        ended_s = started_s + 0.4
        records = values.Records(
            (_start(started_s), *others),
            (_end(ended_s),),
            (),
            lives=lives,
            held=held,
        )
        waits = soak_waits.find_waits([_make_job()], records, faults, _OBSERVED)
        return bool(list(soak_waits.describe_long_waits(waits)))

    def test_calm_wait_is_found_after_three_seconds(self) -> None:
        """Fails if work may wait beside free workers without any fault."""
        self.assertFalse(self.find(_ACCEPTED_S + 2.9))
        self.assertTrue(self.find(_ACCEPTED_S + 3.1))

    def test_lost_owner_excuses_one_takeover(self) -> None:
        """Fails if a takeover is forbidden, or excuses any wait."""
        for fault in (
            soak_plan.KillNode(1, 0.5),
            soak_plan.PauseNode(1, 60.0),
            soak_plan.LinkFault("node-1", link_proxy.Silent(), 60.0),
        ):
            with self.subTest(fault=fault):
                seen = soak_waits.FaultSeen(fault, _ACCEPTED_S)
                self.assertFalse(self.find(_ACCEPTED_S + 6.9, seen))
                self.assertTrue(self.find(_ACCEPTED_S + 10.1, seen))

    def test_silent_worker_excuses_its_leases_once(self) -> None:
        """Fails if each lost successor may begin the wait for leases anew."""
        silent = soak_waits.FaultSeen(
            soak_plan.PlatformFault(values.OrdersLost("w3", 1e6, 1.0, 1.0)),
            _ACCEPTED_S - 5.0,
        )
        losses = [
            soak_waits.FaultSeen(
                soak_plan.KillNode(1, 0.5), _ACCEPTED_S + number * 6.0
            )
            for number in range(4)
        ]
        bound_s = _ACCEPTED_S + soak_waits.TAKEOVER_S + soak_waits.ALLOWED_S
        self.assertFalse(self.find(bound_s - 0.1, silent, losses[0]))
        self.assertTrue(self.find(bound_s + 0.1, silent, losses[0]))
        self.assertTrue(self.find(_ACCEPTED_S + 30.0, silent, *losses))

    def test_worker_lost_later_excuses_a_second_takeover(self) -> None:
        """Fails if a successor may not wait for a worker lost meanwhile.

        In seed 2004, a successor started units on a worker that fell silent,
        and was lost itself.
        """
        faults = [
            soak_waits.FaultSeen(
                soak_plan.LinkFault("w2", link_proxy.Silent(), math.inf), 19.0
            ),
            soak_waits.FaultSeen(soak_plan.KillNode(1, 0.5), 20.0),
            soak_waits.FaultSeen(
                soak_plan.LinkFault("w3", link_proxy.Silent(), math.inf), 31.0
            ),
            soak_waits.FaultSeen(soak_plan.KillNode(2, 0.5), 32.0),
        ]
        bound_s = 32.0 + soak_waits.TAKEOVER_S
        self.assertFalse(self.find(bound_s + 2.9, *faults))
        self.assertTrue(self.find(bound_s + 3.1, *faults))

    def test_only_the_owner_of_the_service_excuses_waits(self) -> None:
        """Fails if the loss of any node excuses all services."""
        for services, is_found in (
            (frozenset(("quotes",)), False),
            (frozenset(("reviews",)), True),
            (None, False),
        ):
            with self.subTest(services=services):
                seen = soak_waits.FaultSeen(
                    soak_plan.KillNode(1, 0.5), _ACCEPTED_S, services=services
                )
                self.assertEqual(self.find(_ACCEPTED_S + 6.0, seen), is_found)

    def test_worker_that_falls_silent_excuses_the_lease_of_a_start(
        self,
    ) -> None:
        """Fails if a lost worker excuses as much as a lost owner, too."""
        silent = soak_waits.FaultSeen(
            soak_plan.LinkFault("w3", link_proxy.Silent(), math.inf),
            _ACCEPTED_S,
        )
        bound_s = _ACCEPTED_S + soak_waits.START_LEASE_S + soak_waits.ALLOWED_S
        self.assertFalse(self.find(bound_s - 0.1, silent))
        self.assertTrue(self.find(bound_s + 0.1, silent))

    def test_silent_worker_alone_excuses_nothing(self) -> None:
        """Fails if a worker lost long ago excuses waits beside others."""
        silent = soak_waits.FaultSeen(
            soak_plan.PlatformFault(values.OrdersLost("w3", 1e6, 1.0, 1.0)),
            _ACCEPTED_S - 10.0,
        )
        self.assertTrue(self.find(_ACCEPTED_S + 3.1, silent))

    def test_start_without_an_answer_excuses_its_own_job(self) -> None:
        """Fails if a start that may be carried out excuses other work."""
        for name, is_found in (
            (_UNIT, False),
            ("00000000000000a2.0.0.0", True),
        ):
            held = (values.StartHeld(name, _ACCEPTED_S),)
            self.assertEqual(self.find(_ACCEPTED_S + 9.0, held=held), is_found)

    def test_store_outage_excuses_waits(self) -> None:
        """Fails if work is due while no owner can write."""
        down = soak_waits.FaultSeen(
            soak_plan.PlatformFault(values.StoreDown(4.0)), _ACCEPTED_S
        )
        self.assertFalse(self.find(_ACCEPTED_S + 10.9, down))
        self.assertTrue(self.find(_ACCEPTED_S + 11.1, down))

    def test_stall_of_the_machine_excuses_waits(self) -> None:
        """Fails if a busy machine passes for a fault of the nodes."""
        records = values.Records(
            (_start(_ACCEPTED_S + 6.0),),
            (_end(_ACCEPTED_S + 6.4),),
            (),
            lives=_make_lives(),
        )
        stall = soak_spans.Span(_ACCEPTED_S - 2.0, _ACCEPTED_S)
        for stalls, count in (((), 1), ((stall,), 0)):
            waits = soak_waits.find_waits(
                [_make_job()], records, (), _OBSERVED, stalls
            )
            found = list(soak_waits.describe_long_waits(waits))
            self.assertEqual(len(found), count)

    def test_full_workers_are_no_room(self) -> None:
        """Fails if plain overload, or work on unsound workers, is found."""
        others = tuple(
            values.StartSeen(f"{name}-1/0", f"other.0.0.{number}", 1, 1.0)
            for name in _WORKERS
            for number in range(16)
        )
        self.assertFalse(self.find(_ACCEPTED_S + 30.0, others=others))
        unsound = [
            soak_waits.FaultSeen(
                soak_plan.LinkFault(name, link_proxy.Silent(), math.inf), 10.0
            )
            for name in _WORKERS
        ]
        self.assertFalse(self.find(_ACCEPTED_S + 30.0, *unsound))
        self.assertTrue(self.find(_ACCEPTED_S + 30.0, *unsound[1:]))

    def test_worker_that_leaves_is_no_room(self) -> None:
        """Fails if workers count that are gone, or that have just begun."""
        gone = tuple(
            values.LifeSeen(
                f"{name}-1/0", name, "quotes", 16_000, 0.0, 5.0, 7.0
            )
            for name in _WORKERS
        )
        self.assertFalse(self.find(_ACCEPTED_S + 30.0, lives=gone))


class LongRunningTest(unittest.TestCase):
    """Units that run until their job is cancelled."""

    def find(
        self,
        job: soak_clients.JobRecord,
        starts: tuple[values.StartSeen, ...],
        ends: tuple[values.EndSeen, ...] = (),
    ) -> list[str]:
        """Returns the names of what waits too long."""
        records = values.Records(starts, ends, (), lives=_make_lives())
        waits = soak_waits.find_waits([job], records, (), _OBSERVED)
        return [
            item.name for item in waits if item.counted_s > soak_waits.ALLOWED_S
        ]

    def test_each_unit_waits_by_itself(self) -> None:
        """Fails if one unit at work hides another that never starts."""
        job = _make_job(2, True)
        self.assertEqual(
            self.find(job, (_start(_ACCEPTED_S + 1.0),)), [f"{_ID}.0.0.1"]
        )

    def test_unit_may_pause_after_a_run(self) -> None:
        """Fails if the time after a run isn't the platform's."""
        job = _make_job(1, True)
        begun_s = _ACCEPTED_S + 1.0
        ends = (_end(begun_s + 10.0, kind="lapsed"),)
        for pause_s, count in ((8.9, 0), (9.1, 1)):
            again = _start(begun_s + 10.0 + pause_s, run=2)
            found = self.find(job, (_start(begun_s), again), ends)
            self.assertEqual(len(found), count)

    def test_cancelled_job_does_not_wait(self) -> None:
        """Fails if a unit is due after its job's cancellation was sent."""
        job = _make_job(1, True)
        job.cancel_sent_s = _ACCEPTED_S + 2.0
        self.assertEqual(self.find(job, ()), [])

    def test_short_job_runs_again_after_an_end_that_is_lost(self) -> None:
        """Fails if a run that nobody noted counts as the end of its job."""
        begun_s = _ACCEPTED_S + 1.0
        starts = (_start(begun_s),)
        lost = (_end(begun_s + 0.4, kind="broken"),)
        self.assertEqual(self.find(_make_job(), starts, lost), [_ID])
        done = (_end(begun_s + 0.4),)
        self.assertEqual(self.find(_make_job(), starts, done), [])

    def test_completed_job_does_not_wait(self) -> None:
        """Fails if a noted end counts as lost because its worker fell silent.

        In seed 2020 the owner had stored the end, and its worker fell silent
        before the acknowledgement arrived.
        """
        job = _make_job()
        starts = (_start(_ACCEPTED_S + 1.0),)
        ends = (
            values.EndSeen(
                "w1-1/0", _UNIT, 1, "done", _ACCEPTED_S + 1.4, False
            ),
        )
        self.assertEqual(self.find(job, starts, ends), [_ID])
        job.state = "completed"
        self.assertEqual(self.find(job, starts, ends), [])


if __name__ == "__main__":
    unittest.main()
