"""The stand-ins misbehave as their protocol says."""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import json
import random
import unittest

import anyio
import httpcore

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.infrastructure import records
from fireflywell.standins import deployment
from fireflywell.standins import endpoint
from fireflywell.standins import endpoint_server
from fireflywell.standins import faults
from fireflywell.standins import http_wire
from fireflywell.standins import settings
from fireflywell.standins import summary
from fireflywell.standins import worker

_ADDRESS = "127.1.9.9"
_PORT = 19801


def make_task(command: str, seconds: float = 10.0) -> dict[str, object]:
    """Returns the document that starts a task."""
    return {
        "job_id": "j1",
        "attempt": 1,
        "command": command,
        "run_seconds": seconds,
        "resources": {"cores": 1, "memory_mb": 1, "accelerators": 0},
        "lease_seconds": 100.0,
    }


class EndpointServerTest(unittest.TestCase):
    """Byte-level behaviour of one instance."""

    def _run(
        self,
        scenario: Callable[[endpoint.EndpointApplication], Awaitable[None]],
    ) -> None:
        async def serve() -> None:
            clock = clock_lib.SystemClock()
            application = endpoint.EndpointApplication("s@vm1", clock)
            server = endpoint_server.EndpointServer(
                application, _ADDRESS, _PORT, clock, random.Random(1)
            )
            async with anyio.create_task_group() as group:
                group.start_soon(server.run)
                await scenario(application)
                group.cancel_scope.cancel()

        anyio.run(serve)

    async def _request(self, **headers: str) -> int:
        fields = [(n.replace("_", "-"), v) for n, v in headers.items()]
        async with httpcore.AsyncConnectionPool(retries=4) as pool:
            answer = await pool.request(
                "GET", f"http://{_ADDRESS}:{_PORT}/x", headers=fields
            )
            return answer.status

    def test_reset_sends_no_byte(self) -> None:
        """Fails if a reset looks like an orderly or a truncated response."""

        async def scenario(_: endpoint.EndpointApplication) -> None:
            self.assertEqual(await self._request(), 200)
            with self.assertRaises(httpcore.ReadError):
                await self._request(x_misbehave="reset")
            with self.assertRaises(httpcore.RemoteProtocolError):
                await self._request(x_misbehave="truncate")

        self._run(scenario)

    def test_away_refuses_and_counts_cut_requests(self) -> None:
        """Fails if a reboot during a request goes unnoticed."""

        async def scenario(instance: endpoint.EndpointApplication) -> None:
            self.assertEqual(await self._request(), 200)

            async def expect_reset() -> None:
                with self.assertRaises(httpcore.ReadError):
                    await self._request(x_work_seconds="60")

            async with anyio.create_task_group() as group:
                group.start_soon(expect_reset)
                while instance.run_count < 2:
                    await anyio.sleep(0.005)
                instance.go_away()
            self.assertEqual(instance.requests_cut, 1)
            with self.assertRaises(httpcore.ConnectError):
                await self._request()
            instance.come_back()
            self.assertEqual(await self._request(), 200)

        self._run(scenario)


class WorkerStandinTest(unittest.TestCase):
    """Tasks that deviate from what was declared."""

    def setUp(self) -> None:
        """Makes a worker."""
        self.clock = clock_lib.ManualClock()
        described = records.Worker(
            "w1", "a", "r1", records.Resources(16), records.Resources()
        )
        self.worker = worker.WorkerStandin(
            described, self.clock, worker.CheckpointStore()
        )

    def _find_state(self) -> records.TaskState:
        return self.worker.list_tasks()[-1].state

    def test_throttled_task_takes_longer(self) -> None:
        """Fails if a throttled task never ends or ends at full rate."""
        self.worker.start(make_task("work"))
        self.worker.change("j1/1", "throttle")
        self.clock.advance(datetime.timedelta(seconds=19))
        self.assertIs(self._find_state(), records.TaskState.THROTTLED)
        self.clock.advance(datetime.timedelta(seconds=1))
        self.assertIs(self._find_state(), records.TaskState.SUCCEEDED)

    def test_checkpointed_task_resumes(self) -> None:
        """Fails if the next attempt starts from the beginning."""
        self.worker.start(make_task("work"))
        self.clock.advance(datetime.timedelta(seconds=8))
        self.worker.change("j1/1", "checkpoint")
        self.worker.start(make_task("work") | {"attempt": 2})
        self.clock.advance(datetime.timedelta(seconds=2))
        self.assertIs(self._find_state(), records.TaskState.SUCCEEDED)

    def test_unrenewed_lease_ends_an_endless_task(self) -> None:
        """Fails if a task outlives its lease."""
        self.worker.start(make_task("never_ends use_cores=3"))
        self.clock.advance(datetime.timedelta(seconds=99))
        self.assertIs(self._find_state(), records.TaskState.RUNNING)
        used = self.worker.describe(datetime.timedelta()).used
        self.assertEqual(used.cores, 3.0)
        self.clock.advance(datetime.timedelta(seconds=1))
        self.assertIs(self._find_state(), records.TaskState.LAPSED)

    def test_bad_worker_fails_everything(self) -> None:
        """Fails if a worker that was told to fail runs a task."""
        self.worker.change_behaviour({"fails_all": True})
        task = self.worker.start(make_task("work"))
        self.assertIs(task.state, records.TaskState.FAILED)


class FaultRulesTest(unittest.TestCase):
    """Faults for some of the platform's calls."""

    def test_longest_path_applies_and_counts_down(self) -> None:
        """Fails if a fault of the workers hits the tables."""
        rules = faults.FaultRules()
        rules.set_rule(
            faults.decode_rule(
                json.loads(
                    '{"kind": "lose_calls", "count": 1, "path": "/v1/workers"}'
                )
            )
        )
        table, start = "/v1/tables/transact", "/v1/workers/w1/tasks"
        self.assertEqual(rules.take_fault(table, True), faults.Healthy())
        self.assertEqual(rules.take_fault(start, False), faults.Healthy())
        self.assertEqual(rules.take_fault(start, True), faults.LoseCalls(1))
        self.assertEqual(rules.take_fault(start, True), faults.Healthy())


class DeploymentSettingsTest(unittest.TestCase):
    """References between parts of the settings."""

    def test_unknown_zone_is_named(self) -> None:
        """Fails if a misspelt zone is accepted."""
        vm = settings.VmSettings("vm1", "127.1.1.1", "b", "r1")
        described = settings.StandinSettings(
            "127.0.0.1", _PORT, (settings.ZoneSettings("a"),), (), (vm,)
        )
        with self.assertRaisesRegex(errors.SettingsError, "vm1.*'b'"):
            deployment.check_settings(described)


class SummaryTest(unittest.TestCase):
    """Counts over all instances."""

    def test_posting_run_by_two_instances_is_counted(self) -> None:
        """Fails if a posting that ran twice goes unnoticed."""

        async def post(instance: endpoint.EndpointApplication) -> None:
            request = http_wire.HttpRequest("POST", "/x", (), b"posting 1")
            async with instance.answer(request):
                pass

        clock = clock_lib.SystemClock()
        first = endpoint.EndpointApplication("s@vm1", clock)
        second = endpoint.EndpointApplication("s@vm2", clock)
        other = endpoint.EndpointApplication("t@vm2", clock)
        for instance in (first, second, other):
            anyio.run(post, instance)
        counts = summary.summarize_instances([first, second, other])
        self.assertEqual(counts.postings, 3)
        self.assertEqual(counts.postings_run_twice, 1)


if __name__ == "__main__":
    unittest.main()
