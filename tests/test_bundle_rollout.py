"""Acceptance and adoption of bundles under faults."""

import datetime
import random
import unittest

import hypothesis
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from fireflywell import errors
from fireflywell.bundle import acceptance
from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import peer_heads
from fireflywell.bundle import signatures
from fireflywell.bundle import watcher
from fireflywell.coordination import snapshots
from fireflywell.membership import links
from fireflywell.membership import messages
from fireflywell.platform import records
from fireflywell.standins import table_store
from tests import bundle_samples
from tests import stepped_calls

Fate = stepped_calls.Fate
_ROTATED = bundle_samples.make_signing(1, "dan", "eva")


class RecordingLinks(links.NoPeers):
    """Links that keep what is sent, for a number of peers."""

    def __init__(self, address: str, peers: tuple[str, ...]) -> None:
        super().__init__(address, "0" * 32)
        self.sent: list[tuple[str, messages.Message]] = []
        self._peers = peers

    def list_peers(self) -> tuple[links.PeerView, ...]:
        """Returns peers that are behind."""
        return tuple(
            links.PeerView(
                address,
                "a",
                messages.Role.ENTRY,
                "0" * 32,
                links.PeerState.ALIVE,
                True,
                False,
                0,
                (),
            )
            for address in self._peers
        )

    def send(self, address: str, message: messages.Message) -> None:
        """Keeps a message."""
        self.sent.append((address, message))

    def broadcast(self, message: messages.Message) -> None:
        """Keeps a message to each peer."""
        self.sent.extend((address, message) for address in self._peers)


class ViewedTable:
    """A store as one process sees it: current, old or not at all."""

    def __init__(self, store: stepped_calls.Store) -> None:
        self._store = store
        self._old: table_store.MemoryTable | None = None
        self.is_down = False

    def freeze_reads(self) -> None:
        """Serves reads from the present content from now on."""
        self._old = self._store.table.copy()

    def recover(self) -> None:
        """Ends all faults."""
        self._old = None
        self.is_down = False

    async def transact(
        self, transaction: records.Transaction
    ) -> records.TransactionResult:
        """Applies a transaction."""
        self._check()
        return self._store.apply(transaction)

    async def read(self, keys: tuple[str, ...]) -> tuple[records.Row, ...]:
        """Reads rows."""
        self._check()
        return await (self._old or self._store.table).read(keys)

    async def scan(
        self, prefix: str, after_key: str = "", after_revision: int = 0
    ) -> records.ScanPage:
        """Reads a page."""
        self._check()
        table = self._old or self._store.table
        return await table.scan(prefix, after_key, after_revision)

    def _check(self) -> None:
        if self.is_down:
            raise errors.PlatformUnavailableError("down")


class Process:
    """One process with its view of the store and of two peers."""

    def __init__(
        self,
        number: int,
        time: stepped_calls.TrueTime,
        table: ViewedTable,
        objects: bundle_samples.MemoryObjects,
        count: int = 3,
    ) -> None:
        self.address = f"p{number}"
        self.table = table
        self.holder = holder_lib.BundleHolder()
        peers = tuple(f"p{i}" for i in range(count) if i != number)
        self.links = RecordingLinks(self.address, peers)
        clock = stepped_calls.DriftingClock(time, 1.0, datetime.timedelta())
        self.watcher = watcher.BundleWatcher(
            self.holder,
            table,
            objects,
            self.links,
            bundle_samples.ANCHOR,
            len(peers),
            clock,
            random.Random(number),
        )

    def refresh(self) -> None:
        """Polls the store once."""
        try:
            stepped_calls.run_now(self.watcher.refresh())
        except errors.PlatformError as error:
            self.watcher.note_outage(error)

    def receive(self, address: str, message: messages.Message) -> None:
        """Handles a peer's message."""
        stepped_calls.run_now(
            self.watcher.handle_message(peer_heads.Received(address, message))
        )

    def make_heartbeat(self) -> messages.Heartbeat:
        """Returns what the process says each second."""
        version = self.holder.version
        return messages.Heartbeat(1, version, "", True, False)


