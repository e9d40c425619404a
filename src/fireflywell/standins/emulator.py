"""Emulates the users' platform on loopback: store, workers, operator.

Real node processes run against it. It makes faults on demand and records what
its workers were told, so that promises can be checked from outside.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import functools
import json
import pathlib
import random
import sys

import anyio
import click

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import process
from fireflywell import settings as settings_lib
from fireflywell.coordination import row_store
from fireflywell.scheduling import model
from fireflywell.scheduling import workers as workers_lib
from fireflywell.standins import emulator_values as values
from fireflywell.standins import emulator_worker
from fireflywell.standins import platform_api
from fireflywell.standins import row_store as row_store_standin
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib

_BODY_LIMIT_BYTES = 65536

# A worker says that it leaves this long before it ends.
_DRAIN_NOTICE_S = 2.0

# A lost worker's entry is removed after this time, three missed heartbeats.
_ENTRY_LAPSE_S = 4.5

_CONFIGURATION_PLACE = row_store.RowKey("op", "", "config")

_CAPACITY = model.ResourceAmounts(16_000, 32_768)


class EmulatedWorker:
    """One machine whose worker may live several times."""

    __slots__ = ("_clock", "_lives", "_max_hold", "_settings", "_unit_s", "api")

    def __init__(
        self,
        settings: values.WorkerSettings,
        clock: clock_lib.Clock,
        unit_s: float,
        max_hold: datetime.timedelta,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._unit_s = unit_s
        self._max_hold = max_hold
        self._lives: list[emulator_worker.WorkerIncarnation] = []
        self.api = emulator_worker.FaultyWorkerApi(
            self.begin_life(), clock, random.Random()
        )

    @property
    def current(self) -> emulator_worker.WorkerIncarnation:
        """The life that serves orders."""
        return self._lives[-1]

    @property
    def lives(self) -> tuple[emulator_worker.WorkerIncarnation, ...]:
        """All lives, in order."""
        return tuple(self._lives)

    @property
    def place(self) -> row_store.RowKey:
        """Where the current life is listed."""
        life = self.current.instance.instance_id
        return row_store.RowKey("servers", "", life)

    def begin_life(
        self, keeps_id: bool = False
    ) -> emulator_worker.WorkerIncarnation:
        """Starts another life; the former ones end."""
        settings = self._settings
        for life in self._lives:
            life.crash()
        instance_id = f"{settings.name}-{len(self._lives) + 1}"
        if keeps_id:
            instance_id = self.current.instance.instance_id
        instance = workers_lib.WorkerInstance(
            instance_id=instance_id,
            service=settings.service,
            address=settings.listed_address,
            zone="a",
            rack=settings.rack,
            labels=("a", settings.rack),
            capacity=_CAPACITY,
            started_unix_ms=int(self._clock.now().timestamp() * 1000),
            vm_id=settings.name,
        )
        life = emulator_worker.WorkerIncarnation(
            instance, self._clock, self._unit_s, self._max_hold
        )
        self._lives.append(life)
        if len(self._lives) > 1:
            self.api.worker = life
        return life

    def encode_entry(self, state: str = "ready") -> bytes:
        """Returns the worker's entry in the store."""
        instance = self.current.instance
        document = {
            "service": instance.service,
            "address": instance.address,
            "zone": instance.zone,
            "state": state,
            "labels": list(instance.labels),
            "capacity": {
                "cpu": _CAPACITY.cpu_millis,
                "requested_memory_mb": _CAPACITY.memory_mb,
            },
            "born": instance.started_unix_ms,
            "machine": instance.vm_id,
        }
        return json.dumps(document).encode()


