"""Decodes the entries that workers write to the platform's store."""

import datetime
import json
from typing import Any

from fireflywell import errors
from fireflywell.scheduling import model
from fireflywell.scheduling import workers

# A label that starts with this prefix and contains "-" names the rack.
_RACK_PREFIX = "r"

_STATES = ("ready", "draining")


def decode_instance(instance_id: str, data: bytes) -> workers.WorkerInstance:
    """Decodes the entry of a worker.

    Args:
        instance_id: Identifier of the worker, from the row's key.
        data: Value of the row, a JSON object.

    Raises:
        CorruptRowError: A field is missing, invalid or of the wrong type.
    """
    try:
        item = json.loads(data)
        state = item["state"]
        if state not in _STATES:
            raise ValueError(f"unknown state {state!r}")
        address = item["address"]
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(f"address {address!r} isn't of the form host:port")
        service = item["service"]
        if not isinstance(service, str):
            raise TypeError(f"service {service!r} isn't a string")
        labels = tuple(str(label) for label in item.get("labels") or ())
        # Minimum time until the instance stops, set while it drains.
        remaining_ms = item.get("remaining_ms")
        return workers.WorkerInstance(
            instance_id=instance_id,
            service=service,
            address=address,
            zone=str(item.get("zone", "")),
            rack=_find_rack(labels),
            labels=labels,
            capacity=decode_demand(item["capacity"]),
            is_draining=state == "draining",
            leaves_in=(
                datetime.timedelta(milliseconds=remaining_ms)
                if isinstance(remaining_ms, int | float)
                else None
            ),
            # `born` is the start of this incarnation, in Unix milliseconds.
            started_unix_ms=int(item.get("born") or 0),
            # `machine` is the ID of the VM.
            vm_id=str(item.get("machine") or ""),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.CorruptRowError(
            f"the entry of instance {instance_id} can't be decoded: "
            f"{error!r}; no units are placed on it"
        ) from error


def decode_demand(item: dict[str, Any]) -> model.ResourceAmounts:
    """Decodes resource amounts; a missing field counts as 0."""
    return model.ResourceAmounts(
        int(item.get("cpu") or 0),
        int(item.get("requested_memory_mb") or 0),
        int(item.get("gpu") or 0),
    )


def _find_rack(labels: tuple[str, ...]) -> str:
    for label in labels:
        if label.startswith(_RACK_PREFIX) and "-" in label:
            return label
    return ""
