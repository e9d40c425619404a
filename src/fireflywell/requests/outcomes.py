"""Outcomes of a request, as reported to its caller."""

import dataclasses
import datetime

from fireflywell import asgi

OUTCOME_HEADER = "fireflywell-outcome"
REASON_HEADER = "fireflywell-reason"


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The endpoint's whole response to this request."""

    status: int
    headers: tuple[asgi.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run; the caller may rely on it.

    Attributes:
        status: HTTP status.
        reason: What happened and what the caller can do.
        retry_after: Time after which a retry can succeed; None if none can.
    """

    status: int
    reason: str
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run."""

    status: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawn:
    """The caller disconnected before the request was sent; not reported."""


Outcome = Answered | Refused | Unknown
RunResult = Outcome | Withdrawn


def name_kind(outcome: Outcome) -> str:
    """Returns the name of an outcome in headers and metrics."""
    match outcome:
        case Answered():
            return "answered"
        case Refused():
            return "refused"
        case Unknown():
            return "unknown"


def make_other_body_refusal() -> Refused:
    """Returns the refusal of a request that reuses another request's key."""
    return Refused(
        409,
        "the idempotency key was used with another request; this one was not "
        "run, send it with a key of its own",
    )
