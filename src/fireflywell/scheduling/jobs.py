"""Progress of accepted jobs: units, their runs and the steps they wait for."""

from collections.abc import Iterator
import enum

from fireflywell.scheduling import model


class JobState(enum.StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job can't change any more."""
        return self in (
            JobState.COMPLETED,
            JobState.FAILED,
            JobState.CANCELLED,
        )


class RunPhase(enum.Enum):
    """What is known of one run of a unit."""

    SENDING = enum.auto()  # The order to start has no answer yet.
    RUNNING = enum.auto()  # The worker confirmed or listed the run.
    START_UNKNOWN = enum.auto()  # The order may still be carried out.
    STOPPING = enum.auto()  # An order to stop was given.
    AWAITING_REPORT = enum.auto()  # The worker won't start it any more.
    ENDED = enum.auto()  # It has ended or never existed.


class Run:
    """One start of a unit on one worker."""

    __slots__ = (
        "confirmed_s",
        "load",
        "number",
        "percent",
        "phase",
        "share_percent",
        "started_s",
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
        # When the current phase was confirmed, in monotonic seconds. Reports
        # requested later must list the run, or it is gone.
        self.confirmed_s = started_s
        # Nothing is known before the first report that lists the run.
        self.percent = 0
        # Share of the worker that a filling unit was last told to use.
        self.share_percent = 100
        # Tail latency in ms of a serving unit, else cpu in use.
        self.load = 0.0


class Unit:
    """One unit of a step in one occurrence of a job."""

    __slots__ = (
        "checkpoint",
        "failed_runs",
        "index",
        "is_done",
        "last_run_number",
        "last_worker_id",
        "runs",
        "step",
    )

    def __init__(self, step: "StepOccurrence", index: int) -> None:
        self.step = step
        self.index = index
        self.is_done = False
        self.checkpoint = ""
        self.failed_runs: list[int] = []
        self.runs: list[Run] = []
        self.last_run_number = 0
        self.last_worker_id = ""

    @property
    def name(self) -> str:
        """Name of the unit on workers."""
        step = self.step
        return (
            f"{step.job.job_id}.{step.occurrence}.{step.position}.{self.index}"
        )

    def find_run(self, worker_id: str, number: int) -> Run | None:
        """Returns the run of that number on a worker, or None."""
        for run in self.runs:
            if run.number == number and run.worker_id == worker_id:
                return run
        return None


class StepOccurrence:
    """One step in one occurrence of a job."""

    __slots__ = (
        "advice_due_s",
        "done_count",
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
    )

    def __init__(
        self, job: "Job", occurrence: int, position: int, spec: model.Step
    ) -> None:
        self.job = job
        self.occurrence = occurrence
        self.position = position
        self.spec = spec
        self.done_count = 0
        self.observed_unit_duration_s: float | None = None
        # When the step was first found ready, in monotonic seconds.
        self.ready_since_s: float | None = None
        # Permissions of the advice service by worker, and the monotonic time
        # until which they are valid.
        self.tickets: dict[str, str] = {}
        self.tickets_until_s = 0.0
        # When the advice service is to be asked next, in monotonic seconds.
        self.advice_due_s = 0.0
        self.units = [Unit(self, index) for index in range(spec.count)]
        self.waiting: list[Unit] = list(reversed(self.units))

    @property
    def is_done(self) -> bool:
        """Whether all units are done."""
        return self.done_count >= self.spec.count

    @property
    def expected_unit_duration_s(self) -> float:
        """Expected duration of a unit; observed values replace estimates."""
        if self.observed_unit_duration_s is not None:
            return self.observed_unit_duration_s
        return self.spec.estimated_s

    @property
    def key(self) -> str:
        """Name of the step on workers and for the advice service."""
        return f"{self.job.job_id}.{self.occurrence}.{self.position}"

    def update_duration(self, seconds: float) -> None:
        """Takes the duration of a finished unit into account."""
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
        "has_started",
        "is_recovered",
        "row_version",
        "state",
        "steps",
        "submission",
    )

    def __init__(self, submission: model.Submission, arrived_s: float) -> None:
        self.submission = submission
        self.arrived_s = arrived_s
        self.state = JobState.QUEUED
        self.has_started = False
        # Whether an earlier owner may have started units.
        self.is_recovered = False
        # Version of the stored progress; 0 if there is none.
        self.row_version = 0
        self.steps = [
            StepOccurrence(self, occurrence, position, spec)
            for occurrence in range(submission.request.occurrences)
            for position, spec in enumerate(submission.request.steps)
        ]

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
        """Returns a step by its place, or None if there is none."""
        width = len(self.submission.request.steps)
        if not 0 <= position < width:
            return None
        number = occurrence * width + position
        if not 0 <= number < len(self.steps):
            return None
        return self.steps[number]

    def find_unit(
        self, occurrence: int, position: int, index: int
    ) -> Unit | None:
        """Returns a unit by its place, or None if there is none."""
        step = self.find_step(occurrence, position)
        if step is None or not 0 <= index < len(step.units):
            return None
        return step.units[index]

    def iterate_units(self) -> Iterator[Unit]:
        """Yields the units of all steps."""
        for step in self.steps:
            yield from step.units

    def iterate_runs(self) -> Iterator[Run]:
        """Yields all runs that may be active."""
        for unit in self.iterate_units():
            yield from unit.runs

    def is_step_ready(self, step: StepOccurrence, now_unix_ms: int) -> bool:
        """Returns whether a step's units may start."""
        recurrence = self.submission.request.recurrence
        if recurrence is not None:
            due = (
                recurrence.first_unix_ms
                + step.occurrence * recurrence.interval_ms
            )
            if now_unix_ms < due:
                return False
        for position in step.spec.after:
            earlier = self.find_step(step.occurrence, position)
            if earlier is not None and not earlier.is_done:
                return False
        return True

    @property
    def are_units_done(self) -> bool:
        """Whether every unit has ended as done."""
        return all(step.is_done for step in self.steps)


def parse_unit_name(name: str) -> tuple[str, int, int, int] | None:
    """Splits a unit's name into job, occurrence, step and index.

    Returns:
        The parts, or None if the name isn't of that form.
    """
    parts = name.split(".")
    if len(parts) != 4:
        return None
    try:
        return parts[0], int(parts[1]), int(parts[2]), int(parts[3])
    except ValueError:
        return None
