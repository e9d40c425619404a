"""Spans of time, in which something holds, and what they have in common."""

from collections.abc import Iterable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A time from `begun_s` to `ended_s`, in monotonic seconds."""

    begun_s: float
    ended_s: float

    @property
    def length_s(self) -> float:
        """Its length."""
        return self.ended_s - self.begun_s

    def overlaps(self, other: "Span") -> bool:
        """Returns whether both have a moment in common."""
        return self.begun_s <= other.ended_s and other.begun_s <= self.ended_s


def is_in(at_s: float, spans: Iterable[Span]) -> bool:
    """Returns whether a time is in one of the spans."""
    return any(span.begun_s <= at_s < span.ended_s for span in spans)


def merge(spans: Iterable[Span]) -> list[Span]:
    """Joins spans that overlap or meet."""
    merged: list[Span] = []
    for span in sorted(spans, key=lambda item: item.begun_s):
        if merged and span.begun_s <= merged[-1].ended_s:
            ended_s = max(merged[-1].ended_s, span.ended_s)
            merged[-1] = Span(merged[-1].begun_s, ended_s)
        else:
            merged.append(span)
    return merged


def subtract(span: Span, others: Iterable[Span]) -> list[Span]:
    """Returns the parts of a span that no other one covers."""
    parts = []
    begun_s = span.begun_s
    for other in merge(others):
        if other.begun_s >= span.ended_s:
            break
        if other.begun_s > begun_s:
            parts.append(Span(begun_s, other.begun_s))
        begun_s = max(begun_s, other.ended_s)
    if begun_s < span.ended_s:
        parts.append(Span(begun_s, span.ended_s))
    return parts


def intersect(span: Span, others: Iterable[Span]) -> list[Span]:
    """Returns the parts of a span that others cover; they don't overlap."""
    return [
        Span(max(span.begun_s, other.begun_s), min(span.ended_s, other.ended_s))
        for other in others
        if other.begun_s < span.ended_s and other.ended_s > span.begun_s
    ]


def measure(span: Span, excuses: Iterable[Span]) -> float:
    """Returns the length of the parts of a span without an excuse."""
    return sum(part.length_s for part in subtract(span, excuses))
