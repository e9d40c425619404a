"""Makes a node's calls to the advice service one after another."""

from collections.abc import Callable
import dataclasses
import datetime
from typing import Protocol

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.scheduling import model

# How much longer than its policy says a call may take. Doubled after each call
# without an answer, because the service may be slower than its policy says.
_SHORTEST_SLACK = datetime.timedelta(seconds=1)
_LONGEST_SLACK = datetime.timedelta(seconds=8)


@dataclasses.dataclass(frozen=True, slots=True)
class Approval:
    """The advice service's permission to run a step on a worker.

    Attributes:
        worker_id: The worker.
        ticket: The ticket that the order to start must carry.
    """

    worker_id: str
    ticket: str


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """Answer of the advice service.

    Attributes:
        approvals: One for each worker that may run the step.
        validity: How long the tickets are valid; None if it isn't told.
    """

    approvals: tuple[Approval, ...]
    validity: datetime.timedelta | None = None


class AdviceClient(Protocol):
    """Calls to the advice service.

    Calls raise `PlatformError` if the service doesn't answer or refuses them
    because too many are waiting.
    """

    async def advise(
        self,
        step: str,
        workers: tuple[str, ...],
        timeout: datetime.timedelta,
    ) -> Advice:
        """Returns which of the given workers may run the step."""


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceCall:
    """A call to the advice service.

    Attributes:
        step: Key of the step.
        workers: Workers that the call names.
        policy: Timing of the service.
    """

    step: str
    workers: tuple[str, ...]
    policy: model.AdvicePolicy

    @property
    def handling_s(self) -> float:
        """Time that the service takes from the start of handling the call."""
        return (
            self.policy.decision_s
            + len(self.workers) * self.policy.per_worker_s
        )


@dataclasses.dataclass(frozen=True, slots=True)
class AdviceResult:
    """An answered call.

    Attributes:
        call: The call.
        advice: The answer.
        sent_s: Monotonic time at which the call was sent.
        received_s: Monotonic time at which the answer was received.
    """

    call: AdviceCall
    advice: Advice
    sent_s: float
    received_s: float


class AdviceLine:
    """The node's calls to the advice service, one at a time.

    The service handles the calls of one node one after another and doesn't say
    how long a call waited. So calls wait here: their time limit begins when
    their turn comes, and they are chosen by what is needed then. Owners of
    services take turns.
    """

    __slots__ = ("_client", "_clock", "_slack", "_turn")

    def __init__(self, client: AdviceClient, clock: clock_lib.Clock) -> None:
        self._client = client
        self._clock = clock
        self._slack = _SHORTEST_SLACK
        self._turn = anyio.Lock()

    @property
    def is_free(self) -> bool:
        """Whether a call would be sent at once."""
        return not self._turn.locked()

    @property
    def has_waiting_calls(self) -> bool:
        """Whether calls wait for their turn, beside one that is being made."""
        return self._turn.statistics().tasks_waiting > 0

    async def call(
        self, choose: Callable[[], AdviceCall | None]
    ) -> AdviceResult | None:
        """Waits for its turn and makes the call that is chosen then.

        Args:
            choose: Returns the call; None if none is needed any more.

        Returns:
            The answered call; None if none was needed.

        Raises:
            PlatformError: The service doesn't answer or refused the call.
        """
        async with self._turn:
            call = choose()
            if call is None:
                return None
            sent_s = self._now_s()
            timeout = datetime.timedelta(seconds=call.handling_s) + self._slack
            try:
                advice = await self._client.advise(
                    call.step, call.workers, timeout
                )
            except errors.AnswerLostError:
                self._slack = min(_LONGEST_SLACK, 2 * self._slack)
                raise
            self._slack = _SHORTEST_SLACK
            return AdviceResult(call, advice, sent_s, self._now_s())

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()
