"""Tickets for the maintenance of VMs, shared through the store."""

from collections.abc import Callable
import json

import msgpack

from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import tables
from fireflywell.scheduling import upkeep
from fireflywell.telemetry import logs

_PREFIX = "vm/"
_NEED_PREFIX = "need/"
_FLOATING_KEY = "floating"


class UpkeepBook:
    """The tickets as last read."""

    __slots__ = ("_is_loaded", "_listeners", "_needs", "_tickets", "floating")

    def __init__(self) -> None:
        self._listeners: list[Callable[[], None]] = []
        # VMs that each service could use, with the row's version.
        self._needs: dict[str, tuple[int, int]] = {}
        # VMs that belong to the spare pool, wherever they are.
        self.floating: frozenset[str] = frozenset()
        self._tickets: dict[str, tuple[upkeep.Ticket, int]] = {}
        self._is_loaded = False

    @property
    def is_loaded(self) -> bool:
        """Whether all rows were read since the book was last cleared."""
        return self._is_loaded

    def list_tickets(self) -> tuple[upkeep.Ticket, ...]:
        """Returns all tickets."""
        return tuple(ticket for ticket, _ in self._tickets.values())

    def find(self, machine: str) -> upkeep.Ticket | None:
        """Returns the ticket of a VM, or None."""
        found = self._tickets.get(machine)
        return found[0] if found else None

    def get_version(self, machine: str) -> int:
        """Returns the version of a ticket's row; 0 if there is none."""
        found = self._tickets.get(machine)
        return found[1] if found else 0

    def subscribe(self, listener: Callable[[], None]) -> Callable[[], None]:
        """Calls `listener` after each change; returns how to end that."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def get_needs(self) -> dict[str, int]:
        """Returns how many VMs each service could use."""
        return {service: need for service, (need, _) in self._needs.items()}

    def clear(self) -> None:
        """Forgets all rows; nobody follows them any more."""
        self._tickets = {}
        self._needs = {}
        self.floating = frozenset()
        self._is_loaded = False

    def load_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Takes all rows of the fleet's partition into account."""
        self._is_loaded = True
        self.apply_rows(rows)

    def apply_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Takes rows of the fleet's partition into account."""
        self._apply_tickets(rows)
        for row in rows:
            if row.place.key == _FLOATING_KEY:
                self.floating = frozenset(msgpack.unpackb(row.value))
            elif row.place.key.startswith(_NEED_PREFIX):
                service = row.place.key.removeprefix(_NEED_PREFIX)
                known = self._needs.get(service)
                if known is None or known[1] < row.version:
                    need = int(row.value) if row.value.isdigit() else 0
                    self._needs[service] = (need, row.version)
        for listener in tuple(self._listeners):
            listener()

    def _apply_tickets(self, rows: tuple[row_store.Row, ...]) -> None:
        for row in rows:
            if not row.place.key.startswith(_PREFIX):
                continue
            machine = row.place.key.removeprefix(_PREFIX)
            if row.version <= self.get_version(machine):
                continue
            if row.is_removed:
                self._tickets.pop(machine, None)
                continue
            try:
                wave, phase, deadline_s, at_once, target = msgpack.unpackb(
                    row.value
                )
                ticket = upkeep.Ticket(
                    machine,
                    wave,
                    upkeep.Phase(phase),
                    deadline_s,
                    at_once,
                    target,
                )
            except Exception as error:
                logs.log_event(
                    "upkeep.unreadable", machine=machine, error=repr(error)
                )
                continue
            self._tickets[machine] = (ticket, row.version)
            logs.log_event(
                "upkeep.observed",
                machine=machine,
                wave=ticket.wave,
                target=ticket.target,
                phase=str(ticket.phase),
                version=row.version,
            )


def locate_ticket(partition: str, machine: str) -> row_store.RowKey:
    """Returns the place of a VM's ticket."""
    return row_store.RowKey(tables.UPKEEP, partition, _PREFIX + machine)


def locate_need(partition: str, service: str) -> row_store.RowKey:
    """Returns the place of the number of VMs that a service could use."""
    return row_store.RowKey(tables.UPKEEP, partition, _NEED_PREFIX + service)


def locate_floating(partition: str) -> row_store.RowKey:
    """Returns the place of the list of VMs that belong to the spare pool."""
    return row_store.RowKey(tables.UPKEEP, partition, _FLOATING_KEY)


def encode_ticket(ticket: upkeep.Ticket) -> bytes:
    """Returns the stored form of a ticket."""
    return bytes(
        msgpack.packb(
            [
                ticket.wave,
                str(ticket.phase),
                ticket.deadline_s,
                ticket.at_once,
                ticket.target,
            ]
        )
    )


async def advance_ticket(
    store: row_store.RowStore,
    book: UpkeepBook,
    partition: str,
    ticket: upkeep.Ticket,
    conditions: tuple[row_store.Expected, ...] = (),
) -> bool:
    """Stores a ticket's new phase if nobody changed it in between.

    Returns:
        Whether it was stored.
    """
    place = locate_ticket(partition, ticket.machine)
    version = book.get_version(ticket.machine)
    value = encode_ticket(ticket)
    try:
        result = await store.transact(
            row_store.Transaction(
                (*conditions, row_store.Expected(place, version)),
                (row_store.Put(place, value),),
            )
        )
    except errors.PlatformError as error:
        logs.log_event(
            "upkeep.not_stored", machine=ticket.machine, error=str(error)
        )
        return False
    match result:
        case row_store.Committed(version=committed):
            book.apply_rows((row_store.Row(place, value, committed),))
            return True
        case row_store.Conflict(rows=rows):
            book.apply_rows(rows)
            return False


def encode_wave_state(state: str) -> bytes:
    """Returns the status of a wave as operators read it."""
    return json.dumps({"state": state}).encode()
