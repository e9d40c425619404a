"""HTTP client of the platform's advice service."""

import datetime
import json
from typing import Any

from fireflywell import errors
from fireflywell import http_client
from fireflywell.node import advice_line
from fireflywell.platform import json_values


class HttpAdviceClient:
    """Asks the advice service which workers may run a step."""

    __slots__ = ("_client",)

    def __init__(self, client: http_client.HttpClient) -> None:
        self._client = client

    async def advise(
        self,
        step: str,
        workers: tuple[str, ...],
        timeout: datetime.timedelta,
    ) -> advice_line.Advice:
        """Returns the approved workers and their tickets.

        See `AdviceClient.advise`.
        """
        body = json.dumps({"step": step, "workers": list(workers)}).encode()
        response = await self._client.call("POST", "/advise", body, timeout)
        if response.status != 200:
            raise errors.PlatformUnavailableError(
                "the advice service returned status "
                f"{response.status} for a step; it is asked again later"
            )
        try:
            document = json_values.parse_object(response.body)
            rows = json_values.read_list(
                document.get("approved"), "approved", []
            )
            approvals = tuple(_decode_approval(row) for row in rows)
            validity_ms = json_values.read_number(
                document.get("validity_ms"), "validity_ms", 0
            )
            return advice_line.Advice(
                approvals,
                datetime.timedelta(milliseconds=validity_ms)
                if validity_ms > 0
                else None,
            )
        except ValueError as error:
            raise errors.AnswerLostError(
                f"the advice service's response can't be read: {error}; it is "
                "asked again later"
            ) from error


def _decode_approval(row: Any) -> advice_line.Approval:
    """Decodes a row [instance ID, ticket]."""
    instance_id, ticket, *_ = json_values.read_list(
        row, "approved row", min_length=2
    )
    return advice_line.Approval(
        json_values.read_text(instance_id, "id"),
        json_values.read_text(ticket, "ticket"),
    )
