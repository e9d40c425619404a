"""Passes a caller's submission on to another node over its callers' API."""

import collections
import datetime
import urllib.parse

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import http_client
from fireflywell.node import job_frontend
from fireflywell.platform import job_requests

_CONNECTIONS = 16
_MAX_CLIENTS = 16

# A node that doesn't accept a connection within this time is frozen or cut off.
_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=250)


class SubmissionForwarder:
    """Sends submissions to the nodes that own their services."""

    __slots__ = ("_clients", "_clock")

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        # By address, the one that was used last at the end.
        self._clients: collections.OrderedDict[str, http_client.HttpClient] = (
            collections.OrderedDict()
        )

    async def send(
        self,
        address: str,
        host: str,
        path: str,
        body: bytes,
        timeout: datetime.timedelta,
    ) -> (
        job_frontend.Accepted
        | job_frontend.NotStored
        | job_frontend.OutcomeUnknown
    ):
        """Sends a submission and returns what became of it.

        Args:
            address: The node's address for callers.
            host: Host of the caller's request, which selects the queue.
            path: Path of the caller's request, with its escapes decoded.
            body: Body of the caller's request.
            timeout: How long the caller waits.

        Raises:
            PlatformUnavailableError: The node wasn't asked.
        """
        headers = (
            f"{job_requests.FORWARDED_HEADER}: 1\r\n"
            f"{job_requests.DEADLINE_HEADER}: "
            f"{round(timeout.total_seconds() * 1000)}\r\n"
        )
        client = await self._find_client(address)
        try:
            response = await client.call(
                "POST",
                urllib.parse.quote(path),
                body,
                timeout,
                headers,
                connect_timeout=_CONNECT_TIMEOUT,
                host=host,
            )
        except errors.AnswerLostError:
            return job_frontend.OutcomeUnknown()
        match response.status:
            case 200:
                return job_frontend.Accepted("")
            case 429 | 503:
                return job_frontend.NotStored()
            case _:
                return job_frontend.OutcomeUnknown()

    async def _find_client(self, address: str) -> http_client.HttpClient:
        client = self._clients.get(address)
        if client is None:
            client = http_client.HttpClient(address, self._clock, _CONNECTIONS)
            self._clients[address] = client
        self._clients.move_to_end(address)
        if len(self._clients) > _MAX_CLIENTS:
            _, oldest = self._clients.popitem(last=False)
            await oldest.close()
        return client
