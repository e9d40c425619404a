"""States of maintenance waves, which the fleet's owner stores for operators."""

from fireflywell.coordination import row_store
from fireflywell.node import fleet_cache
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.telemetry import logs

RUNNING = "running"
COMPLETED = "completed"


class WaveStates:
    """Reads and writes the states of waves during one tenure.

    A state is about the request as of its write: each write is conditional on
    the version of the request's row, so a stored state with a higher version
    is about that request, and one with a lower version is about an earlier
    one. It is also conditional on the state that was read. Neither an owner
    that was replaced nor a write that the store applies late can therefore
    change a state that was stored since, or complete a request that operators
    have changed. No write of a tenure's owner row is needed for this.

    Reads show at least what former owners stored before this one's claim, so
    that a wave which they completed isn't run again.
    """

    __slots__ = ("_store", "_tenure")

    def __init__(
        self, store: row_store.RowStore, tenure: ownership.Tenure
    ) -> None:
        self._store = store
        self._tenure = tenure

    async def is_completed(
        self, number: int, request: row_store.Condition
    ) -> bool:
        """Returns whether a wave is stored as completed.

        Args:
            number: Number of the wave.
            request: The row of its request.

        Raises:
            PlatformError: The store doesn't answer.
        """
        return _is_completed(await self._read(number), request)

    async def write(
        self, number: int, request: row_store.Condition, state: str
    ) -> bool:
        """Stores a wave's state unless it is stored already.

        Args:
            number: Number of the wave.
            request: The row of its request, at the version that the state is
                about.
            state: `RUNNING` or `COMPLETED`.

        Returns:
            Whether the state is stored. False if the request has changed, its
            state has changed or the read of it was behind, and if the wave is
            completed and `state` is `RUNNING`.

        Raises:
            PlatformError: The store doesn't answer.
        """
        row = await self._read(number)
        if _is_completed(row, request):
            return state == COMPLETED
        if state == RUNNING and row is not None and _has_state(row, RUNNING):
            return True
        row_key = _locate(number)
        result = await self._store.transact(
            row_store.Transaction(
                (
                    row_store.Condition(row_key, row.version if row else 0),
                    request,
                ),
                (row_store.Put(row_key, fleet_cache.encode_wave_state(state)),),
            )
        )
        if isinstance(result, row_store.Conflict):
            return False
        logs.log_event(
            "wave.state",
            wave=number,
            state=state,
            request=request.version,
            token=self._tenure.token,
            replaced=row.value.decode(errors="replace") if row else None,
            replaced_version=row.version if row else 0,
        )
        return True

    async def _read(self, number: int) -> row_store.Row | None:
        row_key = _locate(number)
        page = await self._store.read(
            row_key.table,
            row_key.partition,
            row_key.key,
            row_key.key + "\x00",
            self._tenure.version,
        )
        return page.rows[0] if page.rows else None


def _is_completed(
    row: row_store.Row | None, request: row_store.Condition
) -> bool:
    """Returns whether a row says that a request is completed."""
    return (
        row is not None
        and row.version > request.version
        and _has_state(row, COMPLETED)
    )


def _has_state(row: row_store.Row, state: str) -> bool:
    return state.encode() in row.value


def _locate(number: int) -> row_store.RowKey:
    return row_store.RowKey(tables.STATUS, "", f"wave/{number}")
