"""Runs scenario files against the real programs on loopback."""

import collections
import json
import pathlib
import signal
import tempfile

from tools import local_operator
from tools import local_processes
from tools import local_system

from tests import scenario_language as language

SCENARIOS = pathlib.Path(__file__).parent / "scenarios"
_SIGNALS = {
    "stop": signal.SIGTERM,
    "kill": signal.SIGKILL,
    "freeze": signal.SIGSTOP,
    "wake": signal.SIGCONT,
}
_TABLES = "/v1/tables"


class ScenarioError(Exception):
    """A step failed; the message holds the line and the logs' last lines."""


def run_scenario(path: pathlib.Path) -> None:
    """Runs one scenario file and ends everything that it started.

    Raises:
        ScenarioError: A step failed.
    """
    steps = language.parse_scenario(path.read_text())
    with (
        tempfile.TemporaryDirectory(prefix="fireflywell-") as directory,
        local_processes.ProcessGroup(pathlib.Path(directory)) as group,
    ):
        runner = ScenarioRunner(pathlib.Path(directory), group)
        for step in steps:
            try:
                runner.perform(step.action)
            except local_processes.StepError as error:
                raise ScenarioError(
                    f"{path.name}:{step.line}: {error}\n{group.describe_logs()}"
                ) from error


