"""Tests what a claim proves about the former owner of a service."""

from collections.abc import Callable
import datetime
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell.coordination import row_store
from fireflywell.node import directory as directory_lib
from fireflywell.node import job_loader
from fireflywell.node import owner_records
from fireflywell.node import ownership
from fireflywell.node import ownership_guard
from fireflywell.node import tables
from fireflywell.scheduling import job_rows
from fireflywell.scheduling import service_state
from fireflywell.telemetry import metrics as metrics_lib
from tests import late_store
from tests import node_world
from tests import scheduling_samples as samples

_SERVICE = node_world.SERVICE
_OWNER_KEY = tables.locate_owner(_SERVICE)
_LEASE = datetime.timedelta(seconds=3)


class _Heartbeat:
    """Stands in for the heartbeat of a node whose lease is always valid."""

    incarnation = "a-1"
    is_valid = True
    is_stopping = False
    renewal_count = 9


class _Writer:
    """Stores nothing."""

    def wake(self) -> None:
        """Does nothing."""


class _ClaimStore(late_store.LateStore):
    """A store that lets something happen around the next claim."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        super().__init__(clock)
        self.before_claim: Callable[[], object] | None = None
        self.after_claim: Callable[[], None] | None = None

    async def transact(
        self,
        transaction: row_store.Transaction,
        timeout: datetime.timedelta | None = None,
    ) -> row_store.Committed | row_store.Conflict:
        """Applies a transaction."""
        is_claim = transaction.puts[0].row_key == _OWNER_KEY
        if is_claim and self.before_claim is not None:
            self.before_claim()
        result = await super().transact(transaction, timeout)
        if is_claim and self.after_claim is not None:
            self.after_claim()
        return result


class _World:
    """Node a, which claims a service that node b owned."""

    def __init__(self) -> None:
        self.clock = clock_lib.ManualClock()
        self.store = _ClaimStore(self.clock)
        self.tenures: list[ownership.Tenure] = []
        self._directory = directory_lib.NodeDirectory(self.clock, _LEASE)
        self._beats = 0
        self.manager = ownership.OwnershipManager(
            "a",
            self.store,
            self.clock,
            self._directory,
            _Heartbeat(),  # type: ignore[arg-type]
            lambda: (_SERVICE,),
            self._run_owner,
            metrics_lib.NullMetrics(),
            _LEASE,
        )

    async def _run_owner(self, tenure: ownership.Tenure) -> Callable[[], None]:
        if tenure.service == _SERVICE:
            self.tenures.append(tenure)
        return lambda: None

    def renew(self, name: str = "b") -> row_store.Row:
        """Renews the row of a node."""
        self._beats += 1
        record = directory_lib.NodeRecord(
            name, f"{name}-1", name, self._beats, False
        )
        row_key = directory_lib.locate_node(name)
        value = directory_lib.encode_node(record)
        return row_store.Row(row_key, value, self.store.put(row_key, value))

    def read_nodes(self) -> None:
        """Lets node a read the rows of the nodes."""
        self._directory.observe(
            tuple(self.store.list_table(tables.NODES)),
            self.store.version,
            self.clock.monotonic(),
        )

    def advance(self, seconds: float) -> None:
        """Advances the clock."""
        self.clock.advance(datetime.timedelta(seconds=seconds))

    def let_b_own(self, node: str = "b", successor: str = "") -> None:
        """Stores the owner's row of node b, or its release."""
        incarnation = "b-1" if node else ""
        record = owner_records.OwnerRecord(node, incarnation, 1, successor)
        self.store.put(_OWNER_KEY, owner_records.encode_owner(record))

    def let_b_expire(self) -> None:
        """Lets node b own the service and then stay silent for a lease."""
        self.renew()
        self.let_b_own()
        self.read_nodes()
        self.advance(3.1)
        self.read_nodes()

    def make_guard_of_b(self, version: int) -> ownership_guard.OwnershipGuard:
        """Returns the guard of node b, whose lease was renewed later."""
        tenure = ownership.Tenure(
            _SERVICE,
            1,
            version,
            is_first=True,
            claimed_at=self.clock.monotonic(),
        )
        heartbeat = _RenewedHeartbeat(self.clock)
        guard = ownership_guard.OwnershipGuard(
            tenure,
            self.store,
            heartbeat,  # type: ignore[arg-type]
            self.clock,
        )
        self.advance(0.01)
        heartbeat.valid_since = self.clock.monotonic()
        return guard

    async def reconcile(self) -> None:
        """Passes the owner rows to node a and lets it claim what it can."""
        self._directory.observe((self.renew("a"),))
        rows = self.store.list_table(tables.OWNERS)
        self.manager.apply_rows(tuple(rows))
        await self.manager.reconcile()

    async def claim(self) -> ownership.Tenure:
        """Lets node a claim the service."""
        await self.reconcile()
        (tenure,) = self.tenures
        return tenure

    def is_new_job_delayed(self) -> bool:
        """Returns whether a job stored after the claim waits for recovery."""
        (tenure,) = self.tenures
        state = service_state.ServiceState(tenure.token)
        samples.add_worker(state, "w1")
        loader = job_loader.JobLoader(
            tenure,
            state,
            _Writer(),  # type: ignore[arg-type]
            self.store,
            self.clock,
            lambda: None,
            lambda *_: None,
        )
        loader.apply_snapshot(())
        submission = samples.make_job(
            node_world.JOB_ID, node_world.make_step(1)
        ).submission
        row_key = tables.locate_job(_SERVICE, node_world.JOB_ID)
        value = job_rows.encode_submission(submission)
        version = self.store.put(row_key, value)
        loader.apply_changes((row_store.Row(row_key, value, version),))
        is_delayed = not state.plan(1.0)
        state.is_recovery_complete = True
        assert is_delayed == bool(state.plan(1.1))
        return is_delayed


