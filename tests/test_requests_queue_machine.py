"""Compares a service's queue with an oracle under random sequences."""

import itertools
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from fireflywell.bundle import model
from fireflywell.requests import service_queue
from tests import requests_support

LIMIT = 40
LONGEST = 0.05
# The default burst is 2 slot seconds for a weight of 8 in all.
CREDIT = 0.25
WEIGHTS = {"a": 5.0, "b": 2.0, "c": 1.0}
CLASSES = tuple(
    model.RequestClass(name, weight, queue_limit=LIMIT)
    for name, weight in WEIGHTS.items()
)
NAMES = strategies.sampled_from(sorted(WEIGHTS))
TEAM_NAMES = tuple(f"team{number}" for number in range(12))
TEAMS = strategies.sampled_from(TEAM_NAMES)
RUN_TIMES = strategies.sampled_from((0.01, 0.02, LONGEST))


class QueueMachine(stateful.RuleBasedStateMachine):
    """Compares with plain dictionaries of what waits and runs."""

    def __init__(self) -> None:
        super().__init__()
        self.bench = requests_support.Bench(CLASSES, TEAM_NAMES)
        self.waiting: dict[str, service_queue.Ticket] = {}
        self.running: dict[str, tuple[service_queue.Ticket, float]] = {}
        self.gone: set[str] = set()
        self.served = dict.fromkeys(WEIGHTS, 0.0)
        # Served time of both classes when both last began to have work.
        self.since: dict[tuple[str, str], tuple[float, float]] = {}
        for name in WEIGHTS:
            self.bench.observe(name, LONGEST, count=1)

    def count(self, name: str) -> int:
        """Returns the waiting tickets of a class."""
        return sum(
            ticket.class_name == name for ticket in self.waiting.values()
        )

    def count_own(self, new: service_queue.Ticket) -> int:
        """Returns the waiting tickets of the class and team of a new one."""
        return sum(
            (ticket.class_name, ticket.team) == (new.class_name, new.team)
            for ticket in self.waiting.values()
        )

    @stateful.rule(
        name=NAMES,
        team=TEAMS,
        within=strategies.sampled_from((None, None, 0.1, 1.0, 60.0)),
        count=strategies.integers(1, 30),
    )
    def offer(
        self, name: str, team: str, within: float | None, count: int
    ) -> None:
        """Accepts tickets within the bounds only."""
        for _ in range(count):
            ticket = self.bench.make_ticket(name, team, within=within)
            before = self.count(name)
            match self.bench.queue.offer(ticket):
                case service_queue.Queued():
                    assert self.count_own(ticket) < LIMIT - before
                    self.waiting[ticket.request_id] = ticket
                case service_queue.QueueRefusal(kind=kind):
                    self.check_refusal(kind, ticket, before)
        self.note_busy()

    def check_refusal(
        self,
        kind: service_queue.RefusalKind,
        ticket: service_queue.Ticket,
        before: int,
    ) -> None:
        """Checks that a refusal states a fact."""
        own = self.count_own(ticket)
        match kind:
            case service_queue.RefusalKind.CLASS_FULL:
                assert before == LIMIT
            case service_queue.RefusalKind.TEAM_FULL:
                assert own >= LIMIT - before > 0
            case service_queue.RefusalKind.DEADLINE:
                assert ticket.deadline is not None
            case _:
                raise AssertionError(kind)

    @stateful.rule(count=strategies.integers(1, 40), run_time=RUN_TIMES)
    def serve(self, count: int, run_time: float) -> None:
        """Runs tickets one after the other."""
        for _ in range(count):
            ticket = self.take(run_time)
            if ticket is None:
                return
            self.bench.clock.advance(requests_support.seconds(run_time))
            self.finish(ticket.request_id)
            self.forget_expired()

    @stateful.rule(
        count=strategies.integers(100, 250),
        run_times=strategies.tuples(RUN_TIMES, RUN_TIMES, RUN_TIMES),
    )
    def run_busy_period(
        self, count: int, run_times: tuple[float, float, float]
    ) -> None:
        """Serves while all classes have work; `shares_hold` looks at it."""
        for request_id in sorted(self.running):
            self.finish(request_id)
        of_class = dict(zip(sorted(WEIGHTS), run_times, strict=True))
        for _ in range(count):
            for name in WEIGHTS:
                if self.count(name) < 3:
                    self.offer(name, TEAM_NAMES[0], None, 1)
            ticket = self.take(0.0)
            assert ticket is not None
            run_time = of_class[ticket.class_name]
            self.served[ticket.class_name] += run_time
            self.running[ticket.request_id] = (ticket, run_time)
            self.bench.clock.advance(requests_support.seconds(run_time))
            self.finish(ticket.request_id)
            self.forget_expired()

    @stateful.rule(run_time=RUN_TIMES)
    def start(self, run_time: float) -> None:
        """Lets a ticket run on."""
        self.take(run_time)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data())
    def finish_one(self, data: strategies.DataObject) -> None:
        """Ends any running request."""
        self.finish(data.draw(strategies.sampled_from(sorted(self.running))))

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=strategies.data())
    def withdraw(self, data: strategies.DataObject) -> None:
        """Takes a waiting ticket back, once."""
        name = data.draw(strategies.sampled_from(sorted(self.waiting)))
        del self.waiting[name]
        assert self.bench.queue.withdraw(name)
        assert not self.bench.queue.withdraw(name)
        self.note_busy()

    @stateful.rule(duration=strategies.sampled_from((0.01, 0.1, 1.0)))
    def advance(self, duration: float) -> None:
        """Lets time pass and compares what expired."""
        self.bench.clock.advance(requests_support.seconds(duration))
        self.forget_expired()

    @stateful.rule()
    def reconfigure(self) -> None:
        """Adopts the same classes again."""
        self.bench.queue.reconfigure(
            requests_support.SERVICE, CLASSES, self.bench.teams
        )

    @stateful.invariant()
    def counts_agree(self) -> None:
        """Nothing is lost and nothing is there twice."""
        assert self.bench.queue.queued == len(self.waiting)

    @stateful.invariant()
    def shares_hold(self) -> None:
        """Classes that both had work all the time are served by weight."""
        outstanding = len(self.running)
        for pair, before in self.since.items():
            (first, second), slack = pair, CREDIT
            for name in pair:
                slack += (2 + outstanding) * LONGEST / WEIGHTS[name]
            gains = [
                (self.served[name] - start) / WEIGHTS[name]
                for name, start in zip(pair, before, strict=True)
            ]
            assert abs(gains[0] - gains[1]) <= slack, (first, second, gains)

    def take(self, run_time: float) -> service_queue.Ticket | None:
        """Takes the next ticket; at most one slot is kept free."""
        free = 8 - len(self.running)
        state = service_queue.SlotState(8, free, 0)
        ticket = self.bench.queue.take_next(state)
        self.forget_expired()
        if ticket is None:
            assert free <= 1 or not self.waiting
            return None
        assert free
        assert ticket.request_id not in self.gone
        assert self.waiting.pop(ticket.request_id) == ticket
        self.gone.add(ticket.request_id)
        self.bench.queue.note_started(ticket)
        self.running[ticket.request_id] = (ticket, run_time)
        self.served[ticket.class_name] += run_time
        self.note_busy()
        return ticket

    def finish(self, request_id: str) -> None:
        """Ends a running request."""
        ticket, run_time = self.running.pop(request_id)
        self.bench.finish(ticket, run_time)

    def forget_expired(self) -> None:
        """Compares the dropped tickets with those whose time has come."""
        now = self.bench.clock.monotonic()
        due = {
            name
            for name, ticket in self.waiting.items()
            if ticket.deadline is not None and ticket.deadline <= now
        }
        dropped = [item.request_id for item in self.bench.queue.drop_expired()]
        assert sorted(dropped) == sorted(due)
        for name in due:
            del self.waiting[name]
        self.note_busy()

    def note_busy(self) -> None:
        """Notes from when on pairs of classes have work without a break."""
        for pair in itertools.combinations(sorted(WEIGHTS), 2):
            if not all(self.count(name) for name in pair):
                self.since.pop(pair, None)
            elif pair not in self.since:
                first, second = pair
                self.since[pair] = (self.served[first], self.served[second])


QueueMachine.TestCase.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=30,
    derandomize=True,
    database=None,
    deadline=None,
)


class QueueMachineTest(QueueMachine.TestCase, unittest.TestCase):
    """Fails if a sequence loses or duplicates requests or violates shares."""
