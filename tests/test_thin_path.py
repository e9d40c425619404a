"""A request from a caller through an entry to an instance and back."""

import unittest

import anyio
import httpcore

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell.standins import endpoint
from tests import entry_helpers


class ThinPathTest(unittest.TestCase):
    """Serves requests over loopback."""

    def test_outcomes_reach_the_caller(self) -> None:
        """Fails if a broken response is passed on as a success."""
        anyio.run(self._exchange_all)

    async def _exchange_all(self) -> None:
        clock = clock_lib.SystemClock()
        instance = endpoint.EndpointApplication("quotes@vm1", clock)
        listeners = [asgi.Listener(instance, "127.0.0.1", 18911)]
        parts = entry_helpers.make_entry(
            entry_helpers.make_bundle(18911),
            entry_helpers.make_view("127.0.0.1"),
        )
        entry = parts.application
        listeners.append(asgi.Listener(entry, "127.0.0.1", 18912))
        async with anyio.create_task_group() as group:
            for listener in listeners:
                group.start_soon(listener.run)
                await listener.wait_until_started()
            async with httpcore.AsyncConnectionPool() as pool:
                for misbehaviour, expected in (
                    ("none", "answered"),
                    ("truncate", "unknown"),
                    ("crossed", "unknown"),
                    ("oversized", "unknown"),
                    ("reset", "unknown"),
                    ("none", "answered"),
                ):
                    response = await pool.request(
                        "GET",
                        "http://127.0.0.1:18912/quotes/price",
                        headers=[("X-Misbehave", misbehaviour)],
                    )
                    outcome = dict(response.headers)[b"fireflywell-outcome"]
                    self.assertEqual(outcome.decode(), expected, misbehaviour)
            for listener in listeners:
                listener.stop()
