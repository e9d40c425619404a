"""Tests orders for VMs whose answers are lost or that are refused."""

from collections.abc import Callable
import dataclasses
import datetime
import enum
import json
import random
import unittest

import anyio
import anyio.lowlevel
import msgpack

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import directory as directory_lib
from fireflywell.node import drain_marks
from fireflywell.node import fleet_cache
from fireflywell.node import fleet_controller
from fireflywell.node import heartbeat as heartbeat_lib
from fireflywell.node import maintenance_waves
from fireflywell.node import owner_records
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.platform import instances
from fireflywell.platform import waves
from fireflywell.scheduling import maintenance
from fireflywell.scheduling import model
from fireflywell.standins import row_store as store_standin
from tests import node_world

_FLEET = ownership.FLEET_SERVICE
_STEP = datetime.timedelta(milliseconds=50)
# Timeout of a call to the platform.
_TIMEOUT = datetime.timedelta(seconds=2)
_UP = maintenance.VmState.UP
_UPKEEP = maintenance.VmState.UPKEEP


class Reply(enum.Enum):
    """What happens to an order for a VM."""

    CARRIED_OUT = enum.auto()
    LATE = enum.auto()  # No answer comes; it is carried out later, if at all.
    OVER_RATE = enum.auto()
    NOT_IN_WAVE = enum.auto()
    NO_SUCH_VM = enum.auto()


