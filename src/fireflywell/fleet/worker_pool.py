"""Workers as a placement round sees them."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from fireflywell.fleet import fair_share
from fireflywell.fleet import jobs
from fireflywell.infrastructure import records

# Workers with room that are compared for a job; the tightest is taken. More
# pack a little better and cost time at thousands of workers.
_COMPARED_WORKERS = 16
# Part of a worker's capacity that other pools' jobs may use, so that its own
# pool's work finds room at once.
LENT_PART = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """An attempt on a worker.

    Attributes:
        record: Its job.
        size: Resources reserved for it.
        is_lent: Whether the worker's pool doesn't carry the job's kind.
        is_throttled: Whether it was throttled already.
    """

    record: jobs.JobRecord
    size: records.Resources
    is_lent: bool = False
    is_throttled: bool = False


@dataclasses.dataclass(slots=True)
class WorkerState:
    """One worker while a round is planned.

    Attributes:
        worker_id: Name of the worker, equal to its VM's.
        pool: Pool that its VM serves.
        zone: Availability zone.
        rack: Rack.
        capacity: Its resources.
        reserved: Resources of its tasks.
        accepts_work: Whether it may receive work: its VM serves, it isn't
            quarantined, and the platform lists it.
        tasks: Its tasks.
    """

    worker_id: str
    pool: str
    zone: str
    rack: str
    capacity: records.Resources
    reserved: records.Resources = records.Resources()
    accepts_work: bool = True
    tasks: list[RunningTask] = dataclasses.field(default_factory=list)

    def has_room(self, size: records.Resources, part: float = 1.0) -> bool:
        """Whether a job fits into this part of the worker."""
        return (
            self.reserved.cores + size.cores <= self.capacity.cores * part
            and self.reserved.memory_mb + size.memory_mb
            <= self.capacity.memory_mb * part
            and self.reserved.accelerators + size.accelerators
            <= self.capacity.accelerators * part
        )

    def add(self, task: RunningTask) -> None:
        """Reserves a task's resources."""
        self.tasks.append(task)
        self.reserved = fair_share.add_resources(self.reserved, task.size)

    def remove(self, task: RunningTask) -> None:
        """Frees a task's resources."""
        self.tasks.remove(task)
        self.reserved = subtract_resources(self.reserved, task.size)


def subtract_resources(
    left: records.Resources, right: records.Resources
) -> records.Resources:
    """Returns a difference, at least zero."""
    return records.Resources(
        max(0.0, left.cores - right.cores),
        max(0.0, left.memory_mb - right.memory_mb),
        max(0.0, left.accelerators - right.accelerators),
    )


class WorkerPool:
    """Workers of one pool, searched from where the last search ended."""

    __slots__ = ("_cursor", "_failed_sizes", "_workers")

    def __init__(self, workers: Iterable[WorkerState]) -> None:
        self._workers = list(workers)
        self._cursor = 0
        self._failed_sizes: list[_FailedSearch] = []

    @property
    def workers(self) -> tuple[WorkerState, ...]:
        """All workers of the pool."""
        return tuple(self._workers)

    def find_room(
        self,
        size: records.Resources,
        zone: str,
        excluded: tuple[str, ...],
        part: float = 1.0,
    ) -> WorkerState | None:
        """Returns the tightest of some workers with room, or None.

        Args:
            size: Resources to reserve.
            zone: Only this availability zone; empty for any.
            excluded: Workers not to use, since the job failed there.
            part: Part of each worker that may be used.
        """
        search = _FailedSearch(size, zone, part)
        if any(search.needs_no_less_than(item) for item in self._failed_sizes):
            return None
        found: list[WorkerState] = []
        for worker in self._iterate():
            is_eligible = worker.accepts_work and (
                not zone or worker.zone == zone
            )
            if not is_eligible or not worker.has_room(size, part):
                continue
            if worker.worker_id not in excluded:
                found.append(worker)
            if len(found) == _COMPARED_WORKERS:
                break
        if found:
            return max(found, key=_measure_fill)
        if not excluded:
            self._note_failed(search)
        return None

    def forget_failed_searches(self) -> None:
        """Forgets which sizes found no room, after a task was stopped."""
        self._failed_sizes.clear()

    def _note_failed(self, search: "_FailedSearch") -> None:
        """Keeps only the smallest failed searches, so that few are compared."""
        self._failed_sizes = [
            item
            for item in self._failed_sizes
            if not item.needs_no_less_than(search)
        ]
        self._failed_sizes.append(search)

    def _iterate(self) -> Iterator[WorkerState]:
        count = len(self._workers)
        start = self._cursor
        for offset in range(count):
            self._cursor = (start + offset) % count
            yield self._workers[self._cursor]


@dataclasses.dataclass(frozen=True, slots=True)
class _FailedSearch:
    """A search that found no room; larger ones will find none either."""

    size: records.Resources
    zone: str
    part: float

    def needs_no_less_than(self, failed: "_FailedSearch") -> bool:
        """Whether this search needs at least as much as a failed one."""
        return (
            failed.zone in ("", self.zone)
            and self.part <= failed.part
            and self.size.cores >= failed.size.cores
            and self.size.memory_mb >= failed.size.memory_mb
            and self.size.accelerators >= failed.size.accelerators
        )


def _measure_fill(worker: WorkerState) -> float:
    return fair_share.compute_dominant_share(worker.reserved, worker.capacity)