class UnprovenClaimTest(unittest.TestCase):
    """Claims after which the former owner may still give orders."""

    def test_new_jobs_wait_after_a_claim_that_was_applied_late(self) -> None:
        """Fails if a job runs under two owners at once.

        The claim got no answer. The former owner woke, renewed its lease and
        read that it still owned the service; then the store applied the
        claim. Both owners started the jobs that were stored afterwards (rule
        TWICE).
        """

        async def run() -> None:
            world = _World()
            world.let_b_expire()
            world.store.is_late = True
            await world.reconcile()
            world.renew()
            await world.store.apply_late()
            await world.claim()
            self.assertTrue(world.is_new_job_delayed())

        anyio.run(run)

    def test_new_jobs_wait_if_the_former_owner_has_renewed(self) -> None:
        """Fails if a renewal between the last read and the claim is missed."""

        async def run() -> None:
            world = _World()
            world.let_b_expire()
            world.store.before_claim = world.renew
            await world.claim()
            self.assertTrue(world.is_new_job_delayed())

        anyio.run(run)

    def test_renewal_that_has_expired_again_counts(self) -> None:
        """Fails if a former owner counts as stopped that stopped too late.

        It renewed its lease before the claim was applied and lost it between
        the claim and its answer.
        """

        async def run() -> None:
            world = _World()
            world.let_b_expire()

            def renew_and_wait() -> None:
                world.renew()
                world.read_nodes()

            world.store.before_claim = renew_and_wait
            world.store.after_claim = lambda: world.advance(3.1)
            await world.claim()
            self.assertTrue(world.is_new_job_delayed())

        anyio.run(run)

    def test_read_from_before_the_claim_proves_nothing(self) -> None:
        """Fails if a read that is behind hides a renewal."""

        async def run() -> None:
            world = _World()
            world.let_b_expire()
            world.store.read_version = world.store.version
            world.store.before_claim = world.renew
            await world.claim()
            self.assertTrue(world.is_new_job_delayed())

        anyio.run(run)

    def test_failed_read_proves_nothing(self) -> None:
        """Fails if the claim isn't used, or trusted, without the read."""

        async def run() -> None:
            world = _World()
            world.let_b_expire()

            def set_down() -> None:
                world.store.is_down = True

            world.store.after_claim = set_down
            await world.claim()
            self.assertTrue(world.is_new_job_delayed())

        anyio.run(run)


class _RenewedHeartbeat:
    """The lease of node b, which lapsed and was renewed now."""

    incarnation = "b-1"
    is_valid = True

    def __init__(self, clock: clock_lib.Clock) -> None:
        self.valid_since = clock.monotonic()


