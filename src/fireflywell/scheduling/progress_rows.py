"""Encodes the progress of ranges of a job's units as rows of the store."""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

import msgpack

from fireflywell import errors
from fireflywell.scheduling import job_rows
from fireflywell.scheduling import jobs
from fireflywell.scheduling import progress_ranges

# A row that exceeds this share of the largest row is divided, so that a change
# of one unit doesn't write much.
_DIVISION_SHARE = 0.25


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

    def is_done(self, position: int) -> bool:
        """Returns whether the unit at a position in the range is done."""
        byte, bit = divmod(position, 8)
        return byte < len(self.done) and bool(self.done[byte] >> bit & 1)


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
        unit_count = sum(step.spec.count for step in job.steps)
        job.progress_ranges = [progress_ranges.ProgressRange(0, unit_count)]
    writes = _list_range_writes(job, division_bytes, row_bytes)
    state = job_rows.Progress(job.state)
    value = job_rows.encode_progress(state)
    if value != job.state_row.value:
        writes.append(ProgressWrite(job.state_row, value))
    return writes


def encode_range(
    units: Sequence[jobs.Unit], *, has_checkpoints: bool = True
) -> bytes:
    """Encodes the progress of units; empty if they have none.

    Args:
        units: The units.
        has_checkpoints: Whether their checkpoints are included.
    """
    done = bytearray(-(-len(units) // 8))
    failures = {}
    checkpoints = {}
    for position, unit in enumerate(units):
        if unit.is_done:
            done[position // 8] |= 1 << position % 8
            continue
        if unit.failed_runs:
            failures[position] = job_rows.encode_failures(unit)
        if unit.checkpoint and has_checkpoints:
            checkpoints[position] = unit.checkpoint
    if not (any(done) or failures or checkpoints):
        return b""
    return bytes(msgpack.packb([bytes(done), failures, checkpoints]))


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
    for item in ordered:
        units = job.list_units(item.units.first, item.units.count)
        for position, unit in enumerate(units):
            if item.progress.is_done(position):
                unit.is_done = True
            job_rows.restore_unit(
                unit,
                item.progress.failures.get(position, []),
                item.progress.checkpoints.get(position, ""),
            )
    for step in job.steps:
        job_rows.count_done_units(step)
    job.progress_ranges = progress_ranges.arrange_ranges(
        sum(step.spec.count for step in job.steps),
        (item.units for item in ordered),
    )


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
        units = job.list_units(item.first, item.count)
        value = encode_range(units)
        if len(value) > division_bytes and item.count > 1:
            waiting.extendleft(reversed(item.divide()))
            continue
        if len(value) > row_bytes:
            # The unit resumes from an earlier checkpoint, or from the start,
            # if both its worker and its owner are lost.
            value = encode_range(units, has_checkpoints=False)
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
