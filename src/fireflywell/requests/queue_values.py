"""Values that the queue of a service takes and returns."""

import dataclasses
import datetime
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A request that waits for a slot or holds one.

    Attributes:
        request_id: Unique among the requests of the queue.
        class_name: Name of its class in the bundle.
        team: Name of its team in the bundle.
        route: Part of the path by which run times are told apart.
        enqueued_at: Monotonic time at which it arrived.
        deadline: Monotonic time by which it must be answered; None for no
            limit.
    """

    request_id: str
    class_name: str
    team: str
    route: str
    enqueued_at: datetime.timedelta
    deadline: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SlotState:
    """Slots of the service's instances whose home this entry is.

    Attributes:
        total: All slots.
        free: Slots without a request in progress.
        long_in_progress: Requests in progress for which `is_long` holds now,
            whoever sent them.
    """

    total: int
    free: int
    long_in_progress: int


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request waits for its turn.

    Attributes:
        expected_wait: Estimated time until it starts.
    """

    expected_wait: datetime.timedelta


class RefusalKind(enum.StrEnum):
    """Why a request wasn't queued."""

    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_TEAM = "unknown_team"
    DUPLICATE = "duplicate"
    CLASS_FULL = "class_full"
    TEAM_FULL = "team_full"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True, slots=True)
class QueueRefusal:
    """The request wasn't queued and won't be run.

    Attributes:
        reason: What happened and what the caller can do.
        retry_after: Time after which a new try can help; None if none can.
        kind: The same reason for metrics and status codes.
    """

    reason: str
    retry_after: datetime.timedelta | None
    kind: RefusalKind


@dataclasses.dataclass(frozen=True, slots=True)
class QueueOptions:
    """Settings of a service's queue.

    Attributes:
        closed_share: Part of the slots that is closed to long work.
        long_threshold: Work with a longer typical run time is long.
        smoothing: Weight of a new observation in the moving averages.
        quick_guess: Run time assumed for quick work never observed.
        long_guess: Run time assumed for long work never observed.
        maximum_routes: Routes of a class whose times are kept apart.
        peak_half_life: Time in which the remembered peak use of long slots
            halves.
        maximum_retry_after: Upper bound of the advised pause.
    """

    closed_share: float = 3 / 8
    long_threshold: datetime.timedelta = datetime.timedelta(milliseconds=500)
    smoothing: float = 0.1
    quick_guess: datetime.timedelta = datetime.timedelta(milliseconds=50)
    long_guess: datetime.timedelta = datetime.timedelta(seconds=5)
    maximum_routes: int = 64
    peak_half_life: datetime.timedelta = datetime.timedelta(seconds=60)
    maximum_retry_after: datetime.timedelta = datetime.timedelta(seconds=60)
