"""Decides which homes an entry should claim and which to hand over."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from fireflywell.fleet import instances as instances_lib
from fireflywell.requests import home_balance
from fireflywell.requests import home_planner
from fireflywell.requests import home_records as records
from fireflywell.requests import homes


def build_home_view(
    own: records.EntryId,
    home_table: homes.HomeTable,
    instances: Iterable[instances_lib.Instance],
    candidates: tuple[records.Candidate, ...],
    dead: frozenset[records.EntryId],
    is_leaving: bool,
) -> records.HomeView:
    """Returns the input of an entry's planned writes.

    Args:
        own: The entry.
        home_table: Its homes.
        instances: All instances of all services.
        candidates: Entries alive that can become homes, including the entry
            itself if it may claim.
        dead: Processes that are proven to have ended.
        is_leaving: Whether the entry hands over all its homes.
    """
    view = records.HomeView(own, candidates, dead, frozenset(), ())
    placements = tuple(
        _make_placement(item, home_table, view) for item in instances
    )
    if is_leaving:
        moves = tuple(_move_all(home_table, view))
    else:
        moves = tuple(_choose_balancing_move(home_table, placements, view))
    claims = frozenset(_choose_claims(home_table, placements, view))
    return dataclasses.replace(view, claims=claims, moves=moves)


def _make_placement(
    instance: instances_lib.Instance,
    home_table: homes.HomeTable,
    view: records.HomeView,
) -> records.Placement:
    instance_id = instance.instance_id
    known = home_table.find_known_home(instance_id)
    holder = None if known is None else known.owner
    if home_planner.is_unassigned(home_table.describe(instance_id), view):
        holder = None
    return records.Placement(
        instance_id, instance.service, instance.zone, holder
    )


def _choose_claims(
    home_table: homes.HomeTable,
    placements: tuple[records.Placement, ...],
    view: records.HomeView,
) -> Iterator[str]:
    alive = {one.entry for one in view.candidates}
    for move in home_balance.assign_unowned(placements, view.candidates):
        record = home_table.describe(move.instance_id).record
        death_reporter = None if record is None else record.death_reporter
        claimant = death_reporter if death_reporter in alive else move.receiver
        if claimant == view.own:
            yield move.instance_id


def _choose_balancing_move(
    home_table: homes.HomeTable,
    placements: tuple[records.Placement, ...],
    view: records.HomeView,
) -> Iterator[records.Move]:
    if home_table.list_handovers():
        return
    move = home_balance.choose_move(view.own, placements, view.candidates)
    if move is not None:
        yield move


def _move_all(
    home_table: homes.HomeTable, view: records.HomeView
) -> Iterator[records.Move]:
    alive = {one.entry for one in view.candidates}
    for instance_id in home_table.list_held():
        record = home_table.describe(instance_id).record
        receiver = None if record is None else record.successor
        if receiver not in alive:
            receiver = home_balance.choose_successor(
                instance_id, view.own, view.candidates
            )
        if receiver is not None:
            yield records.Move(instance_id, receiver)
