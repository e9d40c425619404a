"""Watches when nodes of a soak apply changes of the configuration."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import math

import anyio
import httpcore
from tools import soak_clients
from tools import soak_plan

from fireflywell import clock as clock_lib
from fireflywell.standins import emulator_values as values
from fireflywell.standins import link_proxy

# An undisturbed node applies a change within two seconds. After a disturbance
# the users' platform allows three seconds before it expects that again.
APPLY_BOUND_S = 2.0
CONTACT_S = 3.0

_PROBE_INTERVAL_S = 0.3
_PROBE_LIMIT_S = 2.0

# Queues are asked for from this long after they were to be added.
_PROBE_DELAY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeSeen:
    """An answer to a request for an added queue; times are monotonic seconds.

    Attributes:
        node: Number of the node.
        version: Version that added the queue.
        sent_s: When the request was sent.
        answered_s: When the answer was there.
        is_known: Whether the node knew the queue.
    """

    node: int
    version: int
    sent_s: float
    answered_s: float
    is_known: bool


@dataclasses.dataclass(slots=True)
class Disturbance:
    """A time in which a node may be late.

    Attributes:
        nodes: Numbers of the nodes.
        is_restart: Whether their processes end.
        begun_s: Monotonic time.
        ended_s: Monotonic time; infinite before the end.
    """

    nodes: frozenset[int]
    is_restart: bool
    begun_s: float
    ended_s: float = math.inf


def describe_disturbance(
    fault: soak_plan.Fault, nodes: int, now_s: float
) -> Disturbance | None:
    """Returns which nodes a fault excuses, or None if none is."""
    everyone = frozenset(range(nodes))
    match fault:
        case soak_plan.KillNode(node=node) | soak_plan.TermNode(node=node):
            return Disturbance(frozenset((node,)), True, now_s)
        case soak_plan.KillAllNodes():
            return Disturbance(everyone, True, now_s)
        case soak_plan.PauseNode(node=node) | soak_plan.ReloadNode(node=node):
            return Disturbance(frozenset((node,)), False, now_s)
        case soak_plan.LinkFault(state=link_proxy.Slow()):
            return None
        case soak_plan.LinkFault(link=link) | soak_plan.ResetLink(link=link):
            prefix, _, number = link.partition("-")
            if prefix != "node":
                return None
            return Disturbance(frozenset((int(number),)), False, now_s)
        case soak_plan.PlatformFault(
            fault=values.StoreDown(seconds=seconds)
            | values.StoreSlow(seconds=seconds)
        ):
            return Disturbance(everyone, False, now_s, now_s + seconds)
        case soak_plan.PlatformFault(fault=values.HistoryLost()):
            # All tables are read again at once, which takes a while on a slow
            # link; the users' platform counts it as a disruption of the store.
            return Disturbance(everyone, False, now_s, now_s)
        case (
            soak_plan.PlatformFault()
            | soak_plan.KillOwner()
            | soak_plan.PauseOwner()
            | soak_plan.TermOwner()
            | soak_plan.AddressReused()
        ):
            return None


class Watcher:
    """Asks each node for queues that were just added."""

    __slots__ = ("_addresses", "_clock", "_planned", "_started_s", "probes")

    def __init__(
        self,
        addresses: tuple[str, ...],
        planned: Iterable[soak_plan.Planned],
        clock: clock_lib.Clock,
    ) -> None:
        self._addresses = addresses
        self._clock = clock
        self._started_s = self._now_s()
        self._planned = tuple(_list_versions(planned))
        self.probes: list[ProbeSeen] = []

    async def run(self) -> None:
        """Asks until cancelled."""
        async with anyio.create_task_group() as group:
            for node, address in enumerate(self._addresses):
                group.start_soon(self._watch_node, node, address)

    async def _watch_node(self, node: int, address: str) -> None:
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            while True:
                await anyio.sleep(_PROBE_INTERVAL_S)
                passed_s = self._now_s() - self._started_s - _PROBE_DELAY_S
                due = [v for v, at_s in self._planned if at_s <= passed_s]
                if due:
                    await self._ask(pool, node, address, due[-1])

    async def _ask(
        self,
        pool: httpcore.AsyncConnectionPool,
        node: int,
        address: str,
        version: int,
    ) -> None:
        sent_s = self._now_s()
        queue = values.name_added_queue(version)
        answer = await soak_clients.ask_for_count(
            pool, address, queue, _PROBE_LIMIT_S
        )
        # Any other status says nothing of the configuration.
        if answer.status in (200, 404):
            self.probes.append(
                ProbeSeen(
                    node, version, sent_s, self._now_s(), answer.status == 200
                )
            )

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()


def find_late_nodes(
    probes: Iterable[ProbeSeen],
    changes: Iterable[values.ChangeSeen],
    disturbances: Iterable[Disturbance],
) -> Iterator[str]:
    """Yields a line for each answer of an outdated configuration."""
    stored_s = {item.version: item.at_s for item in changes}
    known: dict[int, ProbeSeen] = {}
    for probe in sorted(probes, key=lambda item: item.sent_s):
        if probe.is_known:
            known[probe.node] = probe
            continue
        own = [d for d in disturbances if probe.node in d.nodes]
        before = known.get(probe.node)
        if (
            before is not None
            and before.version >= probe.version
            and not any(
                d.is_restart
                and d.begun_s <= probe.answered_s
                and d.ended_s >= before.sent_s
                for d in own
            )
        ):
            yield (
                f"node-{probe.node} no longer knows version "
                f"{probe.version} at {probe.sent_s:.3f}"
            )
        late_s = probe.sent_s - stored_s.get(probe.version, math.inf)
        begun = [d.ended_s for d in own if d.begun_s <= probe.answered_s]
        calm_s = probe.sent_s - max(begun, default=-math.inf)
        if late_s > APPLY_BOUND_S and calm_s > CONTACT_S:
            yield (
                f"node-{probe.node} doesn't know version {probe.version} "
                f"{late_s:.2f} s after it was stored, at {probe.sent_s:.3f}"
            )


def _list_versions(
    planned: Iterable[soak_plan.Planned],
) -> Iterator[tuple[int, float]]:
    for item in planned:
        match item.fault:
            case soak_plan.PlatformFault(
                fault=values.ConfigurationSeries() as series
            ):
                for number in range(series.count):
                    at_s = item.at_s + number * series.interval_s
                    yield series.first_version + number, at_s
            case _:
                continue
