"""Decodes the bodies of callers' requests and encodes the responses."""

import json
from typing import Any

from fireflywell import errors
from fireflywell.platform import instances
from fireflywell.scheduling import model

_MAX_SPECIFICATION_BYTES = 4000
_JOB_ID_DIGITS = 16


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
        document = json.loads(body)
    except ValueError as error:
        raise errors.MalformedRequestError(
            f"the body isn't JSON: {error}; send a job"
        ) from error
    if not isinstance(document, dict):
        raise errors.MalformedRequestError("the body isn't an object")
    specification = document.get("specification", "")
    if not isinstance(specification, str):
        raise errors.MalformedRequestError("specification isn't a text")
    if len(specification.encode()) > _MAX_SPECIFICATION_BYTES:
        raise errors.MalformedRequestError(
            "specification is longer than "
            f"{_MAX_SPECIFICATION_BYTES} bytes; send less"
        )
    items = document.get("steps")
    if not isinstance(items, list) or not items:
        raise errors.MalformedRequestError("steps isn't a list of steps")
    try:
        steps = tuple(_decode_step(item) for item in items)
        recurrence = _decode_recurrence(document)
    except (ValueError, TypeError, AttributeError) as error:
        raise errors.MalformedRequestError(
            f"a step holds a field of the wrong type: {error}"
        ) from error
    for position, step in enumerate(steps):
        if any(not 0 <= earlier < position for earlier in step.after):
            raise errors.MalformedRequestError(
                f"step {position} waits for a step that isn't before it"
            )
    return model.JobRequest(specification, steps, recurrence)


def encode_state(state: str) -> dict[str, Any]:
    """Returns the response document for the state of a job."""
    return {"state": state}


def encode_waiting(count: int) -> dict[str, Any]:
    """Returns the response document for the number of waiting jobs."""
    return {"waiting": count}


def _decode_step(item: dict[str, Any]) -> model.Step:
    count = int(item.get("count") or 0)
    if count < 1:
        raise ValueError(f"count is {count}, at least 1 is needed")
    return model.Step(
        count=count,
        demand=instances.decode_demand(item),
        estimated_s=max(0.001, float(item.get("estimated_ms") or 1000) / 1000),
        after=tuple(int(number) for number in item.get("after") or ()),
        is_checkpointing=bool(item.get("checkpointing")),
        is_gang=bool(item.get("gang")),
        needs_single_rack=bool(item.get("same_rack")),
        # `requirements` is one label that the worker must have.
        required_label=str(item.get("requirements") or ""),
        # `affinity` is the rack that holds the step's data.
        preferred_rack=str(item.get("affinity") or ""),
        # `anti_affinity` is the maximum number of units on one worker.
        max_per_worker=int(item.get("anti_affinity") or 0),
        is_speculative=bool(item.get("speculative")),
        is_long_running=bool(item.get("long_running")),
        image=str(item.get("image") or ""),
        target_ms=float(item.get("target_ms") or 0),
        # `fills`: units use only resources that other units leave unused.
        is_filling=bool(item.get("fills")),
        # `may_miss` is the number of units that planned work may interrupt at
        # a time.
        may_be_away=int(item.get("may_miss") or 0),
    )


def _decode_recurrence(document: dict[str, Any]) -> model.Recurrence | None:
    repetitions = int(document.get("repetitions") or 0)
    if repetitions < 1:
        return None
    return model.Recurrence(
        # `first_run_ms` is the first due time, in Unix milliseconds.
        int(document.get("first_run_ms") or 0),
        int(document.get("interval_ms") or 0),
        repetitions,
    )
