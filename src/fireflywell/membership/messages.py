"""Messages between the system's own processes."""

import dataclasses
import enum


class Role(enum.StrEnum):
    """Kind of a process."""

    ENTRY = "entry"
    CONTROL = "control"


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Introduces a process on a new connection."""

    address: str
    zone: str
    role: Role
    incarnation: str
    protocol_version: int


class LinkPurpose(enum.StrEnum):
    """What a connection is used for."""

    CONTROL = "control"
    FORWARD = "forward"


@dataclasses.dataclass(frozen=True, slots=True)
class Opening:
    """First frame of each side of a new connection.

    Attributes:
        purpose: What the connection is used for.
        hello: Claimed identity of the sender.
        target: Address that was dialled.
        nonce: 16 random bytes, never used before.
    """

    purpose: LinkPurpose
    hello: Hello
    target: str
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Shows that the sender knows the cluster key."""

    tag: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Says once a second that a process lives and what it holds."""

    sequence: int
    bundle_version: int
    bundle_digest: str
    ready: bool
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of one service at one entry.

    Attributes:
        service: Name of the service.
        free_slots: Free slots of the instances whose home the entry is.
        queued: Requests waiting at the entry.
    """

    service: str
    free_slots: int
    queued: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Loads that changed since the last report."""

    loads: tuple[ServiceLoad, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BundleOffer:
    """Says that a bundle is to be had, with the head row's content."""

    version: int
    head: str


@dataclasses.dataclass(frozen=True, slots=True)
class BundleRequest:
    """Asks for the body of a bundle."""

    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class BundleBody:
    """Carries the head row's content and the body of a bundle."""

    head: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class DrainNotice:
    """Asks entries to send nothing new to a VM."""

    vm_id: str
    move_id: str
    fencing_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class DrainConfirm:
    """Says that an incarnation sends nothing new to a VM.

    Attributes:
        vm_id: The VM.
        move_id: The drain that is confirmed.
        incarnation: Process that confirms.
        in_progress: Requests that the process still has on the VM.
    """

    vm_id: str
    move_id: str
    incarnation: str
    in_progress: int


@dataclasses.dataclass(frozen=True, slots=True)
class HomeNotice:
    """Says which entry is the home of an instance."""

    instance_id: str
    address: str
    incarnation: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Gives the home of an instance to the receiver.

    Attributes:
        instance_id: The instance.
        epoch: Epoch of the receiver's ownership.
        receiver: Incarnation that may accept; any other ignores the message.
    """

    instance_id: str
    epoch: int
    receiver: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverAccepted:
    """Says that the receiver is now the home of an instance."""

    instance_id: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderField:
    """One header of a forwarded request or response."""

    name: str
    value: str


class ForwardKind(enum.StrEnum):
    """Why a request is forwarded."""

    KEY_OWNER = "key_owner"
    HOME = "home"


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A request handed to the owner of its key or to a home.

    Attributes:
        kind: Why the request is forwarded.
        incarnation: Incarnation that must run it; any other refuses it.
        service: Name of the service.
        method: HTTP method.
        target: Path and query below the service.
        headers: Headers of the caller.
        body: Whole body.
        deadline_ms: Remaining time in milliseconds; 0 for no limit.
    """

    kind: ForwardKind
    incarnation: str
    service: str
    method: str
    target: str
    headers: tuple[HeaderField, ...]
    body: bytes
    deadline_ms: int


class OutcomeKind(enum.StrEnum):
    """The three outcomes of a request."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardReply:
    """Outcome of a forwarded request."""

    kind: OutcomeKind
    status: int
    headers: tuple[HeaderField, ...]
    body: bytes
    reason: str


Message = (
    Hello
    | Heartbeat
    | LoadReport
    | BundleOffer
    | BundleRequest
    | BundleBody
    | DrainNotice
    | DrainConfirm
    | HomeNotice
    | HandOver
    | HandOverAccepted
    | ForwardRequest
    | ForwardReply
)
