"""Reads the status pages of instances."""

import json
from typing import Protocol

import anyio
import httpcore

from fireflywell import errors
from fireflywell import send_tracker
from fireflywell.fleet import instances as instances_lib

_READ_SECONDS = 1.0


class StatusReader(Protocol):
    """Reads how many requests an instance has in progress."""

    async def read_in_progress(self, instance: instances_lib.Instance) -> int:
        """Returns the number that the instance reports.

        Raises:
            PlatformError: The status can't be read.
        """


class HttpStatusReader:
    """Reads `GET /status`, one connection for each call."""

    __slots__ = ()

    async def read_in_progress(self, instance: instances_lib.Instance) -> int:
        """Returns the number that the instance reports."""
        url = f"http://{instance.address}:{instance.port}/status"
        try:
            with anyio.fail_after(_READ_SECONDS):
                async with httpcore.AsyncConnectionPool(
                    network_backend=httpcore.AnyIOBackend()
                ) as pool:
                    response = await pool.request("GET", url)
            count = json.loads(response.content)["in_progress"]
        except (
            *send_tracker.EXCHANGE_ERRORS,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            raise errors.PlatformUnavailableError(
                f"{url} can't be read ({error!r}); no request is sent to "
                f"{instance.instance_id} until it can"
            ) from error
        if type(count) is not int or count < 0:
            raise errors.PlatformUnavailableError(
                f"{url}: in_progress is {count!r}, expected a number"
            )
        return count
