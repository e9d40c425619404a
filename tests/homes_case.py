"""Test case with three entries and one instance."""

import dataclasses
import datetime
import unittest

from fireflywell.coordination import home_rows
from fireflywell.infrastructure import records
from fireflywell.requests import home_records
from tests import homes_helpers as helpers

_KEY = "quotes@vm0"


class HomesCase(unittest.TestCase):
    """Starts three entries, of which one is the home of one instance."""

    def setUp(self) -> None:
        """Starts the entries; finds the owner, its successor and the third."""
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
        """Changes the row as another process would."""
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

    def offer(self, sender: helpers.Process) -> None:
        """Makes an entry leave; its offer is sent but not delivered."""
        sender.manager.set_leaving(True)
        sender.step()

    def remove(self, process: helpers.Process) -> None:
        """Ends a process and removes its VM; the others don't notice yet."""
        self.network.kill(process)
        self.network.hosts.discard(process.address.partition(":")[0])

    def prove(self, process: helpers.Process, dead: helpers.Process) -> None:
        """Lets a process read often enough that another one's VM is gone."""
        process.lose(dead.address)
        self.rounds(process, 4)

    def rounds(self, process: helpers.Process, count: int) -> None:
        """Steps a process `count` times without delivering messages."""
        for _ in range(count):
            self.network.clock.advance(datetime.timedelta(seconds=2))
            process.step()

    def assert_homes(self, *expected: helpers.Process) -> None:
        """Checks which processes send to the instance."""
        self.assertEqual(
            self.network.find_homes(_KEY),
            tuple(process.incarnation for process in expected),
        )
