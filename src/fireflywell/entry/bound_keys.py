"""Runs requests whose bound keys this incarnation issued."""

from collections.abc import Awaitable
from collections.abc import Callable

from fireflywell.entry import in_flight_run
from fireflywell.requests import idempotency
from fireflywell.requests import key_ledger
from fireflywell.requests import outcomes

Run = Callable[[in_flight_run.InFlightRun], Awaitable[outcomes.RunResult]]


class BoundKeyDeduplicator:
    """Applies the ledger's decisions: run, join, or return what is stored."""

    __slots__ = ("_ledger", "_runs")

    def __init__(self, ledger: key_ledger.KeyLedger) -> None:
        self._ledger = ledger
        self._runs: dict[int, in_flight_run.InFlightRun] = {}

    @property
    def ledger(self) -> key_ledger.KeyLedger:
        """The ledger that decides."""
        return self._ledger

    async def serve(
        self, key: idempotency.BoundKey, digest: bytes, run: Run
    ) -> outcomes.RunResult:
        """Returns the outcome of the request, running it at most once.

        Args:
            key: A key of this incarnation.
            digest: Digest of the request.
            run: Admits and sends the request.
        """
        match self._ledger.begin(key.sequence, digest):
            case key_ledger.StartRun():
                return await self._start(key.sequence, digest, run)
            case key_ledger.JoinRun():
                return await self._runs[key.sequence].join()
            case key_ledger.StoredOutcome(outcome=outcome):
                return outcome
            case key_ledger.OtherBody():
                return outcomes.make_other_body_refusal()
            case key_ledger.LedgerClosed():
                return outcomes.Refused(
                    503,
                    "the entry that issued the key is stopping; the request "
                    "was not run, get a new key",
                )
            case key_ledger.NeverRun():
                return outcomes.Unknown(
                    504,
                    "the key is older than the retention of its record; the "
                    "request may have run before and is not run now",
                )

    async def _start(
        self, sequence: int, digest: bytes, run: Run
    ) -> outcomes.RunResult:
        in_flight = in_flight_run.InFlightRun(digest)
        self._runs[sequence] = in_flight
        # Stands if the run ends by an error or is cancelled.
        result: outcomes.RunResult = outcomes.Unknown(
            502, "the entry failed while it served the request"
        )
        try:
            result = await run(in_flight)
        finally:
            del self._runs[sequence]
            match result:
                case outcomes.Withdrawn():
                    self._ledger.release(sequence)
                case outcome:
                    self._ledger.finish(sequence, outcome)
            in_flight.set_result(result)
        return result
