"""Processes and operators whose calls to the store are run by hand."""

import datetime
import random

from fireflywell import errors
from fireflywell.bundle import acceptance
from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import peer_bundles
from fireflywell.bundle import signatures
from fireflywell.bundle import watcher
from fireflywell.infrastructure import records
from fireflywell.membership import links
from fireflywell.membership import messages
from fireflywell.standins import table_store
from tests import bundle_samples
from tests import stepped_calls

Fate = stepped_calls.Fate
_ROTATED = bundle_samples.make_signing(1, "dan", "eva")


class RecordingLinks(links.NullPeerLinks):
    """Links that keep what is sent, for a number of peers."""

    def __init__(self, address: str, peers: tuple[str, ...]) -> None:
        super().__init__(address, "0" * 32)
        self.sent: list[tuple[str, messages.Message]] = []
        self._peers = peers

    def list_peers(self) -> tuple[links.PeerView, ...]:
        """Returns peers that are behind."""
        return tuple(
            links.PeerView(
                address,
                "a",
                messages.Role.ENTRY,
                "0" * 32,
                links.PeerState.ALIVE,
                True,
                False,
                0,
                (),
            )
            for address in self._peers
        )

    def send(self, address: str, message: messages.Message) -> None:
        """Keeps a message."""
        self.sent.append((address, message))

    def broadcast(self, message: messages.Message) -> None:
        """Keeps a message to each peer."""
        self.sent.extend((address, message) for address in self._peers)


class ViewedTable:
    """A store as one process sees it: current, old or not at all."""

    def __init__(self, store: stepped_calls.Store) -> None:
        self._store = store
        self._old: table_store.MemoryTable | None = None
        self.is_down = False

    def freeze_reads(
        self, old: table_store.MemoryTable | None = None
    ) -> table_store.MemoryTable:
        """Serves reads from an old copy, by default of the present."""
        self._old = old or self._store.table.copy()
        return self._old

    def recover(self) -> None:
        """Ends all faults."""
        self._old = None
        self.is_down = False

    async def transact(
        self, transaction: records.Transaction
    ) -> records.TransactionResult:
        """Applies a transaction."""
        self._check()
        return self._store.apply(transaction)

    async def read(self, keys: tuple[str, ...]) -> tuple[records.Row, ...]:
        """Reads rows."""
        self._check()
        return await (self._old or self._store.table).read(keys)

    async def scan(
        self, prefix: str, after_key: str = "", after_revision: int = 0
    ) -> records.ScanPage:
        """Reads a page."""
        self._check()
        table = self._old or self._store.table
        return await table.scan(prefix, after_key, after_revision)

    def _check(self) -> None:
        if self.is_down:
            raise errors.PlatformUnavailableError("down")


class Process:
    """One process with its view of the store and of two peers."""

    def __init__(
        self,
        number: int,
        time: stepped_calls.TrueTime,
        table: ViewedTable,
        objects: bundle_samples.MemoryObjects,
        count: int = 3,
    ) -> None:
        self.address = f"p{number}"
        self.table = table
        self.holder = holder_lib.BundleHolder()
        peers = tuple(f"p{i}" for i in range(count) if i != number)
        self.links = RecordingLinks(self.address, peers)
        clock = stepped_calls.DriftingClock(time, 1.0, datetime.timedelta())
        self.watcher = watcher.BundleWatcher(
            self.holder,
            table,
            objects,
            self.links,
            bundle_samples.ANCHOR,
            len(peers),
            clock,
            random.Random(number),
        )

    def refresh(self) -> None:
        """Polls the store once."""
        try:
            stepped_calls.run_now(self.watcher.refresh())
        except errors.PlatformError as error:
            self.watcher.handle_outage(error)

    def receive(self, address: str, message: messages.Message) -> None:
        """Handles a peer's message."""
        stepped_calls.run_now(
            self.watcher.handle_message(peer_bundles.Received(address, message))
        )

    def make_heartbeat(self) -> messages.Heartbeat:
        """Returns what the process says each second."""
        version = self.holder.version
        return messages.Heartbeat(1, version, "", True, False)


class Operators:
    """Accepts bundles, one after the other or in a race."""

    def __init__(
        self,
        store: stepped_calls.Store,
        objects: bundle_samples.MemoryObjects,
        time: stepped_calls.TrueTime,
    ) -> None:
        self.store = store
        self.objects = objects
        self.clock = stepped_calls.DriftingClock(
            time, 1.0, datetime.timedelta()
        )
        self.marker = 0

    def read_record(self) -> signatures.HeadRecord | None:
        """Returns what the store truly holds."""
        row = self.store.read(acceptance.HEAD_KEY)
        return signatures.decode_record(row.value) if row.version else None

    def prepare(self) -> bundle_samples.SignedBundle:
        """Signs a successor; the second version brings other signers."""
        self.marker += 1
        record = self.read_record()
        if record is None:
            return bundle_samples.make_signed(1, "", marker=self.marker)
        version = record.head.version + 1
        return bundle_samples.make_signed(
            version,
            record.head.digest,
            ("ann", "ben") if version == 2 else ("dan",),
            _ROTATED,
            self.marker,
        )

    def start(self, signed: bundle_samples.SignedBundle) -> stepped_calls.Task:
        """Starts a rollout, which waits at its first call to the table."""
        return stepped_calls.Task(
            acceptance.accept_bundle(
                stepped_calls.SteppedTable(),
                self.objects,
                signed.body,
                signed.head,
                bundle_samples.ANCHOR,
                self.clock,
                random.Random(self.marker),
            ),
            self.clock,
        )

    def finish(self, task: stepped_calls.Task) -> stepped_calls.Task:
        """Runs a rollout to its end without further faults."""
        while not task.is_done:
            if isinstance(task.call, stepped_calls.SleepCall):
                task.answer(None)
            self.store.serve(task, Fate.SERVED)
        return task
