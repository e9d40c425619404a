"""Fakes and builders shared by the tests of the entry."""

import dataclasses
import datetime
import random

import anyio

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import model
from fireflywell.entry import assembly
from fireflywell.entry import homes as homes_lib
from fireflywell.entry import pause_guard
from fireflywell.fleet import view as view_lib
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables
from fireflywell.membership import links as links_lib
from fireflywell.membership import messages
from fireflywell.requests import classification
from fireflywell.requests import idempotency
from fireflywell.standins import table_store
from fireflywell.telemetry import metrics

CLUSTER_KEY = b"k" * 32


def make_bundle(port: int, **service_options: object) -> model.Bundle:
    """Returns a bundle with one service."""
    service = model.Service(
        "quotes", "quotes", port, model.Budget(0), echoes_request_id=True
    )
    return model.Bundle(
        version=1,
        signing=model.Signing(1, ()),
        pools=(model.Pool("quotes", 1),),
        services=(dataclasses.replace(service, **service_options),),
        classes=(
            model.RequestClass("quick", 1.0),
            model.RequestClass("batch", 1.0, model.ClassKind.LONG),
        ),
        teams=(model.Team("sales"), model.Team("audit")),
    )


def make_view(*addresses: str) -> view_lib.FleetView:
    """Returns a fleet with one VM in the pool for each address."""
    view = view_lib.FleetView()
    view.set_vms(
        tuple(
            records.Vm(f"vm{n}", address, "a", "r1", records.VmState.LIVE, 1)
            for n, address in enumerate(addresses, 1)
        )
    )
    for n in range(1, len(addresses) + 1):
        view.set_assignment(vm_records.VmRecord(f"vm{n}", "quotes"))
    return view


class FakeNetwork:
    """Connects entries in one process; faults are set by the test."""

    def __init__(self) -> None:
        self.links: dict[str, FakeLinks] = {}
        self.unreachable: set[str] = set()
        self.lose_replies_of: set[str] = set()
        self.forwards = 0

    def connect(self, address: str, incarnation: str) -> "FakeLinks":
        """Adds a process, or its next incarnation, to the network."""
        links = FakeLinks(self, address, incarnation)
        self.links[address] = links
        return links


class FakeLinks(links_lib.NullPeerLinks):
    """Links of one process of a `FakeNetwork`."""

    def __init__(
        self, network: FakeNetwork, address: str, incarnation: str
    ) -> None:
        super().__init__(address, incarnation)
        self.network = network
        self.handler: links_lib.ForwardHandler | None = None
        self.message_handlers: list[links_lib.MessageHandler] = []
        self.peers: tuple[links_lib.PeerView, ...] = ()

    def list_peers(self) -> tuple[links_lib.PeerView, ...]:
        """Returns the peers set by the test."""
        return self.peers

    def subscribe(self, handler: links_lib.MessageHandler) -> None:
        """Keeps a handler for the test to call."""
        self.message_handlers.append(handler)

    def set_forward_handler(self, handler: links_lib.ForwardHandler) -> None:
        """Sets what answers forwarded requests."""
        self.handler = handler

    async def forward(
        self, address: str, request: messages.ForwardRequest
    ) -> messages.ForwardReply:
        """Calls the other process's handler unless a fault is set."""
        target = self.network.links.get(address)
        if target is None or address in self.network.unreachable:
            raise errors.PeerUnreachableError(f"{address} is unreachable")
        self.network.forwards += 1
        assert target.handler is not None
        reply = await target.handler(request)
        if address in self.network.lose_replies_of:
            raise errors.AnswerLostError(f"{address}: the reply was lost")
        return reply


def make_peer(
    address: str, incarnation: str, free_slots: int
) -> links_lib.PeerView:
    """Returns the view of a living entry with free slots."""
    return links_lib.PeerView(
        address=address,
        zone="a",
        role=messages.Role.ENTRY,
        incarnation=incarnation,
        state=links_lib.PeerState.ALIVE,
        is_ready=True,
        is_leaving=False,
        bundle_version=1,
        loads=(messages.ServiceLoad("quotes", free_slots, 0),),
    )


def make_entry(
    bundle: model.Bundle,
    view: view_lib.FleetView,
    *,
    links: links_lib.PeerLinks | None = None,
    store: tables.Table | None = None,
    homes: homes_lib.Homes | None = None,
    guard: pause_guard.SendGuard | None = None,
    clock: clock_lib.Clock | None = None,
) -> assembly.EntryParts:
    """Returns an entry with fakes for what isn't given."""
    holder = holder_lib.BundleHolder()
    holder.adopt(bundle)
    return assembly.assemble_entry(
        assembly.EntryContext(
            holder=holder,
            view=view,
            store=store or table_store.MemoryTable(),
            links=links or links_lib.NullPeerLinks("127.0.0.1:1", "0" * 32),
            homes=homes or homes_lib.SingleEntryHomes(),
            guard=guard or pause_guard.NeverPaused(),
            cluster_key=CLUSTER_KEY,
            zone="a",
            clock=clock or clock_lib.SystemClock(),
            rng=random.Random(1),
            metrics=metrics.NullMetrics(),
        )
    )


def make_incoming(
    key: idempotency.IdempotencyKey | None = None,
    body: bytes = b"body",
    method: str = "POST",
    headers: tuple[asgi.Header, ...] = (),
    received_at: datetime.timedelta = datetime.timedelta(),
) -> classification.IncomingRequest:
    """Returns a request; a bound key is also put into the headers."""
    if isinstance(key, idempotency.BoundKey):
        text = idempotency.encode_bound_key(key, CLUSTER_KEY)
        headers = (*headers, asgi.Header(idempotency.KEY_HEADER, text))
    return classification.IncomingRequest(
        request_id=f"id{random.random()}",
        service="quotes",
        method=method,
        target="/price",
        headers=headers,
        body=body,
        key=key,
        received_at=received_at,
    )


never_gone = anyio.sleep_forever
