"""Tests of the maintenance role under frozen entries, crashes and outages."""

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
    """Returns a bundle with a maintenance interval of one hour."""
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
    """Runs the role on a simulated fleet with a manual clock."""

    def make_world(self, minimum: int = 4) -> None:
        """Creates a fleet of six VMs, an empty table and a bundle."""
        self.table = table_store.MemoryTable()
        self.use_bundle(make_bundle(minimum))
        self.world = control_world.World(self.bundle, 6)

    def use_bundle(self, bundle: model.Bundle) -> None:
        """Puts a bundle in force."""
        self.bundle = bundle
        self.holder = holder.BundleHolder()
        self.holder.adopt(bundle)

    async def fill_table(self, pool: str = "quotes") -> None:
        """Writes a record for each VM; all are due, as none was maintained."""
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
        """Starts a process that runs the role while it holds the lease."""
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
        """Guards against VMs skipped or repeated and requests cut off."""
        anyio.run(self.check_wave, 0)

    def test_any_process_resumes_after_a_crash(self) -> None:
        """Guards against a reboot lost or repeated by a crash between steps."""
        for seed in range(12):
            anyio.run(self.check_wave, seed + 1)

    async def check_wave(self, seed: int) -> None:
        """Runs until all VMs are maintained; a seed adds crashes.

        With a seed other than 0, each process is cancelled after 8 to 30 s and
        a new one started.
        """
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
        self.assertEqual(self.world.cut_off_entries, [])
        for record in (await self.read_records()).values():
            self.assertEqual(record.phase, vm_records.VmPhase.SERVING)
            self.assertGreater(record.maintained_at, 0)

    def test_frozen_entry_holds_the_reboot_up(self) -> None:
        """Guards against a reboot that cuts off requests of a frozen entry.

        The entry can't confirm the drain while it's frozen, so the VM must not
        be rebooted until it has.
        """
        anyio.run(self.check_frozen_entry)

    async def check_frozen_entry(self) -> None:
        """Freezes an entry, then resumes it with requests in transit."""
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
        self.assertEqual(self.world.cut_off_entries, [])

    def test_failures_hold_the_wave_and_undo_drains(self) -> None:
        """Guards against drains that go on after failures use up the budget."""
        anyio.run(self.check_failures)

    async def check_failures(self) -> None:
        """Takes instances down while other VMs drain, then restores them."""
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
        """Guards against further waves while a whole wave is missing."""
        anyio.run(self.check_vms_never_return)

    async def check_vms_never_return(self) -> None:
        """Runs waves whose VMs never return from their reboot."""
        self.make_world(minimum=1)
        await self.fill_table()
        self.world.reboot_duration = datetime.timedelta(days=1)
        async with anyio.create_task_group() as group:
            self.start_role(group, 1)
            await self.world.run_for(10 * _MINUTE)
            group.cancel_scope.cancel()
        self.assertEqual(len(self.world.reboots), 1)

    def test_store_outage_only_delays_the_wave(self) -> None:
        """Guards against a skipped or repeated reboot after a store outage."""
        anyio.run(self.check_outage)

    async def check_outage(self) -> None:
        """Alternates outages of the store with lost replies to its writes."""
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
        """Guards against two processes that both plan and move a VM twice."""
        anyio.run(self.check_two_processes)

    async def check_two_processes(self) -> None:
        """Moves two VMs to a new pool; two processes compete for the lease."""
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
