"""Stand-in for the platform's VMs, workers and tasks."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime
import json
from typing import Any

from fireflywell import clock as clock_lib
from fireflywell.platform import records

_EndHook = Callable[[str], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class _TaskEntry:
    task: records.Task
    started: datetime.timedelta
    ends: datetime.timedelta
    renewed: datetime.timedelta
    lease: datetime.timedelta


class Machines:
    """VMs with workers that run tasks under leases.

    A rebooted VM is away for `reboot_time`; its tasks fail. The list lags by
    `list_lag`; reported usage lags by the same time.
    """

    __slots__ = (
        "_away_until",
        "_clock",
        "_listed",
        "_listed_at",
        "_list_lag",
        "_reboot_hook",
        "_reboot_time",
        "_tasks",
        "_vms",
        "_workers",
    )

    def __init__(
        self,
        clock: clock_lib.Clock,
        vms: tuple[records.Vm, ...],
        capacity: records.Resources,
        reboot_time: datetime.timedelta = datetime.timedelta(seconds=2),
        list_lag: datetime.timedelta = datetime.timedelta(seconds=1),
    ) -> None:
        self._clock = clock
        self._vms = {vm.vm_id: vm for vm in vms}
        self._workers = {
            vm.vm_id: records.Worker(
                vm.vm_id, vm.zone, vm.rack, capacity, records.Resources()
            )
            for vm in vms
        }
        self._reboot_time = reboot_time
        self._list_lag = list_lag
        self._listed: tuple[records.Vm, ...] = vms
        self._listed_at = clock.monotonic()
        self._away_until: dict[str, datetime.timedelta] = {}
        self._tasks: dict[str, dict[str, _TaskEntry]] = {}
        self._reboot_hook: _EndHook | None = None

    def set_reboot_hook(self, hook: _EndHook) -> None:
        """Sets what a reboot does to the instances on the VM."""
        self._reboot_hook = hook

    def is_away(self, vm_id: str) -> bool:
        """Whether a VM is rebooting or was removed."""
        if vm_id not in self._vms:
            return True
        until = self._away_until.get(vm_id, datetime.timedelta())
        return self._clock.monotonic() < until

    async def answer(
        self, method: str, parts: list[str], body: bytes
    ) -> tuple[int, bytes]:
        """Answers one call below `/v1/`."""
        match method, parts:
            case "GET", ["vms"]:
                return 200, self._list_vms()
            case "POST", ["vms", vm_id, "reboot"]:
                await self._reboot(vm_id)
                return 200, b""
            case "POST", ["vms", vm_id, "remove"]:
                await self._remove(vm_id)
                return 200, b""
            case "POST", ["vms", vm_id, "add"]:
                self._add(vm_id, json.loads(body))
                return 200, b""
            case "GET", ["workers"]:
                return 200, self._list_workers()
            case "GET", ["workers", worker_id, "tasks"]:
                return self._answer_tasks(worker_id)
            case "POST", ["workers", worker_id, "tasks"]:
                return self._start_task(worker_id, json.loads(body))
            case "POST", ["workers", worker_id, "tasks", job, number, action]:
                return self._change_task(worker_id, f"{job}/{number}", action)
        return 404, b'{"error": "no such call"}'

    def _list_vms(self) -> bytes:
        now = self._clock.monotonic()
        if now - self._listed_at >= self._list_lag:
            self._listed = tuple(self._vms.values())
            self._listed_at = now
        vms = [dataclasses.asdict(vm) for vm in self._listed]
        return json.dumps({"vms": vms}).encode()

    async def _reboot(self, vm_id: str) -> None:
        vm = self._vms[vm_id]
        self._vms[vm_id] = dataclasses.replace(vm, boot=vm.boot + 1)
        self._away_until[vm_id] = self._clock.monotonic() + self._reboot_time
        self._fail_tasks(vm_id, "the VM was rebooted")
        if self._reboot_hook is not None:
            await self._reboot_hook(vm_id)

    async def _remove(self, vm_id: str) -> None:
        self._fail_tasks(vm_id, "the VM was removed")
        del self._vms[vm_id]
        del self._workers[vm_id]
        if self._reboot_hook is not None:
            await self._reboot_hook(vm_id)

    def _add(self, vm_id: str, document: dict[str, Any]) -> None:
        vm = records.Vm(
            vm_id,
            document["address"],
            document["zone"],
            document["rack"],
            records.VmState.LIVE,
            1,
        )
        capacity = records.Resources(**document["capacity"])
        self._vms[vm_id] = vm
        self._workers[vm_id] = records.Worker(
            vm_id, vm.zone, vm.rack, capacity, records.Resources()
        )

    def _fail_tasks(self, vm_id: str, detail: str) -> None:
        for entry in self._tasks.get(vm_id, {}).values():
            if entry.task.state is records.TaskState.RUNNING:
                entry.task = dataclasses.replace(
                    entry.task, state=records.TaskState.FAILED, detail=detail
                )

    def _list_workers(self) -> bytes:
        workers = []
        for worker in self._workers.values():
            if self.is_away(worker.worker_id):
                continue
            used = self._sum_usage(worker.worker_id)
            current = dataclasses.replace(worker, used=used)
            workers.append(dataclasses.asdict(current))
        return json.dumps({"workers": workers}).encode()

    def _sum_usage(self, worker_id: str) -> records.Resources:
        total = records.Resources()
        oldest = self._clock.monotonic() - self._list_lag
        for entry in self._tasks.get(worker_id, {}).values():
            self._advance(entry)
            is_running = entry.task.state is records.TaskState.RUNNING
            if is_running and entry.started <= oldest:
                total = records.Resources(
                    total.cores + entry.task.used.cores,
                    total.memory_mb + entry.task.used.memory_mb,
                    total.accelerators + entry.task.used.accelerators,
                )
        return total

    def _answer_tasks(self, worker_id: str) -> tuple[int, bytes]:
        if self.is_away(worker_id):
            return 503, b'{"error": "the worker is away"}'
        entries = self._tasks.get(worker_id, {}).values()
        for entry in entries:
            self._advance(entry)
        tasks = [dataclasses.asdict(entry.task) for entry in entries]
        return 200, json.dumps({"tasks": tasks}).encode()

    def _start_task(
        self, worker_id: str, document: dict[str, Any]
    ) -> tuple[int, bytes]:
        if self.is_away(worker_id):
            return 503, b'{"error": "the worker is away"}'
        name = f"{document['job_id']}/{document['attempt']}"
        tasks = self._tasks.setdefault(worker_id, {})
        if name not in tasks:
            now = self._clock.monotonic()
            length = datetime.timedelta(seconds=document["run_seconds"])
            state = (
                records.TaskState.FAILED
                if document["command"] == "fail"
                else records.TaskState.RUNNING
            )
            tasks[name] = _TaskEntry(
                records.Task(
                    document["job_id"],
                    document["attempt"],
                    worker_id,
                    state,
                    records.Resources(**document["resources"]),
                ),
                started=now,
                ends=now + length,
                renewed=now,
                lease=datetime.timedelta(seconds=document["lease_seconds"]),
            )
        return self._encode_task(tasks[name])

    def _change_task(
        self, worker_id: str, name: str, action: str
    ) -> tuple[int, bytes]:
        if self.is_away(worker_id):
            return 503, b'{"error": "the worker is away"}'
        entry = self._tasks.get(worker_id, {}).get(name)
        if entry is None:
            return 404, b'{"error": "no such task"}'
        self._advance(entry)
        states = {
            "checkpoint": records.TaskState.CHECKPOINTED,
            "throttle": records.TaskState.THROTTLED,
            "stop": records.TaskState.STOPPED,
        }
        is_running = entry.task.state in (
            records.TaskState.RUNNING,
            records.TaskState.THROTTLED,
        )
        if action == "renew" and is_running:
            entry.renewed = self._clock.monotonic()
        elif action in states and is_running:
            entry.task = dataclasses.replace(entry.task, state=states[action])
        return self._encode_task(entry)

    def _advance(self, entry: _TaskEntry) -> None:
        if entry.task.state is not records.TaskState.RUNNING:
            return
        now = self._clock.monotonic()
        lapses = entry.renewed + entry.lease
        state: records.TaskState = records.TaskState.RUNNING
        if entry.ends <= min(now, lapses):
            state = records.TaskState.SUCCEEDED
        elif lapses <= now:
            state = records.TaskState.LAPSED
        entry.task = dataclasses.replace(entry.task, state=state)

    def _encode_task(self, entry: _TaskEntry) -> tuple[int, bytes]:
        self._advance(entry)
        return 200, json.dumps(dataclasses.asdict(entry.task)).encode()
