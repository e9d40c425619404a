"""Runs a small deployment on loopback and shows what it does.

Starts every program as a process of its own, performs each step, and prints a
table. Ends with exit code 1 if a step fails; nothing keeps running.
"""

from collections.abc import Callable
import dataclasses
import json
import pathlib
import sys
import tempfile

from tools import local_operator
from tools import local_processes
from tools import local_system

_REQUESTS = 50
_LOAD_REQUESTS = 1_500
_LOAD_RATE = 150
_JOBS = 4
# VMs come due during the demonstration.
_MAINTENANCE_SECONDS = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One step; `perform` returns what came of it, with figures."""

    name: str
    perform: Callable[[], str]


class Demo:
    """The steps of the demonstration, in order."""

    __slots__ = ("_operators", "_signatures", "_system")

    def __init__(self, system: local_system.LocalSystem) -> None:
        self._system = system
        self._operators = local_operator.LocalOperators(system)
        self._signatures: tuple[pathlib.Path, ...] = ()

    @property
    def steps(self) -> tuple[Step, ...]:
        """The steps, in order."""
        return (
            Step("start the platform and instances", self._start_standins),
            Step("start the entries", self._start_entries),
            Step("start the control processes", self._start_controls),
            Step("requests before the first bundle", self._send_early),
            Step("bundle checked, reviewed, signed", self._sign_bundle),
            Step("bundle rolled out", self._roll_out),
            Step("VMs given to pools", self._wait_for_pools),
            Step("requests", self._send_requests),
            Step("postings, each sent twice", self._send_postings),
            Step("jobs", self._run_jobs),
            Step("a VM maintained under load", self._maintain_under_load),
            Step("SIGTERM of each process", self._stop_all),
        )

    def _start_standins(self) -> str:
        self._system.start_standins()
        layout = self._system.layout
        vms = layout.vms * len(layout.services)
        return f"{vms} VMs, {vms * len(layout.services)} instances"

    def _start_entries(self) -> str:
        count = self._system.layout.entries
        for number in range(1, count + 1):
            self._system.start_entry(number)
        return f"{count} entries answer"

    def _start_controls(self) -> str:
        count = self._system.layout.controls
        for number in range(1, count + 1):
            self._system.start_control(number)
        return f"{count} control processes started"

    def _send_early(self) -> str:
        flow = {"name": "early", "service": "quotes", "rate": 100}
        counts = run_load(self._system, "early", _REQUESTS, flow)
        runs = self._system.read_stats()["runs"]
        require(counts["refused"] == _REQUESTS, f"not all refused: {counts}")
        require(runs == 0, f"{runs} refused requests were run")
        return f"{counts['refused']} of {_REQUESTS} refused, {runs} run"

    def _sign_bundle(self) -> str:
        path = self._operators.write_bundle(1, 1, _MAINTENANCE_SECONDS)
        self._operators.run("bundle", "check", str(path))
        review = self._operators.run("bundle", "review", str(path))
        self._signatures = self._operators.sign_bundle(path)
        changes = len(review.splitlines())
        return f"{changes} changes shown, {len(self._signatures)} signatures"

    def _roll_out(self) -> str:
        path = self._system.directory / "bundle-1-1.toml"
        process = self._operators.start_rollout(path, self._signatures)
        require(process.wait() == 0, "the rollout failed")
        self._operators.run("bundle", "wait", "1")
        return f"version 1 in force at {self._system.layout.entries} entries"

    def _wait_for_pools(self) -> str:
        layout = self._system.layout
        vms = layout.vms * len(layout.services)

        def is_served() -> bool:
            rows = self._system.read_rows("vm/")
            return len(rows) == vms and all(
                sum(row["pool"] == pool for row in rows.values()) == layout.vms
                for pool in layout.services
            )

        local_processes.wait_until(is_served, f"{vms} VMs are in pools")
        local_processes.wait_until(
            lambda: len(self._system.read_rows("home/")) == vms,
            "each instance has a home",
        )
        return f"{layout.vms} VMs in each of {len(layout.services)} pools"

    def _send_requests(self) -> str:
        flow = {"name": "reads", "service": "quotes", "rate": 100}
        counts = run_load(self._system, "reads", _REQUESTS, flow)
        require(counts["answered"] == _REQUESTS, f"not answered: {counts}")
        return f"{_REQUESTS} of {_REQUESTS} answered"

    def _send_postings(self) -> str:
        flow = {
            "name": "postings",
            "service": "ledger",
            "method": "POST",
            "rate": 50,
            "key": "bound",
            "repeat": 2,
        }
        # Keys are bound to the entry that issues them, so one entry is asked.
        target = [self._system.entry_urls[0]]
        counts = run_load(self._system, "postings", _REQUESTS, flow, target)
        stats = self._system.read_stats()
        require(stats["postings"] == _REQUESTS, f"not run once: {stats}")
        require(stats["postings_run_twice"] == 0, f"run twice: {stats}")
        return f"{counts['answered']} answers, {stats['postings']} runs"

    def _run_jobs(self) -> str:
        starts = self._system.read_stats()["task_starts"]
        local_operator.submit_jobs("report", _JOBS, 1.0)

        def is_done() -> bool:
            rows = self._system.read_rows("job/").values()
            return sum(row["state"] == "done" for row in rows) == _JOBS

        local_processes.wait_until(is_done, f"{_JOBS} jobs are done")
        starts = self._system.read_stats()["task_starts"] - starts
        require(starts == _JOBS, f"{starts} starts of {_JOBS} jobs")
        return f"{_JOBS} placed and reported done, {starts} starts"

    def _maintain_under_load(self) -> str:
        before = self._system.read_rows("vm/")
        reboots = self._system.read_stats()["reboots"]
        flow = {"name": "maintained", "service": "quotes", "rate": _LOAD_RATE}
        self._system.start_load(
            "maintained",
            {
                "targets": list(self._system.entry_urls),
                "count": _LOAD_REQUESTS,
                "flows": [flow | {"work": 0.05}],
            },
        )

        def has_returned() -> bool:
            rows = self._system.read_rows("vm/")
            return any(
                row["phase"] == "serving"
                and row["maintained_at"] > before[key]["maintained_at"]
                for key, row in rows.items()
            )

        local_processes.wait_until(has_returned, "a VM is maintained")
        counts = read_load(self._system, "maintained")
        stats = self._system.read_stats()
        reboots = stats["reboots"] - reboots
        require(counts["answered"] == _LOAD_REQUESTS, f"not answered: {counts}")
        require(stats["requests_cut"] == 0, f"requests were cut: {stats}")
        require(reboots >= 1, "no VM was rebooted")
        return (
            f"{reboots} reboots, {counts['answered']} of {_LOAD_REQUESTS} "
            "answered, 0 requests cut"
        )

    def _stop_all(self) -> str:
        layout = self._system.layout
        names = [
            *(f"entry {n}" for n in range(1, layout.entries + 1)),
            *(f"control {n}" for n in range(1, layout.controls + 1)),
        ]
        for name in names:
            self._system.stop(name)
        for name in (*names, "stand-ins"):
            process = self._system.processes.find(name)
            if name == "stand-ins":
                self._system.stop(name)
            code = process.wait()
            require(code == 0, f"{name} ended with exit code {code}")
        return f"{len(names) + 1} processes ended with exit code 0"


def run_load(
    system: local_system.LocalSystem,
    name: str,
    count: int,
    flow: dict[str, object],
    entries: list[str] | None = None,
) -> dict[str, float]:
    """Sends one flow through the given entries, or all, and returns its counts.

    Raises:
        StepError: The load generator failed.
    """
    targets = entries or list(system.entry_urls)
    system.start_load(
        name, {"targets": targets, "count": count, "flows": [flow]}
    )
    return read_load(system, name)


def read_load(system: local_system.LocalSystem, name: str) -> dict[str, float]:
    """Waits for the end of a load and returns its first flow's counts.

    Raises:
        StepError: The load generator failed.
    """
    process = system.processes.find(f"load {name}")
    require(process.wait() == 0, f"the load {name} failed")
    last_line = process.log_path.read_text().splitlines()[-1]
    return dict(json.loads(last_line)["flows"][0])


def require(holds: bool, message: str) -> None:
    """Raises `StepError` with a message unless a condition holds."""
    if not holds:
        raise local_processes.StepError(message)


def main() -> int:
    """Runs all steps; returns 0 if none failed."""
    with (
        tempfile.TemporaryDirectory(prefix="fireflywell-demo-") as name,
        local_processes.ProcessGroup(pathlib.Path(name)) as group,
    ):
        directory = pathlib.Path(name)
        layout = local_system.Layout(entries=2, controls=2)
        demo = Demo(local_system.LocalSystem(directory, group, layout))
        for step in demo.steps:
            try:
                result = step.perform()
            except local_processes.StepError as error:
                print(f"FAILED  {step.name:<36}{error}")
                print(group.describe_logs())
                return 1
            print(f"ok      {step.name:<36}{result}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
