"""Fencing tokens that tell a worker's incarnations apart in orders to it."""

import dataclasses

# Tokens in orders to one worker that belong to one owner of the service. The
# next owner's tokens begin above them.
_TOKENS_PER_OWNER = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _Incarnation:
    """Last incarnation of a worker that has reported.

    Attributes:
        started_unix_ms: Its start.
        earlier: Number of incarnations that reported before it.
    """

    started_unix_ms: int
    earlier: int


class OrderTokens:
    """Fencing tokens of one owner's orders, by worker.

    A worker may start again under its id, and orders name only the id: an
    order to the former incarnation that had no answer may be carried out by
    the next one, which knows neither the runs that were stopped nor its own
    ends. The token rises with each incarnation, so once the next one has
    received an order it refuses those to the former one.
    """

    __slots__ = ("_first", "_incarnations")

    def __init__(self, owner_token: int) -> None:
        """Starts without workers.

        Args:
            owner_token: Fencing token of the service's owner.
        """
        self._first = owner_token * _TOKENS_PER_OWNER
        self._incarnations: dict[str, _Incarnation] = {}

    def find(self, worker_id: str) -> int:
        """Returns the token of orders to a worker's present incarnation."""
        known = self._incarnations.get(worker_id)
        earlier = known.earlier if known else 0
        return self._first + min(earlier, _TOKENS_PER_OWNER - 1)

    def observe(self, worker_id: str, started_unix_ms: int) -> bool:
        """Records which incarnation of a worker has reported.

        Args:
            worker_id: The worker.
            started_unix_ms: Start of the incarnation; 0 if it isn't reported.

        Returns:
            Whether it follows another one, so that the token has risen.
        """
        known = self._incarnations.get(worker_id)
        if not started_unix_ms or (
            known and known.started_unix_ms == started_unix_ms
        ):
            return False
        earlier = known.earlier + 1 if known else 0
        self._incarnations[worker_id] = _Incarnation(started_unix_ms, earlier)
        return known is not None
