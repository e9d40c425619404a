"""Claims, keeps and hands over the homes of instances."""

from collections.abc import Callable
import dataclasses
import datetime
import random

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.bundle import holder as holder_lib
from fireflywell.entry import home_store
from fireflywell.entry import instance_status
from fireflywell.entry import termination_detector
from fireflywell.fleet import instances as instances_lib
from fireflywell.fleet import view as view_lib
from fireflywell.infrastructure import machines
from fireflywell.infrastructure import tables
from fireflywell.membership import links as links_lib
from fireflywell.membership import messages
from fireflywell.requests import home_planner
from fireflywell.requests import home_records
from fireflywell.requests import home_view
from fireflywell.requests import homes
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import logs

_INTERVAL = datetime.timedelta(seconds=1)
# While a handover waits for exchanges to end, no one sends to the instance.
_HANDOVER_INTERVAL = datetime.timedelta(milliseconds=100)
# Peers are heard within this time, so that the first entry to start doesn't
# claim what the others are about to.
_SETTLE_TIME = datetime.timedelta(seconds=3)
_STATUS_READS = 8
# A link's queue holds 512 messages; peers read the rest from the store.
_NOTICES_TO_NEW_PEER = 256


@dataclasses.dataclass(frozen=True, slots=True)
class HomeManagerDependencies:
    """What a home manager reads and writes.

    Attributes:
        links: Links to the peers.
        table: Table service.
        vm_list: The platform's list, which must contain the system's VMs too.
        view: What is known of the fleet.
        holder: The bundle in force.
        status: Reads the status pages of instances.
        count_in_progress: Returns how many requests this entry has on an
            instance. A request must count from the moment at which `is_home`
            was asked for it, without a task switch in between.
    """

    links: links_lib.PeerLinks
    table: tables.Table
    vm_list: machines.VmList
    view: view_lib.FleetView
    holder: holder_lib.BundleHolder
    status: instance_status.StatusReader
    count_in_progress: Callable[[str], int]


