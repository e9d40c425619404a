"""Compares the processor time of an entry with that of a bare pass-through.

Starts a stand-in endpoint, two pass-throughs of uvicorn and httpcore, and an
entry, each in a process of its own on loopback. Sends the same requests to all
in turns and prints the processor time for each request and the ratios. The
lean pass-through is spared httpcore's failing import, like the entry, so that
the ratio to it shows what the entry adds.

Usage: PYTHONPATH=src python bench/passthrough.py [--requests N]
"""

from collections.abc import Iterator
import contextlib
import os
import pathlib
import random
import subprocess
import sys

import anyio
import click
import httpcore

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell import sniffio_workaround
from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import model
from fireflywell.entry import assembly
from fireflywell.entry import homes
from fireflywell.entry import pause_guard
from fireflywell.fleet import view as view_lib
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records
from fireflywell.membership import links
from fireflywell.standins import endpoint
from fireflywell.standins import endpoint_server
from fireflywell.standins import table_store
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics

HOST = "127.0.0.1"
ENDPOINT_PORT = 18190
BARE_PORT = 18191
LEAN_PORT = 18193
ENTRY_PORT = 18192
CALLERS = 8
ROUNDS = 10
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


class PassThrough:
    """ASGI application that sends each request on and nothing else."""

    __slots__ = ("_pool",)

    def __init__(self) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=64,
            max_keepalive_connections=64,
            network_backend=httpcore.AnyIOBackend(),
        )

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Sends one request on and its whole response back."""
        body = await asgi.read_body(receive, 1024 * 1024)
        path = scope["raw_path"].decode().removeprefix("/quotes")
        headers = [item for item in scope["headers"] if item[0] != b"host"]
        response = await self._pool.request(
            scope["method"],
            f"http://{HOST}:{ENDPOINT_PORT}{path}",
            headers=[(b"host", HOST.encode()), *headers],
            content=body,
        )
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": response.headers,
            }
        )
        await send({"type": "http.response.body", "body": response.content})


async def serve_endpoint() -> None:
    """Serves the stand-in endpoint."""
    clock = clock_lib.SystemClock()
    application = endpoint.EndpointApplication("quotes@vm1", clock)
    server = endpoint_server.EndpointServer(
        application, HOST, ENDPOINT_PORT, clock, random.Random(1)
    )
    await server.run()


async def serve_pass_through(port: int) -> None:
    """Serves a pass-through."""
    await asgi.Listener(PassThrough(), HOST, port).run()


async def serve_entry() -> None:
    """Serves an entry with its background tasks and log lines."""
    with open(os.devnull, "w") as output:
        writer = logs.QueuedLogWriter(output)
        writer.start()
        clock = clock_lib.SystemClock()
        parts = make_entry(clock, 64, table_store.MemoryTable())
        children = parts.list_children()
        root = supervisor_lib.Supervisor(
            "bench", clock, random.Random(1), children
        )
        async with anyio.create_task_group() as group:
            group.start_soon(root.run)
            await asgi.Listener(parts.application, HOST, ENTRY_PORT).run()


def make_entry(
    clock: clock_lib.Clock, slots: int, table: table_store.MemoryTable
) -> assembly.EntryParts:
    """Returns an entry with one instance, the stand-in endpoint."""
    holder = holder_lib.BundleHolder()
    holder.adopt(
        model.Bundle(
            version=1,
            signing=model.Signing(1, ()),
            pools=(model.Pool("quotes", 1),),
            services=(
                model.Service(
                    "quotes",
                    "quotes",
                    ENDPOINT_PORT,
                    model.Budget(0),
                    slots=slots,
                    echoes_request_id=True,
                ),
            ),
            classes=(model.RequestClass("quick", 1.0),),
            teams=(model.Team("sales"),),
        )
    )
    view = view_lib.FleetView()
    vm = records.Vm("vm1", HOST, "a", "r1", records.VmState.LIVE, 1)
    view.set_vms((vm,))
    view.set_assignment(vm_records.VmRecord("vm1", "quotes"))

    no_peers = links.NullPeerLinks(f"{HOST}:1", "0" * 32)
    return assembly.assemble_entry(
        assembly.EntryContext(
            holder=holder,
            view=view,
            store=table,
            links=no_peers,
            homes=homes.SingleEntryHomes(),
            guard=pause_guard.NeverPaused(),
            cluster_key=b"k" * 32,
            zone="a",
            clock=clock,
            rng=random.SystemRandom(),
            metrics=metrics.NullMetrics(),
        )
    )


async def send_requests(port: int, method: str, keys: list[str]) -> None:
    """Sends one request for each key, by a few callers at once."""
    url = f"http://{HOST}:{port}/quotes/price"

    async def send_some(mine: list[str]) -> None:
        async with httpcore.AsyncConnectionPool() as pool:
            for key in mine:
                response = await pool.request(
                    method,
                    url,
                    headers=[
                        ("content-length", "100" if method == "POST" else "0"),
                        ("idempotency-key", key),
                    ],
                    content=b"x" * 100 if method == "POST" else b"",
                )
                if response.status != 200:
                    raise RuntimeError(f"port {port}: {response.content!r}")

    async with anyio.create_task_group() as group:
        for caller in range(CALLERS):
            group.start_soon(send_some, keys[caller::CALLERS])


async def get_keys(count: int) -> list[str]:
    """Gets bound keys from the entry."""
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            "POST", f"http://{HOST}:{ENTRY_PORT}/fireflywell/keys?count={count}"
        )
    return response.content.decode().split('"')[3::2]


def read_processor_seconds(process: subprocess.Popen[bytes]) -> float:
    """Returns the processor time that a process has used."""
    text = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


@contextlib.contextmanager
def start_process(role: str) -> Iterator[subprocess.Popen[bytes]]:
    """Runs this script in another role until the block ends."""
    command = [sys.executable, __file__, "--role", role]
    process = subprocess.Popen(command)
    try:
        yield process
    finally:
        process.terminate()
        process.wait()


async def wait_until_up(port: int) -> None:
    """Waits until a port accepts connections."""
    with anyio.fail_after(20):
        while True:
            try:
                async with await anyio.connect_tcp(HOST, port):
                    return
            except OSError:
                await anyio.sleep(0.05)


async def compare(
    processes: dict[int, subprocess.Popen[bytes]], method: str, count: int
) -> None:
    """Sends the requests in turns and prints the ratios."""
    used = dict.fromkeys(processes, 0.0)
    for number in range(-1, ROUNDS):
        for port, process in processes.items():
            keys = await get_keys(count // ROUNDS)
            before = read_processor_seconds(process)
            await send_requests(port, method, keys)
            if number >= 0:  # The first round warms up.
                used[port] += read_processor_seconds(process) - before
    sent = count // ROUNDS * ROUNDS
    bare, lean, entry = (
        used[port] / sent * 1000 for port in (BARE_PORT, LEAN_PORT, ENTRY_PORT)
    )
    print(
        f"{method}: {sent} requests each, processor time for one: entry "
        f"{entry:.3f} ms, pass-through {bare:.3f} ms (ratio "
        f"{entry / bare:.2f}), lean pass-through {lean:.3f} ms (ratio "
        f"{entry / lean:.2f})"
    )


async def run_comparison(
    processes: dict[int, subprocess.Popen[bytes]], count: int
) -> None:
    """Compares idempotent requests and requests with bound keys."""
    for port in (ENDPOINT_PORT, *processes):
        await wait_until_up(port)
    for method in ("GET", "POST"):
        await compare(processes, method, count)


@click.command()
@click.option("--requests", "count", default=5_000, show_default=True)
@click.option("--role", default="compare", hidden=True)
def main(count: int, role: str) -> None:
    """Prints the processor time of both for each request."""
    match role:
        case "endpoint":
            anyio.run(serve_endpoint)
        case "bare":
            anyio.run(serve_pass_through, BARE_PORT)
        case "lean":
            sniffio_workaround.mark_sniffio_missing()
            anyio.run(serve_pass_through, LEAN_PORT)
        case "entry":
            sniffio_workaround.mark_sniffio_missing()
            anyio.run(serve_entry)
        case _:
            sniffio_workaround.mark_sniffio_missing()
            with (
                start_process("endpoint"),
                start_process("bare") as bare,
                start_process("lean") as lean,
                start_process("entry") as entry,
            ):
                processes = {
                    BARE_PORT: bare,
                    LEAN_PORT: lean,
                    ENTRY_PORT: entry,
                }
                anyio.run(run_comparison, processes, count)


if __name__ == "__main__":
    main()
