"""Days of a deployment's pools: moves, waves and failures on a manual clock."""

from collections.abc import Iterator
import dataclasses
import datetime
import math
import random

import fleet_load

from fireflywell.fleet import assignment
from fireflywell.fleet import budgets
from fireflywell.fleet import demand
from fireflywell.fleet import moves
from fireflywell.fleet import vm_records
from fireflywell.fleet import waves
from fireflywell.infrastructure import records

STEP_SECONDS = 5
_START = datetime.datetime(2026, 6, 1, tzinfo=datetime.UTC)
_MOVE_SECONDS = 60
_MAINTENANCE_SECONDS = 300
_ABSENT_SECONDS = 60
# A day of the model maintains every VM once instead of three weeks, so that
# many waves meet the shifts and the failures.
_INTERVAL = datetime.timedelta(days=1)
_TIME_PER_VM = datetime.timedelta(seconds=_MAINTENANCE_SECONDS)


@dataclasses.dataclass(frozen=True, slots=True)
class Outage:
    """VMs that are away for a time."""

    begin: int
    end: int
    vm_ids: frozenset[str]


@dataclasses.dataclass(slots=True)
class DayTotals:
    """What was counted; sums are in VM-seconds.

    Attributes:
        demand: Work.
        held: VMs that serve.
        asked: VMs that the targets ask for.
        followed: VMs that a planner following each observation asks for.
        short: Demand of pools beyond the VMs that serve them.
        moves: VM moves started.
        refused_moves: Rounds in which a planned move was refused.
        saved_moves: Moves of a planner following each observation.
        maintained: VMs that finished maintenance.
        below_budget: Seconds in which a service's minimum wasn't met.
        removed: Records removed of VMs that were away.
        rejoined: Of these, VMs that came back into another pool.
    """

    demand: float = 0.0
    held: float = 0.0
    asked: float = 0.0
    followed: float = 0.0
    short: float = 0.0
    moves: int = 0
    refused_moves: int = 0
    saved_moves: int = 0
    maintained: int = 0
    below_budget: int = 0
    removed: int = 0
    rejoined: int = 0


def list_outages(
    vms: tuple[records.Vm, ...], duration: int, rng: random.Random
) -> Iterator[Outage]:
    """Yields VM failures each 4 hours, and one rack and one zone a day."""
    for begin in range(3_600, duration, 4 * 3_600):
        failed = rng.choice(vms).vm_id
        yield Outage(begin, begin + 600, frozenset((failed,)))
    for day in range(0, duration, fleet_load.DAY_SECONDS):
        rack = rng.choice(vms).rack
        begin = day + rng.randrange(6 * 3_600, 10 * 3_600)
        members = frozenset(vm.vm_id for vm in vms if vm.rack == rack)
        yield Outage(begin, begin + 1_200, members)
        zone = rng.choice(vms).zone
        begin = day + rng.randrange(14 * 3_600, 18 * 3_600)
        members = frozenset(vm.vm_id for vm in vms if vm.zone == zone)
        yield Outage(begin, begin + 600, members)


