"""Each rule about homes in the one order of events that needs it."""

import dataclasses
import datetime
import unittest

from fireflywell.entry import home_rows
from fireflywell.membership import messages
from fireflywell.platform import records
from fireflywell.requests import home_balance
from fireflywell.requests import home_records
from tests import homes_helpers as helpers

_KEY = "quotes@vm0"


class HomesCase(unittest.TestCase):
    """Starts three entries, of which one is the home of one instance."""

    def setUp(self) -> None:
        """Finds the owner, its successor and the third entry."""
        self.network = helpers.Network(3, instances=1)
        self.network.settle(4)
        record = self.read_record()
        assert record.successor is not None
        processes = self.network.processes
        self.owner = processes[record.owner.address]
        self.successor = processes[record.successor.address]
        (self.third,) = (
            process
            for process in self.network.list_living()
            if process not in (self.owner, self.successor)
        )

    def read_record(self) -> home_records.HomeRecord:
        """Returns the row as the store holds it."""
        key = home_rows.make_home_key(_KEY)
        (row,) = helpers.run_sync(self.network.table.read((key,)))
        return home_rows.decode_home_row(row)

    def write_record(self, **changes: object) -> None:
        """Changes the row as somebody else."""
        record = self.read_record()
        changed = dataclasses.replace(record, **changes)  # type: ignore[arg-type]
        key = home_rows.make_home_key(_KEY)
        value = home_rows.encode_home_record(changed)
        helpers.run_sync(
            self.network.table.transact(
                records.Transaction(
                    "other",
                    (records.Condition(key, record.version),),
                    (records.Write(key, value),),
                )
            )
        )

    def offer(self, giver: helpers.Process) -> None:
        """Lets an entry leave until its offer is on the way."""
        giver.keeper.set_leaving(True)
        giver.step()

    def remove(self, process: helpers.Process) -> None:
        """Ends a process with its VM; the others don't know yet."""
        self.network.kill(process)
        self.network.hosts.discard(process.address.partition(":")[0])

    def prove(self, process: helpers.Process, dead: helpers.Process) -> None:
        """Lets a process find the end of another one's VM."""
        process.lose(dead.address)
        self.rounds(process, 4)

    def rounds(self, process: helpers.Process, count: int) -> None:
        """Does some rounds, without delivering messages."""
        for _ in range(count):
            self.network.clock.advance(datetime.timedelta(seconds=2))
            process.step()

    def assert_homes(self, *expected: helpers.Process) -> None:
        """Checks which processes send to the instance."""
        self.assertEqual(
            self.network.find_homes(_KEY),
            tuple(process.incarnation for process in expected),
        )


