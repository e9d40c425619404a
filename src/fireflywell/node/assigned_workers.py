"""Stores which worker incarnations may run units of a service."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import datetime

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import assigned_worker_rows as rows
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.scheduling import service_state
from fireflywell.scheduling import workers as workers_lib
from fireflywell.telemetry import logs

# While a worker that has reported isn't stored as in use, it is asked again at
# this interval, so that the ends of its runs are known.
ACQUIRE_TIMEOUT = datetime.timedelta(milliseconds=900)

# Workers that report within this time after the first one share its write.
_BATCH_DELAY = datetime.timedelta(milliseconds=50)

# How often changes that nothing waits for are written, and writes repeated.
_WRITE_INTERVAL_S = 0.25

# Least time after which the end of the recovery is looked at again.
_SHORTEST_PAUSE_S = 0.002

# The estimate of the store's clock is behind it by the time that an answer
# takes, which is at most this long.
_STORE_CLOCK_MARGIN_S = 1.5


class AssignedWorkers:
    """Tracks the worker incarnations that may run units of a service.

    Starts aren't stored. A successor therefore starts a unit that it inherits
    only once each incarnation on the stored list has reported or can have no
    runs any more. An incarnation is stored as in use before an owner grants
    the first lease to it. Once it is lost, the end of its last lease is stored
    instead, so that later owners don't wait any longer.
    """

    __slots__ = (
        "_are_deadlines_due",
        "_changed",
        "_claimed_at",
        "_clock",
        "_inherited",
        "_is_row_known",
        "_latest_s",
        "_loaded_version",
        "_lost",
        "_on_recovered",
        "_on_tenure_lost",
        "_out_of_reach",
        "_state",
        "_store",
        "_stored",
        "_tenure",
        "_unanswered",
        "_unlisted_until_s",
        "_used",
        "_version",
        "_wake",
    )

    def __init__(
        self,
        tenure: ownership.Tenure,
        state: service_state.ServiceState,
        store: row_store.RowStore,
        clock: clock_lib.Clock,
        on_recovered: Callable[[], None],
        on_tenure_lost: Callable[[], None],
    ) -> None:
        self._tenure = tenure
        self._state = state
        self._store = store
        self._clock = clock
        self._on_recovered = on_recovered
        self._on_tenure_lost = on_tenure_lost
        self._claimed_at = clock.monotonic()
        # What the stored list surely holds. A write without an answer may be
        # applied at any time until a later one is.
        self._stored: dict[str, rows.AssignedWorker] = {}
        # Whether the stored list holds nothing else.
        self._is_row_known = True
        self._version = 0
        # Values of writes that may be applied on top of this version.
        self._unanswered: set[bytes] = set()
        # Version of the list that this owner has read.
        self._loaded_version = 0
        self._unlisted_until_s = 0.0
        # Latest end of a lease of an earlier owner, on the store's clock.
        self._latest_s = 0.0
        # Incarnations of earlier owners that haven't reported to this one, with
        # the time until which they are waited for.
        self._inherited: dict[str, rows.AssignedWorker] = {}
        # Workers that were waited for in vain.
        self._out_of_reach: list[str] = []
        # Incarnations to which this owner grants leases.
        self._used: dict[str, rows.AssignedWorker] = {}
        # Incarnations that this owner has lost, until their leases are over.
        self._lost: dict[str, rows.AssignedWorker] = {}
        # Whether the times of `_inherited` replace the entries of workers that
        # earlier owners stored as in use.
        self._are_deadlines_due = False
        self._wake = anyio.Event()
        self._changed = anyio.Event()

    @property
    def unreported_workers(self) -> tuple[str, ...]:
        """Workers whose reports the recovery waits for."""
        return tuple(sorted(self._inherited))

    async def load(self, orphan_timeout: datetime.timedelta) -> None:
        """Reads the list that earlier owners stored.

        Args:
            orphan_timeout: This time after the claim, no lease that an earlier
                owner granted can be left.

        Raises:
            PlatformError: The store doesn't answer.
        """
        row_key = tables.locate_assigned_workers(self._tenure.service)
        requested_at = self._clock.monotonic()
        page = await self._store.read(
            row_key.table, row_key.partition, at_least=self._tenure.version
        )
        # The duration of the read isn't subtracted, because the estimate of
        # the store's clock may be behind by as much.
        waited = requested_at - self._claimed_at
        self._latest_s = (
            self._store.now_s() + (orphan_timeout - waited).total_seconds()
        )
        for row in page.rows:
            if row.row_key == row_key:
                self._apply_row(row)
        self._log_inheritance()
        self.check_recovery()

    def _apply_row(self, row: row_store.Row) -> None:
        """Applies a list that an earlier owner stored."""
        self._version = row.version
        self._loaded_version = row.version
        try:
            stored = rows.decode(row.value)
        except Exception as error:
            self._unlisted_until_s = self._latest_s
            logs.log_event(
                "assigned_workers.unreadable",
                service=self._tenure.service,
                error=repr(error),
            )
            return
        self._stored = stored.workers
        self._unlisted_until_s = min(stored.unlisted_until_s, self._latest_s)
        self._inherited = {
            worker_id: item
            for worker_id, item in rows.limit_times(
                stored.workers, self._latest_s
            ).items()
            if worker_id not in self._used
        }

    def _log_inheritance(self) -> None:
        if not self._inherited:
            return
        now_s = self._store.now_s()
        longest_s = max(self._get_end(w) for w in self._inherited) - now_s
        logs.log_event(
            "ownership.inheritance_awaited",
            service=self._tenure.service,
            workers=len(self._inherited),
            in_use=sum(w.runs_until_s is None for w in self._stored.values()),
            longest_s=round(max(0.0, longest_s), 3),
        )

    async def run(self) -> None:
        """Stores changes and ends the recovery in time, until cancelled."""
        while True:
            with anyio.move_on_after(self._choose_pause_s()):
                await self._wake.wait()
            self._wake = anyio.Event()
            self.check_recovery()
            await self._clock.sleep(_BATCH_DELAY)
            await self.store_changes()

    def _choose_pause_s(self) -> float:
        """Returns the time until the next look or the end of the recovery."""
        if self._state.is_recovery_complete:
            return _WRITE_INTERVAL_S
        ends = [self._get_end(worker_id) for worker_id in self._inherited]
        pause_s = max([*ends, self._unlisted_until_s]) - self._store.now_s()
        # The last time has to be past, not only reached.
        pause_s += _SHORTEST_PAUSE_S
        return min(max(pause_s, _SHORTEST_PAUSE_S), _WRITE_INTERVAL_S)

    async def acquire(
        self,
        instance: workers_lib.WorkerInstance,
        started_unix_ms: int,
        timeout: datetime.timedelta,
    ) -> bool:
        """Waits until an incarnation is stored as in use.

        Args:
            instance: The worker as it is listed.
            started_unix_ms: Start of the incarnation that reported.
            timeout: How long to wait at most.

        Returns:
            Whether leases may be granted to its runs now.
        """
        worker_id = instance.instance_id
        wanted = rows.AssignedWorker(
            started_unix_ms,
            instance.vm_id,
            entry_version=instance.row_version,
        )
        if self._used.get(worker_id) != wanted:
            self._used[worker_id] = wanted
            self._wake.set()
        with anyio.move_on_after(timeout.total_seconds()):
            while not self._is_stored(worker_id, wanted):
                await self._changed.wait()
        return self._is_stored(worker_id, wanted)

    def _is_stored(self, worker_id: str, wanted: rows.AssignedWorker) -> bool:
        return wanted.is_interchangeable_with(self._stored.get(worker_id))

    def mark_lost(self, worker_id: str, lease: datetime.timedelta) -> None:
        """Records that a worker doesn't answer and gets no more leases.

        Args:
            worker_id: The worker.
            lease: Time until its leases are over.
        """
        used = self._used.pop(worker_id, None)
        if used is None:
            return
        end_s = self._store.now_s() + max(0.0, lease.total_seconds())
        end_s += _STORE_CLOCK_MARGIN_S
        if worker_id in self._inherited:
            end_s = max(end_s, self._get_end(worker_id))
        self._lost[worker_id] = dataclasses.replace(used, runs_until_s=end_s)
        self._wake.set()

    def mark_unreported_lost(self) -> None:
        """Stores until when the workers that haven't reported may have runs.

        Called once the workers have had the time to report. Otherwise each
        takeover would store all workers twice.
        """
        if not self._are_deadlines_due:
            self._are_deadlines_due = True
            self._wake.set()

    def forget(self, worker_id: str) -> None:
        """Removes a worker to which this owner's runs have all ended."""
        self._used.pop(worker_id, None)
        self._lost.pop(worker_id, None)

    def mark_reported(self, worker_id: str) -> None:
        """Records that all runs of earlier owners on a worker are known.

        A report accounts for all earlier incarnations of the id.
        """
        if self._inherited.pop(worker_id, None) is not None:
            self.check_recovery()

    def mark_replaced(
        self, instances: Iterable[workers_lib.WorkerInstance]
    ) -> None:
        """Stops waiting for workers whose VMs have started again since.

        A VM runs one worker at a time, and the new one accepts no order that
        names the former one. A worker that came back under its own id may
        still carry out an earlier owner's order; it has to report.

        An entry that was written after the worker's own isn't that of an older
        worker of the VM. Starts are compared as well, for an entry that the
        store wrote late; they alone prove nothing, because a VM's date may
        jump.

        Args:
            instances: All listed workers, of any service.
        """
        if not self._inherited:
            return
        listed = set()
        by_vm_id: dict[str, list[workers_lib.WorkerInstance]] = {}
        for instance in instances:
            listed.add(instance.instance_id)
            by_vm_id.setdefault(instance.vm_id, []).append(instance)
        for worker_id, item in tuple(self._inherited.items()):
            if (
                item.vm_id
                and worker_id not in listed
                and any(
                    self._has_followed(instance, item)
                    for instance in by_vm_id.get(item.vm_id, ())
                )
            ):
                self.mark_reported(worker_id)

    def _has_followed(
        self, instance: workers_lib.WorkerInstance, former: rows.AssignedWorker
    ) -> bool:
        """Returns whether a listed worker of a VM started after another one."""
        # The list was stored after the worker had reported.
        since_version = former.entry_version or self._loaded_version
        return (
            instance.row_version > since_version
            and instance.started_unix_ms > former.started_unix_ms > 0
        )

    def check_recovery(self) -> None:
        """Completes the recovery once no unreported run can be active.

        That is so once each inherited worker has reported or is past its time.
        If the list can't be read, any worker may have runs for as long as an
        earlier owner's lease. Recovered units may be started from then on.
        """
        now_s = self._store.now_s()
        for worker_id in tuple(self._inherited):
            if now_s > self._get_end(worker_id):
                del self._inherited[worker_id]
                self._out_of_reach.append(worker_id)
        if self._state.is_recovery_complete or self._inherited:
            return
        if now_s < self._unlisted_until_s:
            return
        waited = self._clock.monotonic() - self._claimed_at
        logs.log_event(
            "ownership.inheritance_settled",
            service=self._tenure.service,
            out_of_reach=sorted(self._out_of_reach),
            waited_s=round(waited.total_seconds(), 3),
        )
        self._state.is_recovery_complete = True
        self._on_recovered()

    async def store_changes(self) -> bool:
        """Stores the list if it has changed.

        Returns:
            Whether the stored list holds what it should.
        """
        wanted = self._list_wanted()
        if self._is_row_known and wanted == self._stored:
            return True
        stored, is_row_known = self._stored, self._is_row_known
        # Until the answer is there, the row may hold the old or the new list.
        self._is_row_known = False
        self._stored = {
            worker_id: item
            for worker_id, item in stored.items()
            if item.is_interchangeable_with(wanted.get(worker_id))
        }
        value = rows.encode(
            rows.AssignedWorkerList(wanted, self._unlisted_until_s)
        )
        self._unanswered.add(value)
        try:
            result = await self._store.transact(self._make_write(value))
        except errors.PlatformUnavailableError:
            self._stored, self._is_row_known = stored, is_row_known
        except errors.PlatformError:
            return False
        else:
            match result:
                case row_store.Committed(version=version):
                    self._version = version
                    self._unanswered.clear()
                    self._stored, self._is_row_known = wanted, True
                case row_store.Conflict() as conflict:
                    self._apply_conflict(conflict)
        self._signal_change()
        return self._stored is wanted

    def _apply_conflict(self, conflict: row_store.Conflict) -> None:
        """Goes on from what is really stored, unless the tenure is over."""
        if self._tenure.is_over(conflict):
            self._stored = {}
            self._on_tenure_lost()
            return
        row_key = tables.locate_assigned_workers(self._tenure.service)
        unanswered, self._unanswered = self._unanswered, set()
        self._version, self._stored = 0, {}
        row = next((r for r in conflict.rows if r.row_key == row_key), None)
        if row is not None and row.value in unanswered:
            # An earlier write of this owner, whose answer was lost.
            self._version, self._is_row_known = row.version, True
            self._stored = rows.decode(row.value).workers
        elif row is not None:
            # An earlier owner wrote it, and `load` has missed it.
            self._apply_row(row)
            self._state.is_recovery_complete = False
            self._log_inheritance()
            self.check_recovery()

    def _make_write(self, value: bytes) -> row_store.Transaction:
        row_key = tables.locate_assigned_workers(self._tenure.service)
        return row_store.Transaction(
            (
                self._tenure.make_condition(),
                row_store.Condition(row_key, self._version),
            ),
            (row_store.Put(row_key, value),),
        )

    def _list_wanted(self) -> dict[str, rows.AssignedWorker]:
        now_s = self._store.now_s()
        self._lost = {
            worker_id: item
            for worker_id, item in self._lost.items()
            if worker_id not in self._used
            and item.runs_until_s is not None
            and item.runs_until_s >= now_s
        }
        inherited = self._inherited
        if not self._are_deadlines_due:
            inherited = {
                worker_id: self._stored.get(worker_id, item)
                for worker_id, item in inherited.items()
            }
        return {**inherited, **self._lost, **self._used}

    def _get_end(self, worker_id: str) -> float:
        end_s = self._inherited[worker_id].runs_until_s
        assert end_s is not None
        return end_s

    def _signal_change(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
