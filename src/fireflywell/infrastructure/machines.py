"""Client of the platform's VM list and of its workers."""

from typing import Any
from typing import Protocol

from fireflywell.infrastructure import records
from fireflywell.infrastructure import transport as transport_lib


class VmList(Protocol):
    """The platform's list of VMs, which may be out of date, and reboots."""

    async def list_vms(self) -> tuple[records.Vm, ...]:
        """Returns the VMs that the platform lists.

        Raises:
            PlatformError: The list can't be read.
        """

    async def reboot_vm(self, vm_id: str, expected_boot: int) -> None:
        """Asks the platform to reboot a VM, conditional on its boot count.

        Args:
            vm_id: The VM.
            expected_boot: Boot count that the VM must have; the call has no
                effect if it has another.

        Raises:
            PlatformError: The reboot may not have been started.
        """


class Workers(Protocol):
    """Workers and the tasks that they run under leases."""

    async def list_workers(self) -> tuple[records.Worker, ...]:
        """Returns all workers with their last reported usage."""

    async def list_tasks(self, worker_id: str) -> tuple[records.Task, ...]:
        """Returns the tasks that a worker reports."""

    async def list_changed_tasks(self, after_revision: int) -> records.TaskPage:
        """Returns the tasks of all workers that changed after a revision."""

    async def renew_tasks(self, tasks: tuple[records.Task, ...]) -> None:
        """Renews the leases of tasks; an ended task isn't revived."""

    async def start_task(
        self, worker_id: str, start: records.TaskStart
    ) -> records.Task:
        """Starts an attempt of a job; idempotent by job and attempt."""

    async def change_task(
        self, worker_id: str, job_id: str, attempt: int, action: str
    ) -> records.Task:
        """Applies `checkpoint`, `throttle` or `stop` to a task."""


class MachineClient:
    """Calls the VM list and the workers over HTTP.

    Implements `VmList` and `Workers`.
    """

    __slots__ = ("_transport",)

    def __init__(self, transport: transport_lib.PlatformTransport) -> None:
        self._transport = transport

    async def list_vms(self) -> tuple[records.Vm, ...]:
        """Lists the VMs; see `VmList.list_vms`."""
        answer = await self._transport.call("GET", "/v1/vms")
        return tuple(
            records.Vm(
                vm_id=vm["vm_id"],
                address=vm["address"],
                zone=vm["zone"],
                rack=vm["rack"],
                state=records.VmState(vm["state"]),
                boot=vm["boot"],
                is_system=vm["is_system"],
            )
            for vm in answer["vms"]
        )

    async def reboot_vm(self, vm_id: str, expected_boot: int) -> None:
        """Reboots a VM; see `VmList.reboot_vm`."""
        await self._transport.call(
            "POST",
            f"/v1/vms/{vm_id}/reboot",
            {"expected_boot": expected_boot},
        )

    async def list_workers(self) -> tuple[records.Worker, ...]:
        """Lists the workers; see `Workers.list_workers`."""
        answer = await self._transport.call("GET", "/v1/workers")
        return tuple(
            records.Worker(
                worker_id=worker["worker_id"],
                zone=worker["zone"],
                rack=worker["rack"],
                capacity=_decode_resources(worker["capacity"]),
                used=_decode_resources(worker["used"]),
            )
            for worker in answer["workers"]
        )

    async def list_tasks(self, worker_id: str) -> tuple[records.Task, ...]:
        """Lists a worker's tasks; see `Workers.list_tasks`."""
        answer = await self._transport.call(
            "GET", f"/v1/workers/{worker_id}/tasks"
        )
        return tuple(_decode_task(task) for task in answer["tasks"])

    async def list_changed_tasks(self, after_revision: int) -> records.TaskPage:
        """Lists changed tasks; see `Workers.list_changed_tasks`."""
        answer = await self._transport.call(
            "GET", f"/v1/tasks/changed/{after_revision}"
        )
        return records.TaskPage(
            tuple(_decode_task(task) for task in answer["tasks"]),
            answer["revision"],
        )

    async def renew_tasks(self, tasks: tuple[records.Task, ...]) -> None:
        """Renews leases; see `Workers.renew_tasks`."""
        task_ids = [
            {
                "worker_id": task.worker_id,
                "job_id": task.job_id,
                "attempt": task.attempt,
            }
            for task in tasks
        ]
        await self._transport.call(
            "POST", "/v1/tasks/renew", {"tasks": task_ids}
        )

    async def start_task(
        self, worker_id: str, start: records.TaskStart
    ) -> records.Task:
        """Starts an attempt; see `Workers.start_task`."""
        document = {
            "job_id": start.job_id,
            "attempt": start.attempt,
            "command": start.command,
            "run_seconds": start.run_seconds,
            "resources": {
                "cores": start.resources.cores,
                "memory_mb": start.resources.memory_mb,
                "accelerators": start.resources.accelerators,
            },
            "lease_seconds": start.lease.total_seconds(),
            "fencing_token": start.fencing_token,
        }
        answer = await self._transport.call(
            "POST", f"/v1/workers/{worker_id}/tasks", document
        )
        return _decode_task(answer)

    async def change_task(
        self, worker_id: str, job_id: str, attempt: int, action: str
    ) -> records.Task:
        """Changes a task; see `Workers.change_task`."""
        path = f"/v1/workers/{worker_id}/tasks/{job_id}/{attempt}/{action}"
        return _decode_task(await self._transport.call("POST", path))


def _decode_resources(value: dict[str, Any]) -> records.Resources:
    return records.Resources(
        cores=value["cores"],
        memory_mb=value["memory_mb"],
        accelerators=value["accelerators"],
    )


def _decode_task(value: dict[str, Any]) -> records.Task:
    return records.Task(
        job_id=value["job_id"],
        attempt=value["attempt"],
        worker_id=value["worker_id"],
        state=records.TaskState(value["state"]),
        used=_decode_resources(value["used"]),
        detail=value["detail"],
    )
