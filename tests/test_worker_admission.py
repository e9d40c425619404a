"""Sessions with workers that may not be used, and with ended incarnations."""

import unittest

import anyio

from tests import captured_log
from tests import session_world


class UnstoredWorkerTest(unittest.TestCase):
    """Workers that the stored list doesn't name as in use."""

    def test_worker_gets_no_lease_and_no_unit(self) -> None:
        """Fails if a worker gets a lease that a successor doesn't know of.

        Its first report is applied all the same, so that the runs of earlier
        owners are known.
        """

        async def run() -> None:
            world = session_world.SessionWorld()
            world.assigned_workers.is_store_down = True
            async with anyio.create_task_group() as group:
                group.start_soon(world.session.run)
                await session_world.wait_until(
                    lambda: len(world.client.renewals) > 1
                )
                self.assertTrue(world.session.has_reported)
                self.assertFalse(world.worker.is_reachable)
                world.assigned_workers.is_store_down = False
                await session_world.wait_until(
                    lambda: world.worker.is_reachable
                )
                renewals = tuple(world.client.renewals)
                group.cancel_scope.cancel()
            self.assertEqual({item.lease_until_ms for item in renewals}, {None})
            self.assertEqual(world.assigned_workers.stored, {("w1", 1)})

        anyio.run(run)

    def test_reports_are_not_requested_in_a_loop(self) -> None:
        """Fails if a store that is down makes owners flood their workers."""

        async def run() -> None:
            world = session_world.SessionWorld()
            world.assigned_workers.is_store_down = True
            async with anyio.create_task_group() as group:
                group.start_soon(world.session.run)
                await anyio.sleep(0.8)
                group.cancel_scope.cancel()
            self.assertEqual(len(world.client.renewals), 1)

        anyio.run(run)


class OutdatedListingTest(unittest.TestCase):
    """Workers whose address another incarnation has taken over."""

    def test_end_is_logged_once(self) -> None:
        """Fails if each call to an ended incarnation writes a log line.

        A listing may name the former incarnation for seconds.
        """

        async def run() -> None:
            world = session_world.SessionWorld()
            async with world.run():
                first = len(world.client.renewals)
                world.client.is_replaced = True
                world.has_successor = True
                await session_world.wait_until(
                    lambda: len(world.client.renewals) > first + 3
                )

        with captured_log.capture_log() as lines:
            anyio.run(run)
        events = captured_log.select_event(lines, "worker.restarted")
        self.assertEqual(len(events), 1)

    def test_inheritance_doesnt_wait_for_it(self) -> None:
        """Fails if inherited work waits for an incarnation that has ended."""

        async def run() -> None:
            world = session_world.SessionWorld()
            world.client.is_replaced = True
            world.has_successor = True
            with anyio.fail_after(5):
                async with anyio.create_task_group() as group:
                    group.start_soon(world.session.run)
                    await session_world.wait_until(
                        lambda: world.session.has_reported
                    )
                    group.cancel_scope.cancel()

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
