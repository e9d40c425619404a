"""Places the waiting units of ready steps in one pass over their order."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import itertools
import math

from fireflywell.scheduling import model
from fireflywell.scheduling import overdue_share
from fireflywell.scheduling import placement
from fireflywell.scheduling import ranking
from fireflywell.scheduling import reservations as reservations_lib
from fireflywell.scheduling import steps as steps_lib
from fireflywell.scheduling import workers as workers_lib

# After waiting this long for an own worker, a long-running unit may be placed
# on a spare-pool VM, which then can't leave without interrupting the unit. It
# must not wait for long, because it serves users all the time.
_SPARE_POOL_AFTER_S = 2.0

# How many steps that are too large for any worker's free CPU take part in a
# pass. They can only reserve workers, and ranking hundreds of them in each pass
# would hold up the process.
_MAX_LARGE_STEPS = 8

# Steps of short units that reserve workers by their rank in one pass, the best
# first. Looking for workers for hundreds of them would hold up the process.
_MAX_RESERVING_STEPS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class RankedStep:
    """A ready step with its sort key."""

    rank: ranking.Rank
    step: steps_lib.StepOccurrence


def list_usable(
    workers: Iterable[workers_lib.Worker], now_s: float
) -> list[workers_lib.Worker]:
    """Returns the workers that may get units in a pass."""
    return [
        worker
        for worker in workers
        if worker.accepts_runs(now_s)
        and worker.open_starts < workers_lib.MAX_OPEN_STARTS
    ]


def select_steps(
    steps: Sequence[steps_lib.StepOccurrence],
    usable: Sequence[workers_lib.Worker],
) -> list[steps_lib.StepOccurrence]:
    """Returns the ready steps that take part in a pass.

    Long-running steps and those that may fit do, and the oldest of those that
    need more CPU than any worker has free.

    Args:
        steps: The ready steps.
        usable: Workers that may get units.
    """
    free_cpu = max((worker.free_cpu for worker in usable), default=-1)
    selected: list[steps_lib.StepOccurrence] = []
    large: list[steps_lib.StepOccurrence] = []
    may_place = False
    for step in steps:
        spec = step.spec
        cpu = 0 if spec.is_filling else spec.demand.cpu_millis
        may_place = may_place or cpu <= free_cpu
        if spec.is_long_running or cpu <= free_cpu:
            selected.append(step)
        else:
            large.append(step)
    # If nothing may be placed, nothing takes what a large step waits for.
    if may_place:
        oldest = _iterate_oldest(large, usable)
        selected.extend(itertools.islice(oldest, _MAX_LARGE_STEPS))
    return selected


def _iterate_oldest(
    steps: Sequence[steps_lib.StepOccurrence],
    usable: Sequence[workers_lib.Worker],
) -> Iterator[steps_lib.StepOccurrence]:
    """Yields the steps that could reserve workers.

    Others would take the places of those that can start some time.
    """
    results: dict[_Shape, bool] = {}
    for step in sorted(steps, key=lambda item: item.job.arrived_s):
        if not _is_startable(step):
            continue
        shape = _find_shape(step)
        could_hold = results.get(shape) if shape else None
        if could_hold is None:
            could_hold = reservations_lib.could_hold(step, usable)
            if shape is not None:
                results[shape] = could_hold
        if could_hold:
            yield step


def _is_startable(step: steps_lib.StepOccurrence) -> bool:
    """Returns whether workers with enough room would be all that it needs."""
    if step.job.policy.advice and not step.tickets:
        return False
    # A gang can't start before its last run has ended.
    return not step.spec.is_gang or step.waiting_count == step.spec.count


@dataclasses.dataclass(frozen=True, slots=True)
class _Shape:
    """What decides whether a short unit fits on a worker."""

    demand: model.ResourceAmounts
    required_label: str
    is_filling: bool


def _find_shape(step: steps_lib.StepOccurrence) -> _Shape | None:
    """Returns a step's shape; None if more than that decides."""
    spec = step.spec
    if (
        spec.is_gang
        or spec.is_long_running
        or spec.max_per_worker
        or step.job.policy.advice
    ):
        return None
    return _Shape(spec.demand, spec.required_label, spec.is_filling)


