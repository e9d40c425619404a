"""Decides which runs may be stopped to drain a worker."""

from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import service_state
from fireflywell.scheduling import steps as steps_lib
from fireflywell.scheduling import workers as workers_lib

# Time that short units get to end after their worker was cordoned; then they
# are stopped, unless the VM only moves to another pool.
_DRAIN_GRACE_S = 3.0

# A worker with runs reports about once a second; an older report doesn't prove
# that its units are still serving.
_MAX_REPORT_AGE_S = 1.5

_SERVING_PERCENT = 100


def choose_evictions(
    state: service_state.ServiceState,
    worker: workers_lib.Worker,
    cordoned_for_s: float,
    now_s: float,
    *,
    is_move: bool,
) -> list[runs_lib.Run]:
    """Returns the runs to stop on a worker that is being drained.

    Units that end by themselves get `_DRAIN_GRACE_S` to do so. Long-running
    units never end and are stopped at once, as far as their step's
    `may_be_away` allows.

    Args:
        state: Jobs and workers of the service.
        worker: The worker.
        cordoned_for_s: Time since the worker was cordoned.
        now_s: Monotonic time.
        is_move: Whether the VM moves to another pool; then short units are
            never stopped.
    """
    evicted: list[runs_lib.Run] = []
    leaving: dict[str, int] = {}
    for run in worker.runs.values():
        if run.phase is not runs_lib.RunPhase.RUNNING:
            continue
        step = run.unit.step
        if not step.spec.is_long_running:
            if cordoned_for_s > _DRAIN_GRACE_S and not is_move:
                evicted.append(run)
            continue
        unavailable = count_unavailable(state, run.unit, now_s) + leaving.get(
            step.key, 0
        )
        if step.spec.may_be_away and unavailable >= step.spec.may_be_away:
            continue
        leaving[step.key] = leaving.get(step.key, 0) + 1
        evicted.append(run)
    return evicted


def may_send_stop(
    state: service_state.ServiceState,
    run: runs_lib.Run,
    now_s: float,
    is_owner: bool,
) -> bool:
    """Returns whether the stop of a run may be sent now, or sent again.

    Since it was requested, so many other units of the step may have become
    unavailable that this one must not be interrupted any more, or another node
    may have become the owner and interrupt others.

    Args:
        state: Jobs and workers of the service.
        run: The run.
        now_s: Monotonic time.
        is_owner: Whether this node surely owns the service.
    """
    if not _is_eviction(state, run):
        return True
    limit = run.unit.step.spec.may_be_away
    return is_owner and count_unavailable(state, run.unit, now_s) < limit


def _is_eviction(state: service_state.ServiceState, run: runs_lib.Run) -> bool:
    """Returns whether a run is stopped although `may_be_away` limits that.

    The members of a gang are stopped together, and those of an ended job
    whenever possible. A run whose start is unknown doesn't count as at work,
    nor does one whose worker has restarted: its stop only keeps the next
    incarnation from carrying out its start.
    """
    step = run.unit.step
    return (
        run.phase is runs_lib.RunPhase.STOPPING
        and step.spec.is_long_running
        and step.spec.may_be_away > 0
        and not step.spec.is_gang
        and not run.may_start_on_next_incarnation
        and step.job.job_id in state.jobs
    )


def count_unavailable(
    state: service_state.ServiceState, unit: steps_lib.Unit, now_s: float
) -> int:
    """Returns how many other units of a unit's step aren't serving."""
    serving = sum(
        other is not unit and is_serving(state, other, now_s)
        for other in unit.step.begun_units
    )
    return unit.step.spec.count - 1 - serving


def is_serving(
    state: service_state.ServiceState, unit: steps_lib.Unit, now_s: float
) -> bool:
    """Returns whether a recent report shows that a long-running unit serves.

    Units on workers that are unreachable or haven't reported for
    `_MAX_REPORT_AGE_S` don't count as serving, nor do runs that an earlier
    owner may have ordered to stop.
    """
    for run in unit.runs:
        worker = state.workers.get(run.worker_id)
        if (
            worker is not None
            and worker.is_reachable
            and now_s - worker.reported_s < _MAX_REPORT_AGE_S
            and run.phase is runs_lib.RunPhase.RUNNING
            and run.percent >= _SERVING_PERCENT
            and not _may_be_stopping(state, run, worker)
        ):
            return True
    return False


def _may_be_stopping(
    state: service_state.ServiceState,
    run: runs_lib.Run,
    worker: workers_lib.Worker,
) -> bool:
    """Returns whether an earlier owner's stop may be ending an adopted run.

    The worker carries out no order of an earlier owner after its first report
    to this one, but lists a run that it is stopping until the run has ended.
    """
    return (
        run.adopted_s is not None
        and worker.report_requested_s - run.adopted_s < state.stop_timeout_s
    )
