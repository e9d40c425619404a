"""Stops that workers haven't been told yet, and when they are repeated."""

import collections
import dataclasses

from fireflywell.scheduling import runs as runs_lib
from fireflywell.scheduling import workers as workers_lib

# A run that is still open this long after its stop was requested is stopped
# again.
_RETRY_INTERVAL_S = 1.0
_MAX_ORPHANS = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequest:
    """Request to stop a run on a worker."""

    worker_id: str
    unit: str
    run: int


class StopRequests:
    """Requests to stop runs.

    Attributes:
        pending: Stops that haven't been sent yet, oldest first.
    """

    __slots__ = ("_orphan_times", "pending")

    def __init__(self) -> None:
        self.pending: collections.deque[StopRequest] = collections.deque()
        # When the stop of a run without a matching unit was last requested.
        self._orphan_times: dict[StopRequest, float] = {}

    def add(self, run: runs_lib.Run) -> None:
        """Requests the stop of a run."""
        self.pending.append(
            StopRequest(run.worker_id, run.unit.name, run.number)
        )

    def add_orphan(self, request: StopRequest, now_s: float) -> bool:
        """Requests the stop of a run that no unit accounts for.

        Reports list the run until it has ended, so the request is repeated only
        after `_RETRY_INTERVAL_S`.

        Returns:
            Whether this is the first request for the run.
        """
        requested_s = self._orphan_times.get(request)
        if requested_s is not None and now_s - requested_s < _RETRY_INTERVAL_S:
            return False
        if len(self._orphan_times) > _MAX_ORPHANS:
            self._orphan_times.clear()
        self._orphan_times[request] = now_s
        self.pending.append(request)
        return requested_s is None

    def repeat(self, worker: workers_lib.Worker, now_s: float) -> None:
        """Requests the stops again that a worker hasn't confirmed in time.

        A start that the next incarnation may carry out is stopped, too, if
        reports don't settle it within the same time: they do only if the token
        in requests has risen with the incarnation.
        """
        for run in worker.runs.values():
            if (
                run.phase is not runs_lib.RunPhase.STOPPING
                and not run.may_start_on_next_incarnation
            ):
                continue
            if run.stop_requested_s is None:
                run.stop_requested_s = now_s
            elif now_s - run.stop_requested_s >= _RETRY_INTERVAL_S:
                run.stop_requested_s = now_s
                self.add(run)
