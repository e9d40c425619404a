"""Captures the log lines that are written during a test."""

from collections.abc import Iterator
import contextlib
from typing import Any

import eliot


@contextlib.contextmanager
def capture_log() -> Iterator[list[dict[str, Any]]]:
    """Yields a list to which each line logged within the block is appended."""
    _discard_buffered_lines()
    lines: list[dict[str, Any]] = []
    eliot.add_destinations(lines.append)
    try:
        yield lines
    finally:
        eliot.remove_destination(lines.append)


def _discard_buffered_lines() -> None:
    """Empties eliot's buffer of lines that no destination has received.

    The first destination receives them, also those of other tests.
    """
    discarded: list[dict[str, Any]] = []
    eliot.add_destinations(discarded.append)
    eliot.remove_destination(discarded.append)


def select_event(
    lines: list[dict[str, Any]], event: str
) -> list[dict[str, Any]]:
    """Returns the lines of one kind of event."""
    return [line for line in lines if line["message_type"] == event]
