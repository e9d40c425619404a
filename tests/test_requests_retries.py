"""Retry budget, backoff, ejection and routing."""

import dataclasses
import random
import unittest

from fireflywell import clock as clock_lib
from fireflywell.fleet import instances as instances_lib
from fireflywell.membership import links
from fireflywell.membership import messages
from fireflywell.requests import ejection
from fireflywell.requests import retry_budget
from fireflywell.requests import routing
from tests import requests_support


class RetryTest(unittest.TestCase):
    """Retry budget and backoff."""

    def test_retries_stay_within_a_tenth_at_any_time(self) -> None:
        """Fails if the loss of a zone causes a retry storm."""
        budget = retry_budget.RetryBudget()
        rng = random.Random(4)
        retries = 0
        for first_tries in range(1, 5000):
            budget.note_first_try()
            for _ in range(rng.randrange(4)):
                retries += budget.take_retry()
            self.assertLessEqual(retries * 10, first_tries)
        self.assertGreaterEqual(retries, 499)

    def test_unused_retries_are_bounded_by_the_reserve(self) -> None:
        """Fails if a long time without failures allows a retry storm."""
        budget = retry_budget.RetryBudget(reserve=10)
        for _ in range(100000):
            budget.note_first_try()
        self.assertEqual(sum(budget.take_retry() for _ in range(100)), 10)

    def test_pauses_grow_are_bounded_and_differ(self) -> None:
        """Fails if callers that failed at the same time retry together."""
        policy = retry_budget.BackoffPolicy()
        rng = random.Random(4)
        for retry in range(1, 2000):
            longest = min(policy.maximum, policy.base * 2 ** min(retry - 1, 9))
            pause = policy.compute_pause(retry, rng)
            self.assertLessEqual(longest / 2, pause)
            self.assertLessEqual(pause, longest)
        pauses = {policy.compute_pause(3, rng) for _ in range(100)}
        self.assertGreater(len(pauses), 90)


class EjectionTest(unittest.TestCase):
    """Ejection of failing instances."""

    def setUp(self) -> None:
        """Makes a tracker of 7 instances, of which 2 may be ejected."""
        self.clock = clock_lib.ManualClock()
        self.tracker = ejection.EjectionTracker(self.clock)
        self.tracker.set_instances(f"i{number}" for number in range(7))

    def report_failures(self, instance_id: str, count: int = 5) -> None:
        """Reports failures."""
        for _ in range(count):
            self.tracker.note_result(instance_id, False)

    def test_only_instances_that_always_fail_are_ejected(self) -> None:
        """Fails if an instance that sometimes succeeds is ejected."""
        for _ in range(20):
            self.report_failures("i0", 4)
            self.tracker.note_result("i0", True)
        self.assertFalse(self.tracker.is_ejected("i0"))
        self.report_failures("i0")
        self.assertTrue(self.tracker.is_ejected("i0"))

    def test_at_most_a_third_is_ejected(self) -> None:
        """Fails if a failure of all instances ejects more than a third."""
        for _ in range(10):
            for number in range(7):
                self.report_failures(f"i{number}")
        self.assertEqual(self.tracker.count_ejected(), 2)
        self.tracker.set_instances(("i5", "i6"))
        self.report_failures("i5")
        self.assertFalse(self.tracker.is_ejected("i5"))

    def test_pauses_double_until_the_instance_recovers(self) -> None:
        """Fails if consecutive ejections don't get longer or never reset."""
        self.report_failures("i0")
        for pause in (5, 10, 20, 40):
            self.clock.advance(requests_support.seconds(pause - 0.1))
            self.assertTrue(self.tracker.is_ejected("i0"))
            self.clock.advance(requests_support.seconds(0.1))
            self.assertFalse(self.tracker.is_ejected("i0"))
            self.assertTrue(self.tracker.is_on_trial("i0"))
            self.report_failures("i0", 1)
        self.clock.advance(requests_support.seconds(80))
        for _ in range(5):
            self.tracker.note_result("i0", True)
        self.assertFalse(self.tracker.is_on_trial("i0"))
        self.report_failures("i0")
        self.clock.advance(requests_support.seconds(5))
        self.assertFalse(self.tracker.is_ejected("i0"))

    def test_late_results_do_not_count_for_the_trial(self) -> None:
        """Fails if requests sent before the ejection prolong it."""
        self.report_failures("i0", 30)
        self.clock.advance(requests_support.seconds(5))
        self.assertFalse(self.tracker.is_ejected("i0"))