class FaultyFleet(node_world.FakeFleet):
    """Replaces the platform's interface for VMs; some orders fail.

    Attributes:
        replies: What happens to the next orders; later ones are carried out.
        hidden: VMs that the next list leaves out.
        unlisted: VMs that all lists leave out.
        lists: Number of lists so far.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        super().__init__()
        self._clock = clock
        self.replies: list[Reply] = []
        self.hidden: set[str] = set()
        self.unlisted: set[str] = set()
        self.lists = 0

    def add_vm(
        self, name: str, pool: str = "desk", instance_id: str = ""
    ) -> None:
        """Adds a VM, which is up."""
        self.vms[name] = maintenance.Vm(
            name, pool, _UP, "a", (), model.ResourceAmounts(1, 1), instance_id
        )

    def set_state(self, name: str, state: maintenance.VmState) -> None:
        """Changes the state of a VM."""
        self.vms[name] = dataclasses.replace(self.vms[name], state=state)

    async def list_vms(self) -> tuple[maintenance.Vm, ...]:
        """Returns the VMs, once without the hidden ones."""
        self.lists += 1
        hidden, self.hidden = self.hidden | self.unlisted, set()
        return tuple(vm for vm in self.vms.values() if vm.name not in hidden)

    async def begin_maintenance(
        self, vm_id: str, wave: int, token: int
    ) -> maintenance.VmRefusal | None:
        """Records the order and takes the VM down."""
        await super().begin_maintenance(vm_id, wave, token)
        if vm_id not in self.vms:
            return maintenance.VmRefusal.NO_SUCH_VM
        refusal = await self._reply()
        if refusal is None:
            self.set_state(vm_id, _UPKEEP)
        return refusal

    async def move(
        self, vm_id: str, pool: str, token: int
    ) -> maintenance.VmRefusal | None:
        """Records the order and moves the VM."""
        self.orders.append(node_world.VmOrder(vm_id, pool, token))
        if vm_id not in self.vms:
            return maintenance.VmRefusal.UNKNOWN
        refusal = await self._reply()
        if refusal is None:
            self.vms[vm_id] = dataclasses.replace(self.vms[vm_id], pool=pool)
        return refusal

    async def _reply(self) -> maintenance.VmRefusal | None:
        match self.replies.pop(0) if self.replies else Reply.CARRIED_OUT:
            case Reply.LATE:
                await self._clock.sleep(_TIMEOUT)
                raise errors.AnswerLostError("no answer")
            case Reply.OVER_RATE:
                return maintenance.VmRefusal.RATE
            case Reply.NOT_IN_WAVE:
                return maintenance.VmRefusal.NOT_IN_WAVE
            case Reply.NO_SUCH_VM:
                return maintenance.VmRefusal.NO_SUCH_VM
            case Reply.CARRIED_OUT:
                return None


class SlowFleet(FaultyFleet):
    """Answers each order after a fixed time, and carries it out then.

    Attributes:
        delay: Time until the answer.
        ordered_at_s: When each order was sent, by VM and pool or wave.
    """

    def __init__(
        self, clock: clock_lib.Clock, delay: datetime.timedelta
    ) -> None:
        super().__init__(clock)
        self.delay = delay
        self.ordered_at_s: dict[tuple[str, str], float] = {}

    async def _reply(self) -> maintenance.VmRefusal | None:
        order = self.orders[-1]
        now_s = self._clock.monotonic().total_seconds()
        self.ordered_at_s[order.vm_id, order.target] = now_s
        await self._clock.sleep(self.delay)
        return await super()._reply()


def _make_wave_row(
    number: int, *vm_ids: str, max_count: int = 1
) -> row_store.Row:
    document = {
        "wave": number,
        "machines": vm_ids,
        "duration_s": 60,
        "max_count": max_count,
    }
    row_key = row_store.RowKey(tables.OPERATOR, "", f"wave/{number}")
    return row_store.Row(row_key, json.dumps(document).encode(), 0)


class World:
    """A fleet controller on a manual clock.

    Attributes:
        fleet: The platform's interface for VMs.
        store: The store.
        cache: The fleet's rows.
        on_step: Called after each step of the clock; returns whether the run
            ends.
    """

    def __init__(self) -> None:
        self._clock = clock_lib.ManualClock()
        self.fleet = FaultyFleet(self._clock)
        self.store = store_standin.MemoryRowStore(self._clock)
        self.cache = fleet_cache.FleetCache()
        self.on_step: Callable[[], bool] | None = None
        self._waves = maintenance_waves.MaintenanceWaves(
            waves.decode_wave, self.store
        )

    def use_store(self, store: store_standin.MemoryRowStore) -> None:
        """Replaces the store, which must be empty so far."""
        self.store = store
        self._waves = maintenance_waves.MaintenanceWaves(
            waves.decode_wave, store
        )

    @property
    def now_s(self) -> float:
        """The monotonic time, in seconds."""
        return self._clock.monotonic().total_seconds()

    @property
    def ordered(self) -> list[tuple[str, str]]:
        """VMs of the orders so far, with the wave or pool."""
        return [(item.vm_id, item.target) for item in self.fleet.orders]

    def use_slow_fleet(self, delay: datetime.timedelta) -> SlowFleet:
        """Replaces the platform's interface for VMs by a slow one."""
        fleet = SlowFleet(self._clock, delay)
        self.fleet = fleet
        return fleet

    def add_wave(self, number: int, *vm_ids: str, max_count: int = 1) -> None:
        """Requests the maintenance of VMs, one at a time by default."""
        row = self._store_wave(number, *vm_ids, max_count=max_count)
        self._waves.apply_rows((row,))

    def add_unreadable_wave(self, number: int) -> None:
        """Stores a request for a wave that can't be read."""
        row = _make_wave_row(number)
        version = self.store.put(row.row_key, b"?")
        self._waves.apply_rows((row_store.Row(row.row_key, b"?", version),))

    def load_waves(self, *requested: tuple[int, str]) -> None:
        """Replaces all requested waves, each with its number and VM."""
        for row in self.store.list_table(tables.OPERATOR):
            self.store.remove(row.row_key)
        self._waves.load_rows(
            tuple(
                self._store_wave(number, vm_id) for number, vm_id in requested
            )
        )

    def add_request(
        self, vm_id: str, wave: int, phase: str, target: str = ""
    ) -> None:
        """Stores a drain request; the owner of the VM's pool marks it."""
        request = maintenance.DrainRequest(
            vm_id, wave, maintenance.DrainPhase(phase), 60.0, 1, target
        )
        if request.phase is maintenance.DrainPhase.READY:
            tenure = self.get_tenure(self.fleet.vms[vm_id].pool)
            request = drain_marks.mark_drained(request, tenure)
        self.store_request(request)

    def store_request(self, request: maintenance.DrainRequest) -> None:
        """Stores a drain request."""
        self._put(
            fleet_cache.locate_drain_request(_FLEET, request.vm_id),
            fleet_cache.encode_drain_request(request),
        )

    def get_tenure(self, service: str) -> ownership.Tenure:
        """Returns the present tenure of a service, which has an owner."""
        row = self.store.get(tables.locate_owner(service))
        version = row.version if row else self.replace_owner(service)
        return ownership.Tenure(service, 1, version, is_first=True)

    def replace_owner(self, service: str) -> int:
        """Stores a new owner of a service; returns the row's version."""
        return self.store.put(tables.locate_owner(service), b"owner")

    def set_spare_pool_vms(self, *vm_ids: str) -> None:
        """Stores which VMs belong to the spare pool."""
        row_key = fleet_cache.locate_spare_pool_vms(_FLEET)
        self._put(row_key, msgpack.packb(list(vm_ids)))

    def set_need(self, service: str, count: int) -> None:
        """Stores how many VMs a service needs."""
        row_key = fleet_cache.locate_need(_FLEET, service)
        self._put(row_key, str(count).encode())

    def find_phase(self, vm_id: str) -> maintenance.DrainPhase | None:
        """Returns the phase of a VM's drain request."""
        request = self.cache.find(vm_id)
        return request.phase if request else None

    def mark_ready(self, vm_id: str) -> None:
        """Marks a VM as drained, as its owner does."""
        request = self.cache.find(vm_id)
        assert request is not None
        self.add_request(vm_id, request.wave, "ready")

    def read_wave_state(self, number: int) -> bytes:
        """Returns the stored state of a wave."""
        row = self.store.get(
            row_store.RowKey(tables.STATUS, "", f"wave/{number}")
        )
        return row.value if row else b""

    async def advance(self, seconds: float) -> None:
        """Lets time pass."""
        for _ in range(round(seconds / _STEP.total_seconds())):
            self._clock.advance(_STEP)
            for _ in range(30):
                await anyio.lowlevel.checkpoint()
            # The controller's loop waits on the real clock between passes.
            for listener in tuple(self.cache._listeners):
                listener()
            if self.on_step is not None and self.on_step():
                return

    async def run(self, seconds: float) -> None:
        """Runs a controller that has just taken over."""
        settings = node_world.NodeWorld().make_settings("n1")
        heartbeat = heartbeat_lib.Heartbeat(
            settings,
            "incarnation-1",
            self.store,
            directory_lib.NodeDirectory(self._clock, settings.bounds.lease),
            self._clock,
        )
        record = owner_records.OwnerRecord("n1", "incarnation-1", 2)
        version = self.store.put(
            tables.locate_owner(_FLEET), owner_records.encode_owner(record)
        )
        controller = fleet_controller.FleetController(
            ownership.Tenure(
                _FLEET,
                2,
                version,
                is_first=False,
                claimed_at=self._clock.monotonic(),
            ),
            self.store,
            self.fleet,
            self.cache,
            self._waves,
            heartbeat,
            lambda: ("desk",),
            lambda: "spares",
            settings.bounds.lease,
            self._clock,
            random.Random(1),
            instances.decode_instance,
        )
        async with anyio.create_task_group() as group:
            group.start_soon(heartbeat.run)
            group.start_soon(controller.run)
            await self.advance(seconds)
            group.cancel_scope.cancel()

    def _store_wave(
        self, number: int, *vm_ids: str, max_count: int = 1
    ) -> row_store.Row:
        row = _make_wave_row(number, *vm_ids, max_count=max_count)
        version = self.store.put(row.row_key, row.value)
        return dataclasses.replace(row, version=version)

    def _put(self, row_key: row_store.RowKey, value: bytes) -> None:
        version = self.store.put(row_key, value)
        self.cache.apply_rows((row_store.Row(row_key, value, version),))


