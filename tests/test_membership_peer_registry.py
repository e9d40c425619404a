"""Who is alive, who was replaced, and what waits for a slow peer."""

import datetime
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.membership import links
from fireflywell.membership import messages
from fireflywell.membership import peer_registry
from fireflywell.membership import send_queue

_ADDRESS = "10.0.0.1:7000"


def make_hello(incarnation: str, address: str = _ADDRESS) -> messages.Hello:
    """Returns the identity of a peer."""
    return messages.Hello(address, "a", messages.Role.ENTRY, incarnation, 1)


class PeerRegistryTest(unittest.TestCase):
    """Feeds a peer registry with a clock set by hand."""

    def setUp(self) -> None:
        """Makes a registry with one configured peer."""
        self.clock = clock_lib.ManualClock()
        self.registry = peer_registry.PeerRegistry((_ADDRESS,), self.clock)

    def _find_state(self) -> links.PeerState:
        (view,) = self.registry.list_views()
        return view.state

    def test_silent_peer_is_suspect_and_never_gone_by_time(self) -> None:
        """Fails if silence alone is taken for death."""
        self.registry.admit(make_hello("one"), 0)
        self.assertIs(self._find_state(), links.PeerState.ALIVE)
        self.clock.advance(datetime.timedelta(seconds=4))
        self.assertIs(self._find_state(), links.PeerState.SUSPECT)
        self.clock.advance(datetime.timedelta(days=2))
        self.assertIs(self._find_state(), links.PeerState.SUSPECT)
        self.registry.update_listed_hosts(frozenset(("10.0.0.2",)))
        self.assertIs(self._find_state(), links.PeerState.GONE)
        beat = messages.Heartbeat(1, 0, "", True, False)
        self.registry.handle_message(make_hello("one"), beat)
        self.assertIs(self._find_state(), links.PeerState.ALIVE)

    def test_replaced_process_is_refused(self) -> None:
        """Fails if late frames of a dead process count as its successor's."""
        self.registry.admit(make_hello("one"), 0)
        self.assertEqual(
            self.registry.admit(make_hello("two"), 1),
            peer_registry.AdmittedReplacement("one"),
        )
        late = messages.Heartbeat(9, 9, "", True, True)
        self.assertIsNone(self.registry.handle_message(make_hello("one"), late))
        again = self.registry.admit(make_hello("one"), 2)
        self.assertIsInstance(again, peer_registry.NotAdmitted)
        (view,) = self.registry.list_views()
        self.assertEqual((view.incarnation, view.is_leaving), ("two", False))

    def test_answer_to_an_earlier_challenge_replaces_nobody(self) -> None:
        """Fails if a process that died first is taken for the newer one."""
        self.registry.admit(make_hello("two"), 5)
        late = self.registry.admit(make_hello("one"), 4)
        self.assertIsInstance(late, peer_registry.NotAdmitted)
        (view,) = self.registry.list_views()
        self.assertEqual(view.incarnation, "two")

    def test_unknown_address_is_refused(self) -> None:
        """Fails if a process that isn't configured becomes a peer."""
        other = make_hello("one", "10.0.0.9:7000")
        decision = self.registry.admit(other, 0)
        self.assertIsInstance(decision, peer_registry.NotAdmitted)
        self.assertEqual(self.registry.list_views(), ())


class SendQueueTest(unittest.TestCase):
    """Fills the queue of a peer that takes nothing."""

    def test_slow_peer_loses_outdated_loads_only(self) -> None:
        """Fails if a drain or home is dropped, or old loads pile up."""
        queue = send_queue.SendQueue()
        homes = [
            messages.HomeNotice(f"quotes@{number}", _ADDRESS, "one", 1)
            for number in range(100)
        ]
        for number, home in enumerate(homes):
            load = messages.ServiceLoad("quotes", number, 0)
            queue.put(messages.Heartbeat(number, 0, "", True, False))
            queue.put(messages.LoadReport((load,)))
            queue.put(home)
            queue.put(home)
        batch = anyio.run(queue.take_batch)
        self.assertEqual([item for item in batch if item in homes], homes)
        self.assertEqual(batch[0], messages.Heartbeat(99, 0, "", True, False))
        self.assertEqual(
            batch[-1],
            messages.LoadReport((messages.ServiceLoad("quotes", 99, 0),)),
        )
        self.assertEqual(len(batch), 102)

    def test_unchanged_loads_are_not_sent_again(self) -> None:
        """Fails if idle services cost bytes each second."""
        queue = send_queue.SendQueue()
        report = messages.LoadReport((messages.ServiceLoad("quotes", 1, 0),))
        queue.put(report)
        self.assertEqual(anyio.run(queue.take_batch), (report,))
        queue.put(report)
        self.assertEqual(len(queue), 0)

    def test_overflow_closes_the_link_instead_of_dropping(self) -> None:
        """Fails if memory grows without bound or a drain is lost unseen."""
        queue = send_queue.SendQueue()
        for number in range(send_queue.WAITING_LIMIT + 1):
            queue.put(messages.DrainNotice("vm", f"move{number}", 1))
        self.assertEqual(len(queue), send_queue.WAITING_LIMIT)
        with self.assertRaises(errors.PeerUnreachableError):
            anyio.run(queue.take_batch)
