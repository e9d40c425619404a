"""Services whose workers lose a seeded share of all calls.

The workers are sound and report: each run is decided by the first report after
the end of the lease in its order, however many orders are lost.
"""

import datetime
import random
import unittest

import anyio
import anyio.abc

from fireflywell import clock as clock_lib
from fireflywell.node import order_sender
from fireflywell.node import worker_leases
from fireflywell.node import worker_session
from fireflywell.telemetry import metrics as metrics_lib
from tests import late_worker
from tests import node_world
from tests import scheduling_samples as samples
from tests import session_world

_LEASE = datetime.timedelta(milliseconds=600)
_UNITS = 30
_WORKERS = ("w1", "w2", "w3")


class _LossyService:
    """A service with one session for each simulated worker."""

    def __init__(
        self, group: anyio.abc.TaskGroup, seed: int, lost_share: float
    ) -> None:
        rng = random.Random(seed)
        self.clock = clock_lib.SystemClock()
        self.state = samples.make_state(*_WORKERS)
        self.counts = late_worker.UnitCounts()
        self.workers: dict[str, late_worker.LateWorker] = {}
        self.sessions: dict[str, worker_session.WorkerSession] = {}
        for name, worker in self.state.workers.items():
            worker.is_reachable = False
            client = late_worker.LateWorker(self.counts, group, rng, lost_share)
            self.workers[name] = client
            self.sessions[name] = worker_session.WorkerSession(
                worker,
                client,
                self.state,
                session_world.FakeWriter(),  # type: ignore[arg-type]
                session_world.FakeGuard(),  # type: ignore[arg-type]
                worker_leases.WorkerLeases(self.clock, _LEASE, _LEASE),
                self.clock,
                lambda: None,
                self._fetch_jobs,
                metrics_lib.NullMetrics(),
                session_world.FakeAssignedWorkers(),  # type: ignore[arg-type]
                lambda _: False,
            )
            group.start_soon(client.run)
            group.start_soon(self.sessions[name].run)

    async def _fetch_jobs(self, job_ids: frozenset[str]) -> None:
        del job_ids

    def plan(self) -> None:
        """Places units and sends the requested stops."""
        now_s = self.clock.monotonic().total_seconds()
        for run in self.state.plan(now_s):
            command = order_sender.StartCommand(run)
            self.sessions[run.worker_id].enqueue(command)
        while self.state.pending_stops:
            stop = self.state.pending_stops.popleft()
            self.sessions[stop.worker_id].enqueue(
                order_sender.StopCommand(stop.unit, stop.run)
            )

    def find_undecided_runs(self) -> list[str]:
        """Returns runs that the last report should have ended."""
        undecided = []
        for name, client in self.workers.items():
            for key in self.state.workers[name].runs:
                end_ms = client.lease_ends.get(key)
                if (
                    end_ms is not None
                    and client.reported_clock_ms > end_ms
                    and key not in client.listed
                ):
                    undecided.append(f"{key} on {name}")
        return undecided


class LostOrderTest(unittest.TestCase):
    """Jobs on workers that lose orders."""

    def test_all_units_are_done_once(self) -> None:
        """Fails if a run stays undecided past its lease, or a unit runs twice.

        Units waited for ever or until a stop was answered, while workers had
        room.
        """
        for seed, lost_share in ((1, 0.6), (2, 0.6), (3, 0.3)):
            with self.subTest(seed=seed, lost_share=lost_share):
                anyio.run(self.lose_orders, seed, lost_share)

    async def lose_orders(self, seed: int, lost_share: float) -> None:
        """Runs one job and checks each of its runs."""
        with anyio.fail_after(40):
            async with anyio.create_task_group() as group:
                service = _LossyService(group, seed, lost_share)
                service.state.add_job(
                    samples.make_job(
                        session_world.JOB_ID, node_world.make_step(_UNITS)
                    )
                )
                while service.state.jobs:
                    service.plan()
                    self.assertEqual(service.find_undecided_runs(), [])
                    await anyio.sleep(0.005)
                group.cancel_scope.cancel()
        self.assertEqual(service.counts.violations, [])


if __name__ == "__main__":
    unittest.main()
