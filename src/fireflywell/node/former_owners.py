"""Decides whether former owners had stopped when a service was claimed."""

import dataclasses
import datetime
import enum

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import directory as directory_lib
from fireflywell.node import owner_records

# The owner starts nothing while the former owner's row is read. Without an
# answer in this time, jobs wait for the recovery instead.
_READ_TIMEOUT_S = 0.5


class StopProof(enum.StrEnum):
    """Why a former owner can't have given orders after a claim."""

    NONE = "none"  # It may have.
    NEVER_OWNED = "never_owned"
    RELEASED = "released"
    LEASE_OVER = "lease_over"
    OWN_TENURE = "own_tenure"  # The claiming process was the owner itself.

    @property
    def is_given(self) -> bool:
        """Whether the former owner had surely stopped."""
        return self is not StopProof.NONE


@dataclasses.dataclass(frozen=True, slots=True)
class _Predecessor:
    """The owner that a claim replaces.

    Attributes:
        record: Its row; None if the service never had an owner.
        version: Version of that row.
        judged_at: Monotonic time at which its lease was found to be over.
    """

    record: owner_records.OwnerRecord | None
    version: int
    judged_at: datetime.timedelta


class FormerOwners:
    """Tracks whom the claims of this node replace.

    A former owner whose lease is over may renew it and go on as long as the
    store hasn't applied the claim, and the store may apply one late. Only a
    read of that node's row after the claim shows whether it was renewed.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_incarnation",
        "_lease",
        "_predecessors",
        "_store",
    )

    def __init__(
        self,
        incarnation: str,
        store: row_store.RowStore,
        clock: clock_lib.Clock,
        directory: directory_lib.NodeDirectory,
        lease: datetime.timedelta,
    ) -> None:
        self._incarnation = incarnation
        self._store = store
        self._clock = clock
        self._directory = directory
        self._lease = lease
        # Owners before the last claims of this node, until it is proved that
        # they have stopped.
        self._predecessors: dict[str, _Predecessor] = {}

    def record_claim(
        self,
        service: str,
        replaced: owner_records.OwnerRecord | None,
        version: int,
    ) -> None:
        """Records whom a claim replaces; called before the claim is sent.

        Args:
            service: The service.
            replaced: The row that is a condition of the claim; None if the
                condition is that there is none.
            version: Version of that row; 0 if there is none.
        """
        # If the row names this process, an earlier claim was applied without
        # an answer, and the owner before that claim is the one that counts.
        if replaced is None or replaced.incarnation != self._incarnation:
            self._predecessors[service] = _Predecessor(
                replaced, version, self._clock.monotonic()
            )

    async def prove_stop(self, service: str, claim_version: int) -> StopProof:
        """Finds out whether the former owner had stopped before a claim.

        Args:
            service: The service.
            claim_version: Version at which the store applied the claim.
        """
        predecessor = self._predecessors.get(service)
        if predecessor is None:
            return StopProof.OWN_TENURE
        if predecessor.record is None:
            proof = StopProof.NEVER_OWNED
        elif not predecessor.record.node:
            # The owner that wrote the release had stopped before.
            proof = StopProof.RELEASED
        elif await self._is_lease_over(predecessor, claim_version):
            proof = StopProof.LEASE_OVER
        else:
            return StopProof.NONE
        del self._predecessors[service]
        return proof

    async def _is_lease_over(
        self, predecessor: _Predecessor, claim_version: int
    ) -> bool:
        """Returns whether a node's lease was over when the claim was applied.

        It was if the node hadn't renewed its row by the time of a read that
        covers the claim. The node has to confirm its ownership after any later
        renewal, which then fails.
        """
        record = predecessor.record
        assert record is not None
        row_key = directory_lib.locate_node(record.node)
        try:
            with anyio.fail_after(_READ_TIMEOUT_S):
                page = await self._store.read(row_key.table, row_key.partition)
        except (errors.PlatformError, TimeoutError):
            return False
        if page.version < claim_version:
            return False
        self._directory.observe(page.rows)
        # A renewal after the judgement can't have expired again before this.
        elapsed = self._clock.monotonic() - predecessor.judged_at
        return (
            elapsed <= self._lease
            and self._directory.has_incarnation_expired(
                record.node, record.incarnation, predecessor.version
            )
        )
