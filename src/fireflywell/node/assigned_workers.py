"""Which incarnations of workers may still run units of an earlier owner."""

from collections.abc import Callable
import datetime

import msgpack

from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.scheduling import service_state
from fireflywell.telemetry import logs


class AssignedWorkers:
    """Lives of workers that owners of a service gave orders to.

    It is stored before the first order to a worker, so that a successor knows
    whom to ask before it starts a unit that may be running already.
    """

    __slots__ = (
        "_state",
        "_incarnations",
        "_on_settled",
        "_store",
        "_tenure",
        "_unaccounted",
        "_unsettled_until_s",
        "_version",
    )

    def __init__(
        self,
        tenure: ownership.Tenure,
        state: service_state.ServiceState,
        store: row_store.RowStore,
        on_settled: Callable[[], None],
    ) -> None:
        self._tenure = tenure
        self._state = state
        self._store = store
        self._on_settled = on_settled
        self._incarnations: dict[str, int] = {}
        self._version = 0
        self._unaccounted: dict[str, int] = {}
        # On the store's clock, which all owners share.
        self._unsettled_until_s = 0.0

    async def load(self, longest_orphan: datetime.timedelta) -> None:
        """Reads the list that earlier owners left.

        Args:
            longest_orphan: After this time, no run of an earlier owner can be
                left on a worker that this owner doesn't reach.
        """
        row_key = tables.locate_assigned_workers(self._tenure.service)
        page = await self._store.read(row_key.table, row_key.partition)
        for row in page.rows:
            if row.row_key == row_key:
                incarnations, earlier_s = msgpack.unpackb(row.value)
                self._incarnations = dict(incarnations)
                self._unsettled_until_s = float(earlier_s)
                self._version = row.version
        self._unaccounted = dict(self._incarnations)
        self._unsettled_until_s = max(
            self._unsettled_until_s,
            self._store.now_s() + longest_orphan.total_seconds(),
        )
        self.check_recovery()

    def mark_reported(self, worker_id: str, started_unix_ms: int) -> None:
        """Notes that an incarnation of a worker has reported all its runs.

        Another incarnation than the listed one proves that the listed one is
        over.
        """
        # Any report accounts for all earlier incarnations of the id.
        del started_unix_ms
        if self._unaccounted.pop(worker_id, None) is not None:
            self.check_recovery()

    def check_recovery(self) -> None:
        """Releases recovered units once all earlier runs are accounted for."""
        if self._state.is_recovery_complete:
            return
        is_over = self._store.now_s() > self._unsettled_until_s
        if self._unaccounted and not is_over:
            return
        logs.log_event(
            "ownership.inheritance_settled",
            service=self._tenure.service,
            out_of_reach=sorted(self._unaccounted),
        )
        # Those out of reach are over by now; a successor needn't wait again.
        self._unaccounted = {}
        self._state.is_recovery_complete = True
        self._on_settled()

    async def store_incarnations(self, incarnations: dict[str, int]) -> bool:
        """Stores the workers in use if they have changed.

        An incarnation that is over is taken off the list, so that a successor
        doesn't wait for it.

        Args:
            incarnations: Start of the incarnation by worker, for all that may
                have runs.

        Returns:
            Whether orders may be given to all of them.
        """
        wanted = {**self._unaccounted, **incarnations}
        if wanted == self._incarnations:
            return True
        has_new = any(
            self._incarnations.get(key) != started_unix_ms
            for key, started_unix_ms in incarnations.items()
        )
        value = msgpack.packb([wanted, self._unsettled_until_s])
        row_key = tables.locate_assigned_workers(self._tenure.service)
        try:
            result = await self._store.transact(
                row_store.Transaction(
                    (
                        self._tenure.make_condition(),
                        row_store.Condition(row_key, self._version),
                    ),
                    (row_store.Put(row_key, bytes(value)),),
                )
            )
        except errors.PlatformError:
            return not has_new
        match result:
            case row_store.Committed(version=version):
                self._version = version
                self._incarnations = wanted
                return True
            case row_store.Conflict() as conflict:
                # An earlier write of this owner whose answer was lost.
                self._version = conflict.find_version(row_key)
                return not has_new
