"""Logs and metrics under load: bounded output, and no caller blocks."""

import datetime
import json
import os
import threading
import time
import unittest

from fireflywell import clock as clock_lib
from fireflywell.telemetry import logs
from fireflywell.telemetry import prometheus_metrics


class BudgetTest(unittest.TestCase):
    """Limits of the log lines that each kind of event may write."""

    def write(self, *events: str) -> list[dict[str, object]]:
        """Logs events, and one more after two seconds; returns the lines."""
        reader, writer = os.pipe()
        clock = clock_lib.ManualClock()
        with os.fdopen(writer, "w") as output, os.fdopen(reader) as source:
            lines = logs.QueuedLogWriter(output, clock)
            lines.start()
            for event in events:
                lines({"message_type": event})
            clock.advance(datetime.timedelta(seconds=2))
            lines({"message_type": "flood"})
            lines.close()
            output.close()
            return [json.loads(line) for line in source]

    def test_flood_is_cut_and_counted(self) -> None:
        """Fails if a flood of one kind of event grows the log without bound.

        Also fails if it suppresses other events or the suppressed lines aren't
        counted.
        """
        extra = 50
        events = ["flood"] * (logs.LINES_PER_SECOND + extra)
        written = self.write(*events, "refused")
        kinds = [str(line["message_type"]) for line in written]
        self.assertEqual(kinds.count("flood"), logs.LINES_PER_SECOND + 1)
        self.assertEqual(kinds.count("refused"), 1)
        (left_out,) = (
            x for x in written if x["message_type"] == "log.left_out"
        )
        self.assertEqual(left_out["count"], extra)
        self.assertEqual(left_out["event"], "flood")


class StandstillTest(unittest.TestCase):
    """A log whose reader has stopped reading its pipe."""

    def test_writing_and_closing_go_on(self) -> None:
        """Fails if a process blocks on logging or at exit.

        Nobody reads the pipe, so that the writer thread blocks and the queue
        fills up.
        """
        reader, writer = os.pipe()
        output = os.fdopen(writer, "w")
        lines = logs.QueuedLogWriter(output)
        lines.start()

        def flood() -> None:
            for number in range(3000):
                lines({"message_type": f"event{number}", "text": "x" * 200})
            lines.close()

        worker = threading.Thread(target=flood, daemon=True)
        started = time.monotonic()
        worker.start()
        worker.join(20)
        self.assertFalse(worker.is_alive())
        self.assertLess(time.monotonic() - started, 20)
        os.close(reader)


class PrometheusMetricsTest(unittest.TestCase):
    """Metrics in the Prometheus text format."""

    def test_samples_are_rendered(self) -> None:
        """Fails if a counter, gauge or histogram is missing from the text."""
        metrics = prometheus_metrics.PrometheusMetrics()
        metrics.count("node.jobs.accepted", 2)
        metrics.record_gauge("node.depth", 3)
        metrics.record_duration("node.plan", datetime.timedelta(seconds=0.3))
        text = metrics.render().decode()
        self.assertIn("fireflywell_node_jobs_accepted_total 2.0", text)
        self.assertIn("fireflywell_node_depth 3.0", text)
        self.assertIn('fireflywell_node_plan_seconds_bucket{le="0.5"} 1', text)


if __name__ == "__main__":
    unittest.main()
