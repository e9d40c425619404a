"""Which faults a soak makes, and when, chosen from its seed."""

from collections.abc import Iterator
import dataclasses
import math
import random

from fireflywell.standins import emulator_values
from fireflywell.standins import link_proxy

# Traffic and faults begin this long after the processes.
FIRST_FAULT_S = 1.0

# A node on such a link needs 0.6 s for one configuration, more than the time to
# the next, so it can't keep up by reading each of them.
_SLOW_LINK_BYTES_PER_S = 220_000
_CONFIGURATION_BYTES = 100_000
_CHANGE_INTERVAL_S = 0.25
_FEWEST_CHANGES = 5
_MOST_CHANGES = 30
_MEAN_SERIES_GAP_S = 5.0

# Seeds from here on also have faults of orders; earlier ones keep their plans.
FIRST_ORDERS_SEED = 1000

# Late and rejected orders come together on most workers of a service, so that
# the repeat of an order without an answer often meets another fault.
_ORDERS_SHARES = (0.3, 0.6)
_REPORTS_SHARES = (0.0, 0.15)
_ORDERS_FAULT_S = (2.5, 5.0)
_MEAN_ORDERS_GAP_S = 1.0
_FAULTY_WORKERS = (2, 5)
_LONGEST_RESTART_S = 0.8
_MOST_RESTARTS = 2
_NODE_FAULT_SHARE = 0.7

# Seeds from here on lose workers and owners in series; earlier ones keep their
# plans. Faults of other kinds come with a part of them only, because they
# excuse waits.
FIRST_LOSSES_SEED = 2000
_OTHER_FAULTS_SHARE = 0.3

# Seeds from here on let state of another moment or address be read; earlier
# ones keep their plans. They have no faults of other kinds.
FIRST_STALE_SEED = 3000

# Seeds from here on have maintenance waves, and nearly the same faults as those
# from `FIRST_STALE_SEED` on.
FIRST_WAVES_SEED = 4000

# Seeds from here on have late submissions, whose callers cancel them, and nodes
# that are lost meanwhile. They have no faults of other kinds.
FIRST_SUBMISSIONS_SEED = 5000

# Settings of the nodes and workers: the lease of a node and the longest lease
# of a run.
LEASE_S = 3.0
MAX_HOLD_S = 6.0

_OTHER_SUFFIX = "-other"

# Several faults overlap: their mean distance is shorter than they last.
_MEAN_GAP_S = 0.9
_LONGEST_FAULT_S = 4.0
_LONGEST_DELAY_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class KillNode:
    """A node is killed and starts again."""

    node: int
    down_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PauseNode:
    """A node stands still for a while."""

    node: int
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class TermNode:
    """A node is asked to stop and starts again."""

    node: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReloadNode:
    """A node is told that its settings have changed."""

    node: int


@dataclasses.dataclass(frozen=True, slots=True)
class KillAllNodes:
    """All nodes are killed at once and start again."""

    down_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LinkFault:
    """A link misbehaves for a while.

    Attributes:
        link: Name of the link.
        state: What it does.
        seconds: For how long; infinite if it never heals.
    """

    link: str
    state: link_proxy.LinkState
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ResetLink:
    """All connections of a link are broken off."""

    link: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformFault:
    """The emulator makes a fault."""

    fault: emulator_values.Fault


@dataclasses.dataclass(frozen=True, slots=True)
class KillOwner:
    """The node that owns a service at that time is killed."""

    service: str
    down_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PauseOwner:
    """The node that owns a service at that time stands still."""

    service: str
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class TermOwner:
    """The node that owns a service at that time stops and starts again."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class AddressReused:
    """A worker is cut off, works on, and another one gets its address.

    Attributes:
        worker: Name of its machine.
        other: Machine of the worker that gets the address.
        cut_s: Time until it gets it, in which nobody answers there.
        seconds: For how long it has the address.
    """

    worker: str
    other: str
    cut_s: float
    seconds: float


Fault = (
    KillNode
    | PauseNode
    | TermNode
    | ReloadNode
    | KillAllNodes
    | LinkFault
    | ResetLink
    | PlatformFault
    | KillOwner
    | PauseOwner
    | TermOwner
    | AddressReused
)


@dataclasses.dataclass(frozen=True, slots=True)
class Planned:
    """A fault and the time since the start of traffic."""

    at_s: float
    fault: Fault


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Size of a soak.

    Attributes:
        nodes: Number of node processes.
        services: Names of the services.
        workers: Names of the workers.
        fault_s: Time in which faults begin.
        clients: Number of clients that submit jobs.
    """

    nodes: int = 4
    services: tuple[str, ...] = ("quotes", "reviews")
    workers: tuple[str, ...] = ("w1", "w2", "w3", "w4", "w5", "w6")
    fault_s: float = 14.0
    clients: int = 4

    @property
    def links(self) -> tuple[str, ...]:
        """Names of the links: each node to the store, all to each worker."""
        nodes = tuple(f"node-{number}" for number in range(self.nodes))
        return (*nodes, *self.workers)


