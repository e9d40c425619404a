"""Emulates the users' platform on loopback: store, workers, operator.

Real node processes run against it. It makes faults on demand and records what
its workers were told, so that promises can be checked from outside.
"""

import base64
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
from fireflywell.standins import emulator_fleet
from fireflywell.standins import emulator_machine
from fireflywell.standins import emulator_store
from fireflywell.standins import emulator_values as values
from fireflywell.standins import platform_api
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib

_BODY_LIMIT_BYTES = 65536

# A worker says that it leaves this long before it ends.
_DRAIN_NOTICE_S = 2.0

# A lost worker's entry is removed after this time, three missed heartbeats.
_ENTRY_LAPSE_S = 4.5

_CONFIGURATION_PLACE = row_store.RowKey("op", "", "config")


class Emulator:
    """The root of the emulator's supervisor tree."""

    __slots__ = (
        "_changes",
        "_clock",
        "_fleet",
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
        self._store = emulator_store.FaultyRowStore(clock, random.Random())
        self._workers = {
            item.name: emulator_machine.EmulatedWorker(
                item,
                clock,
                settings.unit_s,
                datetime.timedelta(seconds=settings.max_hold_s),
            )
            for item in settings.workers
        }
        self._fleet = emulator_fleet.EmulatedFleet(
            {
                name: _WorkerVm(worker, self._store)
                for name, worker in self._workers.items()
            },
            self._store,
            settings.machines_per_page,
            clock,
        )
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
            )
            + (
                supervisor_lib.Child(
                    "fleet", self._fleet.run, policies.StopProcess()
                ),
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
            await self._fleet(scope, receive, send)
        else:
            await platform_api.StoreApi(self._store)(scope, receive, send)

    async def _serve_control(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope["method"] == "GET":
            if scope["path"].startswith(values.ROWS_PATH):
                await self._show_row(scope["path"], send)
                return
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

    async def _show_row(self, path: str, send: asgi.Send) -> None:
        """Answers with a row as it is now, also while reads are behind."""
        place = path.removeprefix(values.ROWS_PATH).split("/")
        row = None
        if len(place) == 3 and not self._store.is_down:
            row = self._store.get(row_store.RowKey(*place))
        if row is None:
            await asgi.send_json(send, 404, {"error": f"no row at {path}"})
            return
        value = base64.b64encode(row.value).decode()
        await asgi.send_json(send, 200, {"value": value})

    async def _make_fault(self, fault: values.Fault) -> None:
        match fault:
            case values.WaveRequested():
                self._fleet.request(fault)
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
            case values.StoreBehind():
                await self._store.fall_behind(fault)
            case values.TransactionsLate():
                await self._store.delay_transactions(fault)
            case values.AddressChange(worker=name, seconds=seconds):
                worker = self._workers[name]
                self._list_address(worker, True)
                await anyio.sleep(seconds)
                self._list_address(worker, False)
            case values.ClockJump(
                worker=name, seconds=seconds, offset_s=offset_s
            ):
                worker = self._workers[name]
                worker.clock_offset_s = offset_s
                await anyio.sleep(seconds)
                worker.clock_offset_s = 0.0
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
                worker.current.leaving_s = (
                    self._clock.monotonic().total_seconds()
                )
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
            case (
                values.OrdersLate()
                | values.OrdersRejected()
                | values.OrdersLost()
            ):
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

    def _list_address(
        self, worker: emulator_machine.EmulatedWorker, is_other: bool
    ) -> None:
        worker.is_at_other_address = is_other
        # A worker that has ended writes no entry.
        if worker.current.ended_s is None:
            self._store.put(worker.place, worker.encode_entry())

    def _begin_life(
        self, worker: emulator_machine.EmulatedWorker, keeps_id: bool = False
    ) -> None:
        if not keeps_id:
            # Another fault may have listed a life since.
            self._store.remove(worker.place)
        worker.begin_life(keeps_id)
        self._store.put(worker.place, worker.encode_entry())

    def _collect_records(self) -> values.Records:
        workers = tuple(self._workers.values())
        return values.Records(
            tuple(item for w in workers for item in w.list_starts()),
            tuple(item for w in workers for item in w.list_ends()),
            tuple(
                unit
                for worker in workers
                for life in worker.lives
                for unit in life.active_units
            ),
            tuple(self._changes),
            tuple(item for w in workers for item in w.list_lives()),
            tuple(item for w in workers for item in w.api.held),
            tuple(self._store.late_writes),
            tuple(self._fleet.begun),
            tuple(self._fleet.list_waves()),
        )


class _WorkerVm:
    """A worker's machine as `EmulatedFleet` sees it."""

    __slots__ = ("_store", "_worker")

    def __init__(
        self,
        worker: emulator_machine.EmulatedWorker,
        store: emulator_store.FaultyRowStore,
    ) -> None:
        self._worker = worker
        self._store = store

    @property
    def pool(self) -> str:
        """The worker's service."""
        return self._worker.current.instance.service

    @property
    def instance_id(self) -> str:
        """The present life; empty if it has ended."""
        if self._worker.current.ended_s is not None:
            return ""
        return self._worker.current.instance.instance_id

    def take_down(self) -> None:
        """Ends the present life; see `EmulatedVm.take_down`."""
        self._worker.current.crash()
        self._store.remove(self._worker.place)

    def bring_up(self) -> None:
        """Begins another life; see `EmulatedVm.bring_up`."""
        # Another fault may have begun and listed a life meanwhile.
        self._store.remove(self._worker.place)
        self._worker.begin_life()
        self._store.put(self._worker.place, self._worker.encode_entry())


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
