"""Balances homes over the entries that are alive."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import hashlib

from fireflywell.requests import home_records as records


class _HomeCounts:
    """Number of homes by entry, for each service and in total."""

    __slots__ = ("_services", "_totals")

    def __init__(self, placements: Iterable[records.Placement]) -> None:
        self._services: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._totals: collections.Counter[str] = collections.Counter()
        for item in placements:
            if item.holder is not None:
                self.add(item.service, item.holder)

    def add(self, service: str, entry: records.EntryId) -> None:
        """Counts one more home of an entry."""
        self._services[service, entry.address] += 1
        self._totals[entry.address] += 1

    def count(self, service: str, entry: records.EntryId) -> int:
        """Returns the number of an entry's homes of a service."""
        return self._services[service, entry.address]

    def rank(
        self, item: records.Placement, candidate: records.Candidate
    ) -> tuple[int, bool, int, str]:
        """Orders the candidates for an instance, the best one first."""
        entry = candidate.entry
        return (
            self._services[item.service, entry.address],
            candidate.zone != item.zone,
            self._totals[entry.address],
            entry.address,
        )


def assign_unowned(
    placements: tuple[records.Placement, ...],
    candidates: tuple[records.Candidate, ...],
) -> Iterator[records.Move]:
    """Yields a new home for each instance without a holder.

    The result is deterministic: all entries compute the same one from the same
    input, so that two of them rarely claim the same instance.
    """
    if not candidates:
        return
    counts = _HomeCounts(placements)
    for item in sorted(placements, key=lambda item: item.instance_id):
        if item.holder is None:
            best = min(candidates, key=lambda one: counts.rank(item, one))
            counts.add(item.service, best.entry)
            yield records.Move(item.instance_id, best.entry)


def choose_move(
    own: records.EntryId,
    placements: tuple[records.Placement, ...],
    candidates: tuple[records.Candidate, ...],
) -> records.Move | None:
    """Returns the next home that this entry should hand over, or None.

    Only the entry with the most homes of a service hands one over, and only to
    an entry that has at least two fewer. So the moves end when the counts
    differ by at most one, and two entries don't hand over to the same one at
    once.
    """
    counts = _HomeCounts(placements)
    for service in sorted({item.service for item in placements}):
        most_loaded = max(
            candidates,
            key=lambda one: (
                counts.count(service, one.entry),
                one.entry.address,
            ),
            default=None,
        )
        if most_loaded is None or most_loaded.entry != own:
            continue
        own_placements = [
            item
            for item in placements
            if item.service == service and item.holder == own
        ]
        least_loaded = (
            min(candidates, key=lambda one: counts.rank(own_placements[0], one))
            if own_placements
            else most_loaded
        )
        surplus = counts.count(service, own) - counts.count(
            service, least_loaded.entry
        )
        if surplus < 2:
            continue
        best = min(
            own_placements,
            key=lambda item: (item.zone != least_loaded.zone, item.instance_id),
        )
        return records.Move(best.instance_id, least_loaded.entry)
    return None


def choose_successor(
    instance_id: str,
    owner: records.EntryId,
    candidates: tuple[records.Candidate, ...],
) -> records.EntryId | None:
    """Returns the entry that the owner may hand over to, or None.

    Rendezvous hashing spreads the homes of one owner over all other entries.
    """
    others = [one.entry for one in candidates if one.entry != owner]
    return max(
        others,
        key=lambda entry: _digest(instance_id, entry.address),
        default=None,
    )


def _digest(instance_id: str, address: str) -> bytes:
    text = f"{instance_id} {address}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
