"""Encodes owner rows and chooses which node is to own which service."""

from collections.abc import Mapping
import dataclasses
import zlib

import msgpack

# A handover delays a service's work, so a service goes to a faster node only if
# that has at least this multiple of the speed.
_CLEARLY_FASTER = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerRecord:
    """Row that names the owner of a service.

    Attributes:
        node: Name of the owner, empty after a release.
        incarnation: Incarnation of the owner's process.
        token: Fencing token; rises by one with each claim.
        successor: Node that is to claim a released service; may be empty.
    """

    node: str
    incarnation: str
    token: int
    successor: str = ""


def decode_owner(value: bytes) -> OwnerRecord:
    """Decodes the value of a row that names a service's owner."""
    return OwnerRecord(*msgpack.unpackb(value))


def encode_owner(record: OwnerRecord) -> bytes:
    """Returns the stored form of a row that names an owner."""
    return bytes(
        msgpack.packb(
            [
                record.node,
                record.incarnation,
                record.token,
                record.successor,
            ]
        )
    )


def choose_owners(
    services: tuple[str, ...], owned: dict[str, int], speeds: Mapping[str, int]
) -> dict[str, str]:
    """Assigns each service to the node that has the most processor time for it.

    Answers a peak of one queue on nodes of different sizes: its owner sends a
    thousand orders a second, for which a small node is too slow.

    Args:
        services: Services without an owner.
        owned: Number of services that each node owns.
        speeds: Nodes that can own services, with their processor speeds.

    Returns:
        The node for each service; empty if there are no nodes. All nodes
        compute the same result from the same arguments.
    """
    counts = {node: owned.get(node, 0) for node in speeds}
    chosen: dict[str, str] = {}
    for service in sorted(services):
        if not counts:
            break
        node = min(
            counts,
            key=lambda name: (
                (counts[name] + 1) / speeds[name],
                _hash(service, name),
                name,
            ),
        )
        counts[node] += 1
        chosen[service] = node
    return chosen


def choose_release(
    releasable: tuple[str, ...],
    owned: dict[str, int],
    name: str,
    speeds: Mapping[str, int],
) -> str | None:
    """Returns a service that this node is to release to even out the load.

    Args:
        releasable: Services that this node owns and may release.
        owned: Number of services that each node owns.
        name: This node.
        speeds: Nodes that may receive a service, with their processor speeds.
            This node is missing if it has just started.

    Returns:
        The service, or None if no other node would have clearly more processor
        time for it.
    """
    if not releasable or name not in speeds:
        return None
    count = len(releasable)
    for other, speed in speeds.items():
        would_own = owned.get(other, 0) + 1
        is_clearly_faster = speed >= _CLEARLY_FASTER * speeds[name]
        if would_own / speed < count / speeds[name] and (
            is_clearly_faster or would_own < count
        ):
            return max(releasable)
    return None


def _hash(service: str, node: str) -> int:
    return zlib.crc32(f"{service}/{node}".encode())
