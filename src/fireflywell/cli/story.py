"""Finds what nodes' logs say of one job and of what it depended on."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import json
from typing import Any

# Fields that are the log library's own or are shown elsewhere.
_HIDDEN_FIELDS = frozenset(
    {"message_type", "task_level", "task_uuid", "timestamp", "job"}
)

# Changes of belief that explain a delay or a refusal, whatever the job.
_SURROUNDINGS = (
    "ownership.",
    "store.",
    "heartbeat.",
    "configuration.adopted",
    "worker.lost",
    "worker.restarted",
    "worker.leases_over",
    "node.",
    "process.",
    "log.left_out",
)

# Surroundings are shown from this long before a job's first line.
_BEFORE_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log.

    Attributes:
        at_s: Time of day in seconds, as the node's clock has it.
        source: Node or file that it is from.
        event: Name of the event.
        fields: Its fields.
    """

    at_s: float
    source: str
    event: str
    fields: dict[str, Any]

    def describe(self) -> str:
        """Returns the fields as one line of text."""
        return ", ".join(
            f"{name} {_shorten(value)}" for name, value in self.fields.items()
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """What is known of a job.

    Attributes:
        job_id: The job.
        lines: Its own lines and, if asked for, those around, in order.
    """

    job_id: str
    lines: tuple[LogLine, ...]


def read_log(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yields the lines of a log that hold an event; skips all others.

    Args:
        source: Name for lines without one of their own.
        lines: Lines of JSON, perhaps after a time and a node's name.
    """
    for line in lines:
        prefix, brace, rest = line.partition("{")
        try:
            fields = json.loads(brace + rest)
            event, at_s = fields["message_type"], float(fields["timestamp"])
        except (ValueError, KeyError, TypeError):
            continue
        words = prefix.split()
        yield LogLine(
            at_s,
            words[-1] if words else source,
            event,
            {k: v for k, v in fields.items() if k not in _HIDDEN_FIELDS}
            | ({"job": fields["job"]} if "job" in fields else {}),
        )


def tell_story(
    job_id: str, lines: Iterable[LogLine], *, with_surroundings: bool = False
) -> Story:
    """Returns what the lines say of a job, in order of time.

    Args:
        job_id: The job.
        lines: Lines of all nodes.
        with_surroundings: Whether changes of owners, store and workers while
            the job was there are shown too.
    """
    ordered = sorted(lines, key=lambda line: line.at_s)
    own = [_narrow(line, job_id) for line in ordered if _names(line, job_id)]
    if not with_surroundings or not own:
        return Story(job_id, tuple(own))
    first_s, last_s = own[0].at_s - _BEFORE_S, own[-1].at_s
    services = {line.fields.get("service") for line in own} - {None}
    around = [
        line
        for line in ordered
        if first_s <= line.at_s <= last_s
        and line.event.startswith(_SURROUNDINGS)
        and line.fields.get("service") in services | {None}
        and not _names(line, job_id)
    ]
    lines_of_both = sorted([*own, *around], key=lambda line: line.at_s)
    return Story(job_id, tuple(lines_of_both))


def _names(line: LogLine, job_id: str) -> bool:
    return any(
        _mentions(value, job_id)
        for name, value in line.fields.items()
        if name in ("job", "jobs", "unit", "runs", "ends", "step")
    )


def _mentions(value: Any, job_id: str) -> bool:
    if isinstance(value, list):
        return any(_mentions(item, job_id) for item in value)
    return isinstance(value, str) and value.partition(".")[0] == job_id


def _narrow(line: LogLine, job_id: str) -> LogLine:
    """Leaves the other jobs out of lists."""
    fields = {
        name: (
            [item for item in value if _mentions(item, job_id)]
            if isinstance(value, list)
            else value
        )
        for name, value in line.fields.items()
        if name != "job"
    }
    return dataclasses.replace(line, fields=fields)


def _shorten(value: Any) -> str:
    if isinstance(value, list):
        return " ".join(str(item) for item in value)
    return json.dumps(value) if isinstance(value, str) else str(value)
