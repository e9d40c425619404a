"""Reads the status pages of entries."""

import json
from typing import Any

import httpcore

from fireflywell import errors
from fireflywell import send_tracker

_ASK_TIMEOUT_SECONDS = 2.0


async def fetch_entry_status(
    pool: httpcore.AsyncConnectionPool, address: str
) -> dict[str, Any] | None:
    """Returns the status page of an entry, or None without a usable answer.

    Args:
        pool: Connections to entries.
        address: Base address of the entry, such as http://127.0.0.1:8080.

    Raises:
        SettingsError: The address isn't one of HTTP.
    """
    url = f"{address.rstrip('/')}/fireflywell/status"
    limits = dict.fromkeys(
        ("connect", "read", "write", "pool"), _ASK_TIMEOUT_SECONDS
    )
    try:
        response = await pool.request(
            "GET", url, extensions={"timeout": limits}
        )
        document = json.loads(response.content)
    except httpcore.UnsupportedProtocol as error:
        raise errors.SettingsError(
            f"entry {address}: not an HTTP address; write it like "
            "http://127.0.0.1:8080"
        ) from error
    except (*send_tracker.EXCHANGE_ERRORS, ValueError):
        return None
    return document if isinstance(document, dict) else None
