"""Which class may start long work: closed slots, shares and lending.

A slot lent to long work comes back only when that work ends. So a class gets
long slots beyond its share only while those stay free that classes with
clearly shorter work have used lately.
"""

from fireflywell.requests import queue_values

# Work of at most this part of a borrower's run time is protected from it.
_CLEARLY_SHORTER = 0.5
# A class whose remembered peak is below this has no recent use to protect.
_SMALLEST_PEAK = 0.5


class LongUse:
    """Long slots that one class holds and held lately."""

    __slots__ = ("in_progress", "mean", "name", "peak", "updated_at", "weight")

    def __init__(self, name: str, weight: float) -> None:
        self.name = name
        self.weight = weight
        self.in_progress = 0
        self.mean = 0.0
        self.peak = 0.0
        self.updated_at = 0.0

    def decay(self, now: float, half_life: float) -> None:
        """Lets the remembered peak approach the present use."""
        elapsed = now - self.updated_at
        if elapsed > 0:
            excess = self.peak - self.in_progress
            self.peak = self.in_progress + excess * 0.5 ** (elapsed / half_life)
        self.updated_at = now


class LongSlots:
    """Use of long slots by class."""

    __slots__ = ("_closed_share", "_half_life", "_uses")

    def __init__(self, options: queue_values.QueueOptions) -> None:
        self._closed_share = options.closed_share
        self._half_life = options.peak_half_life.total_seconds()
        self._uses: dict[str, LongUse] = {}

    def count_open(self, total: int) -> int:
        """Returns the slots out of `total` that long work may use."""
        if total == 0:
            return 0
        return max(1, total - round(total * self._closed_share))

    def set_weight(self, class_name: str, weight: float) -> None:
        """Sets the weight of a class."""
        self._find(class_name).weight = weight

    def note_started(self, class_name: str, now: float) -> None:
        """Notes that long work of a class took a slot."""
        use = self._find(class_name)
        use.decay(now, self._half_life)
        use.in_progress += 1
        use.peak = max(use.peak, use.in_progress)

    def note_finished(self, class_name: str, mean: float, now: float) -> None:
        """Notes that long work of a class gave its slot back.

        Args:
            class_name: The class.
            mean: Mean run time in seconds of the route.
            now: Monotonic seconds.
        """
        use = self._find(class_name)
        use.decay(now, self._half_life)
        use.in_progress = max(0, use.in_progress - 1)
        use.mean = mean

    def may_start(
        self, class_name: str, mean: float, total: int, used: int, now: float
    ) -> bool:
        """Whether a class may start long work now.

        Args:
            class_name: The class.
            mean: Expected run time in seconds.
            total: All slots.
            used: Slots in which long work is in progress.
            now: Monotonic seconds.
        """
        open_slots = self.count_open(total)
        spare = open_slots - used
        if spare <= 0:
            return False
        use = self._find(class_name)
        use.mean = mean
        for other in self._uses.values():
            other.decay(now, self._half_life)
        share = self._compute_share(use, open_slots)
        if use.in_progress < max(1.0, share):
            return True
        return spare > sum(
            self._count_protected(other, open_slots)
            for other in self._uses.values()
            if other is not use and other.mean < mean * _CLEARLY_SHORTER
        )

    def _count_protected(self, use: LongUse, open_slots: int) -> float:
        kept = min(use.peak, self._compute_share(use, open_slots))
        return max(0.0, kept - use.in_progress)

    def _compute_share(self, use: LongUse, open_slots: int) -> float:
        weights = sum(
            other.weight
            for other in self._uses.values()
            if other is use or other.peak >= _SMALLEST_PEAK
        )
        return open_slots * use.weight / weights

    def _find(self, class_name: str) -> LongUse:
        use = self._uses.get(class_name)
        if use is None:
            use = self._uses[class_name] = LongUse(class_name, 1.0)
        return use
