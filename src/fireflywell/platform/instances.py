"""Decodes the entries that workers write to the platform's store."""

import datetime
from typing import Any

from fireflywell import errors
from fireflywell.platform import json_values
from fireflywell.scheduling import model
from fireflywell.scheduling import workers

# A label that starts with this prefix and contains "-" names the rack.
_RACK_PREFIX = "r"

_STATES = ("ready", "draining")

# Largest amount of a resource: a million cores, or 1 PB of memory. With more,
# one odd entry would count as more room than all workers have.
_MAX_AMOUNT = 10**9


def decode_instance(instance_id: str, data: bytes) -> workers.WorkerInstance:
    """Decodes the entry of a worker.

    Args:
        instance_id: Identifier of the worker, from the row's key.
        data: Value of the row, a JSON object.

    Raises:
        CorruptRowError: A field is missing, invalid or of the wrong type.
    """
    try:
        # Each call to the worker names it in a header.
        json_values.check_header_value(instance_id, "id")
        item = json_values.parse_object(data)
        state = json_values.read_text(item.get("state"), "state")
        if state not in _STATES:
            raise ValueError(f"state is {state[:40]!r}, not {_STATES}")
        labels = json_values.read_texts(item.get("labels"), "labels", [])
        return workers.WorkerInstance(
            instance_id=instance_id,
            service=json_values.read_text(item.get("service"), "service"),
            address=json_values.read_address(item.get("address"), "address"),
            zone=json_values.read_text(item.get("zone"), "zone"),
            rack=_find_rack(labels),
            labels=labels,
            capacity=decode_demand(
                json_values.read_object(item.get("capacity"), "capacity")
            ),
            is_draining=state == "draining",
            leaves_in=_decode_remaining(item),
            # `born` is the start of this incarnation, in Unix milliseconds.
            started_unix_ms=json_values.read_integer(
                item.get("born"), "born", 0, minimum=0
            ),
            # `machine` is the ID of the VM.
            vm_id=json_values.read_text(item.get("machine"), "machine", ""),
        )
    except ValueError as error:
        raise errors.CorruptRowError(
            f"the entry of instance {instance_id!r} can't be decoded: "
            f"{error}; no units are placed on it"
        ) from error


def decode_demand(item: dict[str, Any]) -> model.ResourceAmounts:
    """Decodes resource amounts; a missing field counts as 0.

    Raises:
        ValueError: An amount is invalid, negative or too large.
    """
    return model.ResourceAmounts(
        *(
            json_values.read_integer(
                item.get(key), key, 0, minimum=0, maximum=_MAX_AMOUNT
            )
            for key in ("cpu", "requested_memory_mb", "gpu")
        )
    )


def _decode_remaining(item: dict[str, Any]) -> datetime.timedelta | None:
    """Returns the least time until a draining worker stops, if it is set."""
    if item.get("remaining_ms") is None:
        return None
    return datetime.timedelta(
        milliseconds=json_values.read_number(
            item["remaining_ms"], "remaining_ms"
        )
    )


def _find_rack(labels: tuple[str, ...]) -> str:
    for label in labels:
        if label.startswith(_RACK_PREFIX) and "-" in label:
            return label
    return ""
