"""Metrics held in memory and served in the Prometheus text format."""

import datetime
import re

import prometheus_client

from fireflywell import asgi

# Upper bounds of the histogram buckets in seconds: store calls take
# milliseconds, jobs seconds.
_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10)

_INVALID_CHARACTER = re.compile(r"[^a-zA-Z0-9_]")

_PREFIX = "fireflywell_"


class PrometheusMetrics:
    """Aggregates samples in memory; implements `Metrics`.

    Dots and hyphens in metric names become underscores.
    """

    __slots__ = ("_counters", "_gauges", "_histograms", "_registry")

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._counters: dict[str, prometheus_client.Counter] = {}
        self._gauges: dict[str, prometheus_client.Gauge] = {}
        self._histograms: dict[str, prometheus_client.Histogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Adds `amount` to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = prometheus_client.Counter(
                _format_metric_name(name), name, registry=self._registry
            )
            self._counters[name] = counter
        counter.inc(amount)

    def record_gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = prometheus_client.Gauge(
                _format_metric_name(name), name, registry=self._registry
            )
            self._gauges[name] = gauge
        gauge.set(value)

    def record_duration(self, name: str, duration: datetime.timedelta) -> None:
        """Adds one sample to a histogram in seconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = prometheus_client.Histogram(
                _format_metric_name(name) + "_seconds",
                name,
                buckets=_BUCKETS_S,
                registry=self._registry,
            )
            self._histograms[name] = histogram
        histogram.observe(duration.total_seconds())

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return bytes(prometheus_client.generate_latest(self._registry))

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves the metrics as an ASGI application."""
        del scope, receive
        content_type = asgi.Header("content-type", "text/plain; version=0.0.4")
        await asgi.send_response(send, 200, (content_type,), self.render())


def _format_metric_name(name: str) -> str:
    # Names of services become parts of names and may hold any character.
    return _PREFIX + _INVALID_CHARACTER.sub("_", name)
