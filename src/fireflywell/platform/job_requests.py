"""Decodes the bodies of callers' requests and encodes the responses."""

from typing import Any

from fireflywell import errors
from fireflywell.platform import instances
from fireflywell.platform import json_values
from fireflywell.scheduling import model

# How long the caller waits, in milliseconds.
DEADLINE_HEADER = "x-fireflywell-deadline-milliseconds"

# Marks a submission that another node passes on; it goes no further.
FORWARDED_HEADER = "fireflywell-forwarded"

_MAX_SPECIFICATION_BYTES = 4000
_JOB_ID_DIGITS = 16

# An owner holds a byte for each unit of a step that is due, and the rows of its
# progress a bit for each unit of a job, which a billion units would use up.
_MAX_UNITS = 60_000


def is_job_id(text: str) -> bool:
    """Returns whether a text is a job ID: 16 hexadecimal digits."""
    return len(text) == _JOB_ID_DIGITS and all(
        letter in "0123456789abcdefABCDEF" for letter in text
    )


def decode_job(body: bytes) -> model.JobRequest:
    """Decodes and validates the body of a job submission.

    Raises:
        MalformedRequestError: The body isn't a valid job. The message, which
            is sent to the caller, names the field.
    """
    try:
        document = json_values.parse_object(body)
    except ValueError as error:
        raise errors.MalformedRequestError(
            f"the body can't be read as a JSON object: {error}; send a job"
        ) from error
    try:
        specification = json_values.read_text(
            document.get("specification"), "specification", ""
        )
        steps = tuple(
            _decode_step(json_values.read_object(item, "step"))
            for item in json_values.read_list(
                document.get("steps"), "steps", min_length=1
            )
        )
        recurrence = _decode_recurrence(document)
    except ValueError as error:
        raise errors.MalformedRequestError(
            f"a field is invalid: {error}"
        ) from error
    if len(specification.encode()) > _MAX_SPECIFICATION_BYTES:
        raise errors.MalformedRequestError(
            "specification is longer than "
            f"{_MAX_SPECIFICATION_BYTES} bytes; send less"
        )
    for position, step in enumerate(steps):
        if any(not 0 <= earlier < position for earlier in step.after):
            raise errors.MalformedRequestError(
                f"step {position} waits for a step that isn't before it"
            )
    request = model.JobRequest(specification, steps, recurrence)
    units = sum(step.count for step in steps) * request.occurrences
    if units > _MAX_UNITS:
        raise errors.MalformedRequestError(
            f"the job has {units} units; at most {_MAX_UNITS} are possible"
        )
    return request


def encode_state(state: str) -> dict[str, Any]:
    """Returns the response document for the state of a job."""
    return {"state": state}


def encode_waiting(count: int) -> dict[str, Any]:
    """Returns the response document for the number of waiting jobs."""
    return {"waiting": count}


def _decode_step(item: dict[str, Any]) -> model.Step:
    estimated_ms = json_values.read_number(
        item.get("estimated_ms"), "estimated_ms", 0
    )
    return model.Step(
        count=json_values.read_integer(
            item.get("count"), "count", minimum=1, maximum=_MAX_UNITS
        ),
        demand=instances.decode_demand(item),
        estimated_s=max(0.001, (estimated_ms or 1000) / 1000),
        after=tuple(
            json_values.read_integer(number, "after", minimum=0)
            for number in json_values.read_list(item.get("after"), "after", [])
        ),
        is_checkpointing=bool(item.get("checkpointing")),
        is_gang=bool(item.get("gang")),
        needs_single_rack=bool(item.get("same_rack")),
        # `requirements` is one label that the worker must have.
        required_label=_read_text(item, "requirements"),
        # `affinity` is the rack that holds the step's data.
        preferred_rack=_read_text(item, "affinity"),
        # `anti_affinity` is the maximum number of units on one worker.
        max_per_worker=json_values.read_integer(
            item.get("anti_affinity"), "anti_affinity", 0, minimum=0
        ),
        is_speculative=bool(item.get("speculative")),
        is_long_running=bool(item.get("long_running")),
        image=_read_text(item, "image"),
        target_ms=json_values.read_number(
            item.get("target_ms"), "target_ms", 0
        ),
        # `fills`: units use only resources that other units leave unused.
        is_filling=bool(item.get("fills")),
        # `may_miss` is the number of units that planned work may interrupt at
        # a time.
        may_be_away=json_values.read_integer(
            item.get("may_miss"), "may_miss", 0, minimum=0
        ),
    )


def _decode_recurrence(document: dict[str, Any]) -> model.Recurrence | None:
    repetitions = json_values.read_integer(
        document.get("repetitions"), "repetitions", 0, maximum=_MAX_UNITS
    )
    if repetitions < 1:
        return None
    return model.Recurrence(
        # `first_run_ms` is the first due time, in Unix milliseconds.
        json_values.read_integer(
            document.get("first_run_ms"), "first_run_ms", 0
        ),
        json_values.read_integer(document.get("interval_ms"), "interval_ms", 0),
        repetitions,
    )


def _read_text(item: dict[str, Any], key: str) -> str:
    return json_values.read_text(item.get(key), key, "")
