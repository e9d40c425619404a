"""Logs and counts waiting work, above all beside free capacity."""

from collections.abc import Iterable

from fireflywell.scheduling import service_state
from fireflywell.scheduling import wait_reasons
from fireflywell.scheduling import waiting_work
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

# Looking at thousands of waiting units costs some milliseconds.
_INTERVAL_S = 1.0


class WaitReporter:
    """Reports the waiting work of one service during one tenure."""

    __slots__ = ("_metrics", "_next_look_s", "_service", "_state", "_tracker")

    def __init__(
        self,
        service: str,
        state: service_state.ServiceState,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._service = service
        self._state = state
        self._metrics = metrics
        self._tracker = waiting_work.WaitTracker(state)
        self._next_look_s = 0.0

    def report(
        self, now_s: float, unreported: Iterable[str], *, is_planning: bool
    ) -> None:
        """Looks at the waiting work, at most once in `_INTERVAL_S`.

        Args:
            now_s: Monotonic time.
            unreported: Workers whose reports the recovery waits for.
            is_planning: Whether planning passes take place.
        """
        if now_s < self._next_look_s:
            return
        self._next_look_s = now_s + _INTERVAL_S
        work = self._tracker.look(now_s, unreported, is_planning=is_planning)
        jobs = sum(self._state.count_waiting().values())
        self._record(jobs, work.units, work.longest_wait_s)
        if work.long_wait is not None:
            self._log(work.units, work.long_wait)

    def close(self) -> None:
        """Sets the gauges to 0, because another node reports from now on."""
        self._record(0, 0, 0.0)

    def _record(self, jobs: int, units: int, longest_wait_s: float) -> None:
        self._metrics.record_gauge(f"node.jobs.waiting.{self._service}", jobs)
        self._metrics.record_gauge(f"node.work.waiting.{self._service}", units)
        self._metrics.record_gauge(
            f"node.work.longest_wait.{self._service}", longest_wait_s
        )

    def _log(self, units: int, wait: waiting_work.LongWait) -> None:
        reason = wait_reasons.name_reason(wait.reason)
        self._metrics.count(f"node.work.delayed.{reason}")
        logs.log_event(
            "work.waiting",
            service=self._service,
            units=units,
            unit=wait.unit,
            wait_s=round(wait.wait_s, 3),
            reason=reason,
            details=wait_reasons.describe_reason(wait.reason),
            free_cpu_share=round(wait.free_cpu_share, 3),
        )
