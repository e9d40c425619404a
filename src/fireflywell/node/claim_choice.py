"""Chooses which services without an owner this node is to claim."""

from collections.abc import Collection
import datetime

from fireflywell import clock as clock_lib
from fireflywell.node import directory as directory_lib
from fireflywell.node import owner_records
from fireflywell.node import owner_rows

# Any node claims a service that has had no owner for this long, also if
# another node was chosen for it.
_ANY_NODE_CLAIM_DELAY = datetime.timedelta(milliseconds=1500)


class ClaimChooser:
    """Chooses claims and tracks how long services have had no owner."""

    __slots__ = ("_clock", "_directory", "_name", "_rows", "_unowned_since")

    def __init__(
        self,
        name: str,
        clock: clock_lib.Clock,
        directory: directory_lib.NodeDirectory,
        rows: owner_rows.OwnerRows,
    ) -> None:
        self._name = name
        self._clock = clock
        self._directory = directory
        self._rows = rows
        self._unowned_since: dict[str, datetime.timedelta] = {}

    def mark_owned(self, service: str) -> None:
        """Records that a service has an owner."""
        self._unowned_since.pop(service, None)

    def choose(
        self, unowned: tuple[str, ...], owned: dict[str, int]
    ) -> list[str]:
        """Returns the services that this node is to claim.

        Args:
            unowned: All services without an owner.
            owned: Number of services that each node owns.
        """
        now = self._clock.monotonic()
        for service in tuple(self._unowned_since):
            if service not in unowned:
                del self._unowned_since[service]
        speeds = {n.name: n.cpu_millis for n in self._directory.list_live()}
        chosen = owner_records.choose_owners(unowned, owned, speeds)
        claims = []
        for service in unowned:
            since = self._unowned_since.setdefault(service, now)
            is_open_to_all = now - since > _ANY_NODE_CLAIM_DELAY
            successor = self._find_successor(service, speeds)
            preferred_node = successor or chosen.get(service)
            if preferred_node == self._name or is_open_to_all:
                claims.append(service)
        return claims

    def _find_successor(self, service: str, nodes: Collection[str]) -> str:
        record = self._rows.find(service)
        if record is None or record.successor not in nodes:
            return ""
        return record.successor