class HandoverTest(HomesCase):
    """Gives the home away."""

    def test_handover_needs_no_store(self) -> None:
        """Fails if a leaving entry can't give its homes in an outage."""
        for process in self.network.list_living():
            process.table.is_cut = True
        self.offer(self.owner)
        self.network.deliver_all()
        self.assert_homes(self.successor)
        self.assertEqual(self.successor.keeper.usable_slots(_KEY), 8)
        self.assertEqual(self.read_record().owner.address, self.owner.address)
        self.successor.table.is_cut = False
        self.successor.step()
        record = self.read_record()
        self.assertEqual(record.owner.address, self.successor.address)

    def test_giver_waits_for_its_exchanges(self) -> None:
        """Fails if the receiver's requests come on top of the giver's."""
        self.owner.in_progress[_KEY] = 1
        self.offer(self.owner)
        self.assert_homes()
        self.network.deliver_all()
        self.assert_homes()
        self.owner.in_progress[_KEY] = 0
        self.owner.keeper.advance_handovers()
        self.network.deliver_all()
        self.assert_homes(self.successor)

    def test_unsent_offer_is_withdrawn(self) -> None:
        """Fails if an instance is left without a home by a dead receiver."""
        self.owner.in_progress[_KEY] = 1
        self.offer(self.owner)
        self.owner.lose(self.successor.address)
        self.owner.keeper.advance_handovers()
        self.assert_homes(self.owner)

    def test_giver_stays_out_once_the_offer_was_sent(self) -> None:
        """Fails if a giver takes back what the receiver may have."""
        self.offer(self.owner)
        self.owner.lose(self.successor.address)
        self.owner.keeper.set_leaving(False)
        self.rounds(self.owner, 5)
        self.assert_homes()
        self.network.deliver_all()
        self.assert_homes(self.successor)

    def test_lost_acceptance_is_repeated(self) -> None:
        """Fails if a lost acceptance leaves the giver in doubt for ever."""
        for process in self.network.list_living():
            process.table.is_cut = True
        self.offer(self.owner)
        (offer,) = self.network.on_way
        self.network.on_way.clear()
        self.successor.receive(offer)
        self.network.on_way.clear()
        self.assertTrue(self.owner.keeper.has_handovers)
        self.owner.keeper.advance_handovers()
        self.network.deliver_all()
        self.assertFalse(self.owner.keeper.has_handovers)
        self.assert_homes(self.successor)

    def test_giver_takes_back_from_a_dead_receiver(self) -> None:
        """Fails if an offer lost with its receiver leaves no home for ever."""
        self.offer(self.owner)
        self.network.on_way.clear()
        self.remove(self.successor)
        self.owner.keeper.set_leaving(False)
        self.prove(self.owner, self.successor)
        self.assert_homes(self.owner)

    def test_offer_to_a_former_incarnation_is_ignored(self) -> None:
        """Fails if a restarted receiver accepts what its former self got.

        The former one handed the instance on before it ended.
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
        self.owner.keeper.set_leaving(False)
        for giver in (self.successor, self.owner, self.successor):
            giver.step()
            receiver = self.owner
            if giver is self.owner:
                receiver = self.successor
            self.write_record(
                successor=home_records.EntryId(
                    receiver.address, receiver.incarnation
                )
            )
            self.offer(giver)
            self.network.deliver_all()
            giver.keeper.set_leaving(False)
            self.assert_homes(receiver)
        self.successor.receive(offer)
        self.assert_homes(self.owner)

    def test_only_the_named_successor_gets_an_offer(self) -> None:
        """Fails if the store's row doesn't tell who may be the home."""
        self.owner.table.is_cut = True
        self.owner.lose(self.successor.address)
        self.offer(self.owner)
        self.rounds(self.owner, 3)
        self.network.deliver_all()
        self.assert_homes(self.owner)

    def test_no_offer_while_the_successor_is_in_doubt(self) -> None:
        """Fails if a late write names another one than got the offer."""
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
        """Fails if the row's two processes aren't all that may be home."""
        self.successor.table.is_cut = True
        self.offer(self.owner)
        self.network.deliver_all()
        self.offer(self.successor)
        self.rounds(self.successor, 3)
        self.network.deliver_all()
        self.assert_homes(self.successor)


class TakeoverTest(HomesCase):
    """Takes homes over with and without proof."""

    def test_silence_is_no_proof(self) -> None:
        """Fails if a frozen owner's home is taken by time."""
        for process in (self.successor, self.third):
            process.lose(self.owner.address)
            self.rounds(process, 50)
        self.assert_homes(self.owner)

    def test_one_absent_read_is_no_proof(self) -> None:
        """Fails if one wrong list of the platform costs a home."""
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
        """Fails if an empty list of the platform is taken for deaths."""
        self.network.hosts.clear()
        self.successor.lose(self.owner.address)
        self.rounds(self.successor, 5)
        self.assert_homes(self.owner)

    def test_successor_takes_over_with_free_slots_only(self) -> None:
        """Fails if a dead owner's requests don't count on the instance."""
        self.owner.in_progress[_KEY] = 5
        self.remove(self.owner)
        self.prove(self.successor, self.owner)
        self.assert_homes(self.successor)
        self.assertEqual(self.successor.keeper.usable_slots(_KEY), 3)
        self.network.busy.clear()
        self.successor.step()
        self.assertEqual(self.successor.keeper.usable_slots(_KEY), 8)

    def test_no_slot_before_the_status_was_read(self) -> None:
        """Fails if a successor sends before it knows the free slots."""
        self.remove(self.owner)
        self.successor.lose(self.owner.address)
        for _ in range(4):
            self.network.clock.advance(datetime.timedelta(seconds=2))
            helpers.run_sync(self.successor.keeper.step())
        self.assert_homes(self.successor)
        self.assertEqual(self.successor.keeper.usable_slots(_KEY), 0)

    def test_third_entry_waits_for_the_successor(self) -> None:
        """Fails if a dead owner's home is taken although it was given."""
        self.successor.table.is_cut = True
        self.offer(self.owner)
        self.network.deliver_all()
        self.remove(self.owner)
        self.third.lose(self.successor.address)
        self.prove(self.third, self.owner)
        self.rounds(self.third, 5)
        self.assert_homes(self.successor)

    def test_third_entry_takes_over_from_both(self) -> None:
        """Fails if the death of two entries leaves no home for ever."""
        self.remove(self.owner)
        self.remove(self.successor)
        self.third.lose(self.successor.address)
        self.prove(self.third, self.owner)
        self.assert_homes(self.third)

    def test_new_incarnation_takes_its_predecessors_homes(self) -> None:
        """Fails if a restarted entry stays without its homes."""
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
        """Fails if a process believes in homes of its former self."""
        self.network.kill(self.owner)
        number = int(self.owner.address.split(".")[3].split(":")[0])
        latter = self.network.start(number)
        latter.table.is_cut = True
        self.rounds(latter, 5)
        self.assert_homes()

    def test_offer_of_a_dead_owner_is_declined(self) -> None:
        """Fails if an offer arrives after the home went to somebody else."""
        self.offer(self.owner)
        (offer,) = self.network.on_way
        self.network.on_way.clear()
        self.remove(self.owner)
        self.successor.table.delays = True
        self.prove(self.successor, self.owner)
        self.successor.receive(offer)
        self.assert_homes()

    def test_home_stops_on_a_higher_row(self) -> None:
        """Fails if a home goes on beside the owner that the store names."""
        other = home_records.EntryId("10.0.0.9:7000", "x")
        self.write_record(owner=other, epoch=9)
        self.owner.step()
        self.assert_homes()

    def test_home_stops_on_a_higher_notice(self) -> None:
        """Fails if a home goes on although a peer names a later one."""
        notice = messages.HomeNotice(_KEY, "10.0.0.9:7000", "x", 9)
        self.owner.receive(helpers.Envelope(self.third, self.owner, notice))
        self.assert_homes()

    def test_home_keeps_on_a_lower_notice(self) -> None:
        """Fails if a late notice takes a home away."""
        notice = messages.HomeNotice(_KEY, "10.0.0.9:7000", "x", 1)
        self.owner.receive(helpers.Envelope(self.third, self.owner, notice))
        self.assert_homes(self.owner)


