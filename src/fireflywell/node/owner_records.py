"""Encodes owner rows and chooses which node is to own which service."""

import dataclasses
import zlib

import msgpack


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
    services: tuple[str, ...], owned: dict[str, int], nodes: tuple[str, ...]
) -> dict[str, str]:
    """Assigns each service to the node that owns the fewest.

    Args:
        services: Services without an owner.
        owned: Number of services that each node owns.
        nodes: Nodes that can own services.

    Returns:
        The node for each service; empty if there are no nodes. All nodes
        compute the same result from the same arguments.
    """
    counts = {node: owned.get(node, 0) for node in nodes}
    chosen: dict[str, str] = {}
    for service in sorted(services):
        if not counts:
            break
        node = min(
            counts,
            key=lambda name: (counts[name], _hash(service, name), name),
        )
        counts[node] += 1
        chosen[service] = node
    return chosen


def choose_release(
    releasable: tuple[str, ...], owned: dict[str, int], nodes: tuple[str, ...]
) -> str | None:
    """Returns a service that this node is to release to even out the load.

    Args:
        releasable: Services that this node owns and may release.
        owned: Number of services that each node owns.
        nodes: Nodes that may receive a service.

    Returns:
        The service, or None if no node has at least two services fewer.
    """
    if not releasable or not nodes:
        return None
    fewest = min(owned.get(node, 0) for node in nodes)
    if len(releasable) - fewest < 2:
        return None
    return max(releasable)


def _hash(service: str, node: str) -> int:
    return zlib.crc32(f"{service}/{node}".encode())
