"""Works off the maintenance waves during one tenure of the fleet."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from fireflywell import clock as clock_lib
from fireflywell.coordination import row_store
from fireflywell.node import fleet_tenure
from fireflywell.node import maintenance_waves
from fireflywell.node import request_closer
from fireflywell.node import vacancy
from fireflywell.node import vm_maintenance
from fireflywell.node import vm_orders
from fireflywell.node import wave_states
from fireflywell.scheduling import maintenance


class WaveRunner:
    """Requests drains, orders maintenance and stores the states of waves."""

    __slots__ = (
        "_closer",
        "_completed_waves",
        "_fleet",
        "_list_pools",
        "_moving",
        "_requests",
        "_started_waves",
        "_vms",
        "_wave_states",
        "_waves",
    )

    def __init__(
        self,
        fleet: fleet_tenure.FleetTenure,
        waves: maintenance_waves.MaintenanceWaves,
        moving: Mapping[str, str],
        vacancy_checker: vacancy.VacancyChecker,
        list_pools: Callable[[], tuple[str, ...]],
        clock: clock_lib.Clock,
    ) -> None:
        """Starts without any wave.

        Args:
            fleet: Access to the VMs.
            waves: The requested waves.
            moving: Target pool of each VM that is being moved, which the
                controller changes. These VMs aren't maintained meanwhile.
            vacancy_checker: Tells whether units may run on unlisted VMs.
            list_pools: Returns the services.
            clock: The node's clock.
        """
        self._fleet = fleet
        self._waves = waves
        self._moving = moving
        self._list_pools = list_pools
        self._wave_states = wave_states.WaveStates(fleet.store, fleet.tenure)
        # The request that the two sets below are about, by number.
        self._requests: dict[int, row_store.Condition] = {}
        # Waves that are stored as running, or completed.
        self._started_waves: set[int] = set()
        self._completed_waves: set[int] = set()
        self._vms = vm_maintenance.VmMaintenance(fleet, vacancy_checker, clock)
        self._closer = request_closer.RequestCloser(
            fleet, waves, self._order_withdrawn, self._completed_waves, clock
        )

    async def advance(self) -> None:
        """Advances all waves that aren't completed.

        Raises:
            PlatformError: The platform or the store doesn't answer.
        """
        self._reopen_changed_waves()
        await self._closer.close_withdrawn()
        for _, wave in sorted(self._waves.waves.items()):
            if wave.number not in self._completed_waves:
                await self._advance_wave(wave)

    def _reopen_changed_waves(self) -> None:
        """Forgets the states of waves whose request has changed since."""
        for number in self._waves.waves:
            request = self._waves.find_request(number)
            if request is None:
                self._requests.pop(number, None)
            elif request != self._requests.get(number):
                self._requests[number] = request
                self._started_waves.discard(number)
                self._completed_waves.discard(number)

    async def _advance_wave(self, wave: maintenance.Wave) -> None:
        await self._fleet.inventory.refresh()
        if wave.number not in self._started_waves:
            await self._start_wave(wave)
            if wave.number in self._completed_waves:
                return
        await self._create_drain_requests(wave)
        down = self._list_down(wave.number)
        if len(down) >= wave.max_count:
            await self._ask_about_missing(wave.number, down)
        await self._order_listed(wave, down)
        for vm_id in wave.vm_ids:
            if self._fleet.inventory.find(vm_id) is None:
                await self._advance_unlisted(wave, vm_id, down)
        if wave.number not in self._requests:
            # The latest request can't be read, so its state isn't known.
            return
        if not self._are_all_maintained(wave):
            return
        # A VM that the platform didn't have may be there again.
        await self._fleet.inventory.refresh(force=True)
        if not self._are_all_maintained(wave):
            return
        await self._store_completed(wave)

    async def _start_wave(self, wave: maintenance.Wave) -> None:
        """Stores that a wave is running unless it is completed.

        A wave whose VMs are all maintained, because operators took the others
        out of it, isn't shown as running again.
        """
        request = self._requests.get(wave.number)
        if request is None:
            return
        if await self._wave_states.is_completed(wave.number, request):
            self._completed_waves.add(wave.number)
        elif not self._are_all_maintained(wave) and (
            await self._wave_states.write(
                wave.number, request, wave_states.RUNNING
            )
        ):
            self._started_waves.add(wave.number)

    async def _store_completed(self, wave: maintenance.Wave) -> None:
        # The request that the wave was read from may have changed meanwhile.
        request = self._requests.get(wave.number)
        if request is not None and await self._wave_states.write(
            wave.number, request, wave_states.COMPLETED
        ):
            self._completed_waves.add(wave.number)

    async def _create_drain_requests(self, wave: maintenance.Wave) -> None:
        missing = [
            name for name in wave.vm_ids if self._needs_request(wave, name)
        ]
        pools = max(1, len(self._list_pools()))
        max_concurrent = max(1, -(-wave.max_count // pools))
        requests = [
            maintenance.DrainRequest(
                name,
                wave.number,
                maintenance.DrainPhase.DUE,
                self._waves.compute_deadline_s(wave),
                max_concurrent,
                begun_waves=self._list_begun_waves(name),
            )
            for name in missing
        ]
        if requests:
            await self._fleet.store_requests(requests)

    def _list_begun_waves(self, vm_id: str) -> tuple[int, ...]:
        """Returns the requested waves for which a VM's maintenance has begun.

        Without them a wave couldn't be completed after the VM's maintenance
        for another one was requested.
        """
        request = self._fleet.cache.find(vm_id)
        if request is None:
            return ()
        return tuple(
            number
            for number in sorted(self._waves.waves)
            if request.has_begun(number)
        )

    def _needs_request(self, wave: maintenance.Wave, vm_id: str) -> bool:
        if self._closer.is_refused(wave, vm_id):
            return False
        inventory = self._fleet.inventory
        if inventory.is_removed(vm_id) or inventory.was_denied_lately(vm_id):
            return False
        request = self._fleet.cache.find(vm_id)
        if request is None:
            return True
        is_pending = request.phase is not maintenance.DrainPhase.DONE
        if is_pending and (
            request.target
            or self._is_running(request.wave)
            or self._fleet.may_be_ordered(request)
        ):
            # The pending move or the maintenance of an earlier wave is
            # completed first.
            return False
        return not request.has_begun(wave.number)

    def _is_running(self, wave_number: int) -> bool:
        return (
            wave_number in self._waves.waves
            and wave_number not in self._completed_waves
        )

    async def _order_listed(
        self, wave: maintenance.Wave, down: set[str]
    ) -> None:
        """Orders the maintenance of the listed VMs that may be taken down.

        Args:
            wave: The wave.
            down: VMs that are or may soon be down for it; VMs that are ordered
                are added.
        """
        ordered: set[str] = set()
        while requests := await self._choose_listed(wave, down, ordered):
            ordered.update(request.vm_id for request in requests)
            down.update(ordered)
            outcomes = await self._vms.order_listed(requests)
            begun = [
                _mark_begun(request)
                for request in requests
                if outcomes.get(request.vm_id) is vm_orders.OrderOutcome.BEGUN
            ]
            if begun:
                await self._fleet.store_requests(begun)
            for request in requests:
                outcome = outcomes.get(request.vm_id)
                if outcome is not None:
                    await self._close_if_refused(wave, request, outcome)
                if not self._vms.may_be_down(wave.number, request.vm_id):
                    # Its place is free for another VM.
                    down.discard(request.vm_id)

    async def _choose_listed(
        self, wave: maintenance.Wave, down: set[str], ordered: set[str]
    ) -> list[maintenance.DrainRequest]:
        """Returns the listed VMs that may be ordered now, within the limit.

        Args:
            wave: The wave.
            down: VMs that are or may soon be down for it.
            ordered: VMs that were ordered in this pass; these are left out.
        """
        chosen: list[maintenance.DrainRequest] = []
        taken = set(down)
        for vm_id in wave.vm_ids:
            request = self._find_open_request(wave, vm_id)
            if (
                request is None
                or vm_id in ordered
                or self._fleet.inventory.find(vm_id) is None
                or not await self._vms.is_empty(request)
            ):
                continue
            if self._has_place(wave, vm_id, taken):
                taken.add(vm_id)
                chosen.append(request)
        return chosen

    async def _advance_unlisted(
        self, wave: maintenance.Wave, vm_id: str, down: set[str]
    ) -> None:
        """Orders the maintenance of a VM that the list lacks, if it may."""
        request = self._find_open_request(wave, vm_id)
        if request is None or not await self._vms.is_empty(request):
            return
        if not self._has_place(wave, vm_id, down):
            return
        outcome = await self._vms.order(request)
        if outcome is vm_orders.OrderOutcome.BEGUN:
            down.add(vm_id)
            await self._fleet.store_request(_mark_begun(request))
        await self._close_if_refused(wave, request, outcome)

    def _find_open_request(
        self, wave: maintenance.Wave, vm_id: str
    ) -> maintenance.DrainRequest | None:
        """Returns a VM's request if an order for the wave may be sent."""
        request = self._fleet.cache.find(vm_id)
        if request is None or request.wave != wave.number:
            return None
        if request.target or vm_id in self._moving:
            return None
        if request.phase is maintenance.DrainPhase.DONE:
            return None
        return request if self._fleet.orders.may_send(vm_id) else None

    def _has_place(
        self, wave: maintenance.Wave, vm_id: str, down: set[str]
    ) -> bool:
        """Returns whether the wave's limit permits that a VM goes down."""
        if self._fleet.orders.is_unanswered(vm_id):
            # An order without an answer is repeated whatever the limit.
            return True
        return (
            not self._fleet.inventory.may_be_down(vm_id)
            and len(down - {vm_id}) < wave.max_count
        )

    def _list_down(self, number: int) -> set[str]:
        """Returns the VMs that are or may soon be down for a wave.

        Operators may have taken a VM out of the wave while it is down, and its
        maintenance for another wave may have been requested since.
        """
        vm_ids = {
            request.vm_id
            for request in self._fleet.cache.list_drain_requests()
            if request.wave == number or request.has_begun(number)
        }
        wave = self._waves.waves.get(number)
        if wave is not None:
            vm_ids.update(wave.vm_ids)
        return {name for name in vm_ids if self._vms.may_be_down(number, name)}

    async def _ask_about_missing(self, number: int, down: set[str]) -> None:
        """Asks about the unlisted VMs that hold places within a limit."""
        for vm_id in sorted(down):
            request = self._fleet.cache.find(vm_id)
            if request is not None and vm_id not in self._moving:
                await self._vms.ask_about_missing(request, number)

    async def _close_if_refused(
        self,
        wave: maintenance.Wave,
        request: maintenance.DrainRequest,
        outcome: vm_orders.OrderOutcome,
    ) -> None:
        """Closes a request whose order the platform never carries out."""
        match outcome:
            case vm_orders.OrderOutcome.REFUSED:
                await self._closer.close_refused(wave, request)
            case vm_orders.OrderOutcome.NO_SUCH_VM:
                await self._closer.close_removed(request)
            case _:
                pass

    async def _order_withdrawn(
        self, request: maintenance.DrainRequest
    ) -> vm_orders.OrderOutcome:
        """Orders the maintenance of a VM that its wave doesn't ask for now.

        The platform may carry it out, so the limit of the wave holds; it is 1
        if the wave isn't known any more.
        """
        await self._fleet.inventory.refresh()
        wave = self._waves.waves.get(request.wave)
        limit = wave.max_count if wave is not None else 1
        down = self._list_down(request.wave) - {request.vm_id}
        if len(down) >= limit:
            await self._ask_about_missing(request.wave, down)
            return vm_orders.OrderOutcome.POSTPONED
        if not await self._vms.is_empty(request):
            return vm_orders.OrderOutcome.POSTPONED
        return await self._vms.order(request)

    def _are_all_maintained(self, wave: maintenance.Wave) -> bool:
        return all(self._is_maintained(wave, name) for name in wave.vm_ids)

    def _is_maintained(self, wave: maintenance.Wave, vm_id: str) -> bool:
        # Only the platform's answer about this VM proves that it has left. A
        # list may lack a VM that is up.
        if self._fleet.inventory.is_removed(vm_id):
            return True
        request = self._fleet.cache.find(vm_id)
        return request is not None and request.has_begun(wave.number)


def _mark_begun(request: maintenance.DrainRequest) -> maintenance.DrainRequest:
    """Returns a request whose maintenance the platform has begun."""
    return dataclasses.replace(request, phase=maintenance.DrainPhase.DONE)
