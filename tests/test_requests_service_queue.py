"""Shares, limits and deadlines of a service's queue."""

import collections
import unittest

from fireflywell.bundle import model
from fireflywell.requests import service_queue
from tests import requests_support

QUICK = model.ClassKind.QUICK
LONG = model.ClassKind.LONG


def make_bench(
    *weights: float, queue_limit: int = 200
) -> requests_support.Bench:
    """Returns a queue with quick classes c0, c1, ... seen to run 40 ms."""
    bench = requests_support.Bench(
        tuple(
            model.RequestClass(f"c{number}", weight, queue_limit=queue_limit)
            for number, weight in enumerate(weights)
        )
    )
    for number in range(len(weights)):
        bench.observe(f"c{number}", 0.04)
    return bench


def serve(
    bench: requests_support.Bench,
    count: int,
    run_times: dict[str, float],
    by_team: bool = False,
) -> collections.Counter[str]:
    """Runs tickets one by one; returns the number by class or team."""
    served: collections.Counter[str] = collections.Counter()
    for _ in range(count):
        ticket = bench.queue.take_next(requests_support.NO_WORK)
        assert ticket is not None
        served[ticket.team if by_team else ticket.class_name] += 1
        bench.run(ticket, run_times[ticket.class_name])
    return served


class ShareTest(unittest.TestCase):
    """Guaranteed shares and lending of idle ones."""

    def test_classes_are_served_by_weight(self) -> None:
        """Fails if a class with work gets less than its share."""
        bench = make_bench(3.0, 1.0)
        for _ in range(100):
            bench.offer("c0")
            bench.offer("c1")
        served = serve(bench, 80, {"c0": 0.04, "c1": 0.04})
        self.assertAlmostEqual(served["c0"], 60, delta=2)

    def test_cost_is_the_observed_run_time(self) -> None:
        """Fails if a class gets more slot time because its runs are longer."""
        bench = make_bench(1.0, 1.0)
        for _ in range(100):
            bench.offer("c0")
            bench.offer("c1")
        served = serve(bench, 88, {"c0": 0.4, "c1": 0.04})
        # 8 runs of 400 ms and 80 of 40 ms; the first ones are charged before
        # the longer time is known.
        self.assertAlmostEqual(served["c0"], 8, delta=2)

    def test_teams_share_inside_a_class(self) -> None:
        """Fails if a team with many requests displaces one with few."""
        bench = make_bench(1.0)
        for _ in range(60):
            bench.offer("c0", "sales")
        for _ in range(20):
            bench.offer("c0", "audit")
        served = serve(bench, 40, {"c0": 0.04}, by_team=True)
        self.assertAlmostEqual(served["audit"], 20, delta=1)

    def test_idle_share_is_lent(self) -> None:
        """Fails if slots stay free because another class has no work."""
        bench = make_bench(1.0, 9.0)
        for _ in range(20):
            bench.offer("c0")
        self.assertEqual(len(bench.start_all()), 8)

    def test_idle_time_earns_a_bounded_credit(self) -> None:
        """Fails if a class that was idle then takes more than its credit."""
        bench = make_bench(1.0, 1.0, queue_limit=400)
        for _ in range(200):
            bench.offer("c0")
        serve(bench, 100, {"c0": 0.04})
        for _ in range(100):
            bench.offer("c1")
        served = serve(bench, 69, {"c0": 0.04, "c1": 0.04})
        # The default burst is 2 slot seconds, of which half the weight catches
        # up 1: 25 runs. Of the other 44 each class gets 22.
        self.assertAlmostEqual(served["c1"], 47, delta=2)

    def test_least_weight_is_not_starved(self) -> None:
        """Fails if a surge of a class of high weight starves another one."""
        bench = make_bench(50.0, 1.0, queue_limit=400)
        bench.offer("c1")
        bench.offer("c1")
        for _ in range(150):
            bench.offer("c0")
        self.assertGreaterEqual(
            serve(bench, 110, {"c0": 0.04, "c1": 0.04})["c1"], 2
        )

    def test_one_slot_is_left_for_shorter_work(self) -> None:
        """Fails if short work waits because longer work took the last slot."""
        bench = make_bench(1.0, 1.0)
        bench.observe("c0", 0.1, count=30)
        bench.run(bench.make_ticket("c1"), 2.0)
        bench.observe("c1", 0.02, count=30)
        for _ in range(20):
            bench.offer("c0")
        self.assertEqual(len(bench.start_all()), 7)
        bench.offer("c1")
        ticket = bench.queue.take_next(service_queue.SlotState(8, 1, 0))
        assert ticket is not None
        self.assertEqual(ticket.class_name, "c1")

    def test_unsent_ticket_costs_nothing(self) -> None:
        """Fails if a class is charged for requests that were never sent."""
        bench = make_bench(1.0, 1.0)
        for _ in range(50):
            bench.offer("c0")
            bench.offer("c1")
        for _ in range(20):
            ticket = bench.queue.take_next(requests_support.NO_WORK)
            assert ticket is not None
            if ticket.class_name == "c0":
                bench.queue.note_finished(
                    ticket, requests_support.seconds(0), False
                )
            else:
                bench.run(ticket, 0.04)
        served = serve(bench, 20, {"c0": 0.04, "c1": 0.04})
        self.assertAlmostEqual(served["c0"], 10, delta=1)


