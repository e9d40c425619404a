"""Decides which node owns which service and claims services in the store.

An owner is the only process that gives orders to a service's workers. Its
token fences the workers and its row's version is a condition of all its
writes, so a paused or cut-off owner can change nothing after a takeover.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import directory as directory_lib
from fireflywell.node import heartbeat as heartbeat_lib
from fireflywell.node import owner_records
from fireflywell.node import tables
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

# The duty of moving and maintaining VMs, owned like a service.
FLEET_DUTY = "~fleet"

_CHECK_INTERVAL_S = 0.25

# Renewals that a starting node waits for, so that it has seen the others.
_ROUNDS_BEFORE_CLAIM = 2

# A service that nobody claimed for this long is claimed by any node.
_ANY_NODE_AFTER = datetime.timedelta(milliseconds=1500)

# A node that is up for this long is given a service of one that has several.
_REBALANCE_AFTER = datetime.timedelta(seconds=4)

# A handover delays a service's work, so a service stays with its owner for
# this long, and nodes that restart in turn don't pass it on each time.
_SHORTEST_TENURE = datetime.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """Proof of ownership of a service.

    Attributes:
        service: The service.
        token: Fencing token for workers.
        version: Version of the owner's row, a condition of all writes.
        is_first: Whether nobody owned the service before.
        is_handover: Whether the former owner gave it up by itself and gives
            no orders any more.
    """

    service: str
    token: int
    version: int
    is_first: bool
    is_handover: bool = False

    def make_condition(self) -> row_store.Condition:
        """Returns the condition that this tenure isn't over."""
        return row_store.Condition(
            tables.locate_owner(self.service), self.version
        )


