"""Checks homes under random orders of faults."""

import datetime
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests import homes_helpers as helpers

_ENTRIES = 3
_NUMBERS = strategies.integers(0, _ENTRIES - 1)
_INDEXES = strategies.integers(0, 50)
_SLOTS = 8


class HomesMachine(stateful.RuleBasedStateMachine):
    """Delays, loses and repeats messages and writes between entries.

    The oracle is the set of living processes that send to an instance, and
    the number of requests that an instance has from all processes, dead ones
    included.
    """

    def __init__(self) -> None:
        super().__init__()
        self.network = helpers.Network(_ENTRIES, instances=2)
        self.paused: set[str] = set()

    def _find(self, number: int) -> helpers.Process | None:
        process = self.network.processes.get(f"10.0.0.{number}:7000")
        if process is None or process.incarnation in self.paused:
            return None
        return process

    @stateful.rule(number=_NUMBERS)
    def step(self, number: int) -> None:
        """Does one round of a manager."""
        process = self._find(number)
        if process is not None:
            process.note_fleet()
            process.step()

    @stateful.rule()
    def work(self) -> None:
        """Everything works for a moment, but for the paused processes."""
        for _ in range(2):
            for number in range(_ENTRIES):
                for other in range(_ENTRIES):
                    self.hear(number, other)
                self.step(number)
            for _ in range(len(self.network.on_way)):
                self.deliver(0, False)

    @stateful.rule(number=_NUMBERS, other=_NUMBERS)
    def hear(self, number: int, other: int) -> None:
        """Delivers a heartbeat."""
        process, peer = self._find(number), self._find(other)
        if process is not None and peer is not None and process is not peer:
            process.hear(peer)

    @stateful.rule(number=_NUMBERS, other=_NUMBERS)
    def lose(self, number: int, other: int) -> None:
        """Ends the heartbeats between two processes."""
        process = self._find(number)
        if process is not None:
            process.lose(f"10.0.0.{other}:7000")

    @stateful.precondition(lambda self: self.network.on_way)
    @stateful.rule(index=_INDEXES, is_repeated=strategies.booleans())
    def deliver(self, index: int, is_repeated: bool) -> None:
        """Delivers a message, out of order, and perhaps again later."""
        on_way = self.network.on_way
        envelope = on_way.pop(index % len(on_way))
        if is_repeated or envelope.receiver.incarnation in self.paused:
            on_way.append(envelope)
        if envelope.receiver.incarnation in self.paused:
            return
        if envelope.receiver.is_alive:
            envelope.receiver.receive(envelope)

    @stateful.precondition(lambda self: self.network.on_way)
    @stateful.rule(index=_INDEXES)
    def drop(self, index: int) -> None:
        """Loses a message."""
        on_way = self.network.on_way
        on_way.pop(index % len(on_way))

    @stateful.rule(
        number=_NUMBERS,
        is_cut=strategies.booleans(),
        loses_answers=strategies.booleans(),
        delays=strategies.booleans(),
    )
    def change_store(
        self, number: int, is_cut: bool, loses_answers: bool, delays: bool
    ) -> None:
        """Changes what happens to an entry's calls of the store."""
        process = self._find(number)
        if process is not None:
            process.table.is_cut = is_cut
            process.table.loses_answers = loses_answers
            process.table.delays = delays
            if delays:
                self.late_tables.append(process.table)

    @stateful.initialize()
    def prepare(self) -> None:
        """Starts with all instances owned."""
        self.late_tables: list[helpers.EntryTable] = []
        self.network.settle(4)

    @stateful.rule(index=_INDEXES, choice=_INDEXES)
    def deliver_write(self, index: int, choice: int) -> None:
        """Lets a late write reach the store, also of a dead process."""
        tables = [table for table in self.late_tables if table.on_way]
        if tables:
            table = tables[choice % len(tables)]
            table.deliver(index % len(table.on_way))

    @stateful.rule(number=_NUMBERS, is_up=strategies.booleans())
    def leave(self, number: int, is_up: bool) -> None:
        """Makes an entry give away all its homes."""
        process = self._find(number)
        if process is not None:
            process.manager.set_leaving(is_up)

    @stateful.rule(number=_NUMBERS, is_leaving=strategies.booleans())
    def give(self, number: int, is_leaving: bool) -> None:
        """Makes an entry offer all its homes; the offers are on their way."""
        process = self._find(number)
        if process is None:
            return
        for other in range(_ENTRIES):
            self.hear(number, other)
        process.manager.set_leaving(True)
        process.step()
        process.step()
        process.manager.set_leaving(is_leaving)

    @stateful.rule(
        number=_NUMBERS, other=_NUMBERS, is_vm_removed=strategies.booleans()
    )
    def replace(self, number: int, other: int, is_vm_removed: bool) -> None:
        """Ends a process and lets another one find that out."""
        self.kill(number, is_vm_removed)
        if not is_vm_removed:
            self.restart(number)
            self.step(number)
        process = self._find(other)
        if process is None:
            return
        process.lose(f"10.0.0.{number}:7000")
        for _ in range(3):
            self.network.clock.advance(datetime.timedelta(seconds=2))
            process.step()

    @stateful.rule(number=_NUMBERS)
    def pause(self, number: int) -> None:
        """Freezes a process."""
        process = self._find(number)
        if process is not None:
            self.paused.add(process.incarnation)

    @stateful.rule()
    def resume(self) -> None:
        """Lets all frozen processes go on."""
        self.paused.clear()

    @stateful.rule(number=_NUMBERS, is_vm_removed=strategies.booleans())
    def kill(self, number: int, is_vm_removed: bool) -> None:
        """Ends a process, perhaps with its VM."""
        process = self.network.processes.get(f"10.0.0.{number}:7000")
        if process is None:
            return
        self.network.kill(process)
        if is_vm_removed:
            self.network.hosts.discard(f"10.0.0.{number}")

    @stateful.rule(number=_NUMBERS)
    def restart(self, number: int) -> None:
        """Starts a process where none runs, perhaps on a new VM."""
        if f"10.0.0.{number}:7000" not in self.network.processes:
            self.network.hosts.add(f"10.0.0.{number}")
            self.network.start(number)

    @stateful.rule(seconds=strategies.sampled_from((1, 3, 60)))
    def advance(self, seconds: int) -> None:
        """Lets time pass."""
        self.network.clock.advance(datetime.timedelta(seconds=seconds))

    @stateful.rule(number=_NUMBERS)
    def isolate(self, number: int) -> None:
        """Cuts an entry off from all others for some rounds."""
        process = self._find(number)
        if process is not None:
            for other in range(_ENTRIES):
                process.lose(f"10.0.0.{other}:7000")
            process.step()
            process.step()

    @stateful.rule(number=_NUMBERS)
    def finish_requests(self, number: int) -> None:
        """Ends an entry's requests."""
        process = self._find(number)
        if process is not None:
            process.in_progress.clear()
            process.step()

    @stateful.rule()
    def finish_orphans(self) -> None:
        """Ends the requests that dead processes left."""
        self.network.busy.clear()

    @stateful.invariant()
    def at_most_one_home(self) -> None:
        """No instance has two homes."""
        for key in self.network.instance_ids:
            homes = self.network.find_homes(key)
            assert len(homes) <= 1, f"{key} has the homes {homes}"

    def _fill_slots(self) -> None:
        """Every entry always uses all slots that it may use."""
        for process in self.network.list_living():
            if process.incarnation in self.paused:
                continue
            for key in self.network.instance_ids:
                used = process.in_progress.get(key, 0)
                slots = process.manager.usable_slots(key)
                process.in_progress[key] = max(used, slots)

    @stateful.invariant()
    def slots_are_not_exceeded(self) -> None:
        """No instance has more requests than slots."""
        self._fill_slots()
        for key in self.network.instance_ids:
            count = self.network.busy.get(key, 0) + sum(
                process.in_progress.get(key, 0)
                for process in self.network.list_living()
            )
            assert count <= _SLOTS, f"{key} has {count} requests"

    def teardown(self) -> None:
        """Heals everything: each instance then has exactly one home."""
        self.paused.clear()
        for number in range(_ENTRIES):
            self.restart(number)
        for process in self.network.list_living():
            process.manager.set_leaving(False)
            process.in_progress.clear()
            process.table.is_cut = False
            process.table.loses_answers = False
            process.table.delays = False
        self.network.settle()
        for key in self.network.instance_ids:
            homes = self.network.find_homes(key)
            assert len(homes) == 1, f"{key} has the homes {homes} after all"


class HomesTest(unittest.TestCase):
    """Runs the state machine with a fixed seed."""

    def test_one_home_at_most_and_one_in_the_end(self) -> None:
        """Fails if an instance has two homes, or none after all faults end."""
        stateful.run_state_machine_as_test(
            HomesMachine,
            settings=hypothesis.settings(
                derandomize=True,
                database=None,
                deadline=None,
                max_examples=300,
                stateful_step_count=40,
            ),
        )
