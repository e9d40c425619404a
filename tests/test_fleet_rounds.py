"""Planning rounds with VMs and services grouped by rack and pool."""

import dataclasses
import datetime
import unittest

from fireflywell.bundle import model
from fireflywell.fleet import instances
from fireflywell.fleet import vm_records
from fireflywell.fleet import waves
from tests import fleet_samples

NOW = datetime.datetime(2026, 6, 1, tzinfo=datetime.UTC)
POOLS = (model.Pool("quotes", 6), model.Pool("bonds", 6))


class RoundTest(unittest.TestCase):
    """Choice of the rack, and instances of several services in a pool."""

    def setUp(self) -> None:
        """Makes two pools; each rack holds one VM of each."""
        self.vms = fleet_samples.make_vms(12)
        self.bundle = fleet_samples.make_bundle(POOLS, model.Budget(5))
        self.records = tuple(
            vm_records.VmRecord(
                vm.vm_id, POOLS[number // 6].name, maintained_at=100 - number
            )
            for number, vm in enumerate(self.vms)
        )

    def plan(self, failed: frozenset[str]) -> waves.WaveDecision:
        """Plans a wave while some VMs don't answer."""
        health = fleet_samples.make_health(
            self.bundle, self.vms, self.records, failed
        )
        state = waves.FleetState(self.vms, self.records, health)
        return waves.plan_wave(self.bundle, state, NOW)

    def test_rack_of_longest_due_vm_goes_first(self) -> None:
        """Fails if a rack waits for one whose VMs became due later."""
        decision = self.plan(frozenset())
        self.assertEqual(waves.DrainVms("c", "r5", ("vm11", "vm05")), decision)

    def test_rack_without_budget_does_not_block_the_next(self) -> None:
        """Fails if a wave is held because of the first rack's budgets."""
        # One bond VM is missing, so no other one may leave; the next rack's
        # quote VM may.
        recent = dataclasses.replace(
            self.records[5], maintained_at=int(NOW.timestamp())
        )
        self.records = (*self.records[:5], recent, *self.records[6:])
        decision = self.plan(frozenset(("vm06",)))
        self.assertEqual(waves.DrainVms("b", "r4", ("vm04",)), decision)

    def test_pool_of_two_services_has_instances_of_both(self) -> None:
        """Fails if only one of a pool's services counts."""
        second = dataclasses.replace(
            self.bundle.services[0], name="renewals", port=9001
        )
        bundle = dataclasses.replace(
            self.bundle, services=(*self.bundle.services, second)
        )
        found = instances.list_instances(bundle, self.vms, self.records)
        names = [item.instance_id for item in found if item.vm_id == "vm00"]
        self.assertEqual(["quotes@vm00", "renewals@vm00"], names)
        tight = dataclasses.replace(second, budget=model.Budget(6))
        bundle = dataclasses.replace(
            bundle, services=(*self.bundle.services, tight)
        )
        pace = waves.check_pace(
            bundle, self.vms, self.records, datetime.timedelta(minutes=1)
        )
        assert isinstance(pace, waves.PaceMet)
        # The quote VMs of all six racks are held by the second service, so
        # each rack's two VMs go one after the other.
        self.assertEqual(datetime.timedelta(minutes=12), pace.needed)
