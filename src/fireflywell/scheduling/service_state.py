"""State of all jobs, runs and workers of one service, and its transitions.

`ServiceState` applies events (new jobs, reports, outcomes of orders) and
returns the actions to take. It never blocks and doesn't depend on connections
or stored rows.
"""

import collections
from collections.abc import Iterable
from collections.abc import Set
import dataclasses
import math

from fireflywell.scheduling import job_starts
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import late_starts
from fireflywell.scheduling import model
from fireflywell.scheduling import order_tokens
from fireflywell.scheduling import orders
from fireflywell.scheduling import overdue_share
from fireflywell.scheduling import placement
from fireflywell.scheduling import planning_pass
from fireflywell.scheduling import ranking
from fireflywell.scheduling import reservations
from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import steps as steps_lib
from fireflywell.scheduling import stop_requests
from fireflywell.scheduling import workers as workers_lib

# Run numbers of a unit that belong to one fencing token. Each owner starts
# above its predecessor's range, so workers can tell newer runs from older ones.
_RUNS_PER_FENCING_TOKEN = 1000

# Maximum number of placements per pass, which bounds the duration of a pass;
# later passes place the remaining units.
_PLACEMENTS_PER_PASS = 64

# After a worker refused a unit for lack of capacity, it gets no other unit for
# this time, so that its next report arrives first.
_REFUSAL_PAUSE_S = 0.15

# Occurrences of a recurring job that are queued before one of them is begun.
# Ranking all that are due of a schedule that was submitted late would hold up
# the process; a pass places only some of them.
_QUEUED_OCCURRENCES = 32

_UNHEALTHY_PAUSE_S = 0.5

# Least time between requests for tickets of one step after a worker refused
# one.
_TICKET_PAUSE_S = 0.25

# Failed runs without a success in between after which a worker gets no units
# for `_FAILURE_PAUSE_S`.
_MAX_CONSECUTIVE_FAILURES = 3
_FAILURE_PAUSE_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedJob:
    """A job in a final state; the reason is empty if it completed."""

    job: jobs_lib.Job
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class DroppedRun:
    """A run that ended without a report, and its phase until then."""

    run: runs_lib.Run
    phase: runs_lib.RunPhase


