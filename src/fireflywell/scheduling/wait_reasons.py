"""Reasons for which ready units wait, and how they are found."""

import dataclasses

from fireflywell.scheduling import ranking
from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import service_state
from fireflywell.scheduling import steps as steps_lib
from fireflywell.scheduling import workers as workers_lib

# Names of workers and steps in one description.
_MOST_NAMES = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Obstacles:
    """How many workers can't take a unit now, by the first obstacle.

    Attributes:
        unreachable: Don't report.
        draining: Leave soon.
        cordoned: Are kept free for maintenance or a move.
        stopping: Have runs of unknown size, which are being stopped, or more
            runs than they can hold.
        paused: Refused or failed starts a moment ago.
        open_starts: Haven't answered as many starts as they may have.
        label: Lack the required label.
        max_per_worker: Run as many units of the step as allowed.
        ticket: Have no ticket of the advice service.
        cpu: Have too little free CPU.
        memory: Have enough free CPU and too little memory.
        accelerators: Have too few free accelerators.
    """

    unreachable: int = 0
    draining: int = 0
    cordoned: int = 0
    stopping: int = 0
    paused: int = 0
    open_starts: int = 0
    label: int = 0
    max_per_worker: int = 0
    ticket: int = 0
    cpu: int = 0
    memory: int = 0
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveryIncomplete:
    """Workers that may run units for an earlier owner haven't reported."""

    workers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PlannerStopped:
    """No unit is placed: ownership or the drain requests aren't known."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoWorkerAccepts:
    """No worker accepts runs of any step."""

    obstacles: Obstacles


@dataclasses.dataclass(frozen=True, slots=True)
class NoWorkerFits:
    """Some workers accept runs, but none that this unit fits on."""

    obstacles: Obstacles


@dataclasses.dataclass(frozen=True, slots=True)
class Reserved:
    """All workers that the unit fits on are reserved for other steps."""

    steps: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BehindOtherWork:
    """The unit fits on a worker and other steps are placed before it.

    Attributes:
        band: Class of urgency of its step.
        steps: Ready steps with waiting units, this one included.
        is_gang_incomplete: Whether its gang waits for members whose runs
            haven't ended.
    """

    band: ranking.Band
    steps: int
    is_gang_incomplete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StartUnanswered:
    """A start of the unit has no answer, or isn't sent yet.

    Attributes:
        worker_id: The worker.
        run: Number of the run.
        unanswered: Transmissions without an answer so far.
        is_given_up: Whether the start is being stopped.
        runs_alike: Runs on the worker that have no answer either.
    """

    worker_id: str
    run: int
    unanswered: int
    is_given_up: bool
    runs_alike: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopUnconfirmed:
    """A stopped run hasn't been reported as over.

    Attributes:
        worker_id: The worker.
        run: Number of the run.
        is_reachable: Whether the worker reports.
    """

    worker_id: str
    run: int
    is_reachable: bool


Reason = (
    RecoveryIncomplete
    | PlannerStopped
    | NoWorkerAccepts
    | NoWorkerFits
    | Reserved
    | BehindOtherWork
    | StartUnanswered
    | StopUnconfirmed
)


def describe_reason(reason: Reason) -> str:
    """Returns the details of a reason as a text for the log."""
    match reason:
        case RecoveryIncomplete(workers=workers):
            return f"no report from {_join(workers)}"
        case PlannerStopped():
            return "ownership isn't confirmed or drain requests aren't read"
        case NoWorkerAccepts(obstacles=obstacles):
            return _describe_obstacles(obstacles)
        case NoWorkerFits(obstacles=obstacles):
            return _describe_obstacles(obstacles)
        case Reserved(steps=steps):
            return f"for {_join(steps)}"
        case BehindOtherWork(band=band, steps=steps) as behind:
            text = f"band {band.name.lower()}, {steps} steps wait"
            if behind.is_gang_incomplete:
                text += ", its gang has runs that haven't ended"
            return text
        case StartUnanswered() as start:
            return (
                f"run {start.run} on {start.worker_id}, "
                f"{start.unanswered} transmissions without an answer, "
                f"{'stop requested' if start.is_given_up else 'being sent'}, "
                f"{start.runs_alike} such runs there"
            )
        case StopUnconfirmed() as stop:
            return (
                f"run {stop.run} on {stop.worker_id}, which "
                f"{'reports' if stop.is_reachable else 'is unreachable'}"
            )


def name_reason(reason: Reason) -> str:
    """Returns the name of a reason in log lines and metrics."""
    match reason:
        case RecoveryIncomplete():
            return "recovery_incomplete"
        case PlannerStopped():
            return "planner_stopped"
        case NoWorkerAccepts():
            return "no_worker_accepts"
        case NoWorkerFits():
            return "no_worker_fits"
        case Reserved():
            return "reserved"
        case BehindOtherWork():
            return "behind_other_work"
        case StartUnanswered():
            return "start_unanswered"
        case StopUnconfirmed():
            return "stop_unconfirmed"


def find_reason(
    state: service_state.ServiceState,
    unit: steps_lib.Unit,
    now_s: float,
    unreported: tuple[str, ...],
    is_planning: bool,
) -> Reason:
    """Returns why a ready unit has no run at work.

    Args:
        state: State of the unit's service.
        unit: The unit.
        now_s: Monotonic time.
        unreported: Workers whose reports the recovery waits for.
        is_planning: Whether planning passes take place.
    """
    for run in unit.runs:
        return _explain_run(state, run)
    step = unit.step
    if step.job.is_recovered and not state.is_recovery_complete:
        return RecoveryIncomplete(unreported)
    if not is_planning:
        return PlannerStopped()
    counts: dict[str, int] = {}
    fitting = []
    for worker in state.workers.values():
        obstacle = _find_obstacle(worker, step, now_s)
        if obstacle:
            counts[obstacle] = counts.get(obstacle, 0) + 1
        else:
            fitting.append(worker)
    obstacles = Obstacles(**counts)
    if not any(worker.accepts_runs(now_s) for worker in state.workers.values()):
        return NoWorkerAccepts(obstacles)
    if not fitting:
        return NoWorkerFits(obstacles)
    holders = [
        state.reservations.find_other_holder(worker, step) for worker in fitting
    ]
    if all(holder is not None for holder in holders):
        keys = {holder.key for holder in holders if holder is not None}
        return Reserved(tuple(sorted(keys)))
    return BehindOtherWork(
        # The band doesn't depend on the mean work of the queue.
        ranking.rank_step(
            step,
            now_s,
            ranking.find_objective_start_s(step),
            0.0,
            ranking.Estimates().find(step),
        ).band,
        len(state.list_waiting_steps()),
        step.spec.is_gang and step.waiting_count < step.spec.count,
    )


def _explain_run(
    state: service_state.ServiceState, run: runs_lib.Run
) -> Reason:
    worker = state.workers.get(run.worker_id)
    match run.phase:
        case runs_lib.RunPhase.SENDING | runs_lib.RunPhase.START_UNKNOWN:
            others = worker.runs.values() if worker else ()
            return StartUnanswered(
                run.worker_id,
                run.number,
                run.unanswered_starts,
                run.phase is runs_lib.RunPhase.START_UNKNOWN,
                sum(other.phase is run.phase for other in others),
            )
        case _:
            return StopUnconfirmed(
                run.worker_id,
                run.number,
                worker is not None and worker.is_reachable,
            )


def _find_obstacle(
    worker: workers_lib.Worker, step: steps_lib.StepOccurrence, now_s: float
) -> str:
    """Returns the field of `Obstacles` that a worker counts for, or ''."""
    spec = step.spec
    checks = (
        ("unreachable", not worker.is_reachable),
        ("draining", worker.instance.is_draining),
        ("cordoned", worker.is_cordoned),
        ("stopping", worker.is_closed),
        ("paused", now_s < worker.avoid_until_s),
        ("open_starts", worker.open_starts >= workers_lib.MAX_OPEN_STARTS),
        (
            "label",
            bool(spec.required_label)
            and spec.required_label not in worker.instance.labels,
        ),
        (
            "max_per_worker",
            bool(spec.max_per_worker)
            and worker.units_per_step.get(step.key, 0) >= spec.max_per_worker,
        ),
        (
            "ticket",
            step.job.policy.advice is not None
            and worker.worker_id not in step.tickets,
        ),
        (
            "cpu",
            not spec.is_filling and spec.demand.cpu_millis > worker.free_cpu,
        ),
        ("memory", spec.demand.memory_mb > worker.free_memory),
        ("accelerators", spec.demand.accelerators > worker.free_accelerators),
    )
    return next((name for name, applies in checks if applies), "")


def _describe_obstacles(obstacles: Obstacles) -> str:
    counts = {
        field.name: getattr(obstacles, field.name)
        for field in dataclasses.fields(obstacles)
    }
    return (
        ", ".join(f"{name} {count}" for name, count in counts.items() if count)
        or "no worker is listed"
    )


def _join(names: tuple[str, ...]) -> str:
    shown = ", ".join(names[:_MOST_NAMES])
    rest = len(names) - _MOST_NAMES
    return f"{shown} and {rest} more" if rest > 0 else shown or "unknown"