class BalanceTest(unittest.TestCase):
    """Spreads homes over entries."""

    def test_homes_are_even_and_in_the_own_zone(self) -> None:
        """Fails if an entry gets two homes of a service before others one."""
        network = helpers.Network(6, instances=6)
        network.settle(4)
        for process in network.list_living():
            held = [
                key
                for key in network.instance_ids
                if process.keeper.is_home(key)
            ]
            self.assertEqual(len(held), 1)
            zone = helpers.ZONES[int(held[0][-1]) % 3]
            self.assertEqual(zone, process.zone)

    def test_joining_entry_gets_its_share_and_no_more(self) -> None:
        """Fails if rebalancing doesn't happen, overshoots or never ends."""
        network = helpers.Network(2, instances=6)
        network.settle(4)
        network.hosts.add("10.0.0.2")
        network.start(2)
        network.settle(30)
        counts = sorted(
            sum(process.keeper.is_home(key) for key in network.instance_ids)
            for process in network.list_living()
        )
        self.assertEqual(counts, [2, 2, 2])
        writes = network.table.writes
        network.settle(10)
        self.assertEqual(network.table.writes, writes)

    def test_only_the_fullest_entry_gives(self) -> None:
        """Fails if two entries give to the same one at once."""
        entries = [
            home_records.EntryId(f"10.0.0.{n}:7000", str(n)) for n in range(3)
        ]
        placements = tuple(
            home_records.Placement(f"quotes@{n}", "quotes", "a", entries[n % 2])
            for n in range(4)
        )
        candidates = tuple(
            home_records.Candidate(entry, "a") for entry in entries
        )
        moves = [
            home_balance.choose_move(entry, placements, candidates)
            for entry in entries
        ]
        self.assertEqual(
            [move is not None for move in moves], [False, True, False]
        )
