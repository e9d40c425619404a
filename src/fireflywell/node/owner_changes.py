"""Changes the owner rows of several services side by side."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import datetime

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.telemetry import logs

# A refused change is repeated after this time. Any node may claim a service,
# so that all of them would call a store that refuses its partition.
_REFUSAL_PAUSE = datetime.timedelta(milliseconds=500)


class OwnerChanges:
    """Changes owner rows, each independently of the others.

    The store may refuse some partitions only. Those services don't hold up the
    others.
    """

    __slots__ = ("_clock", "_refused_at")

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        # When the last change of each service was refused.
        self._refused_at: dict[str, datetime.timedelta] = {}

    async def run_each(
        self,
        services: Iterable[str],
        change: Callable[[str], Awaitable[None]],
    ) -> None:
        """Calls `change` for each service, unless it was refused just now.

        Args:
            services: The services.
            change: Changes the owner row of a service. A `PlatformError` that
                it raises is logged.
        """
        now = self._clock.monotonic()
        async with anyio.create_task_group() as group:
            for service in services:
                refused_at = self._refused_at.get(service)
                if refused_at is None or now - refused_at >= _REFUSAL_PAUSE:
                    group.start_soon(self._run, service, change)

    async def _run(
        self, service: str, change: Callable[[str], Awaitable[None]]
    ) -> None:
        self._refused_at.pop(service, None)
        try:
            await change(service)
        except errors.PlatformError as error:
            if isinstance(error, errors.PlatformUnavailableError):
                self._refused_at[service] = self._clock.monotonic()
            logs.log_event(
                "ownership.claim_failed", service=service, error=str(error)
            )
