"""Divides a job's units into ranges whose progress is stored in rows.

A row of the store has a limited size, but a job may have any number of units,
with checkpoints of any length. The units are numbered over all steps and
occurrences. A range whose progress is too large for its row is divided into
smaller ones, down to single units, so every row stays within the limit.
"""

from collections.abc import Iterable
from collections.abc import Iterator

# Parts into which a range is divided.
_PARTS = 16


class StoredRow:
    """A row of a job's progress as far as its owner knows it.

    Attributes:
        version: Version of the row; 0 if it doesn't exist.
        value: Its value, empty if it doesn't exist; None if it isn't known,
            because a write had no answer.
    """

    __slots__ = ("value", "version")

    def __init__(self, version: int = 0, value: bytes | None = b"") -> None:
        self.version = version
        self.value = value


class ProgressRange:
    """Consecutive units of a job whose progress is in one row.

    Attributes:
        first: Ordinal of the first unit.
        count: Number of units.
        row: The row.
        is_changed: Whether the progress has changed since it was encoded.
    """

    __slots__ = ("count", "first", "is_changed", "row")

    def __init__(
        self, first: int, count: int, row: StoredRow | None = None
    ) -> None:
        self.first = first
        self.count = count
        self.row = row or StoredRow()
        self.is_changed = row is None

    @property
    def end(self) -> int:
        """Ordinal after the last unit."""
        return self.first + self.count

    def divide(self) -> list["ProgressRange"]:
        """Returns the smaller ranges that take the place of this one."""
        size = -(-self.count // _PARTS)
        return [
            ProgressRange(first, min(size, self.end - first))
            for first in range(self.first, self.end, size)
        ]

    def contains(self, other: "ProgressRange") -> bool:
        """Returns whether another range is a part of this one."""
        return (
            other.count < self.count
            and self.first <= other.first
            and other.end <= self.end
        )


def arrange_ranges(
    unit_count: int, stored: Iterable[ProgressRange]
) -> list[ProgressRange]:
    """Returns the ranges in use of a job whose rows were read.

    Args:
        unit_count: Number of the job's units.
        stored: The ranges that have rows. Those that were divided later are
            among them.

    Returns:
        The smallest ranges that cover all units, in order.
    """
    found = tuple(stored)
    root = ProgressRange(0, unit_count)
    return list(_iterate_leaves(root, found))


def _iterate_leaves(
    item: ProgressRange, stored: tuple[ProgressRange, ...]
) -> Iterator[ProgressRange]:
    inner = tuple(other for other in stored if item.contains(other))
    if inner and item.count > 1:
        for part in item.divide():
            yield from _iterate_leaves(
                part,
                tuple(
                    o
                    for o in stored
                    if part.contains(o)
                    or (o.first, o.count) == (part.first, part.count)
                ),
            )
        return
    for other in stored:
        if (other.first, other.count) == (item.first, item.count):
            yield other
            return
    yield item
