"""What a load test sends, and when."""

from collections.abc import Iterator
import dataclasses
import datetime
import enum
import heapq
import ipaddress
import random
import urllib.parse

from fireflywell import errors

_LOOPBACK = ipaddress.ip_network("127.0.0.0/8")
# Bounds that keep a mistyped plan from occupying the machine for long.
LONGEST_DURATION = datetime.timedelta(minutes=30)
MOST_REQUESTS = 1_000_000
MOST_IN_PROGRESS = 4_000


class KeyKind(enum.StrEnum):
    """Idempotency key sent with the requests of a flow."""

    NONE = "none"
    BOUND = "bound"
    RECORDED = "recorded"


@dataclasses.dataclass(frozen=True, slots=True)
class Surge:
    """A time in which a flow's rate is multiplied.

    Attributes:
        start: Start, counted from the start of the test.
        duration: Length.
        factor: Multiplies the rate; below 1 for a lull.
    """

    start: datetime.timedelta
    duration: datetime.timedelta
    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class Flow:
    """Requests of one kind.

    Attributes:
        name: Name in the report.
        service: Service asked for.
        rate: Mean requests a second.
        route: Path below the service.
        method: HTTP method.
        class_name: Sent in `Fireflywell-Class`; empty to send none.
        team: Sent in `Fireflywell-Team`; empty to send none.
        key: Kind of idempotency key.
        deadline: Sent in `Fireflywell-Deadline-Ms`; None to send none.
        work: Run time asked of the stand-in instance.
        body_bytes: Least size of a posting's body.
        repeat: How often each request is sent at the same moment, with the
            same key, to different entries.
        surges: Times at which the rate differs.
    """

    name: str
    service: str
    rate: float
    route: str = "work"
    method: str = "GET"
    class_name: str = ""
    team: str = ""
    key: KeyKind = KeyKind.NONE
    deadline: datetime.timedelta | None = None
    work: datetime.timedelta = datetime.timedelta()
    body_bytes: int = 0
    repeat: int = 1
    surges: tuple[Surge, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A whole load test.

    Attributes:
        targets: Base addresses of the entries or of a balancer.
        flows: Requests to send.
        duration: No request is due later than this; None for no limit.
        count: Most requests in all; None for no limit.
        seed: Seed of the arrival times.
        tries: Most times that a request is sent while its outcome is unknown;
            the further ones go to other targets with the same key.
        retry_pause: Time between two tries.
        timeout: Longest wait for one response.
        latency: Delay in one direction between callers and entries.
    """

    targets: tuple[str, ...]
    flows: tuple[Flow, ...]
    duration: datetime.timedelta | None = None
    count: int | None = None
    seed: int = 1
    tries: int = 3
    retry_pause: datetime.timedelta = datetime.timedelta(milliseconds=200)
    timeout: datetime.timedelta = datetime.timedelta(seconds=60)
    latency: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Arrival:
    """One request that is due.

    Attributes:
        due: Intended send time, counted from the start of the test.
        flow_index: Position of its flow in the plan.
        number: Number of the request within its flow.
    """

    due: datetime.timedelta
    flow_index: int
    number: int


def check_plan(plan: Plan) -> None:
    """Checks a plan's bounds and targets.

    Raises:
        SettingsError: A target isn't a loopback address, or the plan isn't
            bounded.
    """
    if not plan.targets:
        raise errors.SettingsError("no target is given; name one with --target")
    for target in plan.targets:
        _check_target(target)
    if plan.duration is None and plan.count is None:
        raise errors.SettingsError(
            "the load isn't bounded; set duration or count"
        )
    if plan.duration is not None and plan.duration > LONGEST_DURATION:
        raise errors.SettingsError(
            f"duration is longer than {LONGEST_DURATION}; shorten it"
        )
    if plan.count is not None and plan.count > MOST_REQUESTS:
        raise errors.SettingsError(
            f"count is larger than {MOST_REQUESTS}; lower it"
        )
    for flow in plan.flows:
        if flow.rate <= 0 or flow.repeat < 1:
            raise errors.SettingsError(
                f"flow {flow.name}: rate must be above 0 and repeat at least 1"
            )


def iterate_arrivals(plan: Plan) -> Iterator[Arrival]:
    """Yields the requests of all flows in order of their intended times.

    The times are those of Poisson processes, fixed by the seed. They don't
    depend on responses, so a slow system can't slow the load down.
    """
    merged = heapq.merge(
        *(
            _iterate_flow(plan, index, flow)
            for index, flow in enumerate(plan.flows)
        )
    )
    limit = MOST_REQUESTS if plan.count is None else plan.count
    for _, arrival in zip(range(limit), merged, strict=False):
        yield arrival


def _iterate_flow(plan: Plan, index: int, flow: Flow) -> Iterator[Arrival]:
    rng = random.Random(f"{plan.seed}/{index}")
    longest = plan.duration or LONGEST_DURATION
    # Thinning: arrivals at the highest rate, each kept by the rate at its time.
    highest = max([1.0, *(surge.factor for surge in flow.surges)])
    due = datetime.timedelta()
    number = 0
    while True:
        pause = rng.expovariate(flow.rate * highest)
        due += datetime.timedelta(seconds=pause)
        if due > longest:
            return
        if rng.random() * highest < _find_factor(flow, due):
            yield Arrival(due, index, number)
            number += 1


def _find_factor(flow: Flow, due: datetime.timedelta) -> float:
    for surge in flow.surges:
        if surge.start <= due < surge.start + surge.duration:
            return surge.factor
    return 1.0


def _check_target(target: str) -> None:
    parts = urllib.parse.urlsplit(target)
    try:
        is_loopback = ipaddress.ip_address(parts.hostname or "") in _LOOPBACK
        has_port = parts.port is not None
    except ValueError:
        is_loopback = has_port = False
    if parts.scheme != "http" or not is_loopback or not has_port:
        raise errors.SettingsError(
            f"target {target!r} isn't accepted; give an address below "
            "127.0.0.0/8 such as http://127.0.0.1:18400"
        )