class OwnershipManager:
    """Claims services for this node and runs what owns them."""

    __slots__ = (
        "_claimed_at",
        "_clock",
        "_directory",
        "_heartbeat",
        "_list_services",
        "_metrics",
        "_name",
        "_owned",
        "_releasing",
        "_rows",
        "_run_owner",
        "_store",
        "_unowned_since",
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
    ) -> None:
        self._metrics = metrics
        self._name = name
        self._store = store
        self._clock = clock
        self._directory = directory
        self._heartbeat = heartbeat
        self._list_services = list_services
        self._run_owner = run_owner
        self._rows: dict[str, tuple[owner_records.OwnerRecord, int]] = {}
        self._unowned_since: dict[str, datetime.timedelta] = {}
        # How to stop the owner of each service that this node owns.
        self._owned: dict[str, Callable[[], None]] = {}
        self._claimed_at: dict[str, datetime.timedelta] = {}
        # Services that were given up and whose row may not say so yet.
        self._releasing: dict[str, row_store.Transaction] = {}
        self._wake = anyio.Event()

    def list_partitions(self) -> tuple[str, ...]:
        """Returns the partitions that hold owners' rows."""
        return (*self._list_services(), FLEET_DUTY)

    def find_owner(self, service: str) -> str:
        """Returns the node that owns a service; empty if none does."""
        known = self._rows.get(service)
        return known[0].node if known else ""

    def apply_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Takes changed owners' rows into account."""
        for row in rows:
            if row.row_key.key == tables.OWNER_KEY:
                self._apply_row(row)

    async def run(self) -> None:
        """Claims and releases services until cancelled."""
        while True:
            with anyio.move_on_after(_CHECK_INTERVAL_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            if self._heartbeat.renewal_count < _ROUNDS_BEFORE_CLAIM:
                continue
            if not self._heartbeat.is_valid or self._heartbeat.is_stopping:
                continue
            try:
                await self.reconcile()
            except errors.PlatformError as error:
                logs.log_event("ownership.claim_failed", error=str(error))

    async def reconcile(self) -> None:
        """Completes releases, claims what has no owner and spreads the rest.

        Raises:
            PlatformError: The store doesn't answer; the next check goes on.
        """
        for service in tuple(self._releasing):
            await self._store_release(service)
        await self._claim_due()
        await self._rebalance()

    async def release_all(self) -> None:
        """Gives up all services, for a planned stop."""
        for service in tuple(self._owned):
            try:
                await self.release(service, "stop")
            except errors.PlatformError as error:
                logs.log_event(
                    "ownership.release_failed",
                    service=service,
                    error=str(error),
                )

    def forget(self, service: str) -> None:
        """Notes that this node no longer runs the owner of a service."""
        self._owned.pop(service, None)

    def _apply_row(self, row: row_store.Row) -> None:
        service = row.row_key.partition
        known = self._rows.get(service)
        if known is not None and known[1] >= row.version:
            return
        try:
            record = owner_records.decode_owner(row.value)
        except Exception as error:
            logs.log_event(
                "ownership.unreadable", service=service, error=repr(error)
            )
            return
        self._rows[service] = (record, row.version)
        logs.log_event(
            "ownership.observed",
            service=service,
            owner=record.node,
            token=record.token,
        )
        if not record.node and record.successor == self._name:
            self._wake.set()
        is_own = record.incarnation == self._heartbeat.incarnation
        if not is_own and service in self._owned:
            logs.log_event("ownership.lost", service=service, owner=record.node)
            self._owned.pop(service)()

    def _is_unowned(self, service: str) -> bool:
        known = self._rows.get(service)
        if known is None or not known[0].node:
            return True
        record = known[0]
        if record.incarnation == self._heartbeat.incarnation:
            return service not in self._owned and (
                service not in self._releasing
            )
        return self._directory.is_incarnation_gone(
            record.node, record.incarnation
        )

    def _count_owned(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for service in self.list_partitions():
            if not self._is_unowned(service):
                node = self._rows[service][0].node
                counts[node] = counts.get(node, 0) + 1
        return counts

    async def _claim_due(self) -> None:
        now = self._clock.monotonic()
        unowned = tuple(
            s for s in self.list_partitions() if self._is_unowned(s)
        )
        for service in tuple(self._unowned_since):
            if service not in unowned:
                del self._unowned_since[service]
        nodes = tuple(n.name for n in self._directory.list_live())
        chosen = owner_records.choose_owners(
            unowned, self._count_owned(), nodes
        )
        for service in unowned:
            since = self._unowned_since.setdefault(service, now)
            is_due = now - since > _ANY_NODE_AFTER
            wanted = self._find_successor(service, nodes) or chosen.get(service)
            if wanted == self._name or is_due:
                await self._claim(service)

    def _find_successor(self, service: str, nodes: tuple[str, ...]) -> str:
        known = self._rows.get(service)
        if known is None or known[0].successor not in nodes:
            return ""
        return known[0].successor

    async def _claim(self, service: str) -> None:
        known = self._rows.get(service)
        row_key = tables.locate_owner(service)
        version = known[1] if known else 0
        token = known[0].token + 1 if known else 1
        previous = known[0].node if known else ""
        record = owner_records.OwnerRecord(
            self._name, self._heartbeat.incarnation, token
        )
        result = await self._store.transact(
            row_store.Transaction(
                expected=(row_store.Condition(row_key, version),),
                puts=(
                    row_store.Put(row_key, owner_records.encode_owner(record)),
                ),
            )
        )
        match result:
            case row_store.Conflict(rows=rows):
                # Another node was faster, or an earlier claim of this node
                # whose answer was lost was applied; both show in the row.
                self.apply_rows(rows)
            case row_store.Committed(version=committed):
                self._rows[service] = (record, committed)
                self._unowned_since.pop(service, None)
                tenure = Tenure(
                    service,
                    token,
                    committed,
                    is_first=known is None,
                    is_handover=known is not None and not previous,
                )
                self._metrics.count("node.takeovers")
                logs.log_event(
                    "ownership.claimed",
                    service=service,
                    token=token,
                    previous=previous,
                )
                self._claimed_at[service] = self._clock.monotonic()
                self._owned[service] = await self._run_owner(tenure)

    async def _rebalance(self) -> None:
        if any(self._is_unowned(name) for name in self.list_partitions()):
            return
        now = self._clock.monotonic()
        movable = tuple(
            service
            for service in self._owned
            if now - self._claimed_at[service] > _SHORTEST_TENURE
        )
        if len(movable) < len(self._owned):
            return
        settled = tuple(
            node.name
            for node in self._directory.list_live()
            if self._directory.measure_age(node.name) > _REBALANCE_AFTER
        )
        service = owner_records.choose_release(
            movable, self._count_owned(), settled
        )
        if service is not None:
            await self.release(service, "rebalance")

    async def release(self, service: str, reason: str) -> None:
        """Gives up a service and names the node that is to claim it.

        Raises:
            PlatformError: The release may not be stored yet; checks complete
                it.
        """
        stop = self._owned.pop(service)
        stop()
        record, version = self._rows[service]
        others = tuple(
            node.name
            for node in self._directory.list_live()
            if node.name != self._name
        )
        counts = self._count_owned()
        successor = owner_records.choose_owners((service,), counts, others).get(
            service, ""
        )
        row_key = tables.locate_owner(service)
        released = owner_records.OwnerRecord("", "", record.token, successor)
        logs.log_event(
            "ownership.released",
            service=service,
            reason=reason,
            successor=successor,
        )
        self._releasing[service] = row_store.Transaction(
            expected=(row_store.Condition(row_key, version),),
            puts=(
                row_store.Put(row_key, owner_records.encode_owner(released)),
            ),
        )
        await self._store_release(service)

    async def _store_release(self, service: str) -> None:
        """Writes a release; it is written again until its outcome is known.

        Until then the row names this process, which is alive, so no other node
        would claim the service.
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
                # An earlier attempt whose answer was lost, or a successor.
                self.apply_rows(rows)
