"""All jobs and workers of one service, with the decisions about them.

The state takes events (jobs, reports, outcomes of orders) and says what to
do. It never waits and knows nothing of connections or rows.
"""

import collections
from collections.abc import Iterable
import dataclasses

from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import model
from fireflywell.scheduling import orders
from fireflywell.scheduling import placement
from fireflywell.scheduling import ranking
from fireflywell.scheduling import workers as workers_lib

# Numbers of runs that one owner may use for a unit before the next owner's
# numbers begin.
_RUNS_PER_FENCING_TOKEN = 1000

# Placements of one pass; the rest follows in the next one, so that a pass
# stays short.
_PLACEMENTS_PER_PASS = 64

# A worker that had no room for a unit gets no more until it has reported.
_NO_CAPACITY_PAUSE_S = 0.15

_UNHEALTHY_PAUSE_S = 0.5

# Failed runs in a row, without a good one, after which a worker is avoided.
_MAX_CONSECUTIVE_FAILURES = 3
_FAILURE_PAUSE_S = 4.0


# A run that is still listed this long after a stop gets another one.
_STOP_RETRY_INTERVAL_S = 1.0
_MAX_ORPHAN_STOPS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequest:
    """A run that must be stopped on a worker."""

    worker_id: str
    unit: str
    run: int


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedJob:
    """A job that has reached a final state."""

    job: jobs_lib.Job
    reason: str