def choose_shape(
    seed: int,
    nodes: int | None = None,
    workers: int | None = None,
    clients: int | None = None,
    fault_s: float | None = None,
) -> Shape:
    """Returns the size of a seed's soak.

    From `FIRST_LOSSES_SEED` on it is larger, so that workers are left after
    others were lost for good, and lasts for more than one takeover.

    Args:
        seed: The seed.
        nodes: Replaces the number of nodes.
        workers: Replaces the number of workers.
        clients: Replaces the number of clients.
        fault_s: Replaces the time in which faults begin.
    """
    usual = Shape()
    if seed >= FIRST_LOSSES_SEED:
        usual = Shape(5, workers=_name_workers(10), fault_s=24.0)
    return Shape(
        nodes or usual.nodes,
        usual.services,
        _name_workers(workers) if workers else usual.workers,
        fault_s or usual.fault_s,
        clients or usual.clients,
    )


def _name_workers(count: int) -> tuple[str, ...]:
    return tuple(f"w{number + 1}" for number in range(count))


def name_other_link(worker: str) -> str:
    """Returns the name of the link at a worker's other address."""
    return f"{worker}{_OTHER_SUFFIX}"


def name_linked_worker(link: str) -> str | None:
    """Returns the worker that a link leads to; None for a node's link."""
    if link.startswith("node-"):
        return None
    return link.removesuffix(_OTHER_SUFFIX)


def is_for_good(fault: Fault) -> bool:
    """Returns whether a link never heals."""
    match fault:
        case LinkFault(seconds=seconds):
            return math.isinf(seconds)
        case _:
            return False


def plan_faults(seed: int, shape: Shape) -> list[Planned]:
    """Returns the faults of a soak; the same for the same seed and shape."""
    rng = random.Random(seed)
    planned: list[Planned] = []
    if seed >= FIRST_STALE_SEED:
        return planned
    if seed >= FIRST_LOSSES_SEED and rng.random() >= _OTHER_FAULTS_SHARE:
        return planned
    at_s = FIRST_FAULT_S
    while at_s < shape.fault_s:
        planned.append(Planned(at_s, _choose_fault(rng, shape)))
        at_s += rng.expovariate(1 / _MEAN_GAP_S)
    return planned


