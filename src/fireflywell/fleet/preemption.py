"""Preemption: which tasks to stop or throttle for a time-critical job."""

from collections.abc import Iterator
import dataclasses
import enum

from fireflywell.fleet import jobs
from fireflywell.fleet import worker_pool
from fireflywell.infrastructure import records

# A throttled task keeps its memory and this fraction of its cores.
THROTTLED_PART = 0.5


class PreemptAction(enum.StrEnum):
    """How a task is preempted; the values are sent to the platform."""

    CHECKPOINT = "checkpoint"
    STOP = "stop"
    THROTTLE = "throttle"


@dataclasses.dataclass(frozen=True, slots=True)
class Preemption:
    """Preemption of one attempt of a job on a worker."""

    job_id: str
    attempt: int
    worker_id: str
    action: PreemptAction


@dataclasses.dataclass(frozen=True, slots=True)
class PreemptionPlan:
    """Preemptions on one worker that free enough resources together."""

    worker: worker_pool.WorkerState
    preemptions: tuple[Preemption, ...]


def plan_preemption(
    worker: worker_pool.WorkerState, size: records.Resources
) -> PreemptionPlan | None:
    """Selects tasks in victim order until their preemption frees enough.

    Urgent tasks are never preempted. A task that must run at most once and
    can't be checkpointed is only throttled.

    Returns:
        The plan, or None if preemption can't free enough on this worker.
    """
    reserved = worker.reserved
    chosen: list[Preemption] = []
    for task in sorted(worker.tasks, key=_rank_victim):
        action = _choose_action(task)
        if action is None:
            continue
        freed = _compute_freed(task, action)
        reserved = worker_pool.subtract_resources(reserved, freed)
        chosen.append(
            Preemption(
                task.record.spec.job_id,
                task.record.attempt,
                worker.worker_id,
                action,
            )
        )
        if _fits(worker.capacity, reserved, size):
            return PreemptionPlan(worker, tuple(chosen))
    return None


def apply_preemptions(plan: PreemptionPlan) -> None:
    """Frees the resources of the plan's tasks in the state of their worker."""
    actions = {item.job_id: item.action for item in plan.preemptions}
    for task in list(_list_preempted_tasks(plan.worker, actions)):
        plan.worker.remove(task)
        if actions[task.record.spec.job_id] is PreemptAction.THROTTLE:
            kept = worker_pool.subtract_resources(
                task.size, _compute_freed(task, PreemptAction.THROTTLE)
            )
            throttled = dataclasses.replace(task, size=kept, is_throttled=True)
            plan.worker.add(throttled)


def _list_preempted_tasks(
    worker: worker_pool.WorkerState, actions: dict[str, PreemptAction]
) -> Iterator[worker_pool.RunningTask]:
    for task in worker.tasks:
        if task.record.spec.job_id in actions:
            yield task


def _choose_action(task: worker_pool.RunningTask) -> PreemptAction | None:
    spec = task.record.spec
    if spec.urgency is jobs.JobUrgency.URGENT:
        return None
    if spec.can_checkpoint:
        return PreemptAction.CHECKPOINT
    if spec.is_idempotent:
        return PreemptAction.STOP
    return None if task.is_throttled else PreemptAction.THROTTLE


def _compute_freed(
    task: worker_pool.RunningTask, action: PreemptAction
) -> records.Resources:
    match action:
        case PreemptAction.CHECKPOINT | PreemptAction.STOP:
            return task.size
        case PreemptAction.THROTTLE:
            cores = task.size.cores * (1.0 - THROTTLED_PART)
            return records.Resources(cores=cores)


def _rank_victim(task: worker_pool.RunningTask) -> tuple[bool, bool, bool, str]:
    """Ranks victims: lent, then batch, then checkpointable tasks first."""
    spec = task.record.spec
    return (
        not task.is_lent,
        spec.urgency is not jobs.JobUrgency.BATCH,
        not spec.can_checkpoint,
        spec.job_id,
    )


def _fits(
    capacity: records.Resources,
    reserved: records.Resources,
    size: records.Resources,
) -> bool:
    return (
        reserved.cores + size.cores <= capacity.cores
        and reserved.memory_mb + size.memory_mb <= capacity.memory_mb
        and reserved.accelerators + size.accelerators <= capacity.accelerators
    )
