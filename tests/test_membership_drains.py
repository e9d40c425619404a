"""Answers to the drain decisions of the maintenance planner."""

import unittest

from fireflywell.entry import drain_confirmer
from fireflywell.fleet import view as view_lib
from fireflywell.membership import links
from fireflywell.membership import messages

_CONTROL = "10.0.0.1:7001"


class _Links(links.NullPeerLinks):
    """Notes what is sent."""

    def __init__(self) -> None:
        super().__init__("10.0.0.2:7000", "own")
        self.sent: list[messages.Message] = []
        self.handlers: list[links.MessageHandler] = []

    def subscribe(self, handler: links.MessageHandler) -> None:
        self.handlers.append(handler)

    def send(self, address: str, message: messages.Message) -> None:
        assert address == _CONTROL
        self.sent.append(message)


class DrainConfirmerTest(unittest.TestCase):
    """Feeds notices to a confirmer."""

    def setUp(self) -> None:
        """Makes a confirmer with two requests on each VM."""
        self.links = _Links()
        self.view = view_lib.FleetView()
        drain_confirmer.DrainConfirmer(self.links, self.view, lambda _: 2)

    def _notify(self, vm_id: str, move_id: str, token: int) -> None:
        peer = links.PeerView(
            _CONTROL,
            "a",
            messages.Role.CONTROL,
            "planner",
            links.PeerState.ALIVE,
            True,
            False,
            1,
            (),
        )
        notice = messages.DrainNotice(vm_id, move_id, token)
        for handler in self.links.handlers:
            handler(peer, notice)

    def test_notice_stops_new_work_and_is_confirmed(self) -> None:
        """Fails if a planned stop isn't told of requests in progress."""
        self._notify("vm1", "move1", 3)
        self.assertTrue(self.view.is_vm_leaving("vm1"))
        self.assertFalse(self.view.is_vm_leaving("vm2"))
        self.assertEqual(
            self.links.sent, [messages.DrainConfirm("vm1", "move1", "own", 2)]
        )

    def test_repeated_notice_is_confirmed_again(self) -> None:
        """Fails if a lost confirmation holds up a planned stop for ever."""
        self._notify("vm1", "move1", 3)
        self._notify("vm1", "move1", 3)
        self.assertEqual(len(self.links.sent), 2)

    def test_notice_of_a_former_planner_is_ignored(self) -> None:
        """Fails if a planner that lost its lease can drain a VM."""
        self._notify("vm1", "move2", 4)
        self._notify("vm1", "move1", 3)
        self.assertEqual(len(self.links.sent), 1)
        self._notify("vm2", "move1", 3)
        self.assertTrue(self.view.is_vm_leaving("vm2"))
