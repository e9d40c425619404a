"""Scheduler role: places jobs on workers while its lease is held."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import model
from fireflywell.control import attempt_tracker
from fireflywell.control import job_store
from fireflywell.control import placement_inputs
from fireflywell.control import task_dispatcher
from fireflywell.control import task_tracker
from fireflywell.coordination import leases
from fireflywell.fleet import job_transitions
from fireflywell.fleet import jobs
from fireflywell.fleet import placement
from fireflywell.fleet import preemption
from fireflywell.fleet import quarantine as quarantine_lib
from fireflywell.fleet import usage as usage_lib
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import machines
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

# An urgent job starts within 1.2 s: one interval, a round of at most 100 ms,
# and three calls to the platform.
_ROUND_INTERVAL = datetime.timedelta(milliseconds=250)
# Cancellations handled in one round, so that a burst of them doesn't delay the
# start of an urgent job.
_CANCELLATIONS_PER_ROUND = 100
# Tasks that can't be checkpointed have this long to finish after their VM began
# to drain; then the idempotent ones, which may run again, are stopped.
_DRAIN_GRACE = datetime.timedelta(minutes=5)


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerContext:
    """Stores and clients that the scheduler uses.

    Attributes:
        store: Job records, written under the lease.
        tracker: Reports of tasks and workers.
        workers: Starts and stops tasks.
        list_assignments: Returns the VMs' records.
        clock: Clock of this process.
        metrics: Receives counters and timers.
    """

    store: job_store.JobStore
    tracker: task_tracker.TaskTracker
    workers: machines.Workers
    list_assignments: Callable[[], tuple[vm_records.VmRecord, ...]]
    clock: clock_lib.Clock
    metrics: metrics_lib.Metrics


class SchedulerRole:
    """Runs placement rounds while the lease is held."""

    __slots__ = (
        "_attempts",
        "_context",
        "_dispatcher",
        "_draining_since",
        "_holder",
        "_input_builder",
    )

    def __init__(
        self, holder: holder_lib.BundleHolder, context: SchedulerContext
    ) -> None:
        usage = usage_lib.UsageEstimator()
        quarantine = quarantine_lib.WorkerQuarantine()
        self._holder = holder
        self._context = context
        self._input_builder = placement_inputs.PlacementInputBuilder(
            context.tracker, usage, quarantine
        )
        self._attempts = attempt_tracker.AttemptTracker(
            context.tracker, usage, quarantine, context.clock
        )
        self._dispatcher = task_dispatcher.TaskDispatcher(
            context.workers, context.tracker, context.clock, context.metrics
        )
        self._draining_since: dict[str, datetime.timedelta] = {}

    async def run(self, lease: leases.Lease) -> None:
        """Runs rounds until cancelled.

        Raises:
            LeaseLostError: A write was refused because another process
                holds the role's lease.
        """
        while True:
            try:
                await self.run_round(lease)
            except errors.PlatformError as error:
                logs.log_event("scheduler.round_failed", error=str(error))
            await self._context.clock.sleep(_ROUND_INTERVAL)

    async def run_round(self, lease: leases.Lease) -> None:
        """Runs one round: reports, placement, cancellations, drains.

        Raises:
            PlatformError: The platform can't be reached. No decision is lost;
                the next round makes the missing calls again.
            LeaseLostError: Another process holds the role's lease.
        """
        bundle = self._holder.current
        if bundle is None:
            return
        started_at = self._context.clock.monotonic()
        await self._context.store.refresh()
        await self._context.tracker.refresh()
        await self._apply_reports(lease)
        await self._place(bundle, lease)
        await self._apply_cancellations()
        await self._dispatcher.preempt_all(self._list_drain_preemptions())
        duration = self._context.clock.monotonic() - started_at
        self._context.metrics.record_duration("scheduler.round", duration)

    async def _apply_reports(self, lease: leases.Lease) -> None:
        """Writes the transitions of leased jobs and resends lost starts."""
        assignments = self._context.list_assignments()
        changed: list[jobs.JobRecord] = []
        to_resend: list[jobs.JobRecord] = []
        for record in self._context.store.leased:
            match self._attempts.decide_job_transition(record, assignments):
                case job_transitions.JobChanged(record=new):
                    changed.append(new)
                case job_transitions.ResendStart():
                    to_resend.append(record)
                case job_transitions.JobUnchanged():
                    pass
        await self._write_transitions(tuple(changed))
        await self._dispatcher.start_all(to_resend, lease)

    async def _write_transitions(
        self, changed: tuple[jobs.JobRecord, ...]
    ) -> None:
        written = await self._context.store.write_all(changed)
        for record in changed:
            name = record.spec.job_id
            if name not in written:
                continue
            self._attempts.discard_attempt(record)
            self._context.metrics.count(f"jobs.{record.state.value}")
            logs.log_event(
                "job.state",
                job=name,
                state=record.state.value,
                attempt=record.attempt,
                reason=record.reason,
            )

    async def _place(self, bundle: model.Bundle, lease: leases.Lease) -> None:
        store, clock = self._context.store, self._context.clock
        waiting = [job for job in store.queued if not job.is_cancel_requested]
        if not waiting:
            return
        round_input = placement.PlacementRound(
            bundle,
            self._input_builder.list_queued(waiting),
            self._input_builder.list_workers(
                bundle,
                self._context.list_assignments(),
                store.leased,
                clock.monotonic(),
            ),
            self._input_builder.compute_team_usage(store.leased, False),
            self._input_builder.compute_team_usage(store.leased, True),
            clock.now(),
        )
        starts: list[placement.StartJob] = []
        set_aside: list[jobs.JobRecord] = []
        for decision in placement.plan_round(round_input):
            match decision:
                case placement.StartJob():
                    starts.append(decision)
                case placement.SetAsideJob(job=job, reason=reason):
                    set_aside.append(_set_aside(job.record, reason))
        # Preempts the less urgent tasks before the jobs that need their
        # resources start.
        await self._dispatcher.preempt_all(
            item for start in starts for item in start.preemptions
        )
        await self._lease_and_start(starts, lease)
        await self._write_transitions(tuple(set_aside))

    async def _lease_and_start(
        self, starts: list[placement.StartJob], lease: leases.Lease
    ) -> None:
        """Writes the leases of jobs and starts the jobs that were written."""
        leased = [
            job_transitions.lease_job(start.job.record, start.worker_id)
            for start in starts
        ]
        # Urgent jobs are written in a batch of their own, so that they don't
        # wait for the writes of a backlog.
        for is_urgent in (True, False):
            batch = tuple(
                item
                for item in leased
                if (item.spec.urgency is jobs.JobUrgency.URGENT) == is_urgent
            )
            written = await self._context.store.write_all(batch)
            granted = [item for item in batch if item.spec.job_id in written]
            for item in granted:
                logs.log_event(
                    "placement.decision",
                    job=item.spec.job_id,
                    worker=item.worker_id,
                    attempt=item.attempt,
                    token=lease.token,
                )
            await self._dispatcher.start_all(granted, lease)

    async def _apply_cancellations(self) -> None:
        """Cancels waiting jobs and stops running ones, up to a limit."""
        store = self._context.store
        waiting = [job for job in store.queued if job.is_cancel_requested]
        await self._write_transitions(
            tuple(
                job_transitions.cancel_job(record)
                for record in waiting[:_CANCELLATIONS_PER_ROUND]
            )
        )
        running = [job for job in store.leased if job.is_cancel_requested]
        await self._dispatcher.preempt_all(
            _make_preemption(record, preemption.PreemptAction.STOP)
            for record in running[:_CANCELLATIONS_PER_ROUND]
        )

    def _list_drain_preemptions(self) -> Iterator[preemption.Preemption]:
        """Yields the preemptions of tasks on draining VMs."""
        now = self._context.clock.monotonic()
        draining = {
            item.vm_id
            for item in self._context.list_assignments()
            if item.phase is vm_records.VmPhase.DRAINING
        }
        for vm_id in self._draining_since.keys() - draining:
            del self._draining_since[vm_id]
        for vm_id in draining:
            self._draining_since.setdefault(vm_id, now)
        for record in self._context.store.leased:
            since = self._draining_since.get(record.worker_id)
            if since is None:
                continue
            if record.spec.can_checkpoint:
                yield _make_preemption(
                    record, preemption.PreemptAction.CHECKPOINT
                )
            elif record.spec.is_idempotent and now - since >= _DRAIN_GRACE:
                yield _make_preemption(record, preemption.PreemptAction.STOP)


def _set_aside(record: jobs.JobRecord, reason: str) -> jobs.JobRecord:
    logs.log_event("placement.decision", job=record.spec.job_id, refused=reason)
    return dataclasses.replace(
        record, state=jobs.JobState.SET_ASIDE, reason=reason
    )


def _make_preemption(
    record: jobs.JobRecord, action: preemption.PreemptAction
) -> preemption.Preemption:
    return preemption.Preemption(
        record.spec.job_id, record.attempt, record.worker_id, action
    )
