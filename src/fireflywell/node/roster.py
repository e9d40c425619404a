"""Which lives of workers may still run units of an earlier owner."""

from collections.abc import Callable
import datetime

import msgpack

from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.scheduling import service_state
from fireflywell.telemetry import logs


class Roster:
    """Lives of workers that owners of a service gave orders to.

    It is stored before the first order to a worker, so that a successor knows
    whom to ask before it starts a unit that may be running already.
    """

    __slots__ = (
        "_state",
        "_lives",
        "_on_settled",
        "_store",
        "_tenure",
        "_unsettled",
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
        self._lives: dict[str, int] = {}
        self._version = 0
        self._unsettled: dict[str, int] = {}
        # On the store's clock, which all owners share.
        self._unsettled_until_s = 0.0

    async def load(self, longest_orphan: datetime.timedelta) -> None:
        """Reads the list that earlier owners left.

        Args:
            longest_orphan: After this time, no run of an earlier owner can be
                left on a worker that this owner doesn't reach.
        """
        place = tables.locate_roster(self._tenure.service)
        page = await self._store.read(place.table, place.partition)
        for row in page.rows:
            if row.place == place:
                lives, earlier_s = msgpack.unpackb(row.value)
                self._lives = dict(lives)
                self._unsettled_until_s = float(earlier_s)
                self._version = row.version
        self._unsettled = dict(self._lives)
        self._unsettled_until_s = max(
            self._unsettled_until_s,
            self._store.now_s() + longest_orphan.total_seconds(),
        )
        self.check_settled()

    def note_report(self, worker_id: str, born_unix_ms: int) -> None:
        """Notes that a life of a worker has reported all its runs.

        Another life than the listed one proves that the listed one is over.
        """
        del born_unix_ms  # Any report settles all earlier lives of the id.
        if self._unsettled.pop(worker_id, None) is not None:
            self.check_settled()

    def check_settled(self) -> None:
        """Releases inherited units once all earlier runs are accounted for."""
        if self._state.is_recovery_complete:
            return
        is_over = self._store.now_s() > self._unsettled_until_s
        if self._unsettled and not is_over:
            return
        logs.log_event(
            "ownership.inheritance_settled",
            service=self._tenure.service,
            out_of_reach=sorted(self._unsettled),
        )
        # Those out of reach are over by now; a successor needn't wait again.
        self._unsettled = {}
        self._state.is_recovery_complete = True
        self._on_settled()

    async def store_lives(self, lives: dict[str, int]) -> bool:
        """Stores the workers in use if they have changed.

        A life that is over is taken off the list, so that a successor doesn't
        wait for it.

        Args:
            lives: Start of the life by worker, for all that may have runs.

        Returns:
            Whether orders may be given to all of them.
        """
        wanted = {**self._unsettled, **lives}
        if wanted == self._lives:
            return True
        has_new = any(
            self._lives.get(key) != born for key, born in lives.items()
        )
        value = msgpack.packb([wanted, self._unsettled_until_s])
        place = tables.locate_roster(self._tenure.service)
        try:
            result = await self._store.transact(
                row_store.Transaction(
                    (
                        self._tenure.make_condition(),
                        row_store.Expected(place, self._version),
                    ),
                    (row_store.Put(place, bytes(value)),),
                )
            )
        except errors.PlatformError:
            return not has_new
        match result:
            case row_store.Committed(version=version):
                self._version = version
                self._lives = wanted
                return True
            case row_store.Conflict() as conflict:
                # An earlier write of this owner whose answer was lost.
                self._version = conflict.find_version(place)
                return not has_new
