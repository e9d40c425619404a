"""Finds ready work that has nothing running, and why it waits."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import service_state
from fireflywell.scheduling import steps as steps_lib
from fireflywell.scheduling import wait_reasons

# A wait is explained once it is longer than this. Callers are promised that
# ready work doesn't wait beside free workers for 3 s, so the reason is in the
# log before that.
EXPLAINED_WAIT_S = 2.0

# There is room for a unit if the free capacity holds it this many times.
_ROOM_FACTOR = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LongWait:
    """The unit that has waited longest though there is room for it.

    Attributes:
        unit: Name of the unit.
        wait_s: How long it has waited.
        reason: Why it waits.
        free_cpu_share: Free CPU of the workers that accept runs, as a share of
            their capacity.
    """

    unit: str
    wait_s: float
    reason: wait_reasons.Reason
    free_cpu_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingWork:
    """Ready work that has nothing running.

    Attributes:
        units: Waiting units, those whose run isn't confirmed included.
        longest_wait_s: Longest wait, whether there is room or not.
        long_wait: The longest wait beside enough free capacity, if it is longer
            than `EXPLAINED_WAIT_S`.
    """

    units: int
    longest_wait_s: float
    long_wait: LongWait | None


# What waits: a job as a whole, one long-running unit, or all long-running units
# of a step that never started.
_Key = jobs_lib.Job | steps_lib.Unit | steps_lib.StepOccurrence


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    """Units that wait together.

    Attributes:
        key: What waits.
        unit: The unit that starts next.
        count: Number of units.
    """

    key: _Key
    unit: steps_lib.Unit
    count: int


class WaitTracker:
    """Measures how long ready work has had nothing running.

    A job waits as a whole while none of its units runs; each long-running unit
    waits by itself. The wait of a job that has never run counts from its
    acceptance, any other from the first look that found it.
    """

    __slots__ = ("_since_s", "_state")

    def __init__(self, state: service_state.ServiceState) -> None:
        self._state = state
        self._since_s: dict[_Key, float] = {}

    def look(
        self, now_s: float, unreported: Iterable[str], *, is_planning: bool
    ) -> WaitingWork:
        """Returns the work that waits now.

        Args:
            now_s: Monotonic time.
            unreported: Workers whose reports the recovery waits for.
            is_planning: Whether planning passes take place.
        """
        before_s = self._since_s
        since_s: dict[_Key, float] = {}
        late: list[_Waiting] = []
        unit_count = 0
        for item in self._iterate_waiting():
            unit_count += item.count
            if item.key in since_s:
                continue
            begun_s = before_s.get(item.key)
            if begun_s is None:
                begun_s = _find_start_of_wait(item.unit, now_s)
            since_s[item.key] = begun_s
            if now_s - begun_s > EXPLAINED_WAIT_S:
                late.append(item)
        self._since_s = since_s
        return WaitingWork(
            unit_count,
            now_s - min(since_s.values(), default=now_s),
            self._explain_longest(late, now_s, unreported, is_planning),
        )

    def _iterate_waiting(self) -> Iterator[_Waiting]:
        """Yields ready units that wait, those without any run first.

        One unit stands for all waiting units of a short step, and for those of
        a long-running step that never started.
        """
        running = set()
        unconfirmed = []
        for worker in self._state.workers.values():
            for run in worker.runs.values():
                if run.phase is runs_lib.RunPhase.RUNNING:
                    running.add(run.unit.step.job)
                else:
                    unconfirmed.append(run.unit)
        for step in self._state.list_waiting_steps():
            if step.spec.is_long_running:
                for unit in step.queued_units:
                    yield _Waiting(unit, unit, 1)
                if step.fresh_count:
                    yield _Waiting(
                        step, step.peek_fresh_unit(), step.fresh_count
                    )
            elif step.job not in running:
                yield _Waiting(
                    step.job,
                    next(iter(step.queued_units), step.peek_fresh_unit()),
                    step.waiting_count,
                )
        for unit in unconfirmed:
            step = unit.step
            is_wanted = step.job.job_id in self._state.jobs and not unit.is_done
            if is_wanted and (
                step.spec.is_long_running or step.job not in running
            ):
                is_whole = not step.spec.is_long_running
                yield _Waiting(step.job if is_whole else unit, unit, 1)

    def _explain_longest(
        self,
        late: Iterable[_Waiting],
        now_s: float,
        unreported: Iterable[str],
        is_planning: bool,
    ) -> LongWait | None:
        """Explains the longest wait of a unit for which there is room."""
        longest: steps_lib.Unit | None = None
        longest_since_s = now_s
        room: dict[tuple[int, int, int, str], bool] = {}
        for item in late:
            unit = item.unit
            since_s = self._since_s[item.key]
            if since_s >= longest_since_s:
                continue
            spec = unit.step.spec
            demand = spec.demand
            key = (
                0 if spec.is_filling else demand.cpu_millis,
                demand.memory_mb,
                demand.accelerators,
                spec.required_label,
            )
            if key not in room:
                room[key] = _has_room(self._state, *key)
            if room[key]:
                longest = unit
                longest_since_s = since_s
        if longest is None:
            return None
        return LongWait(
            longest.name,
            now_s - longest_since_s,
            wait_reasons.find_reason(
                self._state, longest, now_s, tuple(unreported), is_planning
            ),
            _compute_free_cpu_share(self._state, now_s),
        )


def _find_start_of_wait(unit: steps_lib.Unit, now_s: float) -> float:
    step = unit.step
    is_ready_from_start = (
        not step.spec.after and step.job.submission.request.recurrence is None
    )
    if is_ready_from_start and step.job.is_waiting:
        return step.job.arrived_s
    return now_s


def _has_room(
    state: service_state.ServiceState,
    cpu_millis: int,
    memory_mb: int,
    accelerators: int,
    label: str,
) -> bool:
    """Returns whether the free capacity holds a unit several times.

    All listed workers count, because each may be kept from the unit by a
    reason that has to be shown.
    """
    count = 0
    for worker in state.workers.values():
        if label and label not in worker.instance.labels:
            continue
        amounts = (
            (worker.free_cpu, cpu_millis),
            (worker.free_memory, memory_mb),
            (worker.free_accelerators, accelerators),
        )
        count += max(
            0,
            min(
                (free // need for free, need in amounts if need),
                default=_ROOM_FACTOR,
            ),
        )
        if count >= _ROOM_FACTOR:
            return True
    return False


def _compute_free_cpu_share(
    state: service_state.ServiceState, now_s: float
) -> float:
    usable = [
        worker
        for worker in state.workers.values()
        if worker.accepts_runs(now_s)
    ]
    total = sum(worker.instance.capacity.cpu_millis for worker in usable)
    return sum(worker.free_cpu for worker in usable) / total if total else 0.0
