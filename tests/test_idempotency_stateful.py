"""At-most-once execution under random deliveries, faults and kills.

The real deduplicators, ledgers, owners, copiers and dispatchers run over a fake
network, a table with faults and a fake runner, all stepped by the test.
"""

import asyncio
import datetime
import random
import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.bundle import holder as holder_lib
from fireflywell.entry import bound_keys
from fireflywell.entry import dispatcher as dispatcher_lib
from fireflywell.entry import key_owner
from fireflywell.entry import recorded_keys
from fireflywell.entry import result_copier
from fireflywell.requests import idempotency
from fireflywell.requests import key_ledger
from fireflywell.requests import outcomes
from fireflywell.standins import table_store
from fireflywell.telemetry import metrics
from tests import entry_helpers
from tests import idempotency_oracle

ENTRIES = 3
BODIES = (b"first", b"other")


class Node:
    """One incarnation of an entry, with its faults."""

    def __init__(self, world: "World", place: int, number: int) -> None:
        self.world = world
        self.address = f"10.0.0.{place}:7000"
        self.incarnation = f"{number:032x}"
        self.is_dead = False
        self.running = asyncio.Event()
        self.running.set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.refuse_next = False
        rng = random.Random(number)
        table = NodeTable(self)
        self.links = world.network.connect(self.address, self.incarnation)
        self.ledger = key_ledger.KeyLedger(
            self.address,
            self.incarnation,
            world.clock,
            key_ledger.LedgerOptions(maximum_records=1),
        )
        recorded = recorded_keys.RecordedKeyDeduplicator(
            table, self.incarnation, world.clock, rng
        )
        self.copier = result_copier.ResultCopier(
            self.ledger,
            recorded,
            table,
            world.clock,
            rng,
            metrics.NullMetrics(),
        )
        self.recorded = recorded
        holder = holder_lib.BundleHolder()
        holder.adopt(entry_helpers.make_bundle(1))
        self.dispatcher = dispatcher_lib.Dispatcher(
            holder,
            None,
            None,
            NodeRunner(self),
            bound_keys.BoundKeyDeduplicator(self.ledger),
            key_owner.KeyOwnerClient(self.links, table, world.clock),
            recorded,
            entry_helpers.CLUSTER_KEY,
            world.clock,
        )
        self.links.set_forward_handler(self._answer_peer)

    async def check(self) -> None:
        """Waits while the entry is paused; for ever if it was killed."""
        await self.running.wait()
        if self.is_dead:
            await asyncio.Event().wait()

    def start(self, coroutine) -> None:
        """Runs a coroutine until it ends or the entry is killed."""
        task = self.world.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._end_task)

    async def _answer_peer(self, request):
        """Runs a forwarded request in a task of this entry."""
        await self.check()
        future = self.world.loop.create_future()

        async def answer() -> None:
            reply = await self.dispatcher.answer_peer(request)
            await self.check()
            if not future.done():
                future.set_result(reply)

        self.world.waiting.append((self, future))
        self.start(answer())
        return await future

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.world.failures.append(task.exception())


class NodeTable:
    """One entry's client of the store, with faults."""

    def __init__(self, node: Node) -> None:
        self.node = node

    async def transact(self, transaction):
        """Applies a transaction now, later or never; may lose the answer."""
        await self.node.check()
        world = self.node.world
        fault = world.faults.pop() if world.faults else "none"
        match fault:
            case "lost_request":
                raise errors.AnswerLostError("lost before it ran")
            case "late_request":
                world.late.append(transaction)
                raise errors.AnswerLostError("it runs later")
        result = await world.table.transact(transaction)
        if fault == "lost_answer":
            raise errors.AnswerLostError("lost after it ran")
        await asyncio.sleep(0)
        await self.node.check()
        return result

    async def read(self, keys):
        """Reads rows."""
        await self.node.check()
        rows = await self.node.world.table.read(keys)
        await asyncio.sleep(0)
        await self.node.check()
        return rows


