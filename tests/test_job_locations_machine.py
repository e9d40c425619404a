"""Stateful test: one job stays one job on all nodes and in all services."""

import unittest

import anyio
from hypothesis import stateful
from hypothesis import strategies as st

from fireflywell.coordination import row_store
from fireflywell.node import cancellation_sweeper
from fireflywell.node import job_frontend
from fireflywell.node import relocation_sweeper
from fireflywell.node import tables
from fireflywell.scheduling import job_rows
from fireflywell.scheduling import model
from tests import fuzz_settings
from tests import late_store
from tests import queue_world

_JOBS = tuple(f"{number:016x}" for number in range(4))
_NODES = range(3)

_nodes = st.sampled_from(_NODES)
_jobs = st.sampled_from(_JOBS)
_services = st.sampled_from(queue_world.SERVICES)


class JobLocationsMachine(stateful.RuleBasedStateMachine):
    """Nodes with configurations of their own, on a store with faults.

    The oracle: the jobs whose acceptance was answered, and those that were
    sent at all.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = queue_world.QueueWorld()
        store = self.world.store
        assert isinstance(store, late_store.LateStore)
        self.store = store
        self.frontends = [self.world.make_frontend() for _ in _NODES]
        self.configured = [queue_world.SERVICES[0] for _ in _NODES]
        self.accepted: set[str] = set()
        self.sent: set[str] = set()
        # Jobs that didn't exist when they were cancelled, and weren't submitted
        # since.
        self.cancelled_early: set[str] = set()

    @stateful.rule(node=_nodes, service=_services)
    def reconfigure(self, node: int, service: str) -> None:
        """A node adopts a configuration, newer or older than the others'."""
        self.configured[node] = service

    @stateful.rule(node=_nodes)
    def restart(self, node: int) -> None:
        """A node starts again and remembers nothing."""
        self.frontends[node] = self.world.make_frontend()

    @stateful.rule(lost=st.integers(0, 5))
    def lose_answers(self, lost: int) -> None:
        """The next transactions are applied without an answer."""
        self.store.lose_answers = lost

    @stateful.rule(lag=st.integers(0, 8))
    def read_behind(self, lag: int) -> None:
        """Reads show an earlier state from now on."""
        self.store.read_version = max(0, self.store.version - lag)

    @stateful.rule()
    def read_present(self) -> None:
        """Reads show the present state."""
        self.store.read_version = None

    @stateful.rule(node=_nodes, job_id=_jobs, is_late=st.booleans())
    def submit(self, node: int, job_id: str, is_late: bool) -> None:
        """A caller submits a job, perhaps again."""
        is_new = job_id not in self.sent
        self.sent.add(job_id)
        self.cancelled_early.discard(job_id)
        self.store.is_late = is_late
        outcome = anyio.run(self._submit, node, job_id)
        self.store.is_late = False
        match outcome:
            case job_frontend.Accepted(service=service):
                self.accepted.add(job_id)
                assert self.world.list_submissions(job_id) == [service]
            case job_frontend.NotStored():
                # Also not by a write that is still on its way.
                assert not (is_new and self._is_sent_late(job_id))
                assert not (is_new and self.world.list_submissions(job_id))
            case _:
                pass

    @stateful.rule(one=_nodes, two=_nodes, job_id=_jobs)
    def submit_twice(self, one: int, two: int, job_id: str) -> None:
        """A job reaches two nodes at the same time."""
        self.sent.add(job_id)
        self.cancelled_early.discard(job_id)
        outcomes: list[object] = []

        async def run() -> None:
            async def submit(node: int) -> None:
                outcomes.append(await self._submit(node, job_id))

            async with anyio.create_task_group() as group:
                group.start_soon(submit, one)
                group.start_soon(submit, two)

        anyio.run(run)
        if any(isinstance(o, job_frontend.Accepted) for o in outcomes):
            self.accepted.add(job_id)

    @stateful.precondition(lambda self: self.store.late)
    @stateful.rule(data=st.data())
    def apply_late(self, data: st.DataObject) -> None:
        """A transaction without an answer is applied late."""
        index = data.draw(st.integers(0, len(self.store.late) - 1))
        anyio.run(self._apply, self.store.late.pop(index))

    @stateful.rule(node=_nodes, job_id=_jobs)
    def read(self, node: int, job_id: str) -> None:
        """A caller asks for a job's state."""
        policy = queue_world.make_policy(self.configured[node])
        state = anyio.run(self._retry, node, "read_state", job_id, policy)
        if job_id in self.accepted:
            assert isinstance(state, job_frontend.JobStatus), state
        is_present = self.store.read_version is None
        if is_present and not self.world.list_submissions(job_id):
            assert isinstance(state, job_frontend.UnknownJob), state

    @stateful.rule(node=_nodes, job_id=_jobs)
    def cancel(self, node: int, job_id: str) -> None:
        """A caller cancels a job."""
        self.store.lose_answers = 0
        outcome = anyio.run(
            queue_world.cancel,
            self.frontends[node],
            self.configured[node],
            job_id,
        )
        stored = self.world.list_submissions(job_id)
        assert isinstance(outcome, job_frontend.Cancelled) == bool(stored)
        if isinstance(outcome, job_frontend.UnknownJob):
            self.cancelled_early.add(job_id)
        for service in stored:
            row_key = tables.locate_cancel(service, job_id)
            assert self.store.get(row_key) is not None

    @stateful.precondition(lambda self: self.store.read_version is None)
    @stateful.rule(node=_nodes)
    def count(self, node: int) -> None:
        """A caller asks for the number of waiting jobs."""
        self.world.clock.advance(queue_world.LIMIT)
        policy = queue_world.make_policy(self.configured[node])
        count = anyio.run(self.frontends[node].count_waiting, policy)
        assert count == len(
            [
                job_id
                for job_id in _JOBS
                for service in self.world.list_submissions(job_id)
                if not self.store.get(tables.locate_cancel(service, job_id))
            ]
        )

    @stateful.rule(job_id=_jobs)
    def remove(self, job_id: str) -> None:
        """A job ends and is removed after the retention time."""
        self._let_time_pass()
        for service in self.world.list_submissions(job_id):
            self.world.end_job(job_id, service)
            self.accepted.discard(job_id)

    @stateful.rule()
    def sweep_relocations(self) -> None:
        """The owners remove relocations without a job."""
        self._let_time_pass()
        sweeper = relocation_sweeper.RelocationSweeper(
            self.store, self.world.clock, queue_world.RETENTION
        )
        for service in queue_world.SERVICES:
            for row in self.store.list_table(tables.name_jobs_table(service)):
                if tables.split_cancel_key(row.row_key.key) is not None:
                    continue
                match job_rows.decode_job(row.value):
                    case model.Relocation() as relocation:
                        sweeper.add(row, relocation)
                    case model.Submission():
                        continue
        self.store.lose_answers = 0
        anyio.run(sweeper.sweep)

    @stateful.rule()
    def sweep_cancellations(self) -> None:
        """The owners remove cancellations that no submission can follow."""
        self._let_time_pass()
        sweeper = cancellation_sweeper.CancellationSweeper(
            self.store, self.world.clock
        )
        for service in queue_world.SERVICES:
            for row in self.store.list_table(tables.name_jobs_table(service)):
                if tables.split_cancel_key(row.row_key.key) is not None:
                    continue
                match job_rows.decode_job(row.value):
                    case model.EarlyCancellation() as cancellation:
                        sweeper.add(row, cancellation)
        self.store.lose_answers = 0
        anyio.run(sweeper.sweep)

    @stateful.invariant()
    def check_jobs(self) -> None:
        """Each job is stored once; those that were accepted surely are."""
        for job_id in _JOBS:
            stored = self.world.list_submissions(job_id)
            assert len(stored) <= 1, (job_id, stored)
            assert stored or job_id not in self.accepted, job_id
            assert not stored or job_id in self.sent, job_id
            # Its caller was told that no such job exists, and sent no other.
            assert not stored or job_id not in self.cancelled_early, job_id

    async def _submit(self, node: int, job_id: str) -> object:
        return await queue_world.submit(
            self.frontends[node], self.configured[node], job_id
        )

    async def _apply(self, transaction: row_store.Transaction) -> None:
        self.store.lose_answers = 0
        await self.store.transact(transaction)

    async def _retry(self, node: int, name: str, *args: object) -> object:
        self.store.lose_answers = 0
        return await getattr(self.frontends[node], name)(*args)

    def _is_sent_late(self, job_id: str) -> bool:
        """Returns whether a submission of a job may still be applied."""
        for transaction in self.store.late:
            for put in transaction.puts:
                is_job = put.row_key.key == job_id
                if is_job and isinstance(
                    job_rows.decode_job(put.value), model.Submission
                ):
                    return True
        return False

    def _let_time_pass(self) -> None:
        """Waits longer than any write is on its way."""
        while self.store.late:
            anyio.run(self._apply, self.store.late.pop(0))
        self.store.read_version = None
        self.world.clock.advance(2 * queue_world.RETENTION)


JobLocationsTest = JobLocationsMachine.TestCase
JobLocationsTest.settings = fuzz_settings.make_settings(150, 40)


if __name__ == "__main__":
    unittest.main()
