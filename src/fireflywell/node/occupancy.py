"""Reads on which VMs workers may have units."""

from collections.abc import Callable
import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import assigned_worker_rows
from fireflywell.node import fleet_tenure
from fireflywell.node import instance_registry
from fireflywell.node import tables
from fireflywell.scheduling import workers as workers_lib
from fireflywell.telemetry import logs

# What was read of the store counts for this long, for all VMs together. It
# exceeds the usual delay of reads, which show a change some time after it.
_MAX_AGE = datetime.timedelta(seconds=1)

# A read that failed is repeated after this time.
_RETRY_INTERVAL = datetime.timedelta(milliseconds=200)


class OccupancyReader:
    """Tells whether units may run on a VM by entries and lists of workers."""

    __slots__ = (
        "_clock",
        "_entries",
        "_fleet",
        "_known_at",
        "_list_conditions",
        "_list_services",
        "_needed_at",
        "_needed_version",
        "_occupied",
        "_tried_at",
    )

    def __init__(
        self,
        fleet: fleet_tenure.FleetTenure,
        list_services: Callable[[], tuple[str, ...]],
        decode_instance: Callable[[str, bytes], workers_lib.WorkerInstance],
        clock: clock_lib.Clock,
    ) -> None:
        self._fleet = fleet
        self._list_services = list_services
        self._entries = instance_registry.InstanceRegistry(decode_instance)
        self._clock = clock
        # The VMs on which units may run, and the monotonic time that the state
        # from which this was read doesn't precede.
        self._occupied: frozenset[str] = frozenset()
        self._known_at: datetime.timedelta | None = None
        # That each service's list of assigned workers is as it was read.
        self._list_conditions: tuple[row_store.Condition, ...] = ()
        # Version that the next read must not precede, and when it was current.
        self._needed_version = 0
        self._needed_at: datetime.timedelta | None = None
        self._tried_at = -_RETRY_INTERVAL

    async def confirm_vacant(
        self, vm_id: str, not_before: datetime.timedelta = datetime.timedelta()
    ) -> bool:
        """Returns whether no worker can have units on a VM now.

        Writes show that the lists of assigned workers are still as they were
        read. An owner whose follower is behind the mark of the VM may have
        taken a worker on it since.

        Args:
            vm_id: The VM.
            not_before: Monotonic time that the state of the store which is
                read must not precede.
        """
        if not await self.is_vacant(vm_id, not_before):
            return False
        try:
            is_unchanged = await self._are_lists_unchanged()
        except errors.PlatformError as error:
            # Other VMs and waves go on.
            logs.log_event("upkeep.vacancy_unknown", error=str(error))
            return False
        if not is_unchanged:
            # The lists are read again.
            self._known_at = None
        return is_unchanged

    async def _are_lists_unchanged(self) -> bool:
        """Returns whether the lists of assigned workers are as read.

        A transaction touches one partition, so there is one for each service.

        Raises:
            PlatformError: The store doesn't answer.
        """
        for condition in self._list_conditions:
            service = condition.row_key.partition
            result = await self._fleet.store.transact(
                row_store.Transaction(
                    (condition,),
                    (row_store.Put(tables.locate_check(service), b""),),
                )
            )
            if isinstance(result, row_store.Conflict):
                logs.log_event("upkeep.vacancy_changed", service=service)
                return False
        return True

    async def is_vacant(
        self, vm_id: str, not_before: datetime.timedelta = datetime.timedelta()
    ) -> bool:
        """Returns whether no worker can have units on a VM.

        Args:
            vm_id: The VM.
            not_before: Monotonic time that the state of the store which is
                read must not precede.
        """
        now = self._clock.monotonic()
        if not self._is_known(now, not_before):
            if now - self._tried_at < _RETRY_INTERVAL:
                return False
            self._tried_at = now
            try:
                await self._read_occupied(not_before)
            except errors.PlatformError as error:
                # Other VMs and waves go on.
                logs.log_event("upkeep.vacancy_unknown", error=str(error))
        return (
            self._is_known(self._clock.monotonic(), not_before)
            and vm_id not in self._occupied
        )

    def _is_known(
        self, now: datetime.timedelta, not_before: datetime.timedelta
    ) -> bool:
        return (
            self._known_at is not None
            and self._known_at >= not_before
            and now - self._known_at < _MAX_AGE
        )

    async def _read_occupied(self, not_before: datetime.timedelta) -> None:
        """Reads on which VMs units may run.

        The version of the store that a read has to show is kept until a read
        shows it. Reads that are always a little behind would never show the
        present one.

        Raises:
            PlatformError: The store doesn't answer or shows an earlier state.
        """
        now = self._clock.monotonic()
        if (
            self._needed_at is None
            or self._needed_at < not_before
            or now - self._needed_at >= _MAX_AGE
        ):
            if not await self._fleet.verify():
                return
            # The answer to the check shows the present version.
            self._needed_version = self._fleet.store.newest_version
            self._needed_at = now
        occupied = await self._list_occupied(self._needed_version)
        if occupied is not None:
            self._occupied = occupied
            self._known_at = self._needed_at
        self._needed_at = None

    async def _list_occupied(self, version: int) -> frozenset[str] | None:
        """Returns the VMs on which units may run; None if any may be.

        Args:
            version: Version of the store that the reads must not precede.

        Raises:
            PlatformError: The store doesn't answer or shows an earlier state.
        """
        store = self._fleet.store
        conditions = []
        page = await store.read(tables.INSTANCES, "", at_least=version)
        self._entries.replace_all(page.rows)
        occupied = {item.vm_id for item in self._entries.list_all()}
        partitions = await store.list_partitions(tables.ASSIGNED_WORKERS)
        for service in sorted({*partitions, *self._list_services()}):
            row_key = tables.locate_assigned_workers(service)
            page = await store.read(
                row_key.table,
                row_key.partition,
                row_key.key,
                row_key.key + "\x00",
                version,
            )
            conditions.append(
                row_store.Condition(
                    row_key, page.rows[0].version if page.rows else 0
                )
            )
            for row in page.rows:
                vm_ids = self._list_assigned(row)
                if vm_ids is None:
                    return None
                occupied |= vm_ids
        self._list_conditions = tuple(conditions)
        return frozenset(occupied)

    def _list_assigned(self, row: row_store.Row) -> set[str] | None:
        """Returns the VMs on which a service's units may run; None if any."""
        # The estimate of the store's clock isn't ahead of it.
        now_s = self._fleet.store.now_s()
        try:
            assigned = assigned_worker_rows.decode(row.value)
        except Exception as error:
            # `msgpack` has many errors.
            logs.log_event(
                "upkeep.vacancy_unknown",
                service=row.row_key.partition,
                error=repr(error),
            )
            return None
        vm_ids = {
            item.vm_id
            for item in assigned.workers.values()
            if item.runs_until_s is None or item.runs_until_s >= now_s
        }
        if "" in vm_ids or assigned.unlisted_until_s >= now_s:
            return None
        return vm_ids
