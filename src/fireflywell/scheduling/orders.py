"""Orders to workers, outcomes of orders and reports of workers."""

import dataclasses
import datetime
import enum
from typing import Protocol

# Longest time limit of an order, and of a report request beyond its wait.
ORDER_TIMEOUT = datetime.timedelta(milliseconds=700)
REPORT_TIMEOUT = datetime.timedelta(milliseconds=1200)


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a unit.

    Attributes:
        unit: Name of the unit.
        run: Number of the run.
        specification: Opaque text that the job's caller submitted.
        lease_until_ms: End of the lease on the worker's clock.
        fencing_token: Fencing token of the service's owner.
        checkpoint: Checkpoint to resume from; empty to start from the
            beginning.
        ticket: Ticket of the advice service; empty if none is needed.
        timeout: Time limit for the answer.
    """

    unit: str
    run: int
    specification: str
    lease_until_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""
    timeout: datetime.timedelta = ORDER_TIMEOUT


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Order to stop a run, or never to start it."""

    unit: str
    run: int
    fencing_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleOrder:
    """Order that sets the share of its worker that a filling run may use."""

    unit: str
    run: int
    percent: int
    fencing_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewOrder:
    """Order to extend the lease of all runs on a worker and to report them.

    Attributes:
        fencing_token: Fencing token of the service's owner.
        last_acknowledged_end: Number of the last end that was applied; the
            worker may discard the ends up to it.
        lease_until_ms: End of the lease on the worker's clock, or None to
            request a report without extending the lease.
        wait: How long the worker may delay the report until a run ends.
        timeout: Time limit for the answer, beyond the wait.
    """

    fencing_token: int
    last_acknowledged_end: int
    lease_until_ms: int | None
    wait: datetime.timedelta
    timeout: datetime.timedelta = REPORT_TIMEOUT


class Refusal(enum.StrEnum):
    """Why a worker refused an order."""

    FENCED = "fence"  # The worker has seen a higher fencing token.
    OLD_RUN = "old"  # The worker has seen this run number or a higher one.
    LEASE_OVER = "late"  # The lease in the order has expired.
    NO_ROOM = "room"  # The unit doesn't fit into the free capacity.
    NO_TICKET = "ticket"  # The ticket is missing or no longer valid.
    OTHER = "other"


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The order was carried out; `clock_ms` is the worker's clock."""

    clock_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """This transmission of the order was not carried out and won't be."""

    reason: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Unhealthy:
    """The worker accepts no orders now; this transmission had no effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class IncarnationMismatch:
    """A worker with another id responded; this transmission had no effect."""


OrderOutcome = Accepted | Refused | Unhealthy | IncarnationMismatch


class EndKind(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclasses.dataclass(frozen=True, slots=True)
class RunReport:
    """A run that is active on a worker.

    Attributes:
        unit: Name of the unit.
        run: Number of the run.
        checkpoint: Newest checkpoint, empty if there is none.
        percent: Progress; for a long-running unit, 100 once it serves.
        load: Tail latency in ms of a serving unit, CPU usage of any other.
    """

    unit: str
    run: int
    checkpoint: str
    percent: int
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndReport:
    """A run that has ended on a worker.

    Attributes:
        number: Position in the worker's list of ends.
        unit: Name of the unit.
        run: Number of the run.
        kind: How it ended.
        checkpoint: Last checkpoint, empty if there is none.
    """

    number: int
    unit: str
    run: int
    kind: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's report of its runs.

    Attributes:
        clock_ms: Time on the worker's clock.
        started_unix_ms: Start of this incarnation; 0 if it isn't reported.
        running: Active runs.
        ended: Ended runs that were not acknowledged yet.
        has_all_ends: Whether `ended` lists all of them; a worker bounds the
            size of its reports.
    """

    clock_ms: int
    started_unix_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    has_all_ends: bool = True


class WorkerClient(Protocol):
    """Sends orders to one worker.

    All methods that send an order raise `PlatformUnavailableError` if it was
    not sent, and `AnswerLostError` if its outcome is unknown: the worker may
    carry it out, possibly much later.
    """

    async def start(self, order: StartOrder) -> OrderOutcome:
        """Starts a unit; the same order may be sent repeatedly."""

    async def stop(self, order: StopOrder) -> OrderOutcome:
        """Stops a run."""

    async def throttle(self, order: ThrottleOrder) -> OrderOutcome:
        """Sets the share of the worker that a filling run may use."""

    async def renew(self, order: RenewOrder) -> WorkerReport | OrderOutcome:
        """Extends the lease of all runs.

        Returns:
            The worker's report, or the outcome if it refused the order.
        """

    async def close(self) -> None:
        """Closes the connections to the worker."""
