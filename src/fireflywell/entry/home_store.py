"""Reads and writes the rows of homes for the home manager."""

import dataclasses
import datetime
import random

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import home_rows
from fireflywell.coordination import transactions
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables
from fireflywell.requests import homes
from fireflywell.telemetry import logs

# The home manager sends an unresolved write again in its next round; waiting
# for it here would hold up the other instances.
_PATIENCE = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    write: homes.WriteRecord
    transaction: records.Transaction


class HomeStore:
    """Brings a home table up to date with the store and back."""

    __slots__ = (
        "_attempts",
        "_home_table",
        "_clock",
        "_is_up",
        "_random",
        "_revision",
        "_table",
    )

    def __init__(
        self,
        home_table: homes.HomeTable,
        table: tables.Table,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._home_table = home_table
        self._table = table
        self._clock = clock
        self._random = rng
        self._revision = 0
        self._is_up = False
        self._attempts: dict[str, _Attempt] = {}

    @property
    def is_reachable(self) -> bool:
        """Whether the last poll reached the store."""
        return self._is_up

    async def poll(self) -> None:
        """Reads the rows that changed since the last poll."""
        try:
            page = await tables.scan_all_rows(
                self._table, home_rows.HOME_PREFIX, self._revision
            )
        except errors.PlatformError as error:
            self._is_up = False
            logs.log_event("homes.poll_failed", error=str(error))
            return
        self._is_up = True
        self._revision = max(self._revision, page.revision)
        for row in page.rows:
            self._note_row(row)

    async def resend(self) -> None:
        """Sends the writes again whose outcome isn't known."""
        for attempt in tuple(self._attempts.values()):
            await self._apply(attempt, is_repeated=True)

    async def write(self, write: homes.WriteRecord) -> None:
        """Writes a row that the home table has planned."""
        record = write.record
        key = home_rows.make_home_key(record.instance_id)
        attempt = _Attempt(
            write,
            records.Transaction(
                transactions.make_write_id(self._random),
                (records.Condition(key, write.expected_version),),
                (records.Write(key, home_rows.encode_home_record(record)),),
            ),
        )
        self._home_table.record_write(write)
        self._attempts[record.instance_id] = attempt
        await self._apply(attempt, is_repeated=False)

    async def _apply(self, attempt: _Attempt, is_repeated: bool) -> None:
        write = attempt.write
        try:
            result = await transactions.apply_transaction(
                self._table,
                attempt.transaction,
                self._clock,
                self._random,
                _PATIENCE,
            )
        except errors.OutcomeUnknownError:
            return
        except errors.PlatformError:
            # Only the first attempt surely leaves nothing on its way.
            if not is_repeated:
                self._resolve(write)
            return
        self._resolve(write)
        match result:
            case records.Committed():
                version = write.expected_version + 1
                self._home_table.apply_record(
                    dataclasses.replace(write.record, version=version)
                )
                logs.log_event(
                    "homes.row_written",
                    instance=write.record.instance_id,
                    owner=write.record.owner.address,
                    epoch=write.record.epoch,
                )
            case records.Conflict(key=key):
                await self._read_row(key)

    def _resolve(self, write: homes.WriteRecord) -> None:
        del self._attempts[write.record.instance_id]
        self._home_table.resolve_write(write)

    async def _read_row(self, key: str) -> None:
        try:
            (row,) = await self._table.read((key,))
        except errors.PlatformError:
            # The next poll reads it.
            return
        self._note_row(row)

    def _note_row(self, row: records.Row) -> None:
        if not row.version:
            return
        try:
            record = home_rows.decode_home_row(row)
        except ValueError as error:
            logs.log_event("homes.row_invalid", key=row.key, error=str(error))
            return
        self._home_table.apply_record(record)
