"""Decides which entry is the home of each instance.

A row names the owner of an instance, its epoch and one successor. While the
row stands, only the owner can be the home, or the successor after the owner
handed the instance over to it, which needs no store. Everybody else must
first change the row, and that requires proof that all processes that the row
names can't be the home:

* The owner changes the successor while it is the home, and hands over only to
  the successor that the row surely names.
* The successor writes itself as owner after a handover, or takes over with
  proof of the owner's death. It then declines any handover still on its way.
* Anyone takes over with proof of the death of owner and successor. An owner
  that has handed over may do so with proof of the successor's death.

A home that was received by handover is handed on only once its row names the
receiver. No rule depends on time.
"""

import dataclasses

from fireflywell.requests import home_records as records_lib


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Replaces the row of an instance if it still has this version."""

    record: records_lib.HomeRecord
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class PendingHandover:
    """A handover that was started by this entry.

    Attributes:
        receiver: The successor that the row names.
        epoch: Epoch of the receiver's ownership.
        is_sent: Whether the receiver may be the home; this entry is then out
            for good.
    """

    receiver: records_lib.EntryId
    epoch: int
    is_sent: bool


class _Home:
    """What this entry knows and holds of one instance.

    Attributes:
        record: Newest version of the row that was read.
        held: Epoch with which this entry is the home; 0 if it isn't.
        floor: Highest epoch that this entry gave up or declined.
        accepted: Epoch of the last handover that it accepted.
        handover: The handover to another entry in progress.
        pending: Write whose outcome isn't known.
        busy_elsewhere: Slots that requests of a former home may still use;
            None before the instance's status was read.
        known: The home as far as known.
    """

    __slots__ = (
        "accepted",
        "busy_elsewhere",
        "floor",
        "handover",
        "held",
        "known",
        "pending",
        "record",
    )

    def __init__(self) -> None:
        self.record: records_lib.HomeRecord | None = None
        self.held = 0
        self.floor = 0
        self.accepted = 0
        self.handover: PendingHandover | None = None
        self.pending: WriteRecord | None = None
        self.busy_elsewhere: int | None = 0
        self.known: records_lib.KnownHome | None = None

    def give_up(self) -> None:
        """Stops being the home for good at the epoch held."""
        self.floor = max(self.floor, self.held)
        self.held = 0

    def note_known(self, owner: records_lib.EntryId, epoch: int) -> None:
        """Notes the home if it is newer than the one known."""
        if self.known is None or epoch > self.known.epoch:
            self.known = records_lib.KnownHome(owner, epoch)


class HomeTable:
    """State of all homes at one entry and the rules that change it."""

    __slots__ = ("_homes", "_self")

    def __init__(self, own: records_lib.EntryId) -> None:
        self._self = own
        self._homes: dict[str, _Home] = {}

    def is_home(self, instance_id: str) -> bool:
        """Whether this entry may send to the instance now."""
        home = self._homes.get(instance_id)
        return home is not None and bool(home.held) and home.handover is None

    def find_known_home(self, instance_id: str) -> records_lib.KnownHome | None:
        """Returns the home of an instance as far as known."""
        home = self._homes.get(instance_id)
        return None if home is None else home.known

    def describe(self, instance_id: str) -> records_lib.HomeState:
        """Returns what is known and held of an instance."""
        home = self._homes.get(instance_id) or _Home()
        return records_lib.HomeState(
            record=home.record,
            held=home.held,
            has_handover=home.handover is not None,
            has_pending=home.pending is not None,
        )

    def list_held(self) -> tuple[str, ...]:
        """Returns the instances that this entry is the home of."""
        return tuple(key for key, home in self._homes.items() if home.held)

    def list_handovers(self) -> tuple[str, ...]:
        """Returns the instances whose handover isn't finished."""
        return tuple(key for key, home in self._homes.items() if home.handover)

    def find_receiver(self, instance_id: str) -> records_lib.EntryId | None:
        """Returns the receiver of a handover that isn't finished."""
        home = self._homes.get(instance_id)
        if home is None or home.handover is None:
            return None
        return home.handover.receiver

    def list_referenced_processes(self) -> frozenset[records_lib.EntryId]:
        """Returns all other processes that the rows name."""
        named: set[records_lib.EntryId] = set()
        for home in self._homes.values():
            if home.record is not None:
                named.add(home.record.owner)
                if home.record.successor is not None:
                    named.add(home.record.successor)
        return frozenset(named - {self._self})

    def count_slots_of_former_home(self, instance_id: str) -> int | None:
        """Returns the slots that a former home may use; None if unknown."""
        home = self._homes.get(instance_id)
        return None if home is None else home.busy_elsewhere

    def apply_status(self, instance_id: str, in_progress: int) -> None:
        """Takes over how many requests an instance says it has.

        The number includes this entry's own, so it is an upper bound of
        what a former home left there, and that only shrinks.
        """
        home = self._homes[instance_id]
        if home.busy_elsewhere is None:
            home.busy_elsewhere = in_progress
        home.busy_elsewhere = min(home.busy_elsewhere, in_progress)

    def apply_record(self, record: records_lib.HomeRecord) -> None:
        """Takes over a row read from the store."""
        home = self._find(record.instance_id)
        if home.record is not None and record.version <= home.record.version:
            return
        home.record = record
        home.note_known(record.owner, record.epoch)
        if home.handover and record.epoch >= home.handover.epoch:
            home.handover = None
        if record.owner != self._self:
            if home.held and record.epoch >= home.held:
                home.give_up()
                home.handover = None
            return
        if record.epoch > max(home.held, home.floor):
            home.held = record.epoch
            home.handover = None
            # Nobody sent to the instance before its first home.
            home.busy_elsewhere = 0 if record.epoch == 1 else None

    def apply_home_notice(
        self, instance_id: str, owner: records_lib.EntryId, epoch: int
    ) -> None:
        """Takes over a peer's word that `owner` is the home."""
        home = self._find(instance_id)
        home.note_known(owner, epoch)
        if owner != self._self and home.held and epoch > home.held:
            home.give_up()
            home.handover = None

    def accept_handover(
        self, instance_id: str, epoch: int, receiver: str, is_leaving: bool
    ) -> bool:
        """Decides on a handover to this entry.

        Args:
            instance_id: The instance.
            epoch: Epoch of this entry's ownership.
            receiver: Incarnation that may accept.
            is_leaving: Whether this entry is about to end; it then accepts
                nothing new, and its end is the proof for the sender.

        Returns:
            Whether the acceptance is sent, which is so for repetitions too.
        """
        if receiver != self._self.incarnation:
            return False
        home = self._find(instance_id)
        if epoch == home.accepted:
            return True
        known = home.known.epoch if home.known else 0
        if is_leaving or epoch <= max(home.floor, home.held, known):
            return False
        home.accepted = epoch
        home.held = epoch
        # The sender waited for the end of its own exchanges, but requests of
        # a dead home before it may still run.
        home.busy_elsewhere = None
        home.note_known(self._self, epoch)
        return True

    def complete_handover(
        self, instance_id: str, epoch: int, receiver: records_lib.EntryId
    ) -> None:
        """Ends the handover that the receiver has accepted."""
        home = self._find(instance_id)
        match home.handover:
            case PendingHandover(receiver=expected, epoch=expected_epoch) if (
                expected == receiver and expected_epoch == epoch
            ):
                home.handover = None
                home.note_known(receiver, epoch)

    def start_handover(
        self, instance_id: str, receiver: records_lib.EntryId
    ) -> bool:
        """Stops sending to an instance to give it to its successor.

        Returns:
            Whether the handover was started. It isn't while the row doesn't
            surely name `receiver` as the successor of this entry.
        """
        home = self._find(instance_id)
        record = home.record
        if record is None or home.pending or home.handover or not home.held:
            return False
        is_ours = record.owner == self._self and record.epoch == home.held
        if not is_ours or record.successor != receiver:
            return False
        if record.is_successor_dead:
            return False
        home.handover = PendingHandover(receiver, home.held + 1, is_sent=False)
        return True

    def advance_handover(
        self, instance_id: str, in_progress: int, is_receiver_alive: bool
    ) -> PendingHandover | None:
        """Decides on the next step of a handover.

        Args:
            instance_id: The instance.
            in_progress: Requests that this entry has on the instance.
            is_receiver_alive: Whether the receiver was heard lately.

        Returns:
            The handover to be sent now, for the first time or again.
        """
        home = self._find(instance_id)
        step = home.handover
        if step is None:
            return None
        if step.is_sent:
            return step
        if not is_receiver_alive:
            # Nothing was sent, so this entry is still the only home.
            home.handover = None
            return None
        if in_progress:
            return None
        home.give_up()
        home.handover = dataclasses.replace(step, is_sent=True)
        return home.handover

    def record_write(self, write: WriteRecord) -> None:
        """Notes a write before it is sent."""
        home = self._find(write.record.instance_id)
        home.pending = write
        epoch = write.record.epoch
        if home.record is not None and epoch > home.record.epoch + 1:
            # A takeover: declines a handover of the dead owner that may still
            # be on its way.
            home.floor = max(home.floor, epoch - 1)

    def resolve_write(self, write: WriteRecord) -> None:
        """Notes that a write was applied or never will be."""
        home = self._find(write.record.instance_id)
        if home.pending == write:
            home.pending = None

    def _find(self, instance_id: str) -> _Home:
        home = self._homes.get(instance_id)
        if home is None:
            home = _Home()
            self._homes[instance_id] = home
        return home
