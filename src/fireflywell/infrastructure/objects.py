"""Client of the object store."""

import hashlib
from typing import Protocol
import urllib.parse

import anyio.to_thread

from fireflywell import errors
from fireflywell.infrastructure import transport as transport_lib

# Hashing more than this takes longer than a millisecond, so it runs in a thread
# instead of blocking the event loop.
_HASH_IN_THREAD_BYTES = 256 * 1024


class ObjectStore(Protocol):
    """Operations of an object store that this package uses."""

    async def put(self, name: str, content: bytes) -> None:
        """Stores an object, replacing one of the same name.

        Raises:
            PlatformError: The object may not have been stored.
        """

    async def get(self, name: str) -> bytes | None:
        """Returns an object's content, or None if the object doesn't exist.

        Raises:
            PlatformError: The store can't be reached.
        """


class ObjectClient:
    """Calls the object store over HTTP; implements `ObjectStore`."""

    __slots__ = ("_transport",)

    def __init__(self, transport: transport_lib.PlatformTransport) -> None:
        self._transport = transport

    async def put(self, name: str, content: bytes) -> None:
        """Stores an object; see `ObjectStore.put`."""
        path = f"/v1/objects/{urllib.parse.quote(name, safe='/')}"
        await self._transport.call_raw("PUT", path, content)

    async def get(self, name: str) -> bytes | None:
        """Fetches an object; see `ObjectStore.get`."""
        path = f"/v1/objects/{urllib.parse.quote(name, safe='/')}"
        try:
            return await self._transport.call_raw("GET", path, b"")
        except errors.PlatformRejectedError:
            return None


async def compute_digest(content: bytes) -> str:
    """Returns the SHA-256 of `content` in hexadecimal."""
    if len(content) < _HASH_IN_THREAD_BYTES:
        return hashlib.sha256(content).hexdigest()
    return await anyio.to_thread.run_sync(
        lambda: hashlib.sha256(content).hexdigest()
    )
