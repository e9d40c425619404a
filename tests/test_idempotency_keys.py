"""Tests of keys, their ledger and the encoding of stored results."""

import datetime
import unittest

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.entry import stored_results
from fireflywell.requests import idempotency
from fireflywell.requests import key_ledger
from fireflywell.requests import outcomes

CLUSTER_KEY = b"k" * 32
ANSWER = outcomes.Answered(200, (asgi.Header("a", "b"),), b"\x00body")
REFUSAL = outcomes.Refused(429, "full", datetime.timedelta(seconds=2))


def make_ledger(
    clock: clock_lib.Clock | None = None, **options: object
) -> key_ledger.KeyLedger:
    """Returns a ledger that has issued 200 keys."""
    ledger = key_ledger.KeyLedger(
        "10.0.0.1:7000",
        "ab" * 16,
        clock or clock_lib.ManualClock(),
        key_ledger.LedgerOptions(**options),
    )
    ledger.issue(200)
    return ledger


def run(ledger: key_ledger.KeyLedger, sequence: int) -> None:
    """Runs one key to its end."""
    assert ledger.begin(sequence, b"d") == key_ledger.StartRun()
    ledger.finish(sequence, ANSWER)


class KeyTextTest(unittest.TestCase):
    """Encoding of keys."""

    def test_forged_keys_are_refused(self) -> None:
        """Fails if a caller can make or alter a bound key."""
        key = idempotency.BoundKey("10.0.0.1:7000", "ab" * 16, 7)
        text = idempotency.encode_bound_key(key, CLUSTER_KEY)
        self.assertEqual(idempotency.parse_key(text, CLUSTER_KEY), key)
        for forged in (
            text.replace("/7/", "/8/"),
            text.replace("10.0.0.1", "10.0.0.2"),
            text[:-1] + ("0" if text[-1] != "0" else "1"),
            text.rpartition("/")[0],
            "fwk1/",
            text + "/",
        ):
            with self.assertRaises(errors.InvalidKeyError, msg=forged):
                idempotency.parse_key(forged, CLUSTER_KEY)
        with self.assertRaises(errors.InvalidKeyError):
            idempotency.parse_key(text, b"x" * 32)

    def test_unusable_texts_are_refused(self) -> None:
        """Fails if empty, long or unprintable keys are accepted."""
        for text in ("", "a" * 201, "a b", "a\x7f", "ä"):
            with self.assertRaises(errors.InvalidKeyError, msg=text):
                idempotency.parse_key(text, CLUSTER_KEY)
        self.assertEqual(
            idempotency.parse_key("order-1", CLUSTER_KEY),
            idempotency.RecordedKey("order-1"),
        )

    def test_digest_covers_all_parts(self) -> None:
        """Fails if two different requests have the same digest."""
        digests = {
            idempotency.compute_request_digest(*parts)
            for parts in (
                ("POST", "a", "/b", b"c"),
                ("PUT", "a", "/b", b"c"),
                ("POST", "a/", "b", b"c"),
                ("POST", "a", "/bc", b""),
                ("POST", "a", "/b", b"d"),
            )
        }
        self.assertEqual(len(digests), 5)


