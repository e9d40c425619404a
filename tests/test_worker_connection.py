"""Connections to workers whose address changes."""

import datetime
import unittest

import anyio

from fireflywell import errors
from fireflywell.node import worker_connection
from fireflywell.scheduling import orders
from tests import session_world

_NO_TIME = datetime.timedelta()
_RENEWAL = orders.RenewOrder(1, 0, None, _NO_TIME, _NO_TIME)
_STOP = orders.StopOrder("unit", 1, 1)
_START = orders.StartOrder("unit", 1, "", 0, 1, "", "")


class _Client(session_world.ScriptedClient):
    """Records whether it was closed."""

    def __init__(self) -> None:
        super().__init__()
        self.is_closed = False

    async def close(self) -> None:
        """Closes the client."""
        self.is_closed = True


class WorkerConnectionTest(unittest.TestCase):
    """Calls before and after a change of the address."""

    def test_former_client_is_closed_after_its_last_call(self) -> None:
        """Fails if connections leak, or a start loses its answer."""

        async def run() -> None:
            former, present = _Client(), _Client()
            former.outcomes.append(orders.Accepted(1))
            may_answer = anyio.Event()
            former.before_start = may_answer.wait
            outcomes: list[orders.OrderOutcome] = []
            connection = worker_connection.WorkerConnection(former)

            async def start() -> None:
                outcomes.append(await connection.start(_START))

            async with anyio.create_task_group() as group:
                group.start_soon(start)
                await session_world.wait_until(lambda: former.starts)
                connection.replace_client(present)
                await connection.stop(_STOP)
                self.assertFalse(former.is_closed)
                may_answer.set()
            self.assertEqual(outcomes, [orders.Accepted(1)])
            await connection.stop(_STOP)
            self.assertTrue(former.is_closed)
            self.assertEqual(former.stops, [])
            self.assertFalse(present.is_closed)
            await connection.close()
            self.assertTrue(present.is_closed)

        anyio.run(run)

    def test_report_request_fails_when_the_address_changes(self) -> None:
        """Fails if the new address is asked only after a time limit."""

        async def run() -> None:
            former, present = _Client(), _Client()
            connection = worker_connection.WorkerConnection(former)
            async with anyio.create_task_group() as group:

                async def request() -> None:
                    with self.assertRaises(errors.AnswerLostError):
                        await connection.renew(_RENEWAL)

                group.start_soon(request)
                await session_world.wait_until(lambda: former.renewals)
                connection.replace_client(present)
            report = await connection.renew(_RENEWAL)
            self.assertIsInstance(report, orders.WorkerReport)
            self.assertEqual(len(present.renewals), 1)

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
