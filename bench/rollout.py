"""Time from the acceptance of a bundle until it is in force everywhere.

Starts six entries and six control processes on loopback and rolls bundles out:
in calm, with the store failing once the first process has adopted the bundle
(before that nobody but the store has it), and with half the entries killed
before the acceptance and started after it.

Usage: PYTHONPATH=src:. python bench/rollout.py [--json FILE]
"""

import argparse
import dataclasses
import datetime
import json
import pathlib
import signal
import statistics
import tempfile

import anyio
from tools import local_operator
from tools import local_processes
from tools import local_system

from fireflywell import clock as clock_lib

_ENTRIES = 6
_CONTROLS = 6
_CALM_ROLLOUTS = 6
_FAILING_ROLLOUTS = 3
_REPLACING_ROLLOUTS = 3
_POLL_INTERVAL = datetime.timedelta(milliseconds=5)
_RECOVERY_TIME = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Delays of one condition in seconds, one for each process."""

    condition: str
    delays: tuple[float, ...]

    @property
    def p50(self) -> float:
        """Median delay."""
        return statistics.median(self.delays)

    @property
    def p99(self) -> float:
        """99th percentile by the nearest rank."""
        ordered = sorted(self.delays)
        return ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]

    @property
    def worst(self) -> float:
        """Longest delay."""
        return max(self.delays)


class Bench:
    """A running deployment and the version that is in force."""

    __slots__ = ("_clock", "_operators", "_system", "_version")

    def __init__(
        self, system: local_system.LocalSystem, clock: clock_lib.Clock
    ) -> None:
        self._system = system
        self._clock = clock
        self._operators = local_operator.LocalOperators(system)
        self._version = 0

    def start(self) -> None:
        """Starts all processes."""
        self._system.start_standins()
        for number in range(1, _ENTRIES + 1):
            self._system.start_entry(number)
        for number in range(1, _CONTROLS + 1):
            self._system.start_control(number)

    def run_calm(self) -> Result:
        """Rolls out while nothing fails."""
        delays: list[float] = []
        for _ in range(_CALM_ROLLOUTS):
            accepted = self._roll_out()
            delays.extend(self._wait_for_all(accepted, {}))
        return Result("calm", tuple(delays))

    def run_failing(self) -> Result:
        """Takes the store down once the first process has the bundle."""
        delays: list[float] = []
        for _ in range(_FAILING_ROLLOUTS):
            accepted = self._roll_out(is_store_failing=True)
            delays.extend(self._wait_for_all(accepted, {}))
            self._system.set_fault(kind="healthy")
            self._sleep(_RECOVERY_TIME)
        return Result("store down after first adoption", tuple(delays))

    def run_replacing(self) -> Result:
        """Kills half the entries before and starts them after acceptance."""
        delays: list[float] = []
        for _ in range(_REPLACING_ROLLOUTS):
            replaced = range(1, _ENTRIES // 2 + 1)
            for number in replaced:
                process = self._system.processes.find(f"entry {number}")
                process.send_signal(signal.SIGKILL)
                process.wait()
            accepted = self._roll_out()
            started: dict[str, float] = {}
            for number in replaced:
                started[f"entry {number}"] = self._read_time()
                self._system.start_entry(number)
            delays.extend(self._wait_for_all(accepted, started))
        return Result("half the entries replaced", tuple(delays))

    def _roll_out(self, is_store_failing: bool = False) -> float:
        """Rolls the next version out; returns the time of its acceptance."""
        self._version += 1
        path = self._operators.write_bundle(1, self._version)
        signatures = self._operators.sign_bundle(path)
        process = self._operators.start_rollout(path, signatures)
        while self._read_version() < self._version:
            self._sleep(_POLL_INTERVAL)
        accepted = self._read_time()
        if is_store_failing:
            while not any(map(self._find_adoption, _list_names())):
                self._sleep(_POLL_INTERVAL)
            self._system.set_fault(kind="down")
        process.wait()
        return accepted

    def _sleep(self, duration: datetime.timedelta) -> None:
        anyio.run(self._clock.sleep, duration)

    def _read_time(self) -> float:
        """Returns the time in seconds since the epoch, as log lines have it."""
        return self._clock.now().timestamp()

    def _read_version(self) -> int:
        row = self._system.read_rows("bundle/head").get("bundle/head")
        return 0 if row is None else int(row["head"]["version"])

    def _wait_for_all(
        self, accepted: float, started: dict[str, float]
    ) -> list[float]:
        """Returns each process's delay since acceptance or its own start."""
        names = _list_names()
        adopted: dict[str, float] = {}

        def is_everywhere() -> bool:
            for name in names:
                found = self._find_adoption(name)
                if found is not None:
                    adopted[name] = found
            return len(adopted) == len(names)

        local_processes.wait_until(
            is_everywhere, f"version {self._version} is in force everywhere"
        )
        return [
            max(0.0, adopted[name] - max(accepted, started.get(name, 0.0)))
            for name in names
        ]

    def _find_adoption(self, name: str) -> float | None:
        log = self._system.processes.find(name).log_path
        for line in log.read_text(errors="replace").splitlines():
            if '"bundle.adopted"' not in line:
                continue
            event = json.loads(line)
            if event["version"] == self._version:
                return float(event["timestamp"])
        return None


def _list_names() -> list[str]:
    """Returns the names of all processes."""
    names = [f"entry {n}" for n in range(1, _ENTRIES + 1)]
    return names + [f"control {n}" for n in range(1, _CONTROLS + 1)]


def main() -> None:
    """Runs all conditions and prints a table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--json", type=pathlib.Path)
    target = parser.parse_args().json
    layout = local_system.Layout(entries=_ENTRIES, controls=_CONTROLS, vms=2)
    with tempfile.TemporaryDirectory() as folder:
        directory = pathlib.Path(folder)
        with local_processes.ProcessGroup(directory) as group:
            system = local_system.LocalSystem(directory, group, layout)
            bench = Bench(system, clock_lib.SystemClock())
            bench.start()
            results = (
                bench.run_calm(),
                bench.run_failing(),
                bench.run_replacing(),
            )
    print(f"{_ENTRIES} entries and {_CONTROLS} control processes, seconds")
    print(f"{'condition':32}{'count':>6}{'p50':>8}{'p99':>8}{'worst':>8}")
    for item in results:
        print(
            f"{item.condition:32}{len(item.delays):6}{item.p50:8.3f}"
            f"{item.p99:8.3f}{item.worst:8.3f}"
        )
    if target is not None:
        document = [dataclasses.asdict(item) for item in results]
        target.write_text(json.dumps(document))


if __name__ == "__main__":
    main()
