"""Stored form of accepted jobs and of their progress, in msgpack."""

import dataclasses
from typing import Any

import cattrs
import msgpack

from fireflywell import errors
from fireflywell.scheduling import jobs
from fireflywell.scheduling import model

_CONVERTER = cattrs.Converter(omit_if_default=True)


def encode_submission(submission: model.Submission) -> bytes:
    """Returns the stored form of an accepted job."""
    return bytes(msgpack.packb(_CONVERTER.unstructure(submission)))


def decode_submission(data: bytes) -> model.Submission:
    """Reads an accepted job.

    Raises:
        CorruptRowError: The bytes aren't an accepted job.
    """
    try:
        return _CONVERTER.structure(msgpack.unpackb(data), model.Submission)
    except Exception as error:
        raise errors.CorruptRowError(
            f"a stored job can't be read: {error!r}; it is left out"
        ) from error


@dataclasses.dataclass(frozen=True, slots=True)
class StepProgress:
    """Stored progress of one step.

    Attributes:
        number: Index of the step over all occurrences.
        done: One byte for each unit, 1 if it is done.
        failures: Numbers of the failed runs by unit index.
        checkpoints: Last checkpoint by unit index.
    """

    number: int
    done: bytes
    failures: dict[int, list[int]]
    checkpoints: dict[int, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Stored progress of a job.

    Attributes:
        state: State as callers see it.
        steps: Steps with any progress; empty once the state is final.
        ended_at_s: When the state became final, on the store's clock.
        reason: Why the job failed, for operators.
    """

    state: jobs.JobState
    steps: tuple[StepProgress, ...] = ()
    ended_at_s: float = 0.0
    reason: str = ""


def snapshot_progress(
    job: jobs.Job, now_s: float, reason: str = ""
) -> Progress:
    """Returns the progress of a job as it is to be stored."""
    if job.state.is_final:
        return Progress(job.state, (), now_s, reason)
    steps = []
    for number, step in enumerate(job.steps):
        failures = {u.index: u.failed_runs for u in step.units if u.failed_runs}
        saved = {u.index: u.checkpoint for u in step.units if u.checkpoint}
        if not (step.done_count or failures or saved):
            continue
        done = bytes(int(unit.is_done) for unit in step.units)
        steps.append(StepProgress(number, done, failures, saved))
    return Progress(job.state, tuple(steps))


def restore_progress(job: jobs.Job, progress: Progress) -> None:
    """Applies stored progress to a job that has none yet."""
    job.state = progress.state
    job.has_started = progress.state is not jobs.JobState.QUEUED
    for stored in progress.steps:
        if stored.number >= len(job.steps):
            continue
        step = job.steps[stored.number]
        for unit, done in zip(step.units, stored.done, strict=False):
            unit.is_done = bool(done)
            unit.failed_runs = list(stored.failures.get(unit.index, ()))
            unit.checkpoint = stored.checkpoints.get(unit.index, "")
        step.done_count = sum(unit.is_done for unit in step.units)
        step.waiting = [u for u in reversed(step.units) if not u.is_done]


def encode_progress(progress: Progress) -> bytes:
    """Returns the stored form of a job's progress."""
    document: dict[str, Any] = {"s": str(progress.state)}
    if progress.steps:
        document["t"] = [
            [s.number, s.done, s.failures, s.checkpoints]
            for s in progress.steps
        ]
    if progress.ended_at_s:
        document["e"] = progress.ended_at_s
    if progress.reason:
        document["r"] = progress.reason
    return bytes(msgpack.packb(document))


def decode_progress(data: bytes) -> Progress:
    """Reads a job's progress.

    Raises:
        CorruptRowError: The bytes aren't a job's progress.
    """
    try:
        document = msgpack.unpackb(data, strict_map_key=False)
        steps = tuple(
            StepProgress(number, done, failures, saved)
            for number, done, failures, saved in document.get("t", ())
        )
        return Progress(
            jobs.JobState(document["s"]),
            steps,
            float(document.get("e", 0.0)),
            document.get("r", ""),
        )
    except Exception as error:
        raise errors.CorruptRowError(
            f"stored progress can't be read: {error!r}; it is left out"
        ) from error
