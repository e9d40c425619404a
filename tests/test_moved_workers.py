"""Sessions whose worker moves while a report is applied."""

import dataclasses
import datetime
import unittest

import anyio

from fireflywell.scheduling import workers as workers_lib
from tests import session_world


class _World(session_world.SessionWorld):
    """A worker that moves at a moment that the test chooses."""

    def __init__(self) -> None:
        super().__init__()
        self.client_after_move = session_world.ScriptedClient()

    def move(self) -> None:
        """Changes the address in the worker's entry."""
        self.session.move(
            dataclasses.replace(self.worker.instance, address="127.0.0.1:8999"),
            self.client_after_move,
        )


class MovedWorkerTest(unittest.TestCase):
    """Workers whose entry changes between a report and the next request."""

    def test_worker_that_moves_before_its_use_is_not_used(self) -> None:
        """Fails if a worker counts as lost and is used at the same time.

        It moved while it was being stored as in use. It then counted as lost,
        and its stored entry got an end, but it went on being used; a successor
        didn't wait for its runs (rule TWICE).
        """

        async def run() -> None:
            world = _World()
            world.client_after_move.is_silent = True
            acquire = world.assigned_workers.acquire
            acquired = []

            async def acquire_slowly(
                instance: workers_lib.WorkerInstance,
                started_unix_ms: int,
                timeout: datetime.timedelta,
            ) -> bool:
                acquired.append(instance)
                if len(acquired) == 1:
                    world.move()
                return await acquire(instance, started_unix_ms, timeout)

            world.assigned_workers.acquire = acquire_slowly  # type: ignore[method-assign]
            async with anyio.create_task_group() as group:
                group.start_soon(world.session.run)
                await session_world.wait_until(
                    lambda: world.client_after_move.renewals
                )
                self.assertIsNotNone(world.session.lost_since_s)
                self.assertFalse(world.worker.is_reachable)
                world.client_after_move.is_silent = False
                await session_world.wait_until(
                    lambda: world.worker.is_reachable
                )
                self.assertIsNone(world.session.lost_since_s)
                self.assertEqual(len(acquired), 2)
                group.cancel_scope.cancel()

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
