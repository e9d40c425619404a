"""Runs requests with keys that callers chose and the store records."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import random

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import transactions
from fireflywell.entry import in_flight_run
from fireflywell.entry import stored_results
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables
from fireflywell.requests import idempotency
from fireflywell.requests import outcomes

# The request holds a slot of an instance while its intent is written, so a
# slow store must not hold it for long.
_WRITE_TIMEOUT = datetime.timedelta(seconds=1)
_ABANDONED_WRITES = 10_000
_BACKLOG_RESULTS = 10_000
_RESULTS_PER_PASS = 50

RecordIntent = Callable[[], Awaitable[outcomes.Outcome | None]]
Run = Callable[
    [in_flight_run.InFlightRun, RecordIntent], Awaitable[outcomes.RunResult]
]


class RecordedKeyDeduplicator:
    """Creates a key's row before its request is sent, and adds the outcome."""

    __slots__ = (
        "_abandoned",
        "_backlog",
        "_clock",
        "_incarnation",
        "_intents",
        "_random",
        "_runs",
        "_table",
    )

    def __init__(
        self,
        table: tables.Table,
        incarnation: str,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._incarnation = incarnation
        self._clock = clock
        self._random = rng
        self._runs: dict[str, in_flight_run.InFlightRun] = {}
        self._intents: dict[str, _Intent] = {}
        # Intents whose write had no clear result. If such a row turns up, no
        # other process may run the request, and this one hasn't yet.
        self._abandoned: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._backlog: collections.OrderedDict[str, records.Transaction] = (
            collections.OrderedDict()
        )

    @property
    def backlog(self) -> int:
        """Number of outcomes that still have to be written."""
        return len(self._backlog)

    async def serve(
        self,
        key: idempotency.RecordedKey,
        team: str,
        digest: bytes,
        run: Run,
    ) -> outcomes.RunResult:
        """Returns the outcome of the request, running it at most once.

        Args:
            key: Key chosen by the caller.
            team: Team of the caller.
            digest: Digest of the request.
            run: Admits the request, calls what it is given to record the
                intent, and sends the request unless that returns an outcome.
        """
        row_key = idempotency.make_recorded_row_key(team, key)
        running = self._runs.get(row_key)
        if running is not None:
            if running.digest == digest:
                return await running.join()
            if self._intents[row_key].version:
                return outcomes.make_other_body_refusal()
            # Only the row tells which request has the key: the one that is
            # being admitted here may be the later one.
            return make_not_run_outcome(
                409, "another request with this key is being admitted"
            )
        in_flight = in_flight_run.InFlightRun(digest)
        self._runs[row_key] = in_flight
        result: outcomes.RunResult = outcomes.Unknown(
            502, "the entry failed while it served the request"
        )
        intent = _Intent(self, row_key, digest)
        self._intents[row_key] = intent
        try:
            result = await run(in_flight, intent.declare)
            result = await self._complete(intent, result)
        finally:
            del self._runs[row_key]
            del self._intents[row_key]
            in_flight.set_result(result)
        return result

    async def write_backlog(self) -> bool:
        """Writes outcomes whose first write failed.

        Returns:
            Whether none is left.

        Raises:
            PlatformError: The store can't be reached.
            OutcomeUnknownError: It can't be told whether one was written.
        """
        for row_key in tuple(self._backlog)[:_RESULTS_PER_PASS]:
            await transactions.apply_transaction(
                self._table, self._backlog[row_key], self._clock, self._random
            )
            del self._backlog[row_key]
        return not self._backlog

    async def _complete(
        self, intent: "_Intent", result: outcomes.RunResult
    ) -> outcomes.RunResult:
        match result:
            case outcomes.Withdrawn() if intent.version:
                await self._record(
                    intent,
                    outcomes.Refused(
                        503,
                        "the caller left before the request was sent; it was "
                        "not run, send it with another key",
                    ),
                )
                return result
            case outcomes.Withdrawn():
                return result
            case _ if intent.version:
                await self._record(intent, result)
                return result
            case _ if intent.found is not None:
                return intent.found
            case outcomes.Refused(status=status, reason=reason):
                return make_not_run_outcome(status, reason)
            case _:
                return result

    async def _record(
        self, intent: "_Intent", outcome: outcomes.Outcome
    ) -> None:
        key_row = stored_results.RecordedKeyRow(
            intent.digest, self._incarnation, outcome
        )
        transaction = records.Transaction(
            transactions.make_write_id(self._random),
            (records.Condition(intent.row_key, intent.version),),
            (
                records.Write(
                    intent.row_key,
                    stored_results.encode_recorded_key_row(key_row),
                ),
            ),
        )
        try:
            await self._apply(transaction)
        except (errors.PlatformError, errors.OutcomeUnknownError, TimeoutError):
            self._backlog[intent.row_key] = transaction
            while len(self._backlog) > _BACKLOG_RESULTS:
                self._backlog.popitem(last=False)

    async def _apply(
        self, transaction: records.Transaction
    ) -> records.TransactionResult:
        with anyio.fail_after(_WRITE_TIMEOUT.total_seconds()):
            return await transactions.apply_transaction(
                self._table,
                transaction,
                self._clock,
                self._random,
                _WRITE_TIMEOUT,
            )

    async def _declare(self, intent: "_Intent") -> outcomes.Outcome | None:
        key_row = stored_results.RecordedKeyRow(
            intent.digest, self._incarnation
        )
        write_id = transactions.make_write_id(self._random)
        transaction = records.Transaction(
            write_id,
            (records.Condition(intent.row_key, 0),),
            (
                records.Write(
                    intent.row_key,
                    stored_results.encode_recorded_key_row(key_row),
                ),
            ),
        )
        # Removed once the result is clear, also if this task is cancelled.
        self._note_abandoned(write_id)
        try:
            result = await self._apply(transaction)
            match result:
                case records.Committed():
                    self._abandoned.pop(write_id, None)
                    intent.version = 1
                    return None
                case records.Conflict():
                    self._abandoned.pop(write_id, None)
                    with anyio.fail_after(_WRITE_TIMEOUT.total_seconds()):
                        (row,) = await self._table.read((intent.row_key,))
        except (
            errors.PlatformError,
            errors.OutcomeUnknownError,
            TimeoutError,
        ) as error:
            reason = str(error) or "the store doesn't answer in time"
            return make_not_run_outcome(504, reason)
        return self._judge_row(intent, row)

    def _judge_row(
        self, intent: "_Intent", row: records.Row
    ) -> outcomes.Outcome | None:
        if not row.version:
            return make_not_run_outcome(504, "the key's row was removed")
        key_row = stored_results.decode_recorded_key_row(row.value)
        if key_row.digest != intent.digest:
            return outcomes.make_other_body_refusal()
        if key_row.outcome is not None:
            return key_row.outcome
        if row.write_id in self._abandoned:
            del self._abandoned[row.write_id]
            intent.version = row.version
            return None
        return outcomes.Unknown(
            504,
            "the request was started before and its outcome isn't recorded; "
            "it may have run and is not run again",
        )

    def _note_abandoned(self, write_id: str) -> None:
        self._abandoned[write_id] = None
        while len(self._abandoned) > _ABANDONED_WRITES:
            self._abandoned.popitem(last=False)


class _Intent:
    """The intent of one attempt to run a request."""

    __slots__ = ("_deduplicator", "digest", "found", "row_key", "version")

    def __init__(
        self, deduplicator: RecordedKeyDeduplicator, row_key: str, digest: bytes
    ) -> None:
        self._deduplicator = deduplicator
        self.row_key = row_key
        self.digest = digest
        # Version of the row; 0 while this attempt doesn't own it.
        self.version = 0
        self.found: outcomes.Outcome | None = None

    async def declare(self) -> outcomes.Outcome | None:
        """Creates the row; returns an outcome if the request must not run."""
        if not self.version:
            self.found = await self._deduplicator._declare(self)
        return self.found


def make_not_run_outcome(status: int, reason: str) -> outcomes.Unknown:
    """Returns the outcome of an attempt that didn't run the request.

    It is no refusal, because another delivery of the request may have run or
    may still run: nothing was recorded that would stop it.
    """
    return outcomes.Unknown(
        status if status < 500 else 504,
        f"not run by this attempt: {reason}; ask again with the same key",
    )
