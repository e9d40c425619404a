"""Balance of homes over entries, and the encoding of their rows."""

import json
import unittest

from fireflywell.coordination import home_rows
from fireflywell.infrastructure import records
from fireflywell.requests import home_balance
from fireflywell.requests import home_records
from tests import homes_helpers as helpers

_KEY = "quotes@vm0"


class BalanceTest(unittest.TestCase):
    """Balances homes over entries."""

    def test_homes_are_even_and_in_the_own_zone(self) -> None:
        """Fails if an entry gets two homes of a service before others one."""
        network = helpers.Network(6, instances=6)
        network.settle(4)
        for process in network.list_living():
            held = [
                key
                for key in network.instance_ids
                if process.manager.is_home(key)
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
            sum(process.manager.is_home(key) for key in network.instance_ids)
            for process in network.list_living()
        )
        self.assertEqual(counts, [2, 2, 2])
        writes = network.table.writes
        network.settle(10)
        self.assertEqual(network.table.writes, writes)

    def test_only_the_most_loaded_entry_hands_over(self) -> None:
        """Fails if two entries hand over homes to the same entry at once."""
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


class RowTest(unittest.TestCase):
    """Encodes and decodes rows."""

    def test_row_names_the_owner_at_its_top_level(self) -> None:
        """Fails if other processes can't read who the home is."""
        owner = home_records.EntryId("10.0.0.1:7000", "one")
        death_reporter = home_records.EntryId("10.0.0.1:7000", "two")
        successor = home_records.EntryId("10.0.0.2:7000", "three")
        record = home_records.HomeRecord(
            _KEY, owner, 5, successor, True, False, death_reporter, 7
        )
        value = home_rows.encode_home_record(record)
        document = json.loads(value)
        self.assertEqual(document["address"], owner.address)
        self.assertEqual(document["incarnation"], "one")
        self.assertEqual(document["epoch"], 5)
        row = records.Row(home_rows.make_home_key(_KEY), 7, 9, value, "id")
        self.assertEqual(home_rows.decode_home_row(row), record)
        self.assertEqual(
            home_rows.list_possible_homes(record), frozenset(("three",))
        )

    def test_invalid_rows_are_refused(self) -> None:
        """Fails if an invalid row stops the manager or is read as a home."""
        for value in ("", "[]", '{"address": "a"}', '{"epoch": true}'):
            with self.assertRaises(ValueError):
                home_rows.decode_home_row(
                    records.Row("home/x", 1, 1, value, "")
                )