class ServiceState:
    """Jobs, workers and runs of one service."""

    __slots__ = (
        "_first_run_number",
        "_mean_work_by_queue",
        "_waiting_steps",
        "_recurring_job_ids",
        "_orphan_stop_times",
        "dirty",
        "final_states",
        "finished",
        "is_recovery_complete",
        "jobs",
        "pending_stops",
        "workers",
    )

    def __init__(self, token: int) -> None:
        self._first_run_number = (token - 1) * _RUNS_PER_FENCING_TOKEN + 1
        self._mean_work_by_queue: dict[str, ranking.MeanWork] = {}
        # Ready steps with waiting units.
        self._waiting_steps: dict[str, jobs_lib.StepOccurrence] = {}
        # Jobs that have steps which become ready at a time of day.
        self._recurring_job_ids: set[str] = set()
        self.jobs: dict[str, jobs_lib.Job] = {}
        self.workers: dict[str, workers_lib.Worker] = {}
        # Final states, by job, so that late rows don't bring them back.
        self.final_states: dict[str, jobs_lib.JobState] = {}
        # Jobs to be stored; True if callers wait for it.
        self.dirty: dict[str, bool] = {}
        # Jobs that became final and aren't stored yet.
        self.finished: dict[str, FinishedJob] = {}
        # Runs to be stopped, in order.
        self.pending_stops: collections.deque[StopRequest] = collections.deque()
        self._orphan_stop_times: dict[StopRequest, float] = {}
        # Whether it is known which units an earlier owner left running.
        self.is_recovery_complete = False

    @property
    def has_waiting_units(self) -> bool:
        """Whether any ready step has waiting units."""
        return bool(self._waiting_steps)

    def list_waiting_steps(self) -> tuple[jobs_lib.StepOccurrence, ...]:
        """Returns the ready steps that have waiting units."""
        return tuple(self._waiting_steps.values())

    def stop_run(self, run: jobs_lib.Run) -> None:
        """Asks for the stop of a run; its unit waits again once it ended."""
        if run.phase in (
            jobs_lib.RunPhase.STOPPING,
            jobs_lib.RunPhase.ENDED,
        ):
            return
        run.phase = jobs_lib.RunPhase.STOPPING
        self.pending_stops.append(
            StopRequest(run.worker_id, run.unit.name, run.number)
        )

    def add_job(self, job: jobs_lib.Job) -> None:
        """Adds a job; one that is known or final is left out."""
        if job.job_id in self.jobs or job.job_id in self.final_states:
            return
        if job.state.is_final:
            self.final_states[job.job_id] = job.state
            return
        self.jobs[job.job_id] = job
        mean = self._mean_work_by_queue.setdefault(
            job.policy.queue, ranking.MeanWork()
        )
        mean.add(ranking.compute_work(job))
        if job.submission.request.recurrence is not None:
            self._recurring_job_ids.add(job.job_id)
        if job.are_units_done:
            self._finish(job, jobs_lib.JobState.COMPLETED, "")
            return
        for step in job.steps:
            self._fail_if_attempts_exhausted(step)
        self._queue_ready_steps(job, None)

    def cancel_job(self, job_id: str) -> None:
        """Stops a job for good."""
        job = self.jobs.get(job_id)
        if job is None:
            self.final_states.setdefault(job_id, jobs_lib.JobState.CANCELLED)
            return
        self._finish(job, jobs_lib.JobState.CANCELLED, "cancelled")

    def queue_due_steps(self, now_unix_ms: int) -> None:
        """Opens steps whose time has come."""
        for job_id in tuple(self._recurring_job_ids):
            job = self.jobs.get(job_id)
            if job is None:
                self._recurring_job_ids.discard(job_id)
                continue
            self._queue_ready_steps(job, now_unix_ms)

    def count_waiting(self, queue: str) -> int:
        """Returns how many jobs of a queue have not started."""
        return sum(
            not job.has_started
            for job in self.jobs.values()
            if job.policy.queue == queue
        )

    def plan(self, now_s: float) -> list[jobs_lib.Run]:
        """Places waiting units and returns the runs to start."""
        candidates = [
            step
            for step in self._waiting_steps.values()
            if self.is_recovery_complete or not step.job.is_recovered
        ]
        if not candidates:
            return []
        largest = max(
            (
                worker.free_cpu
                for worker in self.workers.values()
                if worker.accepts_runs(now_s)
            ),
            default=-1,
        )
        ranked = []
        for step in candidates:
            if step.ready_since_s is None:
                step.ready_since_s = now_s
            if step.job.policy.advice and now_s >= step.tickets_until_s:
                step.tickets = {}
            demand = 0 if step.spec.is_filling else step.spec.demand.cpu_millis
            is_serving = step.spec.is_long_running
            if demand > largest and not is_serving:
                continue
            mean = self._mean_work_by_queue[step.job.policy.queue].value
            rank = ranking.rank_step(step, now_s, step.job.arrived_s, mean)
            ranked.append(placement.RankedStep(rank, step))
        ranked.sort(key=lambda item: item.rank)
        placements = placement.place_units(
            ranked, tuple(self.workers.values()), now_s, _PLACEMENTS_PER_PASS
        )
        return self._begin_runs(placements, now_s)

    def confirm_start(self, run: jobs_lib.Run, now_s: float) -> None:
        """Notes that a worker accepted a start."""
        if run.phase is jobs_lib.RunPhase.SENDING:
            run.phase = jobs_lib.RunPhase.RUNNING
            run.confirmed_s = now_s

    def refuse_start(
        self, run: jobs_lib.Run, reason: orders.Refusal | None, now_s: float
    ) -> None:
        """Notes that a worker refused a start.

        Args:
            run: The run.
            reason: Why, or None if the worker is unhealthy.
            now_s: Monotonic time.
        """
        worker = self.workers.get(run.worker_id)
        if reason is orders.Refusal.NO_TICKET:
            # The worker's incarnation or the ticket is over; others may be
            # valid.
            run.unit.step.tickets.pop(run.worker_id, None)
            run.unit.step.advice_due_s = 0.0
            self._drop_run(run)
            return
        if reason is orders.Refusal.OLD_RUN:
            # An earlier sending of the order may have been carried out; the
            # next report says how it went.
            run.phase = jobs_lib.RunPhase.AWAITING_REPORT
            run.confirmed_s = now_s
            return
        if worker is not None:
            pause = _NO_CAPACITY_PAUSE_S
            if reason is None:
                pause = _UNHEALTHY_PAUSE_S
            worker.avoid_until_s = max(worker.avoid_until_s, now_s + pause)
        self._drop_run(run)

    def mark_start_unknown(self, run: jobs_lib.Run) -> None:
        """Notes that a start has no answer and may still be carried out."""
        if run.phase is jobs_lib.RunPhase.SENDING:
            run.phase = jobs_lib.RunPhase.START_UNKNOWN
            self.pending_stops.append(
                StopRequest(run.worker_id, run.unit.name, run.number)
            )

    def confirm_stop(
        self, worker_id: str, unit_name: str, number: int, now_s: float
    ) -> None:
        """Notes that a worker won't start a run, or is stopping it."""
        worker = self.workers.get(worker_id)
        run = worker.runs.get((unit_name, number)) if worker else None
        if run is not None and run.phase in (
            jobs_lib.RunPhase.START_UNKNOWN,
            jobs_lib.RunPhase.STOPPING,
        ):
            run.phase = jobs_lib.RunPhase.AWAITING_REPORT
            run.confirmed_s = now_s

    def apply_report(
        self,
        worker_id: str,
        report: orders.WorkerReport,
        requested_s: float,
        now_s: float,
    ) -> int:
        """Takes a worker's report into account.

        Args:
            worker_id: The worker.
            report: The report.
            requested_s: Monotonic time at which it was asked for.
            now_s: Monotonic time.

        Returns:
            The number of the last end in the report, 0 if there is none.
        """
        worker = self.workers[worker_id]
        worker.reported_s = now_s
        last = 0
        listed: set[tuple[str, int]] = set()
        for end in report.ended:
            last = max(last, end.number)
            listed.add((end.unit, end.run))
            self._apply_end(worker, end, now_s)
        for item in report.running:
            listed.add((item.unit, item.run))
            self._apply_running(worker, item, now_s)
        for key, run in tuple(worker.runs.items()):
            if key in listed or run.confirmed_s >= requested_s:
                continue
            if run.phase in (
                jobs_lib.RunPhase.RUNNING,
                jobs_lib.RunPhase.AWAITING_REPORT,
            ):
                self._drop_run(run)
        return last

    def find_unknown_jobs(self, report: orders.WorkerReport) -> frozenset[str]:
        """Returns the jobs of a report that the state has never seen."""
        names = {item.unit for item in report.running}
        names.update(item.unit for item in report.ended)
        job_ids = {name.partition(".")[0] for name in names}
        return frozenset(
            job_id
            for job_id in job_ids
            if job_id not in self.jobs and job_id not in self.final_states
        )

    def drop_worker_runs(self, worker_id: str) -> int:
        """Treats all runs on a worker as ended; returns their number."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return 0
        lost = tuple(worker.runs.values())
        for run in lost:
            self._drop_run(run)
        return len(lost)

    def remove_worker(self, worker_id: str) -> None:
        """Removes a worker that runs nothing any more."""
        self.drop_worker_runs(worker_id)
        self.workers.pop(worker_id, None)

    def take_dirty(self, limit: int) -> list[jobs_lib.Job]:
        """Returns jobs to be stored, those that callers wait for first."""
        order = sorted(self.dirty, key=lambda job_id: not self.dirty[job_id])
        taken = []
        for job_id in order[:limit]:
            del self.dirty[job_id]
            finished = self.finished.get(job_id)
            job = finished.job if finished else self.jobs.get(job_id)
            if job is not None:
                taken.append(job)
        return taken

    def _begin_runs(
        self, placements: Iterable[placement.Placement], now_s: float
    ) -> list[jobs_lib.Run]:
        runs = []
        gang_numbers: dict[str, int] = {}
        for item in placements:
            unit, step = item.unit, item.unit.step
            number = max(unit.last_run_number + 1, self._first_run_number)
            if step.spec.is_gang:
                number = gang_numbers.setdefault(
                    step.key,
                    max(
                        self._first_run_number,
                        1 + max(u.last_run_number for u in step.units),
                    ),
                )
            run = jobs_lib.Run(unit, number, item.worker.worker_id, now_s)
            unit.last_run_number = number
            unit.last_worker_id = item.worker.worker_id
            unit.runs.append(run)
            step.waiting.remove(unit)
            if not step.waiting:
                self._waiting_steps.pop(step.key, None)
            item.worker.add_run(run)
            if not step.job.has_started:
                step.job.has_started = True
                step.job.state = jobs_lib.JobState.RUNNING
                self.dirty.setdefault(step.job.job_id, False)
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
        job = unit.step.job
        if job.job_id not in self.jobs:
            return
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
        unit: jobs_lib.Unit,
        run: jobs_lib.Run | None,
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
        # One done end of a gang represents all its members.
        members = step.units if step.spec.is_gang else [unit]
        for member in members:
            if member.is_done:
                continue
            member.is_done = True
            step.done_count += 1
            if member in step.waiting:
                step.waiting.remove(member)
            self._stop_runs(member)
        if not step.waiting:
            self._waiting_steps.pop(step.key, None)
        job = step.job
        if step.is_done and job.are_units_done:
            self._finish(job, jobs_lib.JobState.COMPLETED, "")
            return
        self.dirty.setdefault(job.job_id, False)
        if step.is_done:
            self._queue_ready_steps(job, None)

    def _apply_failed(
        self,
        unit: jobs_lib.Unit,
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
        if end.run not in unit.failed_runs:
            unit.failed_runs.append(end.run)
            self.dirty.setdefault(unit.step.job.job_id, False)
        self._fail_if_attempts_exhausted(unit.step)

    def _fail_if_attempts_exhausted(
        self, step: jobs_lib.StepOccurrence
    ) -> None:
        job = step.job
        if step.spec.is_long_running or job.job_id not in self.jobs:
            return
        limit = job.policy.max_attempts
        for unit in step.units:
            if not unit.is_done and len(unit.failed_runs) >= limit:
                self._finish(
                    job,
                    jobs_lib.JobState.FAILED,
                    f"unit {unit.name} failed {len(unit.failed_runs)} times",
                )
                return

    def _apply_running(
        self, worker: workers_lib.Worker, item: orders.RunReport, now_s: float
    ) -> None:
        run = worker.runs.get((item.unit, item.run))
        if run is None:
            run = self._adopt_run(worker, item, now_s)
            if run is None:
                return
        if run.phase is jobs_lib.RunPhase.SENDING:
            run.phase = jobs_lib.RunPhase.RUNNING
            run.confirmed_s = now_s
        run.percent = item.percent
        run.load = item.load
        if item.checkpoint:
            run.unit.checkpoint = item.checkpoint

    def _adopt_run(
        self, worker: workers_lib.Worker, item: orders.RunReport, now_s: float
    ) -> jobs_lib.Run | None:
        unit = self._find_unit(item.unit)
        is_wanted = (
            unit is not None
            and unit.step.job.job_id in self.jobs
            and not unit.is_done
            and not unit.runs
        )
        if unit is None or not is_wanted:
            self._stop_orphan_run(
                StopRequest(worker.worker_id, item.unit, item.run), now_s
            )
            return None
        run = jobs_lib.Run(unit, item.run, worker.worker_id, now_s)
        run.phase = jobs_lib.RunPhase.RUNNING
        unit.last_run_number = max(unit.last_run_number, item.run)
        unit.last_worker_id = worker.worker_id
        unit.runs.append(run)
        if unit in unit.step.waiting:
            unit.step.waiting.remove(unit)
        if not unit.step.waiting:
            self._waiting_steps.pop(unit.step.key, None)
        unit.step.job.has_started = True
        worker.add_run(run)
        return run

    def _stop_orphan_run(self, request: StopRequest, now_s: float) -> None:
        """Asks for a stop; a run takes a while to end and is listed again."""
        asked_s = self._orphan_stop_times.get(request)
        if asked_s is not None and now_s - asked_s < _STOP_RETRY_INTERVAL_S:
            return
        if len(self._orphan_stop_times) > _MAX_ORPHAN_STOPS:
            self._orphan_stop_times.clear()
        self._orphan_stop_times[request] = now_s
        self.pending_stops.append(request)

    def _find_unit(self, name: str) -> jobs_lib.Unit | None:
        parts = jobs_lib.parse_unit_name(name)
        if parts is None:
            return None
        job = self.jobs.get(parts[0])
        return job.find_unit(*parts[1:]) if job else None

    def _record_checkpoint(self, unit: jobs_lib.Unit, checkpoint: str) -> None:
        if checkpoint and unit.step.spec.is_checkpointing:
            unit.checkpoint = checkpoint
            self.dirty.setdefault(unit.step.job.job_id, False)

    def _drop_run(self, run: jobs_lib.Run) -> None:
        """Ends a run that has left no end in a report."""
        if run.phase is jobs_lib.RunPhase.ENDED:
            return
        self._remove_run(run)
        self._requeue(run.unit)

    def _remove_run(self, run: jobs_lib.Run) -> None:
        run.phase = jobs_lib.RunPhase.ENDED
        if run in run.unit.runs:
            run.unit.runs.remove(run)
        worker = self.workers.get(run.worker_id)
        if worker is not None:
            worker.remove_run(run)

    def _requeue(self, unit: jobs_lib.Unit) -> None:
        """Lets a unit wait again if it isn't done and has no other run."""
        step = unit.step
        if unit.is_done or unit.runs or step.job.job_id not in self.jobs:
            return
        if unit not in step.waiting:
            step.waiting.append(unit)
        if step.spec.is_gang:
            # The others are of no use without this one.
            for member in step.units:
                self._stop_runs(member)
        self._waiting_steps[step.key] = step

    def _stop_runs(self, unit: jobs_lib.Unit) -> None:
        for run in unit.runs:
            self.stop_run(run)

    def _queue_ready_steps(
        self, job: jobs_lib.Job, now_unix_ms: int | None
    ) -> None:
        is_timed = job.submission.request.recurrence is not None
        if is_timed and now_unix_ms is None:
            return
        for step in job.steps:
            if not step.waiting or step.key in self._waiting_steps:
                continue
            if job.is_step_ready(step, now_unix_ms or 0):
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
            for unit in step.units:
                self._stop_runs(unit)


def make_job(
    submission: model.Submission, store_now_s: float, now_s: float
) -> jobs_lib.Job:
    """Returns a job without progress.

    Args:
        submission: The accepted job.
        store_now_s: The store's steady clock.
        now_s: Monotonic time, to which the age is converted.
    """
    age_s = max(0.0, store_now_s - submission.accepted_at_s)
    return jobs_lib.Job(submission, now_s - age_s)
