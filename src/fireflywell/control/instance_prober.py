"""Probes the availability of instances by their status pages."""

from collections.abc import Callable
import dataclasses
import datetime
import json
from typing import Protocol

import anyio

from fireflywell import clock as clock_lib
from fireflywell import connection_pool
from fireflywell import send_tracker
from fireflywell.fleet import instances as instances_lib

_PROBE_INTERVAL = datetime.timedelta(seconds=1)
_PROBE_TIMEOUT = datetime.timedelta(seconds=2)
# An instance is marked as unavailable after this long without an answer; longer
# than one interval, so that one lost probe doesn't delay a wave.
_RESULT_MAX_AGE = datetime.timedelta(seconds=4)
_CONCURRENT_PROBES = 32


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResult:
    """Latest successful read of an instance's status page.

    Attributes:
        in_progress: Requests in progress on the instance.
        requested_at: Monotonic time at which the page was requested.
    """

    in_progress: int
    requested_at: datetime.timedelta


class StatusProber(Protocol):
    """Interface through which the maintenance role probes instances."""

    @property
    def has_completed_round(self) -> bool:
        """Whether each instance has been probed at least once."""

    def is_available(self, instance_id: str) -> bool:
        """Whether a recent probe of the instance succeeded."""

    async def run(self) -> None:
        """Probes all instances until cancelled."""

    async def probe(
        self, instance: instances_lib.Instance
    ) -> ProbeResult | None:
        """Probes an instance now; returns None if it gives no valid answer."""


class InstanceProber:
    """Probes all instances each second and stores the latest results."""

    __slots__ = (
        "_clock",
        "_completed_rounds",
        "_last_results",
        "_limiter",
        "_list_instances",
        "_pool",
    )

    def __init__(
        self,
        list_instances: Callable[[], tuple[instances_lib.Instance, ...]],
        clock: clock_lib.Clock,
    ) -> None:
        self._list_instances = list_instances
        self._clock = clock
        self._last_results: dict[str, ProbeResult] = {}
        self._completed_rounds = 0
        self._limiter = anyio.CapacityLimiter(_CONCURRENT_PROBES)
        self._pool = connection_pool.ConnectionPool(
            _CONCURRENT_PROBES, max_idle=0
        )

    @property
    def has_completed_round(self) -> bool:
        """Whether each instance has been probed at least once."""
        return self._completed_rounds > 0

    def is_available(self, instance_id: str) -> bool:
        """Whether a recent probe of the instance succeeded."""
        result = self._last_results.get(instance_id)
        if result is None:
            return False
        return self._clock.monotonic() - result.requested_at < _RESULT_MAX_AGE

    async def run(self) -> None:
        """Probes all instances until cancelled."""
        while True:
            instances = self._list_instances()
            async with anyio.create_task_group() as group:
                for instance in instances:
                    group.start_soon(self.probe, instance)
            listed = {item.instance_id for item in instances}
            for name in self._last_results.keys() - listed:
                del self._last_results[name]
            self._completed_rounds += 1 if instances else 0
            await self._clock.sleep(_PROBE_INTERVAL)

    async def probe(
        self, instance: instances_lib.Instance
    ) -> ProbeResult | None:
        """Probes an instance now; returns None if it gives no valid answer."""
        requested_at = self._clock.monotonic()
        url = f"http://{instance.address}:{instance.port}/status"
        try:
            async with self._limiter:
                with anyio.fail_after(_PROBE_TIMEOUT.total_seconds()):
                    response = await self._pool.request("GET", url)
            in_progress = json.loads(response.content)["in_progress"]
        except send_tracker.EXCHANGE_ERRORS:
            return None
        except (ValueError, KeyError, TypeError):
            return None
        if response.status != 200 or not isinstance(in_progress, int):
            return None
        result = ProbeResult(in_progress, requested_at)
        self._last_results[instance.instance_id] = result
        return result
