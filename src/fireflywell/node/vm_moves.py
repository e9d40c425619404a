"""Moves the VMs of the spare pool to the pools that need them, and back."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.node import fleet_tenure
from fireflywell.node import spare_pool
from fireflywell.node import vacancy
from fireflywell.node import vm_orders
from fireflywell.scheduling import capacity
from fireflywell.scheduling import maintenance
from fireflywell.telemetry import logs

# After a refused move, a VM works for this time before it is drained again.
_REFUSED_MOVE_PAUSE = datetime.timedelta(seconds=30)

# A VM isn't moved this long before the deadline of its wave: time for the move,
# for one drain and maintenance, and for VMs that come back late.
_MAINTENANCE_RESERVE = datetime.timedelta(seconds=10)


class VmMoves:
    """Chooses and orders moves during one tenure of the fleet."""

    __slots__ = (
        "_clock",
        "_find_spare_pool",
        "_fleet",
        "_idle_since_s",
        "_moving",
        "_refused_at",
        "_vacancy",
    )

    def __init__(
        self,
        fleet: fleet_tenure.FleetTenure,
        vacancy_checker: vacancy.VacancyChecker,
        find_spare_pool: Callable[[], str],
        clock: clock_lib.Clock,
    ) -> None:
        """Starts without any move.

        Args:
            fleet: Access to the VMs.
            vacancy_checker: Tells whether units may run on unlisted VMs.
            find_spare_pool: Returns the spare pool; empty if there is none.
            clock: The node's clock.
        """
        self._fleet = fleet
        self._vacancy = vacancy_checker
        self._find_spare_pool = find_spare_pool
        self._clock = clock
        # Target pool of each VM that is being moved.
        self._moving: dict[str, str] = {}
        # When the move of each drained VM was refused last.
        self._refused_at: dict[str, datetime.timedelta] = {}
        self._idle_since_s: dict[str, float] = {}

    @property
    def moving(self) -> Mapping[str, str]:
        """Target pool of each VM that is being moved, as it changes."""
        return self._moving

    async def advance(self) -> None:
        """Moves spare VMs to the pools that need them, and back.

        Raises:
            PlatformError: The platform or the store doesn't answer.
        """
        spare = self._find_spare_pool()
        if not spare:
            return
        inventory = self._fleet.inventory
        if not self._fleet.cache.spare_pool_vms or not inventory.vms:
            # A former owner may have left VMs in other pools, or moves open.
            await inventory.refresh()
        await spare_pool.add_listed(self._fleet, spare)
        if not self._fleet.cache.spare_pool_vms:
            return
        await self._settle_missing_moves()
        needs = self._fleet.cache.get_needs()
        is_active = self._moving or any(
            vm.pool != spare
            for name, vm in inventory.known_vms.items()
            if name in self._fleet.cache.spare_pool_vms
        )
        if not any(needs.values()) and not is_active:
            return
        await inventory.refresh()
        await self._finish_moves()
        spare_pool_vms = tuple(
            self._make_spare_pool_vm(vm, needs)
            for name, vm in sorted(inventory.known_vms.items())
            if name in self._fleet.cache.spare_pool_vms
        )
        moves = capacity.choose_moves(spare_pool_vms, needs, spare)
        await self._begin_moves(moves, spare)

    def _make_spare_pool_vm(
        self, vm: maintenance.Vm, needs: dict[str, int]
    ) -> capacity.SparePoolVm:
        now_s = self._clock.monotonic().total_seconds()
        pool = self._moving.get(vm.name, vm.pool)
        if needs.get(pool, 0):
            self._idle_since_s.pop(vm.name, None)
            idle_s = 0.0
        else:
            idle_s = now_s - self._idle_since_s.setdefault(vm.name, now_s)
        is_movable = (
            self._fleet.inventory.find(vm.name) is not None
            and vm.name not in self._moving
            and not self._fleet.inventory.is_taken_down(vm.name)
            and vm.state is maintenance.VmState.UP
            and not self._fleet.orders.is_unanswered(vm.name)
            and not self._has_binding_request(vm.name)
            and not self._was_refused_lately(vm.name)
        )
        return capacity.SparePoolVm(vm.name, pool, is_movable, idle_s)

    def _has_binding_request(self, name: str) -> bool:
        """Returns whether a VM's drain request keeps it from being moved.

        A VM that isn't drained yet may serve a peak before its maintenance. It
        is requested for its wave again after the move.
        """
        request = self._fleet.cache.find(name)
        if request is None or request.phase is maintenance.DrainPhase.DONE:
            return False
        if request.target or request.phase is maintenance.DrainPhase.READY:
            return True
        left_s = request.deadline_s - self._fleet.store.now_s()
        return left_s < _MAINTENANCE_RESERVE.total_seconds()

    def _was_refused_lately(self, name: str) -> bool:
        refused_at = self._refused_at.get(name)
        return refused_at is not None and (
            self._clock.monotonic() - refused_at < _REFUSED_MOVE_PAUSE
        )

    async def _begin_moves(
        self, moves: Sequence[capacity.Move], spare: str
    ) -> None:
        """Orders moves of VMs that are off, and requests the drain of others.

        VMs in the spare pool are off, so no worker has to be drained.
        """
        known = self._fleet.inventory.known_vms
        off = {m.name: m.pool for m in moves if known[m.name].pool == spare}
        await self._order_moves(off)
        requests = [
            self._make_request(move) for move in moves if move.name not in off
        ]
        if not requests:
            return
        stored = await self._fleet.store_requests(requests)
        for request in requests:
            if request.vm_id in stored:
                self._moving[request.vm_id] = request.target

    def _make_request(self, move: capacity.Move) -> maintenance.DrainRequest:
        # The request keeps the waves that the VM was maintained for. Otherwise
        # it would be maintained for them a second time.
        former = self._fleet.cache.find(move.name)
        has_begun = former is not None and (
            former.phase is maintenance.DrainPhase.DONE
        )
        return maintenance.DrainRequest(
            move.name,
            former.wave if former and has_begun else 0,
            maintenance.DrainPhase.DUE,
            0.0,
            1,
            move.pool,
            begun_waves=former.begun_waves if former else (),
        )

    async def _finish_moves(self) -> None:
        repeated: dict[str, str] = {}
        ready: list[maintenance.DrainRequest] = []
        for name, vm in tuple(self._fleet.inventory.vms.items()):
            request = self._fleet.cache.find(name)
            if request is None or not request.target:
                if self._has_arrived(vm):
                    del self._moving[name]
                    self._fleet.orders.settle(name)
                elif name in self._moving and self._fleet.orders.is_unanswered(
                    name
                ):
                    repeated[name] = self._moving[name]
                continue
            if request.phase is maintenance.DrainPhase.READY:
                ready.append(request)
            elif request.phase is maintenance.DrainPhase.DUE:
                self._moving.setdefault(name, request.target)
                if self._is_needed_in_pool(vm):
                    await self._withdraw_move(request, "its pool needs the VM")
            elif self._has_arrived(vm):
                del self._moving[name]
        await self._order_moves(repeated)
        await self._move_drained(ready)

    def _has_arrived(self, vm: maintenance.Vm) -> bool:
        return (
            self._moving.get(vm.name) == vm.pool
            and vm.state is maintenance.VmState.UP
            # A list from before the order may show an earlier stay.
            and self._fleet.inventory.shows_last_order(vm.name)
        )

    async def _move_drained(
        self, requests: Sequence[maintenance.DrainRequest]
    ) -> None:
        """Orders the moves of VMs that are marked as drained for them."""
        for request in requests:
            # The VM stays drained until the order is settled, because a
            # transmission without an answer may still move it.
            self._moving.setdefault(request.vm_id, request.target)
        drained = {
            request.vm_id: request
            for request in await self._fleet.list_drained(requests)
        }
        settled = await self._order_moves(
            {name: request.target for name, request in drained.items()}
        )
        for name in settled:
            if name not in self._moving:
                self._refused_at[name] = self._clock.monotonic()
        done = [
            dataclasses.replace(
                drained[name], phase=maintenance.DrainPhase.DONE
            )
            for name in sorted(settled)
        ]
        if done:
            await self._fleet.store_requests(done)

    async def _settle_missing_moves(self) -> None:
        """Asks about moving VMs that several lists in a row lacked.

        The platform refuses the move of a VM that has left. Without its answer
        the VM would count as moving for ever, and its waves would wait for it.
        """
        open_requests = {
            request.vm_id: request
            for request in self._fleet.cache.list_drain_requests()
            if request.target
            and request.phase is not maintenance.DrainPhase.DONE
        }
        for name in sorted({*open_requests, *self._moving}):
            if not self._fleet.inventory.is_missing(name):
                continue
            request = open_requests.get(name)
            if request is None:
                # Nothing happens if the move is done.
                if self._vacancy.may_order(name):
                    await self._order_moves({name: self._moving[name]})
            elif request.phase is maintenance.DrainPhase.READY:
                if await self._vacancy.is_drained(
                    request
                ) and await self._vacancy.confirm_order(request):
                    await self._move_drained((request,))
            elif not self._fleet.orders.is_unanswered(name):
                await self._withdraw_move(request, "the VM isn't listed")

    def _is_needed_in_pool(self, vm: maintenance.Vm) -> bool:
        """Returns whether a VM's pool needs it again before it has moved."""
        if self._fleet.orders.is_unanswered(vm.name):
            return False
        pools = [
            self._moving.get(name, item.pool)
            for name, item in self._fleet.inventory.known_vms.items()
            if name in self._fleet.cache.spare_pool_vms
        ]
        targets = capacity.compute_targets(
            self._fleet.cache.get_needs(), len(pools)
        )
        staying = pools.count(vm.pool)
        return staying < targets.get(vm.pool, 0)

    async def _withdraw_move(
        self, request: maintenance.DrainRequest, reason: str
    ) -> None:
        """Closes the request of a move that hasn't been ordered."""
        closed = dataclasses.replace(
            request, phase=maintenance.DrainPhase.DONE, target=""
        )
        if await self._fleet.store_request(closed):
            self._moving.pop(request.vm_id, None)
            logs.log_event(
                "upkeep.closed",
                machine=request.vm_id,
                wave=request.wave,
                reason=reason,
            )

    async def _order_moves(self, targets: Mapping[str, str]) -> set[str]:
        """Orders moves side by side, unless orders for the VMs were just sent.

        Args:
            targets: The pool that each VM moves to.

        Returns:
            The VMs whose move has begun or never will.

        Raises:
            PlatformError: The store doesn't answer.
        """
        sendable = [n for n in targets if self._fleet.orders.may_send(n)]
        if not sendable or not await self._fleet.verify():
            return set()
        settled: set[str] = set()

        async def order(name: str) -> None:
            if await self._order_move(name, targets[name]):
                settled.add(name)

        await self._fleet.order_each(sendable, order)
        return settled

    async def _order_move(self, name: str, pool: str) -> bool:
        """Orders a move; returns whether it has begun or never will.

        Raises:
            PlatformError: The platform doesn't answer.
        """
        inventory = self._fleet.inventory
        if inventory.find(name) is None:
            self._vacancy.record_order(name)
        inventory.record_order(name)
        try:
            outcome = await self._fleet.orders.move(name, pool)
        except errors.AnswerLostError:
            # It counts as moving, so that no other VM moves in its place.
            self._moving[name] = pool
            raise
        finally:
            inventory.record_order(name)
        match outcome:
            case vm_orders.OrderOutcome.BEGUN:
                self._moving[name] = pool
                return True
            case vm_orders.OrderOutcome.POSTPONED:
                return False
            case (
                vm_orders.OrderOutcome.REFUSED
                | vm_orders.OrderOutcome.NO_SUCH_VM
            ):
                self._moving.pop(name, None)
                return True
