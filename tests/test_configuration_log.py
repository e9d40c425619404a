"""What the log says of a configuration that is late."""

import datetime
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell.coordination import row_store
from fireflywell.node import directory as directory_lib
from fireflywell.node import job_frontend
from fireflywell.node import table_follower
from fireflywell.platform import configuration
from fireflywell.platform import job_api
from fireflywell.standins import row_store as store_standin
from fireflywell.telemetry import metrics as metrics_lib
from tests import captured_log
from tests import node_world

_PLACE = row_store.RowKey("op", "", "config")


class UnknownRouteTest(unittest.TestCase):
    """A request that names no queue."""

    def test_line_tells_a_late_configuration_from_an_unknown_route(
        self,
    ) -> None:
        """Fails if a 404 can't be put down to the age of the configuration."""
        clock = clock_lib.ManualClock()
        holder = directory_lib.ConfigurationHolder(
            configuration.decode_configuration, clock, metrics_lib.NullMetrics()
        )
        data = node_world.encode_configuration(7)
        holder.apply_rows((row_store.Row(_PLACE, data, 12),))
        clock.advance(datetime.timedelta(seconds=4))
        holder.mark_confirmed(clock.monotonic())
        clock.advance(datetime.timedelta(seconds=3))
        frontend = job_frontend.JobFrontend(
            store_standin.MemoryRowStore(clock),
            clock,
            metrics_lib.NullMetrics(),
        )
        api = job_api.JobApi(frontend, holder, clock)
        scope = {
            "method": "GET",
            "path": "/new/",
            "headers": [(b"host", b"added.example:80")],
        }

        async def receive() -> dict[str, object]:
            return {"type": "http.request", "body": b""}

        async def send(message: object) -> None:
            del message

        with captured_log.capture_log() as lines:
            anyio.run(api, scope, receive, send)
        (line,) = captured_log.select_event(lines, "route.unknown")
        self.assertEqual(line["host"], "added.example")
        self.assertEqual(line["path"], "/new/")
        self.assertEqual(line["configuration"], 7)
        self.assertEqual(line["adopted_s"], 7)
        self.assertEqual(line["confirmed_s"], 3)


class FollowedTableTest(unittest.TestCase):
    """A table that can't be followed."""

    def test_lost_table_tells_the_age_of_what_is_known(self) -> None:
        """Fails if the log can't tell how late a node was when calls failed."""

        async def run() -> None:
            clock = clock_lib.ManualClock()
            store = store_standin.MemoryRowStore(clock)
            follower = table_follower.TableFollower(
                store, clock, "op", lambda: ("",), lambda _: None, confirm
            )
            async with anyio.create_task_group() as group:
                group.start_soon(follower.run)
                store.put(_PLACE, b"1")
                await self._advance(clock, 2)
                store.is_down = True
                store.put(_PLACE, b"2")
                await self._advance(clock, 3)
                group.cancel_scope.cancel()

        seen: list[tuple[row_store.Row, ...]] = []
        confirm = seen.append
        with captured_log.capture_log() as lines:
            anyio.run(run)
        (line,) = captured_log.select_event(lines, "store.lost")
        self.assertEqual(line["table"], "op")
        self.assertIsNotNone(line["after"])
        self.assertGreater(line["confirmed_s"], 0)

    async def _advance(
        self, clock: clock_lib.ManualClock, seconds: float
    ) -> None:
        for _ in range(int(seconds * 20)):
            await anyio.wait_all_tasks_blocked()
            clock.advance(datetime.timedelta(seconds=0.05))
        await anyio.wait_all_tasks_blocked()


if __name__ == "__main__":
    unittest.main()
