"""Stores which worker incarnations may run units of a service."""

from collections.abc import Callable
import datetime
import math

import msgpack

from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.scheduling import service_state
from fireflywell.telemetry import logs


class AssignedWorkers:
    """Tracks the worker incarnations that owners of a service sent orders to.

    The list is stored before the first order to a worker, so that a successor
    can wait for their reports before it starts a unit that may already run.
    """

    __slots__ = (
        "_state",
        "_incarnations",
        "_is_list_unknown",
        "_is_row_known",
        "_on_recovered",
        "_store",
        "_tenure",
        "_unreported",
        "_recovery_deadline_s",
        "_version",
    )

    def __init__(
        self,
        tenure: ownership.Tenure,
        state: service_state.ServiceState,
        store: row_store.RowStore,
        on_recovered: Callable[[], None],
    ) -> None:
        self._tenure = tenure
        self._state = state
        self._store = store
        self._on_recovered = on_recovered
        # Incarnations that the stored list surely holds.
        self._incarnations: dict[str, int] = {}
        # Whether the list of earlier owners couldn't be read.
        self._is_list_unknown = False
        # Whether the stored list holds nothing else. A write without an answer
        # may be applied at any time until a later one is.
        self._is_row_known = True
        self._version = 0
        self._unreported: dict[str, int] = {}
        # Recovery ends at this time without the missing reports. It is on the
        # store's clock, which all owners share.
        self._recovery_deadline_s = 0.0

    @property
    def unreported_workers(self) -> tuple[str, ...]:
        """Workers whose reports the recovery waits for."""
        return tuple(sorted(self._unreported))

    async def load(self, orphan_timeout: datetime.timedelta) -> None:
        """Reads the list that earlier owners stored.

        Args:
            orphan_timeout: After this time, no run of an earlier owner can
                still be active on a worker that this owner can't reach.

        Raises:
            PlatformError: The store doesn't answer.
        """
        row_key = tables.locate_assigned_workers(self._tenure.service)
        page = await self._store.read(row_key.table, row_key.partition)
        for row in page.rows:
            if row.row_key == row_key:
                self._version = row.version
                self._decode_row(row)
        self._unreported = dict(self._incarnations)
        self._recovery_deadline_s = max(
            self._recovery_deadline_s,
            self._store.now_s() + orphan_timeout.total_seconds(),
        )
        self.check_recovery()

    def _decode_row(self, row: row_store.Row) -> None:
        try:
            incarnations, deadline_s = msgpack.unpackb(row.value)
            decoded = {str(key): int(n) for key, n in incarnations.items()}
            if not math.isfinite(deadline_s):
                raise ValueError(f"the deadline is {deadline_s}")
            self._incarnations = decoded
            self._recovery_deadline_s = float(deadline_s)
        except Exception as error:
            self._is_list_unknown = True
            logs.log_event(
                "assigned_workers.unreadable",
                service=self._tenure.service,
                error=repr(error),
            )

    def mark_reported(self, worker_id: str, started_unix_ms: int) -> None:
        """Records that an incarnation of a worker has reported all its runs.

        A report of another incarnation than the listed one proves that the
        listed one has ended.
        """
        # Any report accounts for all earlier incarnations of the id.
        del started_unix_ms
        if self._unreported.pop(worker_id, None) is not None:
            self.check_recovery()

    def check_recovery(self) -> None:
        """Completes the recovery once no unreported run can be active.

        That is so once all listed workers have reported, or after the deadline.
        If the list can't be read, any worker may have runs until the deadline.
        Recovered units may be started again from then on.
        """
        if self._state.is_recovery_complete:
            return
        is_past_deadline = self._store.now_s() > self._recovery_deadline_s
        is_waiting = bool(self._unreported) or self._is_list_unknown
        if is_waiting and not is_past_deadline:
            return
        logs.log_event(
            "ownership.inheritance_settled",
            service=self._tenure.service,
            out_of_reach=sorted(self._unreported),
        )
        # The leases of unreachable workers have expired, so a successor needn't
        # wait for them again.
        self._unreported = {}
        self._state.is_recovery_complete = True
        self._on_recovered()

    async def store_incarnations(self, incarnations: dict[str, int]) -> bool:
        """Stores the workers in use if they have changed.

        An incarnation that has ended is removed from the list, so that a
        successor doesn't wait for it.

        Args:
            incarnations: Start of the current incarnation in Unix ms by worker
                id, for all workers that may have runs.

        Returns:
            Whether all of them are stored, so that orders may be sent to them.
        """
        wanted = {**self._unreported, **incarnations}
        if self._is_row_known and wanted == self._incarnations:
            return True
        has_new = any(
            self._incarnations.get(key) != started_unix_ms
            for key, started_unix_ms in incarnations.items()
        )
        value = msgpack.packb([wanted, self._recovery_deadline_s])
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
        except errors.PlatformUnavailableError:
            return not has_new
        except errors.PlatformError:
            self._is_row_known = False
            self._incarnations = dict(
                self._incarnations.items() & wanted.items()
            )
            return not has_new
        match result:
            case row_store.Committed(version=version):
                self._version = version
                self._incarnations = wanted
                self._is_row_known = True
                return True
            case row_store.Conflict() as conflict:
                # An earlier write of this owner, whose answer was lost, was
                # applied.
                self._version = conflict.find_version(row_key)
                return not has_new
