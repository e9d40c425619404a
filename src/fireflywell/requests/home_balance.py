"""Decides how homes are spread over the living entries."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import hashlib

from fireflywell.requests import home_records as records


class _Counts:
    """Number of homes by entry, for a service and in all."""

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


def assign_free(
    placements: tuple[records.Placement, ...],
    candidates: tuple[records.Candidate, ...],
) -> Iterator[records.Move]:
    """Yields an entry for each instance without a holder.

    All entries come to the same result from the same input, so that they
    rarely claim the same instance.
    """
    if not candidates:
        return
    counts = _Counts(placements)
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
    """Returns the next home that this entry should give away, if any.

    Only the entry with the most homes of a service gives, and only to one
    that has at least two less. So the moves end within one of even, and two
    entries don't give to the same one at once.
    """
    counts = _Counts(placements)
    for service in sorted({item.service for item in placements}):
        fullest = max(
            candidates,
            key=lambda one: (
                counts.count(service, one.entry),
                one.entry.address,
            ),
            default=None,
        )
        if fullest is None or fullest.entry != own:
            continue
        given = [
            item
            for item in placements
            if item.service == service and item.holder == own
        ]
        emptiest = (
            min(candidates, key=lambda one: counts.rank(given[0], one))
            if given
            else fullest
        )
        surplus = counts.count(service, own) - counts.count(
            service, emptiest.entry
        )
        if surplus < 2:
            continue
        best = min(
            given,
            key=lambda item: (item.zone != emptiest.zone, item.instance_id),
        )
        return records.Move(best.instance_id, emptiest.entry)
    return None


def choose_successor(
    instance_id: str,
    owner: records.EntryId,
    candidates: tuple[records.Candidate, ...],
) -> records.EntryId | None:
    """Returns the entry that the owner may hand over to.

    The choice by digest spreads the homes of one owner over all others.
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
