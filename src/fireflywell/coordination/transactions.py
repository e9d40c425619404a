"""Applies conditional transactions and resolves lost answers."""

import datetime
import random

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables

_INITIAL_PAUSE = datetime.timedelta(milliseconds=50)
_MAX_PAUSE = datetime.timedelta(seconds=1)
DEFAULT_PATIENCE = datetime.timedelta(seconds=10)


def make_write_id(rng: random.Random) -> str:
    """Returns a random write ID of 128 bits for one transaction."""
    return f"{rng.getrandbits(128):032x}"


async def apply_transaction(
    table: tables.Table,
    transaction: records.Transaction,
    clock: clock_lib.Clock,
    rng: random.Random,
    patience: datetime.timedelta = DEFAULT_PATIENCE,
) -> records.TransactionResult:
    """Applies a transaction at most once and resolves lost answers.

    A request whose answer was lost may still be in flight, so an unchanged row
    doesn't prove that it wasn't applied. The same transaction is sent again
    until the store commits it or reports a conflict. After a conflict, copies
    in flight conflict too, because versions only increase. This requires that
    no row of the conditions is deleted and created again in the meantime.

    Args:
        table: Table service.
        transaction: Should have a condition on a row that it writes. Without
            one, the outcome after a lost answer is unknown unless a row holds
            the transaction's write ID.
        clock: Clock for the deadline and the pauses between attempts.
        rng: Source of jitter for the pauses.
        patience: How long to resolve the outcome after a lost answer.

    Returns:
        `Committed` if it was applied, `Conflict` if it wasn't and never will
        be.

    Raises:
        PlatformError: The first request failed; it was not applied.
        LeaseLostError: A fence rejected the first request; it was not applied.
        OutcomeUnknownError: It may have been applied or may be applied later.
    """
    try:
        return await table.transact(transaction)
    except errors.AnswerLostError:
        pass
    resolver = _OutcomeResolver(table, transaction, clock, rng, patience)
    return await resolver.resolve()


class _OutcomeResolver:
    """Determines the outcome of a transaction whose answer was lost."""

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
            pause = min(pause * 2, _MAX_PAUSE)

    async def _read_back(
        self, conflict: records.Conflict | None
    ) -> records.TransactionResult | None:
        """Returns the outcome that the rows prove; None if the read is stale.

        Raises:
            OutcomeUnknownError: The rows don't prove an outcome.
        """
        keys = {write.key for write in self._transaction.writes}
        keys.update(item.key for item in self._transaction.conditions)
        rows = {row.key: row for row in await self._table.read(tuple(keys))}
        for write in self._transaction.writes:
            if rows[write.key].write_id == self._transaction.write_id:
                return records.Committed(rows[write.key].revision)
        if conflict is None:
            raise self._make_unknown(
                "the write has no condition on a written row"
            )
        if rows[conflict.key].version < conflict.actual_version:
            # A stale read from before the conflict proves nothing.
            return None
        if self._is_final(conflict) and self._was_never_applied(rows):
            return conflict
        raise self._make_unknown("the rows don't prove the outcome")

    def _is_final(self, conflict: records.Conflict) -> bool:
        """Returns whether copies in flight will conflict as well."""
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
            # The row is unchanged, or another writer made the only change
            # since, so this transaction can't have written it. The version of
            # a deleted row is 0 and proves nothing.
            if version in (condition.version, condition.version + 1):
                return True
        return False

    def _make_unknown(self, reason: str) -> errors.OutcomeUnknownError:
        names = ", ".join(write.key for write in self._transaction.writes)
        return errors.OutcomeUnknownError(
            f"it is unknown whether write {self._transaction.write_id} to "
            f"{names} was applied ({reason}); read the rows again before "
            "relying on them"
        )


def is_safe_to_resend(transaction: records.Transaction) -> bool:
    """Returns whether a second copy always conflicts after the first.

    It does if the transaction changes a row that it has a condition on, because
    the row's version then differs. Deleting a missing row isn't a change.
    """
    conditions = {item.key: item.version for item in transaction.conditions}
    return any(
        write.key in conditions
        and (write.value is not None or conditions[write.key] > 0)
        for write in transaction.writes
    )
