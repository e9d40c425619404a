"""Failure policies: what a supervisor does when one of its children fails."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True, slots=True)
class NeverRestart:
    """Logs the failure and doesn't restart the child.

    For tasks that serve one connection: the peer connects again.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class RestartWithBackoff:
    """Restarts the child after a jittered exponential backoff.

    Attributes:
        initial: Delay before the first restart.
        maximum: Upper bound of the delay.
        reset_after: A run that lasted this long resets the delay to `initial`.
    """

    initial: datetime.timedelta = datetime.timedelta(milliseconds=100)
    maximum: datetime.timedelta = datetime.timedelta(seconds=10)
    reset_after: datetime.timedelta = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, slots=True)
class RestartSiblings:
    """Cancels and restarts all children of the supervisor.

    For children that share state which a failure leaves inconsistent.

    Attributes:
        delay: Delay before the restart.
    """

    delay: datetime.timedelta = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class StopProcess:
    """Stops the whole supervisor tree with `ChildFailedError`.

    For children that the process can't work without, such as its listener.
    """


Policy = NeverRestart | RestartWithBackoff | RestartSiblings | StopProcess