class ConfirmedOwnerTest(unittest.TestCase):
    """An owner that goes on after its lease lapsed and was renewed."""

    def test_claim_from_before_the_confirmation_is_not_applied(self) -> None:
        """Fails if a service gets a second owner by a claim applied late.

        The owner read that its row was unchanged, and then the store applied
        a claim that had been sent before. Both gave orders (rule TWICE).
        """

        async def run() -> None:
            world = _World()
            world.let_b_expire()
            row = world.store.get(_OWNER_KEY)
            assert row is not None
            guard = world.make_guard_of_b(row.version)
            world.store.is_late = True
            await world.reconcile()
            world.store.is_late = False
            world.renew()
            self.assertTrue(await guard.confirm())
            self.assertTrue(guard.permits_orders)
            await world.store.apply_late()
            self.assertEqual(world.store.get(_OWNER_KEY), row)
            # Node a learns by the next refusal that the owner goes on.
            world.read_nodes()
            await world.reconcile()
            self.assertEqual(world.store.get(_OWNER_KEY), row)
            world.advance(3.1)
            world.read_nodes()
            await world.claim()

        anyio.run(run)

    def test_suspended_claim_permits_no_orders(self) -> None:
        """Fails if an owner trusts a claim that another one has followed.

        The node was suspended between its claim and the answer. Its lease
        lapsed, another node claimed the service, and the node renewed its
        lease before it read the other claim. Both gave orders (rule TWICE).
        """

        async def run() -> None:
            world = _World()
            world.let_b_own(node="", successor="a")
            heartbeat = _RenewedHeartbeat(world.clock)

            def suspend() -> None:
                world.advance(10)
                world.let_b_own()
                heartbeat.valid_since = world.clock.monotonic()

            world.store.after_claim = suspend
            tenure = await world.claim()
            guard = ownership_guard.OwnershipGuard(
                tenure,
                world.store,
                heartbeat,  # type: ignore[arg-type]
                world.clock,
            )
            self.assertFalse(guard.permits_orders)
            self.assertFalse(await guard.confirm())

        anyio.run(run)

    def test_claim_permits_orders_without_a_confirmation(self) -> None:
        """Fails if each takeover needs one more write."""

        async def run() -> None:
            world = _World()
            world.let_b_own(node="", successor="a")
            heartbeat = _RenewedHeartbeat(world.clock)
            world.advance(1)
            tenure = await world.claim()
            guard = ownership_guard.OwnershipGuard(
                tenure,
                world.store,
                heartbeat,  # type: ignore[arg-type]
                world.clock,
            )
            self.assertTrue(guard.permits_orders)

        anyio.run(run)

    def test_owner_stops_if_the_claim_came_first(self) -> None:
        """Fails if an owner confirms a service that it has lost."""

        async def run() -> None:
            world = _World()
            world.let_b_expire()
            row = world.store.get(_OWNER_KEY)
            assert row is not None
            guard = world.make_guard_of_b(row.version)
            await world.claim()
            self.assertFalse(await guard.confirm())
            self.assertFalse(guard.permits_orders)

        anyio.run(run)


class ProvenClaimTest(unittest.TestCase):
    """Claims after which new jobs start at once."""

    def test_new_jobs_start_after_a_usual_takeover(self) -> None:
        """Fails if new jobs wait for the recovery after a lost owner."""

        async def run() -> None:
            world = _World()
            world.let_b_expire()
            calls = world.store.calls
            await world.claim()
            self.assertFalse(world.is_new_job_delayed())
            # The claims of the service and the fleet, and one read.
            self.assertEqual(world.store.calls - calls, 3)

        anyio.run(run)

    def test_new_jobs_start_after_a_handover(self) -> None:
        """Fails if new jobs wait, or the claim needs a read, after a release.

        The former owner had stopped before it wrote the release.
        """

        async def run() -> None:
            world = _World()
            world.let_b_own(node="", successor="a")
            await world.claim()
            self.assertFalse(world.is_new_job_delayed())
            self.assertEqual(world.store.calls, 2)

        anyio.run(run)

    def test_new_jobs_start_under_the_first_owner(self) -> None:
        """Fails if new jobs wait though the service never had an owner."""

        async def run() -> None:
            world = _World()
            await world.claim()
            self.assertFalse(world.is_new_job_delayed())

        anyio.run(run)

    def test_new_jobs_start_after_a_lost_answer(self) -> None:
        """Fails if each claim without an answer delays new jobs.

        The former owner is as silent after the second claim as before the
        first.
        """

        async def run() -> None:
            world = _World()
            world.let_b_expire()
            world.store.lose_answers = 2
            await world.reconcile()
            await world.claim()
            self.assertFalse(world.is_new_job_delayed())

        anyio.run(run)

    def test_new_jobs_start_after_the_own_tenure(self) -> None:
        """Fails if a node waits for its own former tenure."""

        async def run() -> None:
            world = _World()
            await world.claim()
            world.manager.mark_owner_stopped(_SERVICE)
            world.tenures.clear()
            await world.claim()
            self.assertFalse(world.is_new_job_delayed())

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
