"""Links to all configured peers.

Each process dials each of its peers. It sends on the connections that it
dialled and receives on those that it accepted, so two connections between the
same pair never carry the same message. A newer accepted connection of a peer
takes the place of an older one.
"""

from collections.abc import Callable
import dataclasses
import datetime
import functools
import random

import anyio
import anyio.abc

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.membership import channel as channel_lib
from fireflywell.membership import codec
from fireflywell.membership import forwarding
from fireflywell.membership import links
from fireflywell.membership import messages
from fireflywell.membership import peer_registry
from fireflywell.membership import send_queue
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import logs

_HEARTBEAT_INTERVAL = datetime.timedelta(seconds=1)
# After this silence the connection may be cut; a new one finds out.
_SILENCE_LIMIT = datetime.timedelta(seconds=10)
# Below the 2 s in which a returned peer must hear drains.
_DIAL_POLICY = policies.RestartWithBackoff(
    maximum=datetime.timedelta(seconds=1.5),
    reset_after=datetime.timedelta(seconds=5),
)
_HANDSHAKES_LIMIT = 32


@dataclasses.dataclass(frozen=True, slots=True)
class LocalStatus:
    """What heartbeats and load reports say of this process."""

    bundle_version: int = 0
    bundle_digest: str = ""
    is_ready: bool = False
    is_leaving: bool = False
    loads: tuple[messages.ServiceLoad, ...] = ()


