"""Data classes for the decisions on homes.

The home of an instance is the one entry that may send requests to it.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class EntryId:
    """Identifies one process of an entry.

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
    """Row of the store with the home of one instance.

    Attributes:
        instance_id: The instance.
        owner: The home, unless it handed over to the successor.
        epoch: Increases with each owner. After a handover the successor holds
            the next higher epoch.
        successor: The only process that the owner may hand over to.
        is_owner_dead: Whether a later process at the owner's address marked it
            as dead.
        is_successor_dead: The same for the successor.
        death_reporter: The process that marked the owner as dead.
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
    """The newest home of an instance that was read or reported."""

    owner: EntryId
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An entry that is alive and can become the home of instances."""

    entry: EntryId
    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """An instance and the entry that is its home, or None."""

    instance_id: str
    service: str
    zone: str
    holder: EntryId | None


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A home that should move to the entry `receiver`."""

    instance_id: str
    receiver: EntryId


@dataclasses.dataclass(frozen=True, slots=True)
class HomeState:
    """State of one instance's home as seen by an entry.

    Attributes:
        record: Newest version of the row that was read.
        held: Epoch with which the entry is the home; 0 if it isn't.
        has_handover: Whether a handover to another entry is in progress.
        has_pending: Whether a write may or may not have been applied.
    """

    record: HomeRecord | None
    held: int
    has_handover: bool
    has_pending: bool


@dataclasses.dataclass(frozen=True, slots=True)
class HomeView:
    """Input of an entry's planned writes: the other entries and its tasks.

    Attributes:
        own: The entry itself.
        candidates: Entries alive that can become homes.
        dead: Processes that are proven to have ended.
        claims: Instances without a home that this entry should claim.
        moves: Homes of this entry that it should hand over.
    """

    own: EntryId
    candidates: tuple[Candidate, ...]
    dead: frozenset[EntryId]
    claims: frozenset[str]
    moves: tuple[Move, ...]
