"""Metrics sent in the statsd protocol over UDP."""

import datetime

import statsd

from fireflywell import clock as clock_lib

_FLUSH_INTERVAL = datetime.timedelta(milliseconds=250)
# Number of samples that are sent without waiting for the end of the interval.
# One datagram holds about 40 samples.
_FLUSH_SAMPLES = 200


class StatsdMetrics:
    """Buffers samples and sends them in batches; implements `Metrics`.

    A batch is sent by `run` at a fixed interval, and as soon as it is full.
    """

    __slots__ = ("_buffered_samples", "_clock", "_pipeline")

    def __init__(
        self, host: str, port: int, prefix: str, clock: clock_lib.Clock
    ) -> None:
        client = statsd.StatsClient(host, port, prefix=prefix)
        self._pipeline = client.pipeline()
        self._clock = clock
        self._buffered_samples = 0

    def count(self, name: str, amount: int = 1) -> None:
        """Adds `amount` to a counter."""
        self._pipeline.incr(name, amount)
        self._count_sample()

    def record_gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._pipeline.gauge(name, value)
        self._count_sample()

    def record_duration(self, name: str, duration: datetime.timedelta) -> None:
        """Adds one sample to a timer."""
        self._pipeline.timing(name, duration)
        self._count_sample()

    def flush(self) -> None:
        """Sends the buffered samples."""
        if self._buffered_samples:
            self._pipeline.send()
            self._buffered_samples = 0

    async def run(self) -> None:
        """Sends samples at a fixed interval until cancelled."""
        try:
            while True:
                await self._clock.sleep(_FLUSH_INTERVAL)
                self.flush()
        finally:
            self.flush()

    def _count_sample(self) -> None:
        self._buffered_samples += 1
        if self._buffered_samples >= _FLUSH_SAMPLES:
            self.flush()