class Operators:
    """Accepts bundles, one after the other or in a race."""

    def __init__(
        self,
        store: stepped_calls.Store,
        objects: bundle_samples.MemoryObjects,
        time: stepped_calls.TrueTime,
    ) -> None:
        self.store = store
        self.objects = objects
        self.clock = stepped_calls.DriftingClock(
            time, 1.0, datetime.timedelta()
        )
        self.marker = 0

    def read_record(self) -> signatures.HeadRecord | None:
        """Returns what the store truly holds."""
        row = self.store.read(acceptance.HEAD_KEY)
        return signatures.decode_record(row.value) if row.version else None

    def prepare(self) -> bundle_samples.SignedBundle:
        """Signs a successor; the second version brings other signers."""
        self.marker += 1
        record = self.read_record()
        if record is None:
            return bundle_samples.make_signed(1, "", marker=self.marker)
        version = record.head.version + 1
        return bundle_samples.make_signed(
            version,
            record.head.digest,
            ("ann", "ben") if version == 2 else ("dan",),
            _ROTATED,
            self.marker,
        )

    def start(self, signed: bundle_samples.SignedBundle) -> stepped_calls.Task:
        """Starts a rollout, which waits at its first call to the table."""
        return stepped_calls.Task(
            acceptance.accept_bundle(
                stepped_calls.SteppedTable(),
                self.objects,
                signed.body,
                signed.head,
                bundle_samples.ANCHOR,
                self.clock,
                random.Random(self.marker),
            ),
            self.clock,
        )

    def finish(self, task: stepped_calls.Task) -> stepped_calls.Task:
        """Runs a rollout to its end without further faults."""
        while not task.is_done:
            if isinstance(task.call, stepped_calls.SleepCall):
                task.answer(None)
            self.store.serve(task, Fate.SERVED)
        return task


class RolloutMachine(stateful.RuleBasedStateMachine):
    """Several processes and operators; the store is seen as it truly is."""

    def __init__(self) -> None:
        super().__init__()
        self.time = stepped_calls.TrueTime()
        self.store = stepped_calls.Store()
        self.objects = bundle_samples.MemoryObjects()
        self.operators = Operators(self.store, self.objects, self.time)
        self.processes = [self.make_process(number) for number in range(3)]
        self.highest = [0, 0, 0]
        self.digests: dict[int, str] = {}
        self.running: list[stepped_calls.Task] = []

    def make_process(self, number: int) -> Process:
        """Returns a process with an empty memory."""
        table = ViewedTable(self.store)
        return Process(number, self.time, table, self.objects)

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
        """Delivers one heartbeat."""
        if sender != receiver:
            process = self.processes[sender]
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

    @stateful.rule(number=strategies.integers(0, 2))
    def restart(self, number: int) -> None:
        """Starts a process again with an empty memory."""
        self.processes[number] = self.make_process(number)
        self.highest[number] = 0

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


class AcceptanceTest(unittest.TestCase):
    """Single promises of a rollout."""

    def setUp(self) -> None:
        """Starts an empty store."""
        self.time = stepped_calls.TrueTime()
        self.store = stepped_calls.Store()
        self.objects = bundle_samples.MemoryObjects()
        self.operators = Operators(self.store, self.objects, self.time)

    def test_race_has_one_winner(self) -> None:
        """Fails if two operators both win, or the loser isn't told."""
        first = self.operators.start(self.operators.prepare())
        second = self.operators.start(self.operators.prepare())
        self.store.serve(first, Fate.SERVED)
        self.store.serve(second, Fate.SERVED)
        self.operators.finish(second)
        self.operators.finish(first)
        self.assertIsInstance(second.result, acceptance.Accepted)
        self.assertIsInstance(first.error, errors.BundleVersionConflictError)

    def test_lost_answers_are_resolved(self) -> None:
        """Fails if a lost answer turns an accepted bundle into a failure."""
        self.objects.lost_answers = 1
        task = self.operators.start(self.operators.prepare())
        self.store.serve(task, Fate.SERVED)
        task.answer(None)
        self.store.serve(task, Fate.ANSWER_LOST)
        self.operators.finish(task)
        self.assertIsInstance(task.result, acceptance.Accepted)
        self.assertEqual(self.operators.read_record().head.version, 1)

    def test_superseded_rollout_is_recognized(self) -> None:
        """Fails if a win is called unknown though its successor proves it."""
        signed = self.operators.prepare()
        task = self.operators.start(signed)
        self.store.serve(task, Fate.SERVED)
        self.store.serve(task, Fate.ANSWER_LOST)
        self.operators.finish(self.operators.start(self.operators.prepare()))
        self.operators.finish(task)
        self.assertIsInstance(task.result, acceptance.Accepted)

    def test_silence_is_unknown(self) -> None:
        """Fails if an operator is told a guess."""
        task = self.operators.start(self.operators.prepare())
        self.store.serve(task, Fate.SERVED)
        self.store.serve(task, Fate.DELAYED)
        while not task.is_done:
            self.time.now += datetime.timedelta(seconds=1)
            task.wake_if_due()
            self.store.serve(task, Fate.REFUSED)
        self.assertIsInstance(task.error, errors.OutcomeUnknownError)

    def test_repeated_rollout_is_harmless(self) -> None:
        """Fails if trying again after an unknown outcome is an error."""
        signed = self.operators.prepare()
        self.operators.finish(self.operators.start(signed))
        again = self.operators.finish(self.operators.start(signed))
        self.assertTrue(again.result.was_known)

    def test_body_is_stored_before_the_head(self) -> None:
        """Fails if a head is accepted whose body can't be read."""
        self.objects.is_down = True
        task = self.operators.start(self.operators.prepare())
        self.store.serve(task, Fate.SERVED)
        while not task.is_done:
            task.answer(None)
        self.assertIsInstance(task.error, errors.PlatformError)
        self.assertIsNone(self.operators.read_record())

    def test_signatures_are_required(self) -> None:
        """Fails if a bundle without its reviewers' consent is accepted."""
        for signers in (("ann",), ("ann", "eve")):
            signed = bundle_samples.make_signed(1, "", signers)
            task = self.operators.finish(self.operators.start(signed))
            self.assertIsInstance(task.error, errors.BundleSignatureError)