def plan_changes(seed: int, shape: Shape) -> list[Planned]:
    """Returns the changes of the configuration, and the links that are slow.

    They are chosen apart from the faults, so that a seed keeps its faults.
    Seeds from `FIRST_LOSSES_SEED` on have none.
    """
    if seed >= FIRST_LOSSES_SEED:
        # In a longer soak, a slow link is at times too slow for the bound of
        # two seconds, and holds up an owner's other calls.
        return []
    rng = random.Random(f"configuration {seed}")
    slow = link_proxy.Slow(_SLOW_LINK_BYTES_PER_S)
    planned = [
        Planned(0.0, LinkFault(f"node-{node}", slow, shape.fault_s))
        for node in rng.sample(range(shape.nodes), max(1, shape.nodes // 2))
    ]
    at_s = rng.uniform(0.5, 2.0)
    version = 2
    while at_s < shape.fault_s:
        series = emulator_values.ConfigurationSeries(
            version,
            rng.randint(_FEWEST_CHANGES, _MOST_CHANGES),
            _CHANGE_INTERVAL_S,
            _CONFIGURATION_BYTES,
        )
        planned.append(Planned(at_s, PlatformFault(series)))
        version += series.count
        at_s += series.count * _CHANGE_INTERVAL_S
        at_s += rng.expovariate(1 / _MEAN_SERIES_GAP_S)
    return planned


def plan_order_faults(seed: int, shape: Shape) -> list[Planned]:
    """Returns series of faults of orders, and what overlaps with them.

    Late orders, rejected orders and restarts under the same id meet on the same
    workers, often while a node is killed or paused.
    """
    planned: list[Planned] = []
    if not FIRST_ORDERS_SEED <= seed < FIRST_LOSSES_SEED:
        return planned
    rng = random.Random(f"orders {seed}")
    at_s = FIRST_FAULT_S
    while at_s < shape.fault_s:
        seconds = round(rng.uniform(*_ORDERS_FAULT_S), 2)
        for worker in rng.sample(shape.workers, rng.randint(*_FAULTY_WORKERS)):
            planned += plan_worker_series(rng, worker, at_s, seconds)
        if rng.random() < _NODE_FAULT_SHARE:
            node = rng.randrange(shape.nodes)
            down_s = round(rng.uniform(0.3, seconds), 2)
            fault = rng.choice(
                (KillNode(node, down_s / 2), PauseNode(node, down_s))
            )
            planned.append(Planned(at_s + rng.uniform(0.0, seconds), fault))
        at_s += seconds + rng.expovariate(1 / _MEAN_ORDERS_GAP_S)
    return planned


def plan_worker_series(
    rng: random.Random, worker: str, at_s: float, seconds: float
) -> Iterator[Planned]:
    """Yields late and rejected orders of a worker, and its restarts."""
    for kind in (emulator_values.OrdersLate, emulator_values.OrdersRejected):
        share = round(rng.uniform(*_ORDERS_SHARES), 2)
        report_share = round(rng.uniform(*_REPORTS_SHARES), 2)
        fault = kind(worker, seconds, share, report_share)
        yield Planned(at_s + rng.uniform(0.0, 1.0), PlatformFault(fault))
    for _ in range(rng.randint(0, _MOST_RESTARTS)):
        down_s = round(rng.uniform(0.0, _LONGEST_RESTART_S), 2)
        crash = emulator_values.WorkerCrash(worker, down_s, keeps_id=True)
        yield Planned(at_s + rng.uniform(0.0, seconds), PlatformFault(crash))


def _choose_fault(rng: random.Random, shape: Shape) -> Fault:
    node = rng.randrange(shape.nodes)
    link = rng.choice(shape.links)
    worker = rng.choice(shape.workers)
    seconds = round(rng.uniform(0.3, _LONGEST_FAULT_S), 2)
    delay_s = round(rng.uniform(0.02, _LONGEST_DELAY_S), 3)
    count = rng.randint(1, 4)
    keeps_id = rng.random() < 0.5
    states: tuple[link_proxy.LinkState, ...] = (
        link_proxy.Silent(),
        link_proxy.Silent(to_target=False),
        link_proxy.Silent(to_caller=False),
        link_proxy.Delayed(delay_s),
    )
    state = rng.choice(states)
    choices: tuple[tuple[float, Fault], ...] = (
        (3.0, KillNode(node, seconds / 2)),
        (2.0, PauseNode(node, seconds)),
        (2.0, TermNode(node)),
        (1.0, ReloadNode(node)),
        (0.4, KillAllNodes(seconds / 2)),
        (5.0, LinkFault(link, state, seconds)),
        (2.0, ResetLink(link)),
        (1.0, PlatformFault(emulator_values.StoreDown(seconds))),
        (1.0, PlatformFault(emulator_values.StoreSlow(seconds, delay_s))),
        (2.0, PlatformFault(emulator_values.AnswersLost(count))),
        (1.0, PlatformFault(emulator_values.HistoryLost())),
        (
            2.0,
            PlatformFault(
                emulator_values.WorkerCrash(worker, seconds, keeps_id)
            ),
        ),
        (1.0, PlatformFault(emulator_values.WorkerDrain(worker, seconds))),
        (1.0, PlatformFault(emulator_values.WorkerFails(worker, seconds))),
        (2.0, PlatformFault(emulator_values.StartsUnanswered(worker, count))),
    )
    weights = [weight for weight, _ in choices]
    (chosen,) = rng.choices(choices, weights)
    return chosen[1]
