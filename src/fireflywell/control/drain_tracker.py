"""Sends drain notices to entries and records their confirmations."""

import dataclasses

from fireflywell.fleet import vm_records
from fireflywell.membership import links as links_lib
from fireflywell.membership import messages


@dataclasses.dataclass(frozen=True, slots=True)
class _Confirmation:
    """Latest confirmation of a drain by an entry's incarnation.

    Attributes:
        move_id: The move that the drain belongs to.
        in_progress: Requests to the VM that the entry still has in progress.
    """

    move_id: str
    in_progress: int


class DrainTracker:
    """Sends drain notices and records which entries have confirmed them."""

    __slots__ = ("_confirmations", "_links")

    def __init__(self, links: links_lib.PeerLinks) -> None:
        self._links = links
        self._confirmations: dict[str, dict[str, _Confirmation]] = {}
        links.subscribe(self._handle_message)

    def broadcast_drain(
        self, record: vm_records.VmRecord, fencing_token: int
    ) -> None:
        """Sends the notice of a VM's drain to all entries.

        The caller repeats it on each check of the drain.
        """
        notice = messages.DrainNotice(
            record.vm_id, record.move_id, fencing_token
        )
        self._links.broadcast(notice)

    def list_unconfirmed(
        self,
        record: vm_records.VmRecord,
        home_incarnations: frozenset[str],
    ) -> tuple[str, ...]:
        """Returns the incarnations whose confirmation is still missing.

        Args:
            record: The VM's record.
            home_incarnations: Homes of the VM's instances by the store. A home
                that this process has never received a message from must
                confirm as well: it may be frozen with a request in progress.
        """
        required = set(home_incarnations)
        for peer in self._links.list_peers():
            is_entry = peer.role is messages.Role.ENTRY
            if is_entry and peer.state is not links_lib.PeerState.GONE:
                required.add(peer.incarnation)
        confirmed = self._confirmations.get(record.vm_id, {})
        return tuple(
            sorted(
                incarnation
                for incarnation in required
                if not _is_confirmed(confirmed.get(incarnation), record.move_id)
            )
        )

    def discard_confirmations(self, vm_id: str) -> None:
        """Discards the confirmations of a finished drain."""
        self._confirmations.pop(vm_id, None)

    def _handle_message(
        self, _: links_lib.PeerView, message: messages.Message
    ) -> None:
        match message:
            case messages.DrainConfirm():
                by_incarnation = self._confirmations.setdefault(
                    message.vm_id, {}
                )
                by_incarnation[message.incarnation] = _Confirmation(
                    message.move_id, message.in_progress
                )
            case _:
                pass


def _is_confirmed(confirmation: _Confirmation | None, move_id: str) -> bool:
    return (
        confirmation is not None
        and confirmation.move_id == move_id
        and confirmation.in_progress == 0
    )