class ScenarioRunner:
    """Performs the steps of one scenario."""

    __slots__ = (
        "_directory",
        "_group",
        "_operators",
        "_rollouts",
        "_system",
    )

    def __init__(
        self, directory: pathlib.Path, group: local_processes.ProcessGroup
    ) -> None:
        self._directory = directory
        self._group = group
        self._system: local_system.LocalSystem | None = None
        self._operators: local_operator.LocalOperators | None = None
        self._rollouts: list[local_processes.ManagedProcess] = []

    def perform(self, action: language.Action) -> None:
        """Performs one step.

        Raises:
            StepError: It failed, or what it expects didn't come true.
        """
        match action:
            case language.Deploy(entries=entries, controls=controls, vms=vms):
                layout = local_system.Layout(entries, controls, vms)
                self._system = local_system.LocalSystem(
                    self._directory, self._group, layout
                )
                self._operators = local_operator.LocalOperators(self._system)
            case language.AssignVms():
                local_operator.assign_vms(self._deployed)
            case language.SubmitJobs(name=name, count=count, run_seconds=run):
                local_operator.submit_jobs(name, count, run)
            case language.RollOut(operators=operators, version=version):
                self._roll_out(operators, version)
            case language.StartProcess(process=process):
                self._start(process)
            case language.SendSignal(action=name, process=process):
                self._group.find(process).send_signal(_SIGNALS[name])
            case language.SetFault() as fault:
                self._set_fault(fault)
            case language.SendLoad() as load:
                self._deployed.start_load(load.name, self._make_plan(load))
            case (
                language.ExpectLoad()
                | language.ExpectPromises()
                | language.ExpectCounts()
                | language.ExpectReady()
                | language.ExpectExit()
                | language.ExpectLog()
                | language.ExpectRows()
                | language.ExpectRollouts()
                | language.ExpectVersion()
            ) as expectation:
                self._expect(expectation)

    @property
    def _deployed(self) -> local_system.LocalSystem:
        if self._system is None:
            raise local_processes.StepError(
                "nothing is deployed; start the scenario with a deploy step"
            )
        return self._system

    @property
    def _deployed_operators(self) -> local_operator.LocalOperators:
        if self._operators is None:
            raise local_processes.StepError(
                "nothing is deployed; start the scenario with a deploy step"
            )
        return self._operators

    def _roll_out(self, operators: tuple[int, ...], version: int) -> None:
        """Signs first, so that several rollouts start together."""
        commands = self._deployed_operators
        paths = [commands.write_bundle(item, version) for item in operators]
        signatures = [commands.sign_bundle(path) for path in paths]
        self._rollouts = [
            commands.start_rollout(path, files)
            for path, files in zip(paths, signatures, strict=True)
        ]

    def _compare_rollouts(
        self, comparisons: tuple[language.Comparison, ...]
    ) -> None:
        codes = [process.wait() for process in self._rollouts]
        counts = {
            "accepted": codes.count(0),
            "refused": len(codes) - codes.count(0),
        }
        for comparison in comparisons:
            if not comparison.holds(find_count(counts, comparison.field)):
                raise local_processes.StepError(
                    f"rollouts: not {comparison}; {counts}"
                )

    def _expect(self, expectation: language.Action) -> None:
        match expectation:
            case language.ExpectLoad(name=name, comparisons=comparisons):
                self._compare_load(name, comparisons)
            case language.ExpectPromises(name=name):
                self._check_promises(name)
            case language.ExpectCounts(comparisons=comparisons):
                self._wait_for_counts(comparisons)
            case language.ExpectReady(entry=entry, is_ready=is_ready):
                self._wait_for_readiness(entry, is_ready)
            case language.ExpectExit(process=process, exit_code=expected):
                code = self._group.find(process).wait()
                if code != expected:
                    raise local_processes.StepError(
                        f"{process} ended with exit code {code}, not {expected}"
                    )
            case language.ExpectLog(process=name, text=text, comparison=bound):
                process = self._group.find(name)
                local_processes.wait_until(
                    lambda: bound.holds(process.count_lines(text)),
                    f"{name} logs {text!r}: {bound}",
                )
            case language.ExpectRows(prefix=prefix, text=text, count=count):
                self._wait_for_rows(prefix, text, count)
            case language.ExpectRollouts(comparisons=comparisons):
                self._compare_rollouts(comparisons)
            case language.ExpectVersion(version=version):
                self._deployed_operators.run("bundle", "wait", str(version))

    def _start(self, process: str) -> None:
        role, _, number = process.partition(" ")
        match role:
            case "stand-ins":
                self._deployed.start_standins()
            case "entry":
                self._deployed.start_entry(int(number))
            case "control":
                self._deployed.start_control(int(number))
            case _:
                raise local_processes.StepError(
                    f"{process} is started by a send step"
                )

    def _set_fault(self, fault: language.SetFault) -> None:
        match fault:
            case language.SetFault(kind="lost" | "restored"):
                self._deployed.set_fault(kind=fault.kind, domain=fault.domain)
            case language.SetFault(kind="cut" | "healed"):
                self._deployed.set_fault(kind=fault.kind, link=fault.domain)
            case language.SetFault(kind="healthy"):
                self._deployed.set_fault(kind="healthy")
            case _:
                self._deployed.set_fault(
                    kind=fault.kind,
                    path=_TABLES,
                    count=fault.count,
                    delay_seconds=fault.seconds,
                )

    def _make_plan(self, load: language.SendLoad) -> dict[str, object]:
        urls = [local_system.find_entry_url(n) for n in load.entries]
        flow = {
            "name": load.name,
            "service": load.service,
            "method": load.method,
            "rate": load.rate,
            "work": load.work_seconds,
            "key": load.key,
            "repeat": load.repeat,
        }
        return {
            "targets": urls or [local_system.BALANCER_URL],
            "count": load.count,
            "flows": [flow],
        }

    def _compare_load(
        self, name: str, comparisons: tuple[language.Comparison, ...]
    ) -> None:
        process = self._group.find(f"load {name}")
        if process.wait() != 0:
            raise local_processes.StepError(f"load {name} failed")
        last_line = process.log_path.read_text().splitlines()[-1]
        summary = json.loads(last_line)["flows"][0]
        for comparison in comparisons:
            if not comparison.holds(find_count(summary, comparison.field)):
                raise local_processes.StepError(
                    f"load {name}: not {comparison}; {summary}"
                )

    def _check_promises(self, name: str) -> None:
        """Compares outcomes with runs, as invariants 4 and 5 demand."""
        self._group.find(f"load {name}").wait()
        answer = local_processes.send_json(
            "GET", f"{local_system.PLATFORM_URL}/runs"
        )
        runs = collections.Counter(
            run["body"].partition(" ")[0] for run in answer["runs"]
        )
        for sample in self._deployed.read_samples(name):
            times = runs[sample["label"]]
            match sample["outcome"]:
                case "answered":
                    is_kept = times == 1
                case "refused" | "not_sent":
                    is_kept = times == 0
                case _:
                    is_kept = times <= 1
            if not is_kept:
                raise local_processes.StepError(
                    f"posting {sample['label']} ended as {sample['outcome']} "
                    f"and was run {times} times"
                )

    def _wait_for_counts(
        self, comparisons: tuple[language.Comparison, ...]
    ) -> None:
        def hold() -> bool:
            stats = self._deployed.read_stats()
            return all(
                item.holds(find_count(stats, item.field))
                for item in comparisons
            )

        text = ", ".join(str(item) for item in comparisons)
        try:
            local_processes.wait_until(hold, f"the stand-ins count {text}")
        except local_processes.StepError as error:
            stats = self._deployed.read_stats()
            raise local_processes.StepError(f"{error}; {stats}") from error

    def _wait_for_readiness(self, entry: int, is_ready: bool) -> None:
        url = f"{local_system.find_entry_url(entry)}/readyz"

        def holds() -> bool:
            answer = local_processes.send_request("GET", url)
            return answer is not None and (answer.status == 200) == is_ready

        state = "ready" if is_ready else "not ready"
        local_processes.wait_until(holds, f"entry {entry} is {state}")

    def _wait_for_rows(self, prefix: str, text: str, count: int) -> None:
        port = str(local_system.CONTROL_PEER_PORT)
        text = text.replace("{control_port}", port)

        def holds() -> bool:
            rows = self._deployed.read_rows(prefix)
            return sum(text in json.dumps(r) for r in rows.values()) == count

        local_processes.wait_until(
            holds, f"{count} rows below {prefix!r} contain {text!r}"
        )


def find_count(counts: dict[str, float], field: str) -> float:
    """Returns a count by its name.

    Raises:
        StepError: There is no such count.
    """
    if field not in counts:
        raise local_processes.StepError(
            f"there is no count {field!r}; use one of {', '.join(counts)}"
        )
    return counts[field]
