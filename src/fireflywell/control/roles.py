"""Runs a control role while this process holds the role's lease."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import anyio

from fireflywell.coordination import leases
from fireflywell.telemetry import logs

RoleFunction = Callable[[leases.Lease], Coroutine[Any, Any, None]]


class RoleRunner:
    """Starts a role when its lease is acquired and cancels it on lease loss."""

    __slots__ = ("_keeper", "_run_role")

    def __init__(
        self, keeper: leases.LeaseKeeper, run_role: RoleFunction
    ) -> None:
        self._keeper = keeper
        self._run_role = run_role

    async def run(self) -> None:
        """Runs the role once for each lease acquired, until cancelled."""
        while True:
            lease = await self._keeper.wait_until_held()
            logs.log_event("role.started", role=lease.role, token=lease.token)
            async with anyio.create_task_group() as group:
                group.start_soon(self._run_role, lease)
                await self._keeper.wait_until_lost(lease.token)
                group.cancel_scope.cancel()
            logs.log_event("role.ended", role=lease.role, token=lease.token)
