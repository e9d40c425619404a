"""Collects proof that other processes have ended."""

import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.infrastructure import machines
from fireflywell.membership import links
from fireflywell.requests import home_records
from fireflywell.telemetry import logs

_READ_INTERVAL = datetime.timedelta(seconds=2)
_ABSENT_READS = 2


class TerminationDetector:
    """Knows which processes surely run no more.

    A process is dead when a later one was heard at its address, or when its
    VM was absent from two reads of the platform's list. A read counts only if
    it lists this process's own VM, because a list that doesn't is no list of
    the system's VMs.
    """

    __slots__ = (
        "_absent_reads",
        "_clock",
        "_heard",
        "_next_read",
        "_own_host",
        "_replaced",
        "_vm_list",
    )

    def __init__(
        self,
        own: home_records.EntryId,
        vm_list: machines.VmList,
        clock: clock_lib.Clock,
    ) -> None:
        self._own_host = own.host
        self._vm_list = vm_list
        self._clock = clock
        self._heard: dict[str, home_records.EntryId] = {}
        self._replaced: set[home_records.EntryId] = set()
        self._absent_reads: dict[str, int] = {}
        self._next_read = datetime.timedelta()

    def update_peers(self, peers: tuple[links.PeerView, ...]) -> None:
        """Notes which process is the latest at each address."""
        for peer in peers:
            entry = home_records.EntryId(peer.address, peer.incarnation)
            former = self._heard.get(peer.address)
            if former is not None and former != entry:
                self._replaced.add(former)
            self._heard[peer.address] = entry
            if peer.state is links.PeerState.ALIVE:
                self._absent_reads.pop(entry.host, None)

    async def check_vm_list(
        self, silent: frozenset[home_records.EntryId]
    ) -> None:
        """Reads the platform's list if processes aren't heard."""
        now = self._clock.monotonic()
        if not silent or now < self._next_read:
            return
        self._next_read = now + _READ_INTERVAL
        try:
            vms = await self._vm_list.list_vms()
        except errors.PlatformError as error:
            logs.log_event("homes.vm_list_failed", error=str(error))
            return
        hosts = {vm.address for vm in vms}
        if self._own_host not in hosts:
            logs.log_event("homes.own_vm_not_listed", host=self._own_host)
            return
        for host in {entry.host for entry in silent}:
            if host in hosts:
                self._absent_reads.pop(host, None)
            else:
                reads = self._absent_reads.get(host, 0) + 1
                self._absent_reads[host] = reads

    def list_terminated(
        self, processes: frozenset[home_records.EntryId]
    ) -> frozenset[home_records.EntryId]:
        """Returns those of the processes that surely ended."""
        return frozenset(
            entry
            for entry in processes
            if entry in self._replaced
            or self._absent_reads.get(entry.host, 0) >= _ABSENT_READS
        )
