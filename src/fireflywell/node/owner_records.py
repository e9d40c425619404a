"""Rows that name the owners of services, and who should own what."""

import dataclasses
import zlib

import msgpack


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerRecord:
    """Row that names the owner of a service.

    Attributes:
        node: Name of the owner, empty after a release.
        incarnation: Process of the owner.
        token: Rises with each owner.
        successor: Node that is to claim a released service; may be empty.
    """

    node: str
    incarnation: str
    token: int
    successor: str = ""


def decode_owner(value: bytes) -> OwnerRecord:
    """Reads the row that names a service's owner."""
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
    """Spreads services without an owner over nodes.

    Args:
        services: Services without an owner.
        owned: Number of services that each node owns.
        nodes: Nodes that can take a service.

    Returns:
        The node for each service; the same on all nodes with the same view.
    """
    counts = {node: owned.get(node, 0) for node in nodes}
    chosen: dict[str, str] = {}
    for service in sorted(services):
        if not counts:
            break
        node = min(
            counts,
            key=lambda name: (counts[name], _mix(service, name), name),
        )
        counts[node] += 1
        chosen[service] = node
    return chosen


def choose_release(
    own: tuple[str, ...], owned: dict[str, int], nodes: tuple[str, ...]
) -> str | None:
    """Returns a service to give up because another node has far fewer.

    Args:
        own: Services that this node owns.
        owned: Number of services that each node owns.
        nodes: Nodes that have been up for long enough.
    """
    if not own or not nodes:
        return None
    fewest = min(owned.get(node, 0) for node in nodes)
    if len(own) - fewest < 2:
        return None
    return max(own)


def _mix(service: str, node: str) -> int:
    return zlib.crc32(f"{service}/{node}".encode())
