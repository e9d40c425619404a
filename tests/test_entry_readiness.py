"""When an entry tells the balancer that it may receive callers."""

import dataclasses
import unittest

from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import model
from fireflywell.entry import readiness
from fireflywell.fleet import view as view_lib
from fireflywell.fleet import vm_records
from fireflywell.membership import links
from fireflywell.membership import messages
from tests import fleet_samples


class FakeInstances:
    """Knows the homes of this entry."""

    def __init__(self) -> None:
        self.homes: tuple[str, ...] = ()

    def list_homes(self, service: str) -> tuple[str, ...]:
        """Returns the instances of a service whose home the entry is."""
        del service
        return self.homes


class FakeLinks(links.NullPeerLinks):
    """Knows a peer that reports its load."""

    def __init__(self) -> None:
        super().__init__("127.0.0.1:1", "own")
        self.peers: tuple[links.PeerView, ...] = ()

    def list_peers(self) -> tuple[links.PeerView, ...]:
        """Returns the peers."""
        return self.peers


class ReadinessTest(unittest.TestCase):
    """Steps of a starting entry."""

    def setUp(self) -> None:
        """Makes an entry that knows nothing."""
        self.holder = holder_lib.BundleHolder()
        self.view = view_lib.FleetView()
        self.instances = FakeInstances()
        self.links = FakeLinks()
        self.readiness = readiness.Readiness(
            self.holder, self.view, self.instances, self.links
        )

    def adopt_bundle(self) -> None:
        """Puts a bundle with one service in force."""
        pools = (model.Pool("quotes", 1),)
        self.holder.adopt(
            fleet_samples.make_bundle(pools, fleet_samples.NO_BUDGET)
        )

    def read_fleet(self) -> None:
        """Reads one VM that serves."""
        self.view.set_vms(fleet_samples.make_vms(1))
        self.view.set_assignment(vm_records.VmRecord("vm00", "quotes"))
        self.view.mark_loaded()

    def test_entry_without_a_home_lets_no_caller_wait(self) -> None:
        """Fails if requests queue at an entry that can send them nowhere."""
        self.assertIn("no bundle", self.readiness.explain_not_ready())
        self.adopt_bundle()
        self.assertIn("hasn't been read", self.readiness.explain_not_ready())
        self.read_fleet()
        self.assertIn("home", self.readiness.explain_not_ready())
        self.instances.homes = ("quotes@vm00",)
        self.assertEqual(self.readiness.explain_not_ready(), "")
        self.instances.homes = ()
        self.assertEqual(self.readiness.explain_not_ready(), "")

    def test_peer_with_homes_is_enough_in_an_outage(self) -> None:
        """Fails if an entry that starts in an outage never gets ready."""
        self.adopt_bundle()
        peer = links.PeerView(
            "127.0.0.2:1",
            "a",
            messages.Role.ENTRY,
            "peer",
            links.PeerState.SUSPECT,
            True,
            False,
            1,
            (messages.ServiceLoad("quotes", 8, 0),),
        )
        self.links.peers = (peer,)
        self.assertNotEqual(self.readiness.explain_not_ready(), "")
        alive = dataclasses.replace(peer, state=links.PeerState.ALIVE)
        self.links.peers = (alive,)
        self.assertEqual(self.readiness.explain_not_ready(), "")

    def test_fleet_without_instances_is_no_obstacle(self) -> None:
        """Fails if a first roll-out waits for VMs that come later."""
        self.adopt_bundle()
        self.view.mark_loaded()
        self.assertEqual(self.readiness.explain_not_ready(), "")
