"""Moves, maintenance and pool assignment of VMs, and demand tracking."""

import dataclasses
import datetime
import itertools
import unittest

from hypothesis import stateful
from hypothesis import strategies

from fireflywell.bundle import model
from fireflywell.fleet import assignment
from fireflywell.fleet import demand
from fireflywell.fleet import moves
from fireflywell.fleet import vm_records
from tests import fleet_samples
from tests import fuzz_settings

NOW = datetime.datetime(2026, 6, 1, tzinfo=datetime.UTC)
ENTRIES = ("e1", "e2", "e3")


class MoveMachine(stateful.RuleBasedStateMachine):
    """Two movers with stale copies of a VM's row, and three entries that send.

    Fails if a reboot or a change of pool happens while requests are in progress
    on the VM, or if the pool changes in a phase other than empty.
    """

    def __init__(self) -> None:
        super().__init__()
        self.row = vm_records.VmRecord("vm1", "old")
        self.version = 1
        self.copies = {"m1": (self.row, 1), "m2": (self.row, 1)}
        self.views = dict.fromkeys(ENTRIES, self.row)
        self.sent = dict.fromkeys(ENTRIES, 0)
        self.boot = 1
        self.is_healthy = True

    @stateful.rule(mover=strategies.sampled_from(("m1", "m2")))
    def read(self, mover: str) -> None:
        """Refreshes a mover's copy."""
        self.copies[mover] = (self.row, self.version)

    @stateful.rule(entry=strategies.sampled_from(ENTRIES))
    def learn(self, entry: str) -> None:
        """Refreshes an entry's view with the current record."""
        self.views[entry] = self.row

    @stateful.rule(entry=strategies.sampled_from(ENTRIES))
    def send(self, entry: str) -> None:
        """An entry sends a request if the VM serves in its view."""
        if self.views[entry].phase is vm_records.VmPhase.SERVING:
            self.sent[entry] += 1

    @stateful.rule(entry=strategies.sampled_from(ENTRIES))
    def answer(self, entry: str) -> None:
        """All requests of an entry complete."""
        self.sent[entry] = 0

    @stateful.rule(
        mover=strategies.sampled_from(("m1", "m2")),
        is_move=strategies.booleans(),
    )
    def start(self, mover: str, is_move: bool) -> None:
        """A mover starts a move or a maintenance."""
        record, version = self.copies[mover]
        if record.phase is not vm_records.VmPhase.SERVING:
            return
        started = (
            moves.start_move(record, f"{mover}-{version}", "new")
            if is_move
            else moves.start_maintenance(record, f"{mover}-{version}")
        )
        self.write(mover, started, version)

    @stateful.rule(mover=strategies.sampled_from(("m1", "m2")))
    def undo(self, mover: str) -> None:
        """A mover undoes a drain."""
        record, version = self.copies[mover]
        undone = moves.undo_drain(record)
        if undone is not None:
            self.write(mover, undone, version)

    @stateful.rule(mover=strategies.sampled_from(("m1", "m2")))
    def step(self, mover: str) -> None:
        """A mover takes the next step, by its copy and its observations."""
        record, version = self.copies[mover]
        unconfirmed = tuple(
            name
            for name in ENTRIES
            if self.views[name].move_id != record.move_id
            or self.views[name].phase is vm_records.VmPhase.SERVING
            or self.sent[name]
        )
        drain = moves.DrainStatus(unconfirmed, sum(self.sent.values()), 0)
        vm = moves.VmObservation(True, self.boot, self.is_healthy)
        match moves.decide_next_step(record, drain, vm, NOW):
            case moves.WriteRecord(record=new):
                self.write(mover, new, version)
            case moves.RequestReboot():
                # Only a holder whose copy is current makes the call: otherwise
                # its fencing token is rejected.
                if version == self.version:
                    assert not any(self.sent.values()), "requests were cut"
                    self.boot += 1
            case _:
                pass

    def write(
        self, mover: str, record: vm_records.VmRecord, version: int
    ) -> None:
        """Writes by compare-and-set."""
        if version != self.version:
            return
        if record.pool != self.row.pool:
            assert self.row.phase is vm_records.VmPhase.EMPTY
            assert not any(self.sent.values()), "requests ran at the move"
        self.row = record
        self.version += 1
        self.copies[mover] = (record, self.version)


MoveMachine.TestCase.settings = fuzz_settings.make_settings(150, 40)


class MoveFuzzTest(MoveMachine.TestCase):  # type: ignore[misc,name-defined]
    """Guards against a reboot or move of a VM with requests in progress."""


class StepTest(unittest.TestCase):
    """Single steps of a move or maintenance."""

    def test_vm_with_possible_work_is_not_drained(self) -> None:
        """Fails if a VM counts as drained while work may still run on it."""
        record = moves.start_maintenance(
            vm_records.VmRecord("vm1", "quotes"), "m1"
        )
        free = moves.DrainStatus((), 0, 0)
        vm = moves.VmObservation(True, 1, True)
        for drain in (
            dataclasses.replace(free, unconfirmed=("frozen-entry",)),
            dataclasses.replace(free, endpoint_in_progress=None),
            dataclasses.replace(free, endpoint_in_progress=1),
            dataclasses.replace(free, running_tasks=None),
            dataclasses.replace(free, running_tasks=2),
        ):
            step = moves.decide_next_step(record, drain, vm, NOW)
            self.assertIsInstance(step, moves.WaitFor)
        step = moves.decide_next_step(record, free, vm, NOW)
        self.assertIsInstance(step, moves.WriteRecord)

    def test_reboot_is_requested_until_the_boot_count_rises(self) -> None:
        """Fails if a lost reboot call leaves the VM out of service."""
        record = vm_records.VmRecord(
            "vm1", "quotes", vm_records.VmPhase.REBOOTING, "m1", boot=3
        )
        drain = moves.DrainStatus((), 0, 0)
        lost = moves.VmObservation(True, 3, True)
        self.assertEqual(
            moves.decide_next_step(record, drain, lost, NOW),
            moves.RequestReboot("vm1"),
        )
        back = moves.VmObservation(True, 4, True)
        step = moves.decide_next_step(record, drain, back, NOW)
        assert isinstance(step, moves.WriteRecord)
        self.assertEqual(step.record.phase, vm_records.VmPhase.SERVING)
        self.assertEqual(step.record.maintained_at, int(NOW.timestamp()))