class NodeRunner:
    """Fake runner instead of admission, routing and the instance."""

    def __init__(self, node: Node) -> None:
        self.node = node

    async def run(
        self,
        admission,
        request,
        wait_for_disconnect,
        in_flight=None,
        record_intent=None,
    ):
        """Admits, records the intent and runs until the test ends the run."""
        del admission, wait_for_disconnect, in_flight
        node, world = self.node, self.node.world
        await asyncio.sleep(0)
        await node.check()
        if node.refuse_next:
            node.refuse_next = False
            return outcomes.Refused(429, "full")
        if record_intent is not None:
            found = await record_intent()
            if found is not None:
                return found
        await node.check()
        incoming = request.incoming
        if world.refuse_connection:
            world.refuse_connection = False
            return outcomes.Refused(503, "not reached")
        world.oracle.note_run(incoming.key, incoming.body)
        future = world.loop.create_future()
        world.runs.append((future, incoming.body))
        outcome = await future
        await node.check()
        return outcome


class World(stateful.RuleBasedStateMachine):
    """Entries, callers and a store under faults."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = clock_lib.ManualClock()
        self.table = table_store.MemoryTable()
        self.network = entry_helpers.FakeNetwork()
        self.oracle = idempotency_oracle.Oracle()
        self.faults: list[str] = []
        self.late: list[object] = []
        self.runs: list[tuple[asyncio.Future, bytes]] = []
        self.waiting: list[tuple[Node, asyncio.Future]] = []
        self.failures: list[BaseException] = []
        self.refuse_connection = False
        self.keys: list[object] = [idempotency.RecordedKey("order-1")]
        self.started = 0
        self.nodes = [self._start_node(place) for place in range(ENTRIES)]
        self.keys.extend(self.nodes[0].ledger.issue(2))
        self.keys.extend(self.nodes[1].ledger.issue(1))

    @stateful.rule(place=st.integers(0, ENTRIES - 1))
    def issue_key(self, place: int) -> None:
        """Gets a bound key."""
        if len(self.keys) < 6:
            self.keys.extend(self.nodes[place].ledger.issue(1))

    @stateful.rule(
        choice=st.integers(0, 5),
        body=st.sampled_from((BODIES[0], BODIES[0], BODIES[1])),
        places=st.lists(st.integers(0, ENTRIES - 1), min_size=1, max_size=2),
        iterations=st.sampled_from((0, 3, 20, 20)),
    )
    def deliver(
        self, choice: int, body: bytes, places: list[int], iterations: int
    ) -> None:
        """Delivers a request, also twice at once through two entries."""
        key = self.keys[choice % len(self.keys)]
        for place in places:
            node = self.nodes[place]
            node.start(self._deliver(node, key, body))
        self._step(iterations)

    @stateful.rule(iterations=st.integers(1, 12))
    def step(self, iterations: int) -> None:
        """Lets all tasks go on for some iterations of the event loop."""
        self._step(iterations)

    @stateful.rule(
        choice=st.integers(0, 5),
        kind=st.sampled_from(("answered", "answered", "unknown")),
    )
    def end_run(self, choice: int, kind: str) -> None:
        """Ends a run on an instance."""
        if not self.runs:
            return
        future, body = self.runs.pop(choice % len(self.runs))
        outcome: outcomes.Outcome = outcomes.Unknown(502, "reset")
        if kind == "answered":
            outcome = outcomes.Answered(200, (), body)
        if not future.done():
            future.set_result(outcome)
        self._step(8)

    @stateful.rule(place=st.integers(0, ENTRIES - 1))
    def refuse_admission(self, place: int) -> None:
        """Makes an entry refuse the next admission."""
        self.nodes[place].refuse_next = True

    @stateful.rule()
    def refuse_next_connection(self) -> None:
        """Makes the next connection to an instance fail."""
        self.refuse_connection = True

    @stateful.rule(
        fault=st.sampled_from(("lost_answer", "lost_request", "late_request"))
    )
    def lose_store_answer(self, fault: str) -> None:
        """Loses a request to the store or its answer."""
        if len(self.faults) < 3:
            self.faults.append(fault)

    @stateful.rule()
    def apply_late_request(self) -> None:
        """Lets a delayed request reach the store."""
        if self.late and not self.table._is_down:
            transaction = self.late.pop(0)
            self.loop.run_until_complete(self.table.transact(transaction))

    @stateful.rule(is_down=st.sampled_from((False, False, False, True)))
    def set_store(self, is_down: bool) -> None:
        """Takes the store down or brings it back."""
        self.table.set_down(is_down)

    @stateful.rule(seconds=st.sampled_from((0.1, 1.0, 5.0, 4000.0)))
    def advance(self, seconds: float) -> None:
        """Lets time pass, by which pauses between tries end."""
        self.clock.advance(datetime.timedelta(seconds=seconds))
        self._step(4)

    @stateful.rule(place=st.integers(0, ENTRIES - 1))
    def copy_results(self, place: int) -> None:
        """Copies results to the store."""
        node = self.nodes[place]
        node.ledger.evict()
        node.start(self._copy(node))
        self._step(8)

    @stateful.rule(place=st.integers(0, ENTRIES - 1))
    def pause(self, place: int) -> None:
        """Pauses an entry at its next step."""
        self.nodes[place].running.clear()

    @stateful.rule()
    def resume(self) -> None:
        """Resumes all entries."""
        for node in self.nodes:
            node.running.set()
        self._step(8)

    @stateful.rule(place=st.integers(0, ENTRIES - 1))
    def kill(self, place: int) -> None:
        """Kills an entry between any two steps; another one starts."""
        node = self.nodes[place]
        node.is_dead = True
        for task in tuple(node.tasks):
            task.cancel()
        self._fail_waiting(node)
        self.nodes[place] = self._start_node(place)
        self._step(3)

    @stateful.rule(place=st.integers(0, ENTRIES - 1))
    def close(self, place: int) -> None:
        """Stops an idle entry gracefully; another one starts."""
        node = self.nodes[place]
        if node.tasks or not node.running.is_set():
            return
        node.start(node.copier.close())
        for _ in range(20):
            self._step(4)
            self.clock.advance(datetime.timedelta(seconds=1))
        if not node.tasks:
            self.nodes[place] = self._start_node(place)

    @stateful.invariant()
    def nothing_failed(self) -> None:
        """Reports broken promises and unexpected errors in tasks."""
        if self.failures:
            raise self.failures[0]

    def teardown(self) -> None:
        """Ends all tasks."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self._step(20)
        self.loop.close()

    def _start_node(self, place: int) -> Node:
        self.started += 1
        return Node(self, place, self.started)

    async def _deliver(self, node: Node, key: object, body: bytes) -> None:
        incoming = entry_helpers.make_incoming(key, body)
        result = await node.dispatcher.dispatch(
            incoming, entry_helpers.never_gone
        )
        await node.check()
        self.oracle.note_outcome(key, body, result)

    async def _copy(self, node: Node) -> None:
        try:
            await node.copier.copy_once()
            await node.recorded.write_backlog()
            await node.copier.delete_outdated()
        except (errors.PlatformError, errors.OutcomeUnknownError):
            pass

    def _fail_waiting(self, node: Node) -> None:
        for owner, future in self.waiting:
            if owner is node and not future.done():
                future.set_exception(errors.AnswerLostError("killed"))

    def _step(self, iterations: int) -> None:
        for _ in range(iterations):
            self.loop.call_soon(self.loop.stop)
            self.loop.run_forever()


class AtMostOnceTest(unittest.TestCase):
    """Runs the state machine."""

    def test_runs_at_most_once_and_refusals_are_true(self) -> None:
        """Fails if a key's request runs twice, or after it was refused."""
        stateful.run_state_machine_as_test(
            World,
            settings=settings(
                max_examples=150,
                stateful_step_count=60,
                derandomize=True,
                database=None,
                deadline=None,
            ),
        )
