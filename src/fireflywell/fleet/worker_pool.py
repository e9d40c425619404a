"""State of workers and the search for a worker in a placement round."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from fireflywell.fleet import fair_share
from fireflywell.fleet import jobs
from fireflywell.infrastructure import records

# Suitable workers that are compared for a job; the fullest is selected. More
# pack slightly better but cost time with thousands of workers.
_COMPARED_WORKERS = 16
# Fraction of a worker's capacity that jobs of other pools may use; the rest
# is available to its own pool at once.
LENDABLE_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """An attempt that holds resources of a worker.

    Attributes:
        record: Job of the attempt.
        size: Resources reserved for the attempt.
        is_lent: Whether the worker's pool doesn't carry the job's kind.
        is_throttled: Whether it has been throttled.
    """

    record: jobs.JobRecord
    size: records.Resources
    is_lent: bool = False
    is_throttled: bool = False


@dataclasses.dataclass(slots=True)
class WorkerState:
    """State of one worker in a placement round.

    Attributes:
        worker_id: Name of the worker, equal to its VM's.
        pool: Pool that its VM serves.
        zone: Availability zone.
        rack: Rack.
        capacity: All resources of the worker.
        reserved: Resources reserved for its tasks.
        accepts_work: Whether it may receive work: its VM serves, it isn't
            quarantined, and the platform lists it.
        tasks: Tasks that hold its resources.
    """

    worker_id: str
    pool: str
    zone: str
    rack: str
    capacity: records.Resources
    reserved: records.Resources = records.Resources()
    accepts_work: bool = True
    tasks: list[RunningTask] = dataclasses.field(default_factory=list)

    def can_fit(self, size: records.Resources, fraction: float = 1.0) -> bool:
        """Returns whether a job fits into a fraction of the capacity."""
        return (
            self.reserved.cores + size.cores <= self.capacity.cores * fraction
            and self.reserved.memory_mb + size.memory_mb
            <= self.capacity.memory_mb * fraction
            and self.reserved.accelerators + size.accelerators
            <= self.capacity.accelerators * fraction
        )

    def add(self, task: RunningTask) -> None:
        """Adds a task and reserves its resources."""
        self.tasks.append(task)
        self.reserved = fair_share.add_resources(self.reserved, task.size)

    def remove(self, task: RunningTask) -> None:
        """Removes a task and frees its resources."""
        self.tasks.remove(task)
        self.reserved = subtract_resources(self.reserved, task.size)


def subtract_resources(
    left: records.Resources, right: records.Resources
) -> records.Resources:
    """Returns the difference of two amounts, each at least zero."""
    return records.Resources(
        max(0.0, left.cores - right.cores),
        max(0.0, left.memory_mb - right.memory_mb),
        max(0.0, left.accelerators - right.accelerators),
    )


class WorkerPool:
    """Searches workers for free resources, from where the last search ended."""

    __slots__ = ("_cursor", "_failed_searches", "_workers")

    def __init__(self, workers: Iterable[WorkerState]) -> None:
        self._workers = list(workers)
        self._cursor = 0
        self._failed_searches: list[_FailedSearch] = []

    @property
    def workers(self) -> tuple[WorkerState, ...]:
        """All workers of the pool."""
        return tuple(self._workers)

    def find_worker(
        self,
        size: records.Resources,
        zone: str,
        excluded: tuple[str, ...],
        fraction: float = 1.0,
    ) -> WorkerState | None:
        """Returns the fullest of the compared workers that fit, or None.

        Args:
            size: Resources to reserve.
            zone: Only this availability zone; empty for any.
            excluded: Workers to skip because the job failed on them.
            fraction: Fraction of each worker's capacity that may be used.
        """
        search = _FailedSearch(size, zone, fraction)
        if any(search.needs_at_least(item) for item in self._failed_searches):
            return None
        found: list[WorkerState] = []
        for worker in self._iterate_from_cursor():
            is_eligible = worker.accepts_work and (
                not zone or worker.zone == zone
            )
            if not is_eligible or not worker.can_fit(size, fraction):
                continue
            if worker.worker_id not in excluded:
                found.append(worker)
            if len(found) == _COMPARED_WORKERS:
                break
        if found:
            return max(found, key=_compute_fill)
        if not excluded:
            self._record_failed(search)
        return None

    def clear_failed_searches(self) -> None:
        """Clears the failed searches; call it after resources were freed."""
        self._failed_searches.clear()

    def _record_failed(self, search: "_FailedSearch") -> None:
        """Records a failed search; drops those that need at least as much."""
        self._failed_searches = [
            item
            for item in self._failed_searches
            if not item.needs_at_least(search)
        ]
        self._failed_searches.append(search)

    def _iterate_from_cursor(self) -> Iterator[WorkerState]:
        count = len(self._workers)
        start = self._cursor
        for offset in range(count):
            self._cursor = (start + offset) % count
            yield self._workers[self._cursor]


@dataclasses.dataclass(frozen=True, slots=True)
class _FailedSearch:
    """Parameters of a search that found no worker; larger ones fail too."""

    size: records.Resources
    zone: str
    fraction: float

    def needs_at_least(self, failed: "_FailedSearch") -> bool:
        """Returns whether this search needs at least as much as `failed`."""
        return (
            failed.zone in ("", self.zone)
            and self.fraction <= failed.fraction
            and self.size.cores >= failed.size.cores
            and self.size.memory_mb >= failed.size.memory_mb
            and self.size.accelerators >= failed.size.accelerators
        )


def _compute_fill(worker: WorkerState) -> float:
    return fair_share.compute_dominant_share(worker.reserved, worker.capacity)
