"""Decodes operators' maintenance waves from the platform's store."""

import json

from fireflywell import errors
from fireflywell.scheduling import maintenance

KEY_PREFIX = "wave/"


def decode_wave(data: bytes) -> maintenance.Wave:
    """Decodes the row of a maintenance wave.

    Raises:
        CorruptRowError: The value isn't a valid maintenance wave.
    """
    try:
        item = json.loads(data)
        return maintenance.Wave(
            int(item["wave"]),
            # `machines` holds the IDs of the VMs.
            tuple(str(vm_id) for vm_id in item["machines"]),
            float(item.get("duration_s") or 0),
            max(1, int(item.get("max_count") or 1)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.CorruptRowError(
            f"the row of a maintenance wave can't be decoded: {error!r}; "
            "write the row again"
        ) from error
