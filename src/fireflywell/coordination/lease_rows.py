"""The two rows of a lease: who holds it, and the fence of its writes."""

import dataclasses
import datetime
import json
import random

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import transactions
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables

LEASE_PREFIX = "lease/"
FENCE_PREFIX = "fence/"


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Content of row `lease/<role>`.

    Attributes:
        holder: Name of the holder for operators; empty after a release.
        token: Fencing token, raised by each takeover.
        renewals: Counts the writes under this token.
    """

    holder: str
    token: int
    renewals: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRows:
    """Both rows of a lease as read in one request."""

    lease_row: records.Row
    fence_row: records.Row
    record: LeaseRecord
    fence_token: int

    @property
    def is_unused(self) -> bool:
        """Whether the lease was never held."""
        return self.lease_row.version == 0 and self.fence_row.version == 0

    @property
    def is_released(self) -> bool:
        """Whether its last holder gave it up."""
        return self.lease_row.version > 0 and not self.record.holder

    @property
    def next_token(self) -> int:
        """Token of the next holder."""
        return max(self.record.token, self.fence_token) + 1


def make_lease_key(role: str) -> str:
    """Returns the key of the row that renewals write."""
    return LEASE_PREFIX + role


def make_fence_key(role: str) -> str:
    """Returns the key of the row that only takeovers write."""
    return FENCE_PREFIX + role


def decode_lease_rows(
    lease_row: records.Row, fence_row: records.Row
) -> LeaseRows:
    """Returns the rows with their content.

    Raises:
        PlatformRejectedError: A row's text isn't that of a lease.
    """
    record = LeaseRecord("", 0, 0)
    fence_token = 0
    try:
        if lease_row.version:
            fields = json.loads(lease_row.value)
            record = LeaseRecord(
                str(fields["holder"]),
                int(fields["token"]),
                int(fields["renewals"]),
            )
        if fence_row.version:
            fence_token = int(json.loads(fence_row.value)["token"])
    except (ValueError, KeyError, TypeError) as error:
        raise errors.PlatformRejectedError(
            f"rows {lease_row.key} and {fence_row.key} don't hold a lease "
            f"({error!r}); stop all control processes and delete the first"
        ) from error
    return LeaseRows(lease_row, fence_row, record, fence_token)


class RowObserver:
    """Measures how long a row has stood still, by the own monotonic clock."""

    __slots__ = ("_clock", "_first_seen", "_version")

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._version = -1
        self._first_seen = datetime.timedelta()

    @property
    def version(self) -> int:
        """Highest version seen; -1 if none was."""
        return self._version

    def note(self, version: int) -> None:
        """Notes a version after the answer that showed it has arrived.

        A lower version than before is a late read and changes nothing.
        """
        if version > self._version:
            self._version = version
            self._first_seen = self._clock.monotonic()

    def measure_idle(self, version: int) -> datetime.timedelta:
        """Returns how long this version has been the highest one seen."""
        if version != self._version:
            return datetime.timedelta()
        return self._clock.monotonic() - self._first_seen


class LeaseRowStore:
    """Reads and writes the rows of one lease for one keeper."""

    __slots__ = ("_clock", "_identity", "_random", "_role", "_table", "_writes")

    def __init__(
        self,
        role: str,
        table: tables.Table,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._role = role
        self._table = table
        self._clock = clock
        self._random = rng
        # Marks the rows written by this keeper. A restarted process has
        # another one, so that it waits for its own former lease like anybody.
        self._identity = transactions.make_write_id(rng)
        self._writes = 0

    def is_own(self, rows: LeaseRows) -> bool:
        """Returns whether this keeper wrote the lease row last."""
        return rows.lease_row.write_id.startswith(self._identity)

    async def read(self) -> LeaseRows:
        """Reads both rows in one request.

        Raises:
            PlatformError: The rows can't be read or aren't those of a lease.
        """
        lease_row, fence_row = await self._table.read(
            (make_lease_key(self._role), make_fence_key(self._role))
        )
        return decode_lease_rows(lease_row, fence_row)

    async def write_takeover(
        self,
        rows: LeaseRows,
        record: LeaseRecord,
        patience: datetime.timedelta,
    ) -> records.TransactionResult:
        """Writes a new holder and raises the fence, if nobody was faster."""
        fence = json.dumps({"token": record.token})
        return await self._apply(
            (
                records.Condition(rows.lease_row.key, rows.lease_row.version),
                records.Condition(rows.fence_row.key, rows.fence_row.version),
            ),
            (
                self._encode_record(record),
                records.Write(rows.fence_row.key, fence),
            ),
            patience,
        )

    async def write_renewal(
        self, record: LeaseRecord, version: int, patience: datetime.timedelta
    ) -> records.TransactionResult:
        """Writes a renewal over a version that this keeper wrote."""
        return await self._apply(
            (records.Condition(make_lease_key(self._role), version),),
            (self._encode_record(record),),
            patience,
        )

    async def write_release(
        self, rows: LeaseRows, patience: datetime.timedelta
    ) -> records.TransactionResult:
        """Writes that nobody holds the lease."""
        freed = dataclasses.replace(rows.record, holder="")
        return await self.write_renewal(freed, rows.lease_row.version, patience)

    def _encode_record(self, record: LeaseRecord) -> records.Write:
        text = json.dumps(dataclasses.asdict(record))
        return records.Write(make_lease_key(self._role), text)

    async def _apply(
        self,
        conditions: tuple[records.Condition, ...],
        writes: tuple[records.Write, ...],
        patience: datetime.timedelta,
    ) -> records.TransactionResult:
        self._writes += 1
        write_id = f"{self._identity}-{self._writes}"
        return await transactions.apply_transaction(
            self._table,
            records.Transaction(write_id, conditions, writes),
            self._clock,
            self._random,
            patience,
        )
