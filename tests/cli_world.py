"""The command line against the platform's stand-in, for tests."""

import pathlib
import tempfile
import threading
import unittest

import anyio
from click import testing

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell.bundle import acceptance
from fireflywell.bundle import signatures
from fireflywell.cli import main
from fireflywell.fleet import jobs
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records
from fireflywell.standins import faults
from fireflywell.standins import machines
from fireflywell.standins import platform
from tests import bundle_samples

PLATFORM_PORT = 18510
ENTRY_PORT = 18511
CAPACITY = records.Resources(16, 32_000, 0)


def make_vms() -> tuple[records.Vm, ...]:
    """Returns a VM in each zone."""
    return tuple(
        records.Vm(
            f"vm{n}", f"127.1.0.{n}", zone, "r1", records.VmState.LIVE, 1
        )
        for n, zone in enumerate("abc", 1)
    )


class ServedApplications(threading.Thread):
    """Serves ASGI applications on an event loop of their own."""

    def __init__(self, *listeners: asgi.Listener) -> None:
        super().__init__()
        self._listeners = listeners
        self._ready = threading.Event()

    def start_and_wait(self) -> None:
        """Starts and waits until the addresses accept connections."""
        self.start()
        self._ready.wait()

    def stop(self) -> None:
        """Ends the listeners."""
        for listener in self._listeners:
            listener.stop()
        self.join()

    def run(self) -> None:
        """Serves until stopped."""
        anyio.run(self._serve)

    async def _serve(self) -> None:
        try:
            async with anyio.create_task_group() as group:
                for listener in self._listeners:
                    group.start_soon(listener.run)
                    await listener.wait_until_started()
                self._ready.set()
        finally:
            # A port that is taken must fail the test, not stop it for ever.
            self._ready.set()


class CommandCase(unittest.TestCase):
    """Runs commands against a platform with three VMs and a bundle."""

    def setUp(self) -> None:
        """Starts the platform and writes the settings file."""
        clock = clock_lib.SystemClock()
        self.platform = platform.PlatformApplication(
            clock, machines.Machines(clock, make_vms(), CAPACITY)
        )
        self.serve(self.platform, PLATFORM_PORT)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.config = self.write(
            "ops.toml",
            f'platform_url = "http://127.0.0.1:{PLATFORM_PORT}"\n'
            f'entries = ["http://127.0.0.1:{ENTRY_PORT}"]\n',
        )

    def serve(self, application: asgi.Application, port: int) -> None:
        """Serves an application until the test ends."""
        server = ServedApplications(
            asgi.Listener(application, "127.0.0.1", port)
        )
        server.start_and_wait()
        self.addCleanup(server.stop)

    def write(self, name: str, text: str) -> str:
        """Writes a file and returns its path."""
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def accept_bundle(self) -> None:
        """Puts the example bundle into the store."""
        signed = bundle_samples.make_signed(1, "")
        record = bundle_samples.extend(None, signed)
        name = acceptance.make_body_name(signed.head.digest)
        self.platform._objects[name] = signed.body
        self.put_row(acceptance.HEAD_KEY, signatures.encode_record(record))

    def fill_pools(self) -> None:
        """Gives each pool two VMs in each of three zones."""
        clock = clock_lib.SystemClock()
        listed = []
        for pool in bundle_samples.EXAMPLE.pools:
            for number in range(6):
                vm_id, zone = f"{pool.name}{number}", "abc"[number % 3]
                self.put_vm(vm_records.VmRecord(vm_id, pool.name))
                listed.append(
                    records.Vm(
                        vm_id, "127.1.1.1", zone, "r", records.VmState.LIVE, 1
                    )
                )
        self.platform._machines = machines.Machines(
            clock, tuple(listed), CAPACITY
        )

    def put_row(self, key: str, value: str | None) -> None:
        """Writes or deletes a row as another process would."""
        write = records.Write(key, value)
        self.platform.table._apply(records.Transaction("other", (), (write,)))

    def put_vm(self, record: vm_records.VmRecord) -> None:
        """Writes the row of a VM."""
        key = vm_records.make_vm_key(record.vm_id)
        self.put_row(key, vm_records.encode_vm_record(record))

    def read_job(self, job_id: str) -> jobs.JobRecord:
        """Returns a job as it is in the store."""
        row = self.platform.table._find(jobs.make_job_key("0", job_id))
        return jobs.decode_job(row.value)

    def set_fault(self, path: str, fault: faults.Fault) -> None:
        """Lets calls of the platform fail."""
        self.platform._rules.set_rule(faults.FaultRule(path, fault))

    def run_command(self, code: int, *arguments: str) -> testing.Result:
        """Runs a command and checks its exit code."""
        result = testing.CliRunner().invoke(
            main.main, ["--config", self.config, *arguments]
        )
        self.assertEqual(result.exit_code, code, result.output)
        self.assertNotIn("Traceback", result.output)
        return result
