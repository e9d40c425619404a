"""Accepted jobs and the occurrences of their steps."""

import bisect
from collections.abc import Iterable
import enum

from fireflywell.scheduling import done_occurrences
from fireflywell.scheduling import model
from fireflywell.scheduling import progress_ranges
from fireflywell.scheduling import steps as steps_lib


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
        self._steps: dict[int, tuple[steps_lib.StepOccurrence, ...]] = {}
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
    def is_waiting(self) -> bool:
        """Whether no unit of it is known to have started."""
        return self.state is JobState.QUEUED

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
    def steps(self) -> tuple[steps_lib.StepOccurrence, ...]:
        """Steps of the occurrences that are loaded, in order."""
        return tuple(
            step
            for occurrence in sorted(self._steps)
            for step in self._steps[occurrence]
        )

    @property
    def loaded_occurrences(
        self,
    ) -> tuple[tuple[steps_lib.StepOccurrence, ...], ...]:
        """Steps of each occurrence that is loaded."""
        return tuple(self._steps.values())

    @property
    def done_occurrences(self) -> done_occurrences.DoneOccurrences:
        """Occurrences of a recurring job that are done and not loaded."""
        return self._done_occurrences

    def list_loaded_steps(
        self, first: int, end: int
    ) -> list[steps_lib.StepOccurrence]:
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

    def load_occurrence(
        self, occurrence: int
    ) -> tuple[steps_lib.StepOccurrence, ...]:
        """Returns the steps of an occurrence, which are created if necessary.

        The steps of an occurrence that is done are created each time.
        """
        steps = self._steps.get(occurrence)
        if steps is not None:
            return steps
        first = occurrence * self.units_per_occurrence
        steps = tuple(
            steps_lib.StepOccurrence(
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
    ) -> list[tuple[steps_lib.StepOccurrence, ...]]:
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
    ) -> steps_lib.StepOccurrence | None:
        """Returns a step by its position in an occurrence, or None."""
        request = self.submission.request
        if not 0 <= position < len(request.steps):
            return None
        if not 0 <= occurrence < request.occurrences:
            return None
        return self.load_occurrence(occurrence)[position]

    def find_unit(
        self, occurrence: int, position: int, index: int
    ) -> steps_lib.Unit | None:
        """Returns a unit by its step and index, or None if there is none."""
        step = self.find_step(occurrence, position)
        return step.find_unit(index) if step is not None else None

    def find_unit_at(self, ordinal: int) -> steps_lib.Unit | None:
        """Returns a unit by its position among the units of all steps."""
        occurrence, offset = divmod(ordinal, self.units_per_occurrence)
        position = bisect.bisect_right(self._step_ordinals, offset) - 1
        return self.find_unit(
            occurrence, position, offset - self._step_ordinals[position]
        )

    def is_step_ready(self, step: steps_lib.StepOccurrence) -> bool:
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
