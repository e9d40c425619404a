"""Stand-in for the platform's VMs and workers."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import datetime
import json
from typing import Any

from fireflywell import clock as clock_lib
from fireflywell.infrastructure import records
from fireflywell.standins import task_changes
from fireflywell.standins import worker as worker_lib

_AwayHook = Callable[[str], Awaitable[None]]
_NO_WORKER = records.Resources()
_FOREVER = datetime.timedelta(days=365)
_AWAY = 503, b'{"error": "the worker is away"}'


class Machines:
    """VMs with workers that run tasks under leases.

    A rebooted VM is away for `reboot_time`; its tasks fail. The list lags by
    `list_lag`; reported usage lags by the same time.
    """

    __slots__ = (
        "_away_hook",
        "_away_until",
        "_changes",
        "_checkpoints",
        "_clock",
        "_list_lag",
        "_listed",
        "_listed_at",
        "_reboot_time",
        "_reboots",
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
        self._checkpoints = worker_lib.CheckpointStore()
        self._vms: dict[str, records.Vm] = {}
        self._workers: dict[str, worker_lib.WorkerStandin] = {}
        for vm in vms:
            self.add_vm(vm, capacity)
        self._reboot_time = reboot_time
        self._reboots = 0
        self._changes = task_changes.TaskChanges()
        self._list_lag = list_lag
        self._listed: tuple[records.Vm, ...] = vms
        self._listed_at = clock.monotonic()
        self._away_until: dict[str, datetime.timedelta] = {}
        self._away_hook: _AwayHook | None = None

    @property
    def reboots(self) -> int:
        """Number of reboots asked for."""
        return self._reboots

    @property
    def highest_reboots(self) -> int:
        """Largest number of reboots of any one VM that is listed."""
        return max((vm.boot - 1 for vm in self._vms.values()), default=0)

    @property
    def task_starts(self) -> int:
        """Number of attempts started on all workers."""
        return sum(worker.starts for worker in self._workers.values())

    def set_reboot_hook(self, hook: _AwayHook) -> None:
        """Sets what is called with the name of a VM that goes away."""
        self._away_hook = hook

    def add_vm(self, vm: records.Vm, capacity: records.Resources) -> None:
        """Adds a VM, with a worker unless the capacity is zero."""
        self._vms[vm.vm_id] = vm
        if capacity != _NO_WORKER:
            worker = records.Worker(
                vm.vm_id, vm.zone, vm.rack, capacity, records.Resources()
            )
            self._workers[vm.vm_id] = worker_lib.WorkerStandin(
                worker, self._clock, self._checkpoints
            )

    def is_away(self, vm_id: str) -> bool:
        """Whether a VM is rebooting, lost or removed."""
        if vm_id not in self._vms:
            return True
        until = self._away_until.get(vm_id, datetime.timedelta())
        return self._clock.monotonic() < until

    async def lose(self, domain: str) -> None:
        """Makes the VMs of a zone or rack, or one VM, go away."""
        for vm in self._iterate_domain(domain):
            await self._take_away(vm.vm_id, _FOREVER, "the VM was lost")

    async def restore(self, domain: str) -> None:
        """Brings lost VMs back."""
        for vm in self._iterate_domain(domain):
            self._away_until.pop(vm.vm_id, None)

    async def answer(
        self, method: str, parts: list[str], body: bytes
    ) -> tuple[int, bytes]:
        """Answers one call below `/v1/`."""
        match method, parts:
            case "GET", ["vms"]:
                return 200, self._list_vms()
            case "POST", ["vms", vm_id, action]:
                if vm_id not in self._vms and action != "add":
                    return 404, b'{"error": "no such VM"}'
                await self._change_vm(vm_id, action, body)
                return 200, b""
            case "GET", ["tasks", "changed", revision]:
                return 200, self._list_changed_tasks(int(revision))
            case "POST", ["tasks", "renew"]:
                self._renew_tasks(json.loads(body))
                return 200, b""
            case "GET", ["workers"]:
                return 200, self._list_workers()
            case _, ["workers", worker_id, *rest]:
                return self._answer_worker(method, worker_id, rest, body)
        return 404, b'{"error": "no such call"}'

    def _iterate_domain(self, domain: str) -> Iterator[records.Vm]:
        for vm in tuple(self._vms.values()):
            if domain in (vm.zone, vm.rack, vm.vm_id):
                yield vm

    def _list_vms(self) -> bytes:
        now = self._clock.monotonic()
        if now - self._listed_at >= self._list_lag:
            self._listed = tuple(self._vms.values())
            self._listed_at = now
        vms = [dataclasses.asdict(vm) for vm in self._listed]
        return json.dumps({"vms": vms}).encode()

    async def _change_vm(self, vm_id: str, action: str, body: bytes) -> None:
        match action:
            case "reboot":
                vm = self._vms[vm_id]
                expected = json.loads(body or b"{}").get("expected_boot")
                if expected not in (None, vm.boot):
                    return
                self._vms[vm_id] = dataclasses.replace(vm, boot=vm.boot + 1)
                self._reboots += 1
                detail = "the VM was rebooted"
                await self._take_away(vm_id, self._reboot_time, detail)
            case "leave":
                self._vms[vm_id] = dataclasses.replace(
                    self._vms[vm_id], state=records.VmState.LEAVING
                )
            case "remove":
                await self._take_away(vm_id, _FOREVER, "the VM was removed")
                del self._vms[vm_id]
                self._workers.pop(vm_id, None)
            case "add":
                self._add_described(vm_id, json.loads(body))
            case _:
                raise ValueError(
                    f"unknown action {action!r}; use reboot, leave, remove "
                    "or add"
                )

    async def _take_away(
        self, vm_id: str, duration: datetime.timedelta, detail: str
    ) -> None:
        until = self._clock.monotonic() + duration
        earlier = self._away_until.get(vm_id, until)
        self._away_until[vm_id] = max(until, earlier)
        worker = self._workers.get(vm_id)
        if worker is not None:
            worker.fail_active(detail)
        if self._away_hook is not None:
            await self._away_hook(vm_id)

    def _add_described(self, vm_id: str, document: dict[str, Any]) -> None:
        vm = records.Vm(
            vm_id,
            document["address"],
            document["zone"],
            document["rack"],
            records.VmState.LIVE,
            1,
        )
        self.add_vm(vm, records.Resources(**document["capacity"]))

    def _list_workers(self) -> bytes:
        workers = [
            dataclasses.asdict(worker.describe(self._list_lag))
            for worker_id, worker in self._workers.items()
            if not self.is_away(worker_id)
        ]
        return json.dumps({"workers": workers}).encode()

    def _list_changed_tasks(self, revision: int) -> bytes:
        tasks = [
            task
            for worker_id, worker in self._workers.items()
            if not self.is_away(worker_id)
            for task in worker.list_tasks()
        ]
        page = self._changes.list_after(revision, tasks)
        return json.dumps(dataclasses.asdict(page)).encode()

    def _renew_tasks(self, document: dict[str, Any]) -> None:
        for item in document["tasks"]:
            worker = self._workers.get(item["worker_id"])
            if worker is not None and not self.is_away(item["worker_id"]):
                worker.change(f"{item['job_id']}/{item['attempt']}", "renew")

    def _answer_worker(
        self, method: str, worker_id: str, rest: list[str], body: bytes
    ) -> tuple[int, bytes]:
        worker = self._workers.get(worker_id)
        if worker is None:
            return 404, b'{"error": "no such worker"}'
        if method == "POST" and rest == ["control"]:
            worker.change_behaviour(json.loads(body))
            return 200, b""
        if self.is_away(worker_id):
            return _AWAY
        match method, rest:
            case "GET", ["tasks"]:
                tasks = [dataclasses.asdict(t) for t in worker.list_tasks()]
                return 200, json.dumps({"tasks": tasks}).encode()
            case "POST", ["tasks"]:
                return _encode_task(worker.start(json.loads(body)))
            case "POST", ["tasks", job, number, action]:
                return _encode_task(worker.change(f"{job}/{number}", action))
        return 404, b'{"error": "no such call"}'


def _encode_task(task: records.Task | None) -> tuple[int, bytes]:
    if task is None:
        return 404, b'{"error": "no such task"}'
    return 200, json.dumps(dataclasses.asdict(task)).encode()
