"""Storage of a lease in two rows: the lease record and its fence.

Row `lease/<role>` names the holder and is written by each renewal. Row
`fence/<role>` changes only on a takeover, so that writes can be conditioned on
its version.
"""

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
        holder: Name of the holder, shown to operators; empty after a release.
        token: Fencing token, increased by each takeover.
        renewals: Number of renewals under this token.
    """

    holder: str
    token: int
    renewals: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRows:
    """Both rows of a lease as read in one request.

    Attributes:
        lease_row: Row `lease/<role>`.
        fence_row: Row `fence/<role>`.
        record: Decoded value of the lease row.
        fence_token: Token in the fence row; 0 if the row doesn't exist.
    """

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
        """Whether the last holder released the lease."""
        return self.lease_row.version > 0 and not self.record.holder

    @property
    def next_token(self) -> int:
        """Fencing token for the next holder, higher than all earlier ones."""
        return max(self.record.token, self.fence_token) + 1


def make_lease_key(role: str) -> str:
    """Returns the key of the lease row, which each renewal writes."""
    return LEASE_PREFIX + role


def make_fence_key(role: str) -> str:
    """Returns the key of the fence row, which only takeovers write."""
    return FENCE_PREFIX + role


def decode_lease_rows(
    lease_row: records.Row, fence_row: records.Row
) -> LeaseRows:
    """Decodes both rows of a lease.

    Raises:
        PlatformRejectedError: A row's value isn't that of a lease.
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
            f"rows {lease_row.key} and {fence_row.key} can't be decoded as "
            f"a lease ({error!r}); stop all control processes and delete "
            f"row {lease_row.key}"
        ) from error
    return LeaseRows(lease_row, fence_row, record, fence_token)


class RowObserver:
    """Measures how long a row stays unchanged by the local monotonic clock."""

    __slots__ = ("_clock", "_first_seen", "_version")

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._version = -1
        self._first_seen = datetime.timedelta()

    @property
    def version(self) -> int:
        """Highest observed version; -1 before the first observation."""
        return self._version

    def note(self, version: int) -> None:
        """Records an observed version; a higher one restarts the idle time.

        Must be called after the response of the read has arrived. A lower
        version than the highest one comes from a stale read and is ignored.
        """
        if version > self._version:
            self._version = version
            self._first_seen = self._clock.monotonic()

    def measure_idle(self, version: int) -> datetime.timedelta:
        """Returns for how long this version has been the highest observed one.

        The result is 0 for any other version.
        """
        if version != self._version:
            return datetime.timedelta()
        return self._clock.monotonic() - self._first_seen


class LeaseRowStore:
    """Reads and writes the rows of one lease on behalf of one keeper."""

    __slots__ = (
        "_clock",
        "_write_id_prefix",
        "_random",
        "_role",
        "_table",
        "_write_count",
    )

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
        # Prefix of the write IDs of this keeper. A restarted process has a new
        # one, so it waits until the lease that it held before has expired.
        self._write_id_prefix = transactions.make_write_id(rng)
        self._write_count = 0

    def is_own(self, rows: LeaseRows) -> bool:
        """Returns whether the last write of the lease row is this keeper's."""
        return rows.lease_row.write_id.startswith(self._write_id_prefix)

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
        """Stores a new holder and a higher fencing token in one transaction.

        Args:
            rows: The rows as read; the write conflicts if they have changed.
            record: Record of the new holder.
            patience: How long to resolve a lost answer.
        """
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
        """Replaces a version of the lease row that this keeper wrote."""
        return await self._apply(
            (records.Condition(make_lease_key(self._role), version),),
            (self._encode_record(record),),
            patience,
        )

    async def write_release(
        self, rows: LeaseRows, patience: datetime.timedelta
    ) -> records.TransactionResult:
        """Stores that the lease has no holder."""
        released = dataclasses.replace(rows.record, holder="")
        return await self.write_renewal(
            released, rows.lease_row.version, patience
        )

    def _encode_record(self, record: LeaseRecord) -> records.Write:
        text = json.dumps(dataclasses.asdict(record))
        return records.Write(make_lease_key(self._role), text)

    async def _apply(
        self,
        conditions: tuple[records.Condition, ...],
        writes: tuple[records.Write, ...],
        patience: datetime.timedelta,
    ) -> records.TransactionResult:
        self._write_count += 1
        write_id = f"{self._write_id_prefix}-{self._write_count}"
        return await transactions.apply_transaction(
            self._table,
            records.Transaction(write_id, conditions, writes),
            self._clock,
            self._random,
            patience,
        )
