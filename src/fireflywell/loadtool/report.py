"""Counts and latencies of a load test, as a table or JSON."""

from collections.abc import Iterator
import dataclasses
import datetime
import enum

from hdrh import histogram

_LOWEST_US = 1
_HIGHEST_US = 3_600 * 1_000_000
_SIGNIFICANT_DIGITS = 3


class FinalOutcome(enum.StrEnum):
    """How a request ended for its caller.

    `lost` was sent and got no whole response of an entry; `unreachable` met
    no listener; `not_sent` had no key or exceeded the generator's bound.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    LOST = "lost"
    UNREACHABLE = "unreachable"
    NOT_SENT = "not_sent"


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The end of one request.

    Attributes:
        flow: Name of its flow.
        label: Identifies the request; a posting's body starts with it.
        outcome: Outcome after the last try.
        status: HTTP status; 0 without a response.
        tries: How often it was sent.
        lost_tries: How many of the tries were lost.
        latency: Time from the intended send time to the last response.
    """

    flow: str
    label: str
    outcome: FinalOutcome
    status: int
    tries: int
    lost_tries: int
    latency: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class FlowSummary:
    """Counts and latencies, in milliseconds, of one flow."""

    flow: str
    sent: int
    answered: int
    refused: int
    unknown: int
    lost: int
    unreachable: int
    not_sent: int
    lost_tries: int
    server_errors: int
    retried: int
    p50_ms: float
    p99_ms: float
    max_ms: float


class FlowRecorder:
    """Collects the samples of one flow."""

    __slots__ = (
        "_counts",
        "_histogram",
        "_lost_tries",
        "_name",
        "_retried",
        "_server_errors",
    )

    def __init__(self, name: str) -> None:
        self._name = name
        self._counts = dict.fromkeys(FinalOutcome, 0)
        self._histogram = histogram.HdrHistogram(
            _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
        )
        self._lost_tries = 0
        self._retried = 0
        self._server_errors = 0

    def add(self, sample: Sample) -> None:
        """Adds one sample; latencies are kept of answered requests only."""
        self._counts[sample.outcome] += 1
        self._lost_tries += sample.lost_tries
        self._retried += max(0, sample.tries - 1)
        if sample.outcome is not FinalOutcome.ANSWERED:
            return
        self._server_errors += sample.status >= 500
        latency = sample.latency / datetime.timedelta(microseconds=1)
        self._histogram.record_value(max(_LOWEST_US, int(latency)))

    def summarize(self) -> FlowSummary:
        """Returns the counts and percentiles so far."""
        return FlowSummary(
            flow=self._name,
            sent=sum(self._counts.values()),
            answered=self._counts[FinalOutcome.ANSWERED],
            refused=self._counts[FinalOutcome.REFUSED],
            unknown=self._counts[FinalOutcome.UNKNOWN],
            lost=self._counts[FinalOutcome.LOST],
            unreachable=self._counts[FinalOutcome.UNREACHABLE],
            not_sent=self._counts[FinalOutcome.NOT_SENT],
            lost_tries=self._lost_tries,
            server_errors=self._server_errors,
            retried=self._retried,
            p50_ms=self._find_percentile(50.0),
            p99_ms=self._find_percentile(99.0),
            max_ms=self._find_percentile(100.0),
        )

    def _find_percentile(self, percentile: float) -> float:
        value = self._histogram.get_value_at_percentile(percentile)
        return float(value) / 1_000


def format_table(summaries: tuple[FlowSummary, ...]) -> Iterator[str]:
    """Yields the lines of a table, with one row for each flow."""
    names = [field.name for field in dataclasses.fields(FlowSummary)]
    rows = [names]
    for summary in summaries:
        rows.append([_format_cell(getattr(summary, name)) for name in names])
    widths = [max(len(row[i]) for row in rows) for i in range(len(names))]
    for row in rows:
        cells = [cell.rjust(widths[i]) for i, cell in enumerate(row)]
        cells[0] = row[0].ljust(widths[0])
        yield "  ".join(cells)


def _format_cell(value: object) -> str:
    return f"{value:.1f}" if isinstance(value, float) else str(value)
