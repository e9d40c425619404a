"""Simulates entries with home managers, their network and the store."""

from collections.abc import Coroutine
import dataclasses
import datetime
import random
from typing import Any

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import model
from fireflywell.entry import home_manager
from fireflywell.fleet import instances as instances_lib
from fireflywell.fleet import view as view_lib
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records
from fireflywell.membership import links
from fireflywell.membership import messages
from fireflywell.standins import table_store

ZONES = ("a", "b", "c")
_STARTUP_DELAY = datetime.timedelta(seconds=4)


def run_sync(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Runs a coroutine that must not suspend."""
    try:
        coroutine.send(None)
    except StopIteration as done:
        return done.value
    raise AssertionError("the coroutine waits")


class EntryTable:
    """One entry's client of the shared table, with faults.

    Attributes:
        is_cut: Whether calls fail without running.
        loses_answers: Whether transactions run and their answers get lost.
        delays: Whether transactions stay on their way until `deliver`.
        on_way: Transactions that the store hasn't received yet.
    """

    def __init__(self, table: table_store.MemoryTable) -> None:
        self._table = table
        self.is_cut = False
        self.loses_answers = False
        self.delays = False
        self.on_way: list[records.Transaction] = []

    async def transact(
        self, transaction: records.Transaction
    ) -> records.TransactionResult:
        """Applies, delays or refuses a transaction."""
        self._check()
        if self.delays:
            self.on_way.append(transaction)
            raise errors.AnswerLostError("on its way")
        result = await self._table.transact(transaction)
        if self.loses_answers:
            raise errors.AnswerLostError("lost")
        return result

    async def read(self, keys: tuple[str, ...]) -> tuple[records.Row, ...]:
        """Reads rows."""
        self._check()
        return await self._table.read(keys)

    async def scan(
        self, prefix: str, after_key: str = "", after_revision: int = 0
    ) -> records.ScanPage:
        """Reads a page of rows."""
        self._check()
        return await self._table.scan(prefix, after_key, after_revision)

    def deliver(self, index: int) -> None:
        """Lets a delayed transaction reach the store."""
        run_sync(self._table.transact(self.on_way.pop(index)))

    def _check(self) -> None:
        if self.is_cut:
            raise errors.PlatformUnavailableError("cut off")


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """A message in flight between two processes."""

    sender: "Process"
    receiver: "Process"
    message: messages.Message


class Process:
    """One entry process; implements `links.PeerLinks` for its manager."""

    def __init__(self, network: "Network", number: int, start: int) -> None:
        self.network = network
        self.address = f"10.0.0.{number}:7000"
        self.incarnation = f"{number}-{start}"
        self.start = start
        self.zone = ZONES[-number % len(ZONES)]
        self.is_alive = True
        self.in_progress: dict[str, int] = {}
        self.peers: dict[str, links.PeerView] = {}
        self.starts: dict[str, int] = {}
        self.handlers: list[links.MessageHandler] = []
        self.table = EntryTable(network.table)
        self.holder = holder_lib.BundleHolder()
        self.holder.adopt(network.bundle)
        self.view = view_lib.FleetView()
        self.note_fleet()
        self.manager = home_manager.HomeManager(
            home_manager.HomeManagerDependencies(
                links=self,  # type: ignore[arg-type]
                table=self.table,
                vm_list=network,  # type: ignore[arg-type]
                view=self.view,
                holder=self.holder,
                status=network,
                count_in_progress=lambda key: self.in_progress.get(key, 0),
            ),
            self.zone,
            network.clock,
            random.Random(start),
        )
        network.clock.advance(_STARTUP_DELAY)

    def note_fleet(self) -> None:
        """Applies the platform's VM list to the fleet view."""
        self.view.set_vms(run_sync(self.network.list_vms()))
        for number in range(self.network.instances):
            record = vm_records.VmRecord(f"vm{number}", "pool")
            self.view.set_assignment(record)

    def list_peers(self) -> tuple[links.PeerView, ...]:
        """Returns the peers that sent a message so far."""
        return tuple(self.peers.values())

    def subscribe(self, handler: links.MessageHandler) -> None:
        """Adds a handler."""
        self.handlers.append(handler)

    def send(self, address: str, message: messages.Message) -> None:
        """Sends a message to the process that is now at the address."""
        receiver = self.network.processes.get(address)
        if receiver is not None and receiver is not self:
            envelope = Envelope(self, receiver, message)
            self.network.on_way.append(envelope)

    def broadcast(self, message: messages.Message) -> None:
        """Sends a message to all processes."""
        for address in self.network.processes:
            self.send(address, message)

    def hear(self, peer: "Process") -> None:
        """Marks a peer as alive unless a later process replaced it."""
        if self.starts.get(peer.address, -1) > peer.start:
            return
        self.starts[peer.address] = peer.start
        self.peers[peer.address] = links.PeerView(
            peer.address,
            peer.zone,
            messages.Role.ENTRY,
            peer.incarnation,
            links.PeerState.ALIVE,
            True,
            False,
            1,
            (),
        )

    def lose(self, address: str) -> None:
        """Marks a peer as suspect."""
        view = self.peers.get(address)
        if view is not None:
            state = links.PeerState.SUSPECT
            self.peers[address] = dataclasses.replace(view, state=state)

    def receive(self, envelope: Envelope) -> None:
        """Handles a message unless a later process replaced its sender."""
        sender = envelope.sender
        if self.starts.get(sender.address, -1) > sender.start:
            return
        self.hear(sender)
        for handler in self.handlers:
            handler(self.peers[sender.address], envelope.message)

    def step(self) -> None:
        """Runs one round of the manager."""
        run_sync(self.manager.step())
        for instance_id in self.network.instance_ids:
            if self.manager.is_home(instance_id):
                run_sync(self.manager.read_status(instance_id))


class Network:
    """All processes, the store, the platform's list and the instances."""

    def __init__(self, entries: int = 3, instances: int = 3) -> None:
        self.clock = clock_lib.ManualClock()
        self.table = table_store.MemoryTable()
        self.instances = instances
        self.instance_ids = [f"quotes@vm{n}" for n in range(instances)]
        self.bundle = model.Bundle(
            version=1,
            signing=model.Signing(1, ()),
            pools=(model.Pool("pool", 1),),
            services=(model.Service("quotes", "pool", 80, model.Budget(0)),),
            classes=(model.RequestClass("quick", 1.0),),
            teams=(model.Team("sales"),),
        )
        self.hosts = {f"10.0.0.{number}" for number in range(entries)}
        self.processes: dict[str, Process] = {}
        self.on_way: list[Envelope] = []
        self.busy: dict[str, int] = {}
        self.starts = 0
        for number in range(entries):
            self.start(number)

    def start(self, number: int) -> Process:
        """Starts a process; the former one at the address has ended."""
        self.starts += 1
        process = Process(self, number, self.starts)
        self.processes[process.address] = process
        return process

    def kill(self, process: Process) -> None:
        """Ends a process; its requests stay on the instances."""
        process.is_alive = False
        for instance_id, count in process.in_progress.items():
            busy = self.busy.get(instance_id, 0)
            self.busy[instance_id] = busy + count
        if self.processes.get(process.address) is process:
            del self.processes[process.address]

    def list_living(self) -> tuple[Process, ...]:
        """Returns the processes that run or are paused."""
        return tuple(self.processes.values())

    def find_homes(self, instance_id: str) -> tuple[str, ...]:
        """Returns all living processes that send to an instance."""
        return tuple(
            process.incarnation
            for process in self.list_living()
            if process.manager.is_home(instance_id)
        )

    def settle(self, rounds: int = 30) -> None:
        """Runs all processes for some rounds without faults."""
        for _ in range(rounds):
            for process in self.list_living():
                process.note_fleet()
                for address in tuple(process.peers):
                    if address not in self.processes:
                        process.lose(address)
                for peer in self.list_living():
                    if peer is not process:
                        process.hear(peer)
                process.step()
            self.deliver_all()
            self.clock.advance(datetime.timedelta(seconds=2))

    def deliver_all(self) -> None:
        """Delivers all messages in flight."""
        while self.on_way:
            envelope = self.on_way.pop(0)
            if envelope.receiver.is_alive:
                envelope.receiver.receive(envelope)

    async def list_vms(self) -> tuple[records.Vm, ...]:
        """Returns the platform's VM list."""
        live = records.VmState.LIVE
        system = (
            records.Vm(f"sys-{host}", host, "a", "r0", live, 1)
            for host in sorted(self.hosts)
        )
        serving = (
            records.Vm(f"vm{n}", f"10.1.0.{n}", ZONES[n % 3], f"r{n}", live, 1)
            for n in range(self.instances)
        )
        return (*system, *serving)

    async def read_in_progress(self, instance: instances_lib.Instance) -> int:
        """Returns an instance's status."""
        key = instance.instance_id
        return self.busy.get(key, 0) + sum(
            process.in_progress.get(key, 0) for process in self.list_living()
        )
