"""Orders to workers, their outcomes and workers' reports."""

import dataclasses
import datetime
import enum
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Asks a worker to start a unit.

    Attributes:
        unit: Name of the unit.
        run: Number of the run.
        specification: Text of the job.
        lease_until_ms: End of the lease on the worker's clock.
        fencing_token: Token of the giver's tenure.
        checkpoint: Where to resume; empty for the beginning.
        ticket: Permission of the advice service; empty if none is needed.
    """

    unit: str
    run: int
    specification: str
    lease_until_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Asks a worker to stop a run, or never to start it."""

    unit: str
    run: int
    fencing_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleOrder:
    """Sets the share of a worker that a filling run may use."""

    unit: str
    run: int
    percent: int
    fencing_token: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewOrder:
    """Extends the lease of all runs on a worker and asks for a report.

    Attributes:
        fencing_token: Token of the giver's tenure.
        last_acknowledged_end: Number of the last end that may be forgotten.
        lease_until_ms: End of the lease on the worker's clock, or None to
            only read.
        wait: How long the report may wait for an end.
    """

    fencing_token: int
    last_acknowledged_end: int
    lease_until_ms: int | None
    wait: datetime.timedelta


class Refusal(enum.StrEnum):
    """Why a worker refused an order."""

    FENCED = "fence"  # A higher fencing token was seen.
    OLD_RUN = "old"  # A run that is not lower has been there.
    LEASE_OVER = "late"  # The lease of the order is over.
    NO_ROOM = "room"  # The unit doesn't fit.
    NO_TICKET = "ticket"  # The ticket is missing or no longer valid.
    OTHER = "other"


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The order was carried out."""

    clock_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The order was not carried out and won't be."""

    reason: Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Unhealthy:
    """The worker takes no orders now; nothing was done."""


@dataclasses.dataclass(frozen=True, slots=True)
class IncarnationMismatch:
    """Another incarnation of the worker answered; nothing was done."""


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
        percent: Progress; of long-running units, 100 once at work.
        load: Tail latency in ms of a serving unit, else cpu in use.
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
    """What a worker says of its runs.

    Attributes:
        clock_ms: The worker's clock.
        started_unix_ms: Start of this incarnation; 0 if the worker doesn't say.
        running: Active runs.
        ended: Ends that were not noted yet.
    """

    clock_ms: int
    started_unix_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]


class WorkerClient(Protocol):
    """Calls to one worker.

    All methods raise `PlatformUnavailableError` if the order was not sent and
    `AnswerLostError` if it may be carried out, perhaps much later.
    """

    async def start(self, order: StartOrder) -> OrderOutcome:
        """Starts a unit; the same order may be sent again."""

    async def stop(self, order: StopOrder) -> OrderOutcome:
        """Stops a run."""

    async def throttle(self, order: ThrottleOrder) -> OrderOutcome:
        """Sets the share of a filling run."""

    async def renew(self, order: RenewOrder) -> WorkerReport | OrderOutcome:
        """Extends the lease of all runs and returns the worker's report."""

    async def close(self) -> None:
        """Closes the connections."""