class UpkeepOrderTest(unittest.TestCase):
    """Maintenance of two VMs, one at a time."""

    def setUp(self) -> None:
        """Requests the maintenance of two drained VMs."""
        self.world = World()
        for name in ("m-1", "m-2"):
            self.world.fleet.add_vm(name)
        self.world.add_wave(1, "m-1", "m-2")

    def test_order_without_answer_counts_until_it_is_settled(self) -> None:
        """Fails if more VMs are down than a wave allows.

        A VM was taken as free when the repeat of its order was refused, though
        the first transmission could still take it down.
        """
        self.world.fleet.replies = [Reply.LATE, Reply.OVER_RATE, Reply.LATE]
        anyio.run(self.world.run, 12)
        self.assertEqual(self.world.ordered, [("m-1", "wave 1")] * 4)

    def test_vm_that_a_former_owner_took_down_counts(self) -> None:
        """Fails if more VMs are down than a wave allows after a takeover."""
        self.world.add_request("m-1", 1, "done")
        self.world.fleet.set_state("m-1", _UPKEEP)
        anyio.run(self.world.run, 4)
        self.assertEqual(self.world.ordered, [])

    def test_refused_vm_does_not_hold_up_the_others(self) -> None:
        """Fails if an order that was surely refused uses up the limit."""
        self.world.fleet.replies = [Reply.OVER_RATE]
        anyio.run(self.world.run, 2)
        self.assertEqual(
            self.world.ordered, [("m-1", "wave 1"), ("m-2", "wave 1")]
        )

    def test_listed_vm_that_the_platform_denies_is_drained_rarely(self) -> None:
        """Fails if a listed VM is drained again and again for nothing.

        The platform answered each order that it has no such VM. The next list
        named it, so its request was opened anew at once.
        """
        self.world.add_wave(1, "m-1")
        self.world.fleet.replies = [Reply.NO_SUCH_VM] * 999
        steps_in_use = []

        def step() -> bool:
            phase = self.world.find_phase("m-1")
            steps_in_use.append(phase is maintenance.DrainPhase.DONE)
            return False

        self.world.on_step = step
        anyio.run(self.world.run, 60)
        self.assertLessEqual(len(self.world.ordered), 5)
        self.assertGreaterEqual(len(self.world.ordered), 3)
        self.assertGreater(sum(steps_in_use) / len(steps_in_use), 0.9)
        self.assertNotIn(b"completed", self.world.read_wave_state(1))

    def test_listed_vm_that_the_platform_denied_once_is_maintained(
        self,
    ) -> None:
        """Fails if one wrong answer leaves a VM of a wave out."""
        self.world.add_wave(1, "m-1")
        self.world.fleet.replies = [Reply.NO_SUCH_VM]
        anyio.run(self.world.run, 10)
        self.assertEqual(self.world.ordered, [("m-1", "wave 1")] * 2)
        self.assertIn(b"completed", self.world.read_wave_state(1))

    def test_vm_with_a_void_mark_does_not_hold_up_the_others(self) -> None:
        """Fails if a VM whose owner was replaced uses up the wave's limit.

        Its mark counts no more, and it isn't ordered before the new owner has
        drained it.
        """
        self.world.fleet.add_vm("m-1", instance_id="w1")
        self.world.add_request("m-1", 1, "ready")
        self.world.replace_owner("desk")
        anyio.run(self.world.run, 3)
        self.assertEqual(self.world.ordered, [("m-2", "wave 1")])

    def test_denied_vm_does_not_hold_up_the_others(self) -> None:
        """Fails if a VM that the platform denies having uses up the limit."""
        self.world.fleet.replies = [Reply.NO_SUCH_VM]
        anyio.run(self.world.run, 4)
        self.assertEqual(
            self.world.ordered, [("m-1", "wave 1"), ("m-2", "wave 1")]
        )


