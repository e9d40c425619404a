"""A worker's client that goes on when the worker's address changes."""

from collections.abc import AsyncIterator
import contextlib

import anyio

from fireflywell import errors
from fireflywell.scheduling import orders


class _Link:
    """A client for one address and the number of calls in progress."""

    __slots__ = ("calls", "client")

    def __init__(self, client: orders.WorkerClient) -> None:
        self.client = client
        self.calls = 0


class WorkerConnection:
    """Sends each order to the worker's last known address.

    Orders name the worker's id, so one that reaches another worker isn't
    carried out. Orders in progress at a former address may be; they keep their
    answers.
    """

    __slots__ = ("_former", "_link", "_report_scope")

    def __init__(self, client: orders.WorkerClient) -> None:
        """Starts with a client for the first known address."""
        self._link = _Link(client)
        # Links to former addresses until their calls are over.
        self._former: list[_Link] = []
        # Cancels the report request in progress.
        self._report_scope = anyio.CancelScope()

    def replace_client(self, client: orders.WorkerClient) -> None:
        """Sends further orders by a client for another address.

        A report request in progress fails, because the former address may not
        answer any more. It may have been carried out.
        """
        self._former.append(self._link)
        self._link = _Link(client)
        self._report_scope.cancel()

    async def start(self, order: orders.StartOrder) -> orders.OrderOutcome:
        """Starts a unit; see `WorkerClient.start`."""
        async with self._use_link() as client:
            return await client.start(order)

    async def stop(self, order: orders.StopOrder) -> orders.OrderOutcome:
        """Stops a run; see `WorkerClient.stop`."""
        async with self._use_link() as client:
            return await client.stop(order)

    async def throttle(
        self, order: orders.ThrottleOrder
    ) -> orders.OrderOutcome:
        """Sets a filling run's share; see `WorkerClient.throttle`."""
        async with self._use_link() as client:
            return await client.throttle(order)

    async def renew(
        self, order: orders.RenewOrder
    ) -> orders.WorkerReport | orders.OrderOutcome:
        """Requests a report; see `WorkerClient.renew`."""
        with anyio.CancelScope() as self._report_scope:
            async with self._use_link() as client:
                return await client.renew(order)
        raise errors.AnswerLostError(
            "the worker's address changed during a report request"
        )

    async def close(self) -> None:
        """Closes the connections to all addresses."""
        for link in (self._link, *self._former):
            await link.client.close()
        self._former = []

    @contextlib.asynccontextmanager
    async def _use_link(self) -> AsyncIterator[orders.WorkerClient]:
        await self._close_idle()
        link = self._link
        link.calls += 1
        try:
            yield link.client
        finally:
            link.calls -= 1

    async def _close_idle(self) -> None:
        """Closes the links to former addresses that no call uses."""
        idle = [link for link in self._former if not link.calls]
        self._former = [link for link in self._former if link.calls]
        for link in idle:
            await link.client.close()
