"""Runs nodes, a row store and workers in one process without a network."""

import dataclasses
import datetime
import itertools
import json
import os
import random

import anyio

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell.coordination import row_store
from fireflywell.node import advice_line
from fireflywell.node import directory as directory_lib
from fireflywell.node import job_frontend
from fireflywell.node import node_process
from fireflywell.node import settings as node_settings
from fireflywell.node import tables
from fireflywell.platform import configuration
from fireflywell.platform import instances
from fireflywell.platform import waves
from fireflywell.scheduling import maintenance
from fireflywell.scheduling import model
from fireflywell.scheduling import orders
from fireflywell.scheduling import workers as workers_lib
from fireflywell.standins import row_store as store_standin
from fireflywell.standins import unit_worker
from fireflywell.telemetry import metrics as metrics_lib

SERVICE = "desk"
_NUMBERS = itertools.count(1)
# Test processes that run side by side listen on different addresses.
LOOPBACK_PREFIX = f"127.{80 + os.getpid() // 250 % 150}.{os.getpid() % 250}"
POLICY = model.QueuePolicy("quotes", SERVICE, 0, 4, 1.6, 0.6)
JOB_ID = "00000000000000a1"
BOUNDS = node_settings.OperatingLimits(
    lease=datetime.timedelta(milliseconds=900),
    longest_run_lease=datetime.timedelta(seconds=2),
    stop=datetime.timedelta(milliseconds=200),
    grace=datetime.timedelta(seconds=2),
    status_retention=datetime.timedelta(seconds=60),
    away_notice=datetime.timedelta(seconds=1),
    move=datetime.timedelta(milliseconds=200),
    upkeep=datetime.timedelta(milliseconds=200),
    far_factor=2.0,
    history=datetime.timedelta(seconds=20),
)


def make_step(count: int = 1, **fields: object) -> model.Step:
    """Returns a step of small units."""
    demand = fields.pop("demand", model.ResourceAmounts(1000, 100))
    return model.Step(count, demand, **fields)  # type: ignore[arg-type]


def make_request(*steps: model.Step) -> model.JobRequest:
    """Returns a job request with the given steps, or one small step."""
    return model.JobRequest("text", steps or (make_step(),))


def make_instance(
    name: str, rack: str = "r1-1", cores: int = 4, **fields: object
) -> workers_lib.WorkerInstance:
    """Returns a worker instance as the platform lists it."""
    return workers_lib.WorkerInstance(
        instance_id=name,
        service=SERVICE,
        address=f"127.0.0.1:{9000 + sum(name.encode()) % 900}",
        zone="a",
        rack=rack,
        labels=("a", rack),
        capacity=model.ResourceAmounts(cores * 1000, 32000),
        started_unix_ms=1,
        vm_id=f"m-{name}",
        **fields,  # type: ignore[arg-type]
    )


def encode_instance(instance: workers_lib.WorkerInstance) -> bytes:
    """Returns a worker instance as the platform's store holds it."""
    document = {
        "service": instance.service,
        "address": instance.address,
        "zone": instance.zone,
        "state": "draining" if instance.is_draining else "ready",
        "labels": list(instance.labels),
        "capacity": {
            "cpu": instance.capacity.cpu_millis,
            "requested_memory_mb": instance.capacity.memory_mb,
        },
        "born": instance.started_unix_ms,
        "machine": instance.vm_id,
    }
    return json.dumps(document).encode()


def encode_configuration(version: int = 1) -> bytes:
    """Returns a stored configuration with one queue and a spare service."""
    route = {
        "name": POLICY.queue,
        "host": "quotes.example",
        "path_prefix": "/quotes/",
        "service": SERVICE,
        "max_attempts": POLICY.max_attempts,
        "stretch_factor": POLICY.stretch_factor,
        "target_latency_ms": 600,
    }
    services = [
        {"name": SERVICE, "enforces_capacity": True},
        {"name": "spares", "spare": True},
    ]
    document = {"version": version, "routes": [route], "services": services}
    return json.dumps(document).encode()


@dataclasses.dataclass(frozen=True, slots=True)
class VmOrder:
    """An order that the platform's interface for VMs received."""

    vm_id: str
    target: str
    token: int


class FakeFleet:
    """Replaces the platform's interface for VMs and records its orders."""

    def __init__(self) -> None:
        self.vms: dict[str, maintenance.Vm] = {}
        self.orders: list[VmOrder] = []

    async def list_vms(self) -> tuple[maintenance.Vm, ...]:
        """Returns the VMs as the test set them."""
        return tuple(self.vms.values())

    async def begin_maintenance(
        self, vm_id: str, wave: int, token: int
    ) -> maintenance.VmRefusal | None:
        """Records the order."""
        self.orders.append(VmOrder(vm_id, f"wave {wave}", token))
        return None

    async def move(
        self, vm_id: str, pool: str, token: int
    ) -> maintenance.VmRefusal | None:
        """Records the order and moves the VM."""
        self.orders.append(VmOrder(vm_id, pool, token))
        self.vms[vm_id] = dataclasses.replace(self.vms[vm_id], pool=pool)
        return None


