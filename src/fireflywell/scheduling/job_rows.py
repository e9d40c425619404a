"""Encodes accepted jobs and their progress as msgpack rows of the store."""

import dataclasses
from typing import Any

import cattrs
import msgpack

from fireflywell import errors
from fireflywell.scheduling import jobs
from fireflywell.scheduling import model
from fireflywell.scheduling import steps as steps_lib

_CONVERTER = cattrs.Converter(omit_if_default=True)


def encode_submission(submission: model.Submission) -> bytes:
    """Encodes an accepted job for the store."""
    return bytes(msgpack.packb(_CONVERTER.unstructure(submission)))


def encode_relocation(relocation: model.Relocation) -> bytes:
    """Encodes a relocation for the store."""
    return bytes(msgpack.packb([relocation.service, relocation.renewed_at_s]))


def encode_early_cancellation(cancellation: model.EarlyCancellation) -> bytes:
    """Encodes the cancellation of a job that isn't stored."""
    return bytes(msgpack.packb([cancellation.cancelled_at_s]))


def decode_job(
    data: bytes,
) -> model.Submission | model.Relocation | model.EarlyCancellation:
    """Decodes a row at the key of a job.

    Raises:
        CorruptRowError: The bytes are none of these.
    """
    try:
        match msgpack.unpackb(data):
            case [float() as cancelled_at_s]:
                return model.EarlyCancellation(cancelled_at_s)
            case [str() as service, float() as renewed_at_s]:
                return model.Relocation(service, renewed_at_s)
            case document:
                return _CONVERTER.structure(document, model.Submission)
    except Exception as error:
        raise errors.CorruptRowError(
            f"the stored job can't be decoded: {error!r}; the job is skipped"
        ) from error


@dataclasses.dataclass(frozen=True, slots=True)
class StepProgress:
    """Stored progress of one step.

    Attributes:
        number: Index of the step among the steps of all occurrences.
        done: One byte for each unit, 1 if it is done.
        failures: Failed runs by unit index, see `encode_failures`.
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
        state: State as reported to callers.
        steps: Steps with any progress; empty once the state is final.
        ended_at_s: Time at which the state became final, on the store's clock;
            0 before.
        reason: Reason of a failure, for operators.
    """

    state: jobs.JobState
    steps: tuple[StepProgress, ...] = ()
    ended_at_s: float = 0.0
    reason: str = ""


def snapshot_progress(
    job: jobs.Job, now_s: float, reason: str = ""
) -> Progress:
    """Returns a snapshot of a job's progress to store.

    Units that are done need neither checkpoints nor failed runs.

    Args:
        job: The job.
        now_s: Current time on the store's clock, which becomes the end of a job
            in a final state.
        reason: Why the job failed; empty otherwise.
    """
    if job.state.is_final:
        return Progress(job.state, (), now_s, reason)
    specs = job.submission.request.steps
    steps = [
        StepProgress(
            occurrence * len(specs) + position, b"\x01" * spec.count, {}, {}
        )
        for occurrence in job.done_occurrences
        for position, spec in enumerate(specs)
    ]
    for step in job.steps:
        active = step.begun_units
        failures = {
            u.index: encode_failures(u) for u in active if u.failed_runs
        }
        checkpoints = {u.index: u.checkpoint for u in active if u.checkpoint}
        if not (step.done_count or failures or checkpoints):
            continue
        number = step.occurrence * len(specs) + step.position
        steps.append(
            StepProgress(number, step.encode_done(), failures, checkpoints)
        )
    return Progress(job.state, tuple(steps))


def restore_progress(job: jobs.Job, progress: Progress) -> None:
    """Applies stored progress to a job that has no progress yet."""
    job.state = progress.state
    steps_per_occurrence = len(job.submission.request.steps)
    for stored in progress.steps:
        step = job.find_step(*divmod(stored.number, steps_per_occurrence))
        if step is None:
            continue
        for index, done in enumerate(stored.done[: step.spec.count]):
            if done:
                step.mark_unit_done(index)
        for index in stored.failures.keys() | stored.checkpoints.keys():
            unit = step.find_unit(index)
            if unit is not None:
                restore_unit(
                    unit,
                    stored.failures.get(index, []),
                    stored.checkpoints.get(index, ""),
                )
        job.release_if_done(step.occurrence)


def encode_failures(unit: steps_lib.Unit) -> list[int]:
    """Returns the numbers of a unit's failed runs as they are stored.

    The number of earlier ones that aren't kept comes first, as a negative
    number, if there are any.
    """
    if unit.older_failures:
        return [-unit.older_failures, *unit.failed_runs]
    return unit.failed_runs


def restore_unit(
    unit: steps_lib.Unit, failures: list[int], checkpoint: str
) -> None:
    """Applies the stored failed runs and the checkpoint of a unit, if any."""
    if failures and failures[0] < 0:
        unit.older_failures = -failures[0]
        failures = failures[1:]
    if failures:
        unit.failed_runs = list(failures)
    if checkpoint:
        unit.checkpoint = checkpoint


def encode_progress(progress: Progress) -> bytes:
    """Encodes a job's progress for the store."""
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
    """Decodes a job's progress.

    Raises:
        CorruptRowError: The bytes aren't an encoded progress.
    """
    try:
        document = msgpack.unpackb(data, strict_map_key=False)
        steps = tuple(_decode_step(row) for row in document.get("t", ()))
        return Progress(
            jobs.JobState(document["s"]),
            steps,
            float(document.get("e", 0.0)),
            document.get("r", ""),
        )
    except Exception as error:
        raise errors.CorruptRowError(
            f"the stored progress can't be decoded: {error!r}; it is ignored"
        ) from error


def _decode_step(row: Any) -> StepProgress:
    """Decodes one step, with the types that `restore_progress` relies on."""
    number, done, failures, checkpoints = row
    if not isinstance(number, int) or number < 0 or not isinstance(done, bytes):
        raise TypeError("a field of a step has another type")
    check_unit_values(failures, checkpoints)
    return StepProgress(number, done, failures, checkpoints)


def check_unit_values(failures: Any, checkpoints: Any) -> None:
    """Checks the types that `restore_unit` relies on.

    Raises:
        TypeError: A value has another type.
        AttributeError: An argument isn't a mapping.
    """
    if not all(
        isinstance(run, int) for runs in failures.values() for run in runs
    ) or not all(isinstance(text, str) for text in checkpoints.values()):
        raise TypeError("a field of a unit has another type")
