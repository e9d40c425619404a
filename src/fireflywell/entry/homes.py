"""What the request path needs to know of instance homes."""

from typing import Protocol

from fireflywell.membership import messages


class Homes(Protocol):
    """Tells which instances this entry alone sends to."""

    def is_home(self, instance_id: str) -> bool:
        """Whether this entry is the home of the instance."""

    def usable_slots(self, instance_id: str) -> int:
        """Returns how many requests this entry may have on the instance."""

    def find_home(self, instance_id: str) -> messages.HomeNotice | None:
        """Returns the home of the instance, as far as it is known."""

    async def hand_over_all(self) -> None:
        """Gives all homes to other entries, once their exchanges ended."""


class SingleEntryHomes:
    """Homes of an entry that runs alone: it is the home of all instances."""

    __slots__ = ()

    def is_home(self, instance_id: str) -> bool:
        """Returns True."""
        del instance_id
        return True

    def usable_slots(self, instance_id: str) -> int:
        """Returns a number above any instance's slots."""
        del instance_id
        return 1_000_000

    def find_home(self, instance_id: str) -> messages.HomeNotice | None:
        """Returns None, as no other entry exists."""
        del instance_id
        return None

    async def hand_over_all(self) -> None:
        """Does nothing, as no other entry exists."""
