"""Encodes the progress of ranges of a job's units as rows of the store."""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

import msgpack

from fireflywell import errors
from fireflywell.scheduling import job_rows
from fireflywell.scheduling import jobs
from fireflywell.scheduling import progress_ranges
from fireflywell.scheduling import steps as steps_lib

# A row that exceeds this share of the largest row is divided, so that a change
# of one unit doesn't write much.
_DIVISION_SHARE = 0.25

# Binary digits of the flags of units.
_DIGITS = bytes.maketrans(b"\x00\x01", b"01")


@dataclasses.dataclass(frozen=True, slots=True)
class RangeProgress:
    """Stored progress of consecutive units.

    Attributes:
        done: One bit for each unit, from the lowest one of the first byte on, 1
            if it is done.
        failures: Failed runs by position in the range, see
            `job_rows.encode_failures`.
        checkpoints: Last checkpoint by position in the range.
    """

    done: bytes
    failures: dict[int, list[int]]
    checkpoints: dict[int, str]

    def iterate_done(self, count: int) -> Iterator[int]:
        """Yields the positions of the units that are done, below a number."""
        for number, byte in enumerate(self.done):
            if not byte:
                continue
            for position in range(8 * number, min(count, 8 * number + 8)):
                if byte >> position % 8 & 1:
                    yield position


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRange:
    """A range of units with its progress, as the store holds it."""

    units: progress_ranges.ProgressRange
    progress: RangeProgress


@dataclasses.dataclass(frozen=True, slots=True)
class ProgressWrite:
    """A row to write.

    Attributes:
        row: The row as it is known.
        value: Its new value.
        units: The range that it holds; None for the row of the job's state.
    """

    row: progress_ranges.StoredRow
    value: bytes
    units: progress_ranges.ProgressRange | None = None


def list_writes(
    job: jobs.Job, now_s: float, reason: str, row_bytes: int
) -> list[ProgressWrite]:
    """Returns the rows to write so that a job's progress is stored.

    They must be written in this order: the row of the job's state no longer
    holds the progress of units whose ranges come before it.

    Args:
        job: The job.
        now_s: Current time on the store's clock, which becomes the end of a job
            in a final state.
        reason: Why the job failed; empty otherwise.
        row_bytes: Largest size of a row.
    """
    division_bytes = int(row_bytes * _DIVISION_SHARE)
    if job.state.is_final:
        return [_make_state_write(job, now_s, reason)]
    if not job.progress_ranges:
        write = _make_state_write(job, now_s, reason)
        if len(write.value) <= division_bytes:
            job.changed_units.clear()
            return [write]
        job.progress_ranges = [progress_ranges.ProgressRange(0, job.unit_count)]
    writes = _list_range_writes(job, division_bytes, row_bytes)
    state = job_rows.Progress(job.state)
    value = job_rows.encode_progress(state)
    if value != job.state_row.value:
        writes.append(ProgressWrite(job.state_row, value))
    return writes


def encode_range(
    job: jobs.Job,
    units: progress_ranges.ProgressRange,
    *,
    has_checkpoints: bool = True,
) -> bytes:
    """Encodes the progress of consecutive units; empty if they have none.

    Args:
        job: The job.
        units: The range of its units.
        has_checkpoints: Whether their checkpoints are included.
    """
    done = _encode_done_units(job, units)
    failures = {}
    checkpoints = {}
    for step in job.list_loaded_steps(units.first, units.end):
        first = max(0, units.first - step.first_ordinal)
        end = units.end - step.first_ordinal
        for unit in step.list_begun_units(first, end):
            position = step.first_ordinal + unit.index - units.first
            if unit.failed_runs:
                failures[position] = job_rows.encode_failures(unit)
            if unit.checkpoint and has_checkpoints:
                checkpoints[position] = unit.checkpoint
    if not (any(done) or failures or checkpoints):
        return b""
    return bytes(msgpack.packb([done, failures, checkpoints]))


def decode_range(data: bytes) -> RangeProgress:
    """Decodes the progress of a range of units.

    Raises:
        CorruptRowError: The bytes aren't an encoded progress.
    """
    if not data:
        return RangeProgress(b"", {}, {})
    try:
        done, failures, checkpoints = msgpack.unpackb(
            data, strict_map_key=False
        )
        if not isinstance(done, bytes):
            raise TypeError("the units that are done aren't bytes")
        job_rows.check_unit_values(failures, checkpoints)
        return RangeProgress(done, failures, checkpoints)
    except Exception as error:
        raise errors.CorruptRowError(
            f"the progress of a range of units can't be decoded: {error!r}; it "
            "is ignored"
        ) from error


