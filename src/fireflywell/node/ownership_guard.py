"""Blocks orders to workers and for VMs after a node's lease has expired."""

import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import heartbeat as heartbeat_lib
from fireflywell.node import ownership
from fireflywell.node import tables
from fireflywell.telemetry import logs

# Time limits of the write that confirms the ownership. No order is given before
# its answer, so the first limit is short in case the answer is lost. It doubles
# with each failure, because a slow store takes longer to answer.
_FIRST_TIMEOUT = datetime.timedelta(milliseconds=200)
_LONGEST_TIMEOUT = datetime.timedelta(milliseconds=1600)


class OwnershipGuard:
    """Checks that an owner still owns its service before it gives orders.

    After this node's lease has expired, another node may claim the service.
    Renewing the lease doesn't bring the ownership back, and the follower of
    the owner rows may deliver the change only after the renewal. Ownership is
    therefore confirmed by a write before the next order. The write fails if
    another node has claimed the service. As its row is a condition of claims,
    it also makes claims fail that were sent before and are applied late.
    """

    __slots__ = (
        "_clock",
        "_confirmed_at",
        "_heartbeat",
        "_store",
        "_tenure",
        "_timeout",
    )

    def __init__(
        self,
        tenure: ownership.Tenure,
        store: row_store.RowStore,
        heartbeat: heartbeat_lib.Heartbeat,
        clock: clock_lib.Clock,
    ) -> None:
        self._tenure = tenure
        self._store = store
        self._heartbeat = heartbeat
        self._clock = clock
        # The claim confirms the ownership as of its call. Another node may have
        # claimed the service before its answer was processed.
        self._confirmed_at = tenure.claimed_at
        self._timeout = _FIRST_TIMEOUT

    @property
    def permits_orders(self) -> bool:
        """Whether the lease is valid and ownership was confirmed under it."""
        return self._heartbeat.is_valid and self._is_confirmed()

    def permits_renewals(self, grace: datetime.timedelta) -> bool:
        """Whether leases of runs may be renewed, up to a time after the lapse.

        A valid lease that was renewed after a lapse doesn't permit it before
        ownership is confirmed.
        """
        return self._is_confirmed() and self._heartbeat.measure_lapse() < grace

    async def confirm(self) -> bool:
        """Writes a confirmation if the lease has expired since the last one.

        Returns:
            False if the owner row has changed: another node owns the service
            or has owned it. True otherwise, also while the lease is expired.

        Raises:
            PlatformError: The store doesn't answer.
        """
        if self.permits_orders or not self._heartbeat.is_valid:
            return True
        started = self._clock.monotonic()
        row_key = tables.locate_confirmation(self._tenure.service)
        value = self._heartbeat.incarnation.encode()
        write = row_store.Transaction(
            (self._tenure.make_condition(),), (row_store.Put(row_key, value),)
        )
        try:
            result = await self._store.transact(write, self._timeout)
        except errors.PlatformError:
            self._timeout = min(2 * self._timeout, _LONGEST_TIMEOUT)
            raise
        self._timeout = _FIRST_TIMEOUT
        match result:
            case row_store.Conflict():
                self._log_loss()
                return False
            case row_store.Committed(version=version):
                logs.log_event(
                    "ownership.confirmed",
                    service=self._tenure.service,
                    version=version,
                )
                self._confirmed_at = started
                return True

    async def verify(self) -> bool:
        """Checks the ownership by a write, which reads that are behind can't.

        If the write is applied, any claim of another node is made after it. A
        new owner that waits for the lease before its first order thus gives
        none before this node's lease, and so the orders that follow on the
        check, have ended.

        Returns:
            False if another node owns the service or has owned it.

        Raises:
            PlatformError: The store doesn't answer.
        """
        result = await self._store.transact(
            row_store.Transaction(
                (self._tenure.make_condition(),),
                (
                    row_store.Put(
                        tables.locate_check(self._tenure.service), b""
                    ),
                ),
            )
        )
        if isinstance(result, row_store.Conflict):
            self._log_loss()
            return False
        return True

    def _is_confirmed(self) -> bool:
        """Returns whether ownership was confirmed since the last lapse."""
        since = self._heartbeat.valid_since
        return (
            since is not None
            and self._confirmed_at is not None
            and since <= self._confirmed_at
        )

    def _log_loss(self) -> None:
        logs.log_event("ownership.lost", service=self._tenure.service, owner="")
