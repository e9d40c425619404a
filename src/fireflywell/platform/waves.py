"""Decodes operators' maintenance waves from the platform's store."""

from fireflywell import errors
from fireflywell.platform import json_values
from fireflywell.scheduling import maintenance

KEY_PREFIX = "wave/"


def decode_wave(data: bytes) -> maintenance.Wave:
    """Decodes the row of a maintenance wave.

    Raises:
        CorruptRowError: The value isn't a valid maintenance wave.
    """
    try:
        item = json_values.parse_object(data)
        return maintenance.Wave(
            json_values.read_integer(item.get("wave"), "wave"),
            # `machines` holds the IDs of the VMs.
            json_values.read_texts(item["machines"], "machines"),
            json_values.read_number(item.get("duration_s"), "duration_s", 0),
            max(
                1,
                json_values.read_integer(item.get("max_count"), "max_count", 1),
            ),
        )
    except (ValueError, KeyError) as error:
        raise errors.CorruptRowError(
            f"the row of a maintenance wave can't be decoded: {error!r}; "
            "write the row again"
        ) from error
