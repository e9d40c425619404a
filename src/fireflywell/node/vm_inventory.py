"""The platform's list of VMs as a controller of the fleet last read it."""

from collections.abc import Mapping
import dataclasses
import datetime

import anyio

from fireflywell import clock as clock_lib
from fireflywell.node import vm_orders
from fireflywell.scheduling import maintenance
from fireflywell.telemetry import logs

# The list of VMs is read at most this often, unless a fresh one is forced.
_REFRESH_INTERVAL = datetime.timedelta(milliseconds=700)

# A list shows the effect of an order only if it was read at least this long
# after the answer.
_ORDER_VISIBLE_AFTER = datetime.timedelta(milliseconds=700)

# A VM that this many lists in a row lack is taken as missing. That doesn't
# prove that it is gone; it only starts the questions that may prove it.
_LISTS_BEFORE_MISSING = 3

# Time before a listed VM that the platform said it doesn't have is drained
# again. The first pause is short, because a VM that was removed after the list
# was read may come back within the time of its wave.
_FIRST_DENIAL_PAUSE = datetime.timedelta(seconds=5)
_MAX_DENIAL_PAUSE = datetime.timedelta(seconds=60)


@dataclasses.dataclass(frozen=True, slots=True)
class _Denial:
    """The platform's answer that it doesn't have a VM of the last list.

    Attributes:
        pause: How long the VM isn't drained again.
        ends_at: Monotonic time at which the pause ends.
    """

    pause: datetime.timedelta
    ends_at: datetime.timedelta


