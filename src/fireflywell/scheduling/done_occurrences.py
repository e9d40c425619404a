"""The occurrences of a recurring job that are done."""

from collections.abc import Iterator


class DoneOccurrences:
    """A set of occurrences that takes little memory if they end in order."""

    __slots__ = ("_above", "_below")

    def __init__(self) -> None:
        # All below this one are in the set, and of the later ones these.
        self._below = 0
        self._above: set[int] = set()

    def __contains__(self, occurrence: int) -> bool:
        return occurrence < self._below or occurrence in self._above

    def __len__(self) -> int:
        return self._below + len(self._above)

    def __iter__(self) -> Iterator[int]:
        yield from range(self._below)
        yield from sorted(self._above)

    def list_runs(self, first: int, end: int) -> list[range]:
        """Returns those from `first` up to `end` as ranges, in any order."""
        above = self._above
        if end - first < len(above):
            above = above.intersection(range(first, end))
        runs = [range(k, k + 1) for k in above if first <= k < end]
        if first < self._below:
            runs.append(range(first, min(end, self._below)))
        return runs

    def add(self, occurrence: int) -> None:
        """Adds an occurrence."""
        if occurrence < self._below:
            return
        self._above.add(occurrence)
        while self._below in self._above:
            self._above.remove(self._below)
            self._below += 1
