"""Interface of counters, gauges and timers."""

import datetime
from typing import Protocol


class Metrics(Protocol):
    """Records samples; metric names are listed in docs/OPERATIONS.md."""

    def count(self, name: str, amount: int = 1) -> None:
        """Adds `amount` to a counter."""

    def record_gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""

    def record_duration(self, name: str, duration: datetime.timedelta) -> None:
        """Adds one sample to a timer."""


class NullMetrics:
    """Discards all samples."""

    __slots__ = ()

    def count(self, name: str, amount: int = 1) -> None:
        """Discards a counter."""

    def record_gauge(self, name: str, value: float) -> None:
        """Discards a gauge."""

    def record_duration(self, name: str, duration: datetime.timedelta) -> None:
        """Discards a timer sample."""
