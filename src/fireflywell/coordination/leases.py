"""Leases with fencing tokens on the table service, without wall clocks.

For the holder, the lease is valid for `duration - margin`, measured from before
its last successful renewal was sent. An observer may take over when the row has
been unchanged for `duration + margin`, measured from after it read the row.
With the defaults this tolerates a rate error of a fifth in each clock.
"""

import dataclasses
import datetime
import random

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import lease_rows
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables
from fireflywell.telemetry import logs

DEFAULT_DURATION = datetime.timedelta(seconds=5)
DEFAULT_MARGIN = datetime.timedelta(seconds=1)
_POLL_INTERVAL = datetime.timedelta(seconds=1)
_RELEASE_TIMEOUT = datetime.timedelta(seconds=2)
_RELEASE_ATTEMPTS = 3
_ZERO = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A held lease: the exclusive right to act in a role until it expires.

    Attributes:
        role: Name of the role.
        token: Fencing token, higher than that of any earlier holder.
        fence_version: Version of row `fence/<role>` until the next takeover.
        valid_until: Expiry by the holder's monotonic clock.
    """

    role: str
    token: int
    fence_version: int
    valid_until: datetime.timedelta


class LeaseKeeper:
    """Acquires one lease, renews it, and reports when it is lost."""

    __slots__ = (
        "_changed",
        "_clock",
        "_duration",
        "_holder_id",
        "_lease",
        "_lease_version",
        "_margin",
        "_random",
        "_record",
        "_role",
        "_rows",
        "_observer",
    )

    def __init__(
        self,
        role: str,
        holder_id: str,
        table: tables.Table,
        clock: clock_lib.Clock,
        rng: random.Random,
        duration: datetime.timedelta = DEFAULT_DURATION,
        margin: datetime.timedelta = DEFAULT_MARGIN,
    ) -> None:
        """Initializes a keeper that doesn't hold the lease; see `run`.

        Args:
            role: Name of the role.
            holder_id: Name of this process, shown to operators.
            table: Table service; not a `FencedTable`.
            clock: Clock of this process.
            rng: Source of jitter and write IDs.
            duration: Time after the last renewal until the lease expires.
            margin: Allowance for clock drift. The holder subtracts it from
                `duration` and observers add it.
        """
        self._role = role
        self._holder_id = holder_id
        self._clock = clock
        self._random = rng
        self._duration = duration
        self._margin = margin
        self._rows = lease_rows.LeaseRowStore(role, table, clock, rng)
        self._observer = lease_rows.RowObserver(clock)
        self._lease: Lease | None = None
        self._lease_version = 0
        self._record = lease_rows.LeaseRecord("", 0, 0)
        self._changed = anyio.Event()

    @property
    def role(self) -> str:
        """Name of the role."""
        return self._role

    @property
    def current(self) -> Lease | None:
        """The lease, or None if it isn't held or has expired locally."""
        lease = self._lease
        if lease is None or self._clock.monotonic() >= lease.valid_until:
            return None
        return lease

    async def run(self) -> None:
        """Acquires and renews the lease until cancelled, then releases it."""
        try:
            while True:
                pause = await self.step()
                await self._clock.sleep(pause)
        finally:
            with anyio.move_on_after(
                _RELEASE_TIMEOUT.total_seconds(), shield=True
            ):
                await self.release()

    async def wait_until_held(self) -> Lease:
        """Waits until the lease is held and returns it."""
        while True:
            lease = self.current
            if lease is not None:
                return lease
            await self._changed.wait()

    async def wait_until_lost(self, token: int) -> None:
        """Waits until the lease with this token is lost or has expired."""
        while True:
            lease = self.current
            if lease is None or lease.token != token:
                return
            remaining = lease.valid_until - self._clock.monotonic()
            changed = self._changed
            async with anyio.create_task_group() as group:
                group.start_soon(
                    _sleep_then_cancel,
                    self._clock,
                    remaining,
                    group.cancel_scope,
                )
                await changed.wait()
                group.cancel_scope.cancel()

    def note_lost(self, token: int) -> None:
        """Marks the lease with this token as lost to another holder.

        Called when a write conflicted on the fence. `current` is None from then
        on, until the lease is acquired again.
        """
        if self._lease is not None and self._lease.token == token:
            self._set_lease(None)

    async def step(self) -> datetime.timedelta:
        """Renews the lease if it is held, otherwise tries to acquire it.

        A failed call is logged and not raised.

        Returns:
            How long to wait before the next step.
        """
        try:
            if self.current is not None:
                await self._renew()
            else:
                await self._try_acquire()
        except (errors.PlatformError, errors.OutcomeUnknownError) as error:
            logs.log_event(
                "lease.step_failed", role=self._role, error=str(error)
            )
        return self._choose_pause()

    async def release(self) -> None:
        """Drops the lease and stores the release.

        `current` is None at once. Another process can acquire the lease without
        waiting for its expiry.
        """
        self._set_lease(None)
        for _ in range(_RELEASE_ATTEMPTS):
            try:
                rows = await self._rows.read()
                if rows.is_released or not self._rows.is_own(rows):
                    return
                # A renewal in flight may be applied first. This write then
                # conflicts, and the row is read and released again.
                result = await self._rows.write_release(
                    rows, self._duration - self._margin
                )
            except (errors.PlatformError, errors.OutcomeUnknownError) as error:
                logs.log_event(
                    "lease.release_failed", role=self._role, error=str(error)
                )
                return
            if isinstance(result, records.Committed):
                logs.log_event(
                    "lease.released", role=self._role, token=rows.record.token
                )
                return

    async def _renew(self) -> None:
        lease = self.current
        if lease is None:
            return
        record = dataclasses.replace(
            self._record, renewals=self._record.renewals + 1
        )
        sent = self._clock.monotonic()
        result = await self._rows.write_renewal(
            record, self._lease_version, lease.valid_until - sent
        )
        if isinstance(result, records.Conflict):
            self._set_lease(None)
            logs.log_event("lease.lost", role=self._role, token=lease.token)
            return
        # A response that arrives after the lease has expired doesn't extend it:
        # tasks of the role have been stopped and restart under a new token.
        if self.current is None:
            return
        self._lease_version += 1
        self._record = record
        valid_until = sent + self._duration - self._margin
        self._lease = dataclasses.replace(lease, valid_until=valid_until)

    async def _try_acquire(self) -> None:
        self._set_lease(None)
        rows = await self._rows.read()
        self._observer.note(rows.lease_row.version)
        if self._may_take_over(rows):
            await self._take_over(rows)

    def _may_take_over(self, rows: lease_rows.LeaseRows) -> bool:
        if rows.is_unused or rows.is_released or self._rows.is_own(rows):
            return True
        idle = self._observer.measure_idle(rows.lease_row.version)
        return idle >= self._duration + self._margin

    async def _take_over(self, rows: lease_rows.LeaseRows) -> None:
        token = rows.next_token
        record = lease_rows.LeaseRecord(self._holder_id, token, 0)
        sent = self._clock.monotonic()
        result = await self._rows.write_takeover(
            rows, record, self._duration - self._margin
        )
        if isinstance(result, records.Conflict):
            return
        self._lease_version = rows.lease_row.version + 1
        self._record = record
        lease = Lease(
            role=self._role,
            token=token,
            fence_version=rows.fence_row.version + 1,
            valid_until=sent + self._duration - self._margin,
        )
        self._set_lease(lease)
        logs.log_event("lease.acquired", role=self._role, token=token)

    def _choose_pause(self) -> datetime.timedelta:
        pause = _POLL_INTERVAL * self._random.uniform(0.8, 1.2)
        if self.current is not None:
            return pause
        idle = self._observer.measure_idle(self._observer.version)
        remaining = self._duration + self._margin - idle
        return min(pause, remaining) if remaining > _ZERO else pause

    def _set_lease(self, lease: Lease | None) -> None:
        if lease is None and self._lease is None:
            return
        self._lease = lease
        self._changed.set()
        self._changed = anyio.Event()


