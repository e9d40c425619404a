"""Workers' own entries in the platform's store."""

import datetime
import json
from typing import Any

from fireflywell import errors
from fireflywell.scheduling import model
from fireflywell.scheduling import workers

# A label of this form names the worker's rack.
_RACK_PREFIX = "r"

_STATES = ("ready", "draining")


def decode_instance(instance_id: str, data: bytes) -> workers.WorkerInstance:
    """Reads a worker's entry.

    Raises:
        CorruptRowError: The entry names no worker that could be used.
    """
    try:
        item = json.loads(data)
        state = item["state"]
        if state not in _STATES:
            raise ValueError(f"unknown state {state!r}")
        address = item["address"]
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            raise ValueError(f"{address!r} isn't an address")
        service = item["service"]
        if not isinstance(service, str):
            raise TypeError("the service isn't a text")
        labels = tuple(str(label) for label in item.get("labels") or ())
        # Least time until the instance leaves, given while it drains.
        leaves_ms = item.get("remaining_ms")
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
                datetime.timedelta(milliseconds=leaves_ms)
                if isinstance(leaves_ms, int | float)
                else None
            ),
            # Unix time of the start of this incarnation of the id.
            started_unix_ms=int(item.get("born") or 0),
            vm_id=str(item.get("machine") or ""),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.CorruptRowError(
            f"the entry of instance {instance_id} can't be read: {error!r}; "
            "no work is placed there"
        ) from error


def decode_demand(item: dict[str, Any]) -> model.ResourceAmounts:
    """Reads resources; fields that are 0 may be left out."""
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
