"""Arguments and results of a service's queue."""

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
        route: Part of the path; run times are recorded for each route.
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
    """Slots of the service's instances that have their home at this entry.

    Attributes:
        total: All slots.
        free: Slots without a request in progress.
        long_in_progress: Requests in progress for which `is_long` holds now,
            including those that peers forwarded.
    """

    total: int
    free: int
    long_in_progress: int


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The request was accepted into the queue.

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
        retry_after: Time after which a retry can succeed; None if none can.
        kind: Machine-readable reason, for metrics and status codes.
    """

    reason: str
    retry_after: datetime.timedelta | None
    kind: RefusalKind


@dataclasses.dataclass(frozen=True, slots=True)
class QueueOptions:
    """Settings of a service's queue.

    Attributes:
        closed_share: Fraction of the slots that long work may not use.
        long_threshold: Routes with a longer typical run time are long.
        smoothing: Weight of a new observation in the moving averages.
        quick_guess: Run time assumed for quick work without observations.
        long_guess: Run time assumed for long work without observations.
        maximum_routes: Routes of a class with run times of their own.
        use_half_life: Half-life of the mean use of slots by class.
        lending_margin: Slots that shorter work keeps beyond its mean use when
            slots are lent to longer work, in square roots of the mean use.
        burst: Time of unused share that a class may catch up on.
        maximum_retry_after: Upper bound of `retry_after`.
    """

    closed_share: float = 3 / 8
    long_threshold: datetime.timedelta = datetime.timedelta(milliseconds=500)
    smoothing: float = 0.1
    quick_guess: datetime.timedelta = datetime.timedelta(milliseconds=50)
    long_guess: datetime.timedelta = datetime.timedelta(seconds=5)
    maximum_routes: int = 64
    use_half_life: datetime.timedelta = datetime.timedelta(seconds=60)
    lending_margin: float = 1.6
    burst: datetime.timedelta = datetime.timedelta(milliseconds=250)
    maximum_retry_after: datetime.timedelta = datetime.timedelta(seconds=60)
