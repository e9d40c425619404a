"""Notices ends that a worker has forgotten before they were reported."""

from fireflywell.scheduling import orders
from fireflywell.telemetry import logs


class EndNumbers:
    """Numbers of the ends that one worker has listed.

    An incarnation numbers its ends without gaps and lists each one until it is
    acknowledged. A gap shows that an acknowledgement of another incarnation's
    ends has reached it.
    """

    __slots__ = ("_last", "_worker_id")

    def __init__(self, worker_id: str) -> None:
        self._worker_id = worker_id
        # Highest number that was listed; None while that isn't known.
        self._last: int | None = None

    def begin_incarnation(self) -> None:
        """Records that the worker has restarted and numbers from 1 again."""
        self._last = 0

    def check(self, ended: tuple[orders.EndReport, ...]) -> None:
        """Logs the numbers that are missing before those of a report."""
        if not ended:
            return
        numbers = [end.number for end in ended]
        first = min(numbers)
        if self._last is not None and first > self._last + 1:
            logs.log_event(
                "worker.ends_missing",
                worker=self._worker_id,
                first=self._last + 1,
                last=first - 1,
            )
        self._last = max(self._last or 0, *numbers)