class Mesh:
    """Implements `links.PeerLinks` over TCP."""

    __slots__ = (
        "_accepted",
        "_clock",
        "_factory",
        "_forward_handler",
        "_forwards",
        "_handlers",
        "_handshakes",
        "_hosts",
        "_identity",
        "_peers",
        "_queues",
        "_random",
        "_read_status",
        "_registry",
        "_sequence",
        "_started",
        "_supervisor",
    )

    def __init__(
        self,
        identity: channel_lib.Identity,
        peers: tuple[str, ...],
        read_status: Callable[[], LocalStatus],
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._peers = tuple(
            address for address in peers if address != identity.hello.address
        )
        self._hosts = frozenset(
            address.rpartition(":")[0] for address in self._peers
        )
        self._read_status = read_status
        self._clock = clock
        self._random = rng
        self._factory = channel_lib.ChannelFactory(identity)
        self._forwards = forwarding.ForwardConnectionPool(
            self._dial_forward, clock
        )
        self._forward_handler: links.ForwardHandler = _refuse_forward
        self._handlers: list[links.MessageHandler] = []
        self._registry = peer_registry.PeerRegistry(self._peers, clock)
        self._queues: dict[str, send_queue.SendQueue] = {}
        self._accepted: dict[str, channel_lib.Channel] = {}
        self._handshakes = 0
        self._sequence = 0
        self._started = anyio.Event()
        self._supervisor = supervisor_lib.Supervisor("membership", clock, rng)

    @property
    def incarnation(self) -> str:
        """Incarnation of this process."""
        return self._identity.hello.incarnation

    @property
    def address(self) -> str:
        """Address of this process's membership listener."""
        return self._identity.hello.address

    @property
    def control_bytes_sent(self) -> int:
        """Bytes of all frames sent but forwarded requests and replies."""
        return self._factory.control.sent_bytes

    @property
    def control_bytes_received(self) -> int:
        """Bytes of all frames received but forwarded ones."""
        return self._factory.control.received_bytes

    @property
    def connected_peers(self) -> tuple[str, ...]:
        """Addresses of the peers that messages can be sent to."""
        return tuple(self._queues)

    def list_peers(self) -> tuple[links.PeerView, ...]:
        """Returns all configured peers that were heard at least once."""
        return self._registry.list_views()

    def update_listed_hosts(self, hosts: frozenset[str]) -> None:
        """Takes over which IP numbers the platform lists as VMs."""
        self._registry.update_listed_hosts(hosts)

    def send(self, address: str, message: messages.Message) -> None:
        """Queues a message to one peer; dropped if it isn't connected."""
        queue = self._queues.get(address)
        if queue is not None:
            queue.put(message)

    def broadcast(self, message: messages.Message) -> None:
        """Queues a message to all connected peers."""
        for queue in self._queues.values():
            queue.put(message)

    def subscribe(self, handler: links.MessageHandler) -> None:
        """Calls `handler` with each message; it must not block."""
        self._handlers.append(handler)

    def set_forward_handler(self, handler: links.ForwardHandler) -> None:
        """Sets what answers forwarded requests of peers."""
        self._forward_handler = handler

    async def forward(
        self, address: str, request: messages.ForwardRequest
    ) -> messages.ForwardReply:
        """Forwards a request on a connection of its own."""
        return await self._forwards.exchange(address, request)

    async def wait_until_started(self) -> None:
        """Waits until the listener accepts connections."""
        await self._started.wait()

    async def run(self) -> None:
        """Listens and dials all peers until cancelled.

        The listener is bound before the first peer is dialled and stays bound
        until the process ends: that no two processes listen at one address is
        what proves that a new incarnation's predecessor is dead.

        Raises:
            SettingsError: The address can't be bound.
            ChildFailedError: The listener failed.
        """
        listener = await self._bind()
        dialers = (
            supervisor_lib.Child(
                f"dialer {address}",
                functools.partial(self._send_to, address),
                _DIAL_POLICY,
            )
            for address in self._peers
        )
        self._supervisor = supervisor_lib.Supervisor(
            "membership",
            self._clock,
            self._random,
            (
                supervisor_lib.Child(
                    "listener",
                    functools.partial(listener.serve, self._accept),
                    policies.StopProcess(),
                ),
                supervisor_lib.Child(
                    "heartbeats",
                    self._send_heartbeats,
                    policies.RestartWithBackoff(),
                ),
                *dialers,
            ),
        )
        async with listener:
            self._started.set()
            try:
                await self._supervisor.run_until_cancelled()
            finally:
                await self._forwards.close()

    async def _bind(self) -> anyio.abc.Listener[anyio.abc.SocketStream]:
        identity = self._identity
        try:
            return await anyio.create_tcp_listener(
                local_host=identity.host, local_port=identity.port
            )
        except OSError as error:
            raise errors.SettingsError(
                f"can't listen for peers on {self.address} ({error.strerror}); "
                "check that the address belongs to this machine and that no "
                "other process listens there"
            ) from error

    async def _send_heartbeats(self) -> None:
        while True:
            await self._clock.sleep(_HEARTBEAT_INTERVAL)
            self._sequence += 1
            for queue in self._queues.values():
                self._put_status(queue)
            await self._forwards.close_outdated()

    def _put_status(self, queue: send_queue.SendQueue) -> None:
        status = self._read_status()
        queue.put(
            messages.Heartbeat(
                sequence=self._sequence,
                bundle_version=status.bundle_version,
                bundle_digest=status.bundle_digest,
                ready=status.is_ready,
                leaving=status.is_leaving,
            )
        )
        queue.put(messages.LoadReport(status.loads))

    async def _send_to(self, address: str) -> None:
        """Dials a peer and sends until the connection fails."""
        channel = await self._factory.dial(
            address, messages.LinkPurpose.CONTROL
        )
        queue = send_queue.SendQueue()
        try:
            self._admit(channel)
            logs.log_event("membership.link_opened", peer=address)
            self._queues[address] = queue
            self._put_status(queue)
            encoder = codec.LinkEncoder()
            while True:
                batch = await queue.take_batch()
                self._check_silence(address)
                await channel.write(encoder.encode(batch))
        finally:
            if self._queues.get(address) is queue:
                del self._queues[address]
            await channel.close()

    def _check_silence(self, address: str) -> None:
        silence = self._registry.get_time_since_heard(address)
        if silence is not None and silence > _SILENCE_LIMIT:
            raise errors.PeerUnreachableError(
                f"{address} wasn't heard for {silence.total_seconds():.0f} s; "
                "it is dialled again"
            )

    async def _accept(self, stream: anyio.abc.SocketStream) -> None:
        remote = stream.extra(anyio.abc.SocketAttribute.remote_address)
        is_stranger = str(remote[0]) not in self._hosts
        if is_stranger or self._handshakes >= _HANDSHAKES_LIMIT:
            logs.log_event(
                "membership.connection_refused",
                remote=str(remote[0]),
                is_configured=not is_stranger,
            )
            await anyio.aclose_forcefully(stream)
            return
        self._supervisor.start_child(
            supervisor_lib.Child(
                "connection",
                functools.partial(self._serve, stream),
                policies.NeverRestart(),
            )
        )

    async def _serve(self, stream: anyio.abc.SocketStream) -> None:
        try:
            self._handshakes += 1
            try:
                channel, purpose = await self._factory.accept(stream)
            finally:
                self._handshakes -= 1
            self._admit(channel)
            match purpose:
                case messages.LinkPurpose.CONTROL:
                    await self._receive_from(channel)
                case messages.LinkPurpose.FORWARD:
                    await forwarding.serve_forwards(
                        channel, self._forward_handler
                    )
        finally:
            await anyio.aclose_forcefully(stream)

    def _admit(self, channel: channel_lib.Channel) -> None:
        peer = channel.peer
        match self._registry.admit(peer, channel.challenge):
            case peer_registry.Admitted():
                return
            case peer_registry.AdmittedReplacement(former=former):
                logs.log_event(
                    "membership.peer_replaced",
                    peer=peer.address,
                    former=former,
                    incarnation=peer.incarnation,
                )
                queue = self._queues.pop(peer.address, None)
                if queue is not None:
                    queue.fail("a new process runs at the peer's address")
            case peer_registry.NotAdmitted(reason=reason):
                raise errors.PeerAuthenticationError(reason)

    async def _receive_from(self, channel: channel_lib.Channel) -> None:
        peer = channel.peer
        self._accepted[peer.address] = channel
        decoder = codec.LinkDecoder()
        while True:
            with anyio.fail_after(_SILENCE_LIMIT.total_seconds()):
                payload = await channel.read()
            if self._accepted.get(peer.address) is not channel:
                raise errors.PeerUnreachableError(
                    f"{peer.address} opened a newer link; this one is closed"
                )
            for message in decoder.decode(payload):
                self._deliver(peer, message)

    def _deliver(self, peer: messages.Hello, message: messages.Message) -> None:
        if isinstance(message, _NOT_ON_CONTROL_LINKS):
            raise errors.PeerProtocolError(
                f"{peer.address} sent {type(message).__name__} on a control "
                "link; the connection is closed"
            )
        view = self._registry.handle_message(peer, message)
        if view is None:
            raise errors.PeerUnreachableError(
                f"{peer.incarnation} at {peer.address} was replaced; its "
                "connection is closed"
            )
        for handler in self._handlers:
            handler(view, message)

    async def _dial_forward(self, address: str) -> channel_lib.Channel:
        return await self._factory.dial(address, messages.LinkPurpose.FORWARD)


_NOT_ON_CONTROL_LINKS = (
    messages.ForwardRequest,
    messages.ForwardReply,
    messages.Opening,
    messages.Proof,
    messages.Hello,
)


async def _refuse_forward(
    request: messages.ForwardRequest,
) -> messages.ForwardReply:
    """Answers while the process isn't ready to serve."""
    return messages.ForwardReply(
        messages.OutcomeKind.REFUSED,
        503,
        (),
        b"",
        f"{request.service}: the process is still starting; try another one",
    )
