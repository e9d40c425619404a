"""Requests a worker's first report so that a lost call costs little time."""

import datetime

import anyio

from fireflywell import errors
from fireflywell.scheduling import orders

# Requests for the first report that may be on their way at the same time.
MOST_REQUESTS = 3

# Time between them. A worker answers within a few milliseconds unless it or a
# link is slow; its answer to an earlier request still counts then.
_SPACING = datetime.timedelta(milliseconds=300)


class FirstReportClient:
    """A worker's client that doesn't wait for a lost request before the next.

    Inherited units wait until all workers in use have reported, and a lost
    call is noticed only after a second or more. The request for the first
    report grants and acknowledges nothing, so any number of them may be
    carried out, in any order.
    """

    __slots__ = ("_client", "_has_answered")

    def __init__(self, client: orders.WorkerClient) -> None:
        self._client = client
        self._has_answered = False

    async def start(self, order: orders.StartOrder) -> orders.OrderOutcome:
        """Starts a unit; see `WorkerClient.start`."""
        return await self._client.start(order)

    async def stop(self, order: orders.StopOrder) -> orders.OrderOutcome:
        """Stops a run; see `WorkerClient.stop`."""
        return await self._client.stop(order)

    async def throttle(
        self, order: orders.ThrottleOrder
    ) -> orders.OrderOutcome:
        """Sets a filling run's share; see `WorkerClient.throttle`."""
        return await self._client.throttle(order)

    async def renew(
        self, order: orders.RenewOrder
    ) -> orders.WorkerReport | orders.OrderOutcome:
        """Requests a report; see `WorkerClient.renew`."""
        if self._has_answered:
            return await self._client.renew(order)
        answer = await self._request_repeatedly(order)
        self._has_answered = isinstance(answer, orders.WorkerReport)
        return answer

    async def close(self) -> None:
        """Closes the connections to the worker."""
        await self._client.close()

    async def _request_repeatedly(
        self, order: orders.RenewOrder
    ) -> orders.WorkerReport | orders.OrderOutcome:
        """Returns the first answer to several requests.

        A call that fails at once shows that another one is of no use yet.

        Raises:
            PlatformError: None was answered.
        """
        answers: list[orders.WorkerReport | orders.OrderOutcome] = []
        failures: list[errors.PlatformError] = []

        async def request(
            failed: anyio.Event, scope: anyio.CancelScope
        ) -> None:
            try:
                answers.append(await self._client.renew(order))
            except errors.PlatformError as error:
                failures.append(error)
                failed.set()
            else:
                scope.cancel()

        async with anyio.create_task_group() as group:
            for _ in range(MOST_REQUESTS):
                failed = anyio.Event()
                group.start_soon(request, failed, group.cancel_scope)
                with anyio.move_on_after(_SPACING.total_seconds()):
                    await failed.wait()
                    break
        if not answers:
            raise failures[-1]
        return answers[0]
