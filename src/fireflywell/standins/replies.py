"""What a stand-in instance sends, down to broken responses."""

import dataclasses

from fireflywell import asgi


@dataclasses.dataclass(frozen=True, slots=True)
class Respond:
    """Sends a complete response."""

    status: int
    headers: tuple[asgi.Header, ...]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Truncate:
    """Promises `promised_bytes` of body, sends fewer and closes."""

    promised_bytes: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Resets the connection before any byte of a response."""


@dataclasses.dataclass(frozen=True, slots=True)
class NeverAnswer:
    """Keeps the connection open and sends nothing."""


Reply = Respond | Truncate | Reset | NeverAnswer
