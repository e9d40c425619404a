"""Log lines by eliot, written by a thread so that no task waits for a disk."""

import datetime
import json
import queue
import threading
from typing import Any
from typing import TextIO

import eliot

from fireflywell import clock as clock_lib

_QUEUE_LINES = 20_000

# Lines that one kind of event may write in each second. Each kind has its own
# budget, so that a flood of one kind doesn't suppress lines of others, such as
# refusals or state changes.
LINES_PER_SECOND = 150
_WINDOW = datetime.timedelta(seconds=1)

# Bounds the wait in `close`: a reader of the log that has stopped reading must
# not keep a process from ending.
_CLOSE_TIMEOUT_S = 1.0


class _EventBudget:
    """Counts the lines of one kind of event in the current window."""

    __slots__ = ("count", "suppressed", "window_start")

    def __init__(self, window_start: datetime.timedelta) -> None:
        self.window_start = window_start
        self.count = 0
        self.suppressed = 0


class QueuedLogWriter:
    """Eliot destination that queues lines for a writer thread.

    Lines are dropped and counted while the queue is full, so that a slow disk
    neither stalls requests nor grows memory.
    """

    __slots__ = (
        "_budgets",
        "_clock",
        "_dropped",
        "_output",
        "_queue",
        "_thread",
    )

    def __init__(
        self, output: TextIO, clock: clock_lib.Clock | None = None
    ) -> None:
        self._output = output
        self._clock = clock or clock_lib.SystemClock()
        self._budgets: dict[str, _EventBudget] = {}
        self._dropped = 0
        self._queue: queue.Queue[dict[str, Any] | None] = queue.Queue(
            _QUEUE_LINES
        )
        self._thread = threading.Thread(target=self._write_lines, daemon=True)

    @property
    def dropped(self) -> int:
        """Number of lines dropped because the queue was full."""
        return self._dropped

    def __call__(self, message: dict[str, Any]) -> None:
        """Queues one message, or drops it.

        A message is dropped if its event has used up its budget for the current
        second or if the queue is full.
        """
        event = str(message.get("message_type", ""))
        now = self._clock.monotonic()
        budget = self._budgets.get(event)
        if budget is None:
            budget = self._budgets[event] = _EventBudget(now)
        if now - budget.window_start >= _WINDOW:
            self._report_suppressed(event, budget)
            budget.window_start = now
            budget.count = 0
        budget.count += 1
        if budget.count > LINES_PER_SECOND:
            budget.suppressed += 1
            return
        self._enqueue(message)

    def _report_suppressed(self, event: str, budget: _EventBudget) -> None:
        if budget.suppressed:
            self._enqueue(
                {
                    "message_type": "log.left_out",
                    "event": event,
                    "count": budget.suppressed,
                }
            )
            budget.suppressed = 0

    def _enqueue(self, message: dict[str, Any]) -> None:
        try:
            self._queue.put_nowait(message)
        except queue.Full:
            self._dropped += 1

    def start(self) -> None:
        """Starts the writer thread and registers as an eliot destination."""
        self._thread.start()
        eliot.add_destinations(self)

    def close(self) -> None:
        """Writes the queued lines and ends the writer thread.

        Waits at most `_CLOSE_TIMEOUT_S` for space in the queue and as long
        again for the thread.
        """
        eliot.remove_destination(self)
        for event, budget in self._budgets.items():
            self._report_suppressed(event, budget)
        try:
            self._queue.put(None, timeout=_CLOSE_TIMEOUT_S)
        except queue.Full:
            return
        self._thread.join(_CLOSE_TIMEOUT_S)

    def _write_lines(self) -> None:
        while True:
            message = self._queue.get()
            if message is None:
                return
            self._output.write(json.dumps(message, default=str) + "\n")
            if self._queue.empty():
                self._output.flush()


def log_event(event: str, **fields: Any) -> None:
    """Writes one log line.

    Args:
        event: Dotted event name such as `routing.decision`; all names are
            listed in docs/OPERATIONS.md.
        **fields: Values of the line, of types that JSON can hold.
    """
    eliot.log_message(message_type=event, **fields)


def round_seconds(duration: datetime.timedelta | None) -> float | None:
    """Returns a duration in seconds, rounded to milliseconds for log lines."""
    return None if duration is None else round(duration.total_seconds(), 3)


def log_child_failure(supervisor: str, child: str, error: Exception) -> None:
    """Writes the log line for a failed child of a supervisor."""
    log_event(
        "supervision.child_failed",
        supervisor=supervisor,
        child=child,
        error_type=type(error).__name__,
        error=str(error),
    )
