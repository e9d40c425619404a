"""Decides whether a request with a bound key may run; no I/O.

The incarnation that issued a key is its sole authority, so this ledger alone
decides, from memory. The state of a key is unused, running or finished. A
finished record is kept until the retention ends; from then on the key is
below the watermark and is never run.
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
    """The request has this final outcome."""

    outcome: outcomes.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class OtherBody:
    """The key was used with another request; this one is never run."""


@dataclasses.dataclass(frozen=True, slots=True)
class NeverRun:
    """The key's record was evicted; it may have run and runs no more."""


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerClosed:
    """The incarnation closed its ledger before the key was used."""


BeginDecision = (
    StartRun | JoinRun | StoredOutcome | OtherBody | NeverRun | LedgerClosed
)


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerOptions:
    """Bounds of a ledger.

    Attributes:
        retention: Time for which the record of a finished key is kept.
        maximum_records: Finished records kept; the oldest go first. At about
            400 bytes each, the default takes 40 MB.
        maximum_body_bytes: Bytes of response bodies kept together; beyond
            them the oldest responses are dropped, but not their records.
        issue_limit: Keys issued by one call.
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
    """What an incarnation leaves behind at a graceful stop.

    Attributes:
        next_sequence: First sequence that was never issued.
        watermark: First sequence whose record can't have been evicted.
        used: Sequences that were used, in ascending order.
    """

    next_sequence: int
    watermark: int
    used: tuple[int, ...]

    def surely_lacks(self, sequence: int) -> bool:
        """Whether the key was surely never run."""
        return sequence >= self.watermark and sequence not in self.used


class _Record:
    """Record of a finished key."""

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
        "_next",
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
        self._next = 0
        self._watermark = 0
        self._is_closed = False
        self._running: dict[int, bytes] = {}
        # Both in the order in which the keys finished.
        self._finished: collections.OrderedDict[int, _Record] = (
            collections.OrderedDict()
        )
        self._with_body: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._body_bytes = 0
        self._changed_blocks: dict[int, None] = {}

    @property
    def incarnation(self) -> str:
        """Incarnation whose keys these are."""
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
        """Issues keys; an unused key takes no memory.

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
        first = self._next
        self._next += count
        return tuple(
            idempotency.BoundKey(self._address, self._incarnation, sequence)
            for sequence in range(first, self._next)
        )

    def begin(self, sequence: int, digest: bytes) -> BeginDecision:
        """Decides on a request; after `StartRun` the key is running.

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
        if sequence < self._watermark or sequence >= self._next:
            return NeverRun()
        if self._is_closed:
            return LedgerClosed()
        self._running[sequence] = digest
        return StartRun()

    def finish(self, sequence: int, outcome: outcomes.Outcome) -> None:
        """Records the final outcome of a running key."""
        digest = self._running.pop(sequence)
        self._keep(sequence, digest, outcome)

    def release(self, sequence: int) -> None:
        """Makes a running key unused again.

        Only for a request that was surely not sent and whose outcome nobody
        was told, such as one whose caller left the queue.
        """
        del self._running[sequence]

    def refuse_unread(self, sequence: int, refusal: outcomes.Refused) -> bool:
        """Makes a refusal final that was decided before the body was read.

        Returns:
            Whether the refusal is true; False if the key has been used.
        """
        if sequence in self._running or sequence in self._finished:
            return False
        if not self._watermark <= sequence < self._next:
            return False
        if not self._is_closed:
            self._keep(sequence, None, refusal)
        return True

    def evict(self) -> None:
        """Drops the records whose retention has ended."""
        oldest_kept = self._clock.monotonic() - self._options.retention
        while self._finished:
            sequence, record = next(iter(self._finished.items()))
            is_surplus = len(self._finished) > self._options.maximum_records
            if not is_surplus and record.finished_at > oldest_kept:
                return
            del self._finished[sequence]
            self._forget_body(sequence)
            self._watermark = max(self._watermark, sequence + 1)

    def close(self) -> ClosingRecord:
        """Ends all use of unused keys and returns what was used.

        A key that is still running counts as used.
        """
        self._is_closed = True
        used = sorted((*self._finished, *self._running))
        return ClosingRecord(self._next, self._watermark, tuple(used))

    def take_changed_blocks(self, limit: int) -> tuple[int, ...]:
        """Returns up to `limit` blocks changed since they were taken."""
        taken = tuple(self._changed_blocks)[:limit]
        for block in taken:
            del self._changed_blocks[block]
        return taken

    def put_back_blocks(self, blocks: tuple[int, ...]) -> None:
        """Marks blocks as changed whose copy failed."""
        for block in blocks:
            self._changed_blocks[block] = None

    def list_block(self, block: int) -> Iterator[KeptResult]:
        """Yields the finished keys of a block."""
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

    def _keep(
        self, sequence: int, digest: bytes | None, outcome: outcomes.Outcome
    ) -> None:
        now = self._clock.monotonic()
        self._finished[sequence] = _Record(digest, outcome, now)
        self._changed_blocks[sequence // BLOCK_KEYS] = None
        match outcome:
            case outcomes.Answered(body=body) if body:
                self._with_body[sequence] = len(body)
                self._body_bytes += len(body)
        self._trim_bodies()
        self.evict()

    def _trim_bodies(self) -> None:
        while self._body_bytes > self._options.maximum_body_bytes:
            sequence = next(iter(self._with_body))
            self._forget_body(sequence)
            self._finished[sequence].outcome = outcomes.Unknown(
                504,
                "the request was run and answered, but its response is no "
                "longer held; don't run it again",
            )

    def _forget_body(self, sequence: int) -> None:
        self._body_bytes -= self._with_body.pop(sequence, 0)
