"""Decides which entry is the home of each instance.

The home of an instance is the one entry that may send requests to it.

A row of the store names the owner of an instance, its epoch and one successor.
Until the row is changed, only the owner can be the home, or the successor after
the owner handed the instance over to it, which needs no store. Any other entry
must change the row first, which requires proof that no process in the row can
be the home:

* The owner may change the successor while it is the home. It hands over only
  to the successor in the row, and only while no write that could change the
  successor is pending.
* The successor may write itself as owner after a handover or, with proof of
  the owner's death, as a takeover. After a takeover it declines a handover from
  the former owner that arrives late.
* Any entry may take over with proof of the death of owner and successor. An
  owner that has handed over may do so with proof of the successor's death.

The receiver of a handover may hand over in turn only after the row names it as
owner. No rule depends on time.
"""

import dataclasses

from fireflywell.requests import home_records as records_lib


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Compare-and-set write: replaces a row that still has this version."""

    record: records_lib.HomeRecord
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class PendingHandover:
    """A handover that was started by this entry.

    Attributes:
        receiver: The successor that the row names.
        epoch: Epoch of the receiver's ownership.
        is_sent: Whether the offer was sent. The receiver may then be the home,
            and this entry can't withdraw the offer.
    """

    receiver: records_lib.EntryId
    epoch: int
    is_sent: bool


class _Home:
    """State of one instance's home as seen by this entry.

    Attributes:
        record: Newest version of the row that was read.
        held_epoch: Epoch with which this entry is the home; 0 if it isn't.
        declined_epoch: Highest epoch that this entry gave up or declined; it
            never becomes the home with this epoch or a lower one again.
        accepted_epoch: Epoch of the last handover that it accepted.
        handover: The handover to another entry in progress.
        pending_write: Write that may or may not have been applied.
        former_home_slots: Upper bound of the slots that requests of a former
            home still use; None until the instance's status was read.
        newest_home: The home with the highest epoch that was read or reported.
    """

    __slots__ = (
        "accepted_epoch",
        "former_home_slots",
        "declined_epoch",
        "handover",
        "held_epoch",
        "newest_home",
        "pending_write",
        "record",
    )

    def __init__(self) -> None:
        self.record: records_lib.HomeRecord | None = None
        self.held_epoch = 0
        self.declined_epoch = 0
        self.accepted_epoch = 0
        self.handover: PendingHandover | None = None
        self.pending_write: WriteRecord | None = None
        self.former_home_slots: int | None = 0
        self.newest_home: records_lib.KnownHome | None = None

    def relinquish(self) -> None:
        """Stops being the home; the held epoch can't be held again."""
        self.declined_epoch = max(self.declined_epoch, self.held_epoch)
        self.held_epoch = 0

    def update_newest_home(
        self, owner: records_lib.EntryId, epoch: int
    ) -> None:
        """Stores the home if its epoch is higher than the stored one."""
        if self.newest_home is None or epoch > self.newest_home.epoch:
            self.newest_home = records_lib.KnownHome(owner, epoch)


