"""What an entry tells operators about itself."""

import dataclasses
from typing import Any

from fireflywell.bundle import holder as holder_lib
from fireflywell.entry import dispatcher as dispatcher_lib
from fireflywell.entry import instance_table
from fireflywell.membership import links as links_lib


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceStatus:
    """One service as this entry serves it.

    Attributes:
        service: Name of the service.
        queued: Requests that wait for a slot.
        free_slots: Slots that this entry can fill now.
        homes: Instances whose home this entry is.
        ejected: Instances that get no work because their requests fail.
    """

    service: str
    queued: int
    free_slots: int
    homes: tuple[str, ...]
    ejected: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """Another process as this entry sees it."""

    address: str
    role: str
    zone: str
    state: str
    is_ready: bool
    is_leaving: bool
    bundle_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class EntryStatus:
    """Answer of `GET /fireflywell/status`.

    Attributes:
        bundle_version: Version of the bundle in force; 0 if there is none.
        ready: Whether the entry accepts callers.
        reason: Why it isn't ready; empty if it is.
        leaving: Whether it is stopping.
        incarnation: Identifies this run of the process.
        zone: Availability zone.
        services: Services of the bundle.
        peers: Peers that were heard at least once.
    """

    bundle_version: int
    ready: bool
    reason: str
    leaving: bool
    incarnation: str
    zone: str
    services: tuple[ServiceStatus, ...]
    peers: tuple[PeerStatus, ...]


class StatusReader:
    """Collects the status from the parts of an entry."""

    __slots__ = ("_dispatcher", "_holder", "_instances", "_links", "_zone")

    def __init__(
        self,
        holder: holder_lib.BundleHolder,
        dispatcher: dispatcher_lib.Dispatcher,
        instances: instance_table.InstanceTable,
        links: links_lib.PeerLinks,
        zone: str,
    ) -> None:
        self._holder = holder
        self._dispatcher = dispatcher
        self._instances = instances
        self._links = links
        self._zone = zone

    def read(self, reason: str, is_leaving: bool) -> EntryStatus:
        """Returns the status.

        Args:
            reason: Why the entry isn't ready; empty if it is.
            is_leaving: Whether the entry is stopping.
        """
        return EntryStatus(
            bundle_version=self._holder.version,
            ready=not reason,
            reason=reason,
            leaving=is_leaving,
            incarnation=self._links.incarnation,
            zone=self._zone,
            services=tuple(
                ServiceStatus(
                    service=load.service,
                    queued=load.queued,
                    free_slots=load.free_slots,
                    homes=self._instances.list_homes(load.service),
                    ejected=self._instances.list_ejected(load.service),
                )
                for load in self._dispatcher.list_loads()
            ),
            peers=tuple(map(_describe_peer, self._links.list_peers())),
        )


def encode_status(status: EntryStatus) -> dict[str, Any]:
    """Returns the JSON document of a status."""
    return dataclasses.asdict(status)


def _describe_peer(peer: links_lib.PeerView) -> PeerStatus:
    return PeerStatus(
        address=peer.address,
        role=peer.role.name.lower(),
        zone=peer.zone,
        state=peer.state.value,
        is_ready=peer.is_ready,
        is_leaving=peer.is_leaving,
        bundle_version=peer.bundle_version,
    )
