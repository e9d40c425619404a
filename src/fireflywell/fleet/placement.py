"""One placement round: which job starts on which worker."""

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

# Starts in one round. A backlog is worked off in several rounds, so that an
# urgent job never waits behind the store writes of thousands of others.
MAXIMUM_STARTS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class StartJob:
    """Start a job on a worker, after the preemptions have been made."""

    job: fair_share.QueuedJob
    worker_id: str
    preemptions: tuple[preemption.Preemption, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SetAsideJob:
    """Set a job aside that can never run."""

    job: fair_share.QueuedJob
    reason: str


PlacementDecision = StartJob | SetAsideJob


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementRound:
    """What one round looks at.

    Attributes:
        bundle: The bundle in force.
        queued: Jobs that wait.
        workers: All workers with their tasks.
        used: Resources reserved by each team's running jobs.
        urgent_used: The part of `used` that is held by urgent jobs. Only this
            counts against the quota of further urgent jobs: a team's batch
            work must not keep its own urgent work out.
        now: Date, compared with deadlines.
    """

    bundle: model.Bundle
    queued: tuple[fair_share.QueuedJob, ...]
    workers: tuple[worker_pool.WorkerState, ...]
    used: dict[str, records.Resources]
    urgent_used: dict[str, records.Resources]
    now: datetime.datetime


def plan_round(round_input: PlacementRound) -> Iterator[PlacementDecision]:
    """Yields the decisions of one round.

    Urgent and due jobs within their team's quota come first and may preempt
    lesser work. All others follow in fair order on what is free.
    """
    planner = _Planner(round_input)
    pressing: list[fair_share.QueuedJob] = []
    others: list[fair_share.QueuedJob] = []
    for job in round_input.queued:
        reason = planner.explain_never_runs(job)
        if reason:
            yield SetAsideJob(job, reason)
        elif _is_pressing(job, round_input.now):
            pressing.append(job)
        else:
            others.append(job)
    starts = planner.place_all(pressing, others)
    yield from itertools.islice(starts, MAXIMUM_STARTS)


def explain_never_fits(
    bundle: model.Bundle,
    spec: jobs.JobSpec,
    capacities: Iterable[records.Resources],
) -> str:
    """Returns why a job can never run, or an empty text.

    Args:
        bundle: The bundle in force.
        spec: The job.
        capacities: Capacities of all workers that might run it.
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
        if worker_pool.WorkerState("", "", "", "", capacity).has_room(size):
            return ""
    return (
        f"no worker that may run it has {size.cores:g} cores, "
        f"{size.memory_mb:g} MB and {size.accelerators:g} accelerators; "
        "declare less or add larger workers"
    )


def _is_pressing(job: fair_share.QueuedJob, now: datetime.datetime) -> bool:
    is_urgent = job.record.spec.urgency is jobs.JobUrgency.URGENT
    return is_urgent or fair_share.is_due(job, now)


@dataclasses.dataclass(frozen=True, slots=True)
class _ZoneCapacity:
    """A capacity that some workers of a pool have in a zone."""

    zone: str
    capacity: records.Resources

    def can_ever_run(self, spec: jobs.JobSpec) -> bool:
        """Whether a job fits into an empty worker of this kind."""
        size = spec.declared
        return (
            spec.zone in ("", self.zone)
            and size.cores <= self.capacity.cores
            and size.memory_mb <= self.capacity.memory_mb
            and size.accelerators <= self.capacity.accelerators
        )


class _Planner:
    """State of one round."""

    __slots__ = (
        "_bundle",
        "_capacities",
        "_failed_preemptions",
        "_homes",
        "_lenders",
        "_now",
        "_pools",
        "_spare",
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
        self._homes: dict[str, list[str]] = {}
        for pool in self._bundle.pools:
            for kind in pool.carries:
                self._homes.setdefault(kind, []).append(pool.name)
        self._teams = {team.name for team in self._bundle.teams}
        spare = {pool.name for pool in self._bundle.pools if pool.spare}
        self._spare = worker_pool.WorkerPool(
            worker for worker in round_input.workers if worker.pool in spare
        )
        # One search over all lenders instead of one for each of many pools.
        # A job's own pools are among them, but have no room when it's made.
        self._lenders = worker_pool.WorkerPool(
            worker for worker in round_input.workers if worker.pool not in spare
        )
        # Workers of one pool are mostly alike, so few capacities remain.
        self._capacities = {
            name: tuple(
                {_ZoneCapacity(item.zone, item.capacity) for item in workers}
            )
            for name, workers in by_pool.items()
        }

    def explain_never_runs(self, job: fair_share.QueuedJob) -> str:
        """Returns why a job can never run, or an empty text."""
        spec = job.record.spec
        homes = self._list_homes(spec)
        # A pool without workers may get some, so it tells nothing about sizes.
        has_workers = any(self._capacities.get(pool) for pool in homes)
        if spec.team in self._teams and homes:
            if not has_workers:
                return ""
            for pool in homes:
                for item in self._capacities.get(pool, ()):
                    if item.can_ever_run(spec):
                        return ""
        capacities = (
            item.capacity
            for pool in homes
            for item in self._capacities.get(pool, ())
            if item.zone == (spec.zone or item.zone)
        )
        return explain_never_fits(self._bundle, spec, capacities)

    def place_all(
        self,
        pressing: list[fair_share.QueuedJob],
        others: list[fair_share.QueuedJob],
    ) -> Iterator[StartJob]:
        """Yields starts for pressing jobs, then for all others."""
        order = self._order(pressing, self._urgent_used)
        for job in order.list_in_order():
            if not order.has_quota_for(job):
                # Beyond its quota even urgent work takes its fair turn.
                others.append(job)
                continue
            start = self._place(job) or self._place_by_preemption(job)
            if start is not None:
                order.record_placement(job)
                self._note_used(job)
                yield start
        order = self._order(others, self._used)
        for job in order.list_in_order():
            start = self._place(job)
            if start is not None:
                order.record_placement(job)
                yield start

    def _order(
        self,
        queued: list[fair_share.QueuedJob],
        used: dict[str, records.Resources],
    ) -> fair_share.FairOrder:
        return fair_share.FairOrder(
            queued, self._bundle.teams, used, self._total, self._now
        )

    def _note_used(self, job: fair_share.QueuedJob) -> None:
        team = job.record.spec.team
        used = self._used.get(team, records.Resources())
        self._used = {
            **self._used,
            team: fair_share.add_resources(used, job.size),
        }

    def _place(self, job: fair_share.QueuedJob) -> StartJob | None:
        """Places a job on free resources: own pools, spare pool, lent ones."""
        homes = self._list_homes(job.record.spec)
        worker = self._find_in(homes, job, 1.0)
        is_lent = False
        if worker is None and _may_run_on_lent_workers(job.record.spec):
            is_lent = True
            worker = _find_room(self._spare, job, 1.0) or _find_room(
                self._lenders, job, worker_pool.LENT_PART
            )
        if worker is None:
            return None
        worker.add(worker_pool.RunningTask(job.record, job.size, is_lent))
        return StartJob(job, worker.worker_id)

    def _find_in(
        self, pools: list[str], job: fair_share.QueuedJob, part: float
    ) -> worker_pool.WorkerState | None:
        for name in pools:
            pool = self._pools.get(name)
            worker = None if pool is None else _find_room(pool, job, part)
            if worker is not None:
                return worker
        return None

    def _place_by_preemption(
        self, job: fair_share.QueuedJob
    ) -> StartJob | None:
        """Places a pressing job by letting the fewest lesser tasks give way."""
        spec = job.record.spec
        failed = self._failed_preemptions.get((spec.kind, spec.zone))
        if failed is not None and _is_at_least(job.size, failed):
            return None
        best: preemption.PreemptionPlan | None = None
        for worker in self._list_home_workers(job.record):
            plan = preemption.plan_preemption(worker, job.size)
            if plan is None:
                continue
            if best is None or len(plan.preemptions) < len(best.preemptions):
                best = plan
            if len(best.preemptions) == 1:
                break
        if best is None:
            # Preemption only adds urgent tasks, so a job of the same kind and
            # no smaller size fails as well in this round.
            self._failed_preemptions[(spec.kind, spec.zone)] = job.size
            return None
        preemption.apply_preemptions(best)
        best.worker.add(worker_pool.RunningTask(job.record, job.size))
        for pool in (self._spare, self._lenders, *self._pools.values()):
            pool.forget_failed_searches()
        return StartJob(job, best.worker.worker_id, best.preemptions)

    def _list_home_workers(
        self, record: jobs.JobRecord
    ) -> Iterator[worker_pool.WorkerState]:
        spec = record.spec
        for name in self._list_homes(spec):
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

    def _list_homes(self, spec: jobs.JobSpec) -> list[str]:
        return self._homes.get(spec.kind, [])


def _find_room(
    pool: worker_pool.WorkerPool, job: fair_share.QueuedJob, part: float
) -> worker_pool.WorkerState | None:
    return pool.find_room(
        job.size, job.record.spec.zone, job.record.failed_workers, part
    )


def _is_at_least(size: records.Resources, other: records.Resources) -> bool:
    return (
        size.cores >= other.cores
        and size.memory_mb >= other.memory_mb
        and size.accelerators >= other.accelerators
    )


def _may_run_on_lent_workers(spec: jobs.JobSpec) -> bool:
    """Only work that can be stopped at any time borrows another pool's VMs."""
    return spec.is_idempotent or spec.can_checkpoint
