"""Sessions whose worker moves while a report is applied."""

import dataclasses
import datetime
import unittest

import anyio

from fireflywell.scheduling import orders
from fireflywell.scheduling import workers as workers_lib
from tests import session_world

_END = orders.EndReport(1, session_world.UNIT, 1, orders.EndKind.DONE, "")


class _EndingClient(session_world.ScriptedClient):
    """A worker's client whose reports list an end."""

    async def renew(
        self, order: orders.RenewOrder
    ) -> orders.WorkerReport | orders.OrderOutcome:
        """Reports the end until it is acknowledged."""
        report = await super().renew(order)
        if not isinstance(report, orders.WorkerReport):
            return report
        is_known = order.last_acknowledged_end >= _END.number
        return dataclasses.replace(report, ended=() if is_known else (_END,))


class _World(session_world.SessionWorld):
    """A worker that moves at a moment that the test chooses."""

    def __init__(self) -> None:
        super().__init__()
        self.client_after_move = _EndingClient()

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

    def test_first_request_at_a_new_address_acknowledges_nothing(self) -> None:
        """Fails if a worker may forget ends that no owner has stored.

        The first request at an address may be sent several times at once. One
        that was carried out late, by the next incarnation under the id, would
        acknowledge ends of that one, and their units would start again after
        they were done (rule TWICE).
        """

        async def run() -> None:
            world = _World()
            world.client = _EndingClient()
            world.session._client.replace_client(world.client)
            writer = world.session._writer
            wait = writer.wait_until_stored

            async def move_meanwhile(
                job_ids: frozenset[str], timeout: datetime.timedelta
            ) -> frozenset[str]:
                if not world.client_after_move.renewals:
                    world.move()
                return await wait(job_ids, timeout)

            writer.wait_until_stored = move_meanwhile  # type: ignore[method-assign]
            moved = world.client_after_move
            async with world.run():
                await session_world.wait_until(lambda: len(moved.renewals) > 2)
            numbers = [r.last_acknowledged_end for r in moved.renewals]
            self.assertEqual(numbers[:2], [0, _END.number])

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
