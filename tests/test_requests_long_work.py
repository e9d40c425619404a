"""Classification of long and quick work, closed slots and lending."""

import unittest

from fireflywell.bundle import model
from fireflywell.requests import service_queue
from tests import requests_support

CLASSES = (
    model.RequestClass("quick", 7.0),
    model.RequestClass("medium", 2.0, model.ClassKind.LONG),
    model.RequestClass("slow", 1.0, model.ClassKind.LONG),
)


def make_bench() -> requests_support.Bench:
    """Returns a queue that saw runs of 40 ms, 2 s and 20 s, then no load."""
    bench = requests_support.Bench(CLASSES)
    bench.observe("quick", 0.04)
    bench.observe("medium", 2.0)
    bench.observe("slow", 20.0)
    bench.clock.advance(requests_support.seconds(3600))
    return bench


class LongWorkTest(unittest.TestCase):
    """Work of different lengths on 8 slots."""

    def test_closed_slots_stay_for_quick_work(self) -> None:
        """Fails if long work takes the slots that are closed to it."""
        bench = make_bench()
        for _ in range(20):
            bench.offer("slow")
        started = bench.start_all()
        self.assertEqual(len(started), 5)
        for _ in range(10):
            bench.offer("quick")
        used = service_queue.SlotState(8, 3, 5)
        quick = bench.queue.take_next(used)
        assert quick is not None
        self.assertEqual(quick.class_name, "quick")

    def test_idle_long_slots_are_lent_beyond_the_share(self) -> None:
        """Fails if one class of long work can't use slots that are idle."""
        bench = make_bench()
        for _ in range(20):
            bench.offer("slow")
        self.assertGreater(len(bench.start_all()), 1)

    def test_share_used_in_part_is_lent_in_part(self) -> None:
        """Fails if a class with a low mean use blocks all lending."""
        bench = make_bench()
        ticket = bench.make_ticket("quick")
        bench.queue.note_started(ticket)
        bench.clock.advance(requests_support.seconds(60))
        bench.finish(ticket, 0.04)
        for _ in range(20):
            bench.offer("slow")
        # Half a slot in the mean and 1.6 of its square roots stay free.
        self.assertEqual(len(bench.start_all()), 5)

    def test_recent_shorter_work_is_not_crowded_out(self) -> None:
        """Fails if the longest work borrows slots that shorter work needs."""
        bench = make_bench()
        busy = [bench.make_ticket("quick") for _ in range(3)]
        busy += [bench.make_ticket("medium", route="m") for _ in range(2)]
        for ticket in busy:
            bench.queue.note_started(ticket)
        bench.clock.advance(requests_support.seconds(600))
        for ticket in busy:
            bench.finish(ticket, 0.04 if ticket.route == "usual" else 2.0)
        for _ in range(20):
            bench.offer("slow")
        # The share of 1 in 10 comes to one slot of 8.
        self.assertEqual(len(bench.start_all()), 1)

    def test_running_requests_show_a_wrong_declaration(self) -> None:
        """Fails if long work declared quick blocks quick work until it ends."""
        bench = make_bench()
        for _ in range(20):
            bench.offer("quick", route="bulk")
        started = bench.start_all()
        self.assertLessEqual(len(started), 5)
        bench.clock.advance(requests_support.seconds(1.0))
        bench.offer("quick")
        self.assertTrue(bench.queue.is_long(started[0]))
        ticket = bench.queue.take_next(service_queue.SlotState(8, 3, 5))
        assert ticket is not None
        self.assertEqual(ticket.route, "usual")

    def test_undetected_long_work_borrows_as_long_work(self) -> None:
        """Fails if overdue work borrows slots by its initial run time estimate.

        The work was declared quick, and none of its runs has finished.
        """
        bench = requests_support.Bench(
            (model.RequestClass("quick", 9.0), model.RequestClass("odd", 1.0))
        )
        busy = [bench.make_ticket("quick") for _ in range(4)]
        for ticket in busy:
            bench.queue.note_started(ticket)
        bench.clock.advance(requests_support.seconds(600))
        for ticket in busy:
            bench.finish(ticket, 0.04)
        for _ in range(20):
            bench.offer("odd")
        self.assertEqual(len(bench.start_all()), 1)
        bench.clock.advance(requests_support.seconds(1.0))
        # Besides the first, started as quick work, the class has the one slot
        # of its share; the mean of 4 and 1.6 of its square roots are kept.
        self.assertEqual(len(bench.start_all(running=1)), 1)

    def test_blocked_class_earns_no_unbounded_lead(self) -> None:
        """Fails if a class blocked at its limit gains unlimited credit."""
        bench = make_bench()
        for _ in range(50):
            bench.offer("quick", route="usual")
            bench.offer("medium")
        full = service_queue.SlotState(8, 3, 5)
        for _ in range(2000):
            bench.offer("quick")
            ticket = bench.queue.take_next(full)
            assert ticket is not None
            bench.run(ticket, 0.04)
        # Now the blocked class turns out to be quick.
        bench.observe("medium", 0.04, count=80)
        served = 0
        for _ in range(60):
            bench.offer("quick")
            bench.offer("medium")
            ticket = bench.queue.take_next(requests_support.NO_WORK)
            assert ticket is not None
            served += ticket.class_name == "quick"
            bench.run(ticket, 0.04)
        self.assertGreater(served, 25)

    def test_new_quick_route_is_tried_beside_long_work(self) -> None:
        """Fails if a route without observations waits for long runs to end."""
        bench = make_bench()
        bench.offer("quick", route="new")
        bench.offer("quick", route="new")
        full = service_queue.SlotState(8, 3, 5)
        first = bench.queue.take_next(full)
        assert first is not None
        bench.queue.note_started(first)
        self.assertIsNone(bench.queue.take_next(full))
        bench.finish(first, 0.04)
        self.assertIsNotNone(bench.queue.take_next(full))

    def test_observed_times_outweigh_the_declared_kind(self) -> None:
        """Fails if quick work stays long because it was declared long."""
        bench = make_bench()
        bench.observe("slow", 0.02, count=60, route="fast")
        self.assertFalse(
            bench.queue.is_long(bench.make_ticket("slow", route="fast"))
        )
        bench.observe("quick", 3.0, count=30, route="heavy")
        self.assertTrue(
            bench.queue.is_long(bench.make_ticket("quick", route="heavy"))
        )
        self.assertFalse(bench.queue.is_long(bench.make_ticket("quick")))

    def test_one_hanging_run_does_not_make_a_route_long(self) -> None:
        """Fails if a single slow run moves quick work to the long lane."""
        bench = make_bench()
        bench.observe("quick", 0.04, count=20)
        bench.observe("quick", 20.0, count=1)
        self.assertFalse(bench.queue.is_long(bench.make_ticket("quick")))

    def test_fast_failures_do_not_make_long_work_quick(self) -> None:
        """Fails if failures that return at once lower run time estimates."""
        bench = make_bench()
        for _ in range(100):
            ticket = bench.make_ticket("slow")
            bench.queue.note_started(ticket)
            bench.queue.note_finished(
                ticket, requests_support.seconds(0.001), False
            )
        self.assertTrue(bench.queue.is_long(bench.make_ticket("slow")))

    def test_waiting_tickets_follow_their_route(self) -> None:
        """Fails if tickets stay in the quick lane when their route is long."""
        bench = make_bench()
        offered = [bench.make_ticket("quick") for _ in range(6)]
        for ticket in offered:
            bench.queue.offer(ticket)
        bench.observe("quick", 30.0, count=40)
        full = service_queue.SlotState(8, 3, 5)
        self.assertIsNone(bench.queue.take_next(full))
        self.assertEqual(bench.start_all(), offered[:5])

    def test_moved_tickets_keep_their_order(self) -> None:
        """Fails if a ticket falls behind later ones as it changes lanes."""
        bench = make_bench()
        bench.observe("quick", 30.0, count=40, route="heavy")
        offered = []
        for route in ("usual", "heavy"):
            offered.append(bench.make_ticket("quick", route=route))
            bench.queue.offer(offered[-1])
            bench.clock.advance(requests_support.seconds(0.01))
        bench.observe("quick", 30.0, count=40)
        self.assertEqual(bench.start_all(), offered)

    def test_routes_are_bounded(self) -> None:
        """Fails if requests with arbitrary paths make memory grow unbounded."""
        bench = make_bench()
        for number in range(1000):
            bench.offer("quick", route=f"item{number}")
        routes = bench.queue._times._routes["quick"]
        self.assertLessEqual(len(routes), 65)

    def test_forwarded_work_keeps_the_closed_slots(self) -> None:
        """Fails if long work that a peer forwarded takes closed slots."""
        bench = make_bench()
        full = service_queue.SlotState(8, 3, 5)
        for class_name, expected in (("quick", True), ("slow", False)):
            ticket = bench.make_ticket(class_name)
            self.assertIs(bench.queue.may_start(ticket, full), expected)