class FencedTable:
    """Conditions each transaction on a lease's fence; implements `Table`."""

    __slots__ = ("_keeper", "_table")

    def __init__(self, table: tables.Table, keeper: LeaseKeeper) -> None:
        self._table = table
        self._keeper = keeper

    async def transact(
        self, transaction: records.Transaction
    ) -> records.TransactionResult:
        """Applies a transaction if the lease is still held.

        See `Table.transact`.

        Raises:
            LeaseLostError: The lease isn't held, or another process has
                acquired it; nothing was applied by this call.
        """
        lease = self._keeper.current
        if lease is None:
            raise errors.LeaseLostError(
                f"the lease of role {self._keeper.role} isn't held; wait until "
                "it is acquired before writing"
            )
        key = lease_rows.make_fence_key(lease.role)
        # The store reports the first conflict, so the fence comes first.
        fence = records.Condition(key, lease.fence_version)
        fenced = records.Transaction(
            transaction.write_id,
            (fence, *transaction.conditions),
            transaction.writes,
        )
        result = await self._table.transact(fenced)
        match result:
            case records.Conflict(key=found) if found == key:
                self._keeper.note_lost(lease.token)
                raise errors.LeaseLostError(
                    f"the lease of role {lease.role} with token "
                    f"{lease.token} was acquired by another process; stop "
                    "acting in the role"
                )
        return result

    async def read(self, keys: tuple[str, ...]) -> tuple[records.Row, ...]:
        """Reads rows by key; see `Table.read`."""
        return await self._table.read(keys)

    async def scan(
        self, prefix: str, after_key: str = "", after_revision: int = 0
    ) -> records.ScanPage:
        """Reads a page of rows; see `Table.scan`."""
        return await self._table.scan(prefix, after_key, after_revision)


async def _sleep_then_cancel(
    clock: clock_lib.Clock,
    duration: datetime.timedelta,
    scope: anyio.CancelScope,
) -> None:
    await clock.sleep(duration)
    scope.cancel()
