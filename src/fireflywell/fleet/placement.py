"""Placement rounds: which queued job starts on which worker."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import datetime
import itertools

from fireflywell.bundle import model
from fireflywell.fleet import fair_share
from fireflywell.fleet import jobs
from fireflywell.fleet import preemption
from fireflywell.fleet import worker_pool
from fireflywell.infrastructure import records

# Starts in one round. A backlog takes several rounds, so that an urgent job
# never waits for the store writes of thousands of other jobs.
MAXIMUM_STARTS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class StartJob:
    """Start a job on a worker after its preemptions have been applied."""

    job: fair_share.QueuedJob
    worker_id: str
    preemptions: tuple[preemption.Preemption, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SetAsideJob:
    """Mark a job that can never run as set aside."""

    job: fair_share.QueuedJob
    reason: str


PlacementDecision = StartJob | SetAsideJob


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRound:
    """Input of one placement round.

    Attributes:
        bundle: The bundle in force.
        queued: Jobs that wait for a worker.
        workers: All workers with their tasks.
        used: Resources reserved by each team's running jobs.
        urgent_used: The part of `used` that urgent jobs hold. Only this counts
            against the quota of further urgent jobs: a team's batch work must
            not block its own urgent work.
        now: Current time, compared with deadlines.
    """

    bundle: model.Bundle
    queued: tuple[fair_share.QueuedJob, ...]
    workers: tuple[worker_pool.WorkerState, ...]
    used: dict[str, records.Resources]
    urgent_used: dict[str, records.Resources]
    now: datetime.datetime


def plan_round(round_input: PlacementRound) -> Iterator[PlacementDecision]:
    """Yields the decisions of one round.

    Urgent jobs and jobs that must start now to meet their deadline come first
    if they are within their team's quota, and may preempt tasks that aren't
    urgent. All others follow in fair order on free resources.
    """
    planner = _Planner(round_input)
    time_critical: list[fair_share.QueuedJob] = []
    others: list[fair_share.QueuedJob] = []
    for job in round_input.queued:
        reason = planner.explain_never_runs(job)
        if reason:
            yield SetAsideJob(job, reason)
        elif _is_time_critical(job, round_input.now):
            time_critical.append(job)
        else:
            others.append(job)
    starts = planner.place_all(time_critical, others)
    yield from itertools.islice(starts, MAXIMUM_STARTS)


def explain_never_fits(
    bundle: model.Bundle,
    spec: jobs.JobSpec,
    capacities: Iterable[records.Resources],
) -> str:
    """Returns why a job can never run; empty if it can.

    Args:
        bundle: The bundle in force.
        spec: The job.
        capacities: Capacities of all workers that may run the job.
    """
    if not any(spec.kind in pool.carries for pool in bundle.pools):
        kinds = sorted({k for pool in bundle.pools for k in pool.carries})
        return (
            f"no pool carries jobs of kind {spec.kind!r}; the bundle names "
            f"{', '.join(kinds) or 'none'}"
        )
    if not any(team.name == spec.team for team in bundle.teams):
        return f"the bundle names no team {spec.team!r}"
    size = spec.declared
    for capacity in capacities:
        if worker_pool.WorkerState("", "", "", "", capacity).can_fit(size):
            return ""
    return (
        f"no worker that may run it has {size.cores:g} cores, "
        f"{size.memory_mb:g} MB and {size.accelerators:g} accelerators; "
        "declare less or add larger workers"
    )


def _is_time_critical(
    job: fair_share.QueuedJob, now: datetime.datetime
) -> bool:
    is_urgent = job.record.spec.urgency is jobs.JobUrgency.URGENT
    return is_urgent or fair_share.is_due(job, now)


@dataclasses.dataclass(frozen=True, slots=True)
class _ZoneCapacity:
    """A zone and a capacity that one or more workers of a pool have."""

    zone: str
    capacity: records.Resources

    def can_ever_run(self, spec: jobs.JobSpec) -> bool:
        """Returns whether a job fits on an idle worker of this capacity."""
        size = spec.declared
        return (
            spec.zone in ("", self.zone)
            and size.cores <= self.capacity.cores
            and size.memory_mb <= self.capacity.memory_mb
            and size.accelerators <= self.capacity.accelerators
        )


class _Planner:
    """Places the jobs of one round and tracks the resources that they use."""

    __slots__ = (
        "_bundle",
        "_capacities",
        "_failed_preemptions",
        "_pools_by_kind",
        "_lending_workers",
        "_now",
        "_pools",
        "_spare_workers",
        "_teams",
        "_total",
        "_urgent_used",
        "_used",
    )

    def __init__(self, round_input: PlacementRound) -> None:
        self._bundle = round_input.bundle
        self._now = round_input.now
        self._used = round_input.used
        self._urgent_used = round_input.urgent_used
        by_pool: dict[str, list[worker_pool.WorkerState]] = {}
        self._total = records.Resources()
        for worker in round_input.workers:
            by_pool.setdefault(worker.pool, []).append(worker)
            self._total = fair_share.add_resources(self._total, worker.capacity)
        self._pools = {
            name: worker_pool.WorkerPool(workers)
            for name, workers in by_pool.items()
        }
        self._failed_preemptions: dict[tuple[str, str], records.Resources] = {}
        self._pools_by_kind: dict[str, list[str]] = {}
        for pool in self._bundle.pools:
            for kind in pool.carries:
                self._pools_by_kind.setdefault(kind, []).append(pool.name)
        self._teams = {team.name for team in self._bundle.teams}
        spare = {pool.name for pool in self._bundle.pools if pool.spare}
        self._spare_workers = worker_pool.WorkerPool(
            worker for worker in round_input.workers if worker.pool in spare
        )
        # Allows one search instead of one for each of many pools. A job's own
        # pools are included, but were searched before without success.
        self._lending_workers = worker_pool.WorkerPool(
            worker for worker in round_input.workers if worker.pool not in spare
        )
        # Most workers of a pool have the same capacity, so few entries remain.
        self._capacities = {
            name: tuple(
                {_ZoneCapacity(item.zone, item.capacity) for item in workers}
            )
            for name, workers in by_pool.items()
        }

    def explain_never_runs(self, job: fair_share.QueuedJob) -> str:
        """Returns why a job can never run; empty if it can."""
        spec = job.record.spec
        own_pools = self._list_own_pools(spec)
        # A pool without workers may get some later, so no job is too large yet.
        has_workers = any(self._capacities.get(pool) for pool in own_pools)
        if spec.team in self._teams and own_pools:
            if not has_workers:
                return ""
            for pool in own_pools:
                for item in self._capacities.get(pool, ()):
                    if item.can_ever_run(spec):
                        return ""
        capacities = (
            item.capacity
            for pool in own_pools
            for item in self._capacities.get(pool, ())
            if item.zone == (spec.zone or item.zone)
        )
        return explain_never_fits(self._bundle, spec, capacities)

    def place_all(
        self,
        time_critical: list[fair_share.QueuedJob],
        others: list[fair_share.QueuedJob],
    ) -> Iterator[StartJob]:
        """Yields starts for time-critical jobs, then for all others."""
        order = self._make_order(time_critical, self._urgent_used)
        for job in order.list_in_order():
            if not order.has_quota_for(job):
                # Beyond the quota, urgent jobs are placed in fair order too.
                others.append(job)
                continue
            start = self._place(job) or self._place_by_preemption(job)
            if start is not None:
                order.record_placement(job)
                self._record_usage(job)
                yield start
        order = self._make_order(others, self._used)
        for job in order.list_in_order():
            start = self._place(job)
            if start is not None:
                order.record_placement(job)
                yield start

    def _make_order(
        self,
        queued: list[fair_share.QueuedJob],
        used: dict[str, records.Resources],
    ) -> fair_share.FairOrder:
        return fair_share.FairOrder(
            queued, self._bundle.teams, used, self._total, self._now
        )

    def _record_usage(self, job: fair_share.QueuedJob) -> None:
        team = job.record.spec.team
        used = self._used.get(team, records.Resources())
        self._used = {
            **self._used,
            team: fair_share.add_resources(used, job.size),
        }

    def _place(self, job: fair_share.QueuedJob) -> StartJob | None:
        """Places a job on its own pools, a spare pool or lent workers.

        Returns None if none of them has enough free resources.
        """
        own_pools = self._list_own_pools(job.record.spec)
        worker = self._find_worker_in_pools(own_pools, job, 1.0)
        is_lent = False
        if worker is None and _may_run_on_lent_workers(job.record.spec):
            is_lent = True
            worker = _find_worker(
                self._spare_workers, job, 1.0
            ) or _find_worker(
                self._lending_workers, job, worker_pool.LENDABLE_FRACTION
            )
        if worker is None:
            return None
        worker.add(worker_pool.RunningTask(job.record, job.size, is_lent))
        return StartJob(job, worker.worker_id)

    def _find_worker_in_pools(
        self, pools: list[str], job: fair_share.QueuedJob, fraction: float
    ) -> worker_pool.WorkerState | None:
        for name in pools:
            pool = self._pools.get(name)
            worker = None if pool is None else _find_worker(pool, job, fraction)
            if worker is not None:
                return worker
        return None

    def _place_by_preemption(
        self, job: fair_share.QueuedJob
    ) -> StartJob | None:
        """Places a time-critical job by preempting the fewest tasks.

        Returns None if preemption frees too little on every worker.
        """
        spec = job.record.spec
        failed = self._failed_preemptions.get((spec.kind, spec.zone))
        if failed is not None and _is_at_least(job.size, failed):
            return None
        best: preemption.PreemptionPlan | None = None
        for worker in self._list_own_workers(job.record):
            plan = preemption.plan_preemption(worker, job.size)
            if plan is None:
                continue
            if best is None or len(plan.preemptions) < len(best.preemptions):
                best = plan
            if len(best.preemptions) == 1:
                break
        if best is None:
            # Preemption only adds urgent tasks, so a job of the same kind and
            # at least the same size fails as well in this round.
            self._failed_preemptions[(spec.kind, spec.zone)] = job.size
            return None
        preemption.apply_preemptions(best)
        best.worker.add(worker_pool.RunningTask(job.record, job.size))
        for pool in (
            self._spare_workers,
            self._lending_workers,
            *self._pools.values(),
        ):
            pool.clear_failed_searches()
        return StartJob(job, best.worker.worker_id, best.preemptions)

    def _list_own_workers(
        self, record: jobs.JobRecord
    ) -> Iterator[worker_pool.WorkerState]:
        spec = record.spec
        for name in self._list_own_pools(spec):
            pool = self._pools.get(name)
            for worker in pool.workers if pool is not None else ():
                is_eligible = worker.accepts_work and (
                    not spec.zone or worker.zone == spec.zone
                )
                if (
                    is_eligible
                    and worker.worker_id not in record.failed_workers
                ):
                    yield worker

    def _list_own_pools(self, spec: jobs.JobSpec) -> list[str]:
        return self._pools_by_kind.get(spec.kind, [])


def _find_worker(
    pool: worker_pool.WorkerPool, job: fair_share.QueuedJob, fraction: float
) -> worker_pool.WorkerState | None:
    return pool.find_worker(
        job.size, job.record.spec.zone, job.record.failed_workers, fraction
    )


def _is_at_least(size: records.Resources, other: records.Resources) -> bool:
    return (
        size.cores >= other.cores
        and size.memory_mb >= other.memory_mb
        and size.accelerators >= other.accelerators
    )


def _may_run_on_lent_workers(spec: jobs.JobSpec) -> bool:
    """Returns whether a job may run on workers of other pools.

    Only work that can be stopped at any time may use them.
    """
    return spec.is_idempotent or spec.can_checkpoint
