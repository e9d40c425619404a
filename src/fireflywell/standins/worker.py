"""Stand-in for one worker: runs tasks under leases."""

import dataclasses
import datetime
import re
from typing import Any

from fireflywell import clock as clock_lib
from fireflywell.infrastructure import records

_THROTTLED_RATE = 0.5
_USE_PATTERN = re.compile(r"\buse_(cores|memory_mb|accelerators)=([0-9.]+)")
_RUN_PATTERN = re.compile(r"\brun_seconds=([0-9.]+)")


@dataclasses.dataclass(slots=True)
class TaskEntry:
    """A task, the work that it has left and its lease.

    Attributes:
        task: The task as it was last reported.
        left: Time that the task still needs at full rate; None if it never
            ends.
        rate: Share of its full rate; below 1 while throttled.
        advanced_at: Monotonic time up to which `left` is counted.
        started_at: Monotonic time of the start.
        renewed_at: Monotonic time of the last renewal.
        lease: Time after the last renewal when the task is ended.
    """

    task: records.Task
    left: datetime.timedelta | None
    rate: float
    advanced_at: datetime.timedelta
    started_at: datetime.timedelta
    renewed_at: datetime.timedelta
    lease: datetime.timedelta

    @property
    def is_active(self) -> bool:
        """Whether the task is running, throttled or not."""
        return self.task.state in (
            records.TaskState.RUNNING,
            records.TaskState.THROTTLED,
        )

    def set_state(self, state: records.TaskState, detail: str = "") -> None:
        """Sets the state that is reported."""
        self.task = dataclasses.replace(self.task, state=state, detail=detail)


class CheckpointStore:
    """Work that jobs have left after their last checkpoint."""

    __slots__ = ("_left",)

    def __init__(self) -> None:
        self._left: dict[str, datetime.timedelta] = {}

    def save(self, job_id: str, left: datetime.timedelta) -> None:
        """Stores the work left of a job."""
        self._left[job_id] = left

    def find(self, job_id: str) -> datetime.timedelta | None:
        """Returns the work left of a job, or None without a checkpoint."""
        return self._left.get(job_id)


class WorkerStandin:
    """Tasks of one worker.

    A command that contains `fail` fails at once, `never_ends` never ends,
    `run_seconds=N` runs for another time than declared, and `use_cores=N`,
    `use_memory_mb=N`, `use_accelerators=N` use other amounts than declared.
    """

    __slots__ = ("_checkpoints", "_clock", "_fails_all", "_tasks", "_worker")

    def __init__(
        self,
        worker: records.Worker,
        clock: clock_lib.Clock,
        checkpoints: CheckpointStore,
    ) -> None:
        self._worker = worker
        self._clock = clock
        self._checkpoints = checkpoints
        self._fails_all = False
        self._tasks: dict[str, TaskEntry] = {}

    @property
    def starts(self) -> int:
        """Number of attempts started."""
        return len(self._tasks)

    def change_behaviour(self, document: dict[str, Any]) -> None:
        """Makes the worker fail every task from now on, or ends that."""
        self._fails_all = bool(document.get("fails_all", self._fails_all))

    def describe(self, usage_lag: datetime.timedelta) -> records.Worker:
        """Returns the worker with its usage of `usage_lag` ago."""
        total = records.Resources()
        oldest = self._clock.monotonic() - usage_lag
        for entry in self._tasks.values():
            self._advance(entry)
            if entry.is_active and entry.started_at <= oldest:
                used = entry.task.used
                total = records.Resources(
                    total.cores + used.cores * entry.rate,
                    total.memory_mb + used.memory_mb,
                    total.accelerators + used.accelerators,
                )
        return dataclasses.replace(self._worker, used=total)

    def list_tasks(self) -> tuple[records.Task, ...]:
        """Returns all tasks in their present state."""
        for entry in self._tasks.values():
            self._advance(entry)
        return tuple(entry.task for entry in self._tasks.values())

    def start(self, document: dict[str, Any]) -> records.Task:
        """Starts an attempt; a repeated start returns the same task.

        Raises:
            KeyError: The document lacks a field.
        """
        name = f"{document['job_id']}/{document['attempt']}"
        if name not in self._tasks:
            self._tasks[name] = self._make_entry(document)
        entry = self._tasks[name]
        self._advance(entry)
        return entry.task

    def change(self, name: str, action: str) -> records.Task | None:
        """Applies an action; returns None if there is no such task.

        Raises:
            ValueError: The action isn't known.
        """
        entry = self._tasks.get(name)
        if entry is None:
            return None
        self._advance(entry)
        if entry.is_active:
            self._apply(entry, action)
        return entry.task

    def fail_active(self, detail: str) -> None:
        """Fails the running tasks, as when the VM goes away."""
        for entry in self._tasks.values():
            self._advance(entry)
            if entry.is_active:
                entry.set_state(records.TaskState.FAILED, detail)

    def _make_entry(self, document: dict[str, Any]) -> TaskEntry:
        now = self._clock.monotonic()
        command = document["command"]
        state, detail = records.TaskState.RUNNING, ""
        if self._fails_all or "fail" in command.split():
            state, detail = records.TaskState.FAILED, "failed as asked"
        task = records.Task(
            document["job_id"],
            document["attempt"],
            self._worker.worker_id,
            state,
            find_usage(command, records.Resources(**document["resources"])),
            detail,
        )
        return TaskEntry(
            task=task,
            left=self._find_work(document),
            rate=1.0,
            advanced_at=now,
            started_at=now,
            renewed_at=now,
            lease=datetime.timedelta(seconds=document["lease_seconds"]),
        )

    def _find_work(self, document: dict[str, Any]) -> datetime.timedelta | None:
        if "never_ends" in document["command"].split():
            return None
        saved = self._checkpoints.find(document["job_id"])
        if saved is not None:
            return saved
        named = _RUN_PATTERN.search(document["command"])
        seconds = named[1] if named else document["run_seconds"]
        return datetime.timedelta(seconds=float(seconds))

    def _apply(self, entry: TaskEntry, action: str) -> None:
        match action:
            case "renew":
                entry.renewed_at = self._clock.monotonic()
            case "throttle":
                entry.rate = _THROTTLED_RATE
                entry.set_state(records.TaskState.THROTTLED)
            case "checkpoint":
                if entry.left is not None:
                    self._checkpoints.save(entry.task.job_id, entry.left)
                entry.set_state(records.TaskState.CHECKPOINTED)
            case "stop":
                entry.set_state(records.TaskState.STOPPED)
            case _:
                raise ValueError(
                    f"unknown action {action!r}; use renew, throttle, "
                    "checkpoint or stop"
                )

    def _advance(self, entry: TaskEntry) -> None:
        if not entry.is_active:
            return
        now = self._clock.monotonic()
        lapses = entry.renewed_at + entry.lease
        until = min(now, lapses)
        if entry.left is not None:
            entry.left -= (until - entry.advanced_at) * entry.rate
        entry.advanced_at = until
        if entry.left is not None and entry.left <= datetime.timedelta():
            entry.set_state(records.TaskState.SUCCEEDED)
        elif lapses <= now:
            entry.set_state(records.TaskState.LAPSED)


def find_usage(command: str, declared: records.Resources) -> records.Resources:
    """Returns what a command really uses."""
    used = declared
    for name, amount in _USE_PATTERN.findall(command):
        used = dataclasses.replace(used, **{name: float(amount)})
    return used