def restore_ranges(job: jobs.Job, stored: Iterable[StoredRange]) -> None:
    """Applies stored ranges to a job after the row of its state.

    Ranges that were divided hold earlier progress of the same units.
    """
    ordered = sorted(stored, key=lambda item: -item.units.count)
    if not ordered:
        return
    # A unit that is done stays so, whichever range says it.
    done = bytearray(job.unit_count)
    for item in ordered:
        for position in item.progress.iterate_done(item.units.count):
            ordinal = item.units.first + position
            if ordinal < len(done):
                done[ordinal] = 1
    _restore_done_units(job, bytes(done))
    for item in ordered:
        failures = item.progress.failures
        checkpoints = item.progress.checkpoints
        for position in failures.keys() | checkpoints.keys():
            unit = _find_unit(job, item.units, position)
            if unit is not None and not unit.is_done:
                job_rows.restore_unit(
                    unit,
                    failures.get(position, []),
                    checkpoints.get(position, ""),
                )
    job.progress_ranges = progress_ranges.arrange_ranges(
        job.unit_count, (item.units for item in ordered)
    )


def _restore_done_units(job: jobs.Job, done: bytes) -> None:
    """Marks units as done.

    Args:
        job: The job.
        done: A byte for each unit of all occurrences, 1 if it is done.
    """
    size = job.units_per_occurrence
    for occurrence in range(job.submission.request.occurrences):
        part = done[occurrence * size : (occurrence + 1) * size]
        if 0 not in part:
            job.mark_occurrence_done(occurrence)
        elif 1 in part:
            for step in job.load_occurrence(occurrence):
                first = step.first_ordinal - occurrence * size
                for index in range(step.spec.count):
                    if part[first + index]:
                        step.mark_unit_done(index)
            job.release_if_done(occurrence)


def _find_unit(
    job: jobs.Job, units: progress_ranges.ProgressRange, position: int
) -> steps_lib.Unit | None:
    """Returns the unit at a position in a range, or None if there is none."""
    ordinal = units.first + position
    if not 0 <= position < units.count or ordinal >= job.unit_count:
        return None
    return job.find_unit_at(ordinal)


def _encode_done_units(
    job: jobs.Job, units: progress_ranges.ProgressRange
) -> bytes:
    """Returns a bit for each unit of a range, 1 if it is done.

    A large job is encoded with each change, so runs of units are encoded as one
    number each.
    """
    size = job.units_per_occurrence
    bits = 0
    for run in job.done_occurrences.list_runs(
        units.first // size, -(-units.end // size)
    ):
        first = max(units.first, run.start * size)
        count = min(units.end, run.stop * size) - first
        bits |= ((1 << count) - 1) << (first - units.first)
    for step in job.list_loaded_steps(units.first, units.end):
        first = max(0, units.first - step.first_ordinal)
        flags = step.encode_done()[first : units.end - step.first_ordinal]
        # The first unit is the lowest bit.
        number = int(flags[::-1].translate(_DIGITS), 2)
        bits |= number << (step.first_ordinal + first - units.first)
    return bits.to_bytes(-(-units.count // 8), "little")


def _make_state_write(
    job: jobs.Job, now_s: float, reason: str
) -> ProgressWrite:
    progress = job_rows.snapshot_progress(job, now_s, reason)
    return ProgressWrite(job.state_row, job_rows.encode_progress(progress))


def _list_range_writes(
    job: jobs.Job, division_bytes: int, row_bytes: int
) -> list[ProgressWrite]:
    """Encodes the changed ranges and divides those that are too large."""
    _mark_changed_ranges(job)
    writes = []
    ranges = []
    waiting = collections.deque(job.progress_ranges)
    while waiting:
        item = waiting.popleft()
        if not item.is_changed and item.row.value is not None:
            ranges.append(item)
            continue
        value = encode_range(job, item)
        if len(value) > division_bytes and item.count > 1:
            waiting.extendleft(reversed(item.divide()))
            continue
        if len(value) > row_bytes:
            # The unit resumes from an earlier checkpoint, or from the start,
            # if both its worker and its owner are lost.
            value = encode_range(job, item, has_checkpoints=False)
        item.is_changed = False
        ranges.append(item)
        if value != item.row.value:
            writes.append(ProgressWrite(item.row, value, item))
    job.progress_ranges = ranges
    return writes


def _mark_changed_ranges(job: jobs.Job) -> None:
    firsts = [item.first for item in job.progress_ranges]
    for ordinal in job.changed_units:
        position = bisect.bisect_right(firsts, ordinal) - 1
        job.progress_ranges[position].is_changed = True
    job.changed_units.clear()


def parse_range_key(
    text: str, row: progress_ranges.StoredRow
) -> progress_ranges.ProgressRange | None:
    """Returns the range that the end of a row's key names; None if none."""
    first, _, count = text.partition("+")
    if not (first.isdecimal() and count.isdecimal() and int(count) > 0):
        return None
    return progress_ranges.ProgressRange(int(first), int(count), row)


def make_range_key(units: progress_ranges.ProgressRange) -> str:
    """Returns the end of the key of a range's row."""
    return f"{units.first}+{units.count}"
