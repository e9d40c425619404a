"""Orders the maintenance of single VMs, listed or not."""

from collections.abc import Sequence
import dataclasses
import datetime

from fireflywell import clock as clock_lib
from fireflywell.node import fleet_tenure
from fireflywell.node import vacancy
from fireflywell.node import vm_orders
from fireflywell.scheduling import maintenance

# An unlisted VM that a former owner may have ordered, but that isn't known to
# be down, counts as down for this time after a takeover. Several such VMs, of
# which none may be ordered beside the others, would block their wave for good.
_MAX_UNSETTLED = datetime.timedelta(seconds=30)


class VmMaintenance:
    """Decides when a VM may be taken down, and orders it.

    Nothing is concluded from a VM's absence from the list: whether units may
    run on it is read from the store, and whether it exists from the platform's
    answer to an order.
    """

    __slots__ = ("_clock", "_fleet", "_started_at", "_vacancy")

    def __init__(
        self,
        fleet: fleet_tenure.FleetTenure,
        vacancy_checker: vacancy.VacancyChecker,
        clock: clock_lib.Clock,
    ) -> None:
        self._clock = clock
        self._fleet = fleet
        self._started_at = clock.monotonic()
        self._vacancy = vacancy_checker

    async def is_empty(self, request: maintenance.DrainRequest) -> bool:
        """Returns whether a VM's request says that the VM may be taken down."""
        vm = self._fleet.inventory.find(request.vm_id)
        if vm is None:
            return await self._vacancy.is_drained(request)
        # A VM that is up without a worker has nothing to drain, and no owner
        # would mark its request as ready.
        return request.phase is maintenance.DrainPhase.READY or (
            not vm.instance_id and vm.state is maintenance.VmState.UP
        )

    async def ask_about_missing(
        self, request: maintenance.DrainRequest, number: int
    ) -> None:
        """Asks about an unlisted VM that counts as down, and may have left.

        The order names a wave for which the VM's maintenance has begun, so the
        platform carries out nothing. Without its answer a VM that left during
        its maintenance would hold its place within the limit for ever. Its
        request may be closed or name another wave or a move by now.

        Args:
            request: The VM's drain request.
            number: Number of the wave whose limit the VM counts towards.
        """
        vm_id = request.vm_id
        begun_wave = _find_begun_wave(request, number)
        if (
            begun_wave is None
            or not self._fleet.inventory.is_missing(vm_id)
            or not self._vacancy.may_order(vm_id)
        ):
            return
        await self.order(
            dataclasses.replace(
                request, wave=begun_wave, phase=maintenance.DrainPhase.DONE
            )
        )

    def may_be_down(self, number: int, vm_id: str) -> bool:
        """Returns whether a VM is or may soon be down for its maintenance.

        One that no list of this tenure has shown may have been taken down by a
        former owner, which may have ended before it stored that.
        """
        inventory = self._fleet.inventory
        if inventory.may_be_down(vm_id):
            return True
        request = self._fleet.cache.find(vm_id)
        if (
            request is None
            or inventory.find_last_listed(vm_id) is not None
            or inventory.is_removed(vm_id)
        ):
            return False
        return request.has_begun(number) or (
            request.wave == number
            and not request.target
            and self._fleet.may_be_ordered(request)
            and self._clock.monotonic() - self._started_at < _MAX_UNSETTLED
        )

    async def order(
        self, request: maintenance.DrainRequest
    ) -> vm_orders.OrderOutcome:
        """Orders the maintenance of a VM if its mark permits that.

        Raises:
            PlatformError: The platform or the store doesn't answer.
        """
        if not await self._fleet.is_drained(request):
            return vm_orders.OrderOutcome.POSTPONED
        inventory = self._fleet.inventory
        is_listed = inventory.find(request.vm_id) is not None
        if not is_listed and not await self._vacancy.confirm_order(request):
            return vm_orders.OrderOutcome.POSTPONED
        if not await self._fleet.verify():
            return vm_orders.OrderOutcome.POSTPONED
        if not is_listed:
            self._vacancy.record_order(request.vm_id)
        return await self._send(request)

    async def order_listed(
        self, requests: Sequence[maintenance.DrainRequest]
    ) -> dict[str, vm_orders.OrderOutcome]:
        """Orders the maintenance of several listed VMs side by side.

        One check of this node's ownership and one of each mark's owner precede
        all the orders.

        Returns:
            The outcomes by VM; those that aren't known are missing.

        Raises:
            PlatformError: The store doesn't answer.
        """
        drained = {
            request.vm_id: request
            for request in await self._fleet.list_drained(requests)
        }
        if not drained or not await self._fleet.verify():
            return {}
        outcomes: dict[str, vm_orders.OrderOutcome] = {}

        async def order(vm_id: str) -> None:
            outcomes[vm_id] = await self._send(drained[vm_id])

        await self._fleet.order_each(drained, order)
        return outcomes

    async def _send(
        self, request: maintenance.DrainRequest
    ) -> vm_orders.OrderOutcome:
        inventory = self._fleet.inventory
        inventory.record_order(request.vm_id)
        outcome = await self._fleet.orders.begin_maintenance(
            request.vm_id, request.wave
        )
        match outcome:
            case vm_orders.OrderOutcome.BEGUN:
                inventory.record_taken_down(request.vm_id)
            case vm_orders.OrderOutcome.NO_SUCH_VM:
                inventory.record_removed(request.vm_id)
        return outcome


def _find_begun_wave(
    request: maintenance.DrainRequest, preferred: int
) -> int | None:
    """Returns a wave for which a VM's maintenance has begun, or None."""
    for number in (preferred, request.wave, *request.begun_waves):
        if number and request.has_begun(number):
            return number
    return None
