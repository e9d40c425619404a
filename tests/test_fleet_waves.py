"""Maintenance waves keep every availability budget while VMs fail."""

import dataclasses
import datetime
import unittest

from hypothesis import stateful
from hypothesis import strategies

from fireflywell.bundle import model
from fireflywell.fleet import moves
from fireflywell.fleet import vm_records
from fireflywell.fleet import waves
from tests import fleet_samples
from tests import fuzz_settings

NOW = datetime.datetime(2026, 6, 1, tzinfo=datetime.UTC)
BUDGET = model.Budget(3, model.FailureDomain.ZONE)
POOLS = (model.Pool("quotes", 9), model.Pool("bonds", 9))


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Fails VMs and plans waves; fails if a wave breaks a budget."""

    def __init__(self) -> None:
        super().__init__()
        self.vms = fleet_samples.make_vms(18)
        self.bundle = fleet_samples.make_bundle(
            POOLS, BUDGET, model.Maintenance(wave_size=3)
        )
        self.records = {
            vm.vm_id: vm_records.VmRecord(vm.vm_id, POOLS[number // 9].name)
            for number, vm in enumerate(self.vms)
        }
        self.failed: frozenset[str] = frozenset()

    def count_left(self, pool: str) -> int:
        """Counts a pool's serving VMs after the loss of its largest zone."""
        zones = [
            vm.zone
            for vm in self.vms
            if self.records[vm.vm_id].pool == pool
            and self.records[vm.vm_id].phase is vm_records.VmPhase.SERVING
            and vm.vm_id not in self.failed
        ]
        return len(zones) - max((zones.count(z) for z in "abc"), default=0)

    @stateful.rule(number=strategies.integers(0, 17))
    def fail_vm(self, number: int) -> None:
        """Makes a VM fail outside any wave."""
        self.failed |= {self.vms[number].vm_id}

    @stateful.rule()
    def return_all(self) -> None:
        """Brings the failed VMs back."""
        self.failed = frozenset()

    @stateful.rule()
    def finish_wave(self) -> None:
        """Ends the maintenance of all VMs."""
        for vm_id, record in self.records.items():
            if record.phase is not vm_records.VmPhase.SERVING:
                self.records[vm_id] = vm_records.VmRecord(
                    vm_id, record.pool, maintained_at=int(NOW.timestamp())
                )

    @stateful.rule()
    def plan(self) -> None:
        """Plans a wave and checks the budgets that remain."""
        assignments = tuple(self.records.values())
        health = fleet_samples.make_health(
            self.bundle, self.vms, assignments, self.failed
        )
        state = waves.FleetState(self.vms, assignments, health)
        decision = waves.plan_wave(self.bundle, state, NOW)
        if not isinstance(decision, waves.DrainVms):
            return
        served = {
            self.records[vm_id].pool
            for vm_id in decision.vm_ids
            if vm_id not in self.failed
        }
        for vm_id in decision.vm_ids:
            self.records[vm_id] = moves.start_maintenance(
                self.records[vm_id], "m1"
            )
        for pool in served:
            assert self.count_left(pool) >= BUDGET.minimum_instances
        busy = [
            vm
            for vm in self.vms
            if self.records[vm.vm_id].phase is not vm_records.VmPhase.SERVING
        ]
        assert len({(vm.zone, vm.rack) for vm in busy}) <= 1
        assert len(busy) <= 3


BudgetMachine.TestCase.settings = fuzz_settings.make_settings(80, 30)


class BudgetFuzzTest(BudgetMachine.TestCase):  # type: ignore[misc,name-defined]
    """Guards against a wave that leaves a service below its budget."""


class WaveTest(unittest.TestCase):
    """Single decisions about waves."""

    def setUp(self) -> None:
        """Makes a fleet of one pool."""
        self.vms = fleet_samples.make_vms(18)
        self.bundle = fleet_samples.make_bundle(
            (model.Pool("quotes", 18),), BUDGET, model.Maintenance(wave_size=2)
        )
        self.records = tuple(
            vm_records.VmRecord(vm.vm_id, "quotes") for vm in self.vms
        )

    def plan(
        self,
        assignments: tuple[vm_records.VmRecord, ...],
        overdue: frozenset[str] = frozenset(),
    ) -> waves.WaveDecision:
        """Plans with all listed VMs healthy."""
        health = fleet_samples.make_health(
            self.bundle, self.vms, assignments, frozenset()
        )
        state = waves.FleetState(self.vms, assignments, health, overdue)
        return waves.plan_wave(self.bundle, state, NOW)

    def test_wave_that_does_not_return_stops_the_next(self) -> None:
        """Fails if a wave starts while the whole last one hasn't returned."""
        first = self.plan(self.records)
        assert isinstance(first, waves.DrainVms)
        drained = tuple(
            moves.start_maintenance(item, "m1")
            if item.vm_id in first.vm_ids[:1]
            else item
            for item in self.records
        )
        self.assertIsInstance(self.plan(drained), waves.DrainVms)
        held = self.plan(drained, frozenset(first.vm_ids[:1]))
        assert isinstance(held, waves.WaveHeld)
        self.assertIn(first.vm_ids[0], held.reason)

    def test_held_wave_resumes_by_itself(self) -> None:
        """Fails if a wave held by failures isn't planned again later."""
        failed = frozenset(vm.vm_id for vm in self.vms if vm.zone != "a")
        health = fleet_samples.make_health(
            self.bundle, self.vms, self.records, failed
        )
        state = waves.FleetState(self.vms, self.records, health)
        held = waves.plan_wave(self.bundle, state, NOW)
        if isinstance(held, waves.DrainVms):
            self.assertLessEqual(set(held.vm_ids), failed)
        self.assertIsInstance(self.plan(self.records), waves.DrainVms)

    def test_recently_maintained_vms_are_not_due(self) -> None:
        """Fails if a VM is rebooted more often than the interval requires."""
        recent = int((NOW - datetime.timedelta(days=20)).timestamp())
        maintained = tuple(
            dataclasses.replace(item, maintained_at=recent)
            for item in self.records
        )
        self.assertIsInstance(self.plan(maintained), waves.NothingDue)

    def test_pace_names_the_binding_constraint(self) -> None:
        """Fails if an interval that can't be met isn't reported."""
        met = waves.check_pace(
            self.bundle, self.vms, self.records, datetime.timedelta(hours=1)
        )
        self.assertIsInstance(met, waves.PaceMet)
        missed = waves.check_pace(
            self.bundle, self.vms, self.records, datetime.timedelta(days=3)
        )
        assert isinstance(missed, waves.PaceMissed)
        self.assertIn("wave_size", missed.constraint)
        tight = fleet_samples.make_bundle(
            (model.Pool("quotes", 18),), model.Budget(18)
        )
        never = waves.check_pace(
            tight, self.vms, self.records, datetime.timedelta(hours=1)
        )
        assert isinstance(never, waves.PaceMissed)
        self.assertIn("budget needs 18", never.constraint)
