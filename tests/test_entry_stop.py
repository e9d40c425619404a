"""A whole entry process that is told to stop while it works."""

import pathlib
import tempfile
import unittest

import anyio
import httpcore

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell import settings as settings_lib
from fireflywell.entry import entry_process
from fireflywell.entry import settings as entry_settings
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records
from fireflywell.standins import endpoint
from fireflywell.standins import machines
from fireflywell.standins import platform
from tests import entry_helpers
from tests import entry_system

INSTANCE_PORT = 18150
ENTRY_PORT = 18151
PEER_PORT = 18152
PLATFORM_PORT = 18153


class EntryStopTest(unittest.IsolatedAsyncioTestCase):
    """Runs the supervisor tree in the test's process."""

    async def test_stop_interrupts_nothing(self) -> None:
        """Fails if a stop cuts requests or loses results that were given."""
        clock = clock_lib.SystemClock()
        instance = endpoint.EndpointApplication("quotes@vm1", clock)
        vms = (
            make_vm("system1", "127.0.0.1"),
            make_vm("vm1", "127.0.0.2"),
        )
        standin = platform.PlatformApplication(
            clock, machines.Machines(clock, vms, records.Resources())
        )
        await standin.table.transact(
            records.Transaction(
                "w1",
                (),
                (
                    records.Write(
                        vm_records.make_vm_key("vm1"),
                        vm_records.encode_vm_record(
                            vm_records.VmRecord("vm1", "quotes")
                        ),
                    ),
                ),
            )
        )
        with tempfile.TemporaryDirectory() as directory:
            entry = make_process(pathlib.Path(directory), clock)
        bundle = entry_helpers.make_bundle(INSTANCE_PORT, slots=1)
        entry._holder.adopt(bundle)
        listeners = (
            asgi.Listener(instance, "127.0.0.2", INSTANCE_PORT),
            asgi.Listener(standin, "127.0.0.1", PLATFORM_PORT),
        )
        async with anyio.create_task_group() as group:
            for listener in listeners:
                group.start_soon(listener.run)
                await listener.wait_until_started()
            await self._work_and_stop(entry)
            for listener in listeners:
                listener.stop()
        self.assertEqual(instance.run_count, 4)
        page = await standin.table.scan("once/")
        keys = [row.key.rpartition("/")[2] for row in page.rows]
        self.assertEqual(keys, ["0", "closed"])

    async def _work_and_stop(self, entry: entry_process.EntryProcess) -> None:
        outcomes: list[str] = []
        stop = anyio.Event()
        url = f"http://127.0.0.1:{ENTRY_PORT}"
        async with (
            httpcore.AsyncConnectionPool() as pool,
            anyio.create_task_group() as group,
        ):
            group.start_soon(entry.run, stop)
            while not entry._parts.dispatcher.list_loads() or not sum(
                load.free_slots for load in entry._parts.dispatcher.list_loads()
            ):
                await anyio.sleep(0.05)
            issued = await pool.request(
                "POST", f"{url}/fireflywell/keys?count=4"
            )
            keys = issued.content.decode().split('"')[3::2]

            async def send(key: str) -> None:
                response = await pool.request(
                    "POST",
                    f"{url}/quotes/price",
                    headers=[
                        ("idempotency-key", key),
                        ("x-work-seconds", "0.4"),
                        ("content-length", "0"),
                    ],
                )
                outcomes.append(entry_system.name_outcome(response))

            for key in keys[:3]:
                group.start_soon(send, key)
            while entry._parts.ledger.running < 3:
                await anyio.sleep(0.01)
            stop.set()
            await anyio.sleep(0.1)
            ready = await pool.request("GET", f"{url}/readyz")
            self.assertEqual(ready.status, 503)
            # The balancer still sends requests for a while.
            await send(keys[3])
        self.assertEqual(outcomes, ["answered"] * 4)


def make_vm(vm_id: str, address: str) -> records.Vm:
    """Returns a living VM."""
    return records.Vm(vm_id, address, "a", "r1", records.VmState.LIVE, 1)


def make_process(
    directory: pathlib.Path, clock: clock_lib.Clock
) -> entry_process.EntryProcess:
    """Returns an entry process without peers."""
    (directory / "cluster.key").write_text("ab" * 32)
    (directory / "trust.toml").write_text(
        "threshold = 1\n"
        "[[reviewers]]\n"
        'name = "alice"\n'
        f'public_key = "{"ab" * 32}"\n'
    )
    settings = settings_lib.parse_settings(
        {
            "address": "127.0.0.1",
            "port": ENTRY_PORT,
            "peer_port": PEER_PORT,
            "zone": "a",
            "platform_url": f"http://127.0.0.1:{PLATFORM_PORT}",
            "cluster_key_file": str(directory / "cluster.key"),
            "trust_file": str(directory / "trust.toml"),
            "balancer_lag": 0.5,
        },
        entry_settings.EntrySettings,
        "test",
    )
    return entry_process.EntryProcess(settings, clock)
