"""The platform's advice service over HTTP."""

import datetime
import json

from fireflywell import errors
from fireflywell import http_client
from fireflywell.node import advice_requester

# The service decides on one call of a machine after the other, and each
# worker named takes it a while.
_TIMEOUT = datetime.timedelta(seconds=4)


class HttpAdviceClient:
    """Calls to the advice service."""

    __slots__ = ("_client",)

    def __init__(self, client: http_client.HttpClient) -> None:
        self._client = client

    async def advise(
        self, step: str, workers: tuple[str, ...]
    ) -> tuple[advice_requester.Approval, ...]:
        """Returns the approved workers; see `AdviceClient.advise`."""
        body = json.dumps({"step": step, "workers": list(workers)}).encode()
        response = await self._client.call("POST", "/advise", body, _TIMEOUT)
        if response.status != 200:
            raise errors.PlatformUnavailableError(
                f"the advice service answered {response.status}"
            )
        # Rows of a worker's id and its ticket.
        rows = json.loads(response.body).get("approved") or ()
        return tuple(advice_requester.Approval(row[0], row[1]) for row in rows)
