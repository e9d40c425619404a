"""Answers the drain decisions of the maintenance planner."""

from collections.abc import Callable

from fireflywell.fleet import view as view_lib
from fireflywell.membership import links as links_lib
from fireflywell.membership import messages
from fireflywell.telemetry import logs


class DrainConfirmer:
    """Stops new work to a VM at once and confirms it to the planner.

    Every entry confirms, also one that is the home of nothing on the VM,
    because it may have forwarded or handed over a moment ago.
    """

    __slots__ = ("_count_in_progress", "_links", "_tokens", "_view")

    def __init__(
        self,
        links: links_lib.PeerLinks,
        view: view_lib.FleetView,
        count_in_progress: Callable[[str], int],
    ) -> None:
        """Subscribes to the notices.

        Args:
            links: Links to the peers.
            view: Where drains are noted.
            count_in_progress: Returns how many requests this entry still has
                on a VM, forwarded ones not included.
        """
        self._links = links
        self._view = view
        self._count_in_progress = count_in_progress
        self._tokens: dict[str, int] = {}
        links.subscribe(self._receive)

    def _receive(
        self, peer: links_lib.PeerView, message: messages.Message
    ) -> None:
        match message:
            case messages.DrainNotice() as notice:
                self._confirm(peer, notice)

    def _confirm(
        self, peer: links_lib.PeerView, notice: messages.DrainNotice
    ) -> None:
        highest = self._tokens.get(notice.vm_id, 0)
        if notice.fencing_token < highest:
            logs.log_event(
                "drains.outdated",
                vm=notice.vm_id,
                move=notice.move_id,
                token=notice.fencing_token,
                highest=highest,
                peer=peer.address,
            )
            return
        self._tokens[notice.vm_id] = notice.fencing_token
        self._view.mark_draining(notice.vm_id, notice.move_id)
        self._links.send(
            peer.address,
            messages.DrainConfirm(
                vm_id=notice.vm_id,
                move_id=notice.move_id,
                incarnation=self._links.incarnation,
                in_progress=self._count_in_progress(notice.vm_id),
            ),
        )
