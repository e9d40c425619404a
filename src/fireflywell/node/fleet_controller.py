"""Orders the maintenance of VMs and their moves between pools.

One node at a time runs the controller, and only it calls the platform's
interface for VMs. Owners of services drain their workers and mark the VM's
drain request as ready.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import functools
import random

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import fleet_cache
from fireflywell.node import fleet_tenure
from fireflywell.node import heartbeat as heartbeat_lib
from fireflywell.node import maintenance_waves
from fireflywell.node import ownership
from fireflywell.node import ownership_guard
from fireflywell.node import vacancy
from fireflywell.node import vm_moves
from fireflywell.node import vm_orders
from fireflywell.node import wave_runner
from fireflywell.scheduling import workers as workers_lib
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import logs

_CHECK_INTERVAL = datetime.timedelta(milliseconds=250)

# A new owner waits for this multiple of the lease before its first order. By
# then the former owner's lease has expired and it gives no more orders.
_START_DELAY_SHARE = 1.1


class FleetController:
    """Runs maintenance waves and moves of VMs during one tenure."""

    __slots__ = (
        "_fleet",
        "_fleet_cache",
        "_clock",
        "_created_at",
        "_heartbeat",
        "_is_loaded",
        "_preparing",
        "_random",
        "_scope",
        "_store",
        "_tenure",
        "_vm_moves",
        "_wave_runner",
        "_waves",
        "_lease",
    )

    def __init__(
        self,
        tenure: ownership.Tenure,
        store: row_store.RowStore,
        client: vm_orders.FleetClient,
        cache: fleet_cache.FleetCache,
        waves: maintenance_waves.MaintenanceWaves,
        heartbeat: heartbeat_lib.Heartbeat,
        list_pools: Callable[[], tuple[str, ...]],
        find_spare_pool: Callable[[], str],
        lease: datetime.timedelta,
        clock: clock_lib.Clock,
        rng: random.Random,
        decode_instance: Callable[[str, bytes], workers_lib.WorkerInstance],
    ) -> None:
        self._tenure = tenure
        self._store = store
        self._fleet_cache = cache
        self._waves = waves
        # Whether everything that former owners stored is known.
        self._is_loaded = False
        self._heartbeat = heartbeat
        self._fleet = fleet_tenure.FleetTenure(
            tenure,
            store,
            client,
            cache,
            ownership_guard.OwnershipGuard(tenure, store, heartbeat, clock),
            clock,
            self.stop,
        )
        # Both duties prepare before each pass.
        self._preparing = anyio.Lock()
        checker = vacancy.VacancyChecker(
            self._fleet, list_pools, decode_instance, clock
        )
        self._vm_moves = vm_moves.VmMoves(
            self._fleet, checker, find_spare_pool, clock
        )
        self._wave_runner = wave_runner.WaveRunner(
            self._fleet,
            waves,
            self._vm_moves.moving,
            checker,
            list_pools,
            clock,
        )
        self._lease = lease
        self._clock = clock
        self._random = rng
        self._created_at = clock.monotonic()
        self._scope = anyio.CancelScope()

    def stop(self) -> None:
        """Cancels the controller; it gives no further order."""
        self._scope.cancel()

    async def run(self) -> None:
        """Runs waves and moves until stopped."""
        with self._scope:
            tree = supervisor_lib.Supervisor(
                "fleet",
                self._clock,
                self._random,
                (
                    self._make_child("moves", self._vm_moves.advance),
                    self._make_child("waves", self._wave_runner.advance),
                ),
            )
            await tree.run()

    def _make_child(
        self, name: str, advance: Callable[[], Awaitable[None]]
    ) -> supervisor_lib.Child:
        """Returns the child for one duty.

        Each duty has a task of its own, so that moves for a peak of demand
        don't wait until a wave with a hundred VMs has been gone through.
        """
        return supervisor_lib.Child(
            name,
            functools.partial(self._run_duty, advance),
            policies.RestartWithBackoff(),
        )

    async def _run_duty(self, advance: Callable[[], Awaitable[None]]) -> None:
        """Advances a duty after each change of the fleet's rows."""
        if not self._tenure.is_first:
            await self._sleep_until_former_lease_is_over()
        changed = anyio.Event()

        def notify() -> None:
            changed.set()

        unsubscribe = self._fleet_cache.subscribe(notify)
        try:
            while True:
                with anyio.move_on_after(_CHECK_INTERVAL.total_seconds()):
                    await changed.wait()
                changed = anyio.Event()
                if not self._heartbeat.is_valid:
                    continue
                try:
                    if not await self._prepare():
                        return
                    await advance()
                except errors.PlatformError as error:
                    logs.log_event("fleet.delayed", error=str(error))
        finally:
            unsubscribe()

    async def _sleep_until_former_lease_is_over(self) -> None:
        ends_at = self._created_at + self._lease * _START_DELAY_SHARE
        remaining = ends_at - self._clock.monotonic()
        if remaining > datetime.timedelta():
            await self._clock.sleep(remaining)

    async def _prepare(self) -> bool:
        """Confirms the ownership and reads what former owners stored.

        Returns:
            False if another node owns the fleet.

        Raises:
            PlatformError: The store doesn't answer.
        """
        async with self._preparing:
            if not await self._fleet.guard.confirm():
                self.stop()
                return False
            if not self._is_loaded:
                await self._load()
                self._is_loaded = True
        return True

    async def _load(self) -> None:
        """Reads what was stored before the claim, on which orders depend.

        The caches may lack drain requests of the former owner, and the waves
        that it created them for.
        """
        version = self._tenure.version
        await fleet_cache.read_rows(
            self._store, self._fleet_cache, ownership.FLEET_SERVICE, version
        )
        await self._waves.read_rows(version)
