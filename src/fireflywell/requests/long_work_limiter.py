"""Decides which class may start work: closed slots, shares and lending.

A slot lent to long work is free again only when that work ends. So a class gets
slots for long work beyond its share only while enough slots remain for the
demand of clearly shorter work: its moving mean use, plus a margin of a few
square roots of that mean, as in square-root staffing.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import math

from fireflywell.bundle import model
from fireflywell.requests import queue_values

# Work is clearly shorter below this fraction of the borrower's run time.
_SHORTER_WORK_RATIO = 0.5
# Shares are computed without classes whose mean use, in slots, is not above
# this.
_MINIMUM_MEAN_USE = 0.01


class SlotUsage:
    """Slots that one class holds now, and their exponentially decaying mean."""

    __slots__ = ("_updated_at", "in_progress", "mean", "run_time", "weight")

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.in_progress = 0
        self.mean = 0.0
        self.run_time = 0.0
        self._updated_at = 0.0

    @property
    def is_active(self) -> bool:
        """Whether the class holds a slot or its mean use isn't negligible."""
        return self.in_progress > 0 or self.mean > _MINIMUM_MEAN_USE

    def update(self, now: float, half_life: float) -> None:
        """Decays the mean towards the number of requests in progress."""
        elapsed = now - self._updated_at
        if elapsed > 0:
            decay = 0.5 ** (elapsed / half_life)
            self.mean = (
                self.in_progress + (self.mean - self.in_progress) * decay
            )
            self._updated_at = now


class LongWorkLimiter:
    """Tracks each class's slots, separately for quick and long work."""

    __slots__ = ("_half_life", "_long", "_options", "_quick", "_weights")

    def __init__(self, options: queue_values.QueueOptions) -> None:
        self._options = options
        self._half_life = options.use_half_life.total_seconds()
        self._weights: dict[str, float] = {}
        self._quick: dict[str, SlotUsage] = {}
        self._long: dict[str, SlotUsage] = {}

    def count_long_work_slots(self, total: int) -> int:
        """Returns the slots out of `total` that long work may use."""
        if total == 0:
            return 0
        return max(1, total - round(total * self._options.closed_share))

    def configure(self, classes: Iterable[model.RequestClass]) -> None:
        """Sets the classes and their weights."""
        self._weights = {item.name: item.weight for item in classes}
        for usages in (self._quick, self._long):
            for name, usage in usages.items():
                usage.weight = self._weights.get(name, usage.weight)

    def record_start(self, class_name: str, is_long: bool, now: float) -> None:
        """Records that a class took a slot."""
        usage = self._find(class_name, is_long)
        usage.update(now, self._half_life)
        usage.in_progress += 1

    def record_finish(
        self, class_name: str, is_long: bool, run_time: float, now: float
    ) -> None:
        """Records that a class released a slot.

        Args:
            class_name: The class.
            is_long: As given to `record_start`.
            run_time: Mean run time in seconds of the route.
            now: Monotonic seconds.
        """
        usage = self._find(class_name, is_long)
        usage.update(now, self._half_life)
        usage.in_progress = max(0, usage.in_progress - 1)
        usage.run_time = run_time

    def estimate_rate(self, class_name: str, total: int, now: float) -> float:
        """Returns the expected number of slots of a class with a backlog.

        At least its share, and more while other classes don't use theirs.

        Args:
            class_name: The class.
            total: All slots.
            now: Monotonic seconds.
        """
        weights = sum(self._weights.values())
        used: dict[str, float] = {}
        for usages in (self._quick, self._long):
            for name, usage in usages.items():
                if name != class_name:
                    usage.update(now, self._half_life)
                    used[name] = used.get(name, 0.0) + usage.mean
        remaining = total - sum(
            min(mean, total * self._weights.get(name, 0.0) / weights)
            for name, mean in used.items()
        )
        return max(remaining, total * self._weights[class_name] / weights)

    def may_start(
        self,
        class_name: str,
        run_time: float,
        slots: queue_values.SlotState,
        now: float,
    ) -> bool:
        """Whether a class may start long work now.

        Args:
            class_name: The class.
            run_time: Expected run time in seconds.
            slots: State of the slots.
            now: Monotonic seconds.
        """
        long_work_slots = self.count_long_work_slots(slots.total)
        if slots.free <= 0 or slots.long_in_progress >= long_work_slots:
            return False
        usage = self._find(class_name, True)
        usage.update(now, self._half_life)
        usage.run_time = run_time
        weights = usage.weight
        for other in self._list_others(usage):
            other.update(now, self._half_life)
            weights += other.weight if other.is_active else 0.0
        share = max(
            1.0, min(slots.total * usage.weight / weights, long_work_slots)
        )
        if usage.in_progress + 1 <= share:
            return True
        # A fractional share is met in the mean: 1.2 slots are one slot all of
        # the time and a second one for a fifth of it.
        if usage.in_progress < share and usage.mean < share:
            return True
        return self._can_lend_slot(usage, run_time, slots.total, weights)

    def may_start_quick(
        self,
        class_name: str,
        run_time: float,
        slots: queue_values.SlotState,
        now: float,
    ) -> bool:
        """Whether a class may start quick work now.

        A class that uses its share or more leaves the last free slot to clearly
        shorter work, which would otherwise wait for a much longer run.

        Args:
            class_name: The class.
            run_time: Expected run time in seconds.
            slots: State of the slots.
            now: Monotonic seconds.
        """
        if slots.free != 1:
            return slots.free > 1
        usage = self._find(class_name, False)
        weights = sum(self._weights.values()) or usage.weight
        share = slots.total * usage.weight / weights
        if usage.in_progress < max(1.0, share):
            return True
        for other in self._list_others(usage):
            if other.run_time < run_time * _SHORTER_WORK_RATIO:
                other.update(now, self._half_life)
                if other.is_active:
                    return False
        return True

    def _can_lend_slot(
        self, borrower: SlotUsage, run_time: float, total: int, weights: float
    ) -> bool:
        """Whether clearly shorter work can spare one more slot.

        The current use of shorter work doesn't count: each short peak would
        admit one more borrower, which outlasts the peak.
        """
        mean = share = 0.0
        lent = borrower.in_progress + 1
        for other in self._list_others(borrower):
            if other.run_time >= run_time * _SHORTER_WORK_RATIO:
                lent += other.in_progress
            elif other.is_active:
                mean += other.mean
                share += other.weight * total / weights
        needed = mean + self._options.lending_margin * math.sqrt(mean)
        return total - lent >= min(needed, share)

    def _list_others(self, usage: SlotUsage) -> Iterator[SlotUsage]:
        for usages in (self._quick, self._long):
            for other in usages.values():
                if other is not usage:
                    yield other

    def _find(self, class_name: str, is_long: bool) -> SlotUsage:
        usages = self._long if is_long else self._quick
        usage = usages.get(class_name)
        if usage is None:
            usage = usages[class_name] = SlotUsage(
                self._weights.get(class_name, 1.0)
            )
        return usage
