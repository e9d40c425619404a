"""What a supervisor does when one of its children fails."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True, slots=True)
class NeverRestart:
    """Logs the failure and lets the child end.

    For connections: the other side dials again.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class RestartWithBackoff:
    """Starts the child again after a jittered, growing delay.

    Attributes:
        initial: Delay before the first restart.
        maximum: Upper bound of the delay.
        reset_after: A run that lasted this long resets the delay.
    """

    initial: datetime.timedelta = datetime.timedelta(milliseconds=100)
    maximum: datetime.timedelta = datetime.timedelta(seconds=10)
    reset_after: datetime.timedelta = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, slots=True)
class RestartSiblings:
    """Cancels and starts again all children of the supervisor.

    For children that share state which a failure leaves inconsistent.
    """

    delay: datetime.timedelta = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class StopProcess:
    """Ends the whole tree with `ChildFailedError`.

    For children without which the process is of no use, such as its listener.
    """


Policy = NeverRestart | RestartWithBackoff | RestartSiblings | StopProcess
