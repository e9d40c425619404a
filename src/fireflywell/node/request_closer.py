"""Closes drain requests whose maintenance was withdrawn or refused."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Set
import dataclasses
import datetime

from fireflywell import clock as clock_lib
from fireflywell.node import fleet_tenure
from fireflywell.node import maintenance_waves
from fireflywell.node import vm_orders
from fireflywell.scheduling import maintenance
from fireflywell.telemetry import logs

# An order is repeated to settle a withdrawn request only after the request was
# ready for this time. An owner whose VM isn't empty has set it back by then.
_SETTLE_DELAY = datetime.timedelta(seconds=2)

OrderMaintenance = Callable[
    [maintenance.DrainRequest], Awaitable[vm_orders.OrderOutcome]
]


class RequestCloser:
    """Closes the requests of one tenure that no wave asks for any more.

    A closed request belongs to no wave, so that its VM doesn't count as
    maintained, and its worker is used again. A request whose order may still be
    carried out stays open until the order is settled.
    """

    __slots__ = (
        "_clock",
        "_completed_waves",
        "_fleet",
        "_order_maintenance",
        "_ready_since",
        "_refused",
        "_waves",
    )

    def __init__(
        self,
        fleet: fleet_tenure.FleetTenure,
        waves: maintenance_waves.MaintenanceWaves,
        order_maintenance: OrderMaintenance,
        completed_waves: Set[int],
        clock: clock_lib.Clock,
    ) -> None:
        self._clock = clock
        # Numbers of the completed waves, which the controller extends.
        self._completed_waves = completed_waves
        self._fleet = fleet
        self._waves = waves
        # Orders a VM's maintenance if the limit of its wave permits that.
        self._order_maintenance = order_maintenance
        # Monotonic time at which each withdrawn request was first seen ready.
        self._ready_since: dict[str, datetime.timedelta] = {}
        # The wave of each refused order by VM and number of the wave.
        self._refused: dict[tuple[str, int], maintenance.Wave] = {}

    def is_refused(self, wave: maintenance.Wave, vm_id: str) -> bool:
        """Returns whether a VM's maintenance for a wave was refused.

        It is asked for again once operators have changed the wave.
        """
        return self._refused.get((vm_id, wave.number)) == wave

    async def close_refused(
        self, wave: maintenance.Wave, request: maintenance.DrainRequest
    ) -> None:
        """Closes a request whose order the platform never carries out."""
        self._refused[request.vm_id, wave.number] = wave
        await self._close(request, "refused")

    async def close_removed(self, request: maintenance.DrainRequest) -> None:
        """Closes the request for a VM that the platform doesn't have."""
        await self._close(request, "the platform has no such VM")

    async def close_withdrawn(self) -> None:
        """Closes the requests that no wave asks for any more.

        Raises:
            PlatformError: The platform doesn't answer.
        """
        for request in self._fleet.cache.list_drain_requests():
            if request.phase is maintenance.DrainPhase.DUE:
                self._fleet.seen_due.add(request.vm_id)
                self._ready_since.pop(request.vm_id, None)
            if not self._is_withdrawn(request):
                continue
            if self._fleet.may_be_ordered(request):
                await self._settle(request)
            else:
                await self._close(request, "withdrawn")

    def _is_withdrawn(self, request: maintenance.DrainRequest) -> bool:
        if (
            not self._waves.is_loaded
            or request.target
            or request.phase is maintenance.DrainPhase.DONE
        ):
            return False
        wave = self._waves.waves.get(request.wave)
        return (
            wave is None
            or request.vm_id not in wave.vm_ids
            # The VM was unknown to the platform when its wave was completed.
            or request.wave in self._completed_waves
        )

    async def _settle(self, request: maintenance.DrainRequest) -> None:
        """Repeats an order that may be carried out, to learn its outcome."""
        vm_id = request.vm_id
        now = self._clock.monotonic()
        ready_since = self._ready_since.setdefault(vm_id, now)
        if now - ready_since < _SETTLE_DELAY:
            return
        if not self._fleet.orders.may_send(vm_id):
            return
        match await self._order_maintenance(request):
            case vm_orders.OrderOutcome.BEGUN:
                done = dataclasses.replace(
                    request, phase=maintenance.DrainPhase.DONE
                )
                await self._fleet.store_request(done)
            case (
                vm_orders.OrderOutcome.REFUSED
                | vm_orders.OrderOutcome.NO_SUCH_VM
            ):
                await self._close(request, "withdrawn")
            case vm_orders.OrderOutcome.POSTPONED:
                pass

    async def _close(
        self, request: maintenance.DrainRequest, reason: str
    ) -> None:
        closed = dataclasses.replace(
            request, wave=0, phase=maintenance.DrainPhase.DONE
        )
        if await self._fleet.store_request(closed):
            logs.log_event(
                "upkeep.closed",
                machine=request.vm_id,
                wave=request.wave,
                reason=reason,
            )