class FakeAdvice:
    """An advice service that approves some workers."""

    def __init__(self) -> None:
        self.approved: set[str] = set()
        self.calls: list[str] = []
        # How long a call waits before the service begins to handle it.
        self.wait_s = 0.0

    async def advise(
        self,
        step: str,
        workers: tuple[str, ...],
        timeout: datetime.timedelta,  # noqa: ARG002
    ) -> advice_line.Advice:
        """Approves the workers that the test chose."""
        self.calls.append(step)
        await anyio.sleep(self.wait_s)
        return advice_line.Advice(
            tuple(
                advice_line.Approval(name, f"ticket-{name}")
                for name in workers
                if name in self.approved
            )
        )


class NodeWorld:
    """A store, workers and a job frontend, to which nodes can be added."""

    def __init__(
        self,
        *names: str,
        run_s: float | None = 0.05,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self.clock = clock or clock_lib.SystemClock()
        self.store = store_standin.MemoryRowStore(self.clock)
        self.fleet = FakeFleet()
        self.advice = FakeAdvice()
        self.workers: dict[str, unit_worker.UnitWorker] = {}
        self.frontend = job_frontend.JobFrontend(
            self.store, self.clock, metrics_lib.NullMetrics()
        )
        self.store.put(
            row_store.RowKey(tables.OPERATOR, "", "config"),
            encode_configuration(),
        )
        for name in names:
            self.add_worker(name, run_s)

    def add_worker(
        self,
        name: str,
        run_s: float | None = 0.05,
        rack: str = "r1-1",
        vm_id: str = "",
    ) -> unit_worker.UnitWorker:
        """Adds a worker and its entry in the store.

        Args:
            name: Identifier of the worker.
            run_s: How long a unit runs; None if it doesn't end.
            rack: Rack.
            vm_id: The VM; empty for one that is named after the worker.
        """
        instance = make_instance(name, rack)
        if vm_id:
            instance = dataclasses.replace(instance, vm_id=vm_id)
        worker = unit_worker.UnitWorker(instance, self.clock, run_s)
        self.workers[name] = worker
        self.store.put(
            row_store.RowKey(tables.INSTANCES, "", name),
            encode_instance(instance),
        )
        return worker

    def make_node(self, name: str) -> node_process.NodeProcess:
        """Returns a node that isn't running yet; it serves no callers."""
        settings = self.make_settings(name)
        dependencies = node_process.NodeDependencies(
            store=self.store,
            decode_configuration=configuration.decode_configuration,
            decode_instance=instances.decode_instance,
            decode_wave=waves.decode_wave,
            make_client=self._connect,
            fleet=self.fleet,
            advice=self.advice,
            make_callers_api=_make_empty_api,
            make_readiness_api=lambda _: _refuse,
            metrics=metrics_lib.NullMetrics(),
            metrics_api=_refuse,
        )
        return node_process.NodeProcess(
            settings, dependencies, self.clock, random.Random(1)
        )

    def make_settings(self, name: str) -> node_settings.NodeSettings:
        """Returns the settings of a node."""
        # A killed node leaves its sockets open in the test's process.
        number = next(_NUMBERS)
        return node_settings.NodeSettings(
            name=name,
            zone="a",
            callers_address=f"{LOOPBACK_PREFIX}.{number}:18900",
            readiness_address=f"{LOOPBACK_PREFIX}.{number}:18901",
            metrics_address="",
            store_address="",
            machines_address="",
            advice_address="",
            bounds=BOUNDS,
        )

    def list_starts(self) -> list[unit_worker.StartRecord]:
        """Returns the starts on all workers."""
        return [s for w in self.workers.values() for s in w.starts]

    async def submit(
        self, *steps: model.Step, job_id: str = JOB_ID
    ) -> (
        job_frontend.Accepted
        | job_frontend.NotStored
        | job_frontend.OutcomeUnknown
        | job_frontend.TooLarge
    ):
        """Submits a job."""
        limit = datetime.timedelta(seconds=1)
        return await self.frontend.submit(
            job_id, POLICY, make_request(*steps), limit
        )

    async def wait_for_state(
        self, state: str, job_id: str = JOB_ID, seconds: float = 8.0
    ) -> None:
        """Waits until a job is in a state.

        Raises:
            TimeoutError: It wasn't within the given seconds.
        """
        with anyio.fail_after(seconds):
            while True:
                status = await self.frontend.read_state(job_id, POLICY)
                if (
                    isinstance(status, job_frontend.JobStatus)
                    and status.state == state
                ):
                    return
                await anyio.sleep(0.02)

    def _connect(
        self, instance: workers_lib.WorkerInstance
    ) -> orders.WorkerClient:
        return self.workers[instance.instance_id]


async def _refuse(
    scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
) -> None:
    del scope, receive
    await asgi.send_response(send, 503, (), b"")


def _make_empty_api(
    frontend: job_frontend.JobFrontend,
    holder: directory_lib.ConfigurationHolder,
) -> asgi.Application:
    del frontend, holder
    return _refuse
