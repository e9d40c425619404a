"""Decides whether a request with a bound key may run; no I/O.

Only the incarnation that issued a key may run its request, so the ledger
decides from memory alone. A key is unused, running or finished. The record of a
finished key is kept until its retention ends or too many are held; from then on
the key is below the watermark and is never run.
"""

import collections
from collections.abc import Iterator
import dataclasses
import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.requests import idempotency
from fireflywell.requests import outcomes

BLOCK_KEYS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """The request is the first with its key; run it and call `finish`."""


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRun:
    """The same request is running; wait for its outcome."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredOutcome:
    """The request has already finished with this outcome."""

    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class OtherBody:
    """The key was used with a different request; this one is never run."""


@dataclasses.dataclass(frozen=True, slots=True)
class NeverRun:
    """The key was never issued, or may have run and its record was evicted."""


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerClosed:
    """The ledger was closed before the key was used; it is never run here."""


BeginDecision = (
    StartRun | JoinRun | StoredOutcome | OtherBody | NeverRun | LedgerClosed
)


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerOptions:
    """Bounds of a ledger.

    Attributes:
        retention: Time for which the record of a finished key is kept.
        maximum_records: Finished records kept; the oldest are evicted first. At
            about 400 bytes each, the default takes 40 MB.
        maximum_body_bytes: Total bytes of response bodies kept; beyond them the
            oldest bodies are dropped, but not their records.
        issue_limit: Maximum number of keys issued by one call.
    """

    retention: datetime.timedelta = datetime.timedelta(hours=1)
    maximum_records: int = 100_000
    maximum_body_bytes: int = 64 * 1024 * 1024
    issue_limit: int = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class KeptResult:
    """Final outcome of one key, as copied to the store."""

    sequence: int
    digest: bytes
    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class ClosingRecord:
    """Keys of an incarnation that stopped gracefully, as stored for others.

    Attributes:
        next_sequence: First sequence that was never issued.
        watermark: Records of lower sequences may have been evicted.
        used: Sequences that were used, in ascending order.
    """

    next_sequence: int
    watermark: int
    used: tuple[int, ...]

    def surely_lacks(self, sequence: int) -> bool:
        """Whether the record proves that the key's request was never run."""
        return sequence >= self.watermark and sequence not in self.used


class _FinishedRecord:
    """Request digest and outcome of a finished key.

    The digest is None if the request was refused before its body was read.
    """

    __slots__ = ("digest", "finished_at", "outcome")

    def __init__(
        self,
        digest: bytes | None,
        outcome: outcomes.Outcome,
        finished_at: datetime.timedelta,
    ) -> None:
        self.digest = digest
        self.outcome = outcome
        self.finished_at = finished_at