def make_candidate(
    name: str, in_progress: int, **options: bool | int
) -> routing.Candidate:
    """Returns a candidate with its home at this entry: 8 slots, zone a."""
    instance = instances_lib.Instance(
        name, "quotes", name, "127.0.0.1", 1, "a", "r1", 8, 64, False
    )
    values: dict[str, bool | int] = {"is_home": True, "is_ejected": False}
    return routing.Candidate(instance, in_progress, **{**values, **options})


class RoutingTest(unittest.TestCase):
    """Order of own instances, peers and the queue."""

    def test_own_home_goes_before_a_peer(self) -> None:
        """Fails if a request is forwarded while an own slot is free."""
        peers = (routing.PeerCapacity("p1", "x1", "a", 8),)
        candidates = (make_candidate("i0", 8), make_candidate("i1", 7))
        decision = routing.choose_route(candidates, peers, "a")
        self.assertEqual(decision, routing.RouteTo(candidates[1].instance))

    def test_peer_with_most_free_slots_is_next(self) -> None:
        """Fails if a stale report sends a surge to one peer."""
        peers = (
            routing.PeerCapacity("p1", "x1", "b", 5, forwarded=4),
            routing.PeerCapacity("p2", "x2", "b", 3),
            routing.PeerCapacity("p3", "x3", "a", 3),
        )
        full = (make_candidate("i0", 8),)
        self.assertEqual(
            routing.choose_route(full, peers, "a"),
            routing.ForwardTo("p3", "x3"),
        )
        self.assertEqual(
            routing.choose_route(full, peers[:1] * 2, "a"),
            routing.ForwardTo("p1", "x1"),
        )

    def test_request_queues_without_a_free_slot(self) -> None:
        """Fails if a request goes to an instance or peer without free slots."""
        peers = (routing.PeerCapacity("p1", "x1", "a", 2, forwarded=2),)
        candidates = (
            make_candidate("i0", 8),
            make_candidate("i1", 0, is_ejected=True),
            make_candidate("i2", 0, is_home=False),
            make_candidate("i3", 1, is_on_trial=True),
        )
        self.assertEqual(
            routing.choose_route(candidates, peers, "a"),
            routing.NoRoute("all slots are taken"),
        )

    def test_long_work_keeps_off_closed_slots(self) -> None:
        """Fails if long work takes closed slots of one instance."""
        candidates = (
            make_candidate("i0", 5, long_in_progress=5),
            make_candidate("i1", 7, long_in_progress=4),
        )
        self.assertEqual(
            routing.choose_instance(candidates, "a", is_long=True),
            routing.RouteTo(candidates[1].instance),
        )
        self.assertIsInstance(
            routing.choose_instance(candidates[:1], "a", is_long=True),
            routing.NoRoute,
        )

    def test_only_living_entries_are_homes(self) -> None:
        """Fails if a request is forwarded to a peer that can't run it."""
        loads = (
            messages.ServiceLoad("quotes", 3, 0),
            messages.ServiceLoad("bills", 8, 0),
        )
        usable = links.PeerView(
            "p1",
            "a",
            messages.Role.ENTRY,
            "x1",
            links.PeerState.ALIVE,
            is_ready=True,
            is_leaving=False,
            bundle_version=1,
            loads=loads,
        )
        peers = (
            usable,
            dataclasses.replace(usable, state=links.PeerState.SUSPECT),
            dataclasses.replace(usable, is_leaving=True),
            dataclasses.replace(usable, role=messages.Role.CONTROL),
        )
        self.assertEqual(
            list(routing.list_peer_capacity(peers, "quotes")),
            [routing.PeerCapacity("p1", "x1", "a", 3)],
        )