class VmInventory:
    """Holds the VMs of one tenure and which of them were taken down.

    A VM that a list lacks may exist. Only the platform's answer to an order
    proves that it doesn't, until a later list names it.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_denials",
        "_down",
        "_last_listed",
        "_list_count",
        "_list_started_at",
        "_listed_at",
        "_listed_in",
        "_ordered_at",
        "_orders",
        "_refreshing",
        "_unknown",
        "_vms",
    )

    def __init__(
        self,
        client: vm_orders.FleetClient,
        orders: vm_orders.VmOrders,
        clock: clock_lib.Clock,
    ) -> None:
        self._client = client
        self._orders = orders
        self._clock = clock
        # The VMs of the last list, and each VM as any list showed it last.
        self._vms: dict[str, maintenance.Vm] = {}
        self._last_listed: dict[str, maintenance.Vm] = {}
        # Number of lists so far, and the number of the last one with each VM.
        self._list_count = 0
        self._listed_in: dict[str, int] = {}
        # The last denial of each VM that was listed at the time.
        self._denials: dict[str, _Denial] = {}
        # VMs that the platform said it doesn't have, and when it did.
        self._unknown: dict[str, datetime.timedelta] = {}
        # VMs whose maintenance was accepted and that aren't listed as up yet.
        self._down: set[str] = set()
        self._listed_at: datetime.timedelta | None = None
        # When the read of the last list began.
        self._list_started_at: datetime.timedelta | None = None
        # When the last order for each VM was sent or answered.
        self._ordered_at: dict[str, datetime.timedelta] = {}
        # Moves and waves read the list in tasks of their own. An older list
        # must not replace a newer one.
        self._refreshing = anyio.Lock()

    @property
    def vms(self) -> Mapping[str, maintenance.Vm]:
        """The VMs of the last list by name."""
        return self._vms

    @property
    def known_vms(self) -> dict[str, maintenance.Vm]:
        """The VMs that aren't missing, each as it was listed last, by name."""
        return {
            name: vm
            for name, vm in self._last_listed.items()
            if not self.is_missing(name) and name not in self._unknown
        }

    def find(self, name: str) -> maintenance.Vm | None:
        """Returns a VM of the last list, or None."""
        return self._vms.get(name)

    def find_last_listed(self, name: str) -> maintenance.Vm | None:
        """Returns a VM as a list of this tenure showed it last, or None."""
        return self._last_listed.get(name)

    def is_missing(self, name: str) -> bool:
        """Returns whether several lists in a row lacked a VM."""
        missed = self._list_count - self._listed_in.get(name, 0)
        return missed >= _LISTS_BEFORE_MISSING

    def is_removed(self, name: str) -> bool:
        """Returns whether the platform said that it has no such VM."""
        return name in self._unknown

    def record_removed(self, name: str) -> None:
        """Records that the platform said that it has no such VM."""
        self._unknown[name] = self._clock.monotonic()
        self._down.discard(name)
        if name in self._vms:
            pause = _FIRST_DENIAL_PAUSE
            if name in self._denials:
                pause = min(2 * self._denials[name].pause, _MAX_DENIAL_PAUSE)
            ends_at = self._clock.monotonic() + pause
            self._denials[name] = _Denial(pause, ends_at)
        # Lists from before the answer don't count against it.
        self._vms.pop(name, None)

    def was_denied_lately(self, name: str) -> bool:
        """Returns whether the platform lately denied having a listed VM.

        The next list names the VM again if the answer was wrong. It works for
        some time then, longer after each such answer, before it is drained for
        another order.
        """
        denial = self._denials.get(name)
        return denial is not None and (self._clock.monotonic() < denial.ends_at)

    def is_taken_down(self, name: str) -> bool:
        """Returns whether a VM was taken down and isn't listed as up yet."""
        return name in self._down

    def record_taken_down(self, name: str) -> None:
        """Records that the maintenance of a VM has begun."""
        self.record_order(name)
        self._down.add(name)
        self._denials.pop(name, None)

    def may_be_down(self, name: str) -> bool:
        """Returns whether a VM is or may soon be down for its maintenance.

        A former owner may have taken it down, and an order without an answer
        may still be carried out. That a list lacks the VM changes nothing.
        """
        if name in self._unknown:
            return False
        vm = self._last_listed.get(name)
        return (
            name in self._down
            or (vm is not None and vm.state is maintenance.VmState.UPKEEP)
            or self._orders.is_unanswered(name)
        )

    def record_order(self, name: str) -> None:
        """Records that an order for a VM is sent or was answered.

        The list in memory, and one that is being read, don't show its effect.
        """
        self._ordered_at[name] = self._clock.monotonic()

    def shows_last_order(self, name: str) -> bool:
        """Returns whether the last list was read after a VM's last order."""
        ordered_at = self._ordered_at.get(name)
        return ordered_at is None or (
            self._list_started_at is not None
            and self._list_started_at - ordered_at >= _ORDER_VISIBLE_AFTER
        )

    async def refresh(self, *, force: bool = False) -> None:
        """Reads the list of VMs, unless it was read just before.

        Raises:
            PlatformError: The platform doesn't answer.
        """
        asked_at = self._clock.monotonic()
        async with self._refreshing:
            if self._needs_refresh(asked_at, force):
                await self._read_list()

    def _needs_refresh(self, asked_at: datetime.timedelta, force: bool) -> bool:
        if self._listed_at is None or self._list_started_at is None:
            return True
        if force:
            # Another task may have read the list meanwhile.
            return self._list_started_at <= asked_at
        return self._clock.monotonic() - self._listed_at >= _REFRESH_INTERVAL

    async def _read_list(self) -> None:
        started_at = self._clock.monotonic()
        listed = await self._client.list_vms()
        self._list_started_at = started_at
        # A list from before the platform's answer doesn't count against it.
        vms = {
            vm.name: vm
            for vm in listed
            if self._unknown.get(vm.name, started_at) <= started_at
        }
        former, self._vms = self._vms, vms
        unlisted = sorted(former.keys() - vms.keys())
        if unlisted:
            logs.log_event("fleet.unlisted", vms=unlisted, listed=len(vms))
        self._last_listed.update(vms)
        self._list_count += 1
        self._listed_in.update(dict.fromkeys(vms, self._list_count))
        for name, vm in vms.items():
            self._unknown.pop(name, None)
            if not self.shows_last_order(name):
                continue
            if vm.state is maintenance.VmState.UP:
                self._down.discard(name)
            elif vm.state is maintenance.VmState.UPKEEP:
                self._orders.settle(name)
        self._listed_at = self._clock.monotonic()
