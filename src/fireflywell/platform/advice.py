"""HTTP client of the platform's advice service."""

import datetime
import json

from fireflywell import errors
from fireflywell import http_client
from fireflywell.node import advice_requester

# The service handles the calls of one VM one after another, and the time of a
# call grows with the number of workers in it.
_TIMEOUT = datetime.timedelta(seconds=4)


class HttpAdviceClient:
    """Asks the advice service which workers may run a step."""

    __slots__ = ("_client",)

    def __init__(self, client: http_client.HttpClient) -> None:
        self._client = client

    async def advise(
        self, step: str, workers: tuple[str, ...]
    ) -> tuple[advice_requester.Approval, ...]:
        """Returns the approved workers and their tickets.

        See `AdviceClient.advise`.
        """
        body = json.dumps({"step": step, "workers": list(workers)}).encode()
        response = await self._client.call("POST", "/advise", body, _TIMEOUT)
        if response.status != 200:
            raise errors.PlatformUnavailableError(
                "the advice service returned status "
                f"{response.status} for a step; it is asked again later"
            )
        # Each row is [instance ID, ticket].
        rows = json.loads(response.body).get("approved") or ()
        return tuple(advice_requester.Approval(row[0], row[1]) for row in rows)
