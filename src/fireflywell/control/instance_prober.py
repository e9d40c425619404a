"""Reads the status pages of instances."""

from collections.abc import Callable
import dataclasses
import datetime
import json
from typing import Protocol

import anyio
import httpcore

from fireflywell import clock as clock_lib
from fireflywell import send_tracker
from fireflywell.fleet import instances as instances_lib

_INTERVAL = datetime.timedelta(seconds=1)
_TIMEOUT = datetime.timedelta(seconds=2)
# An instance counts as unavailable after this long without an answer, so that
# one lost probe doesn't hold a wave up.
_AVAILABLE_FOR = datetime.timedelta(seconds=4)
_CONCURRENT_PROBES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """Latest answer of an instance's status page.

    Attributes:
        in_progress: Requests in progress.
        read_at: Monotonic time at which the page was asked for.
    """

    in_progress: int
    read_at: datetime.timedelta


class StatusProber(Protocol):
    """Status pages of instances, as the maintenance role needs them."""

    @property
    def has_completed_round(self) -> bool:
        """Whether each instance has been asked at least once."""

    def is_available(self, instance_id: str) -> bool:
        """Whether the instance's page answered lately."""

    async def run(self) -> None:
        """Reads the pages of all instances until cancelled."""

    async def probe(
        self, instance: instances_lib.Instance
    ) -> ProbeResult | None:
        """Reads one page now; returns None if it doesn't answer."""


class InstanceProber:
    """Probes all instances once a second."""

    __slots__ = (
        "_clock",
        "_limiter",
        "_list_instances",
        "_pages",
        "_pool",
        "_rounds",
    )

    def __init__(
        self,
        list_instances: Callable[[], tuple[instances_lib.Instance, ...]],
        clock: clock_lib.Clock,
    ) -> None:
        self._list_instances = list_instances
        self._clock = clock
        self._pages: dict[str, ProbeResult] = {}
        self._rounds = 0
        self._limiter = anyio.CapacityLimiter(_CONCURRENT_PROBES)
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=_CONCURRENT_PROBES,
            max_keepalive_connections=0,
            network_backend=httpcore.AnyIOBackend(),
        )

    @property
    def has_completed_round(self) -> bool:
        """Whether each instance has been asked at least once."""
        return self._rounds > 0

    def is_available(self, instance_id: str) -> bool:
        """Whether the instance's page answered lately."""
        page = self._pages.get(instance_id)
        if page is None:
            return False
        return self._clock.monotonic() - page.read_at < _AVAILABLE_FOR

    async def run(self) -> None:
        """Probes until cancelled."""
        while True:
            instances = self._list_instances()
            async with anyio.create_task_group() as group:
                for instance in instances:
                    group.start_soon(self.probe, instance)
            known = {item.instance_id for item in instances}
            for name in self._pages.keys() - known:
                del self._pages[name]
            self._rounds += 1 if instances else 0
            await self._clock.sleep(_INTERVAL)

    async def probe(
        self, instance: instances_lib.Instance
    ) -> ProbeResult | None:
        """Reads one page now; returns None if it doesn't answer."""
        asked_at = self._clock.monotonic()
        url = f"http://{instance.address}:{instance.port}/status"
        try:
            async with self._limiter:
                with anyio.fail_after(_TIMEOUT.total_seconds()):
                    response = await self._pool.request("GET", url)
            in_progress = json.loads(response.content)["in_progress"]
        except send_tracker.EXCHANGE_ERRORS:
            return None
        except (ValueError, KeyError, TypeError):
            return None
        if response.status != 200 or not isinstance(in_progress, int):
            return None
        page = ProbeResult(in_progress, asked_at)
        self._pages[instance.instance_id] = page
        return page
