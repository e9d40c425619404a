"""What maintenance waves and moves of one tenure of the fleet share."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import datetime

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import drain_marks
from fireflywell.node import fleet_cache
from fireflywell.node import ownership
from fireflywell.node import ownership_guard
from fireflywell.node import vm_inventory
from fireflywell.node import vm_orders
from fireflywell.scheduling import maintenance
from fireflywell.telemetry import logs

# Orders for VMs that are sent at the same time; also the connections that they
# need. One after the other, the last of 45 moves came 1.4 s after the first.
MAX_CONCURRENT_ORDERS = 12

# An order rests on a check of the tenure for this time. A node that claims the
# fleet after the check waits for 1.1 leases before its first order, which is
# 3.3 s with a lease of 3 s, and an order has ended 2 s after it was sent.
_CHECK_VALIDITY = datetime.timedelta(seconds=1)


class FleetTenure:
    """Gives access to the VMs of the fleet as long as this node owns it.

    Attributes:
        tenure: The period of ownership.
        store: The store.
        cache: Drain requests, needs and spare VMs.
        guard: Checks that the tenure lasts.
        orders: Orders for VMs.
        inventory: The list of VMs.
        seen_due: VMs whose request was due in this tenure. No earlier owner has
            ordered what a later request for them asks for.
    """

    __slots__ = (
        "_clock",
        "_marks",
        "_stop",
        "_verified_at",
        "cache",
        "guard",
        "inventory",
        "orders",
        "seen_due",
        "store",
        "tenure",
    )

    def __init__(
        self,
        tenure: ownership.Tenure,
        store: row_store.RowStore,
        client: vm_orders.FleetClient,
        cache: fleet_cache.FleetCache,
        guard: ownership_guard.OwnershipGuard,
        clock: clock_lib.Clock,
        stop: Callable[[], None],
    ) -> None:
        """Starts without a list of VMs.

        Args:
            tenure: The period of ownership.
            store: The store.
            client: The platform's interface for VMs.
            cache: Drain requests, needs and spare VMs.
            guard: Checks that the tenure lasts.
            clock: The node's clock.
            stop: Called once another node owns the fleet.
        """
        self.tenure = tenure
        self.store = store
        self.cache = cache
        self.guard = guard
        self.orders = vm_orders.VmOrders(client, guard, tenure.token, clock)
        self.inventory = vm_inventory.VmInventory(client, self.orders, clock)
        self.seen_due: set[str] = set()
        self._marks = drain_marks.MarkChecker(store, cache)
        self._clock = clock
        # When the last successful check of the tenure was sent.
        self._verified_at: datetime.timedelta | None = None
        self._stop = stop

    async def verify(self) -> bool:
        """Returns whether this node may order now; stops if it was replaced.

        The lease of an owner that was replaced may be valid, and its follower
        of the owner rows may be behind.

        Raises:
            PlatformError: The store doesn't answer.
        """
        started = self._clock.monotonic()
        if await self.guard.verify():
            self._verified_at = started
            # The lease may have lapsed during the call.
            return self.guard.permits_orders
        self._stop()
        return False

    async def is_drained(self, request: maintenance.DrainRequest) -> bool:
        """Returns whether an order may be sent and the VM is drained for it."""
        return bool(await self.list_drained((request,)))

    async def list_drained(
        self, requests: Sequence[maintenance.DrainRequest]
    ) -> list[maintenance.DrainRequest]:
        """Returns the requests whose VM is drained and may be ordered now."""
        candidates = []
        for request in requests:
            vm_id = request.vm_id
            if not self.orders.may_send(vm_id):
                continue
            listed = self.inventory.find(vm_id)
            candidates.append(
                drain_marks.Candidate(
                    request,
                    listed or self.inventory.find_last_listed(vm_id),
                    is_listed=listed is not None,
                )
            )
        return await self._marks.list_permitted(candidates)

    async def order_each(
        self,
        vm_ids: Iterable[str],
        order: Callable[[str], Awaitable[None]],
    ) -> None:
        """Sends the orders for several VMs side by side, after `verify`.

        Orders whose turn comes too long after the check aren't sent; the next
        pass checks again. A call that fails is logged and doesn't end the
        others, because an order that is cancelled may be carried out all the
        same.

        Args:
            vm_ids: The VMs.
            order: Sends the order for a VM.
        """
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_ORDERS)

        async def run(vm_id: str) -> None:
            async with limiter:
                if not self._is_verified():
                    return
                try:
                    await order(vm_id)
                except errors.PlatformError as error:
                    logs.log_event(
                        "fleet.delayed", machine=vm_id, error=str(error)
                    )

        async with anyio.create_task_group() as group:
            for vm_id in vm_ids:
                group.start_soon(run, vm_id)

    def _is_verified(self) -> bool:
        """Returns whether the last check of the tenure is recent enough."""
        at = self._verified_at
        return at is not None and self._clock.monotonic() - at < _CHECK_VALIDITY

    def has_void_mark(self, request: maintenance.DrainRequest) -> bool:
        """Returns whether the mark of a request was found to be void."""
        return self._marks.is_void(request)

    def may_be_ordered(self, request: maintenance.DrainRequest) -> bool:
        """Returns whether an order for an open request may be carried out."""
        if request.phase is maintenance.DrainPhase.DONE:
            return False
        if self.orders.is_unanswered(request.vm_id):
            return True
        is_ready = request.phase is maintenance.DrainPhase.READY
        return is_ready and request.vm_id not in self.seen_due

    async def store_request(self, request: maintenance.DrainRequest) -> bool:
        """Stores a drain request; returns False if that isn't certain."""
        return bool(await self.store_requests((request,)))

    async def store_requests(
        self, requests: Sequence[maintenance.DrainRequest]
    ) -> frozenset[str]:
        """Stores drain requests; returns the VMs of those surely stored."""
        for request in requests:
            if request.phase is maintenance.DrainPhase.DUE:
                self.seen_due.add(request.vm_id)
        return await fleet_cache.store_drain_requests(
            self.store,
            self.cache,
            ownership.FLEET_SERVICE,
            requests,
            (self.tenure.make_condition(),),
        )
