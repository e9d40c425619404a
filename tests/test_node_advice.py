"""Calls to the advice service: when they are made and for which steps."""

import dataclasses
import datetime
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.node import advice_line
from fireflywell.node import advice_requester
from fireflywell.scheduling import model
from fireflywell.scheduling import service_state
from fireflywell.scheduling import steps as steps_lib
from fireflywell.telemetry import metrics as metrics_lib
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
        # Number of workers that the largest call named.
        self.largest_call = 0

    async def advise(
        self,
        step: str,
        workers: tuple[str, ...],
        timeout: datetime.timedelta,
    ) -> advice_line.Advice:
        """Approves workers, or fails for the steps that the test chose."""
        self.largest_call = max(self.largest_call, len(workers))
        if step in self.failing:
            self.calls.append(step)
            raise errors.PlatformUnavailableError("32 calls are waiting")
        return await super().advise(step, workers, timeout)


class _SlowAdvice(node_world.FakeAdvice):
    """An advice service that handles one call at a time and takes its time.

    Attributes:
        handling_s: Time that it takes for a call.
        most_waiting: Largest number of calls that waited or were handled.
        answer_validity: Validity that its answers tell.
    """

    def __init__(self, handling_s: float) -> None:
        super().__init__()
        self.handling_s = handling_s
        self.most_waiting = 0
        self.answer_validity: datetime.timedelta | None = None
        self._waiting = 0
        self._turn = anyio.Lock()

    async def advise(
        self,
        step: str,
        workers: tuple[str, ...],
        timeout: datetime.timedelta,
    ) -> advice_line.Advice:
        """Approves all workers once it is the call's turn."""
        self._waiting += 1
        self.most_waiting = max(self.most_waiting, self._waiting)
        self.approved.update(workers)
        try:
            with anyio.fail_after(timeout.total_seconds()):
                async with self._turn:
                    await anyio.sleep(self.handling_s)
        except TimeoutError as error:
            raise errors.AnswerLostError("no answer in time") from error
        finally:
            self._waiting -= 1
        answer = await super().advise(step, workers, timeout)
        return dataclasses.replace(answer, validity=self.answer_validity)


def _has_tickets(state: service_state.ServiceState) -> bool:
    """Returns whether the first waiting step has tickets that are valid."""
    now_s = clock_lib.SystemClock().monotonic().total_seconds()
    step, *_ = state.list_waiting_steps()
    return step.may_start_on("w1", now_s)