class AssignmentTest(unittest.TestCase):
    """New VMs and moves between pools."""

    def plan(
        self, sizes: tuple[int, ...], records: dict[str, str]
    ) -> list[assignment.Assignment]:
        """Plans for pools p0, p1, ... with these targets."""
        pools = tuple(
            model.Pool(f"p{number}", size) for number, size in enumerate(sizes)
        )
        bundle = fleet_samples.make_bundle(pools, model.Budget(0))
        targets = tuple(
            demand.PoolTarget(pool.name, pool.target_vms) for pool in pools
        )
        assignments = tuple(
            vm_records.VmRecord(vm_id, pool) for vm_id, pool in records.items()
        )
        return list(
            assignment.plan_assignments(
                bundle,
                targets,
                fleet_samples.make_vms(12),
                assignments,
                frozenset(("gone",)),
            )
        )

    def test_new_vms_fill_pools_evenly_over_zones(self) -> None:
        """Fails if a pool's new VMs share one zone."""
        plan = self.plan((6, 6), {})
        zones = {vm.vm_id: vm.zone for vm in fleet_samples.make_vms(12)}
        for pool in ("p0", "p1"):
            members = [
                zones[item.vm_id]
                for item in plan
                if isinstance(item, assignment.AssignVm) and item.pool == pool
            ]
            self.assertEqual(sorted(members), ["a", "a", "b", "b", "c", "c"])

    def test_moves_are_the_fewest_that_meet_the_targets(self) -> None:
        """Fails if VMs move although a new one fills the gap."""
        names = [vm.vm_id for vm in fleet_samples.make_vms(12)]
        records = dict.fromkeys(names[:11], "p0")
        plan = self.plan((9, 3), records)
        kinds = [type(item) for item in plan]
        self.assertEqual(kinds.count(assignment.AssignVm), 1)
        self.assertEqual(kinds.count(assignment.MoveVm), 2)

    def test_short_absence_moves_no_vm(self) -> None:
        """Fails if a VM that is briefly missing from the list is replaced."""
        names = [vm.vm_id for vm in fleet_samples.make_vms(12)]
        records = dict.fromkeys(names[:7], "p0")
        records |= dict.fromkeys(names[7:], "p1") | {"unlisted": "p1"}
        self.assertEqual(self.plan((6, 6), records), [])

    def test_only_vms_that_count_as_removed_lose_their_record(self) -> None:
        """Fails if a lagging VM list deletes the record of a live VM."""
        plan = self.plan((12,), {"gone": "p0", "unlisted": "p0"})
        removed = [
            item.vm_id for item in plan if isinstance(item, assignment.RemoveVm)
        ]
        self.assertEqual(removed, ["gone"])

    def test_system_vms_join_no_pool(self) -> None:
        """Fails if a VM that runs system processes is assigned to a pool."""
        vms = tuple(
            dataclasses.replace(vm, is_system=True)
            for vm in fleet_samples.make_vms(1)
        )
        bundle = fleet_samples.make_bundle(
            (model.Pool("p0", 2),), model.Budget(0)
        )
        targets = (demand.PoolTarget("p0", 2),)
        plan = assignment.plan_assignments(
            bundle, targets, vms, (), frozenset()
        )
        self.assertEqual(list(plan), [])


class DemandTest(unittest.TestCase):
    """Target sizes under lasting shifts and short peaks of demand."""

    def run_load(self, busy: list[float]) -> demand.DemandTracker:
        """Feeds one observation every ten seconds."""
        tracker = demand.DemandTracker()
        pools = (model.Pool("quotes", 6, 4, 12),)
        self.targets = []
        for number, value in enumerate(busy):
            now = datetime.timedelta(seconds=10 * number)
            tracker.observe(pools, (demand.PoolDemand("quotes", value),), now)
            self.targets.append(tracker.list_targets(pools)[0].vms)
        return tracker

    def test_peaks_of_seconds_move_no_vm(self) -> None:
        """Fails if a queue's five-fold peak moves VMs."""
        period = [3.6 * 5] * 3 + [3.6 / 20] * 13
        tracker = self.run_load(period * 60)
        self.assertEqual(set(self.targets), {6})
        self.assertGreater(tracker.moves_saved, 100)

    def test_lasting_shift_is_followed_once(self) -> None:
        """Fails if a lasting shift isn't followed or makes VMs move often."""
        self.run_load([3.6] * 360 + [6.0] * 2_000)
        self.assertEqual(self.targets[-1], 10)
        changes = sum(1 for a, b in itertools.pairwise(self.targets) if a != b)
        self.assertLessEqual(changes, 4)

    def test_demand_near_a_boundary_moves_no_vm(self) -> None:
        """Fails if VMs move back and forth while demand varies slightly."""
        swing = [3.5] * 1_000 + [3.7] * 1_000
        self.run_load(swing * 5)
        changes = sum(a != b for a, b in itertools.pairwise(self.targets))
        self.assertEqual(changes, 0)
