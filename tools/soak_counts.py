"""Watches the numbers of waiting jobs that the nodes of a soak tell."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
import math

import anyio
import httpcore
from tools import soak_clients
from tools import soak_configuration

from fireflywell import clock as clock_lib
from fireflywell.standins import emulator_values as values

# Jobs accepted longer ago than this have to be counted: a job is known for 3 s
# after its acceptance, and a count may be 2 s old.
_COUNTED_AFTER_S = 5.0

_ASK_INTERVAL_S = 0.7
_ASK_LIMIT_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class CountSeen:
    """A number of waiting jobs that a node told.

    Attributes:
        node: Number of the node.
        service: Name of the queue and its service.
        sent_s: When the request was sent, in monotonic seconds.
        answered_s: When the answer was there.
        waiting: The number.
    """

    node: int
    service: str
    sent_s: float
    answered_s: float
    waiting: int


class CountWatcher:
    """Asks each node for the waiting jobs of each queue in turn."""

    __slots__ = ("_addresses", "_clock", "_services", "counts")

    def __init__(
        self,
        addresses: tuple[str, ...],
        services: tuple[str, ...],
        clock: clock_lib.Clock,
    ) -> None:
        self._addresses = addresses
        self._services = services
        self._clock = clock
        self.counts: list[CountSeen] = []

    async def run(self) -> None:
        """Asks until cancelled."""
        async with anyio.create_task_group() as group:
            for node, address in enumerate(self._addresses):
                group.start_soon(self._watch_node, node, address)

    async def _watch_node(self, node: int, address: str) -> None:
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            while True:
                for service in self._services:
                    await anyio.sleep(_ASK_INTERVAL_S)
                    await self._ask(pool, node, address, service)

    async def _ask(
        self,
        pool: httpcore.AsyncConnectionPool,
        node: int,
        address: str,
        service: str,
    ) -> None:
        sent_s = self._now_s()
        answer = await soak_clients.ask_for_count(
            pool, address, service, _ASK_LIMIT_S
        )
        if answer.status == 200:
            waiting = int(json.loads(answer.body)["waiting"])
            self.counts.append(
                CountSeen(node, service, sent_s, self._now_s(), waiting)
            )

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()


def find_low_counts(
    counts: Iterable[CountSeen],
    jobs: Iterable[soak_clients.JobRecord],
    records: values.Records,
    disturbances: Iterable[soak_configuration.Disturbance],
) -> Iterator[str]:
    """Yields a line for each count of under half of the jobs that wait.

    Args:
        counts: What the nodes told.
        jobs: What clients know of their jobs.
        records: What the workers have seen.
        disturbances: Times in which a node's answers aren't judged, nor shortly
            after them.
    """
    begun_s: dict[str, float] = collections.defaultdict(lambda: math.inf)
    for start in records.starts:
        job_id = start.unit.partition(".")[0]
        begun_s[job_id] = min(begun_s[job_id], start.at_s)
    accepted = [job for job in jobs if job.accepted_s is not None]
    for count in counts:
        ends = [
            item.ended_s
            for item in disturbances
            if count.node in item.nodes and item.begun_s <= count.answered_s
        ]
        calm_s = count.sent_s - max(ends, default=-math.inf)
        if calm_s <= soak_configuration.CONTACT_S:
            continue
        waiting = [
            job.job_id
            for job in accepted
            if job.service == count.service
            and (job.accepted_s or 0) < count.sent_s - _COUNTED_AFTER_S
            and begun_s[job.job_id] > count.answered_s
            and (job.cancel_sent_s or math.inf) > count.answered_s
        ]
        if 2 * count.waiting < len(waiting):
            yield (
                f"node-{count.node} tells {count.waiting} waiting jobs of "
                f"{count.service} at {count.sent_s:.3f}; {len(waiting)} have "
                f"not begun, among them {waiting[0]}"
            )
