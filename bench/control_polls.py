"""Bytes and processor time of what a control process reads each round.

Measures the answers of the platform's lists as the stand-in encodes them, the
time to decode them, and the time of one probe of a status page, against the
number of VMs, workers and tasks.

Usage: PYTHONPATH=src python bench/control_polls.py [--json FILE]
"""

from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Any

import anyio
import click
import fleet_load

from fireflywell import clock as clock_lib
from fireflywell.control import instance_prober
from fireflywell.fleet import instances
from fireflywell.infrastructure import machines
from fireflywell.infrastructure import records

_SIZES = (30, 300, 600, 1_200, 2_400)
_REPEATS = 5
_PROBES = 400
_ZONES = 7
_PORT = 7999
_START_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class PollCost:
    """Cost of one read.

    Attributes:
        name: What is read.
        rows: Rows in the answer.
        answer_bytes: Bytes of the answer's body.
        milliseconds: Processor time to decode it.
    """

    name: str
    rows: int
    answer_bytes: int
    milliseconds: float


class _Transport:
    """Answers all calls with one text, decoded as from the network."""

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    async def call(self, *_arguments: object) -> Any:
        """Returns the answer."""
        return json.loads(self._text)


def measure_reads(count: int) -> tuple[PollCost, ...]:
    """Returns the cost of the three lists with as many rows each."""
    vms = fleet_load.make_vms(count, _ZONES)
    resources = dataclasses.asdict(records.Resources(16.0, 32_000.0, 1.0))
    workers = [
        {
            "worker_id": vm.vm_id,
            "zone": vm.zone,
            "rack": vm.rack,
            "capacity": resources,
            "used": resources,
        }
        for vm in vms
    ]
    tasks = [
        {
            "job_id": f"job-{number:06d}",
            "attempt": 1,
            "worker_id": vm.vm_id,
            "state": "running",
            "used": resources,
            "detail": "",
        }
        for number, vm in enumerate(vms)
    ]
    listed = [dataclasses.asdict(vm) for vm in vms]
    return (
        _measure("list_vms", count, {"vms": listed}),
        _measure("list_workers", count, {"workers": workers}),
        _measure("list_changed_tasks", count, {"tasks": tasks, "revision": 1}),
    )


def _measure(name: str, rows: int, answer: dict[str, Any]) -> PollCost:
    text = json.dumps(answer)
    client = machines.MachineClient(_Transport(text))  # type: ignore[arg-type]
    calls: dict[str, Callable[[], Coroutine[Any, Any, object]]] = {
        "list_vms": client.list_vms,
        "list_workers": client.list_workers,
        "list_changed_tasks": lambda: client.list_changed_tasks(0),
    }
    times = []
    for _ in range(_REPEATS):
        begun = time.process_time()
        anyio.run(calls[name])
        times.append((time.process_time() - begun) * 1_000)
    return PollCost(name, rows, len(text), statistics.median(times))


async def _probe_all(prober: instance_prober.InstanceProber) -> float:
    """Returns the processor time of one probe in milliseconds."""
    instance = instances.Instance(
        "s@vm", "s", "vm", "127.0.0.1", _PORT, "z", "r", 8, 64, False
    )
    await prober.probe(instance)
    begun = time.process_time()
    for _ in range(_PROBES):
        if await prober.probe(instance) is None:
            raise RuntimeError("a probe of the status page failed")
    return (time.process_time() - begun) * 1_000 / _PROBES


def measure_probe() -> float:
    """Returns the processor time of a probe, the server's not included."""
    with tempfile.TemporaryDirectory() as folder:
        page = pathlib.Path(folder) / "status"
        page.write_text('{"in_progress": 0, "leaving": false}')
        command = [
            sys.executable, "-m", "http.server", str(_PORT),
            "--bind", "127.0.0.1", "--directory", folder,
        ]  # fmt: skip
        server = subprocess.Popen(
            command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
        )
        try:
            return anyio.run(_wait_and_probe)
        finally:
            server.terminate()
            server.wait()


async def _wait_and_probe() -> float:
    clock = clock_lib.SystemClock()
    await anyio.sleep(_START_SECONDS)
    prober = instance_prober.InstanceProber(lambda: (), clock)
    return await _probe_all(prober)


@click.command()
@click.option("--json", "path", type=click.Path(path_type=pathlib.Path))
def main(path: pathlib.Path | None) -> None:
    """Prints the costs and their slopes."""
    costs = [cost for size in _SIZES for cost in measure_reads(size)]
    print("read                  rows     bytes       ms")
    for cost in costs:
        print(
            f"{cost.name:20}{cost.rows:6}{cost.answer_bytes:10}"
            f"{cost.milliseconds:9.2f}"
        )
    for name in ("list_vms", "list_workers", "list_changed_tasks"):
        found = [cost for cost in costs if cost.name == name]
        rows = [float(cost.rows) for cost in found]
        size = statistics.linear_regression(
            rows, [float(cost.answer_bytes) for cost in found]
        )
        used = statistics.linear_regression(
            rows, [cost.milliseconds * 1_000 for cost in found]
        )
        print(f"slope of {name}: {size.slope:.0f} bytes and "
              f"{used.slope:.2f} us for each row")  # fmt: skip
    probe = measure_probe()
    print(f"probe of a status page: {probe:.3f} ms")
    if path is not None:
        values = [dataclasses.asdict(cost) for cost in costs]
        document = {"reads": values, "probe_ms": probe}
        path.write_text(json.dumps(document, indent=1))


if __name__ == "__main__":
    main()
