"""Runs of units on workers."""

import enum
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fireflywell.scheduling import steps as steps_lib


class RunPhase(enum.Enum):
    """Phase of a run, from the order to start it until its end."""

    SENDING = enum.auto()  # The start order has no response yet.
    RUNNING = enum.auto()  # The worker confirmed or reported the run.
    START_UNKNOWN = enum.auto()  # The worker may still start the run.
    STOPPING = enum.auto()  # A stop was requested.
    # Can't start on this incarnation of the worker; a report decides.
    AWAITING_REPORT = enum.auto()
    ENDED = enum.auto()  # The run has ended or was never started.


# Planning checks the phase of each run in each pass.
_OPEN_START_PHASES = (RunPhase.SENDING, RunPhase.START_UNKNOWN)


class Run:
    """One attempt to run a unit on a worker."""

    __slots__ = (
        "adopted_s",
        "confirmed_s",
        "is_share_confirmed",
        "load",
        "may_start_until_ms",
        "number",
        "percent",
        "phase",
        "share_percent",
        "start_token",
        "started_s",
        "stop_requested_s",
        "unanswered_starts",
        "unit",
        "worker_id",
    )

    def __init__(
        self,
        unit: "steps_lib.Unit",
        number: int,
        worker_id: str,
        started_s: float,
    ) -> None:
        self.unit = unit
        self.number = number
        self.worker_id = worker_id
        self.started_s = started_s
        self.phase = RunPhase.SENDING
        # Monotonic time of the first report of a run that an earlier owner
        # started; None if this owner started it.
        self.adopted_s: float | None = None
        # Monotonic time at which the worker last confirmed the run or its stop.
        # A report requested later that doesn't list the run means that it has
        # ended.
        self.confirmed_s = started_s
        # Transmissions of the start order that are in flight or had no answer.
        # The worker may carry out each of them until the lease in the order has
        # expired.
        self.unanswered_starts = 0
        # Time on the worker's clock after which it doesn't begin the run: the
        # end of the lease in the order, -inf if no transmission can begin the
        # run any more, inf if no such time is known.
        self.may_start_until_ms = math.inf
        # Fencing token of the start order; inf until there is one. A worker
        # that has received a higher one doesn't begin the run any more.
        self.start_token = math.inf
        # Monotonic time of the last request to stop the run, as far as reports
        # have shown it to be open.
        self.stop_requested_s: float | None = None
        # Progress; 0 until a report lists the run.
        self.percent = 0
        # Share of the worker that a filling unit was last ordered to use.
        self.share_percent = 100
        # Whether the worker accepted the last order on the share.
        self.is_share_confirmed = True
        # Tail latency in ms of a serving unit, CPU usage of any other.
        self.load = 0.0

    @property
    def is_start_open(self) -> bool:
        """Whether the worker hasn't confirmed that it has the order."""
        return self.phase in _OPEN_START_PHASES

    @property
    def may_start_on_next_incarnation(self) -> bool:
        """Whether an order to the worker's former incarnation is open.

        The next incarnation may carry it out, and an answer to it may be the
        former one's.
        """
        return (
            self.phase is not RunPhase.SENDING
            and self.may_start_until_ms == math.inf
        )

    def confirm(self, now_s: float) -> None:
        """Records that the worker has begun the run, which it does once."""
        if self.is_start_open:
            self.phase = RunPhase.RUNNING
        self.may_start_until_ms = -math.inf
        self.confirmed_s = now_s

    def confirm_over(self, now_s: float) -> None:
        """Records that this incarnation won't begin the run any more."""
        self.phase = RunPhase.AWAITING_REPORT
        self.may_start_until_ms = -math.inf
        self.confirmed_s = now_s

    def end_incarnation(self) -> bool:
        """Records that the worker restarted while start orders are open.

        The next incarnation's clock differs from that of the lease in the
        order, so the run is over only if a report that was requested with a
        higher token than the order's, or after a confirmed stop, doesn't list
        it. A run that a report lists goes on, so only one that is unwanted has
        to be stopped.

        Returns:
            Whether the run's stop has to be requested now.
        """
        if self.may_start_on_next_incarnation and (
            self.is_start_open or self.phase is RunPhase.STOPPING
        ):
            return False
        is_unwanted = self.phase in (
            RunPhase.STOPPING,
            RunPhase.AWAITING_REPORT,
        )
        self.phase = (
            RunPhase.STOPPING if is_unwanted else RunPhase.START_UNKNOWN
        )
        self.may_start_until_ms = math.inf
        self.stop_requested_s = None
        return is_unwanted

    def is_over(self, clock_ms: int, requested_s: float, token: int) -> bool:
        """Returns whether a complete report without the run proves its end.

        The worker refuses an order whose lease has expired or whose fencing
        token is below one that it has received, so such a report also proves
        that an order without an answer won't be carried out.

        Args:
            clock_ms: Time of the report on the worker's clock.
            requested_s: Monotonic time at which the report was requested.
            token: Fencing token of that request.
        """
        return self.confirmed_s < requested_s and (
            clock_ms > self.may_start_until_ms or token > self.start_token
        )