class WaveStateTest(unittest.TestCase):
    """State of a wave that operators read."""

    def test_wave_is_not_completed_by_an_incomplete_list(self) -> None:
        """Fails if a wave is completed though a VM wasn't maintained.

        A VM that one list left out was taken as removed.
        """
        world = World()
        world.fleet.add_vm("m-1")
        world.fleet.set_state("m-1", maintenance.VmState.DOWN)
        world.fleet.hidden = {"m-1"}
        world.add_wave(1, "m-1")
        anyio.run(world.run, 3)
        self.assertNotIn(b"completed", world.read_wave_state(1))

    def test_vm_in_two_waves_is_maintained_for_both(self) -> None:
        """Fails if a wave is completed by the maintenance for a later one."""
        world = World()
        world.fleet.add_vm("m-1", instance_id="w1")
        world.add_wave(1, "m-1")
        world.add_wave(2, "m-1")

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(world.run, 8)
                while b"completed" not in world.read_wave_state(2):
                    if world.find_phase("m-1") is maintenance.DrainPhase.DUE:
                        await world.advance(1)
                        world.mark_ready("m-1")
                    if world.fleet.vms["m-1"].state is _UPKEEP:
                        world.fleet.set_state("m-1", _UP)
                    await anyio.lowlevel.checkpoint()
                group.cancel_scope.cancel()

        anyio.run(run)
        self.assertEqual(world.ordered, [("m-1", "wave 1"), ("m-1", "wave 2")])


