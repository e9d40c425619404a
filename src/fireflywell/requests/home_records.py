"""Values of the decisions on homes."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EntryId:
    """One process.

    Attributes:
        address: `host:port` of its membership listener.
        incarnation: Incarnation of the process.
    """

    address: str
    incarnation: str

    @property
    def host(self) -> str:
        """IP number of the process."""
        return self.address.rpartition(":")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class HomeRecord:
    """Row of one instance.

    Attributes:
        instance_id: The instance.
        owner: The home, unless it handed over to the successor.
        epoch: Grows with each owner; the successor's after a handover is one
            higher.
        successor: The only process that the owner may hand over to.
        is_owner_dead: Whether a later process at the owner's address said so.
        is_successor_dead: The same for the successor.
        death_reporter: The process that said that the owner is dead.
        version: Version of the row; 0 before it is written.
    """

    instance_id: str
    owner: EntryId
    epoch: int
    successor: EntryId | None = None
    is_owner_dead: bool = False
    is_successor_dead: bool = False
    death_reporter: EntryId | None = None
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class KnownHome:
    """The home of an instance as far as known."""

    owner: EntryId
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A living entry that can be given homes."""

    entry: EntryId
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """An instance with its home as far as known."""

    instance_id: str
    service: str
    zone: str
    holder: EntryId | None


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A home that its owner should give to another entry."""

    instance_id: str
    receiver: EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class HomeState:
    """What an entry knows and holds of one instance.

    Attributes:
        record: Newest version of the row that was read.
        held: Epoch with which the entry is the home; 0 if it isn't.
        has_handover: Whether its handover to another entry isn't finished.
        has_pending: Whether a write's outcome isn't known.
    """

    record: HomeRecord | None
    held: int
    has_handover: bool
    has_pending: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HomeView:
    """What an entry knows of the others.

    Attributes:
        own: The entry itself.
        candidates: Living entries that can be given homes.
        dead: Processes of which there is proof that they ended.
        claims: Instances without a home that fall to this entry.
        moves: Homes of this entry that should move.
    """

    own: EntryId
    candidates: tuple[Candidate, ...]
    dead: frozenset[EntryId]
    claims: frozenset[str]
    moves: tuple[Move, ...]