class WatcherTest(unittest.TestCase):
    """Single promises of the watcher."""

    def setUp(self) -> None:
        """Starts an empty store."""
        self.time = stepped_calls.TrueTime()
        self.store = stepped_calls.Store()
        self.objects = bundle_samples.MemoryObjects()
        self.operators = Operators(self.store, self.objects, self.time)
        self.table = ViewedTable(self.store)

    def roll_out(self, count: int) -> None:
        """Accepts a number of bundles."""
        for _ in range(count):
            task = self.operators.start(self.operators.prepare())
            self.operators.finish(task)

    def make(self, count: int = 3) -> Process:
        """Returns an empty process."""
        return Process(0, self.time, self.table, self.objects, count)

    def test_late_starter_follows_rotation(self) -> None:
        """Fails if a process that is versions behind can't verify."""
        self.roll_out(5)
        process = self.make()
        process.refresh()
        self.assertEqual(process.holder.version, 5)

    def test_unsigned_head_in_the_store_changes_nothing(self) -> None:
        """Fails if whoever writes the store changes the behaviour."""
        self.roll_out(1)
        process = self.make()
        process.refresh()
        forged = bundle_samples.make_signed(
            2, process.watcher.digest, ("eve", "eva")
        )
        self.objects.add(forged)
        record = bundle_samples.extend(self.operators.read_record(), forged)
        text = signatures.encode_record(record)
        write = records.Write(acceptance.HEAD_KEY, text)
        self.store.apply(records.Transaction("forged", (), (write,)))
        process.refresh()
        self.assertEqual(process.holder.version, 1)

    def test_damaged_body_is_refused(self) -> None:
        """Fails if an object with other content is put in force."""
        self.roll_out(1)
        name = next(iter(self.objects.content))
        self.objects.content[name] += b"x"
        process = self.make()
        process.refresh()
        self.assertIsNone(process.holder.current)
        self.assertIn("digest", process.holder.missing_reason)

    def test_empty_start_without_store_needs_most_peers(self) -> None:
        """Fails if few peers decide, or the reason isn't given."""
        self.roll_out(2)
        record = self.operators.read_record()
        text = signatures.encode_record(record)
        name = acceptance.make_body_name(record.head.digest)
        body = messages.BundleBody(text, self.objects.content[name])
        self.table.is_down = True
        self.objects.is_down = True
        process = self.make(6)
        process.refresh()
        self.assertIn("heard 0 of 5", process.holder.missing_reason)
        process.receive("p1", body)
        process.receive("p2", messages.Heartbeat(1, 1, "", True, False))
        self.assertIsNone(process.holder.current)
        self.assertIn("heard 2 of 5", process.holder.missing_reason)
        process.receive("p3", messages.Heartbeat(1, 3, "", True, False))
        # A third peer says that it has version 3, so version 2 isn't taken.
        self.assertIsNone(process.holder.current)
        process.receive("p3", messages.Heartbeat(1, 2, "", True, False))
        self.assertEqual(process.holder.version, 2)

    def test_empty_store_is_explained(self) -> None:
        """Fails if a new deployment doesn't say what is missing."""
        process = self.make()
        process.refresh()
        self.assertIn("rollout", process.holder.missing_reason)

    def test_snapshot_takes_few_requests(self) -> None:
        """Fails if a start costs a request for each row."""
        for number in range(4_500):
            write = records.Write(f"vm/{number:05d}", "x")
            transaction = records.Transaction("w", (), (write,))
            stepped_calls.run_now(self.store.table.transact(transaction))
        before = self.store.table.reads
        snapshot = stepped_calls.run_now(
            snapshots.read_snapshot(
                self.store.table, ("bundle/head", "lease/x"), ("vm/", "home/")
            )
        )
        self.assertEqual(len(snapshot.pages[0].rows), 4_500)
        self.assertEqual(self.store.table.reads - before, 1 + 3 + 1)
