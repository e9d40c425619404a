"""Applies a conditional transaction when answers of the store get lost."""

import datetime
import random

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables

_INITIAL_PAUSE = datetime.timedelta(milliseconds=50)
_MAXIMUM_PAUSE = datetime.timedelta(seconds=1)
DEFAULT_PATIENCE = datetime.timedelta(seconds=10)


def make_write_id(rng: random.Random) -> str:
    """Returns a random identifier for one transaction."""
    return f"{rng.getrandbits(128):032x}"


async def apply_transaction(
    table: tables.Table,
    transaction: records.Transaction,
    clock: clock_lib.Clock,
    rng: random.Random,
    patience: datetime.timedelta = DEFAULT_PATIENCE,
) -> records.TransactionResult:
    """Applies a transaction once, also when answers are lost.

    A request whose answer was lost may still be on its way, so an unchanged
    row proves nothing. The same transaction is sent again until the store
    commits it or reports a conflict. A conflict ends every copy that is still
    on its way, because versions only grow. This holds as long as none of the
    conditional rows is deleted and created again in the meantime.

    Args:
        table: Table service.
        transaction: Must condition at least one row that it writes; otherwise
            a lost answer is reported as unknown unless the row tells.
        clock: Measures the pauses between attempts.
        rng: Jitters the pauses.
        patience: After a lost answer, how long to go on resolving it.

    Returns:
        `Committed` if it was applied, `Conflict` if it wasn't and won't be.

    Raises:
        PlatformError: The first request failed and surely wasn't applied.
        LeaseLostError: The same, refused by a fence.
        OutcomeUnknownError: It may have been applied, or may be later.
    """
    try:
        return await table.transact(transaction)
    except errors.AnswerLostError:
        pass
    resolver = _Resolver(table, transaction, clock, rng, patience)
    return await resolver.resolve()


class _Resolver:
    """Finds out what became of a transaction whose answer was lost."""

    __slots__ = ("_clock", "_deadline", "_random", "_table", "_transaction")

    def __init__(
        self,
        table: tables.Table,
        transaction: records.Transaction,
        clock: clock_lib.Clock,
        rng: random.Random,
        patience: datetime.timedelta,
    ) -> None:
        self._table = table
        self._transaction = transaction
        self._clock = clock
        self._random = rng
        self._deadline = clock.monotonic() + patience

    async def resolve(self) -> records.TransactionResult:
        """Returns the outcome; see `apply_transaction`."""
        conflict = None
        pause = _INITIAL_PAUSE
        may_resend = is_safe_to_resend(self._transaction)
        while True:
            try:
                if conflict is None and may_resend:
                    match await self._table.transact(self._transaction):
                        case records.Committed() as committed:
                            return committed
                        case records.Conflict() as found:
                            conflict = found
                result = await self._read_back(conflict)
                if result is not None:
                    return result
            except (
                errors.PlatformUnavailableError,
                errors.AnswerLostError,
            ):
                pass
            except (errors.PlatformError, errors.LeaseLostError) as error:
                raise self._make_unknown(str(error)) from error
            if self._clock.monotonic() + pause > self._deadline:
                raise self._make_unknown("no answer in time")
            await self._clock.sleep(pause * self._random.uniform(0.5, 1.0))
            pause = min(pause * 2, _MAXIMUM_PAUSE)

    async def _read_back(
        self, conflict: records.Conflict | None
    ) -> records.TransactionResult | None:
        """Returns the outcome that the rows show; None to read again."""
        keys = {write.key for write in self._transaction.writes}
        keys.update(item.key for item in self._transaction.conditions)
        rows = {row.key: row for row in await self._table.read(tuple(keys))}
        for write in self._transaction.writes:
            if rows[write.key].write_id == self._transaction.write_id:
                return records.Committed(rows[write.key].revision)
        if conflict is None:
            raise self._make_unknown("it has no condition on a written row")
        if rows[conflict.key].version < conflict.actual_version:
            # A read served from before the conflict shows nothing.
            return None
        if self._is_final(conflict) and self._was_never_applied(rows):
            return conflict
        raise self._make_unknown("the rows don't tell")

    def _is_final(self, conflict: records.Conflict) -> bool:
        """Whether a copy that is still on its way will conflict as well."""
        return any(
            item.key == conflict.key and conflict.actual_version > item.version
            for item in self._transaction.conditions
        )

    def _was_never_applied(self, rows: dict[str, records.Row]) -> bool:
        written = {write.key for write in self._transaction.writes}
        for condition in self._transaction.conditions:
            if condition.key not in written:
                continue
            version = rows[condition.key].version
            # Unchanged, or changed once by somebody else: the one place that
            # this transaction could have taken. A missing row was deleted.
            if version in (condition.version, condition.version + 1):
                return True
        return False

    def _make_unknown(self, reason: str) -> errors.OutcomeUnknownError:
        names = ", ".join(write.key for write in self._transaction.writes)
        return errors.OutcomeUnknownError(
            f"write {self._transaction.write_id} to {names}: it isn't known "
            f"whether it was applied ({reason}); read the rows again before "
            "deciding anything from them"
        )


def is_safe_to_resend(transaction: records.Transaction) -> bool:
    """Returns whether a second copy surely conflicts after the first.

    That is so if a row is both conditional and changed by the write: its
    version is then another one. Deleting a missing row changes nothing.
    """
    conditions = {item.key: item.version for item in transaction.conditions}
    return any(
        write.key in conditions
        and (write.value is not None or conditions[write.key] > 0)
        for write in transaction.writes
    )
