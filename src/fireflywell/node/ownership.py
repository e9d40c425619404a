"""Assigns services to nodes and claims them by compare-and-set in the store.

An owner is the only process that gives orders to a service's workers. Its
fencing token goes with each order, and the version of its row is a condition
of each of its writes. An owner that was paused or partitioned can therefore
change nothing after another node has claimed the service.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import claim_choice
from fireflywell.node import directory as directory_lib
from fireflywell.node import former_owners
from fireflywell.node import heartbeat as heartbeat_lib
from fireflywell.node import owner_changes
from fireflywell.node import owner_records
from fireflywell.node import owner_rows
from fireflywell.node import tables
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

# Stands for moves and maintenance of VMs, which have one owner like a service.
FLEET_SERVICE = "~fleet"

_CHECK_INTERVAL_S = 0.25

# A starting node claims nothing before it has renewed its row this often. By
# then it has read the rows of the other nodes.
_RENEWALS_BEFORE_CLAIM = 2

# Rebalancing moves services only to nodes that have run for this long.
_MIN_NODE_AGE = datetime.timedelta(seconds=4)

# A handover delays a service's work. Rebalancing therefore leaves a service
# with its owner for this long, so that a rolling restart of the nodes doesn't
# move it each time.
_MIN_TENURE = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """One period of ownership of a service, with its fencing token.

    Attributes:
        service: The service.
        token: Fencing token; workers reject orders with a lower one.
        version: Version of the owner's row, a condition of all writes.
        is_first: Whether the service never had an owner before.
        is_former_owner_stopped: Whether it is proved that the former owner
            had stopped when the store applied the claim. Otherwise it may
            have started jobs that were stored after the claim.
        claimed_at: Monotonic time before the claim was sent; None if it isn't
            known, so that the ownership has to be confirmed.
    """

    service: str
    token: int
    version: int
    is_first: bool
    is_former_owner_stopped: bool = False
    claimed_at: datetime.timedelta | None = None

    def make_condition(self) -> row_store.Condition:
        """Returns a condition that fails once the owner's row has changed."""
        return row_store.Condition(
            tables.locate_owner(self.service), self.version
        )

    def is_over(self, conflict: row_store.Conflict) -> bool:
        """Returns whether a write was refused because the row has changed."""
        found = conflict.find_version(tables.locate_owner(self.service))
        if found == self.version:
            return False
        logs.log_event(
            "ownership.write_refused",
            service=self.service,
            expected=self.version,
            found=found,
        )
        return True


