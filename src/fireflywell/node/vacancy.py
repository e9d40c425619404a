"""Proves that nothing runs on VMs that the platform's list lacks.

The list is read in pages at different moments, so a VM that it lacks may be up
with units on it. Such a VM is ordered away only if its worker was drained or no
worker can have units there.
"""

from collections.abc import Callable
import datetime

from fireflywell import clock as clock_lib
from fireflywell.node import drain_marks
from fireflywell.node import fleet_tenure
from fireflywell.node import occupancy
from fireflywell.node import ownership
from fireflywell.scheduling import maintenance
from fireflywell.scheduling import workers as workers_lib
from fireflywell.telemetry import logs

# Time from the mark of a VM until its order. Owners have read the mark by then
# and start nothing on the VM. One that has started a unit has set it back.
_MARK_DELAY = datetime.timedelta(milliseconds=700)

# The platform is asked about the same unlisted VM at most this often, because
# all orders share one rate limit.
_ORDER_INTERVAL = datetime.timedelta(seconds=5)


class VacancyChecker:
    """Marks unlisted VMs as drained on which no worker can have units."""

    __slots__ = (
        "_clock",
        "_fleet",
        "_marked",
        "_occupancy",
        "_ordered_at",
    )

    def __init__(
        self,
        fleet: fleet_tenure.FleetTenure,
        list_services: Callable[[], tuple[str, ...]],
        decode_instance: Callable[[str, bytes], workers_lib.WorkerInstance],
        clock: clock_lib.Clock,
    ) -> None:
        self._fleet = fleet
        self._occupancy = occupancy.OccupancyReader(
            fleet, list_services, decode_instance, clock
        )
        self._clock = clock
        # The version of each VM's mark by this tenure, and when it was seen.
        self._marked: dict[str, tuple[int, datetime.timedelta]] = {}
        self._ordered_at: dict[str, datetime.timedelta] = {}

    def may_order(self, vm_id: str) -> bool:
        """Returns whether an order for an unlisted VM may be sent by now."""
        ordered_at = self._ordered_at.get(vm_id)
        return (
            ordered_at is None
            or self._clock.monotonic() - ordered_at >= _ORDER_INTERVAL
        )

    def record_order(self, vm_id: str) -> None:
        """Records that an order for an unlisted VM is sent now."""
        self._ordered_at[vm_id] = self._clock.monotonic()

    async def confirm_order(self, request: maintenance.DrainRequest) -> bool:
        """Returns whether an order for an unlisted VM may be sent now.

        Called right before the order, because each call costs a transaction for
        each service. An order that rests on an owner's mark needs no proof that
        the VM is vacant.
        """
        vm_id = request.vm_id
        if request.phase is not maintenance.DrainPhase.READY:
            return await self._occupancy.confirm_vacant(vm_id)
        if request.drained_by_service != ownership.FLEET_SERVICE:
            return True
        _, since = self._marked.get(vm_id, (0, self._clock.monotonic()))
        return await self._occupancy.confirm_vacant(vm_id, since + _MARK_DELAY)

    async def is_drained(self, request: maintenance.DrainRequest) -> bool:
        """Returns whether an order for an unlisted VM may be sent by now.

        A VM that no owner has drained is marked as drained first, if several
        lists in a row lacked it and no worker can have units on it.
        """
        if not self.may_order(request.vm_id):
            return False
        is_marked = (
            request.phase is maintenance.DrainPhase.READY
            and not self._fleet.has_void_mark(request)
        )
        if is_marked:
            if request.drained_by_service != ownership.FLEET_SERVICE:
                return True
            if not drain_marks.needs_mark(request, self._fleet.tenure):
                return await self._confirm_mark(request.vm_id)
        if self._fleet.inventory.is_missing(request.vm_id):
            await self._mark_vacant(request)
        return False

    async def _mark_vacant(self, request: maintenance.DrainRequest) -> None:
        """Marks a VM as drained by this tenure if no worker has units on it.

        Without the mark an owner could start units between the proof and the
        order.
        """
        if not drain_marks.needs_mark(request, self._fleet.tenure):
            return
        if not await self._occupancy.is_vacant(request.vm_id):
            return
        marked = drain_marks.mark_drained(request, self._fleet.tenure)
        if await self._fleet.store_request(marked):
            logs.log_event(
                "upkeep.vacant", machine=request.vm_id, wave=request.wave
            )

    async def _confirm_mark(self, vm_id: str) -> bool:
        """Returns whether an order may rely on this tenure's mark of a VM.

        The entries of workers and the lists of assigned workers are read as of
        a moment at which owners have read the mark.
        """
        version = self._fleet.cache.get_version(vm_id)
        now = self._clock.monotonic()
        marked_version, since = self._marked.get(vm_id, (0, now))
        if marked_version != version:
            self._marked[vm_id] = (version, now)
            return False
        effective_at = since + _MARK_DELAY
        return now >= effective_at and await self._occupancy.is_vacant(
            vm_id, effective_at
        )
