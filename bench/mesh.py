"""Measures the cost of the links between processes.

Runs meshes of growing size in one process on loopback and prints, for each
size, the control bytes and the processor time a second of one mesh, and the
time from an offer of a message until all peers have it. Half of the meshes
report changed loads of five services each second, as entries do.
"""

import random
import statistics
import time

import anyio
import click

from fireflywell import clock as clock_lib
from fireflywell.membership import channel
from fireflywell.membership import links
from fireflywell.membership import mesh as mesh_lib
from fireflywell.membership import messages

_KEY = bytes(range(32))
_SERVICES = 5
_OFFERS = 20
_CLOCK = clock_lib.SystemClock()


class _ChangingLoads:
    """Status of an entry whose loads change each second."""

    __slots__ = ("_is_entry", "_random")

    def __init__(self, is_entry: bool, rng: random.Random) -> None:
        self._is_entry = is_entry
        self._random = rng

    def read(self) -> mesh_lib.LocalStatus:
        loads = tuple(
            messages.ServiceLoad(
                f"service-{number}",
                self._random.randrange(8),
                self._random.randrange(300),
            )
            for number in range(_SERVICES if self._is_entry else 0)
        )
        return mesh_lib.LocalStatus(1000, "ab" * 32, True, False, loads)


class _Arrivals:
    """Counts the offers that reach all peers."""

    __slots__ = ("_missing", "arrived")

    def __init__(self) -> None:
        self._missing = 0
        self.arrived = anyio.Event()

    def expect(self, count: int) -> None:
        self._missing = count
        self.arrived = anyio.Event()

    def receive(self, _: links.PeerView, message: messages.Message) -> None:
        if isinstance(message, messages.BundleOffer):
            self._missing -= 1
            if not self._missing:
                self.arrived.set()


def _make_meshes(count: int, arrivals: _Arrivals) -> tuple[mesh_lib.Mesh, ...]:
    addresses = tuple(
        f"127.0.18.{number + 1}:{18310 + number}" for number in range(count)
    )
    made = []
    for number, address in enumerate(addresses):
        is_entry = number % 2 == 0
        role = messages.Role.ENTRY if is_entry else messages.Role.CONTROL
        status = _ChangingLoads(is_entry, random.Random(number))
        mesh = mesh_lib.Mesh(
            channel.make_identity(address, "a", role, _KEY),
            addresses,
            status.read,
            _CLOCK,
            random.Random(number),
        )
        mesh.subscribe(arrivals.receive)
        made.append(mesh)
    return tuple(made)


async def _measure(count: int, seconds: float) -> str:
    arrivals = _Arrivals()
    meshes = _make_meshes(count, arrivals)
    async with anyio.create_task_group() as group:
        for mesh in meshes:
            group.start_soon(mesh.run)
        while any(len(mesh.connected_peers) < count - 1 for mesh in meshes):
            await anyio.sleep(0.05)
        await anyio.sleep(2)
        sent = sum(mesh.control_bytes_sent for mesh in meshes)
        received = sum(mesh.control_bytes_received for mesh in meshes)
        used = time.process_time()
        started = _CLOCK.monotonic()
        await anyio.sleep(seconds)
        elapsed = (_CLOCK.monotonic() - started).total_seconds()
        used = time.process_time() - used
        sent = sum(mesh.control_bytes_sent for mesh in meshes) - sent
        received = (
            sum(mesh.control_bytes_received for mesh in meshes) - received
        )
        delays = [
            await _offer(meshes, arrivals, version)
            for version in range(_OFFERS)
        ]
        group.cancel_scope.cancel()
    per_mesh = 1 / (elapsed * count)
    return (
        f"{count:9d} {sent * per_mesh:9.0f} {received * per_mesh:9.0f} "
        f"{used * per_mesh * 1000:10.2f} "
        f"{statistics.median(delays) * 1000:9.2f} "
        f"{max(delays) * 1000:9.2f}"
    )


async def _offer(
    meshes: tuple[mesh_lib.Mesh, ...], arrivals: _Arrivals, version: int
) -> float:
    arrivals.expect(len(meshes) - 1)
    started = _CLOCK.monotonic()
    meshes[0].broadcast(messages.BundleOffer(version, "h" * 500))
    await arrivals.arrived.wait()
    return (_CLOCK.monotonic() - started).total_seconds()


async def _measure_all(sizes: tuple[int, ...], seconds: float) -> None:
    click.echo(
        "processes   sent B/s  recv B/s  cpu ms/s  offer p50  offer max ms"
    )
    for count in sizes:
        click.echo(await _measure(count, seconds))


@click.command()
@click.option("--seconds", default=10.0, help="Time measured for each size.")
@click.option("--sizes", default="2,6,12,24,48", help="Numbers of processes.")
def main(seconds: float, sizes: str) -> None:
    """Measures meshes of growing size on loopback."""
    counts = tuple(int(size) for size in sizes.split(","))
    anyio.run(_measure_all, counts, seconds)


if __name__ == "__main__":
    main()
