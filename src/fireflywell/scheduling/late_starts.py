"""Runs that workers began after their owner had counted them as over."""

import dataclasses

from fireflywell.scheduling import stop_requests


@dataclasses.dataclass(frozen=True, slots=True)
class LateStart:
    """A run of this owner that a worker lists though it counted as over.

    Attributes:
        unit: Name of the unit.
        run: Number of the run.
        worker_id: The worker.
        is_kept: Whether the unit waited, so that the run is kept; otherwise
            the unit runs elsewhere or is done, and the run is stopped.
    """

    unit: str
    run: int
    worker_id: str
    is_kept: bool


class LateStarts:
    """Late starts that haven't been logged yet."""

    __slots__ = ("_first_run_number", "_items")

    def __init__(self, first_run_number: int) -> None:
        """Starts without any.

        Args:
            first_run_number: Runs with lower numbers were started by an
                earlier owner, and this one can't have counted them as over.
        """
        self._first_run_number = first_run_number
        self._items: list[LateStart] = []

    def record(self, item: stop_requests.StopRequest, *, is_kept: bool) -> None:
        """Records a run that no known run accounts for."""
        if item.run >= self._first_run_number:
            self._items.append(
                LateStart(item.unit, item.run, item.worker_id, is_kept)
            )

    def take(self) -> list[LateStart]:
        """Removes and returns the recorded ones."""
        items, self._items = self._items, []
        return items
