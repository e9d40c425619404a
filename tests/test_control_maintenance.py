"""The maintenance role under frozen entries, crashes and outages."""

import datetime
import random
import unittest

import anyio
import anyio.abc

from fireflywell import errors
from fireflywell.bundle import holder
from fireflywell.bundle import model
from fireflywell.control import drain_tracker
from fireflywell.control import maintenance
from fireflywell.control import vm_move_runner
from fireflywell.control import vm_store
from fireflywell.coordination import leases
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records
from fireflywell.standins import table_store
from fireflywell.telemetry import metrics
from tests import control_world
from tests import fleet_samples

_MINUTE = datetime.timedelta(minutes=1)
# Short enough that all VMs are due once in a test and long enough that none
# is due twice.
_INTERVAL = datetime.timedelta(minutes=60)


def make_bundle(
    minimum: int, pools: tuple[model.Pool, ...] = (model.Pool("quotes", 6),)
) -> model.Bundle:
    """Returns a bundle whose VMs come due after an hour."""
    return fleet_samples.make_bundle(
        pools,
        model.Budget(minimum),
        model.Maintenance(
            interval=_INTERVAL,
            wave_size=2,
            return_timeout=datetime.timedelta(seconds=60),
        ),
    )


class MaintenanceTest(unittest.TestCase):
    """Runs the role in a small world with a clock set by hand."""

    def make_world(self, minimum: int = 4) -> None:
        """Makes six VMs whose records say that maintenance is due."""
        self.table = table_store.MemoryTable()
        self.use_bundle(make_bundle(minimum))
        self.world = control_world.World(self.bundle, 6)

    def use_bundle(self, bundle: model.Bundle) -> None:
        """Puts a bundle in force."""
        self.bundle = bundle
        self.holder = holder.BundleHolder()
        self.holder.adopt(bundle)

    async def fill_table(self, pool: str = "quotes") -> None:
        """Writes the records of all VMs, never maintained."""
        writes = tuple(
            records.Write(
                vm_records.make_vm_key(vm_id),
                vm_records.encode_vm_record(vm_records.VmRecord(vm_id, pool)),
            )
            for vm_id in self.world.vms
        )
        await self.table.transact(records.Transaction("fill", (), writes))

    async def read_records(self) -> dict[str, vm_records.VmRecord]:
        """Returns the records in the table."""
        page = await self.table.scan(vm_records.VM_PREFIX)
        found = (vm_records.decode_vm_record(row.value) for row in page.rows)
        return {record.vm_id: record for record in found}

    def start_role(self, group: anyio.abc.TaskGroup, number: int) -> None:
        """Starts one process that runs the role under a lease."""
        world = self.world
        rng = random.Random(number)
        keeper = leases.LeaseKeeper(
            "maintenance", f"c{number}", self.table, world.clock, rng
        )
        table = leases.FencedTable(self.table, keeper)
        context = vm_move_runner.VmMoveContext(
            store=vm_store.VmStore(table, world.clock, rng),
            table=table,
            view=world.view,
            vm_list=world,
            workers=world,
            prober=world,
            tracker=drain_tracker.DrainTracker(world),
            list_instances=world.list_instances,
            clock=world.clock,
        )
        role = maintenance.MaintenanceRole(
            self.holder, context, metrics.NullMetrics(), lambda _: ()
        )

        async def run() -> None:
            while True:
                lease = await keeper.wait_until_held()
                try:
                    await role.run(lease)
                except* errors.LeaseLostError:
                    pass

        group.start_soon(keeper.run)
        group.start_soon(run)

    def test_every_vm_is_maintained_once_and_nothing_is_cut(self) -> None:
        """Fails if a wave misses a VM, repeats one or cuts off a request."""
        anyio.run(self.check_wave, 0)

    def test_any_process_resumes_after_a_crash(self) -> None:
        """Fails if a crash between two steps loses or repeats a reboot."""
        for seed in range(12):
            anyio.run(self.check_wave, seed + 1)

    async def check_wave(self, seed: int) -> None:
        """Runs until all VMs are done, killing processes if there's a seed."""
        self.make_world()
        await self.fill_table()
        rng = random.Random(seed)
        for number in range(30):
            async with anyio.create_task_group() as group:
                self.start_role(group, number)
                pause = rng.uniform(8, 30) if seed else 900
                await self.world.run_for(datetime.timedelta(seconds=pause))
                group.cancel_scope.cancel()
            if not seed:
                break
        self.assertEqual(sorted(self.world.reboots), sorted(self.world.vms))
        self.assertEqual(self.world.cut, [])
        for record in (await self.read_records()).values():
            self.assertEqual(record.phase, vm_records.VmPhase.SERVING)
            self.assertGreater(record.maintained_at, 0)

    def test_frozen_entry_holds_the_reboot_up(self) -> None:
        """Fails if a reboot cuts off the request of a frozen entry."""
        anyio.run(self.check_frozen)

    async def check_frozen(self) -> None:
        """Freezes an entry with a request on each VM, then wakes it."""
        self.make_world()
        await self.fill_table()
        frozen = self.world.entries[1]
        frozen.is_frozen = True
        async with anyio.create_task_group() as group:
            self.start_role(group, 1)
            await self.world.run_for(10 * _MINUTE)
            self.assertEqual(self.world.reboots, [])
            frozen.is_frozen = False
            frozen.arriving = dict.fromkeys(self.world.vms, 1)
            await self.world.run_for(_MINUTE)
            self.assertEqual(self.world.reboots, [])
            frozen.arriving = {}
            await self.world.run_for(10 * _MINUTE)
            group.cancel_scope.cancel()
        self.assertEqual(len(self.world.reboots), 6)
        self.assertEqual(self.world.cut, [])

    def test_failures_hold_the_wave_and_undo_drains(self) -> None:
        """Fails if a wave goes on after failures have used the budget."""
        anyio.run(self.check_failures)

    async def check_failures(self) -> None:
        """Fails VMs while others drain, then brings them back."""
        self.make_world(minimum=4)
        await self.fill_table()
        self.world.entries[0].in_progress = dict.fromkeys(self.world.vms, 1)
        async with anyio.create_task_group() as group:
            self.start_role(group, 1)
            await self.world.run_for(datetime.timedelta(seconds=20))
            draining = [
                record.vm_id
                for record in (await self.read_records()).values()
                if record.phase is vm_records.VmPhase.DRAINING
            ]
            self.assertTrue(draining)
            others = sorted(set(self.world.vms) - set(draining))
            self.world.down_instances = set(others[:2])
            await self.world.run_for(datetime.timedelta(seconds=20))
            for record in (await self.read_records()).values():
                if record.vm_id not in self.world.down_instances:
                    self.assertEqual(record.phase, vm_records.VmPhase.SERVING)
            self.world.entries[0].in_progress = {}
            self.world.down_instances = set()
            await self.world.run_for(15 * _MINUTE)
            group.cancel_scope.cancel()
        self.assertEqual(len(self.world.reboots), 6)

    def test_wave_that_never_returns_stops_the_next(self) -> None:
        """Fails if waves go on while a whole wave is missing."""
        anyio.run(self.check_never_back)

    async def check_never_back(self) -> None:
        """Lets no rebooted VM come back."""
        self.make_world(minimum=1)
        await self.fill_table()
        self.world.reboot_time = datetime.timedelta(days=1)
        async with anyio.create_task_group() as group:
            self.start_role(group, 1)
            await self.world.run_for(10 * _MINUTE)
            group.cancel_scope.cancel()
        self.assertEqual(len(self.world.reboots), 1)

    def test_store_outage_only_delays_the_wave(self) -> None:
        """Fails if an outage leads to a second reboot or a lost VM."""
        anyio.run(self.check_outage)

    async def check_outage(self) -> None:
        """Takes the store down and loses answers again and again."""
        self.make_world()
        await self.fill_table()
        async with anyio.create_task_group() as group:
            self.start_role(group, 1)
            for number in range(20):
                await self.world.run_for(datetime.timedelta(seconds=15))
                self.table.set_down(number % 3 == 1)
                if number % 3 == 2:
                    self.table.lose_answers(3)
            self.table.set_down(False)
            await self.world.run_for(15 * _MINUTE)
            group.cancel_scope.cancel()
        self.assertEqual(sorted(self.world.reboots), sorted(self.world.vms))

    def test_two_processes_share_one_role(self) -> None:
        """Fails if two processes plan at once and move a VM twice."""
        anyio.run(self.check_two)

    async def check_two(self) -> None:
        """Moves two VMs to a new pool while two processes contend."""
        self.make_world()
        await self.fill_table()
        pools = (model.Pool("quotes", 4), model.Pool("bonds", 2))
        self.use_bundle(make_bundle(2, pools))
        self.world.bundle = self.bundle
        async with anyio.create_task_group() as group:
            self.start_role(group, 1)
            self.start_role(group, 2)
            await self.world.run_for(20 * _MINUTE)
            group.cancel_scope.cancel()
        names = [r.pool for r in (await self.read_records()).values()]
        self.assertEqual(sorted(names), ["bonds"] * 2 + ["quotes"] * 4)
        self.assertEqual(len(self.world.reboots), len(set(self.world.reboots)))
