"""A run that several deliveries of one request may wait for."""

import anyio

from fireflywell.requests import outcomes


class InFlightRun:
    """Result of a run, shared by the request that started it and joiners."""

    __slots__ = ("_digest", "_done", "_joiners", "_result")

    def __init__(self, digest: bytes) -> None:
        self._digest = digest
        self._done = anyio.Event()
        self._joiners = 0
        self._result: outcomes.RunResult = outcomes.Withdrawn()

    @property
    def digest(self) -> bytes:
        """Digest of the request that runs."""
        return self._digest

    @property
    def has_joiners(self) -> bool:
        """Whether another delivery waits for the result."""
        return self._joiners > 0

    async def join(self) -> outcomes.RunResult:
        """Waits for the result of the run."""
        self._joiners += 1
        try:
            await self._done.wait()
        finally:
            self._joiners -= 1
        return self._result

    def set_result(self, result: outcomes.RunResult) -> None:
        """Hands the result to all joiners."""
        self._result = result
        self._done.set()
