"""Parses scenario files into steps."""

import dataclasses
import enum
import pathlib

import lark

_GRAMMAR = pathlib.Path(__file__).parent / "scenarios" / "scenario.lark"


class Operator(enum.StrEnum):
    """Comparison of a count."""

    EQUAL = "="
    AT_LEAST = ">="
    AT_MOST = "<="


@dataclasses.dataclass(frozen=True, slots=True)
class Comparison:
    """A named count and its bound."""

    field: str
    operator: Operator
    bound: float

    def holds(self, value: float) -> bool:
        """Whether a value satisfies the comparison."""
        match self.operator:
            case Operator.EQUAL:
                return value == self.bound
            case Operator.AT_LEAST:
                return value >= self.bound
            case Operator.AT_MOST:
                return value <= self.bound

    def __str__(self) -> str:
        return f"{self.field} {self.operator} {self.bound:g}"


@dataclasses.dataclass(frozen=True, slots=True)
class Deploy:
    """Writes the settings of a deployment."""

    entries: int
    controls: int
    vms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartProcess:
    """Starts a program and waits until it answers."""

    process: str


@dataclasses.dataclass(frozen=True, slots=True)
class SendSignal:
    """Stops, kills, freezes or wakes a process."""

    action: str
    process: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetFault:
    """Sets a fault of the stand-ins."""

    kind: str
    domain: str = ""
    count: int = 0
    seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RollOut:
    """Rolls a bundle out, by several operators at the same moment."""

    operators: tuple[int, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendLoad:
    """Starts a load in the background."""

    name: str
    count: int
    service: str
    method: str
    entries: tuple[int, ...]
    rate: int
    work_seconds: float = 0.0
    key: str = "none"
    repeat: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class AssignVms:
    """Gives each pool its VMs, in place of the planner."""


@dataclasses.dataclass(frozen=True, slots=True)
class SubmitJobs:
    """Submits jobs that may not be run twice."""

    name: str
    count: int
    run_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectRollouts:
    """Waits for the last rollouts and counts `accepted` and `refused`."""

    comparisons: tuple[Comparison, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectVersion:
    """Waits until a bundle's version is in force at all entries."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectLoad:
    """Waits for the end of a load and compares its counts."""

    name: str
    comparisons: tuple[Comparison, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectPromises:
    """Compares each posting's outcome with what the instances ran."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectCounts:
    """Waits until the stand-ins' counts satisfy the comparisons."""

    comparisons: tuple[Comparison, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectReady:
    """Waits until an entry says that it is, or isn't, ready."""

    entry: int
    is_ready: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectExit:
    """Waits for the end of a process."""

    process: str
    exit_code: int


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectLog:
    """Waits until a process has logged a text often enough."""

    process: str
    text: str
    comparison: Comparison


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectRows:
    """Waits until so many rows below a prefix contain a text."""

    prefix: str
    text: str
    count: int


Action = (
    Deploy
    | StartProcess
    | SendSignal
    | SetFault
    | RollOut
    | SendLoad
    | AssignVms
    | SubmitJobs
    | ExpectRollouts
    | ExpectVersion
    | ExpectLoad
    | ExpectPromises
    | ExpectCounts
    | ExpectReady
    | ExpectExit
    | ExpectLog
    | ExpectRows
)


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One line of a scenario."""

    line: int
    action: Action


def parse_scenario(text: str) -> tuple[Step, ...]:
    """Returns the steps of a scenario.

    Raises:
        lark.exceptions.LarkError: The text isn't a scenario; the message names
            the line and what is expected there.
    """
    parser = lark.Lark(
        _GRAMMAR.read_text(), parser="lalr", propagate_positions=True
    )
    tree = parser.parse(text.rstrip() + "\n")
    builder = _StepBuilder()
    return tuple(
        Step(child.meta.line, builder.transform(child))
        for child in tree.children
    )


@lark.v_args(inline=True)
class _StepBuilder(lark.Transformer):
    """Turns parse trees into steps, bottom up."""

    count = int
    number = float
    name = str

    def STRING(self, token: lark.Token) -> str:  # noqa: N802
        return str(token)[1:-1]

    def standins(self) -> str:
        return "stand-ins"

    def entry(self, number: int) -> str:
        return f"entry {number}"

    def control(self, number: int) -> str:
        return f"control {number}"

    def load(self, name: str) -> str:
        return f"load {name}"

    def deploy(self, entries: int, controls: int, vms: int) -> Deploy:
        return Deploy(entries, controls, vms)

    def start_process(self, process: str) -> StartProcess:
        return StartProcess(process)

    def signal(self, action: lark.Token, process: str) -> SendSignal:
        return SendSignal(str(action), process)

    def network(self, change: lark.Token, link: str) -> SetFault:
        return SetFault("cut" if change == "cut" else "healed", link)

    def store(self, fault: SetFault) -> SetFault:
        return fault

    def store_down(self) -> SetFault:
        return SetFault("down")

    def store_up(self) -> SetFault:
        return SetFault("healthy")

    def store_slow(self, seconds: float) -> SetFault:
        return SetFault("slow", seconds=seconds)

    def store_loses(self, count: int, lost: lark.Token) -> SetFault:
        return SetFault(f"lose_{lost}", count=count)

    def zone(self, change: lark.Token, zone: str) -> SetFault:
        return SetFault("lost" if change == "lose" else "restored", zone)

    def rollout(self, operator: int, version: int) -> RollOut:
        return RollOut((operator,), version)

    def race(self, first: int, second: int, version: int) -> RollOut:
        return RollOut((first, second), version)

    def rate(self, rate: int) -> int:
        return rate

    def via(self, entries: tuple[int, ...]) -> tuple[int, ...]:
        return entries

    def entries(self, *numbers: int) -> tuple[int, ...]:
        return numbers

    def balancer(self) -> tuple[int, ...]:
        return ()

    def work(self, seconds: float) -> tuple[str, float]:
        return "work_seconds", seconds

    def key(self, kind: lark.Token) -> tuple[str, str]:
        return "key", str(kind)

    def sent_twice(self) -> tuple[str, int]:
        return "repeat", 2

    def send(
        self,
        count: int,
        methods: lark.Token,
        service: str,
        entries: tuple[int, ...],
        rate: int,
        *rest: object,
    ) -> SendLoad:
        *options, name = rest
        method = "GET" if methods == "requests" else "POST"
        load = SendLoad(str(name), count, service, method, entries, rate)
        return dataclasses.replace(load, **dict(options))

    def assign(self) -> AssignVms:
        return AssignVms()

    def submit(self, count: int, seconds: float, name: str) -> SubmitJobs:
        return SubmitJobs(name, count, seconds)

    def expect_rollouts(self, *comparisons: Comparison) -> ExpectRollouts:
        return ExpectRollouts(comparisons)

    def expect_version(self, version: int) -> ExpectVersion:
        return ExpectVersion(version)

    def comparison(
        self, field: lark.Token, operator: lark.Token, bound: float
    ) -> Comparison:
        return Comparison(str(field), Operator(operator), bound)

    def expect_load(self, name: str, *comparisons: Comparison) -> ExpectLoad:
        return ExpectLoad(name, comparisons)

    def expect_promises(self, name: str) -> ExpectPromises:
        return ExpectPromises(name)

    def expect_counts(self, *comparisons: Comparison) -> ExpectCounts:
        return ExpectCounts(comparisons)

    def expect_ready(self, entry: int, ready: lark.Token) -> ExpectReady:
        return ExpectReady(entry, ready == "ready")

    def expect_exit(self, process: str, code: int) -> ExpectExit:
        return ExpectExit(process, code)

    def expect_log(
        self, process: str, text: str, operator: lark.Token, count: int
    ) -> ExpectLog:
        comparison = Comparison("lines", Operator(operator), count)
        return ExpectLog(process, text, comparison)

    def expect_rows(self, count: int, prefix: str, text: str) -> ExpectRows:
        return ExpectRows(prefix, text, count)
