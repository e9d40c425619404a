"""Operators' requests for maintenance, as written in the platform's store."""

import json

from fireflywell import errors
from fireflywell.scheduling import maintenance

KEY_PREFIX = "wave/"


def decode_wave(data: bytes) -> maintenance.Wave:
    """Reads a request for maintenance.

    Raises:
        CorruptRowError: The bytes aren't such a request.
    """
    try:
        item = json.loads(data)
        return maintenance.Wave(
            int(item["wave"]),
            tuple(str(name) for name in item["machines"]),
            float(item.get("duration_s") or 0),
            max(1, int(item.get("max_count") or 1)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.CorruptRowError(
            f"a request for maintenance can't be read: {error!r}; write it "
            "again"
        ) from error