class BoundTest(unittest.TestCase):
    """Limits of queues."""

    def test_one_team_cannot_fill_a_class(self) -> None:
        """Fails if a team's surge takes the queue from the other teams."""
        bench = make_bench(1.0, queue_limit=10)
        replies = [bench.offer("c0", "sales") for _ in range(30)]
        refusal = replies[-1]
        assert isinstance(refusal, service_queue.QueueRefusal)
        self.assertIs(refusal.kind, service_queue.RefusalKind.TEAM_FULL)
        self.assertIsNotNone(refusal.retry_after)
        self.assertEqual(bench.queue.queued, 5)
        self.assertIsInstance(bench.offer("c0", "audit"), service_queue.Queued)

    def test_class_queue_is_bounded(self) -> None:
        """Fails if the queue of a class grows without limit."""
        bench = requests_support.Bench(
            (model.RequestClass("c0", 1.0, queue_limit=5),),
            tuple(f"team{number}" for number in range(20)),
        )
        replies = [bench.offer("c0", f"team{item}") for item in range(20)]
        self.assertEqual(bench.queue.queued, 5)
        refusal = replies[-1]
        assert isinstance(refusal, service_queue.QueueRefusal)
        self.assertIs(refusal.kind, service_queue.RefusalKind.CLASS_FULL)

    def test_full_class_leaves_others_alone(self) -> None:
        """Fails if the surge of one class fills the queue of another."""
        bench = make_bench(1.0, 1.0, queue_limit=5)
        for _ in range(20):
            bench.offer("c0")
        self.assertIsInstance(bench.offer("c1"), service_queue.Queued)

    def test_unknown_names_and_ids_in_use_are_refused(self) -> None:
        """Fails if an unknown class or team or a duplicate id is accepted."""
        bench = make_bench(1.0)
        ticket = bench.make_ticket("c0")
        bench.queue.offer(ticket)
        kinds = [
            reply.kind
            for reply in (
                bench.offer("other"),
                bench.offer("c0", "nobody"),
                bench.queue.offer(ticket),
            )
            if isinstance(reply, service_queue.QueueRefusal)
        ]
        self.assertEqual(
            kinds,
            [
                service_queue.RefusalKind.UNKNOWN_CLASS,
                service_queue.RefusalKind.UNKNOWN_TEAM,
                service_queue.RefusalKind.DUPLICATE,
            ],
        )

    def test_reconfiguration_keeps_waiting_tickets(self) -> None:
        """Fails if a bundle without a class loses tickets that wait in it."""
        bench = make_bench(1.0, 1.0)
        bench.offer("c0")
        bench.offer("c1")
        bench.queue.reconfigure(
            requests_support.SERVICE,
            (model.RequestClass("c1", 1.0),),
            bench.teams,
        )
        self.assertIsInstance(bench.offer("c0"), service_queue.QueueRefusal)
        self.assertEqual(
            {ticket.class_name for ticket in bench.start_all()}, {"c0", "c1"}
        )


