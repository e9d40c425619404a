"""Drain decisions sent to entries, and their confirmations."""

import dataclasses

from fireflywell.fleet import vm_records
from fireflywell.membership import links as links_lib
from fireflywell.membership import messages


@dataclasses.dataclass(frozen=True, slots=True)
class _Confirmation:
    """An incarnation's latest word on a drain."""

    move_id: str
    in_progress: int


class DrainTracker:
    """Sends drain notices and notes which entries have confirmed."""

    __slots__ = ("_confirmations", "_links")

    def __init__(self, links: links_lib.PeerLinks) -> None:
        self._links = links
        self._confirmations: dict[str, dict[str, _Confirmation]] = {}
        links.subscribe(self._handle_message)

    def announce(self, record: vm_records.VmRecord, fencing_token: int) -> None:
        """Sends the drain of a VM to all entries; repeated each second."""
        notice = messages.DrainNotice(
            record.vm_id, record.move_id, fencing_token
        )
        self._links.broadcast(notice)

    def list_unconfirmed(
        self,
        record: vm_records.VmRecord,
        home_incarnations: frozenset[str],
    ) -> tuple[str, ...]:
        """Returns the incarnations that a planned stop waits for.

        Args:
            record: The VM's record.
            home_incarnations: Homes of the VM's instances by the store. A home
                that this process has never heard must confirm as well: it may
                be frozen with a request in progress.
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

    def forget(self, vm_id: str) -> None:
        """Drops the confirmations of a finished drain."""
        self._confirmations.pop(vm_id, None)

    def _handle_message(
        self, _: links_lib.PeerView, message: messages.Message
    ) -> None:
        match message:
            case messages.DrainConfirm():
                known = self._confirmations.setdefault(message.vm_id, {})
                known[message.incarnation] = _Confirmation(
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
