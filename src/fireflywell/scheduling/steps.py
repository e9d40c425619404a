"""Steps of accepted jobs and their units."""

from collections.abc import Iterator
import dataclasses
import math
from typing import TYPE_CHECKING

from fireflywell.scheduling import model
from fireflywell.scheduling import runs as runs_lib

if TYPE_CHECKING:
    from fireflywell.scheduling import jobs as jobs_lib

# Failed runs of a unit whose numbers are kept, which bounds the size of its
# stored progress. Workers list only recent ends again.
MAX_FAILED_RUNS = 256


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
        self.runs: list[runs_lib.Run] = []
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

    def find_run(self, worker_id: str, number: int) -> runs_lib.Run | None:
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
        job: "jobs_lib.Job",
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