class KeyLedger:
    """State of all keys issued by one incarnation."""

    __slots__ = (
        "_address",
        "_body_bytes",
        "_changed_blocks",
        "_clock",
        "_finished",
        "_incarnation",
        "_is_closed",
        "_next_sequence",
        "_options",
        "_running",
        "_watermark",
        "_with_body",
    )

    def __init__(
        self,
        address: str,
        incarnation: str,
        clock: clock_lib.Clock,
        options: LedgerOptions | None = None,
    ) -> None:
        self._address = address
        self._incarnation = incarnation
        self._clock = clock
        self._options = options or LedgerOptions()
        self._next_sequence = 0
        self._watermark = 0
        self._is_closed = False
        self._running: dict[int, bytes] = {}
        # Both are ordered by the time at which the keys finished.
        self._finished: collections.OrderedDict[int, _FinishedRecord] = (
            collections.OrderedDict()
        )
        self._with_body: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._body_bytes = 0
        self._changed_blocks: dict[int, None] = {}

    @property
    def incarnation(self) -> str:
        """Incarnation that issued the keys."""
        return self._incarnation

    @property
    def watermark(self) -> int:
        """Unused keys below this sequence are never run."""
        return self._watermark

    @property
    def records(self) -> int:
        """Number of finished records held."""
        return len(self._finished)

    @property
    def running(self) -> int:
        """Number of keys whose requests are running."""
        return len(self._running)

    @property
    def body_bytes(self) -> int:
        """Bytes of response bodies held."""
        return self._body_bytes

    def issue(self, count: int) -> tuple[idempotency.BoundKey, ...]:
        """Returns new keys; an unused key takes no memory.

        Raises:
            InvalidKeyError: The count is out of range or the ledger is closed.
        """
        if not 1 <= count <= self._options.issue_limit:
            raise errors.InvalidKeyError(
                f"{count} keys were asked for; ask for 1 to "
                f"{self._options.issue_limit}"
            )
        if self._is_closed:
            raise errors.InvalidKeyError(
                "the entry is stopping and issues no keys; ask another entry"
            )
        first = self._next_sequence
        self._next_sequence += count
        return tuple(
            idempotency.BoundKey(self._address, self._incarnation, sequence)
            for sequence in range(first, self._next_sequence)
        )

    def begin(self, sequence: int, digest: bytes) -> BeginDecision:
        """Decides whether a request runs; `StartRun` marks its key as running.

        Args:
            sequence: Sequence of a key of this incarnation.
            digest: Digest of the request.
        """
        running = self._running.get(sequence)
        if running is not None:
            return JoinRun() if running == digest else OtherBody()
        record = self._finished.get(sequence)
        if record is not None:
            if record.digest is not None and record.digest != digest:
                return OtherBody()
            return StoredOutcome(record.outcome)
        if sequence < self._watermark or sequence >= self._next_sequence:
            return NeverRun()
        if self._is_closed:
            return LedgerClosed()
        self._running[sequence] = digest
        return StartRun()

    def finish(self, sequence: int, outcome: outcomes.Outcome) -> None:
        """Records the final outcome of a running key."""
        digest = self._running.pop(sequence)
        self._store_finished(sequence, digest, outcome)

    def release(self, sequence: int) -> None:
        """Marks a running key as unused again.

        Allowed only if the request was not sent to an instance and no outcome
        was reported, for example if its caller disconnected while it waited.
        """
        del self._running[sequence]

    def refuse_unread(self, sequence: int, refusal: outcomes.Refused) -> bool:
        """Stores the refusal of a request whose body was not read.

        Returns:
            Whether the refusal may be reported; False if a request with the
            key may have run. A closed ledger stores nothing.
        """
        if sequence in self._running or sequence in self._finished:
            return False
        if not self._watermark <= sequence < self._next_sequence:
            return False
        if not self._is_closed:
            self._store_finished(sequence, None, refusal)
        return True

    def evict(self) -> None:
        """Drops records whose retention has ended or that exceed the limit."""
        oldest_kept = self._clock.monotonic() - self._options.retention
        while self._finished:
            sequence, record = next(iter(self._finished.items()))
            is_over_limit = len(self._finished) > self._options.maximum_records
            if not is_over_limit and record.finished_at > oldest_kept:
                return
            del self._finished[sequence]
            self._drop_body(sequence)
            self._watermark = max(self._watermark, sequence + 1)

    def close(self) -> ClosingRecord:
        """Refuses all unused keys from now on and returns the used ones.

        Running keys count as used.
        """
        self._is_closed = True
        used = sorted((*self._finished, *self._running))
        return ClosingRecord(self._next_sequence, self._watermark, tuple(used))

    def take_changed_blocks(self, limit: int) -> tuple[int, ...]:
        """Removes and returns up to `limit` blocks marked as changed."""
        taken = tuple(self._changed_blocks)[:limit]
        for block in taken:
            del self._changed_blocks[block]
        return taken

    def put_back_blocks(self, blocks: tuple[int, ...]) -> None:
        """Marks blocks as changed again after copying them failed."""
        for block in blocks:
            self._changed_blocks[block] = None

    def list_block(self, block: int) -> Iterator[KeptResult]:
        """Yields the results of a block's finished keys."""
        first = block * BLOCK_KEYS
        for sequence in range(first, first + BLOCK_KEYS):
            record = self._finished.get(sequence)
            if record is not None:
                yield KeptResult(sequence, record.digest or b"", record.outcome)

    def is_block_evicted(self, block: int) -> bool:
        """Whether no key of the block has a record or can get one."""
        first = block * BLOCK_KEYS
        return first + BLOCK_KEYS <= self._watermark and not any(
            sequence in self._finished or sequence in self._running
            for sequence in range(first, first + BLOCK_KEYS)
        )

    def _store_finished(
        self, sequence: int, digest: bytes | None, outcome: outcomes.Outcome
    ) -> None:
        now = self._clock.monotonic()
        self._finished[sequence] = _FinishedRecord(digest, outcome, now)
        self._changed_blocks[sequence // BLOCK_KEYS] = None
        match outcome:
            case outcomes.Answered(body=body) if body:
                self._with_body[sequence] = len(body)
                self._body_bytes += len(body)
        self._evict_bodies()
        self.evict()

    def _evict_bodies(self) -> None:
        while self._body_bytes > self._options.maximum_body_bytes:
            sequence = next(iter(self._with_body))
            self._drop_body(sequence)
            self._finished[sequence].outcome = outcomes.Unknown(
                504,
                "the request was run and answered, but its response is no "
                "longer held; don't run it again",
            )

    def _drop_body(self, sequence: int) -> None:
        self._body_bytes -= self._with_body.pop(sequence, 0)