class ServiceState:
    """Tracks the jobs, workers and runs of one service."""

    __slots__ = (
        "_first_run_number",
        "_job_starts",
        "_mean_work_by_queue",
        "_overdue_share",
        "_recurring_job_ids",
        "_stop_requests",
        "_waiting_steps",
        "dirty",
        "final_states",
        "finished",
        "is_recovery_complete",
        "jobs",
        "late_starts",
        "order_tokens",
        "reservations",
        "stop_timeout_s",
        "workers",
    )

    def __init__(self, token: int, stop_timeout_s: float = 0.0) -> None:
        """Starts without jobs and workers.

        Args:
            token: Fencing token of the service's owner.
            stop_timeout_s: Longest time that a worker takes to stop a run.
        """
        self.stop_timeout_s = stop_timeout_s
        self.order_tokens = order_tokens.OrderTokens(token)
        self._first_run_number = (token - 1) * _RUNS_PER_FENCING_TOKEN + 1
        self.late_starts = late_starts.LateStarts(self._first_run_number)
        self._mean_work_by_queue: dict[str, ranking.MeanWork] = {}
        self._overdue_share = overdue_share.OverdueShare()
        # Ready steps with waiting units.
        self._waiting_steps: dict[str, steps_lib.StepOccurrence] = {}
        # Jobs whose steps become ready at times set by their recurrence.
        self._recurring_job_ids: set[str] = set()
        self.jobs: dict[str, jobs_lib.Job] = {}
        self.workers: dict[str, workers_lib.Worker] = {}
        # Final states by job, so that rows read late don't add the jobs again.
        self.final_states: dict[str, jobs_lib.JobState] = {}
        # Jobs whose progress must be stored; True if callers wait for that.
        self.dirty: dict[str, bool] = {}
        # Jobs whose final state isn't stored yet.
        self.finished: dict[str, FinishedJob] = {}
        # Reservations of the last planning pass.
        self.reservations = reservations.Reservations()
        self._stop_requests = stop_requests.StopRequests()
        # First starts of jobs that the caller hasn't taken yet.
        self._job_starts: list[job_starts.JobStart] = []
        # Whether all units that a previous owner left running were found. Until
        # then, units of recovered jobs aren't started.
        self.is_recovery_complete = False

    @property
    def has_waiting_units(self) -> bool:
        """Whether any ready step has waiting units."""
        return bool(self._waiting_steps)

    @property
    def pending_stops(self) -> collections.deque[stop_requests.StopRequest]:
        """Stops that haven't been sent yet, oldest first."""
        return self._stop_requests.pending

    def list_waiting_steps(self) -> tuple[steps_lib.StepOccurrence, ...]:
        """Returns the ready steps that have waiting units."""
        return tuple(self._waiting_steps.values())

    def stop_run(self, run: runs_lib.Run) -> None:
        """Requests the stop of a run; its unit is requeued after its end."""
        if run.phase in (
            runs_lib.RunPhase.STOPPING,
            runs_lib.RunPhase.ENDED,
        ):
            return
        if run.phase is runs_lib.RunPhase.SENDING and not run.unanswered_starts:
            # No transmission is open, and none follows.
            run.may_start_until_ms = -math.inf
        run.phase = runs_lib.RunPhase.STOPPING
        self._stop_requests.add(run)

    def add_job(self, job: jobs_lib.Job) -> None:
        """Adds a job unless it was added before, and queues its ready steps.

        Of a job in a final state, only the state is recorded.
        """
        if job.job_id in self.jobs or job.job_id in self.final_states:
            return
        if job.state.is_final:
            self.final_states[job.job_id] = job.state
            return
        self.jobs[job.job_id] = job
        mean_work = self._mean_work_by_queue.setdefault(
            job.policy.queue, ranking.MeanWork()
        )
        mean_work.add(ranking.compute_work(job))
        if job.is_recurring:
            self._recurring_job_ids.add(job.job_id)
        if job.are_units_done:
            self._finish(job, jobs_lib.JobState.COMPLETED, "")
            return
        for step in job.steps:
            for unit in step.begun_units:
                self._fail_if_attempts_exhausted(unit)
        # Occurrences of a recurring job are queued once they are due.
        if not job.is_recurring:
            self._queue_ready_steps(job.steps)

    def has_job(self, job_id: str) -> bool:
        """Returns whether a job was added, or is known to have ended."""
        return job_id in self.jobs or job_id in self.final_states

    def cancel_job(self, job_id: str) -> None:
        """Marks a job as cancelled and requests the stop of its runs.

        A job that hasn't been added yet can't be added afterwards.
        """
        job = self.jobs.get(job_id)
        if job is None:
            self.final_states.setdefault(job_id, jobs_lib.JobState.CANCELLED)
            return
        self._finish(job, jobs_lib.JobState.CANCELLED, "cancelled")

    def queue_due_steps(self, now_unix_ms: int, now_s: float) -> float:
        """Queues the steps of recurring jobs that have become due.

        Args:
            now_unix_ms: Wall-clock time.
            now_s: Monotonic time.

        Returns:
            The core-seconds of the occurrences that have become due.
        """
        work = 0.0
        for job_id in tuple(self._recurring_job_ids):
            job = self.jobs.get(job_id)
            if job is None:
                self._recurring_job_ids.discard(job_id)
                continue
            for steps in job.take_due(now_unix_ms, now_s, _QUEUED_OCCURRENCES):
                self._queue_ready_steps(steps)
                if not job.is_long_running:
                    work += ranking.compute_work(job)
        return work

    def count_waiting(self) -> dict[str, int]:
        """Returns the number of jobs of which no unit has started, by queue."""
        return dict(
            collections.Counter(
                job.policy.queue for job in self.jobs.values() if job.is_waiting
            )
        )

    def take_job_starts(self) -> list[job_starts.JobStart]:
        """Removes and returns the first starts of jobs since the last call."""
        items, self._job_starts = self._job_starts, []
        return items

    def plan(self, now_s: float) -> list[runs_lib.Run]:
        """Places waiting units on workers.

        Returns:
            The new runs, which the caller must start.
        """
        candidates = list(self._waiting_steps.values())
        if not self.is_recovery_complete:
            candidates = [s for s in candidates if not s.job.is_recovered]
        if not candidates:
            return []
        for step in candidates:
            if step.ready_since_s is None:
                step.ready_since_s = now_s
            if step.waiting_since_s is None:
                step.waiting_since_s = now_s
            step.drop_expired_tickets(now_s)
        usable = planning_pass.list_usable(self.workers.values(), now_s)
        ranked = []
        estimates = ranking.Estimates()
        for step in planning_pass.select_steps(candidates, usable):
            mean = self._mean_work_by_queue[step.job.policy.queue].value
            start_s = ranking.find_objective_start_s(step)
            rank = ranking.rank_step(
                step, now_s, start_s, mean, estimates.find(step)
            )
            ranked.append(planning_pass.RankedStep(rank, step))
        ranked.sort(key=lambda item: item.rank.sort_key)
        self.reservations = reservations.Reservations(now_s)
        placements = planning_pass.place_units(
            ranked,
            tuple(self.workers.values()),
            now_s,
            _PLACEMENTS_PER_PASS,
            self.reservations,
            self._overdue_share,
        )
        return self._begin_runs(placements, now_s)

    def confirm_start(self, run: runs_lib.Run, now_s: float) -> None:
        """Marks a run as running after its worker accepted the start."""
        self._mark_started(
            run.unit, run.number, run.worker_id, job_starts.StartEvidence.ANSWER
        )
        if not run.may_start_on_next_incarnation:
            run.confirm(now_s)

    def refuse_start(
        self, run: runs_lib.Run, reason: orders.Refusal | None, now_s: float
    ) -> None:
        """Applies a worker's refusal to start a run.

        The run is dropped and its unit requeued. If an earlier transmission of
        the order had no answer, the worker may still carry that one out: the
        start becomes unknown, and its stop is requested if that may free the
        unit before the lease in the order ends. After `OLD_RUN` no transmission
        can start the run, and the next report decides.

        Args:
            run: The refused run.
            reason: Reason of the refusal, or None if the worker is unhealthy.
            now_s: Monotonic time.
        """
        if run.phase is runs_lib.RunPhase.ENDED:
            return
        worker = self.workers.get(run.worker_id)
        match reason:
            case orders.Refusal.OLD_RUN:
                if not run.may_start_on_next_incarnation:
                    run.confirm_over(now_s)
                return
            case orders.Refusal.NO_TICKET:
                # The ticket has expired or belongs to a previous incarnation of
                # the worker; tickets for other workers may still be valid.
                step = run.unit.step
                step.tickets.pop(run.worker_id, None)
                # Not at once, so that a worker that refuses all tickets doesn't
                # keep others from the advice service.
                step.advice_due_s = min(
                    step.advice_due_s,
                    max(now_s, step.advice_asked_s + _TICKET_PAUSE_S),
                )
            case _ if worker is not None:
                pause = (
                    _UNHEALTHY_PAUSE_S if reason is None else _REFUSAL_PAUSE_S
                )
                worker.avoid_until_s = max(worker.avoid_until_s, now_s + pause)
        if not run.unanswered_starts:
            self._drop_run(run)
        elif reason is orders.Refusal.LEASE_OVER:
            self.mark_start_unknown(run)
        else:
            self.give_up_start(run)

    def give_up_start(self, run: runs_lib.Run) -> None:
        """Gives up a start without an answer and requests the run's stop.

        The worker's answer to that settles the start before its lease ends.
        """
        if run.phase is not runs_lib.RunPhase.SENDING:
            return
        self.mark_start_unknown(run)
        # A stop may be carried out late, when the run is at work and the caller
        # can't spare its unit.
        if not run.unit.step.spec.may_be_away:
            self._stop_requests.add(run)

    def mark_start_unknown(self, run: runs_lib.Run) -> None:
        """Marks a start without an answer as unknown.

        The worker may still carry out the order until the lease in it ends. The
        unit isn't placed again until a later report doesn't list the run.
        """
        if run.phase is runs_lib.RunPhase.SENDING:
            run.phase = runs_lib.RunPhase.START_UNKNOWN

    def confirm_stop(
        self, worker_id: str, unit_name: str, number: int, now_s: float
    ) -> None:
        """Records that a worker is stopping a run or will never start it.

        The unit is requeued when a report lists the run's end, or when one that
        was requested after this doesn't list the run.
        """
        worker = self.workers.get(worker_id)
        run = worker.runs.get((unit_name, number)) if worker else None
        if run is not None and run.phase in (
            runs_lib.RunPhase.START_UNKNOWN,
            runs_lib.RunPhase.STOPPING,
        ):
            run.confirm_over(now_s)

    def apply_report(
        self,
        worker_id: str,
        report: orders.WorkerReport,
        requested_s: float,
        now_s: float,
        token: int = 0,
    ) -> int:
        """Updates runs and units from a worker's report.

        A run that the report doesn't list is dropped, unless it may still
        start, was confirmed after the report was requested or the report lacks
        ends.

        Args:
            worker_id: The worker that sent the report.
            report: The report.
            requested_s: Monotonic time at which the report was requested.
            now_s: Monotonic time.
            token: Fencing token of the request.

        Returns:
            The highest number of an end in the report, 0 if there is none.
        """
        worker = self.workers[worker_id]
        worker.reported_s = now_s
        worker.report_requested_s = requested_s
        last_end = 0
        listed: set[tuple[str, int]] = set()
        for end in report.ended:
            last_end = max(last_end, end.number)
            listed.add((end.unit, end.run))
            self._apply_end(worker, end, now_s)
        for item in report.running:
            listed.add((item.unit, item.run))
            self._apply_running(worker, item, now_s)
        worker.replace_unclaimed_runs(
            tuple(
                workers_lib.UnclaimedRun(
                    item.unit, item.run, self._find_spec(item.unit)
                )
                for item in report.running
                if (item.unit, item.run) not in worker.runs
            )
        )
        if not report.has_all_ends:
            return last_end
        for key, run in tuple(worker.runs.items()):
            if key not in listed and run.is_over(
                report.clock_ms, requested_s, token
            ):
                self._drop_run(run)
        self._stop_requests.repeat(worker, now_s)
        return last_end

    def find_unknown_jobs(self, report: orders.WorkerReport) -> frozenset[str]:
        """Returns the jobs named in a report that were never added."""
        unit_names = {item.unit for item in report.running}
        unit_names.update(item.unit for item in report.ended)
        job_ids = {name.partition(".")[0] for name in unit_names}
        return frozenset(
            job_id for job_id in job_ids if not self.has_job(job_id)
        )

    def drop_worker_runs(self, worker_id: str) -> tuple[DroppedRun, ...]:
        """Marks all runs on a worker as ended and requeues their units."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return ()
        dropped = tuple(
            DroppedRun(run, run.phase) for run in worker.runs.values()
        )
        for item in dropped:
            self._drop_run(item.run)
        return dropped

    def end_incarnation(
        self, worker_id: str, requested_s: float
    ) -> tuple[DroppedRun, ...]:
        """Drops the runs that only a worker's former incarnation can have had.

        Runs with an unanswered start stay, because the next incarnation may
        carry it out; a report that is requested with the next token decides.
        Runs that were confirmed after this report was requested stay until the
        next report.

        Args:
            worker_id: The worker.
            requested_s: Monotonic time at which the report was requested that
                another incarnation answered.

        Returns:
            The runs that were dropped.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return ()
        dropped = []
        for run in tuple(worker.runs.values()):
            if run.unanswered_starts:
                if run.end_incarnation():
                    self._stop_requests.add(run)
            elif (
                run.phase is runs_lib.RunPhase.SENDING
                or run.confirmed_s < requested_s
            ):
                dropped.append(DroppedRun(run, run.phase))
                self._drop_run(run)
        return tuple(dropped)

    def remove_worker(self, worker_id: str) -> None:
        """Removes a worker without runs.

        Raises:
            ValueError: It may still have runs.
        """
        worker = self.workers.pop(worker_id, None)
        if worker is not None and worker.runs:
            self.workers[worker_id] = worker
            raise ValueError(
                f"worker {worker_id} can't be removed: it may still have "
                f"{len(worker.runs)} runs"
            )

    def take_dirty(
        self, limit: int, excluded: Set[str] = frozenset()
    ) -> list[jobs_lib.Job]:
        """Removes up to `limit` jobs from `dirty` and returns them.

        Jobs whose callers wait for the write come first.

        Args:
            limit: Number of jobs.
            excluded: Jobs that stay in `dirty`.
        """
        job_ids = sorted(
            (job_id for job_id in self.dirty if job_id not in excluded),
            key=lambda job_id: not self.dirty[job_id],
        )
        batch = []
        for job_id in job_ids[:limit]:
            del self.dirty[job_id]
            finished = self.finished.get(job_id)
            job = finished.job if finished else self.jobs.get(job_id)
            if job is not None:
                batch.append(job)
        return batch

    def _begin_runs(
        self, placements: Iterable[placement.Placement], now_s: float
    ) -> list[runs_lib.Run]:
        runs = []
        gang_numbers: dict[str, int] = {}
        for new_placement in placements:
            unit, step = new_placement.unit, new_placement.unit.step
            number = max(unit.last_run_number + 1, self._first_run_number)
            if step.spec.is_gang:
                number = gang_numbers.setdefault(
                    step.key,
                    max(
                        self._first_run_number,
                        1 + max(u.last_run_number for u in step.begun_units),
                    ),
                )
            run = runs_lib.Run(
                unit, number, new_placement.worker.worker_id, now_s
            )
            unit.last_run_number = number
            unit.last_worker_id = new_placement.worker.worker_id
            unit.runs.append(run)
            step.take_from_queue(unit)
            if not step.waiting_count:
                self._waiting_steps.pop(step.key, None)
            new_placement.worker.add_run(run)
            runs.append(run)
        return runs

    def _apply_end(
        self, worker: workers_lib.Worker, end: orders.EndReport, now_s: float
    ) -> None:
        run = worker.runs.get((end.unit, end.run))
        unit = run.unit if run else self._find_unit(end.unit)
        if unit is None:
            return
        unit.last_run_number = max(unit.last_run_number, end.run)
        if run is not None:
            self._remove_run(run)
        if unit.step.job.job_id not in self.jobs:
            return
        self._mark_started(
            unit, end.run, worker.worker_id, job_starts.StartEvidence.END
        )
        match end.kind:
            case orders.EndKind.DONE:
                self._apply_done(unit, run, worker, now_s)
            case orders.EndKind.FAILED:
                self._apply_failed(unit, end, worker, now_s)
            case _:
                self._record_checkpoint(unit, end.checkpoint)
        self._requeue(unit)

    def _apply_done(
        self,
        unit: steps_lib.Unit,
        run: runs_lib.Run | None,
        worker: workers_lib.Worker,
        now_s: float,
    ) -> None:
        worker.consecutive_failures = 0
        step = unit.step
        if step.spec.is_long_running:
            self.dirty.setdefault(step.job.job_id, False)
            return
        if unit.is_done:
            return
        if run is not None:
            step.update_duration(now_s - run.started_s)
        # A gang is done as a whole when one member reports that it is done.
        if step.spec.is_gang:
            members = step.begun_units
            step.mark_all_done()
            for member in members:
                self._stop_runs(member)
        else:
            unit.mark_done()
            self._stop_runs(unit)
        if not step.waiting_count:
            self._waiting_steps.pop(step.key, None)
        job = step.job
        if step.is_done:
            job.release_if_done(step.occurrence)
        if step.is_done and job.are_units_done:
            self._finish(job, jobs_lib.JobState.COMPLETED, "")
            return
        self.dirty.setdefault(job.job_id, False)
        if step.is_done and step.occurrence not in job.done_occurrences:
            self._queue_ready_steps(job.load_occurrence(step.occurrence))

    def _apply_failed(
        self,
        unit: steps_lib.Unit,
        end: orders.EndReport,
        worker: workers_lib.Worker,
        now_s: float,
    ) -> None:
        worker.consecutive_failures += 1
        if worker.consecutive_failures >= _MAX_CONSECUTIVE_FAILURES:
            worker.avoid_until_s = now_s + _FAILURE_PAUSE_S
        self._record_checkpoint(unit, end.checkpoint)
        if unit.step.spec.is_long_running:
            return
        if unit.add_failure(end.run):
            self.dirty.setdefault(unit.step.job.job_id, False)
        self._fail_if_attempts_exhausted(unit)

    def _fail_if_attempts_exhausted(self, unit: steps_lib.Unit) -> None:
        job = unit.step.job
        if (
            unit.is_done
            or unit.failure_count < job.policy.max_attempts
            or unit.step.spec.is_long_running
            or job.job_id not in self.jobs
        ):
            return
        self._finish(
            job,
            jobs_lib.JobState.FAILED,
            f"unit {unit.name} failed {unit.failure_count} times",
        )

    def _apply_running(
        self, worker: workers_lib.Worker, item: orders.RunReport, now_s: float
    ) -> None:
        run = worker.runs.get((item.unit, item.run))
        unit = run.unit if run else self._find_unit(item.unit)
        if unit is not None:
            self._mark_started(
                unit,
                item.run,
                worker.worker_id,
                job_starts.StartEvidence.REPORT,
            )
        if run is None:
            run = self._adopt_run(worker, item, unit, now_s)
            if run is None:
                return
        if run.is_start_open or run.may_start_on_next_incarnation:
            run.confirm(now_s)
        run.percent = item.percent
        run.load = item.load
        if item.checkpoint:
            run.unit.save_checkpoint(item.checkpoint)

    def _adopt_run(
        self,
        worker: workers_lib.Worker,
        item: orders.RunReport,
        unit: steps_lib.Unit | None,
        now_s: float,
    ) -> runs_lib.Run | None:
        can_adopt = (
            unit is not None
            and unit.step.job.job_id in self.jobs
            and not unit.is_done
            and not unit.runs
        )
        listed = stop_requests.StopRequest(
            worker.worker_id, item.unit, item.run
        )
        if unit is None or not can_adopt:
            is_first_request = self._stop_requests.add_orphan(listed, now_s)
            if unit is not None and is_first_request:
                self.late_starts.record(listed, is_kept=False)
            return None
        self.late_starts.record(listed, is_kept=True)
        run = runs_lib.Run(unit, item.run, worker.worker_id, now_s)
        run.confirm(now_s)
        run.adopted_s = now_s
        unit.last_run_number = max(unit.last_run_number, item.run)
        unit.last_worker_id = worker.worker_id
        unit.runs.append(run)
        unit.step.take_from_queue(unit)
        if not unit.step.waiting_count:
            self._waiting_steps.pop(unit.step.key, None)
        worker.add_run(run)
        return run

    def _mark_started(
        self,
        unit: steps_lib.Unit,
        run_number: int,
        worker_id: str,
        evidence: job_starts.StartEvidence,
    ) -> None:
        """Records that a worker has begun a unit of a job.

        The job doesn't wait from then on, whatever becomes of the run.
        """
        job = unit.step.job
        if not job.is_waiting or job.job_id not in self.jobs:
            return
        job.state = jobs_lib.JobState.RUNNING
        self.dirty.setdefault(job.job_id, False)
        self._job_starts.append(
            job_starts.JobStart(
                job.job_id, unit.name, run_number, worker_id, evidence
            )
        )

    def _find_unit(self, name: str) -> steps_lib.Unit | None:
        parts = steps_lib.parse_unit_name(name)
        if parts is None:
            return None
        job = self.jobs.get(parts[0])
        return job.find_unit(*parts[1:]) if job else None

    def _find_spec(self, name: str) -> model.Step | None:
        """Returns the step of a unit of a job that is held; None if unknown."""
        parts = steps_lib.parse_unit_name(name)
        if parts is None:
            return None
        job_id, _, position, _ = parts
        finished = self.finished.get(job_id)
        job = finished.job if finished else self.jobs.get(job_id)
        if job is None:
            return None
        steps = job.submission.request.steps
        return steps[position] if 0 <= position < len(steps) else None

    def _record_checkpoint(self, unit: steps_lib.Unit, checkpoint: str) -> None:
        if checkpoint and unit.step.spec.is_checkpointing:
            unit.save_checkpoint(checkpoint)
            self.dirty.setdefault(unit.step.job.job_id, False)

    def _drop_run(self, run: runs_lib.Run) -> None:
        """Marks a run as ended without a reported end and requeues its unit."""
        if run.phase is runs_lib.RunPhase.ENDED:
            return
        self._remove_run(run)
        self._requeue(run.unit)

    def _remove_run(self, run: runs_lib.Run) -> None:
        run.phase = runs_lib.RunPhase.ENDED
        if run in run.unit.runs:
            run.unit.runs.remove(run)
        worker = self.workers.get(run.worker_id)
        if worker is not None:
            worker.remove_run(run)

    def _requeue(self, unit: steps_lib.Unit) -> None:
        """Queues a unit again if it isn't done and has no other run."""
        step = unit.step
        if unit.is_done or unit.runs or step.job.job_id not in self.jobs:
            return
        step.queue_unit(unit)
        if step.spec.is_gang:
            # Gang members can't make progress without this one.
            for member in step.begun_units:
                self._stop_runs(member)
        if step.key not in self._waiting_steps:
            step.waiting_since_s = None
        self._waiting_steps[step.key] = step

    def _stop_runs(self, unit: steps_lib.Unit) -> None:
        for run in unit.runs:
            self.stop_run(run)

    def _queue_ready_steps(
        self, steps: Iterable[steps_lib.StepOccurrence]
    ) -> None:
        """Queues those steps of an occurrence that is due that are ready."""
        for step in steps:
            if not step.waiting_count or step.key in self._waiting_steps:
                continue
            if step.job.is_step_ready(step):
                self._waiting_steps[step.key] = step

    def _finish(
        self, job: jobs_lib.Job, state: jobs_lib.JobState, reason: str
    ) -> None:
        job.state = state
        self.jobs.pop(job.job_id, None)
        self._recurring_job_ids.discard(job.job_id)
        self.final_states[job.job_id] = state
        self.finished[job.job_id] = FinishedJob(job, reason)
        self.dirty[job.job_id] = True
        for step in job.steps:
            self._waiting_steps.pop(step.key, None)
            for unit in step.begun_units:
                self._stop_runs(unit)


def make_job(
    submission: model.Submission, store_now_s: float, now_s: float
) -> jobs_lib.Job:
    """Creates a job without progress.

    Args:
        submission: The accepted job.
        store_now_s: Current time on the store's steady clock.
        now_s: Current monotonic time, which the arrival is converted to.
    """
    age_s = max(0.0, store_now_s - submission.accepted_at_s)
    return jobs_lib.Job(submission, now_s - age_s)
