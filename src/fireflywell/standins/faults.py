"""Faults that a stand-in injects on demand."""

import dataclasses
import datetime
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Healthy:
    """Answers as usual."""


@dataclasses.dataclass(frozen=True, slots=True)
class Down:
    """Answers every call with 503 without running it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Slow:
    """Runs every call after a delay."""

    delay: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class LoseAnswers:
    """Runs calls that write, but answers 504 to the next `count` of them."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class StaleReads:
    """Answers reads from the content at the moment when the fault was set."""


Fault = Healthy | Down | Slow | LoseAnswers | StaleReads


def decode_fault(document: dict[str, Any]) -> Fault:
    """Returns the fault described by a JSON document.

    Raises:
        ValueError: The kind isn't known.
    """
    match document.get("kind"):
        case "healthy":
            return Healthy()
        case "down":
            return Down()
        case "slow":
            seconds = float(document["delay_seconds"])
            return Slow(datetime.timedelta(seconds=seconds))
        case "lose_answers":
            return LoseAnswers(int(document["count"]))
        case "stale_reads":
            return StaleReads()
        case kind:
            raise ValueError(
                f"unknown fault {kind!r}; use healthy, down, slow, "
                "lose_answers or stale_reads"
            )
