"""Calls to the advice service: when they are made and for which steps."""

import dataclasses
import datetime
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.node import advice_requester
from fireflywell.scheduling import model
from fireflywell.scheduling import service_state
from tests import node_world
from tests import scheduling_samples as samples

# More clock readings than a requester makes if it waits between its calls.
_READINGS = 500


class _CountingClock(clock_lib.SystemClock):
    """Raises an error after many readings, so that a busy loop ends."""

    def __init__(self) -> None:
        self.readings = 0

    def monotonic(self) -> datetime.timedelta:
        """Returns the time.

        Raises:
            AssertionError: The clock was read too often.
        """
        self.readings += 1
        if self.readings > _READINGS:
            raise AssertionError("the requester never lets other tasks run")
        return super().monotonic()


class _FailingAdvice(node_world.FakeAdvice):
    """An advice service whose calls fail for some steps."""

    def __init__(self) -> None:
        super().__init__()
        self.failing: set[str] = set()

    async def advise(
        self, step: str, workers: tuple[str, ...]
    ) -> tuple[advice_requester.Approval, ...]:
        """Approves workers, or fails for the steps that the test chose."""
        if step in self.failing:
            self.calls.append(step)
            raise errors.PlatformUnavailableError("32 calls are waiting")
        return await super().advise(step, workers)


class AdviceRequesterTest(unittest.TestCase):
    """One advice requester and an advice service."""

    def make_state(
        self, *names: str, jobs: int = 1
    ) -> service_state.ServiceState:
        """Returns a service state with jobs whose queue needs advice."""
        state = samples.make_state(*names)
        policy = dataclasses.replace(
            node_world.POLICY, advice=model.AdvicePolicy(0.01, 0.0, 2.0)
        )
        for number in range(jobs):
            job = samples.make_job(
                f"{number:016x}", node_world.make_step(1), policy=policy
            )
            state.add_job(job)
        return state

    def run_requester(
        self,
        state: service_state.ServiceState,
        client: _FailingAdvice,
        seconds: float,
    ) -> None:
        """Runs an advice requester for some seconds."""

        async def run() -> None:
            requester = advice_requester.AdviceRequester(
                state, client, _CountingClock(), lambda: None
            )
            with anyio.move_on_after(seconds):
                await requester.run()

        anyio.run(run)

    def test_other_tasks_run_while_no_worker_takes_runs(self) -> None:
        """Fails if the requester blocks the node while no worker accepts runs.

        The retry came before tickets of this validity expire, so the step was
        due again at once and no other task ran.
        """
        client = _FailingAdvice()
        self.run_requester(self.make_state(), client, 0.4)
        self.assertEqual(client.calls, [])

    def test_failing_step_does_not_starve_the_others(self) -> None:
        """Fails if a step whose calls fail is retried before other steps."""
        state = self.make_state("w1", jobs=3)
        client = _FailingAdvice()
        client.approved = {"w1"}
        client.failing = {step.key for step in state.list_waiting_steps()[:1]}
        self.run_requester(state, client, 1.0)
        self.assertEqual(len(set(client.calls)), 3)

    def test_each_worker_of_a_large_service_is_asked_about(self) -> None:
        """Fails if a step waits for ever for a ticket of an idle worker.

        Only the hundred workers with the most free CPU were asked about, of
        idle ones always the same.
        """
        names = [f"w{number:03}" for number in range(230)]
        state = self.make_state(*names)
        client = _FailingAdvice()
        client.approved = {names[-1]}
        self.run_requester(state, client, 1.2)
        (step,) = state.list_waiting_steps()
        self.assertEqual(set(step.tickets), {names[-1]})


if __name__ == "__main__":
    unittest.main()
