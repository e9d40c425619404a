"""Acceptance and adoption of bundles under single faults."""

import datetime
import unittest

from fireflywell import errors
from fireflywell.bundle import acceptance
from fireflywell.bundle import signatures
from fireflywell.coordination import snapshots
from fireflywell.infrastructure import records
from fireflywell.membership import messages
from tests import bundle_samples
from tests import rollout_harness
from tests import stepped_calls

Fate = stepped_calls.Fate


class AcceptanceTest(unittest.TestCase):
    """Single promises of a rollout."""

    def setUp(self) -> None:
        """Starts an empty store."""
        self.time = stepped_calls.TrueTime()
        self.store = stepped_calls.Store()
        self.objects = bundle_samples.MemoryObjects()
        self.operators = rollout_harness.Operators(
            self.store, self.objects, self.time
        )

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
        self.operators = rollout_harness.Operators(
            self.store, self.objects, self.time
        )
        self.table = rollout_harness.ViewedTable(self.store)

    def roll_out(self, count: int) -> None:
        """Accepts a number of bundles."""
        for _ in range(count):
            task = self.operators.start(self.operators.prepare())
            self.operators.finish(task)

    def make(self, count: int = 3) -> rollout_harness.Process:
        """Returns an empty process."""
        return rollout_harness.Process(
            0, self.time, self.table, self.objects, count
        )

    def test_late_starter_follows_rotation(self) -> None:
        """Fails if a process that is versions behind can't verify."""
        self.roll_out(5)
        process = self.make()
        process.refresh()
        self.assertEqual(process.holder.version, 5)

    def test_empty_process_doesnt_trust_an_old_read(self) -> None:
        """Fails if a restart brings back what was replaced."""
        self.roll_out(1)
        self.table.freeze_reads()
        self.roll_out(1)
        process = self.make()
        process.refresh()
        self.assertIsNone(process.holder.current)
        self.table.recover()
        process.refresh()
        self.assertEqual(process.holder.version, 2)

    def test_old_reads_and_offers_revert_nothing(self) -> None:
        """Fails if a late read or a peer that is behind takes a bundle back."""
        # The same reviewers sign versions 3 to 5, so that the signatures of
        # the old head don't give it away.
        self.roll_out(3)
        old_record = self.operators.read_record()
        old_table = self.table.freeze_reads()
        self.table.recover()
        self.roll_out(2)
        process = self.make()
        process.refresh()
        self.table.freeze_reads(old_table)
        name = acceptance.make_body_name(old_record.head.digest)
        text = signatures.encode_record(old_record)
        body = messages.BundleBody(text, self.objects.content[name])
        for _ in range(3):
            process.refresh()
            process.receive("p1", messages.BundleOffer(3, text))
            process.receive("p1", body)
            self.assertEqual(process.holder.version, 5)

    def test_missing_body_is_tried_again(self) -> None:
        """Fails if an outage of the object store hides a bundle for ever."""
        self.roll_out(1)
        process = self.make()
        self.objects.is_down = True
        process.refresh()
        self.assertIn("body", process.holder.missing_reason)
        request = process.links.sent[0][1]
        self.assertIsInstance(request, messages.BundleRequest)
        self.objects.is_down = False
        process.refresh()
        self.assertEqual(process.holder.version, 1)

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