class DeadlineTest(unittest.TestCase):
    """Deadlines of waiting requests."""

    def test_request_bound_to_miss_its_deadline_is_refused(self) -> None:
        """Fails if a request waits for a deadline that can't be met."""
        bench = make_bench(1.0)
        # 80 requests of 40 ms on 8 slots take 0.4 s.
        for _ in range(80):
            bench.offer("c0")
        refusal = bench.offer("c0", within=0.2)
        assert isinstance(refusal, service_queue.QueueRefusal)
        self.assertIs(refusal.kind, service_queue.RefusalKind.DEADLINE)
        assert refusal.retry_after is not None
        self.assertAlmostEqual(
            refusal.retry_after.total_seconds(), 0.2, delta=0.1
        )
        self.assertIn("was not run", refusal.reason)
        self.assertIsInstance(
            bench.offer("c0", within=1.0), service_queue.Queued
        )

    def test_other_teams_are_not_refused_for_a_surge(self) -> None:
        """Fails if a team is refused for the time that another's work takes."""
        bench = make_bench(1.0)
        for _ in range(90):
            bench.offer("c0", "sales")
        self.assertIsInstance(
            bench.offer("c0", "audit", within=0.2), service_queue.Queued
        )

    def test_wrong_estimate_does_not_refuse_for_ever(self) -> None:
        """Fails if too long an estimate refuses all later requests."""
        bench = requests_support.Bench((model.RequestClass("c0", 1.0, LONG),))
        for _ in range(30):
            self.assertIsInstance(
                bench.offer("c0", within=1.0), service_queue.Queued
            )
            (ticket,) = bench.start_all()
            bench.clock.advance(requests_support.seconds(0.04))
            bench.finish(ticket, 0.04)
        self.assertFalse(bench.queue.is_long(ticket))

    def test_expired_tickets_are_dropped_once(self) -> None:
        """Fails if an expired request is run, or not reported as expired."""
        bench = make_bench(1.0)
        expiring = [bench.make_ticket("c0", within=1.0) for _ in range(30)]
        for ticket in expiring:
            bench.queue.offer(ticket)
        bench.offer("c0", within=9.0)
        bench.clock.advance(requests_support.seconds(1.0))
        self.assertEqual(len(bench.start_all()), 1)
        dropped = list(bench.queue.drop_expired())
        self.assertCountEqual(dropped, expiring)
        self.assertEqual(list(bench.queue.drop_expired()), [])

    def test_reused_id_keeps_its_own_deadline(self) -> None:
        """Fails if a withdrawn ticket's deadline expires a later one's."""
        bench = make_bench(1.0)
        ticket = bench.make_ticket("c0", within=1.0)
        bench.queue.offer(ticket)
        self.assertTrue(bench.queue.withdraw(ticket.request_id))
        self.assertFalse(bench.queue.withdraw(ticket.request_id))
        later = service_queue.Ticket(
            ticket.request_id,
            "c0",
            "sales",
            "usual",
            bench.clock.monotonic(),
            requests_support.seconds(60),
        )
        bench.queue.offer(later)
        bench.clock.advance(requests_support.seconds(2))
        self.assertEqual(bench.start_all(), [later])

    def test_departed_tickets_leave_the_deadline_index(self) -> None:
        """Fails if entries of withdrawn tickets pile up or expire others."""
        bench = make_bench(1.0)
        bench.offer("c0", within=1.0)
        for _ in range(1000):
            ticket = bench.make_ticket("c0", within=60.0)
            bench.queue.offer(ticket)
            bench.queue.withdraw(ticket.request_id)
        self.assertLess(len(bench.queue._deadlines), 100)
        bench.clock.advance(requests_support.seconds(1.0))
        self.assertEqual(len(list(bench.queue.drop_expired())), 1)

    def test_long_work_waits_its_turn(self) -> None:
        """Fails if long work without a deadline is dropped while it waits."""
        bench = requests_support.Bench(
            (
                model.RequestClass("c0", 10.0),
                model.RequestClass("run", 1.0, LONG),
            )
        )
        bench.offer("run")
        bench.clock.advance(requests_support.seconds(7200))
        self.assertEqual(list(bench.queue.drop_expired()), [])
        self.assertEqual(len(bench.start_all()), 1)