class Emulator:
    """The root of the emulator's supervisor tree."""

    __slots__ = (
        "_changes",
        "_clock",
        "_settings",
        "_store",
        "_tree",
        "_workers",
    )

    def __init__(
        self, settings: values.EmulatorSettings, clock: clock_lib.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._changes: list[values.ChangeSeen] = []
        self._store = row_store_standin.MemoryRowStore(clock)
        self._workers = {
            item.name: EmulatedWorker(
                item,
                clock,
                settings.unit_s,
                datetime.timedelta(seconds=settings.max_hold_s),
            )
            for item in settings.workers
        }
        served: list[tuple[str, asgi.Application]] = [
            (settings.store_address, self._serve_platform),
            (settings.control_address, self._serve_control),
        ]
        served.extend(
            (item.address, self._workers[item.name].api)
            for item in settings.workers
        )
        self._tree = supervisor_lib.Supervisor(
            "emulator",
            clock,
            random.Random(),
            tuple(
                supervisor_lib.Child(
                    address,
                    _listen(application, address),
                    policies.StopProcess(),
                )
                for address, application in served
            ),
        )

    async def run(self) -> None:
        """Lists the workers and serves until cancelled."""
        self._store.put(
            _CONFIGURATION_PLACE,
            self._encode_configuration(1, self._settings.services, 0),
        )
        for worker in self._workers.values():
            self._store.put(worker.place, worker.encode_entry())
        await self._tree.run_until_cancelled()

    def _encode_configuration(
        self, version: int, queues: tuple[str, ...], size_bytes: int
    ) -> bytes:
        known = self._settings.services
        routes = [
            {
                "name": queue,
                "host": "jobs.example",
                "path_prefix": f"/{queue}/",
                "service": queue if queue in known else known[0],
                "max_attempts": 20,
                "stretch_factor": 1.6,
                "target_latency_ms": 600,
            }
            for queue in queues
        ]
        services = [
            {"name": service, "enforces_capacity": True}
            for service in self._settings.services
        ]
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "padding": "x" * size_bytes,
        }
        return json.dumps(document).encode()

    async def _serve_platform(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope["path"].startswith("/machine"):
            await platform_api.MachinesApi()(scope, receive, send)
        else:
            await platform_api.StoreApi(self._store)(scope, receive, send)

    async def _serve_control(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope["method"] == "GET":
            document = values.encode_records(self._collect_records())
            await asgi.send_json(send, 200, document)
            return
        body = await asgi.read_body(receive, _BODY_LIMIT_BYTES)
        try:
            fault = values.decode_fault(json.loads(body))
        except (ValueError, errors.MalformedRequestError) as error:
            await asgi.send_json(send, 400, {"error": str(error)})
            return
        self._tree.start_child(
            supervisor_lib.Child(
                "fault",
                functools.partial(self._make_fault, fault),
                policies.NeverRestart(),
            )
        )
        await asgi.send_json(send, 200, {})

    async def _make_fault(self, fault: values.Fault) -> None:
        match fault:
            case values.ConfigurationSeries():
                await self._change_configuration(fault)
            case values.StoreDown(seconds=seconds):
                self._store.is_down = True
                await anyio.sleep(seconds)
                self._store.is_down = False
            case values.StoreSlow(seconds=seconds, delay_s=delay_s):
                self._store.delay_s = delay_s
                await anyio.sleep(seconds)
                self._store.delay_s = 0.0
            case values.AnswersLost(count=count):
                self._store.lose_answers += count
            case values.HistoryLost():
                self._store.drop_history()
            case values.WorkerCrash(
                worker=name, seconds=seconds, keeps_id=keeps_id
            ):
                worker = self._workers[name]
                lost = worker.place
                worker.current.crash()
                await anyio.sleep(min(seconds, _ENTRY_LAPSE_S))
                if not keeps_id:
                    self._store.remove(lost)
                await anyio.sleep(max(0.0, seconds - _ENTRY_LAPSE_S))
                self._begin_life(worker, keeps_id)
            case values.WorkerDrain(worker=name, seconds=seconds):
                worker = self._workers[name]
                lost = worker.place
                self._store.put(lost, worker.encode_entry("draining"))
                await anyio.sleep(_DRAIN_NOTICE_S)
                worker.current.crash()
                self._store.remove(lost)
                await anyio.sleep(seconds)
                self._begin_life(worker)
            case values.WorkerFails(worker=name, seconds=seconds):
                worker_life = self._workers[name].current
                worker_life.fails = True
                await anyio.sleep(seconds)
                worker_life.fails = False
            case values.StartsUnanswered(worker=name, count=count):
                self._workers[name].current.lose_answers += count
            case values.OrdersLate() | values.OrdersRejected():
                api = self._workers[fault.worker].api
                api.faults.append(fault)
                await anyio.sleep(fault.seconds)
                api.faults.remove(fault)

    async def _change_configuration(
        self, series: values.ConfigurationSeries
    ) -> None:
        for number in range(series.count):
            version = series.first_version + number
            added = (*(item.version for item in self._changes), version)
            queues = self._settings.services + tuple(
                values.name_added_queue(item) for item in added
            )
            self._store.put(
                _CONFIGURATION_PLACE,
                self._encode_configuration(version, queues, series.size_bytes),
            )
            at_s = self._clock.monotonic().total_seconds()
            self._changes.append(values.ChangeSeen(version, at_s))
            await anyio.sleep(series.interval_s)

    def _begin_life(
        self, worker: EmulatedWorker, keeps_id: bool = False
    ) -> None:
        if not keeps_id:
            # Another fault may have listed a life since.
            self._store.remove(worker.place)
        worker.begin_life(keeps_id)
        self._store.put(worker.place, worker.encode_entry())

    def _collect_records(self) -> values.Records:
        starts: list[values.StartSeen] = []
        ends: list[values.EndSeen] = []
        active: list[str] = []
        for worker in self._workers.values():
            for number, life in enumerate(worker.lives):
                name = f"{life.instance.instance_id}/{number}"
                active.extend(life.active_units)
                starts.extend(
                    values.StartSeen(name, item.unit, item.run, item.at_s)
                    for item in life.starts
                )
                ends.extend(
                    values.EndSeen(
                        name,
                        item.unit,
                        item.run,
                        str(item.kind),
                        item.at_s,
                        life.is_noted(item),
                    )
                    for item in life.ends
                )
        return values.Records(
            tuple(starts), tuple(ends), tuple(active), tuple(self._changes)
        )


def _listen(
    application: asgi.Application, address: str
) -> Callable[[], Awaitable[None]]:
    host, _, port = address.rpartition(":")
    return asgi.Listener(application, host, int(port)).run


@click.command()
@click.argument("settings_file", type=click.Path(path_type=pathlib.Path))
def main(settings_file: pathlib.Path) -> None:
    """Emulates the users' platform for node processes on this machine."""
    try:
        settings = settings_lib.load_settings(
            settings_file, values.EmulatorSettings
        )
    except errors.SettingsError as error:
        click.echo(f"error: {error}", err=True)
        sys.exit(process.EXIT_USAGE)
    emulator = Emulator(settings, clock_lib.SuspendAwareClock())

    async def run(stop: anyio.Event) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(emulator.run)
            await stop.wait()
            group.cancel_scope.cancel()

    sys.exit(process.run_process(run, None))


if __name__ == "__main__":
    main()