class AdviceLineTest(unittest.TestCase):
    """Several services of one node, which share the advice service's line."""

    def run_services(
        self,
        client: _SlowAdvice,
        policy: model.AdvicePolicy,
        states: list[service_state.ServiceState],
        seconds: float,
    ) -> list[bool]:
        """Runs a requester for each state.

        Returns:
            Whether each service had valid tickets at any moment.
        """
        had_tickets = [False] * len(states)
        for number, state in enumerate(states):
            queue = dataclasses.replace(node_world.POLICY, advice=policy)
            state.add_job(
                samples.make_job(
                    f"{number:016x}", node_world.make_step(1), policy=queue
                )
            )

        async def run() -> None:
            clock = clock_lib.SystemClock()
            line = advice_line.AdviceLine(client, clock)
            async with anyio.create_task_group() as group:
                for state in states:
                    requester = advice_requester.AdviceRequester(
                        state,
                        line,
                        clock,
                        lambda: None,
                        metrics_lib.NullMetrics(),
                    )
                    group.start_soon(requester.run)
                with anyio.move_on_after(seconds):
                    while not all(had_tickets):
                        for number, state in enumerate(states):
                            had_tickets[number] |= _has_tickets(state)
                        await anyio.sleep(0.005)
                group.cancel_scope.cancel()

        anyio.run(run)
        return had_tickets

    def make_states(self, count: int) -> list[service_state.ServiceState]:
        """Returns the states of services with an idle worker each."""
        return [samples.make_state("w1") for _ in range(count)]

    def test_services_of_one_node_take_turns(self) -> None:
        """Fails if services that wait for each other get expired tickets.

        A node that owned all services started nothing: each call waited for
        those of the others for longer than a ticket is valid.
        """
        client = _SlowAdvice(0.1)
        policy = model.AdvicePolicy(0.1, 0.0, 0.3)
        had_tickets = self.run_services(
            client, policy, self.make_states(6), 3.0
        )
        self.assertEqual(had_tickets, [True] * 6)
        self.assertEqual(client.most_waiting, 1)

    def test_tickets_that_last_less_than_a_call_are_used(self) -> None:
        """Fails if tickets expire before the answer that brings them."""
        client = _SlowAdvice(0.3)
        policy = model.AdvicePolicy(0.3, 0.0, 0.2)
        self.assertEqual(
            self.run_services(client, policy, self.make_states(2), 3.0),
            [True, True],
        )

    def test_a_service_slower_than_its_policy_is_answered_at_last(self) -> None:
        """Fails if the time limit of a call never allows for a slow service."""
        client = _SlowAdvice(1.4)
        policy = model.AdvicePolicy(0.1, 0.0, 0.3)
        self.assertEqual(
            self.run_services(client, policy, self.make_states(1), 8.0), [True]
        )

    def test_answer_tells_how_long_tickets_are_valid(self) -> None:
        """Fails if tickets are used longer than the answer allows."""
        client = _SlowAdvice(0.0)
        client.answer_validity = datetime.timedelta(milliseconds=100)
        policy = model.AdvicePolicy(0.0, 0.0, 60.0)
        (state,) = self.make_states(1)
        self.run_services(client, policy, [state], 1.0)
        (step,) = state.list_waiting_steps()
        now_s = clock_lib.SystemClock().monotonic().total_seconds()
        self.assertLess(step.tickets["w1"].until_s, now_s + 0.2)

    def test_steps_without_room_leave_the_line_to_others(self) -> None:
        """Fails if tickets that can't be used delay those that can.

        The service handles one call at a time for a node, and many steps of a
        full pool renewed their tickets there again and again.
        """
        client = _SlowAdvice(0.1)
        policy = model.AdvicePolicy(0.1, 0.0, 1.0)
        full = self.make_states(3)
        for state in full:
            state.workers["w1"].free_cpu = 0
        (idle,) = self.make_states(1)
        self.run_services(client, policy, [*full, idle], 1.5)
        (step,) = idle.list_waiting_steps()
        before = client.calls[: client.calls.index(step.key)]
        self.assertLessEqual(len(before), 1)

    def test_steps_without_room_get_tickets_while_the_line_is_free(
        self,
    ) -> None:
        """Fails if a unit waits for a call once there is room for it."""
        (state,) = self.make_states(1)
        state.workers["w1"].free_cpu = 0
        policy = model.AdvicePolicy(0.05, 0.0, 1.0)
        had_tickets = self.run_services(_SlowAdvice(0.05), policy, [state], 1.0)
        self.assertEqual(had_tickets, [True])


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
            clock = _CountingClock()
            requester = advice_requester.AdviceRequester(
                state,
                advice_line.AdviceLine(client, clock),
                clock,
                lambda: None,
                metrics_lib.NullMetrics(),
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

    def find_largest_call(self, units: int) -> int:
        """Returns how many of 80 workers a call names at most.

        The service takes 0.1 s for each of them; tickets are valid for 2 s.
        """
        state = samples.make_state(*(f"w{number:03}" for number in range(80)))
        policy = dataclasses.replace(
            node_world.POLICY, advice=model.AdvicePolicy(0.01, 0.1, 2.0)
        )
        step = node_world.make_step(units)
        state.add_job(samples.make_job(f"{1:016x}", step, policy=policy))
        client = _FailingAdvice()
        self.run_requester(state, client, 0.3)
        self.assertGreater(len(client.calls), 0)
        return client.largest_call

    def test_no_call_takes_longer_than_its_tickets_last(self) -> None:
        """Fails if one call names more workers than can be decided in time.

        Calls for all other steps of the node waited meanwhile.
        """
        self.assertEqual(self.find_largest_call(400), 10)

    def test_few_units_need_few_workers(self) -> None:
        """Fails if a call names all workers for a unit that one could hold."""
        self.assertLessEqual(self.find_largest_call(1), 2)

    def test_room_on_a_worker_without_a_ticket_is_asked_about(self) -> None:
        """Fails if a unit waits for a renewal while another worker is free."""
        state = self.make_state("w1", "w2")
        client = _FailingAdvice()
        client.approved = {"w1", "w2"}
        (step,) = state.list_waiting_steps()
        now_s = clock_lib.SystemClock().monotonic().total_seconds()
        step.tickets["w1"] = steps_lib.Ticket("ticket", now_s + 60)
        step.advice_asked_s = now_s - 1
        step.advice_due_s = now_s + 60
        state.workers["w1"].free_cpu = 0
        self.run_requester(state, client, 0.3)
        self.assertEqual(set(step.tickets), {"w1", "w2"})


if __name__ == "__main__":
    unittest.main()
