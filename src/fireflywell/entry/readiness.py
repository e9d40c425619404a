"""Whether an entry can serve callers, and if not, why."""

from fireflywell.bundle import holder as holder_lib
from fireflywell.entry import instance_table
from fireflywell.fleet import view as view_lib
from fireflywell.membership import links as links_lib
from fireflywell.membership import messages


class Readiness:
    """Decides when a starting entry may receive callers.

    An entry that has a bundle but no home and no peer with homes could only
    let requests wait. Once it has been ready it stays so, since the balancer
    must not take away all entries when a service loses its instances.
    """

    __slots__ = ("_has_been_ready", "_holder", "_instances", "_links", "_view")

    def __init__(
        self,
        holder: holder_lib.BundleHolder,
        view: view_lib.FleetView,
        instances: instance_table.InstanceTable,
        links: links_lib.PeerLinks,
    ) -> None:
        self._holder = holder
        self._view = view
        self._instances = instances
        self._links = links
        self._has_been_ready = False

    def explain_not_ready(self) -> str:
        """Returns why the entry can't serve callers; empty if it can."""
        if self._has_been_ready:
            return ""
        reason = self._holder.missing_reason or self._explain_no_route()
        self._has_been_ready = not reason
        return reason

    def _explain_no_route(self) -> str:
        if self._has_peer_with_homes() or self._has_own_home():
            return ""
        if not self._view.has_been_read:
            return (
                "the fleet hasn't been read from the store yet, and no peer "
                "reports homes of instances"
            )
        if self._view.list_instances(self._holder):
            return "no entry that this one knows is the home of an instance yet"
        return ""

    def _has_own_home(self) -> bool:
        bundle = self._holder.current
        return bundle is not None and any(
            self._instances.list_homes(service.name)
            for service in bundle.services
        )

    def _has_peer_with_homes(self) -> bool:
        return any(
            peer.role is messages.Role.ENTRY
            and peer.state is links_lib.PeerState.ALIVE
            and not peer.is_leaving
            and any(load.free_slots for load in peer.loads)
            for peer in self._links.list_peers()
        )