class KeyLedgerTest(unittest.TestCase):
    """Decisions of the ledger."""

    def test_refusal_is_final(self) -> None:
        """Fails if a delayed duplicate of a refused request runs."""
        ledger = make_ledger()
        self.assertEqual(ledger.begin(3, b"d"), key_ledger.StartRun())
        self.assertEqual(ledger.begin(3, b"d"), key_ledger.JoinRun())
        ledger.finish(3, REFUSAL)
        stored = key_ledger.StoredOutcome(REFUSAL)
        self.assertEqual(ledger.begin(3, b"d"), stored)

    def test_other_body_changes_nothing(self) -> None:
        """Fails if a different request with the key affects the first one."""
        ledger = make_ledger()
        ledger.begin(3, b"d")
        self.assertEqual(ledger.begin(3, b"e"), key_ledger.OtherBody())
        ledger.finish(3, ANSWER)
        self.assertEqual(ledger.begin(3, b"e"), key_ledger.OtherBody())
        stored = key_ledger.StoredOutcome(ANSWER)
        self.assertEqual(ledger.begin(3, b"d"), stored)

    def test_evicted_key_is_never_run(self) -> None:
        """Fails if a key whose record was evicted can run again."""
        ledger = make_ledger(maximum_records=2)
        for sequence in (5, 9, 7, 8):
            run(ledger, sequence)
        self.assertEqual(ledger.records, 2)
        self.assertEqual(ledger.watermark, 10)
        for sequence in (4, 5, 9):
            decision = ledger.begin(sequence, b"d")
            self.assertEqual(decision, key_ledger.NeverRun(), sequence)
        # Kept records stay readable below the watermark.
        stored = key_ledger.StoredOutcome(ANSWER)
        self.assertEqual(ledger.begin(8, b"d"), stored)
        self.assertEqual(ledger.begin(10, b"d"), key_ledger.StartRun())

    def test_eviction_by_age_spares_running_keys(self) -> None:
        """Fails if the record of a long run is evicted too early."""
        clock = clock_lib.ManualClock()
        ledger = make_ledger(clock)
        ledger.begin(0, b"d")
        run(ledger, 1)
        clock.advance(datetime.timedelta(hours=2))
        ledger.evict()
        self.assertEqual(ledger.begin(1, b"d"), key_ledger.NeverRun())
        self.assertEqual(ledger.begin(0, b"d"), key_ledger.JoinRun())
        ledger.finish(0, ANSWER)
        stored = key_ledger.StoredOutcome(ANSWER)
        self.assertEqual(ledger.begin(0, b"d"), stored)

    def test_bodies_are_bounded_and_keys_stay_used(self) -> None:
        """Fails if large responses grow memory or make a key run twice."""
        ledger = make_ledger(maximum_body_bytes=2 * len(ANSWER.body))
        for sequence in range(4):
            run(ledger, sequence)
        self.assertEqual(ledger.body_bytes, 2 * len(ANSWER.body))
        match ledger.begin(0, b"d"):
            case key_ledger.StoredOutcome(outcome=outcomes.Unknown()):
                pass
            case other:
                self.fail(f"{other}")
        stored = key_ledger.StoredOutcome(ANSWER)
        self.assertEqual(ledger.begin(3, b"d"), stored)

    def test_unissued_keys_never_run(self) -> None:
        """Fails if a sequence that was never issued is run."""
        ledger = make_ledger()
        self.assertEqual(ledger.begin(200, b"d"), key_ledger.NeverRun())
        for count in (0, -1, 10_001):
            with self.assertRaises(errors.InvalidKeyError):
                ledger.issue(count)

    def test_closed_ledger_starts_nothing(self) -> None:
        """Fails if a key that the closing record lacks can still run."""
        ledger = make_ledger()
        run(ledger, 1)
        ledger.begin(2, b"d")
        closing = ledger.close()
        self.assertEqual(closing.used, (1, 2))
        self.assertEqual(ledger.begin(5, b"d"), key_ledger.LedgerClosed())
        self.assertTrue(closing.surely_lacks(5))
        self.assertFalse(closing.surely_lacks(2))

    def test_refusal_before_the_body_was_read(self) -> None:
        """Fails if a request refused for its size runs later."""
        ledger = make_ledger()
        self.assertTrue(ledger.refuse_unread(4, REFUSAL))
        stored = key_ledger.StoredOutcome(REFUSAL)
        self.assertEqual(ledger.begin(4, b"any"), stored)
        ledger.begin(5, b"d")
        self.assertFalse(ledger.refuse_unread(5, REFUSAL))

    def test_changed_blocks_are_taken_once(self) -> None:
        """Fails if a result is never copied, or copied without end."""
        ledger = make_ledger()
        for sequence in (0, 63, 64, 199):
            run(ledger, sequence)
        self.assertEqual(ledger.take_changed_blocks(2), (0, 1))
        self.assertEqual(ledger.take_changed_blocks(2), (3,))
        self.assertEqual(ledger.take_changed_blocks(2), ())
        ledger.put_back_blocks((1,))
        self.assertEqual(ledger.take_changed_blocks(2), (1,))
        kept = [item.sequence for item in ledger.list_block(0)]
        self.assertEqual(kept, [0, 63])

    def test_only_evicted_blocks_may_be_deleted(self) -> None:
        """Fails if a stored result is deleted while its key has a record."""
        ledger = make_ledger(maximum_records=1)
        ledger.begin(3, b"d")
        for sequence in (70, 130, 131):
            run(ledger, sequence)
        self.assertFalse(ledger.is_block_evicted(0))
        self.assertTrue(ledger.is_block_evicted(1))
        self.assertFalse(ledger.is_block_evicted(2))


class StoredResultsTest(unittest.TestCase):
    """Encoding of rows."""

    def test_results_survive_the_store(self) -> None:
        """Fails if a stored response differs from the one given."""
        results = tuple(
            key_ledger.KeptResult(n, b"d", outcome)
            for n, outcome in enumerate(
                (ANSWER, REFUSAL, outcomes.Unknown(502, "reset"))
            )
        )
        text = stored_results.encode_block(results)
        self.assertEqual(stored_results.decode_block(text), results)
        closing = key_ledger.ClosingRecord(9, 2, (2, 3, 4, 7))
        text = stored_results.encode_closing_record(closing)
        self.assertEqual(stored_results.decode_closing_record(text), closing)

    def test_large_response_is_not_reported_as_whole(self) -> None:
        """Fails if a response too large to store is returned in part."""
        large = outcomes.Answered(200, (), b"x" * (16 * 1024 + 1))
        kept = key_ledger.KeptResult(0, b"d", large)
        text = stored_results.encode_block((kept,))
        (decoded,) = stored_results.decode_block(text)
        self.assertIsInstance(decoded.outcome, outcomes.Unknown)