class OwnershipManager:
    """Claims and releases services and runs the owners of those claimed."""

    __slots__ = (
        "_changes",
        "_claim_chooser",
        "_claimed_at",
        "_clock",
        "_directory",
        "_former_owners",
        "_heartbeat",
        "_list_services",
        "_metrics",
        "_name",
        "_owned",
        "_releasing",
        "_rows",
        "_run_owner",
        "_store",
        "_wake",
    )

    def __init__(
        self,
        name: str,
        store: row_store.RowStore,
        clock: clock_lib.Clock,
        directory: directory_lib.NodeDirectory,
        heartbeat: heartbeat_lib.Heartbeat,
        list_services: Callable[[], tuple[str, ...]],
        run_owner: Callable[[Tenure], Awaitable[Callable[[], None]]],
        metrics: metrics_lib.Metrics,
        lease: datetime.timedelta,
    ) -> None:
        self._metrics = metrics
        self._name = name
        self._store = store
        self._clock = clock
        self._directory = directory
        self._heartbeat = heartbeat
        self._list_services = list_services
        self._run_owner = run_owner
        self._rows = owner_rows.OwnerRows()
        self._claim_chooser = claim_choice.ClaimChooser(
            name, clock, directory, self._rows
        )
        # Callback that stops the owner, for each service that this node owns.
        self._owned: dict[str, Callable[[], None]] = {}
        self._changes = owner_changes.OwnerChanges(clock)
        self._former_owners = former_owners.FormerOwners(
            heartbeat.incarnation, store, clock, directory, lease
        )
        self._claimed_at: dict[str, datetime.timedelta] = {}
        # Releases that may not be stored yet, by service.
        self._releasing: dict[str, row_store.Transaction] = {}
        self._wake = anyio.Event()

    def list_partitions(self) -> tuple[str, ...]:
        """Returns the partitions that hold owners' rows."""
        return (*self._list_services(), FLEET_SERVICE)

    def find_owner(self, service: str) -> str:
        """Returns the node that the last read row names as a service's owner.

        Returns:
            The name of the node; empty if the service has no owner.
        """
        record = self._rows.find(service)
        return record.node if record else ""

    def apply_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Applies changed owner rows; stops owners that were replaced."""
        for row in rows:
            if row.row_key.key == tables.OWNER_KEY:
                self._apply_owner_row(row)
            elif row.row_key.key == tables.CONFIRMATION_KEY:
                self._rows.apply_confirmation(row)

    async def run(self) -> None:
        """Claims and releases services until cancelled."""
        while True:
            with anyio.move_on_after(_CHECK_INTERVAL_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            if self._heartbeat.renewal_count < _RENEWALS_BEFORE_CLAIM:
                continue
            if not self._heartbeat.is_valid or self._heartbeat.is_stopping:
                continue
            try:
                await self.reconcile()
            except errors.PlatformError as error:
                logs.log_event("ownership.claim_failed", error=str(error))

    async def reconcile(self) -> None:
        """Stores pending releases, claims unowned services and rebalances.

        The store may refuse some partitions only. A service whose partition
        doesn't answer therefore doesn't hold up the others.

        Raises:
            PlatformError: The store doesn't answer a release for rebalancing;
                the next call continues.
        """
        await self._changes.run_each(
            tuple(self._releasing), self._store_release
        )
        await self._changes.run_each(self._choose_claims(), self._claim)
        # Until a release is stored, the service still counts as this node's.
        if not self._releasing:
            await self._rebalance()

    async def release_all(self) -> None:
        """Releases all services before a planned stop."""
        for service in tuple(self._owned):
            if service not in self._owned:
                # It was lost during the release of another one.
                continue
            try:
                await self.release(service, "stop")
            except errors.PlatformError as error:
                logs.log_event(
                    "ownership.release_failed",
                    service=service,
                    error=str(error),
                )

    def mark_owner_stopped(self, service: str) -> None:
        """Records that the owner of a service has ended on this node.

        The service then counts as unowned, and any node may claim it.
        """
        self._owned.pop(service, None)

    def _apply_owner_row(self, row: row_store.Row) -> None:
        service = row.row_key.partition
        record = self._rows.apply(row)
        if record is None:
            return
        if not record.node and record.successor == self._name:
            self._wake.set()
        is_own = record.incarnation == self._heartbeat.incarnation
        if not is_own and service in self._owned:
            self._log_lost(service)
            self._owned.pop(service)()

    def _is_unowned(self, service: str) -> bool:
        record = self._rows.find(service)
        if record is None or not record.node:
            return True
        if record.incarnation == self._heartbeat.incarnation:
            return service not in self._owned and (
                service not in self._releasing
            )
        return self._directory.has_incarnation_expired(
            record.node, record.incarnation, self._rows.get_version(service)
        )

    def _count_owned(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for service in self.list_partitions():
            if not self._is_unowned(service):
                node = self.find_owner(service)
                counts[node] = counts.get(node, 0) + 1
        return counts

    def _choose_claims(self) -> list[str]:
        """Returns the unowned services that this node is to claim."""
        services = self.list_partitions()
        unowned = tuple(s for s in services if self._is_unowned(s))
        return self._claim_chooser.choose(unowned, self._count_owned())

    async def _claim(self, service: str) -> None:
        if not self._is_unowned(service):
            return
        replaced = self._rows.find(service)
        token = replaced.token + 1 if replaced else 1
        previous = self.find_owner(service)
        record = owner_records.OwnerRecord(
            self._name, self._heartbeat.incarnation, token
        )
        self._former_owners.record_claim(
            service, replaced, self._rows.get_version(service)
        )
        transaction = self._rows.make_claim(service, record)
        claimed_at = self._clock.monotonic()
        result = await self._store.transact(transaction)
        match result:
            case row_store.Conflict(rows=rows):
                # Another node claimed the service first, or an earlier claim
                # of this node was applied and its answer was lost. The row
                # that comes with the conflict tells which.
                self.apply_rows(rows)
            case row_store.Committed(version=committed):
                self._claim_chooser.mark_owned(service)
                (put,) = transaction.puts
                self._apply_owner_row(
                    row_store.Row(put.row_key, put.value, committed)
                )
                proof = await self._former_owners.prove_stop(service, committed)
                tenure = Tenure(
                    service,
                    token,
                    committed,
                    is_first=replaced is None,
                    is_former_owner_stopped=proof.is_given,
                    claimed_at=claimed_at,
                )
                await self._start_owner(tenure, previous, proof)
                if self._heartbeat.is_stopping and service in self._owned:
                    # The services may have been released before.
                    await self.release(service, "stop")

    async def _start_owner(
        self, tenure: Tenure, previous: str, proof: former_owners.StopProof
    ) -> None:
        """Starts the owner for a claim, unless another claim has followed it.

        Args:
            tenure: The claimed tenure.
            previous: Node that owned the service before; may be empty.
            proof: Why that node's owner can't give orders any more.
        """
        service = tenure.service
        if not self._is_current(tenure):
            self._log_lost(service)
            return
        self._metrics.count("node.takeovers")
        logs.log_event(
            "ownership.claimed",
            service=service,
            token=tenure.token,
            previous=previous,
            version=tenure.version,
            proof=str(proof),
        )
        self._claimed_at[service] = self._clock.monotonic()
        stop = await self._run_owner(tenure)
        if self._is_current(tenure):
            self._owned[service] = stop
        else:
            self._log_lost(service)
            stop()

    def _is_current(self, tenure: Tenure) -> bool:
        """Returns whether no later row of a service's owner is known."""
        return self._rows.get_version(tenure.service) == tenure.version

    def _log_lost(self, service: str) -> None:
        logs.log_event(
            "ownership.lost", service=service, owner=self.find_owner(service)
        )

    async def _rebalance(self) -> None:
        if any(self._is_unowned(name) for name in self.list_partitions()):
            return
        now = self._clock.monotonic()
        movable = tuple(
            service
            for service in self._owned
            if now - self._claimed_at[service] > _MIN_TENURE
        )
        if len(movable) < len(self._owned):
            return
        speeds = {
            node.name: node.cpu_millis
            for node in self._directory.list_live()
            if self._directory.measure_age(node.name) > _MIN_NODE_AGE
        }
        service = owner_records.choose_release(
            movable, self._count_owned(), self._name, speeds
        )
        if service is not None:
            await self.release(service, "rebalance")

    async def release(self, service: str, reason: str) -> None:
        """Stops a service's owner and names its successor in the owner row.

        Raises:
            PlatformError: The release may not be stored yet; `reconcile`
                stores it again.
        """
        stop = self._owned.pop(service)
        stop()
        record = self._rows.find(service)
        assert record is not None
        others = {
            node.name: node.cpu_millis
            for node in self._directory.list_live()
            if node.name != self._name
        }
        counts = self._count_owned()
        successor = owner_records.choose_owners((service,), counts, others).get(
            service, ""
        )
        released = owner_records.OwnerRecord("", "", record.token, successor)
        logs.log_event(
            "ownership.released",
            service=service,
            reason=reason,
            successor=successor,
        )
        self._releasing[service] = self._rows.make_change(service, released)
        await self._store_release(service)

    async def _store_release(self, service: str) -> None:
        """Stores a pending release and drops it once its outcome is certain.

        Without the release the row goes on naming this process. As this
        process renews its lease, no other node would claim the service.
        """
        transaction = self._releasing[service]
        result = await self._store.transact(transaction)
        del self._releasing[service]
        match result:
            case row_store.Committed(version=committed):
                (put,) = transaction.puts
                self.apply_rows(
                    (row_store.Row(put.row_key, put.value, committed),)
                )
            case row_store.Conflict(rows=rows):
                # An earlier attempt was stored and its answer was lost, or
                # another node has claimed the service.
                self.apply_rows(rows)