class HomeManager:
    """Runs the decisions of `requests.homes` against the store and peers.

    It must not run before this process's membership listener is bound, and
    the listener must stay bound until the process ends: rows that name former
    processes at this address are taken over because nobody else listens here.
    """

    __slots__ = (
        "_announced",
        "_home_table",
        "_clock",
        "_termination_detector",
        "_instances",
        "_is_leaving",
        "_known_peers",
        "_next_poll",
        "_own",
        "_random",
        "_settled_at",
        "_dependencies",
        "_store",
        "_zone",
    )

    def __init__(
        self,
        dependencies: HomeManagerDependencies,
        zone: str,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        links = dependencies.links
        self._dependencies = dependencies
        self._zone = zone
        self._clock = clock
        self._random = rng
        self._own = home_records.EntryId(links.address, links.incarnation)
        self._home_table = homes.HomeTable(self._own)
        self._store = home_store.HomeStore(
            self._home_table, dependencies.table, clock, rng
        )
        self._termination_detector = termination_detector.TerminationDetector(
            self._own, dependencies.vm_list, clock
        )
        self._instances: dict[str, instances_lib.Instance] = {}
        self._announced: dict[str, int] = {}
        self._known_peers: frozenset[home_records.EntryId] = frozenset()
        self._is_leaving = False
        self._settled_at = clock.monotonic() + _SETTLE_TIME
        self._next_poll = datetime.timedelta()
        links.subscribe(self._receive)

    @property
    def has_handovers(self) -> bool:
        """Whether a handover to another entry isn't finished."""
        return bool(self._home_table.list_handovers())

    def is_home(self, instance_id: str) -> bool:
        """Whether this entry may send to the instance now."""
        return self._home_table.is_home(instance_id)

    def usable_slots(self, instance_id: str) -> int:
        """Returns how many requests this entry may have on the instance.

        After a takeover, slots that the former home's requests may still use
        are left out, and all of them until the status page was read.
        """
        instance = self._instances.get(instance_id)
        busy = self._home_table.count_slots_of_former_home(instance_id)
        if instance is None or busy is None or not self.is_home(instance_id):
            return 0
        return max(0, instance.slots - busy)

    def find_home(self, instance_id: str) -> messages.HomeNotice | None:
        """Returns the home of an instance as far as known."""
        known = self._home_table.find_known_home(instance_id)
        if known is None:
            return None
        return _make_notice(instance_id, known.owner, known.epoch)

    async def run(self) -> None:
        """Keeps the homes until cancelled."""
        await supervisor_lib.Supervisor(
            "homes",
            self._clock,
            self._random,
            (
                supervisor_lib.Child(
                    "keeper", self._keep, policies.RestartWithBackoff()
                ),
                supervisor_lib.Child(
                    "statuses",
                    self._watch_statuses,
                    policies.RestartWithBackoff(),
                ),
            ),
        ).run()

    async def hand_over_all(self) -> None:
        """Gives all homes to other entries and claims none any more.

        Returns when every receiver has accepted. The caller bounds the time:
        without a living successor, or without the store to name one, a home
        stays until the process ends.
        """
        self.set_leaving(True)
        while self._home_table.list_held() or self.has_handovers:
            await self._clock.sleep(_HANDOVER_INTERVAL)

    def set_leaving(self, is_leaving: bool) -> None:
        """Starts to give all homes away, or ends that."""
        self._is_leaving = is_leaving

    async def step(self) -> None:
        """Does one round: reads, decides, writes and tells the peers."""
        self._note_fleet()
        await self._store.poll()
        await self._termination_detector.check_vm_list(self._find_silent())
        if self._store.is_reachable:
            await self._store.resend()
            await self._write_rows()
        self.advance_handovers()
        self._announce()

    def advance_handovers(self) -> None:
        """Starts, continues and repeats handovers; needs no store."""
        view = self._observe()
        alive = {one.entry for one in view.candidates}
        for move in view.moves:
            if move.receiver in alive:
                self._home_table.start_handover(move.instance_id, move.receiver)
        for instance_id in self._home_table.list_handovers():
            count = self._dependencies.count_in_progress(instance_id)
            receiver = self._home_table.find_receiver(instance_id)
            step = self._home_table.advance_handover(
                instance_id, count, receiver in alive
            )
            if step is not None:
                self._dependencies.links.send(
                    step.receiver.address,
                    messages.HandOver(
                        instance_id, step.epoch, step.receiver.incarnation
                    ),
                )

    async def read_status(self, instance_id: str) -> None:
        """Reads an instance's status page after a takeover."""
        instance = self._instances.get(instance_id)
        if instance is None:
            return
        epoch = self._home_table.describe(instance_id).held
        try:
            count = await self._dependencies.status.read_in_progress(instance)
        except errors.PlatformError as error:
            logs.log_event(
                "homes.status_failed", instance=instance_id, error=str(error)
            )
            return
        if epoch and self._home_table.describe(instance_id).held == epoch:
            self._home_table.apply_status(instance_id, count)

    async def _keep(self) -> None:
        while True:
            if self._clock.monotonic() >= self._next_poll:
                jitter = self._random.uniform(0.8, 1.2)
                await self.step()
                self._next_poll = self._clock.monotonic() + _INTERVAL * jitter
            else:
                self.advance_handovers()
                self._announce()
            await self._clock.sleep(_HANDOVER_INTERVAL)

    async def _watch_statuses(self) -> None:
        limiter = anyio.CapacityLimiter(_STATUS_READS)

        async def read_limited(instance_id: str) -> None:
            async with limiter:
                await self.read_status(instance_id)

        next_read = datetime.timedelta()
        while True:
            # A first status is read at once: until then no slot is usable.
            is_due = self._clock.monotonic() >= next_read
            if is_due:
                next_read = self._clock.monotonic() + _INTERVAL
            async with anyio.create_task_group() as group:
                for instance_id in self._home_table.list_held():
                    busy = self._home_table.count_slots_of_former_home(
                        instance_id
                    )
                    if busy is None or (busy and is_due):
                        group.start_soon(read_limited, instance_id)
            await self._clock.sleep(_HANDOVER_INTERVAL)

    def _note_fleet(self) -> None:
        view = self._dependencies.view
        self._instances = {
            instance.instance_id: instance
            for instance in view.list_instances(self._dependencies.holder)
        }
        peers = self._dependencies.links.list_peers()
        self._termination_detector.update_peers(peers)
        alive = frozenset(
            home_records.EntryId(peer.address, peer.incarnation)
            for peer in peers
            if peer.state is links_lib.PeerState.ALIVE
        )
        if not self._store.is_reachable:
            for entry in alive - self._known_peers:
                self._tell_all(entry.address)
        self._known_peers = alive

    def _find_silent(self) -> frozenset[home_records.EntryId]:
        return self._home_table.list_referenced_processes() - self._known_peers

    async def _write_rows(self) -> None:
        view = self._observe()
        for instance_id in tuple(self._instances):
            # Messages may come during each write, so the state is read anew.
            state = self._home_table.describe(instance_id)
            write = home_planner.plan_write(instance_id, state, view)
            if write is not None:
                await self._store.write(write)
            if not self._store.is_reachable:
                return

    def _observe(self) -> home_records.HomeView:
        hosts = {vm.address for vm in self._dependencies.view.vms}
        candidates = tuple(
            one for one in self._list_candidates() if one.entry.host in hosts
        )
        return home_view.build_home_view(
            self._own,
            self._home_table,
            self._instances.values(),
            candidates,
            self._termination_detector.list_terminated(
                self._home_table.list_referenced_processes()
            ),
            self._is_leaving,
        )

    def _list_candidates(self) -> tuple[home_records.Candidate, ...]:
        others = tuple(
            home_records.Candidate(
                home_records.EntryId(peer.address, peer.incarnation), peer.zone
            )
            for peer in self._dependencies.links.list_peers()
            if peer.state is links_lib.PeerState.ALIVE
            and peer.role is messages.Role.ENTRY
            and not peer.is_leaving
        )
        if self._is_leaving or self._clock.monotonic() < self._settled_at:
            return others
        return (*others, home_records.Candidate(self._own, self._zone))

    def _receive(
        self, peer: links_lib.PeerView, message: messages.Message
    ) -> None:
        sender = home_records.EntryId(peer.address, peer.incarnation)
        match message:
            case messages.HomeNotice() as notice:
                owner = home_records.EntryId(notice.address, notice.incarnation)
                self._home_table.apply_home_notice(
                    notice.instance_id, owner, notice.epoch
                )
            case messages.HandOver() as offer:
                self._answer_handover(peer.address, offer)
            case messages.HandOverAccepted() as answer:
                self._home_table.complete_handover(
                    answer.instance_id, answer.epoch, sender
                )

    def _answer_handover(self, address: str, offer: messages.HandOver) -> None:
        if self._home_table.accept_handover(
            offer.instance_id, offer.epoch, offer.receiver, self._is_leaving
        ):
            answer = messages.HandOverAccepted(offer.instance_id, offer.epoch)
            self._dependencies.links.send(address, answer)
            self._announce()

    def _announce(self) -> None:
        """Tells all peers of the homes that are new here."""
        held = {
            instance_id: self._home_table.describe(instance_id).held
            for instance_id in self._home_table.list_held()
        }
        for instance_id, epoch in held.items():
            if self._announced.get(instance_id) != epoch:
                logs.log_event(
                    "homes.became_home", instance=instance_id, epoch=epoch
                )
                self._dependencies.links.broadcast(
                    _make_notice(instance_id, self._own, epoch)
                )
        self._announced = held

    def _tell_all(self, address: str) -> None:
        for instance_id in self._home_table.list_held()[:_NOTICES_TO_NEW_PEER]:
            epoch = self._home_table.describe(instance_id).held
            self._dependencies.links.send(
                address, _make_notice(instance_id, self._own, epoch)
            )


def _make_notice(
    instance_id: str, owner: home_records.EntryId, epoch: int
) -> messages.HomeNotice:
    return messages.HomeNotice(
        instance_id, owner.address, owner.incarnation, epoch
    )
