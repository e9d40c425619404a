"""Handovers: for each rule, the order of events that breaks without it."""

from fireflywell.membership import messages
from fireflywell.requests import home_records
from tests import homes_case
from tests import homes_helpers as helpers

_KEY = "quotes@vm0"


class HandoverTest(homes_case.HomesCase):
    """Handovers of a home between three entries."""

    def test_handover_needs_no_store(self) -> None:
        """Fails if a leaving entry can't hand over homes in a store outage."""
        for process in self.network.list_living():
            process.table.is_cut = True
        self.offer(self.owner)
        self.network.deliver_all()
        self.assert_homes(self.successor)
        self.assertEqual(self.successor.manager.usable_slots(_KEY), 0)
        self.successor.step()
        self.assertEqual(self.successor.manager.usable_slots(_KEY), 8)
        self.assertEqual(self.read_record().owner.address, self.owner.address)
        self.successor.table.is_cut = False
        self.successor.step()
        record = self.read_record()
        self.assertEqual(record.owner.address, self.successor.address)

    def test_sender_waits_for_its_requests(self) -> None:
        """Fails if the receiver sends before the sender's requests end."""
        self.owner.in_progress[_KEY] = 1
        self.offer(self.owner)
        self.assert_homes()
        self.network.deliver_all()
        self.assert_homes()
        self.owner.in_progress[_KEY] = 0
        self.owner.manager.advance_handovers()
        self.network.deliver_all()
        self.assert_homes(self.successor)

    def test_requests_of_a_dead_home_count_after_a_handover(self) -> None:
        """Fails if a receiver uses slots that a dead home's requests occupy."""
        self.network.busy[_KEY] = 5
        self.offer(self.owner)
        self.network.deliver_all()
        self.successor.step()
        self.assertEqual(self.successor.manager.usable_slots(_KEY), 3)

    def test_unsent_offer_is_withdrawn(self) -> None:
        """Fails if a dead receiver leaves an instance without a home.

        The receiver becomes silent before its offer was sent.
        """
        self.owner.in_progress[_KEY] = 1
        self.offer(self.owner)
        self.owner.lose(self.successor.address)
        self.owner.manager.advance_handovers()
        self.assert_homes(self.owner)

    def test_sender_is_not_home_once_the_offer_was_sent(self) -> None:
        """Fails if the sender is home again although the receiver may be."""
        self.offer(self.owner)
        self.owner.lose(self.successor.address)
        self.owner.manager.set_leaving(False)
        self.rounds(self.owner, 5)
        self.assert_homes()
        self.network.deliver_all()
        self.assert_homes(self.successor)

    def test_lost_acceptance_is_repeated(self) -> None:
        """Fails if a lost acceptance leaves a handover unfinished for ever."""
        for process in self.network.list_living():
            process.table.is_cut = True
        self.offer(self.owner)
        (offer,) = self.network.on_way
        self.network.on_way.clear()
        self.successor.receive(offer)
        self.network.on_way.clear()
        self.assertTrue(self.owner.manager.has_handovers)
        self.owner.manager.advance_handovers()
        self.network.deliver_all()
        self.assertFalse(self.owner.manager.has_handovers)
        self.assert_homes(self.successor)

    def test_sender_takes_over_from_a_dead_receiver(self) -> None:
        """Fails if the death of the receiver of an offer leaves no home."""
        self.offer(self.owner)
        self.network.on_way.clear()
        self.remove(self.successor)
        self.owner.manager.set_leaving(False)
        self.prove(self.owner, self.successor)
        self.assert_homes(self.owner)

    def test_offer_to_a_former_incarnation_is_ignored(self) -> None:
        """Fails if a restarted receiver accepts its predecessor's offer.

        The predecessor had handed the instance over to a third entry.
        """
        self.offer(self.owner)
        self.network.deliver_all()
        self.owner.table.is_cut = True
        self.network.on_way.clear()
        self.successor.step()
        self.write_record(
            successor=home_records.EntryId(
                self.third.address, self.third.incarnation
            )
        )
        self.successor.step()
        self.offer(self.successor)
        self.network.deliver_all()
        self.assert_homes(self.third)
        self.network.kill(self.successor)
        number = int(self.successor.address.split(".")[3].split(":")[0])
        latter = self.network.start(number)
        former = self.successor.incarnation
        offer = messages.HandOver(_KEY, 2, former)
        latter.receive(helpers.Envelope(self.owner, latter, offer))
        self.assert_homes(self.third)

    def test_old_offer_is_ignored(self) -> None:
        """Fails if a repeated offer of an earlier handover is accepted."""
        self.offer(self.owner)
        offer, *_ = self.network.on_way
        self.network.deliver_all()
        self.owner.manager.set_leaving(False)
        for sender in (self.successor, self.owner, self.successor):
            sender.step()
            receiver = self.owner
            if sender is self.owner:
                receiver = self.successor
            self.write_record(
                successor=home_records.EntryId(
                    receiver.address, receiver.incarnation
                )
            )
            self.offer(sender)
            self.network.deliver_all()
            sender.manager.set_leaving(False)
            self.assert_homes(receiver)
        self.successor.receive(offer)
        self.assert_homes(self.owner)

    def test_only_the_named_successor_gets_an_offer(self) -> None:
        """Fails if an entry that the row doesn't name can become the home."""
        self.owner.table.is_cut = True
        self.owner.lose(self.successor.address)
        self.offer(self.owner)
        self.rounds(self.owner, 3)
        self.network.deliver_all()
        self.assert_homes(self.owner)

    def test_no_offer_while_the_successor_is_in_doubt(self) -> None:
        """Fails if a delayed write replaces a successor that got an offer."""
        self.owner.table.delays = True
        self.owner.lose(self.successor.address)
        self.owner.step()
        self.owner.hear(self.successor)
        self.owner.table.is_cut = True
        self.offer(self.owner)
        self.rounds(self.owner, 3)
        self.network.deliver_all()
        self.assert_homes(self.owner)
        self.owner.table.deliver(0)
        self.assertEqual(self.read_record().epoch, 1)

    def test_received_home_is_not_handed_on_before_its_row(self) -> None:
        """Fails if a receiver hands over before the row names it as owner."""
        self.successor.table.is_cut = True
        self.offer(self.owner)
        self.network.deliver_all()
        self.offer(self.successor)
        self.rounds(self.successor, 3)
        self.network.deliver_all()
        self.assert_homes(self.successor)
