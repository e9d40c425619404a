"""A request from a caller through an entry to an instance and back."""

import unittest

import anyio
import httpcore

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import model
from fireflywell.entry import application
from fireflywell.entry import dispatcher
from fireflywell.fleet import view
from fireflywell.fleet import vm_records
from fireflywell.platform import records
from fireflywell.standins import endpoint
from fireflywell.telemetry import metrics


def make_bundle(port: int) -> model.Bundle:
    """Returns a bundle with one service."""
    return model.Bundle(
        version=1,
        signing=model.Signing(1, ()),
        pools=(model.Pool("quotes", 1),),
        services=(
            model.Service(
                "quotes",
                "quotes",
                port,
                model.Budget(0),
                echoes_request_id=True,
            ),
        ),
        classes=(model.RequestClass("quick", 1.0),),
        teams=(model.Team("sales"),),
    )


class ThinPathTest(unittest.TestCase):
    """Serves requests over loopback."""

    def test_outcomes_reach_the_caller(self) -> None:
        """Fails if a broken response is passed on as a success."""
        anyio.run(self._exchange_all)

    async def _exchange_all(self) -> None:
        clock = clock_lib.SystemClock()
        instance = endpoint.EndpointApplication("quotes@vm1", clock)
        listeners = [asgi.Listener(instance, "127.0.0.1", 18911)]
        holder = holder_lib.BundleHolder()
        holder.adopt(make_bundle(18911))
        fleet = view.FleetView()
        fleet.set_vms(
            (
                records.Vm(
                    "vm1", "127.0.0.1", "a", "r1", records.VmState.LIVE, 1
                ),
            )
        )
        fleet.set_assignment(vm_records.VmRecord("vm1", "quotes"))
        no_metrics = metrics.NullMetrics()
        entry = application.EntryApplication(
            holder,
            dispatcher.Dispatcher(holder, fleet, "a", clock, no_metrics),
            no_metrics,
        )
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
