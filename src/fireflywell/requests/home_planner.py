"""Plans the writes of an entry to the rows of homes.

The rules that make a write safe are explained in `homes`.
"""

import dataclasses

from fireflywell.requests import home_balance
from fireflywell.requests import home_records as records
from fireflywell.requests import homes

# A handover, which needs no store, may have used the epoch in between.
_TAKEOVER_EPOCH_STEP = 2


def plan_write(
    instance_id: str, state: records.HomeState, view: records.HomeView
) -> homes.WriteRecord | None:
    """Returns the write that the entry should send for an instance, or None."""
    if state.has_pending:
        return None
    record = state.record
    if record is None:
        if instance_id not in view.claims:
            return None
        return _make_write(instance_id, None, view.own, 1, view)
    updated = _mark_predecessors(record, view.own)
    if updated != record:
        return homes.WriteRecord(updated, record.version)
    if state.held > record.epoch:
        # Accepted by handover; the row still names the sender.
        return _make_write(instance_id, record, view.own, state.held, view)
    if state.held:
        return None if state.has_handover else _plan_successor(record, view)
    return _plan_takeover(record, view)


def is_unassigned(state: records.HomeState, view: records.HomeView) -> bool:
    """Whether no process can be the home, so that any entry may claim it."""
    if state.held:
        return False
    if state.record is None:
        return True
    return _is_owner_excluded(state.record, view) and _is_successor_excluded(
        state.record, view
    )


def _mark_predecessors(
    record: records.HomeRecord, own: records.EntryId
) -> records.HomeRecord:
    """Marks former processes at the entry's own address as dead.

    They must have ended, because this process listens at the address.
    """
    owner = record.owner
    if owner.address == own.address and owner != own:
        record = dataclasses.replace(
            record, is_owner_dead=True, death_reporter=own
        )
    successor = record.successor
    if successor is None or successor == own:
        return record
    if successor.address == own.address:
        record = dataclasses.replace(record, is_successor_dead=True)
    return record


def _plan_successor(
    record: records.HomeRecord, view: records.HomeView
) -> homes.WriteRecord | None:
    current = record.successor
    alive = {one.entry for one in view.candidates}
    wanted = next(
        (
            move.receiver
            for move in view.moves
            if move.instance_id == record.instance_id
        ),
        None,
    )
    if wanted is None:
        if current in alive and not record.is_successor_dead:
            return None
        wanted = home_balance.choose_successor(
            record.instance_id, view.own, view.candidates
        )
    if wanted is None or wanted == current:
        return None
    changed = dataclasses.replace(
        record, successor=wanted, is_successor_dead=False
    )
    return homes.WriteRecord(changed, record.version)


def _plan_takeover(
    record: records.HomeRecord, view: records.HomeView
) -> homes.WriteRecord | None:
    if not _is_owner_excluded(record, view):
        return None
    is_successor = record.successor == view.own
    is_own_record = record.owner == view.own
    may_claim = is_own_record or record.instance_id in view.claims
    is_claim = may_claim and _is_successor_excluded(record, view)
    if not is_successor and not is_claim:
        return None
    epoch = record.epoch + _TAKEOVER_EPOCH_STEP
    owner = view.own
    if is_successor and record.death_reporter in {
        one.entry for one in view.candidates
    }:
        owner = record.death_reporter or owner
    return _make_write(record.instance_id, record, owner, epoch, view)


def _is_owner_excluded(
    record: records.HomeRecord, view: records.HomeView
) -> bool:
    # Called only if this entry isn't the home. If the row names it as owner, it
    # has handed over.
    return (
        record.owner == view.own
        or record.is_owner_dead
        or record.owner in view.dead
    )


def _is_successor_excluded(
    record: records.HomeRecord, view: records.HomeView
) -> bool:
    return (
        record.successor is None
        or record.is_successor_dead
        or record.successor in view.dead
    )


def _make_write(
    instance_id: str,
    former: records.HomeRecord | None,
    owner: records.EntryId,
    epoch: int,
    view: records.HomeView,
) -> homes.WriteRecord:
    successor = home_balance.choose_successor(
        instance_id, owner, view.candidates
    )
    return homes.WriteRecord(
        records.HomeRecord(instance_id, owner, epoch, successor),
        0 if former is None else former.version,
    )