def _find_longest_duration(step: steps_lib.StepOccurrence) -> float:
    """Returns the expected duration of a unit; inf if it is unknown."""
    duration_s = step.expected_unit_duration_s
    return duration_s if duration_s > 0 else math.inf


def place_units(
    ranked: Sequence[RankedStep],
    workers: Sequence[workers_lib.Worker],
    now_s: float,
    limit: int,
    reservations: reservations_lib.Reservations,
    share: overdue_share.OverdueShare,
) -> list[placement.Placement]:
    """Places waiting units, those of the best rank first.

    A share of the capacity goes to the overdue steps, the oldest first. The
    workers aren't changed: the caller must add a run to the worker for each
    placement.

    Args:
        ranked: Ready steps, sorted by rank.
        workers: Workers of the service.
        now_s: Monotonic time.
        limit: Maximum number of placements. A gang that starts below it may
            exceed it.
        reservations: Reservations of this pass, empty at first.
        share: Share of the overdue steps, which is updated.

    Returns:
        The placements in their order.
    """
    planning_pass = _PlanningPass(
        ranked, workers, now_s, limit, reservations, share
    )
    for item in ranked:
        planning_pass.place_step(item)
    return planning_pass.placements


class _PlanningPass:
    """Placements and reservations of one pass over the ready steps."""

    __slots__ = (
        "_candidates",
        "_capacity",
        "_is_turn_over",
        "_limit",
        "_now_s",
        "_overdue",
        "_own",
        "_own_usable",
        "_placed_counts",
        "_reservations",
        "_reserving_count",
        "_share",
        "_unfitting",
        "_unreservable",
        "_usable",
        "_waiting",
        "placements",
    )

    def __init__(
        self,
        ranked: Sequence[RankedStep],
        workers: Sequence[workers_lib.Worker],
        now_s: float,
        limit: int,
        reservations: reservations_lib.Reservations,
        share: overdue_share.OverdueShare,
    ) -> None:
        usable = list_usable(workers, now_s)
        self._usable = usable
        self._own_usable = [w for w in usable if not w.is_from_spare_pool]
        # Includes those that don't accept runs for a moment.
        self._own = [
            worker
            for worker in workers
            if not worker.is_from_spare_pool and not worker.instance.is_draining
        ]
        self._now_s = now_s
        self._limit = limit
        self._share = share
        self._capacity = placement.RemainingCapacity(usable)
        self._reservations = reservations
        self._placed_counts: collections.Counter[str] = collections.Counter()
        # Overdue steps that may have a turn in this pass, oldest first.
        self._overdue = collections.deque(
            sorted(
                (
                    item
                    for item in ranked
                    if item.rank.band is ranking.Band.OVERDUE
                ),
                key=lambda item: item.rank.arrived_s,
            )
        )
        # Units of each step that were asked for and aren't placed yet.
        self._waiting: dict[str, Iterator[steps_lib.Unit]] = {}
        # Shapes of which no more units fit, with the shortest duration for
        # which that is known, and those for which no worker is left to reserve.
        # Both last for a pass, in which capacity only decreases.
        self._unfitting: dict[_Shape, float] = {}
        self._unreservable: set[_Shape] = set()
        # Workers for the units of each long-running step.
        self._candidates: dict[str, Sequence[workers_lib.Worker]] = {}
        # Whether the step whose turn it is waits for its reserved workers.
        self._is_turn_over = False
        self._reserving_count = 0
        self.placements: list[placement.Placement] = []

    @property
    def _is_full(self) -> bool:
        return len(self.placements) >= self._limit

    def place_step(self, item: RankedStep) -> None:
        """Places the units of a step, with the turns that are due meanwhile."""
        step = item.step
        is_serving = item.rank.band is ranking.Band.SERVING
        while True:
            if not is_serving:
                self._take_turns()
            if self._is_full or not self._count_waiting(step):
                return
            max_units = self._limit - len(self.placements)
            if not is_serving and self._has_overdue:
                max_units = min(
                    max_units, self._share.count_until_due(step.spec)
                )
            count = self._place(step, max_units)
            if not count:
                if reservations_lib.may_reserve(step, item.rank, self._now_s):
                    self._reserve_by_rank(step, is_serving)
                return
            if not is_serving:
                self._share.record_other(step.spec, count)

    @property
    def _has_overdue(self) -> bool:
        return bool(self._overdue) and not self._is_turn_over

    def _take_turns(self) -> None:
        """Places units of the oldest overdue steps while their turn is due.

        If the oldest doesn't fit now, it reserves workers and keeps its turn. A
        step that no worker could hold loses it to the next oldest.
        """
        while self._has_overdue and self._share.is_due and not self._is_full:
            step = self._overdue[0].step
            if not self._count_waiting(step):
                self._overdue.popleft()
                continue
            count = self._place(step, 1)
            if count:
                self._share.record_turn(step.spec, count)
            elif self._reserve(step):
                self._is_turn_over = True
            else:
                self._overdue.popleft()

    def _count_waiting(self, step: steps_lib.StepOccurrence) -> int:
        """Returns how many units of a step this pass hasn't placed."""
        return step.waiting_count - self._placed_counts[step.key]

    def _iterate_waiting(
        self, step: steps_lib.StepOccurrence
    ) -> Iterator[steps_lib.Unit]:
        """Yields the units of a step that this pass hasn't placed."""
        units = self._waiting.get(step.key)
        if units is None:
            units = self._waiting[step.key] = step.iterate_waiting()
        return units

    def _place(self, step: steps_lib.StepOccurrence, max_units: int) -> int:
        """Places up to `max_units` units of a step, or a whole gang."""
        if not step.spec.is_filling and not self._capacity.has_enough_cpu(step):
            return 0
        shape = _find_shape(step)
        if self._is_unfitting(step, shape) or not _is_startable(step):
            return 0
        units = self._iterate_waiting(step)
        workers = self._list_candidates(step)
        limit = min(max_units, self._count_waiting(step))
        if step.spec.is_gang:
            chosen = placement.place_gang(
                step, units, workers, self._reservations, self._capacity
            )
        else:
            chosen = placement.place_singles(
                step,
                units,
                limit,
                workers,
                self._reservations,
                self._capacity,
            )
        if shape is not None and len(chosen) < limit:
            self._unfitting[shape] = _find_longest_duration(step)
        self._placed_counts[step.key] += len(chosen)
        self.placements.extend(chosen)
        return len(chosen)

    def _is_unfitting(
        self, step: steps_lib.StepOccurrence, shape: _Shape | None
    ) -> bool:
        if shape is None or shape not in self._unfitting:
            return False
        return _find_longest_duration(step) >= self._unfitting[shape]

    def _reserve_by_rank(
        self, step: steps_lib.StepOccurrence, is_serving: bool
    ) -> None:
        if is_serving or self._reserving_count < _MAX_RESERVING_STEPS:
            has_reserved = self._reserve(step)
            self._reserving_count += has_reserved and not is_serving

    def _reserve(self, step: steps_lib.StepOccurrence) -> bool:
        shape = _find_shape(step)
        if shape in self._unreservable or not _is_startable(step):
            return False
        workers = self._reservations.reserve(step, self._list_candidates(step))
        if shape is not None and not workers:
            self._unreservable.add(shape)
        self._capacity.withhold(
            [w for w in workers if self._reservations.is_closed(w)]
        )
        return bool(workers)

    def _list_candidates(
        self, step: steps_lib.StepOccurrence
    ) -> Sequence[workers_lib.Worker]:
        """Returns the workers that units of a step may be placed on now.

        A long-running unit goes to a spare-pool VM only if the own workers
        couldn't hold it without their short units either, or if it has waited
        for `_SPARE_POOL_AFTER_S`.
        """
        if not step.spec.is_long_running:
            return self._usable
        if step.key not in self._candidates:
            self._candidates[step.key] = self._choose_candidates(step)
        return self._candidates[step.key]

    def _choose_candidates(
        self, step: steps_lib.StepOccurrence
    ) -> Sequence[workers_lib.Worker]:
        has_waited = step.waiting_since_s is not None and (
            self._now_s - step.waiting_since_s > _SPARE_POOL_AFTER_S
        )
        required = step.spec.count if step.spec.is_gang else 1
        holdable = sum(worker.count_holdable(step) for worker in self._own)
        if has_waited or holdable < required:
            return self._usable
        return self._own_usable
