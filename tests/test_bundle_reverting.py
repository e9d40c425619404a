"""An accepted bundle is never replaced or reverted."""

import datetime

import hypothesis
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from fireflywell.bundle import acceptance
from tests import bundle_samples
from tests import rollout_harness
from tests import stepped_calls

Fate = stepped_calls.Fate


class RolloutMachine(stateful.RuleBasedStateMachine):
    """Several processes and operators; the store is seen as it truly is."""

    def __init__(self) -> None:
        super().__init__()
        self.time = stepped_calls.TrueTime()
        self.store = stepped_calls.Store()
        self.objects = bundle_samples.MemoryObjects()
        self.operators = rollout_harness.Operators(
            self.store, self.objects, self.time
        )
        self.processes = [self.make_process(number) for number in range(3)]
        self.highest = [0, 0, 0]
        self.digests: dict[int, str] = {}
        self.running: list[stepped_calls.Task] = []

    def make_process(self, number: int) -> rollout_harness.Process:
        """Returns a process with an empty memory."""
        table = rollout_harness.ViewedTable(self.store)
        return rollout_harness.Process(number, self.time, table, self.objects)

    @stateful.initialize(count=strategies.integers(0, 4))
    def roll_out_some(self, count: int) -> None:
        """Begins before or after the change of signers."""
        for _ in range(count):
            self.roll_out()
            self.nothing_reverts()

    @stateful.precondition(lambda self: not self.objects.is_down)
    @stateful.rule(number=strategies.integers(0, 2))
    def read_late(self, number: int) -> None:
        """Lets a process adopt the newest and then read old copies."""
        table = self.processes[number].table
        old = table.freeze_reads()
        self.roll_out()
        table.recover()
        self.poll(number)
        self.nothing_reverts()
        table.freeze_reads(old)
        for _ in range(2):
            self.poll(number)

    @stateful.precondition(lambda self: not self.objects.is_down)
    @stateful.rule()
    def begin_rollout(self) -> None:
        """Lets an operator begin; several may run at once."""
        signed = self.operators.prepare()
        self.running.append(self.operators.start(signed))

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        index=strategies.integers(0, 9), fate=strategies.sampled_from(Fate)
    )
    def serve_operator(self, index: int, fate: Fate) -> None:
        """Decides the fate of an operator's call."""
        task = self.running[index % len(self.running)]
        self.store.serve(task, fate)
        self.time.now += datetime.timedelta(seconds=0.5)
        task.wake_if_due()

    @stateful.precondition(lambda self: not self.objects.is_down)
    @stateful.rule()
    def roll_out(self) -> None:
        """Rolls out without a fault."""
        task = self.operators.start(self.operators.prepare())
        self.operators.finish(task)
        assert isinstance(task.result, acceptance.Accepted), task.error

    @stateful.precondition(lambda self: self.store.delayed)
    @stateful.rule(index=strategies.integers(0, 9))
    def deliver(self, index: int) -> None:
        """Lets a delayed write of a head arrive."""
        self.store.deliver(index)

    @stateful.rule(number=strategies.integers(0, 2))
    def poll(self, number: int) -> None:
        """Lets a process poll; a start from the store is never old."""
        process = self.processes[number]
        was_empty = process.holder.current is None
        process.refresh()
        if was_empty and process.holder.current is not None:
            record = self.operators.read_record()
            assert process.holder.version == record.head.version

    @stateful.rule(
        number=strategies.integers(0, 2),
        fault=strategies.sampled_from(["old", "down", "none", "none"]),
    )
    def set_store_fault(self, number: int, fault: str) -> None:
        """Changes how one process sees the store."""
        table = self.processes[number].table
        match fault:
            case "old":
                table.freeze_reads()
            case "down":
                table.is_down = True
            case _:
                table.recover()

    @stateful.rule(
        sender=strategies.integers(0, 2), receiver=strategies.integers(0, 2)
    )
    def heartbeat(self, sender: int, receiver: int) -> None:
        """Delivers two heartbeats, far enough apart for an offer."""
        if sender == receiver:
            return
        process = self.processes[sender]
        for seconds in (0, 1.6):
            self.time.now += datetime.timedelta(seconds=seconds)
            self.processes[receiver].receive(
                process.address, process.make_heartbeat()
            )

    @stateful.rule(
        number=strategies.integers(0, 2),
        index=strategies.integers(0, 20),
        is_lost=strategies.booleans(),
    )
    def pass_message(self, number: int, index: int, is_lost: bool) -> None:
        """Delivers, repeats or loses a message, in any order."""
        process = self.processes[number]
        if not process.links.sent:
            return
        place = index % len(process.links.sent)
        address, message = process.links.sent[place]
        if is_lost:
            process.links.sent.pop(place)
            return
        receiver = self.processes[int(address[1:])]
        receiver.receive(process.address, message)

    @stateful.rule(
        number=strategies.integers(0, 2), is_late=strategies.booleans()
    )
    def restart(self, number: int, is_late: bool) -> None:
        """Starts a process again with an empty memory, maybe on old reads."""
        self.processes[number] = self.make_process(number)
        self.highest[number] = 0
        if is_late and not self.objects.is_down:
            self.processes[number].table.freeze_reads()
            self.roll_out()
            self.poll(number)

    @stateful.rule(is_down=strategies.booleans())
    def set_objects_fault(self, is_down: bool) -> None:
        """Takes the object store down or brings it back."""
        self.objects.is_down = is_down if not self.running else False

    @stateful.invariant()
    def nothing_reverts(self) -> None:
        """Checks what is in force against what was accepted."""
        record = self.operators.read_record()
        if record is not None:
            head = record.head
            known = self.digests.setdefault(head.version, head.digest)
            assert known == head.digest, "an accepted version was replaced"
        for number, process in enumerate(self.processes):
            version = process.holder.version
            assert version >= self.highest[number], "reverted"
            self.highest[number] = version
            if version:
                assert process.watcher.digest == self.digests[version]

    def teardown(self) -> None:
        """Ends unfinished rollouts and checks that all processes catch up."""
        for task in self.running:
            if not task.is_done:
                task.kill()
        self.objects.is_down = False
        record = self.operators.read_record()
        for process in self.processes:
            process.table.recover()
            for _ in range(2):
                process.refresh()
            if record is not None:
                assert process.holder.version == record.head.version


class RolloutModelTest(RolloutMachine.TestCase):  # type: ignore[name-defined]
    """Fails if an accepted bundle is replaced, reverted or never adopted."""

    settings = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=80,
        stateful_step_count=40,
        # Shrinking a failure of this machine takes minutes.
        phases=(hypothesis.Phase.generate,),
    )
