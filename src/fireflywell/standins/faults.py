"""Faults that a stand-in injects on demand."""

import dataclasses
import datetime
from typing import Any

_ALL_CALLS = "/v1/"


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
class LoseCalls:
    """Answers 504 to the next `count` calls that write, without running them.

    To the caller this looks the same as `LoseAnswers`.
    """

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class StaleReads:
    """Answers reads from the content at the moment when the fault was set."""


Fault = Healthy | Down | Slow | LoseAnswers | LoseCalls | StaleReads


@dataclasses.dataclass(frozen=True, slots=True)
class FaultRule:
    """A fault for the calls whose path starts with `path`."""

    path: str
    fault: Fault


class FaultRules:
    """Faults in force; the rule with the longest matching path applies."""

    __slots__ = ("_rules",)

    def __init__(self) -> None:
        self._rules: dict[str, Fault] = {}

    @property
    def has_stale_reads(self) -> bool:
        """Whether a rule asks for stale reads."""
        return any(isinstance(f, StaleReads) for f in self._rules.values())

    def set_rule(self, rule: FaultRule) -> None:
        """Puts a rule in force; `Healthy` for all calls removes all rules."""
        match rule:
            case FaultRule(path=path, fault=Healthy()) if path == _ALL_CALLS:
                self._rules.clear()
            case FaultRule(path=path, fault=fault):
                self._rules[path] = fault

    def take_fault(self, path: str, is_write: bool) -> Fault:
        """Returns the fault for one call and counts it off."""
        matching = [prefix for prefix in self._rules if path.startswith(prefix)]
        if not matching:
            return Healthy()
        prefix = max(matching, key=len)
        match self._rules[prefix]:
            case LoseAnswers(count=count) | LoseCalls(count=count) as fault:
                if not is_write:
                    return Healthy()
                if count > 1:
                    less = dataclasses.replace(fault, count=count - 1)
                    self._rules[prefix] = less
                else:
                    del self._rules[prefix]
                return fault
            case fault:
                return fault


def decode_rule(document: dict[str, Any]) -> FaultRule:
    """Returns the rule described by a JSON document.

    Raises:
        ValueError: The kind isn't known.
    """
    return FaultRule(document.get("path", _ALL_CALLS), decode_fault(document))


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
        case "lose_calls":
            return LoseCalls(int(document["count"]))
        case "stale_reads":
            return StaleReads()
        case kind:
            raise ValueError(
                f"unknown fault {kind!r}; use healthy, down, slow, "
                "lose_answers, lose_calls or stale_reads"
            )
