"""Interface to the other processes, as the rest of the package sees it."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
from typing import Protocol

from fireflywell import errors
from fireflywell.membership import messages


class PeerState(enum.StrEnum):
    """What is known of a peer's life."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class PeerView:
    """What this process knows of a peer.

    Attributes:
        address: `host:port` of the peer's membership listener, from settings.
        zone: Availability zone.
        role: Kind of process.
        incarnation: Latest incarnation heard at the address.
        state: Whether it was heard in the last 3 s.
        is_ready: Whether it serves callers.
        is_leaving: Whether it is stopping gracefully.
        bundle_version: Version of its bundle.
        loads: Its latest load by service.
    """

    address: str
    zone: str
    role: messages.Role
    incarnation: str
    state: PeerState
    is_ready: bool
    is_leaving: bool
    bundle_version: int
    loads: tuple[messages.ServiceLoad, ...]


MessageHandler = Callable[[PeerView, messages.Message], None]
ForwardHandler = Callable[
    [messages.ForwardRequest], Awaitable[messages.ForwardReply]
]


class PeerLinks(Protocol):
    """Sends messages to peers and receives theirs."""

    @property
    def incarnation(self) -> str:
        """Incarnation of this process, 32 hexadecimal digits."""

    @property
    def address(self) -> str:
        """`host:port` of this process's membership listener."""

    def list_peers(self) -> tuple[PeerView, ...]:
        """Returns all configured peers that were heard at least once."""

    def send(self, address: str, message: messages.Message) -> None:
        """Queues a message to one peer; dropped if it isn't connected."""

    def broadcast(self, message: messages.Message) -> None:
        """Queues a message to all connected peers."""

    def subscribe(self, handler: MessageHandler) -> None:
        """Calls `handler` with each message; it must not block."""

    def set_forward_handler(self, handler: ForwardHandler) -> None:
        """Sets what answers forwarded requests of peers."""

    async def forward(
        self, address: str, request: messages.ForwardRequest
    ) -> messages.ForwardReply:
        """Forwards a request on a connection of its own.

        Raises:
            PeerUnreachableError: The request was not sent.
            AnswerLostError: It was sent and its reply didn't arrive.
        """


class NullPeerLinks:
    """Links of a process that runs alone."""

    __slots__ = ("_address", "_incarnation")

    def __init__(self, address: str, incarnation: str) -> None:
        self._address = address
        self._incarnation = incarnation

    @property
    def incarnation(self) -> str:
        """Incarnation of this process."""
        return self._incarnation

    @property
    def address(self) -> str:
        """Address of this process."""
        return self._address

    def list_peers(self) -> tuple[PeerView, ...]:
        """Returns no peers."""
        return ()

    def send(self, address: str, message: messages.Message) -> None:
        """Drops a message."""

    def broadcast(self, message: messages.Message) -> None:
        """Drops a message."""

    def subscribe(self, handler: MessageHandler) -> None:
        """Ignores a handler, as no message comes."""

    def set_forward_handler(self, handler: ForwardHandler) -> None:
        """Ignores a handler, as no request comes."""

    async def forward(
        self, address: str, request: messages.ForwardRequest
    ) -> messages.ForwardReply:
        """Fails, as there is no peer."""
        raise errors.PeerUnreachableError(
            f"{request.service}: no peer at {address}; this process runs alone"
        )
