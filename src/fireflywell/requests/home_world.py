"""Decides what falls to an entry: homes to claim and homes to give away."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from fireflywell.fleet import instances as instances_lib
from fireflywell.requests import home_balance
from fireflywell.requests import home_planner
from fireflywell.requests import home_records as records
from fireflywell.requests import homes


def make_world(
    own: records.EntryId,
    book: homes.HomeBook,
    instances: Iterable[instances_lib.Instance],
    candidates: tuple[records.Candidate, ...],
    dead: frozenset[records.EntryId],
    is_leaving: bool,
) -> records.World:
    """Returns what an entry knows and what falls to it.

    Args:
        own: The entry.
        book: Its homes.
        instances: All instances of all services.
        candidates: Living entries that can be given homes; with the entry
            itself if it may claim.
        dead: Processes of which there is proof that they ended.
        is_leaving: Whether the entry gives all its homes away.
    """
    world = records.World(own, candidates, dead, frozenset(), ())
    placements = tuple(_place(item, book, world) for item in instances)
    if is_leaving:
        moves = tuple(_give_all(book, world))
    else:
        moves = tuple(_balance(book, placements, world))
    claims = frozenset(_choose_claims(book, placements, world))
    return dataclasses.replace(world, claims=claims, moves=moves)


def _place(
    instance: instances_lib.Instance,
    book: homes.HomeBook,
    world: records.World,
) -> records.Placement:
    instance_id = instance.instance_id
    known = book.find_known(instance_id)
    holder = None if known is None else known.owner
    if home_planner.is_free(book.describe(instance_id), world):
        holder = None
    return records.Placement(
        instance_id, instance.service, instance.zone, holder
    )


def _choose_claims(
    book: homes.HomeBook,
    placements: tuple[records.Placement, ...],
    world: records.World,
) -> Iterator[str]:
    alive = {one.entry for one in world.candidates}
    for move in home_balance.assign_free(placements, world.candidates):
        record = book.describe(move.instance_id).record
        death_reporter = None if record is None else record.death_reporter
        claimant = death_reporter if death_reporter in alive else move.receiver
        if claimant == world.own:
            yield move.instance_id


def _balance(
    book: homes.HomeBook,
    placements: tuple[records.Placement, ...],
    world: records.World,
) -> Iterator[records.Move]:
    if book.list_handovers():
        return
    move = home_balance.choose_move(world.own, placements, world.candidates)
    if move is not None:
        yield move


def _give_all(
    book: homes.HomeBook, world: records.World
) -> Iterator[records.Move]:
    alive = {one.entry for one in world.candidates}
    for instance_id in book.list_held():
        record = book.describe(instance_id).record
        receiver = None if record is None else record.successor
        if receiver not in alive:
            receiver = home_balance.choose_successor(
                instance_id, world.own, world.candidates
            )
        if receiver is not None:
            yield records.Move(instance_id, receiver)
