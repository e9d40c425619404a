"""Log lines by eliot, written by a thread so that no task waits for a disk."""

import json
import queue
import threading
from typing import Any
from typing import TextIO

import eliot

_QUEUE_LINES = 20_000


class QueuedLogWriter:
    """Eliot destination that hands lines to a writer thread.

    Lines beyond the bound of the queue are dropped and counted: a slow disk
    must not stall requests or grow memory.
    """

    __slots__ = ("_dropped", "_output", "_queue", "_thread")

    def __init__(self, output: TextIO) -> None:
        self._output = output
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
        """Queues one message; drops it if the queue is full."""
        try:
            self._queue.put_nowait(message)
        except queue.Full:
            self._dropped += 1

    def start(self) -> None:
        """Starts the writer thread and registers with eliot."""
        self._thread.start()
        eliot.add_destinations(self)

    def close(self) -> None:
        """Writes what is queued and ends the thread."""
        eliot.remove_destination(self)
        self._queue.put(None)
        self._thread.join()

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
            listed in docs/operations.md.
        **fields: Values of the line, of types that JSON can hold.
    """
    eliot.log_message(message_type=event, **fields)


def log_child_failure(supervisor: str, child: str, error: Exception) -> None:
    """Writes the log line for a failed child of a supervisor."""
    log_event(
        "supervision.child_failed",
        supervisor=supervisor,
        child=child,
        error_type=type(error).__name__,
        error=str(error),
    )