class FleetDay:
    """Runs the decisions of the fleet against a generated load."""

    __slots__ = ("_absent_since", "_bundle", "_deployment", "_done_at",
                 "_former_pools", "_outages", "_random", "_records", "_tracker",
                 "totals")  # fmt: skip

    def __init__(
        self,
        deployment: fleet_load.Deployment,
        duration: int,
        seed: int,
        has_outages: bool = True,
    ) -> None:
        """Prepares the fleet with 6 VMs in each pool.

        Args:
            deployment: Deployment to run.
            duration: Length in seconds, for the outages.
            seed: Seed of all random numbers.
            has_outages: Whether VMs, racks and zones fail.
        """
        self._deployment = deployment
        self._bundle = dataclasses.replace(
            deployment.bundle,
            maintenance=dataclasses.replace(
                deployment.bundle.maintenance, interval=_INTERVAL
            ),
        )
        self._random = random.Random(seed)
        self._outages = tuple(
            list_outages(
                deployment.vms, duration if has_outages else 0, self._random
            )
        )
        self._tracker = demand.DemandTracker()
        pools = self._bundle.pools
        # VM numbers go round the zones, so blocks of six cover all zones.
        self._records = {
            vm.vm_id: vm_records.VmRecord(
                vm.vm_id,
                pools[number // fleet_load.POOL_VMS].name,
                maintained_at=int(_START.timestamp()) - number * 1_800,
            )
            for number, vm in enumerate(deployment.vms)
        }
        self._done_at: dict[str, int] = {}
        self._absent_since: dict[str, int] = {}
        self._former_pools: dict[str, str] = {}
        self.totals = DayTotals()

    def run(self, duration: int) -> DayTotals:
        """Runs for some seconds and returns what was counted."""
        for seconds in range(0, duration, STEP_SECONDS):
            self._run_step(seconds)
        self.totals.saved_moves = self._tracker.moves_saved
        return self.totals

    def _run_step(self, seconds: int) -> None:
        vms = self._list_vms(seconds)
        self._finish_steps(seconds, vms)
        observed = fleet_load.observe_demand(
            self._deployment.queues, seconds, self._random
        )
        now = datetime.timedelta(seconds=seconds)
        self._tracker.observe(self._bundle.pools, observed, now)
        targets = self._tracker.list_targets(self._bundle.pools)
        plan = assignment.plan_assignments(
            self._bundle,
            targets,
            vms,
            tuple(self._records.values()),
            self._find_gone(seconds, vms),
        )
        for change in tuple(plan):
            self._apply(change, vms, seconds)
        self._start_wave(vms, seconds)
        self._count(vms, targets, observed, seconds)

    def _list_vms(self, seconds: int) -> tuple[records.Vm, ...]:
        away = frozenset[str]().union(
            *(
                outage.vm_ids
                for outage in self._outages
                if outage.begin <= seconds < outage.end
            )
        )
        return tuple(vm for vm in self._deployment.vms if vm.vm_id not in away)

    def _find_gone(
        self, seconds: int, vms: tuple[records.Vm, ...]
    ) -> frozenset[str]:
        listed = {vm.vm_id for vm in vms}
        for vm_id in listed:
            self._absent_since.pop(vm_id, None)
        for vm_id in self._records.keys() - listed:
            self._absent_since.setdefault(vm_id, seconds)
        return frozenset(
            vm_id
            for vm_id, since in self._absent_since.items()
            if vm_id in self._records and seconds - since >= _ABSENT_SECONDS
        )

    def _finish_steps(self, seconds: int, vms: tuple[records.Vm, ...]) -> None:
        listed = {vm.vm_id for vm in vms}
        for vm_id, done_at in tuple(self._done_at.items()):
            record = self._records.get(vm_id)
            if record is None:
                del self._done_at[vm_id]
            elif seconds >= done_at and vm_id in listed:
                del self._done_at[vm_id]
                self._records[vm_id] = self._finish(record, seconds)

    def _finish(
        self, record: vm_records.VmRecord, seconds: int
    ) -> vm_records.VmRecord:
        maintained = record.maintained_at
        if not record.target_pool:
            maintained = int(_START.timestamp()) + seconds
            self.totals.maintained += 1
        return vm_records.VmRecord(
            record.vm_id,
            record.target_pool or record.pool,
            maintained_at=maintained,
        )

    def _apply(
        self,
        change: assignment.Assignment,
        vms: tuple[records.Vm, ...],
        seconds: int,
    ) -> None:
        match change:
            case assignment.AssignVm(vm_id=vm_id, pool=pool):
                is_other = self._former_pools.get(vm_id, pool) != pool
                self.totals.rejoined += is_other
                self._records[vm_id] = vm_records.VmRecord(
                    vm_id,
                    pool,
                    maintained_at=int(_START.timestamp()) + seconds,
                )
            case assignment.RemoveVm(vm_id=vm_id):
                self._former_pools[vm_id] = self._records.pop(vm_id).pool
                self.totals.removed += 1
            case assignment.MoveVm(vm_id=vm_id, to_pool=to_pool):
                self._start_move(vm_id, to_pool, vms, seconds)

    def _start_move(
        self,
        vm_id: str,
        to_pool: str,
        vms: tuple[records.Vm, ...],
        seconds: int,
    ) -> None:
        moving = sum(
            record.phase is not vm_records.VmPhase.SERVING
            for record in self._records.values()
        )
        check = waves.check_vm_may_leave(
            self._bundle, self._make_state(vms), vm_id
        )
        is_full = moving >= self._bundle.maintenance.wave_size
        if is_full or isinstance(check, budgets.BudgetViolated):
            self.totals.refused_moves += 1
            return
        self._records[vm_id] = moves.start_move(
            self._records[vm_id], f"move-{seconds}", to_pool
        )
        self._done_at[vm_id] = seconds + _MOVE_SECONDS
        self.totals.moves += 1

    def _start_wave(self, vms: tuple[records.Vm, ...], seconds: int) -> None:
        state = self._make_state(vms)
        pace = waves.check_pace(
            self._bundle, vms, state.assignments, _TIME_PER_VM
        )
        decision = waves.plan_wave(
            self._bundle,
            state,
            _START + datetime.timedelta(seconds=seconds),
            min(pace.needed, _INTERVAL / 2),
        )
        match decision:
            case waves.DrainVms(vm_ids=vm_ids):
                for vm_id in vm_ids:
                    self._records[vm_id] = moves.start_maintenance(
                        self._records[vm_id], f"wave-{seconds}"
                    )
                    self._done_at[vm_id] = seconds + _MAINTENANCE_SECONDS
            case _:
                pass

    def _make_state(self, vms: tuple[records.Vm, ...]) -> waves.FleetState:
        listed = {vm.vm_id: vm for vm in vms}
        services = {item.pool: item.name for item in self._bundle.services}
        health = tuple(
            budgets.InstanceHealth(
                services[record.pool],
                vm_id,
                listed[vm_id].zone,
                listed[vm_id].rack,
                record.phase is vm_records.VmPhase.SERVING,
            )
            for vm_id, record in self._records.items()
            if vm_id in listed and record.pool in services
        )
        return waves.FleetState(vms, tuple(self._records.values()), health)

    def _count(
        self,
        vms: tuple[records.Vm, ...],
        targets: tuple[demand.PoolTarget, ...],
        observed: tuple[demand.PoolDemand, ...],
        seconds: int,
    ) -> None:
        listed = {vm.vm_id for vm in vms}
        serving = {pool.name: 0 for pool in self._bundle.pools}
        for record in self._records.values():
            is_serving = record.phase is vm_records.VmPhase.SERVING
            serving[record.pool] += is_serving and record.vm_id in listed
        totals = self.totals
        for queue in self._deployment.queues:
            mean = queue.find_mean(seconds)
            totals.demand += mean * STEP_SECONDS
            excess = mean / demand.TARGET_UTILISATION - serving[queue.pool]
            totals.short += max(0.0, excess) * STEP_SECONDS
        totals.held += sum(serving.values()) * STEP_SECONDS
        totals.asked += sum(item.vms for item in targets) * STEP_SECONDS
        pools = {pool.name: pool for pool in self._bundle.pools}
        for item in observed:
            size = math.ceil(item.busy_vms / demand.TARGET_UTILISATION)
            pool = pools[item.pool]
            lowest, highest = pool.minimum_vms or 0, pool.maximum_vms or size
            totals.followed += max(lowest, min(highest, size)) * STEP_SECONDS
        totals.below_budget += STEP_SECONDS * any(
            serving[service.pool] < service.budget.minimum_instances
            for service in self._bundle.services
        )
