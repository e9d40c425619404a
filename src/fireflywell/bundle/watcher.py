"""Keeps the bundle in force current from the store and from peers."""

import contextlib
import datetime
import random

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.bundle import acceptance
from fireflywell.bundle import adoption
from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import peer_bundles
from fireflywell.bundle import signatures
from fireflywell.coordination import transactions
from fireflywell.infrastructure import objects as objects_lib
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables
from fireflywell.membership import links as links_lib
from fireflywell.membership import messages
from fireflywell.telemetry import logs

_POLL_INTERVAL = datetime.timedelta(seconds=1)
_WAITING_MESSAGES = 256


class BundleWatcher:
    """Polls the head row, listens to peers, verifies, adopts, passes on."""

    __slots__ = (
        "_adopter",
        "_clock",
        "_holder",
        "_inbox",
        "_is_store_down",
        "_links",
        "_objects",
        "_outbox",
        "_peer_bundles",
        "_random",
        "_refused",
        "_revision",
        "_table",
    )

    def __init__(
        self,
        holder: holder_lib.BundleHolder,
        table: tables.Table,
        objects: objects_lib.ObjectStore,
        links: links_lib.PeerLinks,
        anchor: signatures.TrustAnchor,
        peer_count: int,
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        """Subscribes to peers; `run` does the rest.

        Args:
            holder: Gets the bundle in force.
            table: Table service.
            objects: Object store.
            links: Peers.
            anchor: The trust file.
            peer_count: Number of peers in the settings.
            clock: Clock of this process.
            rng: Source of jitter and identifiers.
        """
        self._holder = holder
        self._table = table
        self._objects = objects
        self._links = links
        self._clock = clock
        self._random = rng
        self._adopter = adoption.BundleAdopter(holder, anchor)
        self._peer_bundles = peer_bundles.PeerBundleCollector(peer_count, clock)
        self._is_store_down = False
        self._revision = 0
        self._refused = ""
        self._outbox, self._inbox = anyio.create_memory_object_stream[
            peer_bundles.Received
        ](_WAITING_MESSAGES)
        links.subscribe(self._enqueue)

    @property
    def digest(self) -> str:
        """Digest of the bundle in force, for heartbeats; empty if none."""
        return self._adopter.digest

    async def run(self) -> None:
        """Polls and listens until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._listen)
            await self._poll()

    async def refresh(self) -> None:
        """Reads the head row once and adopts what it shows.

        Raises:
            PlatformError: The store can't be read.
        """
        page = await self._table.scan(
            acceptance.HEAD_KEY, after_revision=self._revision
        )
        if page.revision < self._revision:
            # An old copy, or a store restored from a backup. Reading from
            # the start again tells, and an old head changes nothing.
            self._revision = 0
            return
        for row in page.rows:
            if row.key == acceptance.HEAD_KEY:
                await self._consider_row(row)
        self._is_store_down = False
        if not page.rows and not self._revision and not self._adopter.version:
            self._holder.set_missing_reason(
                "no bundle was accepted yet; run `fireflywell bundle rollout`"
            )

    def handle_outage(self, error: errors.PlatformError) -> None:
        """Notes that the store can't be read, so that peers are relied on."""
        self._is_store_down = True
        logs.log_event("bundle.poll_failed", error=str(error))
        if self._holder.current is None:
            self._holder.set_missing_reason(
                f"the store can't be read; {self._peer_bundles.explain()}"
            )

    async def handle_message(self, received: peer_bundles.Received) -> None:
        """Handles one message of a peer about bundles."""
        address = received.address
        match received.message:
            case messages.Heartbeat(bundle_version=version):
                self._peer_bundles.handle_heartbeat(address, version)
                self._offer_if_behind(address, version)
                self._take_best_of_peers()
            case messages.BundleOffer(head=text):
                record = self._decode_offer(address, text)
                if record is not None:
                    self._consider_offer(address, record)
            case messages.BundleRequest(digest=digest):
                self._send_body(address, digest)
            case messages.BundleBody(head=text, body=body):
                record = self._decode_offer(address, text)
                if record is not None:
                    self._consider_body(address, record, body)
            case _:
                return

    async def _poll(self) -> None:
        while True:
            try:
                await self.refresh()
            except errors.PlatformError as error:
                self.handle_outage(error)
            jitter = self._random.uniform(0.8, 1.2)
            await self._clock.sleep(_POLL_INTERVAL * jitter)

    async def _listen(self) -> None:
        while True:
            await self.handle_message(await self._inbox.receive())

    def _enqueue(
        self, peer: links_lib.PeerView, message: messages.Message
    ) -> None:
        is_ours = isinstance(
            message,
            messages.Heartbeat
            | messages.BundleOffer
            | messages.BundleRequest
            | messages.BundleBody,
        )
        if is_ours:
            # A full queue drops; heartbeats and offers come again.
            with contextlib.suppress(anyio.WouldBlock):
                self._outbox.send_nowait(
                    peer_bundles.Received(peer.address, message)
                )

    async def _consider_row(self, row: records.Row) -> None:
        try:
            record = signatures.decode_record(row.value)
        except errors.BundleSignatureError as error:
            self._note_refusal(f"row {row.key}: {error}")
            return
        match self._adopter.check_head(record):
            case adoption.HeadRejected(reason=reason):
                self._note_refusal(reason)
            case adoption.Wanted():
                if not await self._is_surely_latest(row):
                    return
                await self._fetch_and_adopt(record)
                if self._adopter.version < record.head.version:
                    return
        self._revision = row.revision

    async def _is_surely_latest(self, row: records.Row) -> bool:
        """Whether the row is current, which a read alone can't show.

        Only a process that knows no bundle needs this: it has no version of
        its own that keeps it from taking an old one. An empty transaction is
        committed only if the row still has this version.
        """
        if self._holder.current is not None:
            return True
        probe = records.Transaction(
            transactions.make_write_id(self._random),
            (records.Condition(row.key, row.version),),
            (),
        )
        result = await self._table.transact(probe)
        return isinstance(result, records.Committed)

    async def _fetch_and_adopt(self, record: signatures.HeadRecord) -> None:
        name = acceptance.make_body_name(record.head.digest)
        body = None
        with contextlib.suppress(errors.PlatformError):
            body = await self._objects.get(name)
        if body is None:
            self._links.broadcast(messages.BundleRequest(record.head.digest))
            # The store showed this head, so any peer's body of it will do.
            self._peer_bundles.mark_confirmed(record.head.digest)
            self._holder.set_missing_reason(
                f"the body of bundle version {record.head.version} can't be "
                "read from the object store; it is asked of peers"
            )
            return
        if self._adopt(record, body):
            self._pass_on(record)

    def _adopt(self, record: signatures.HeadRecord, body: bytes) -> bool:
        try:
            is_new = self._adopter.adopt(record, body)
        except errors.BundleError as error:
            self._note_refusal(str(error))
            return False
        if is_new:
            self._refused = ""
            logs.log_event(
                "bundle.adopted",
                version=record.head.version,
                digest=record.head.digest,
            )
        return is_new

    def _consider_offer(
        self, address: str, record: signatures.HeadRecord
    ) -> None:
        match self._adopter.check_head(record):
            case adoption.HeadRejected(reason=reason):
                self._note_refusal(f"offer of peer {address}: {reason}")
            case adoption.Wanted():
                digest = record.head.digest
                if self._peer_bundles.claim_request(digest):
                    self._links.send(address, messages.BundleRequest(digest))

    def _consider_body(
        self, address: str, record: signatures.HeadRecord, body: bytes
    ) -> None:
        is_confirmed = self._peer_bundles.is_confirmed(record.head.digest)
        if self._holder.current is not None or is_confirmed:
            self._adopt(record, body)
            return
        if isinstance(self._adopter.check_head(record), adoption.Wanted):
            self._peer_bundles.keep_best(address, record, body)
            self._take_best_of_peers()

    def _take_best_of_peers(self) -> None:
        """Without a store, adopts the highest that most peers lead to."""
        if self._holder.current is not None or not self._is_store_down:
            return
        best = self._peer_bundles.choose_best()
        if best is not None:
            self._adopt(best.record, best.body)
            return
        self._holder.set_missing_reason(self._peer_bundles.explain())

    def _offer_if_behind(self, address: str, version: int) -> None:
        record = self._adopter.record
        if record is not None and self._peer_bundles.claim_offer(
            address, version, record.head.version
        ):
            self._send_offer(address, record)

    def _pass_on(self, record: signatures.HeadRecord) -> None:
        """Offers a head from the store to all peers that may lack it.

        A head that came from a peer isn't offered to all again, so that the
        messages of one rollout grow with the number of peers, not its square.
        """
        for peer in self._links.list_peers():
            if peer.bundle_version < record.head.version:
                self._send_offer(peer.address, record)

    def _send_offer(self, address: str, record: signatures.HeadRecord) -> None:
        text = signatures.encode_record(record)
        self._links.send(
            address, messages.BundleOffer(record.head.version, text)
        )

    def _send_body(self, address: str, digest: str) -> None:
        record = self._adopter.record
        if record is not None and record.head.digest == digest:
            text = signatures.encode_record(record)
            self._links.send(
                address, messages.BundleBody(text, self._adopter.body)
            )

    def _decode_offer(
        self, address: str, text: str
    ) -> signatures.HeadRecord | None:
        try:
            return signatures.decode_record(text)
        except errors.BundleSignatureError as error:
            self._note_refusal(f"offer of peer {address}: {error}")
            return None

    def _note_refusal(self, reason: str) -> None:
        if reason != self._refused:
            self._refused = reason
            logs.log_event("bundle.refused", reason=reason)
        self._holder.set_missing_reason(reason)
