"""Takeovers: for each rule, the order of events that breaks without it."""

import datetime

from fireflywell.membership import messages
from fireflywell.requests import home_records
from tests import homes_case
from tests import homes_helpers as helpers

_KEY = "quotes@vm0"


class TakeoverTest(homes_case.HomesCase):
    """Takeovers with and without proof of the owner's death."""

    def test_silence_is_no_proof(self) -> None:
        """Fails if a paused owner loses its home because it is silent."""
        for process in (self.successor, self.third):
            process.lose(self.owner.address)
            self.rounds(process, 50)
        self.assert_homes(self.owner)

    def test_one_absent_read_is_no_proof(self) -> None:
        """Fails if one wrong VM list of the platform causes a takeover."""
        host = self.owner.address.partition(":")[0]
        self.network.hosts.discard(host)
        self.successor.lose(self.owner.address)
        self.rounds(self.successor, 1)
        self.network.hosts.add(host)
        self.rounds(self.successor, 1)
        self.network.hosts.discard(host)
        self.rounds(self.successor, 1)
        self.assert_homes(self.owner)

    def test_list_without_the_own_vm_is_no_proof(self) -> None:
        """Fails if an empty VM list of the platform proves deaths."""
        self.network.hosts.clear()
        self.successor.lose(self.owner.address)
        self.rounds(self.successor, 5)
        self.assert_homes(self.owner)

    def test_successor_takes_over_with_free_slots_only(self) -> None:
        """Fails if slots that a dead owner's requests occupy are used again."""
        self.owner.in_progress[_KEY] = 5
        self.remove(self.owner)
        self.prove(self.successor, self.owner)
        self.assert_homes(self.successor)
        self.assertEqual(self.successor.manager.usable_slots(_KEY), 3)
        self.network.busy.clear()
        self.successor.step()
        self.assertEqual(self.successor.manager.usable_slots(_KEY), 8)

    def test_no_slot_before_the_status_was_read(self) -> None:
        """Fails if a successor sends before it read the instance's status."""
        self.remove(self.owner)
        self.successor.lose(self.owner.address)
        for _ in range(4):
            self.network.clock.advance(datetime.timedelta(seconds=2))
            helpers.run_sync(self.successor.manager.step())
        self.assert_homes(self.successor)
        self.assertEqual(self.successor.manager.usable_slots(_KEY), 0)

    def test_third_entry_waits_for_the_successor(self) -> None:
        """Fails if a home that a dead owner had handed over is taken over."""
        self.successor.table.is_cut = True
        self.offer(self.owner)
        self.network.deliver_all()
        self.remove(self.owner)
        self.third.lose(self.successor.address)
        self.prove(self.third, self.owner)
        self.rounds(self.third, 5)
        self.assert_homes(self.successor)

    def test_third_entry_takes_over_from_both(self) -> None:
        """Fails if the death of owner and successor leaves no home."""
        self.remove(self.owner)
        self.remove(self.successor)
        self.third.lose(self.successor.address)
        self.prove(self.third, self.owner)
        self.assert_homes(self.third)

    def test_new_incarnation_takes_its_predecessors_homes(self) -> None:
        """Fails if a restarted entry doesn't get its predecessor's homes."""
        self.network.kill(self.owner)
        number = int(self.owner.address.split(".")[3].split(":")[0])
        latter = self.network.start(number)
        self.assert_homes()
        for peer in self.network.list_living():
            if peer is not latter:
                latter.hear(peer)
                peer.hear(latter)
        latter.step()
        self.assert_homes()
        self.successor.step()
        latter.step()
        self.assert_homes(latter)

    def test_restart_without_store_owns_nothing(self) -> None:
        """Fails if a restarted process is home without reading the row."""
        self.network.kill(self.owner)
        number = int(self.owner.address.split(".")[3].split(":")[0])
        latter = self.network.start(number)
        latter.table.is_cut = True
        self.rounds(latter, 5)
        self.assert_homes()

    def test_offer_of_a_dead_owner_is_declined(self) -> None:
        """Fails if an offer is accepted during a takeover from its sender."""
        self.offer(self.owner)
        (offer,) = self.network.on_way
        self.network.on_way.clear()
        self.remove(self.owner)
        self.successor.table.delays = True
        self.prove(self.successor, self.owner)
        self.successor.receive(offer)
        self.assert_homes()

    def test_home_stops_on_a_higher_row(self) -> None:
        """Fails if an entry stays home after a row names a later owner."""
        other = home_records.EntryId("10.0.0.9:7000", "x")
        self.write_record(owner=other, epoch=9)
        self.owner.step()
        self.assert_homes()

    def test_home_stops_on_a_higher_notice(self) -> None:
        """Fails if an entry stays home after a peer names a later home."""
        notice = messages.HomeNotice(_KEY, "10.0.0.9:7000", "x", 9)
        self.owner.receive(helpers.Envelope(self.third, self.owner, notice))
        self.assert_homes()

    def test_home_keeps_on_a_lower_notice(self) -> None:
        """Fails if a delayed notice with an old epoch ends a home."""
        notice = messages.HomeNotice(_KEY, "10.0.0.9:7000", "x", 1)
        self.owner.receive(helpers.Envelope(self.third, self.owner, notice))
        self.assert_homes(self.owner)
