"""Supervisor: runs children as tasks and applies their failure policies."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import datetime
import random

import anyio
import anyio.abc

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.supervision import policies
from fireflywell.telemetry import logs


@dataclasses.dataclass(frozen=True, slots=True)
class Child:
    """One supervised task.

    Attributes:
        name: Name in log lines, unique among the children of a supervisor.
        run: Coroutine function that does the work until it is cancelled.
        policy: What to do when `run` raises. A normal return ends the child.
    """

    name: str
    run: Callable[[], Awaitable[None]]
    policy: policies.Policy


class _SiblingRestartError(Exception):
    """Asks the supervisor to restart all its children."""

    def __init__(self, delay: datetime.timedelta) -> None:
        super().__init__()
        self.delay = delay


class Supervisor:
    """Runs children as tasks and applies each one's policy when it fails.

    Every supervisor but the root runs as a child of another one.
    Children given to the constructor are started by `run`; further children,
    such as one for each accepted connection, are added by `start_child`.
    """

    __slots__ = ("_children", "_clock", "_group", "_name", "_random")

    def __init__(
        self,
        name: str,
        clock: clock_lib.Clock,
        rng: random.Random,
        children: tuple[Child, ...] = (),
    ) -> None:
        self._name = name
        self._clock = clock
        self._random = rng
        self._children = children
        self._group: anyio.abc.TaskGroup | None = None

    @property
    def name(self) -> str:
        """Name of this supervisor in log lines."""
        return self._name

    async def run(self) -> None:
        """Runs all children until they end or a failure is escalated.

        Raises:
            ChildFailedError: A child with policy `StopProcess` failed.
        """
        while True:
            try:
                await self._run_children_once()
                return
            except* _SiblingRestartError as group:
                delay = _find_longest_delay(group)
            await self._clock.sleep(delay)

    def start_child(self, child: Child) -> None:
        """Starts an additional child; the supervisor must be running.

        Raises:
            RuntimeError: The supervisor isn't running.
        """
        if self._group is None:
            raise RuntimeError(
                f"supervisor {self._name} isn't running; call `run` "
                "before `start_child`"
            )
        self._group.start_soon(self._supervise, child, name=child.name)

    async def run_until_cancelled(self) -> None:
        """Runs like `run`, but doesn't return when all children have ended.

        Children can then be added until the task is cancelled.
        """
        sleeper = Child("keeper", anyio.sleep_forever, policies.NeverRestart())
        self._children = (*self._children, sleeper)
        await self.run()

    async def _run_children_once(self) -> None:
        async with anyio.create_task_group() as group:
            self._group = group
            for child in self._children:
                self.start_child(child)

    async def _supervise(self, child: Child) -> None:
        delay = datetime.timedelta()
        while True:
            started = self._clock.monotonic()
            try:
                await child.run()
                return
            except _SiblingRestartError:
                raise
            except Exception as error:  # The policy decides on any failure.
                logs.log_child_failure(self._name, child.name, error)
                run_time = self._clock.monotonic() - started
                match child.policy:
                    case policies.NeverRestart():
                        return
                    case policies.RestartWithBackoff() as policy:
                        delay = self._choose_delay(policy, delay, run_time)
                    case policies.RestartSiblings(delay=restart_delay):
                        raise _SiblingRestartError(restart_delay) from error
                    case policies.StopProcess():
                        raise errors.ChildFailedError(
                            f"{self._name}/{child.name} failed: {error!r}; "
                            "the process stops; see the log event "
                            "supervision.child_failed"
                        ) from error
            await self._clock.sleep(delay * self._random.uniform(0.5, 1.0))

    def _choose_delay(
        self,
        policy: policies.RestartWithBackoff,
        previous: datetime.timedelta,
        run_time: datetime.timedelta,
    ) -> datetime.timedelta:
        if run_time >= policy.reset_after or not previous:
            return policy.initial
        return min(previous * 2, policy.maximum)


def _find_longest_delay(
    group: BaseExceptionGroup[_SiblingRestartError],
) -> datetime.timedelta:
    """Returns the longest delay requested by a group of restart errors."""
    longest = datetime.timedelta()
    for error in _flatten(group):
        longest = max(longest, error.delay)
    return longest


def _flatten(
    group: BaseExceptionGroup[_SiblingRestartError],
) -> list[_SiblingRestartError]:
    found: list[_SiblingRestartError] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found.extend(_flatten(error))
        else:
            found.append(error)
    return found


@contextlib.contextmanager
def raise_single_error() -> Iterator[None]:
    """Unwraps exception groups that hold only `FireflywellError`s.

    Raises:
        FireflywellError: The first error of the group, in place of the group.
    """
    try:
        yield
    except BaseExceptionGroup as group:
        matching, rest = group.split(errors.FireflywellError)
        if matching is None or rest is not None:
            raise
        error: BaseException = matching
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        raise error from None
