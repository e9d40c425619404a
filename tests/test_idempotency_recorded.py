"""Recorded keys while some calls to the store fail."""

import random
import unittest

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.entry import recorded_keys
from fireflywell.infrastructure import records
from fireflywell.requests import idempotency
from fireflywell.requests import outcomes
from fireflywell.standins import table_store

ANSWER = outcomes.Answered(200, (), b"answer")
KEY = idempotency.RecordedKey("order-1")


class ScriptedTable(table_store.MemoryTable):
    """Fails or delays calls as scripted by a test."""

    __slots__ = ("late", "script")

    def __init__(self) -> None:
        super().__init__()
        self.script: list[str] = []
        self.late: list[records.Transaction] = []

    async def transact(
        self, transaction: records.Transaction
    ) -> records.TransactionResult:
        """Applies a transaction as the script says."""
        match self.script.pop(0) if self.script else "ok":
            case "down":
                raise errors.PlatformUnavailableError("down")
            case "late":
                self.late.append(transaction)
                raise errors.AnswerLostError("it runs later")
        return await super().transact(transaction)


class RecordedKeyTest(unittest.IsolatedAsyncioTestCase):
    """Recorded keys with store failures between the steps of a request."""

    def setUp(self) -> None:
        """Makes a deduplicator; a real clock paces the tries of lost writes."""
        self.table = ScriptedTable()
        self.deduplicator = self._make_deduplicator("1")
        self.runs = 0

    def _make_deduplicator(
        self, incarnation: str
    ) -> recorded_keys.RecordedKeyDeduplicator:
        return recorded_keys.RecordedKeyDeduplicator(
            self.table,
            incarnation * 32,
            clock_lib.SystemClock(),
            random.Random(int(incarnation)),
        )

    async def _run(self, in_flight, record_intent) -> outcomes.RunResult:
        del in_flight
        found = await record_intent()
        if found is not None:
            return found
        self.runs += 1
        return ANSWER

    async def _serve(
        self,
        deduplicator: recorded_keys.RecordedKeyDeduplicator | None = None,
        digest: bytes = b"d",
    ) -> outcomes.RunResult:
        return await (deduplicator or self.deduplicator).serve(
            KEY, "sales", digest, self._run
        )

    async def test_own_lost_intent_runs_once(self) -> None:
        """Fails if a request runs twice or never after a late intent write."""
        self.table.script = ["late"] + ["down"] * 30
        self.assertIsInstance(await self._serve(), outcomes.Unknown)
        self.assertEqual(self.runs, 0)
        self.table.script = []
        await self.table.transact(self.table.late.pop())
        other = await self._serve(self._make_deduplicator("2"))
        self.assertIsInstance(other, outcomes.Unknown)
        self.assertEqual(self.runs, 0)
        # The outcome can't be written, so the row still shows the intent.
        self.table.script = ["ok", "down"]
        self.assertEqual(await self._serve(), ANSWER)
        self.assertIsInstance(await self._serve(), outcomes.Unknown)
        self.assertEqual(self.runs, 1)
        self.assertTrue(await self.deduplicator.write_backlog())
        self.assertEqual(
            await self._serve(self._make_deduplicator("3")), ANSWER
        )
        self.assertEqual(self.runs, 1)

    async def test_entry_dies_after_each_step(self) -> None:
        """Fails if a successor runs what a dead entry may have run."""
        self.table.script = ["ok", "down"]
        self.assertEqual(await self._serve(), ANSWER)
        successor = self._make_deduplicator("2")
        self.assertIsInstance(await self._serve(successor), outcomes.Unknown)
        refusal = await self._serve(successor, b"other")
        self.assertEqual(refusal, outcomes.make_other_body_refusal())
        self.assertEqual(self.runs, 1)

    async def test_other_body_is_refused_by_the_row_alone(self) -> None:
        """Fails if a request that ran is refused for another request's body.

        It ran at one entry. Its duplicate reaches another entry, where a
        different request with the same key is in progress.
        """
        await self._serve()
        entry = self._make_deduplicator("2")
        duplicate_outcomes: list[outcomes.RunResult] = []

        async def admit(in_flight, record_intent) -> outcomes.RunResult:
            # A delivery of the first request arrives before the intent.
            duplicate_outcomes.append(await self._serve(entry))
            return await self._run(in_flight, record_intent)

        late = await entry.serve(KEY, "sales", b"other", admit)
        self.assertEqual(late, outcomes.make_other_body_refusal())
        self.assertIsInstance(duplicate_outcomes[0], outcomes.Unknown)
        self.assertEqual(self.runs, 1)

    async def test_two_writes_for_each_request(self) -> None:
        """Fails if the request path writes more than intent and outcome."""
        await self._serve()
        self.assertEqual(self.table.writes, 2)

    async def test_refused_connection_is_recorded(self) -> None:
        """Fails if a request refused after its intent runs later."""

        async def refuse(in_flight, record_intent) -> outcomes.RunResult:
            del in_flight
            self.assertIsNone(await record_intent())
            return outcomes.Refused(503, "not reached")

        first = await self.deduplicator.serve(KEY, "sales", b"d", refuse)
        self.assertEqual(first, outcomes.Refused(503, "not reached"))
        self.assertEqual(await self._serve(self._make_deduplicator("2")), first)
        self.assertEqual(self.runs, 0)
