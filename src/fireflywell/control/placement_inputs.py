"""Builds the inputs of a placement round from reports and records."""

from collections.abc import Iterable
import dataclasses
import datetime

from fireflywell.bundle import model
from fireflywell.control import task_tracker
from fireflywell.fleet import fair_share
from fireflywell.fleet import jobs
from fireflywell.fleet import preemption
from fireflywell.fleet import quarantine as quarantine_lib
from fireflywell.fleet import usage as usage_lib
from fireflywell.fleet import vm_records
from fireflywell.fleet import worker_pool
from fireflywell.infrastructure import records


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementInputBuilder:
    """Builds the workers, jobs and team usage for a placement round.

    Attributes:
        tracker: Reports of tasks and workers.
        usage: Estimates the sizes and run times of jobs.
        quarantine: Tells which workers receive no work after failures.
    """

    tracker: task_tracker.TaskTracker
    usage: usage_lib.UsageEstimator
    quarantine: quarantine_lib.WorkerQuarantine

    def list_workers(
        self,
        bundle: model.Bundle,
        assignments: tuple[vm_records.VmRecord, ...],
        leased: Iterable[jobs.JobRecord],
        now: datetime.timedelta,
    ) -> tuple[worker_pool.WorkerState, ...]:
        """Returns the listed workers that are in a pool, with their tasks.

        Args:
            bundle: The bundle in force.
            assignments: The VMs' records.
            leased: Jobs that are leased to a worker.
            now: Monotonic time.
        """
        assignments_by_vm = {item.vm_id: item for item in assignments}
        kinds_by_pool = {pool.name: pool.carries for pool in bundle.pools}
        states: dict[str, worker_pool.WorkerState] = {}
        for worker in self.tracker.workers:
            record = assignments_by_vm.get(worker.worker_id)
            if record is None:
                continue
            is_serving = record.phase is vm_records.VmPhase.SERVING
            is_quarantined_now = self.quarantine.is_quarantined(
                worker.worker_id, now
            )
            states[worker.worker_id] = worker_pool.WorkerState(
                worker.worker_id,
                record.pool,
                worker.zone,
                worker.rack,
                worker.capacity,
                accepts_work=is_serving and not is_quarantined_now,
            )
        for job in leased:
            state = states.get(job.worker_id)
            if state is not None:
                is_lent = job.spec.kind not in kinds_by_pool.get(state.pool, ())
                state.add(self._make_task(job, is_lent))
        return tuple(states.values())

    def list_queued(
        self, waiting: Iterable[jobs.JobRecord]
    ) -> tuple[fair_share.QueuedJob, ...]:
        """Returns waiting jobs with their estimated size and run time."""
        return tuple(
            fair_share.QueuedJob(
                record,
                self.usage.estimate_size(record.spec),
                self.usage.estimate_run(record.spec),
            )
            for record in waiting
        )

    def compute_team_usage(
        self, leased: Iterable[jobs.JobRecord], only_urgent: bool
    ) -> dict[str, records.Resources]:
        """Returns the resources that each team's leased jobs reserve.

        Args:
            leased: Jobs that are leased to a worker.
            only_urgent: Whether to count urgent jobs only.
        """
        used: dict[str, records.Resources] = {}
        for job in leased:
            is_urgent = job.spec.urgency is jobs.JobUrgency.URGENT
            if only_urgent and not is_urgent:
                continue
            size = self.usage.estimate_size(job.spec)
            previous = used.get(job.spec.team, records.Resources())
            used[job.spec.team] = fair_share.add_resources(previous, size)
        return used

    def _make_task(
        self, job: jobs.JobRecord, is_lent: bool
    ) -> worker_pool.RunningTask:
        size = self.usage.estimate_size(job.spec)
        task = self.tracker.find(job.spec.job_id, job.attempt)
        is_throttled = (
            task is not None and task.state is records.TaskState.THROTTLED
        )
        if is_throttled:
            cores = size.cores * preemption.THROTTLED_PART
            size = dataclasses.replace(size, cores=cores)
        return worker_pool.RunningTask(job, size, is_lent, is_throttled)
