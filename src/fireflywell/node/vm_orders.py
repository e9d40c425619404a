"""Sends orders for VMs and remembers those whose outcome is unknown."""

from collections.abc import Awaitable
import datetime
import enum
from typing import Protocol

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.node import ownership_guard
from fireflywell.scheduling import maintenance
from fireflywell.telemetry import logs

# An order for the same VM is sent again after this time at the earliest, unless
# it surely wasn't carried out because of the rate limit.
_REPEAT_INTERVAL = datetime.timedelta(milliseconds=700)


class FleetClient(Protocol):
    """Calls to the platform's interface for VMs.

    All methods raise `PlatformUnavailableError` if nothing was changed and
    `AnswerLostError` if the order may have been carried out.
    """

    async def list_vms(self) -> tuple[maintenance.Vm, ...]:
        """Returns the listed VMs.

        A VM that isn't among them may exist: the list may be read in pages at
        different moments, between which VMs are removed or move.
        """

    async def begin_maintenance(
        self, vm_id: str, wave: int, token: int
    ) -> maintenance.VmRefusal | None:
        """Starts the maintenance of a VM.

        Returns:
            Why the platform refused the order; None if it was accepted.
        """

    async def move(
        self, vm_id: str, pool: str, token: int
    ) -> maintenance.VmRefusal | None:
        """Moves a VM to another pool.

        Returns:
            Why the platform refused the order; None if it was accepted.
        """


class OrderOutcome(enum.Enum):
    """Outcome of an order for a VM."""

    BEGUN = enum.auto()  # The platform carries it out or has done so.
    POSTPONED = enum.auto()  # It has to be sent again.
    REFUSED = enum.auto()  # The platform will never carry it out.
    NO_SUCH_VM = enum.auto()  # The platform has no such VM any more.


class VmOrders:
    """Sends one tenure's orders for VMs, one at a time for each VM.

    Moves and waves send orders side by side. Each order is checked right
    before it is sent, because the tasks wait for other answers in between.

    An order without an answer may still be carried out. That its repeat is
    refused because of the rate limit or the VM's state doesn't change this, so
    only an accepted or invalid repeat settles it.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_guard",
        "_in_progress",
        "_sent_at",
        "_token",
        "_unanswered",
    )

    def __init__(
        self,
        client: FleetClient,
        guard: ownership_guard.OwnershipGuard,
        token: int,
        clock: clock_lib.Clock,
    ) -> None:
        self._client = client
        self._guard = guard
        self._token = token
        self._clock = clock
        # When the last order for each VM was sent, on the monotonic clock.
        self._sent_at: dict[str, datetime.timedelta] = {}
        self._unanswered: set[str] = set()
        # VMs whose order has been sent and may still be answered.
        self._in_progress: set[str] = set()

    def may_send(self, vm_id: str) -> bool:
        """Returns whether an order for a VM may be sent now."""
        if not self._guard.permits_orders or vm_id in self._in_progress:
            return False
        sent_at = self._sent_at.get(vm_id)
        return (
            sent_at is None
            or self._clock.monotonic() - sent_at >= _REPEAT_INTERVAL
        )

    def is_unanswered(self, vm_id: str) -> bool:
        """Returns whether the outcome of an order for a VM is unknown."""
        return vm_id in self._unanswered

    def settle(self, vm_id: str) -> None:
        """Records that the list of VMs shows the outcome of an order."""
        self._unanswered.discard(vm_id)

    async def begin_maintenance(self, vm_id: str, wave: int) -> OrderOutcome:
        """Orders the maintenance of a VM.

        Raises:
            PlatformError: The platform doesn't answer.
        """
        if not self.may_send(vm_id):
            return OrderOutcome.POSTPONED
        refusal = await self._send(
            vm_id, self._client.begin_maintenance(vm_id, wave, self._token)
        )
        logs.log_event(
            "upkeep.ordered",
            machine=vm_id,
            wave=wave,
            token=self._token,
            outcome=str(refusal) if refusal else "begun",
        )
        return _judge(refusal)

    async def move(self, vm_id: str, pool: str) -> OrderOutcome:
        """Orders the move of a VM to another pool.

        Raises:
            PlatformError: The platform doesn't answer.
        """
        if not self.may_send(vm_id):
            return OrderOutcome.POSTPONED
        refusal = await self._send(
            vm_id, self._client.move(vm_id, pool, self._token)
        )
        logs.log_event(
            "vm.move_ordered",
            machine=vm_id,
            pool=pool,
            token=self._token,
            outcome=str(refusal) if refusal else "begun",
        )
        return _judge(refusal)

    async def _send(
        self, vm_id: str, call: Awaitable[maintenance.VmRefusal | None]
    ) -> maintenance.VmRefusal | None:
        self._sent_at[vm_id] = self._clock.monotonic()
        self._in_progress.add(vm_id)
        try:
            refusal = await call
        except errors.AnswerLostError:
            self._unanswered.add(vm_id)
            raise
        finally:
            self._in_progress.discard(vm_id)
        if _judge(refusal) is not OrderOutcome.POSTPONED:
            self._unanswered.discard(vm_id)
        elif refusal is maintenance.VmRefusal.RATE and (
            vm_id not in self._unanswered
        ):
            # The VM may have its turn as soon as the rate allows.
            del self._sent_at[vm_id]
        return refusal


def _judge(refusal: maintenance.VmRefusal | None) -> OrderOutcome:
    match refusal:
        case None:
            return OrderOutcome.BEGUN
        case maintenance.VmRefusal.RATE | maintenance.VmRefusal.BUSY:
            return OrderOutcome.POSTPONED
        case maintenance.VmRefusal.NO_SUCH_VM:
            return OrderOutcome.NO_SUCH_VM
        case _:
            return OrderOutcome.REFUSED