class MoveOrderTest(unittest.TestCase):
    """Moves of VMs of the spare pool."""

    def test_vm_stays_drained_while_its_move_is_postponed(self) -> None:
        """Fails if a move that is carried out late ends running units.

        A refused repeat ended the drain, so that units could start on a VM
        that the first transmission was about to move.
        """
        world = World()
        world.fleet.add_vm("m-1")
        world.set_spare_pool_vms("m-1")
        world.add_request("m-1", 0, "ready", "spares")
        world.set_need("desk", 1)
        world.fleet.replies = [Reply.LATE] + [Reply.OVER_RATE] * 9
        anyio.run(world.run, 4)
        self.assertGreater(len(world.ordered), 2)
        self.assertEqual(world.find_phase("m-1"), maintenance.DrainPhase.READY)

    def test_move_without_answer_is_repeated(self) -> None:
        """Fails if another VM moves in place of one that may have moved."""
        world = World()
        for name in ("m-1", "m-2"):
            world.fleet.add_vm(name, "spares")
        world.set_spare_pool_vms("m-1", "m-2")
        world.set_need("desk", 1)
        world.fleet.replies = [Reply.LATE, Reply.OVER_RATE]

        async def run() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(world.run, 5)
                while not world.ordered:
                    await anyio.lowlevel.checkpoint()
                world.fleet.set_state("m-1", maintenance.VmState.MOVING)

        anyio.run(run)
        self.assertEqual({name for name, _ in world.ordered}, {"m-1"})


class SideBySideTest(unittest.TestCase):
    """Many orders to a platform that takes a while to answer each."""

    def setUp(self) -> None:
        """Adds VMs of a wave, which are up without a worker, and spare VMs."""
        self.world = World()
        self.fleet = self.world.use_slow_fleet(
            datetime.timedelta(milliseconds=400)
        )
        self.wave_vms = tuple(f"m-{n}" for n in range(8))
        for name in self.wave_vms:
            self.fleet.add_vm(name)
        self.spare_vms = tuple(f"s-{n}" for n in range(6))
        for name in self.spare_vms:
            self.fleet.add_vm(name, "spares")
        self.world.set_spare_pool_vms(*self.spare_vms)

    def test_moves_are_not_held_up_by_a_wave(self) -> None:
        """Fails if a peak gets its VMs only after a wave has been gone through.

        On the large deployment no spare VM was ordered for ten seconds, while
        the controller worked on a wave, and the peak was over by then.
        """
        self.world.add_wave(1, *self.wave_vms, max_count=8)
        needed_at_s: list[float] = []

        def ask_for_vms() -> bool:
            if self.fleet.ordered_at_s and not needed_at_s:
                needed_at_s.append(self.world.now_s)
                self.world.set_need("desk", len(self.spare_vms))
            return False

        self.world.on_step = ask_for_vms
        anyio.run(self.world.run, 6)
        for name in self.spare_vms:
            delay_s = self.fleet.ordered_at_s[name, "desk"] - needed_at_s[0]
            self.assertLess(delay_s, 0.8, name)

    def test_wave_goes_up_to_its_limit_at_once(self) -> None:
        """Fails if the VMs of a wave are ordered one after the other."""
        self.world.add_wave(1, *self.wave_vms, max_count=8)
        anyio.run(self.world.run, 6)
        times = [
            self.fleet.ordered_at_s[name, "wave 1"] for name in self.wave_vms
        ]
        self.assertLess(max(times) - min(times), 0.4)

    def test_limit_holds_for_orders_side_by_side(self) -> None:
        """Fails if orders that have no answer yet don't count as down."""
        self.world.add_wave(1, *self.wave_vms, max_count=3)
        anyio.run(self.world.run, 6)
        # None of the VMs is listed as up again.
        self.assertEqual(len(self.fleet.ordered_at_s), 3)

    def test_spare_vm_serves_a_peak_before_its_maintenance(self) -> None:
        """Fails if VMs that are due for a wave don't come to a peak."""
        self.fleet.set_state("m-0", _UPKEEP)
        self.world.add_wave(1, "m-0", *self.spare_vms, max_count=1)
        self.world.add_request("m-0", 1, "done")
        for name in self.spare_vms:
            self.world.add_request(name, 1, "due")
        self.world.set_need("desk", len(self.spare_vms))
        anyio.run(self.world.run, 4)
        self.assertEqual(
            sorted(self.fleet.ordered_at_s),
            [(name, "desk") for name in self.spare_vms],
        )


if __name__ == "__main__":
    unittest.main()
