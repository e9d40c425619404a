"""Progress of accepted jobs: their steps, units and runs."""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import enum
import math

from fireflywell.scheduling import done_occurrences
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


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """The advice service's permission to run a step on a worker.

    Attributes:
        text: What the order to start must carry.
        until_s: Monotonic time at which it expires.
    """

    text: str
    until_s: float


class Unit:
    """One unit of a step in one occurrence of a job."""

    __slots__ = (
        "checkpoint",
        "failed_runs",
        "index",
        "last_run_number",
        "last_worker_id",
        "older_failures",
        "runs",
        "step",
    )

    def __init__(self, step: "StepOccurrence", index: int) -> None:
        self.step = step
        self.index = index
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
    def is_done(self) -> bool:
        """Whether a run of it has ended as done."""
        return self.step.is_unit_done(self.index)

    @property
    def failure_count(self) -> int:
        """Number of runs that have failed."""
        return self.older_failures + len(self.failed_runs)

    def mark_done(self) -> None:
        """Records that the unit is done."""
        self.step.mark_unit_done(self.index)
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
    """One step in one occurrence of a job.

    A step may have any number of units, so it holds objects only for those
    that are begun: that were placed or named by a worker, or have progress, and
    aren't done. The others are only numbers.
    """

    __slots__ = (
        "_begun",
        "_done",
        "_next_fresh",
        "_queued",
        "advice_asked_s",
        "advice_due_s",
        "denied_worker_ids",
        "done_count",
        "due_s",
        "first_ordinal",
        "job",
        "observed_unit_duration_s",
        "occurrence",
        "position",
        "ready_since_s",
        "spec",
        "tickets",
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
        # Monotonic time at which the occurrence of a recurring job was due;
        # None until it was found to be due.
        self.due_s: float | None = None
        # Monotonic time of the first planning pass that included the step.
        self.ready_since_s: float | None = None
        # Monotonic time of the first planning pass since units of the step wait
        # without a break.
        self.waiting_since_s: float | None = None
        # Tickets of the advice service by worker, which permit starts there.
        self.tickets: dict[str, Ticket] = {}
        # Monotonic time of the next request to the advice service.
        self.advice_due_s = 0.0
        # Monotonic time of the last request.
        self.advice_asked_s = -math.inf
        # Workers that the advice service was asked about and didn't approve.
        self.denied_worker_ids: set[str] = set()
        # 1 for each unit that is done.
        self._done = bytearray(spec.count)
        # Begun units that aren't done, and those of them that wait without a
        # run. The last one of these starts next, and units that aren't begun
        # follow in their order.
        self._begun: dict[int, Unit] = {}
        self._queued: dict[int, Unit] = {}
        # All units below this one are begun or done.
        self._next_fresh = 0

    @property
    def is_done(self) -> bool:
        """Whether all units are done."""
        return self.done_count >= self.spec.count

    @property
    def is_begun(self) -> bool:
        """Whether any unit is begun or done."""
        return bool(self._begun or self.done_count)

    @property
    def begun_units(self) -> tuple[Unit, ...]:
        """Units that are begun and not done."""
        return tuple(self._begun.values())

    def list_begun_units(self, first: int, end: int) -> list[Unit]:
        """Returns the begun units with indexes from `first` up to `end`."""
        if end - first < len(self._begun):
            indexes = range(max(0, first), min(end, self.spec.count))
            return [self._begun[i] for i in indexes if i in self._begun]
        return [
            unit for index, unit in self._begun.items() if first <= index < end
        ]

    @property
    def queued_units(self) -> tuple[Unit, ...]:
        """Begun units that wait without a run, the next one first."""
        return tuple(reversed(self._queued.values()))

    @property
    def fresh_count(self) -> int:
        """Number of units that are neither begun nor done."""
        return self.spec.count - self.done_count - len(self._begun)

    @property
    def waiting_count(self) -> int:
        """Number of units without a run that aren't done."""
        return len(self._queued) + self.fresh_count

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

    def is_unit_done(self, index: int) -> bool:
        """Returns whether a unit is done."""
        return bool(self._done[index])

    def find_unit(self, index: int) -> Unit | None:
        """Returns a unit, which begins it; None if there is none."""
        if not 0 <= index < self.spec.count:
            return None
        if self._done[index]:
            return Unit(self, index)
        unit = self._begun.get(index)
        if unit is None:
            unit = Unit(self, index)
            self._begun[index] = unit
            self._queued[index] = unit
        return unit

    def find_begun_unit(self, index: int) -> Unit | None:
        """Returns a unit that is begun and not done, or None."""
        return self._begun.get(index)

    def peek_fresh_unit(self) -> Unit:
        """Returns a unit that isn't begun, without beginning it."""
        while self._next_fresh < self.spec.count - 1 and (
            self._done[self._next_fresh] or self._next_fresh in self._begun
        ):
            self._next_fresh += 1
        return Unit(self, min(self._next_fresh, self.spec.count - 1))

    def iterate_waiting(self) -> Iterator[Unit]:
        """Yields the units without a run in the order in which they start.

        Each unit that is yielded is begun. While the iterator is in use, no
        unit may be queued, removed from the queue or done.
        """
        yield from self.queued_units
        while self._next_fresh < self.spec.count:
            index = self._next_fresh
            self._next_fresh += 1
            if not self._done[index] and index not in self._begun:
                unit = self.find_unit(index)
                assert unit is not None
                yield unit

    def queue_unit(self, unit: Unit) -> None:
        """Puts a unit that has no run in front of the others, unless queued."""
        self._queued.setdefault(unit.index, unit)

    def take_from_queue(self, unit: Unit) -> None:
        """Removes a unit that has got a run from the queue, if it is there."""
        self._queued.pop(unit.index, None)

    def encode_done(self) -> bytes:
        """Returns a byte for each unit, 1 if it is done."""
        return bytes(self._done)

    def mark_unit_done(self, index: int) -> None:
        """Records that a unit is done."""
        if self._done[index]:
            return
        self._done[index] = 1
        self.done_count += 1
        self._begun.pop(index, None)
        self._queued.pop(index, None)

    def mark_all_done(self) -> None:
        """Records that all units are done, as those of a gang are at once."""
        first = self.first_ordinal
        self.job.changed_units.update(range(first, first + self.spec.count))
        for index in range(self.spec.count):
            self.mark_unit_done(index)

    def may_start_on(self, worker_id: str, now_s: float) -> bool:
        """Returns whether the queue's policy allows a start on a worker now."""
        if self.job.policy.advice is None:
            return True
        ticket = self.tickets.get(worker_id)
        return ticket is not None and now_s < ticket.until_s

    def drop_expired_tickets(self, now_s: float) -> None:
        """Drops the tickets that are no longer valid."""
        if any(ticket.until_s <= now_s for ticket in self.tickets.values()):
            self.tickets = {
                worker_id: ticket
                for worker_id, ticket in self.tickets.items()
                if now_s < ticket.until_s
            }

    def update_duration(self, seconds: float) -> None:
        """Adds a finished unit's duration to the exponential moving average."""
        if self.observed_unit_duration_s is None:
            self.observed_unit_duration_s = seconds
        else:
            self.observed_unit_duration_s += 0.3 * (
                seconds - self.observed_unit_duration_s
            )


class Job:
    """An accepted job with the progress of its units.

    A recurring job may have any number of occurrences, most of them due in
    the future. Only those that are due, or named by a worker, and aren't done
    have steps; see `take_due`.
    """

    __slots__ = (
        "_done_occurrences",
        "_next_due",
        "_step_ordinals",
        "_steps",
        "arrived_s",
        "changed_units",
        "has_started",
        "is_recovered",
        "progress_ranges",
        "state",
        "state_row",
        "submission",
        "units_per_occurrence",
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
        # Position of the first unit of each step within an occurrence.
        self._step_ordinals: list[int] = []
        self.units_per_occurrence = 0
        for spec in submission.request.steps:
            self._step_ordinals.append(self.units_per_occurrence)
            self.units_per_occurrence += spec.count
        self._steps: dict[int, tuple[StepOccurrence, ...]] = {}
        self._done_occurrences = done_occurrences.DoneOccurrences()
        # The first occurrence that wasn't found to be due yet.
        self._next_due = 0
        if submission.request.recurrence is None:
            self.load_occurrence(0)

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

    @property
    def is_recurring(self) -> bool:
        """Whether its steps run at times set by a schedule."""
        return self.submission.request.recurrence is not None

    @property
    def unit_count(self) -> int:
        """Number of units of all steps of all occurrences."""
        return self.units_per_occurrence * self.submission.request.occurrences

    @property
    def steps(self) -> tuple[StepOccurrence, ...]:
        """Steps of the occurrences that are loaded, in order."""
        return tuple(
            step
            for occurrence in sorted(self._steps)
            for step in self._steps[occurrence]
        )

    @property
    def loaded_occurrences(self) -> tuple[tuple[StepOccurrence, ...], ...]:
        """Steps of each occurrence that is loaded."""
        return tuple(self._steps.values())

    @property
    def done_occurrences(self) -> done_occurrences.DoneOccurrences:
        """Occurrences of a recurring job that are done and not loaded."""
        return self._done_occurrences

    def list_loaded_steps(self, first: int, end: int) -> list[StepOccurrence]:
        """Returns the loaded steps of which units are in a range.

        Args:
            first: Ordinal of the first unit of the range.
            end: Ordinal after the last one.
        """
        size = self.units_per_occurrence
        lowest, highest = first // size, (end - 1) // size
        occurrences: Iterable[int] = range(lowest, highest + 1)
        if highest - lowest > len(self._steps):
            occurrences = sorted(self._steps)
        return [
            step
            for occurrence in occurrences
            if lowest <= occurrence <= highest
            for step in self._steps.get(occurrence, ())
            if step.first_ordinal < end
            and first < step.first_ordinal + step.spec.count
        ]

    def load_occurrence(self, occurrence: int) -> tuple[StepOccurrence, ...]:
        """Returns the steps of an occurrence, which are created if necessary.

        The steps of an occurrence that is done are created each time.
        """
        steps = self._steps.get(occurrence)
        if steps is not None:
            return steps
        first = occurrence * self.units_per_occurrence
        steps = tuple(
            StepOccurrence(
                self,
                occurrence,
                position,
                spec,
                first + self._step_ordinals[position],
            )
            for position, spec in enumerate(self.submission.request.steps)
        )
        if occurrence in self._done_occurrences:
            for step in steps:
                for index in range(step.spec.count):
                    step.mark_unit_done(index)
        else:
            self._steps[occurrence] = steps
        return steps

    def release_if_done(self, occurrence: int) -> None:
        """Drops the steps of an occurrence of a recurring job that is done."""
        if not self.is_recurring:
            return
        steps = self._steps.get(occurrence, ())
        if steps and all(step.is_done for step in steps):
            del self._steps[occurrence]
            self._done_occurrences.add(occurrence)

    def mark_occurrence_done(self, occurrence: int) -> None:
        """Records that all units of an occurrence are done."""
        if self.is_recurring:
            self._steps.pop(occurrence, None)
            self._done_occurrences.add(occurrence)
            return
        for step in self._steps[occurrence]:
            for index in range(step.spec.count):
                step.mark_unit_done(index)

    def take_due(
        self, now_unix_ms: int, now_s: float, limit: int
    ) -> list[tuple[StepOccurrence, ...]]:
        """Returns the occurrences of a recurring job that have become due.

        Each is returned once. All occurrences have the same steps, so further
        ones stay where they are while several wait that aren't begun.

        Args:
            now_unix_ms: Wall-clock time.
            now_s: Monotonic time.
            limit: Number of occurrences that aren't begun up to which further
                ones are returned.
        """
        recurrence = self.submission.request.recurrence
        if recurrence is None:
            return []
        room = limit - sum(
            not any(step.is_begun for step in steps)
            for steps in self._steps.values()
        )
        taken = []
        while self._next_due < recurrence.repetitions and room > 0:
            due_unix_ms = recurrence.first_unix_ms + self._next_due * max(
                0, recurrence.interval_ms
            )
            if now_unix_ms < due_unix_ms:
                break
            occurrence = self._next_due
            self._next_due += 1
            if occurrence in self._done_occurrences:
                continue
            is_loaded = occurrence in self._steps
            steps = self.load_occurrence(occurrence)
            room -= not is_loaded
            for step in steps:
                step.due_s = now_s - (now_unix_ms - due_unix_ms) / 1000
            taken.append(steps)
        return taken

    def find_step(
        self, occurrence: int, position: int
    ) -> StepOccurrence | None:
        """Returns a step by its position in an occurrence, or None."""
        request = self.submission.request
        if not 0 <= position < len(request.steps):
            return None
        if not 0 <= occurrence < request.occurrences:
            return None
        return self.load_occurrence(occurrence)[position]

    def find_unit(
        self, occurrence: int, position: int, index: int
    ) -> Unit | None:
        """Returns a unit by its step and index, or None if there is none."""
        step = self.find_step(occurrence, position)
        return step.find_unit(index) if step is not None else None

    def find_unit_at(self, ordinal: int) -> Unit | None:
        """Returns a unit by its position among the units of all steps."""
        occurrence, offset = divmod(ordinal, self.units_per_occurrence)
        position = bisect.bisect_right(self._step_ordinals, offset) - 1
        return self.find_unit(
            occurrence, position, offset - self._step_ordinals[position]
        )

    def is_step_ready(self, step: StepOccurrence) -> bool:
        """Returns whether the steps before a step that is due are done."""
        steps = self.load_occurrence(step.occurrence)
        # References to steps that don't exist are ignored.
        return all(
            steps[position].is_done
            for position in step.spec.after
            if position < len(steps)
        )

    @property
    def are_units_done(self) -> bool:
        """Whether every unit of every step is done."""
        if self.is_recurring:
            occurrences = self.submission.request.occurrences
            return len(self._done_occurrences) >= occurrences
        return all(step.is_done for step in self._steps[0])


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
