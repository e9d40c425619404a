"""Progress of accepted jobs: their steps, units and runs."""

import bisect
from collections.abc import Iterator
import enum
import math

from fireflywell.scheduling import model
from fireflywell.scheduling import progress_ranges

# Failed runs of a unit whose numbers are kept, which bounds the size of its
# stored progress. Workers list only recent ends again.
MAX_FAILED_RUNS = 256


class JobState(enum.StrEnum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state can't change any more."""
        return self in (
            JobState.COMPLETED,
            JobState.FAILED,
            JobState.CANCELLED,
        )


class RunPhase(enum.Enum):
    """Phase of a run, from the order to start it until its end."""

    SENDING = enum.auto()  # The start order has no response yet.
    RUNNING = enum.auto()  # The worker confirmed or reported the run.
    START_UNKNOWN = enum.auto()  # The worker may still start the run.
    STOPPING = enum.auto()  # A stop was requested.
    # Can't start on this incarnation of the worker; a report decides.
    AWAITING_REPORT = enum.auto()
    ENDED = enum.auto()  # The run has ended or was never started.


# Planning checks the phase of each run in each pass.
_OPEN_START_PHASES = (RunPhase.SENDING, RunPhase.START_UNKNOWN)


class Run:
    """One attempt to run a unit on a worker."""

    __slots__ = (
        "adopted_s",
        "confirmed_s",
        "is_share_confirmed",
        "load",
        "may_start_until_ms",
        "number",
        "percent",
        "phase",
        "share_percent",
        "start_token",
        "started_s",
        "stop_requested_s",
        "unanswered_starts",
        "unit",
        "worker_id",
    )

    def __init__(
        self, unit: "Unit", number: int, worker_id: str, started_s: float
    ) -> None:
        self.unit = unit
        self.number = number
        self.worker_id = worker_id
        self.started_s = started_s
        self.phase = RunPhase.SENDING
        # Monotonic time of the first report of a run that an earlier owner
        # started; None if this owner started it.
        self.adopted_s: float | None = None
        # Monotonic time at which the worker last confirmed the run or its stop.
        # A report requested later that doesn't list the run means that it has
        # ended.
        self.confirmed_s = started_s
        # Transmissions of the start order that are in flight or had no answer.
        # The worker may carry out each of them until the lease in the order has
        # expired.
        self.unanswered_starts = 0
        # Time on the worker's clock after which it doesn't begin the run: the
        # end of the lease in the order, -inf if no transmission can begin the
        # run any more, inf if no such time is known.
        self.may_start_until_ms = math.inf
        # Fencing token of the start order; inf until there is one. A worker
        # that has received a higher one doesn't begin the run any more.
        self.start_token = math.inf
        # Monotonic time of the last request to stop the run, as far as reports
        # have shown it to be open.
        self.stop_requested_s: float | None = None
        # Progress; 0 until a report lists the run.
        self.percent = 0
        # Share of the worker that a filling unit was last ordered to use.
        self.share_percent = 100
        # Whether the worker accepted the last order on the share.
        self.is_share_confirmed = True
        # Tail latency in ms of a serving unit, CPU usage of any other.
        self.load = 0.0

    @property
    def is_start_open(self) -> bool:
        """Whether the worker hasn't confirmed that it has the order."""
        return self.phase in _OPEN_START_PHASES

    @property
    def may_start_on_next_incarnation(self) -> bool:
        """Whether an order to the worker's former incarnation is open.

        The next incarnation may carry it out, and an answer to it may be the
        former one's.
        """
        return (
            self.phase is not RunPhase.SENDING
            and self.may_start_until_ms == math.inf
        )

    def confirm(self, now_s: float) -> None:
        """Records that the worker has begun the run, which it does once."""
        if self.is_start_open:
            self.phase = RunPhase.RUNNING
        self.may_start_until_ms = -math.inf
        self.confirmed_s = now_s

    def confirm_over(self, now_s: float) -> None:
        """Records that this incarnation won't begin the run any more."""
        self.phase = RunPhase.AWAITING_REPORT
        self.may_start_until_ms = -math.inf
        self.confirmed_s = now_s

    def end_incarnation(self) -> bool:
        """Records that the worker restarted while start orders are open.

        The next incarnation's clock differs from that of the lease in the
        order, so the run is over only if a report that was requested with a
        higher token than the order's, or after a confirmed stop, doesn't list
        it. A run that a report lists goes on, so only one that is unwanted has
        to be stopped.

        Returns:
            Whether the run's stop has to be requested now.
        """
        if self.may_start_on_next_incarnation and (
            self.is_start_open or self.phase is RunPhase.STOPPING
        ):
            return False
        is_unwanted = self.phase in (
            RunPhase.STOPPING,
            RunPhase.AWAITING_REPORT,
        )
        self.phase = (
            RunPhase.STOPPING if is_unwanted else RunPhase.START_UNKNOWN
        )
        self.may_start_until_ms = math.inf
        self.stop_requested_s = None
        return is_unwanted

    def is_over(self, clock_ms: int, requested_s: float, token: int) -> bool:
        """Returns whether a complete report without the run proves its end.

        The worker refuses an order whose lease has expired or whose fencing
        token is below one that it has received, so such a report also proves
        that an order without an answer won't be carried out.

        Args:
            clock_ms: Time of the report on the worker's clock.
            requested_s: Monotonic time at which the report was requested.
            token: Fencing token of that request.
        """
        return self.confirmed_s < requested_s and (
            clock_ms > self.may_start_until_ms or token > self.start_token
        )


class Unit:
    """One unit of a step in one occurrence of a job."""

    __slots__ = (
        "checkpoint",
        "failed_runs",
        "index",
        "is_done",
        "last_run_number",
        "last_worker_id",
        "older_failures",
        "runs",
        "step",
    )

    def __init__(self, step: "StepOccurrence", index: int) -> None:
        self.step = step
        self.index = index
        self.is_done = False
        self.checkpoint = ""
        # Numbers of failed runs, so that none counts twice.
        self.failed_runs: list[int] = []
        # Number of earlier failed runs whose numbers aren't kept any more.
        self.older_failures = 0
        self.runs: list[Run] = []
        self.last_run_number = 0
        self.last_worker_id = ""

    @property
    def name(self) -> str:
        """Name of the unit in orders to workers and in their reports."""
        step = self.step
        return (
            f"{step.job.job_id}.{step.occurrence}.{step.position}.{self.index}"
        )

    @property
    def failure_count(self) -> int:
        """Number of runs that have failed."""
        return self.older_failures + len(self.failed_runs)

    def mark_done(self) -> None:
        """Records that the unit is done."""
        self.is_done = True
        self._mark_changed()

    def save_checkpoint(self, checkpoint: str) -> None:
        """Records the progress from which the next run resumes."""
        if checkpoint != self.checkpoint:
            self.checkpoint = checkpoint
            self._mark_changed()

    def add_failure(self, run_number: int) -> bool:
        """Records a failed run.

        Returns:
            Whether the run wasn't recorded before. A run whose number may have
            been dropped counts as recorded.
        """
        runs = self.failed_runs
        if run_number in runs or (
            self.older_failures and run_number < min(runs)
        ):
            return False
        runs.append(run_number)
        if len(runs) > MAX_FAILED_RUNS:
            runs.remove(min(runs))
            self.older_failures += 1
        self._mark_changed()
        return True

    def _mark_changed(self) -> None:
        step = self.step
        step.job.changed_units.add(step.first_ordinal + self.index)

    def find_run(self, worker_id: str, number: int) -> Run | None:
        """Returns the run with this number on a worker, or None."""
        for run in self.runs:
            if run.number == number and run.worker_id == worker_id:
                return run
        return None


class StepOccurrence:
    """One step in one occurrence of a job."""

    __slots__ = (
        "advice_asked_s",
        "advice_due_s",
        "denied_worker_ids",
        "done_count",
        "first_ordinal",
        "job",
        "observed_unit_duration_s",
        "occurrence",
        "position",
        "ready_since_s",
        "spec",
        "tickets",
        "tickets_until_s",
        "units",
        "waiting",
        "waiting_since_s",
    )

    def __init__(
        self,
        job: "Job",
        occurrence: int,
        position: int,
        spec: model.Step,
        first_ordinal: int = 0,
    ) -> None:
        self.job = job
        self.occurrence = occurrence
        self.position = position
        self.spec = spec
        # Position of the first unit among the units of all steps of the job.
        self.first_ordinal = first_ordinal
        self.done_count = 0
        self.observed_unit_duration_s: float | None = None
        # Monotonic time of the first planning pass that included the step.
        self.ready_since_s: float | None = None
        # Monotonic time of the first planning pass since units of the step wait
        # without a break.
        self.waiting_since_s: float | None = None
        # Tickets of the advice service by worker, which permit starts there,
        # and the monotonic time at which they expire.
        self.tickets: dict[str, str] = {}
        self.tickets_until_s = 0.0
        # Monotonic time of the next request to the advice service.
        self.advice_due_s = 0.0
        # Monotonic time of the last request.
        self.advice_asked_s = -math.inf
        # Workers that the advice service was asked about and didn't approve.
        self.denied_worker_ids: set[str] = set()
        self.units = [Unit(self, index) for index in range(spec.count)]
        # A stack of the units without a run; the last one starts next.
        self.waiting: list[Unit] = list(reversed(self.units))

    @property
    def is_done(self) -> bool:
        """Whether all units are done."""
        return self.done_count >= self.spec.count

    @property
    def expected_unit_duration_s(self) -> float:
        """Expected duration of a unit: the observed average or the estimate."""
        if self.observed_unit_duration_s is not None:
            return self.observed_unit_duration_s
        return self.spec.estimated_s

    @property
    def key(self) -> str:
        """Identifier of the step, also towards the advice service."""
        return f"{self.job.job_id}.{self.occurrence}.{self.position}"

    def may_start_on(self, worker_id: str, now_s: float) -> bool:
        """Returns whether the queue's policy allows a start on a worker now."""
        return self.job.policy.advice is None or (
            worker_id in self.tickets and now_s < self.tickets_until_s
        )

    def update_duration(self, seconds: float) -> None:
        """Adds a finished unit's duration to the exponential moving average."""
        if self.observed_unit_duration_s is None:
            self.observed_unit_duration_s = seconds
        else:
            self.observed_unit_duration_s += 0.3 * (
                seconds - self.observed_unit_duration_s
            )


class Job:
    """An accepted job with the progress of its units."""

    __slots__ = (
        "arrived_s",
        "changed_units",
        "has_started",
        "is_recovered",
        "progress_ranges",
        "state",
        "state_row",
        "steps",
        "submission",
    )

    def __init__(self, submission: model.Submission, arrived_s: float) -> None:
        self.submission = submission
        self.arrived_s = arrived_s
        self.state = JobState.QUEUED
        self.has_started = False
        # Whether a previous owner of the service may have started units.
        self.is_recovered = False
        # Row that holds the state, and the progress of all units as long as it
        # is small.
        self.state_row = progress_ranges.StoredRow()
        # Ranges of units whose progress is in rows of their own, in order.
        self.progress_ranges: list[progress_ranges.ProgressRange] = []
        # Units whose progress has changed since it was last encoded.
        self.changed_units: set[int] = set()
        self.steps: list[StepOccurrence] = []
        ordinal = 0
        for occurrence in range(submission.request.occurrences):
            for position, spec in enumerate(submission.request.steps):
                self.steps.append(
                    StepOccurrence(self, occurrence, position, spec, ordinal)
                )
                ordinal += spec.count

    @property
    def job_id(self) -> str:
        """Identifier chosen by the caller."""
        return self.submission.job_id

    @property
    def policy(self) -> model.QueuePolicy:
        """Policy of the job's queue."""
        return self.submission.policy

    @property
    def is_long_running(self) -> bool:
        """Whether any step runs until the job is cancelled."""
        return any(s.is_long_running for s in self.submission.request.steps)

    def find_step(
        self, occurrence: int, position: int
    ) -> StepOccurrence | None:
        """Returns a step by its position in an occurrence, or None."""
        steps_per_occurrence = len(self.submission.request.steps)
        if not 0 <= position < steps_per_occurrence:
            return None
        index = occurrence * steps_per_occurrence + position
        if not 0 <= index < len(self.steps):
            return None
        return self.steps[index]

    def find_unit(
        self, occurrence: int, position: int, index: int
    ) -> Unit | None:
        """Returns a unit by its step and index, or None if there is none."""
        step = self.find_step(occurrence, position)
        if step is None or not 0 <= index < len(step.units):
            return None
        return step.units[index]

    def list_units(self, first: int, count: int) -> list[Unit]:
        """Returns consecutive units in the order of all steps.

        Args:
            first: Ordinal of the first one.
            count: Number of units; those after the last one are left out.
        """
        found: list[Unit] = []
        position = bisect.bisect_right(
            self.steps, first, key=lambda step: step.first_ordinal
        )
        position = max(0, position - 1)
        while position < len(self.steps) and len(found) < count:
            step = self.steps[position]
            start = max(0, first - step.first_ordinal)
            found.extend(step.units[start : start + count - len(found)])
            position += 1
        return found

    def iterate_units(self) -> Iterator[Unit]:
        """Yields the units of all steps."""
        for step in self.steps:
            yield from step.units

    def iterate_runs(self) -> Iterator[Run]:
        """Yields all runs that haven't ended."""
        for unit in self.iterate_units():
            yield from unit.runs

    def is_step_ready(self, step: StepOccurrence, now_unix_ms: int) -> bool:
        """Returns whether a step is due and the steps before it are done.

        Args:
            step: A step of this job.
            now_unix_ms: Wall-clock time; only used if the job recurs.
        """
        recurrence = self.submission.request.recurrence
        if recurrence is not None:
            due_unix_ms = (
                recurrence.first_unix_ms
                + step.occurrence * recurrence.interval_ms
            )
            if now_unix_ms < due_unix_ms:
                return False
        for position in step.spec.after:
            dependency = self.find_step(step.occurrence, position)
            if dependency is not None and not dependency.is_done:
                return False
        return True

    @property
    def are_units_done(self) -> bool:
        """Whether every unit of every step is done."""
        return all(step.is_done for step in self.steps)


def parse_unit_name(name: str) -> tuple[str, int, int, int] | None:
    """Parses a unit's name into job, occurrence, step and index.

    Returns:
        The parts, or None if the name doesn't have this form.
    """
    parts = name.split(".")
    if len(parts) != 4:
        return None
    try:
        return parts[0], int(parts[1]), int(parts[2]), int(parts[3])
    except ValueError:
        return None