class HomeTable:
    """State of all homes at one entry and the rules that change it."""

    __slots__ = ("_homes", "_own")

    def __init__(self, own: records_lib.EntryId) -> None:
        self._own = own
        self._homes: dict[str, _Home] = {}

    def is_home(self, instance_id: str) -> bool:
        """Whether this entry may send to the instance now."""
        home = self._homes.get(instance_id)
        return (
            home is not None and bool(home.held_epoch) and home.handover is None
        )

    def find_known_home(self, instance_id: str) -> records_lib.KnownHome | None:
        """Returns the newest home of an instance that was read or reported."""
        home = self._homes.get(instance_id)
        return None if home is None else home.newest_home

    def describe(self, instance_id: str) -> records_lib.HomeState:
        """Returns the state of an instance's home."""
        home = self._homes.get(instance_id) or _Home()
        return records_lib.HomeState(
            record=home.record,
            held=home.held_epoch,
            has_handover=home.handover is not None,
            has_pending=home.pending_write is not None,
        )

    def list_held(self) -> tuple[str, ...]:
        """Returns the instances that this entry is the home of."""
        return tuple(
            key for key, home in self._homes.items() if home.held_epoch
        )

    def list_handovers(self) -> tuple[str, ...]:
        """Returns the instances that this entry is handing over."""
        return tuple(key for key, home in self._homes.items() if home.handover)

    def find_receiver(self, instance_id: str) -> records_lib.EntryId | None:
        """Returns the receiver of a handover in progress, or None."""
        home = self._homes.get(instance_id)
        if home is None or home.handover is None:
            return None
        return home.handover.receiver

    def list_referenced_processes(self) -> frozenset[records_lib.EntryId]:
        """Returns the owners and successors in all rows, but this entry."""
        processes: set[records_lib.EntryId] = set()
        for home in self._homes.values():
            if home.record is not None:
                processes.add(home.record.owner)
                if home.record.successor is not None:
                    processes.add(home.record.successor)
        return frozenset(processes - {self._own})

    def count_slots_of_former_home(self, instance_id: str) -> int | None:
        """Returns the slots that a former home may use; None if unknown."""
        home = self._homes.get(instance_id)
        return None if home is None else home.former_home_slots

    def apply_status(self, instance_id: str, in_progress: int) -> None:
        """Applies the number of requests in progress that an instance reports.

        It includes this entry's own requests, so it is an upper bound of those
        of a former home, which only decrease.
        """
        home = self._homes[instance_id]
        if home.former_home_slots is None:
            home.former_home_slots = in_progress
        home.former_home_slots = min(home.former_home_slots, in_progress)

    def apply_record(self, record: records_lib.HomeRecord) -> None:
        """Applies a row read from the store, unless its version is old."""
        home = self._find(record.instance_id)
        if home.record is not None and record.version <= home.record.version:
            return
        home.record = record
        home.update_newest_home(record.owner, record.epoch)
        if home.handover and record.epoch >= home.handover.epoch:
            home.handover = None
        if record.owner != self._own:
            if home.held_epoch and record.epoch >= home.held_epoch:
                home.relinquish()
                home.handover = None
            return
        if record.epoch > max(home.held_epoch, home.declined_epoch):
            home.held_epoch = record.epoch
            home.handover = None
            # Before its first home, epoch 1, the instance got no requests.
            home.former_home_slots = 0 if record.epoch == 1 else None

    def apply_home_notice(
        self, instance_id: str, owner: records_lib.EntryId, epoch: int
    ) -> None:
        """Applies a peer's notice that `owner` is the home."""
        home = self._find(instance_id)
        home.update_newest_home(owner, epoch)
        if owner != self._own and home.held_epoch and epoch > home.held_epoch:
            home.relinquish()
            home.handover = None

    def accept_handover(
        self, instance_id: str, epoch: int, receiver: str, is_leaving: bool
    ) -> bool:
        """Decides whether this entry accepts a handover.

        Args:
            instance_id: The instance.
            epoch: Epoch of this entry's ownership.
            receiver: Incarnation that may accept.
            is_leaving: Whether this entry is shutting down; it then accepts no
                new handover, and its end proves that to the sender.

        Returns:
            Whether to send the acceptance; True also if the last accepted offer
            arrives again.
        """
        if receiver != self._own.incarnation:
            return False
        home = self._find(instance_id)
        if epoch == home.accepted_epoch:
            return True
        newest_epoch = home.newest_home.epoch if home.newest_home else 0
        if is_leaving or epoch <= max(
            home.declined_epoch, home.held_epoch, newest_epoch
        ):
            return False
        home.accepted_epoch = epoch
        home.held_epoch = epoch
        # The sender waited until its own requests ended, but those of an
        # earlier home that died may still run.
        home.former_home_slots = None
        home.update_newest_home(self._own, epoch)
        return True

    def complete_handover(
        self, instance_id: str, epoch: int, receiver: records_lib.EntryId
    ) -> None:
        """Ends the handover after the receiver accepted it."""
        home = self._find(instance_id)
        match home.handover:
            case PendingHandover(receiver=expected, epoch=expected_epoch) if (
                expected == receiver and expected_epoch == epoch
            ):
                home.handover = None
                home.update_newest_home(receiver, epoch)

    def start_handover(
        self, instance_id: str, receiver: records_lib.EntryId
    ) -> bool:
        """Starts the handover of an instance; this entry stops sending to it.

        Returns:
            Whether the handover was started. It is only if the row is certain
            to name this entry as owner and `receiver` as a living successor.
        """
        home = self._find(instance_id)
        record = home.record
        if (
            record is None
            or home.pending_write
            or home.handover
            or not home.held_epoch
        ):
            return False
        is_own_row = (
            record.owner == self._own and record.epoch == home.held_epoch
        )
        if not is_own_row or record.successor != receiver:
            return False
        if record.is_successor_dead:
            return False
        home.handover = PendingHandover(
            receiver, home.held_epoch + 1, is_sent=False
        )
        return True

    def advance_handover(
        self, instance_id: str, in_progress: int, is_receiver_alive: bool
    ) -> PendingHandover | None:
        """Returns the handover if its offer must be sent now.

        Args:
            instance_id: The instance.
            in_progress: Requests that this entry has on the instance.
            is_receiver_alive: Whether the receiver's heartbeats arrive.

        Returns:
            The handover whose offer to send, for the first time or again; None
            if it is withdrawn or requests are in progress.
        """
        home = self._find(instance_id)
        step = home.handover
        if step is None:
            return None
        if step.is_sent:
            return step
        if not is_receiver_alive:
            # No offer was sent, so this entry is still the only home.
            home.handover = None
            return None
        if in_progress:
            return None
        home.relinquish()
        home.handover = dataclasses.replace(step, is_sent=True)
        return home.handover

    def record_write(self, write: WriteRecord) -> None:
        """Records a write as pending; called before it is sent."""
        home = self._find(write.record.instance_id)
        home.pending_write = write
        epoch = write.record.epoch
        if home.record is not None and epoch > home.record.epoch + 1:
            # A takeover: declines a handover from the dead owner that may
            # still arrive.
            home.declined_epoch = max(home.declined_epoch, epoch - 1)

    def resolve_write(self, write: WriteRecord) -> None:
        """Clears a pending write that was applied or never will be."""
        home = self._find(write.record.instance_id)
        if home.pending_write == write:
            home.pending_write = None

    def _find(self, instance_id: str) -> _Home:
        home = self._homes.get(instance_id)
        if home is None:
            home = _Home()
            self._homes[instance_id] = home
        return home
