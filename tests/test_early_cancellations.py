"""Cancellations of jobs whose submission isn't stored yet."""

import datetime
import unittest

import anyio

from fireflywell import asgi
from fireflywell.coordination import row_store
from fireflywell.node import cancellation_sweeper
from fireflywell.node import directory as directory_lib
from fireflywell.node import heartbeat as heartbeat_lib
from fireflywell.node import job_frontend
from fireflywell.node import tables
from fireflywell.platform import configuration
from fireflywell.platform import job_api
from fireflywell.scheduling import job_rows
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import model
from fireflywell.telemetry import metrics as metrics_lib
from tests import job_world
from tests import late_store
from tests import node_world
from tests import queue_world

_FIRST, _SECOND, _ = queue_world.SERVICES
_JOB_ID = queue_world.JOB_ID
_OTHER_ID = "00000000000000b2"
_BODY = (
    b'{"specification":"text","steps":[{"count":1,"cpu":100,'
    b'"requested_memory_mb":16,"estimated_ms":50}]}'
)


class _SubmissionLosingStore(late_store.LateStore):
    """A store that may apply the writes of submissions late.

    Attributes:
        loses_submissions: Whether it does.
    """

    loses_submissions = False

    async def transact(
        self,
        transaction: row_store.Transaction,
        timeout: datetime.timedelta | None = None,
    ) -> row_store.Committed | row_store.Conflict:
        """Applies a transaction, or keeps it if it stores a submission."""
        self.is_late = self.loses_submissions and any(
            put.row_key.key == _JOB_ID
            and isinstance(job_rows.decode_job(put.value), model.Submission)
            for put in transaction.puts
        )
        return await super().transact(transaction, timeout)


async def _is_waiting() -> bool:
    return True


async def _is_gone() -> bool:
    return False


class LateSubmissionTest(queue_world.QueueTestCase):
    """Submissions that the store applies after the job was cancelled."""

    def setUp(self) -> None:
        """Creates a store that may apply submissions late, and two nodes."""
        self.world = queue_world.QueueWorld(_SubmissionLosingStore)
        self.store = self.world.store
        self.one = self.world.make_frontend()
        self.two = self.world.make_frontend()
        self.submit(self.two, _FIRST, _OTHER_ID)

    def lose_submission(self, service: str) -> None:
        """Submits a job whose write the store applies later."""
        assert isinstance(self.store, _SubmissionLosingStore)
        self.store.loses_submissions = True
        self.assertIsInstance(
            self.submit(self.one, service), job_frontend.OutcomeUnknown
        )
        self.store.loses_submissions = False
        self.assertTrue(self.store.late)

    def apply_late(self) -> None:
        """Applies the lost submission."""
        assert isinstance(self.store, late_store.LateStore)
        anyio.run(self.store.apply_late)

    def test_cancelled_job_is_not_stored_afterwards(self) -> None:
        """Fails if a job runs after its cancellation was acknowledged.

        The node that cancelled it found no row and stored nothing, so the late
        write of the submission met no condition that fails (rule UNASKED).
        Only the node that had sent it knew of it, until a restart.
        """
        for service in (_FIRST, _SECOND):
            for restarts in (False, True):
                with self.subTest(service=service, restarts=restarts):
                    self.setUp()
                    self.lose_submission(service)
                    canceller = self.two
                    if restarts:
                        canceller = self.one = self.world.make_frontend()
                    self.assertIsInstance(
                        self.cancel(canceller, service),
                        job_frontend.UnknownJob,
                    )
                    self.apply_late()
                    self.assertEqual(self.world.list_submissions(_JOB_ID), [])
                    for frontend in (self.one, self.two):
                        self.assertIsInstance(
                            self.read(frontend, service),
                            job_frontend.UnknownJob,
                        )

    def test_cancellation_in_another_configuration_counts(self) -> None:
        """Fails if a queue's change of service lets a cancelled job run."""
        self.lose_submission(_SECOND)
        self.assertIsInstance(
            self.cancel(self.two, _FIRST), job_frontend.UnknownJob
        )
        self.apply_late()
        self.assertEqual(self.world.list_submissions(_JOB_ID), [])

    def test_repeated_cancellation_is_kept_longer(self) -> None:
        """Fails if the first cancellation's age ends the second's effect."""
        self.cancel(self.two, _FIRST)
        self.world.clock.advance(cancellation_sweeper.RETENTION * 0.9)
        self.cancel(self.two, _FIRST)
        row = self.world.get_job_row(_FIRST, _JOB_ID)
        assert row is not None
        cancellation = job_rows.decode_job(row.value)
        assert isinstance(cancellation, model.EarlyCancellation)
        self.assertEqual(cancellation.cancelled_at_s, self.store.now_s())

    def test_stored_job_is_cancelled_as_before(self) -> None:
        """Fails if a job that reads don't show yet isn't cancelled."""
        self.store.read_version = self.store.version
        self.submit(self.one, _FIRST)
        self.assertIsInstance(
            self.cancel(self.two, _FIRST), job_frontend.Cancelled
        )
        self.assertEqual(self.world.list_submissions(_JOB_ID), [_FIRST])


class LaterSubmissionTest(queue_world.QueueTestCase):
    """Submissions of a job under an id that was cancelled before."""

    def submit_with(self, arrival: job_frontend.Arrival) -> object:
        """Submits the job with what is known of its arrival."""

        async def run() -> object:
            return await self.one.submit(
                _JOB_ID,
                queue_world.make_policy(_FIRST),
                node_world.make_request(),
                queue_world.LIMIT,
                arrival=arrival,
            )

        return anyio.run(run)

    def test_new_submission_is_accepted(self) -> None:
        """Fails if the cancellation of an unknown job refuses a later one."""
        for service in (_FIRST, _SECOND):
            for is_same_node in (False, True):
                with self.subTest(service=service, is_same_node=is_same_node):
                    self.setUp()
                    self.submit(self.two, _FIRST, _OTHER_ID)
                    self.assertIsInstance(
                        self.cancel(self.two, service),
                        job_frontend.UnknownJob,
                    )
                    frontend = self.two if is_same_node else self.one
                    self.assertEqual(
                        self.submit(frontend, service),
                        job_frontend.Accepted(service),
                    )
                    self.assertEqual(
                        self.read(self.two, service),
                        job_frontend.JobStatus(jobs_lib.JobState.QUEUED),
                    )

    def test_submission_that_arrived_before_is_refused(self) -> None:
        """Fails if a node stores what it got before the cancellation.

        It may have waited for the store, or been frozen, meanwhile. It is told
        that the job never runs, and may submit it again.
        """
        self.submit(self.two, _FIRST, _OTHER_ID)
        before = self.store.newest_version
        self.cancel(self.two, _FIRST)
        self.assertIsInstance(
            self.submit_with(job_frontend.Arrival(before, _is_waiting)),
            job_frontend.CancelledBefore,
        )
        self.assertEqual(self.world.list_submissions(_JOB_ID), [])
        after = self.store.newest_version
        self.assertIsInstance(
            self.submit_with(job_frontend.Arrival(after, _is_waiting)),
            job_frontend.Accepted,
        )

    def test_submission_that_its_caller_gave_up_is_refused(self) -> None:
        """Fails if bytes that were held up on the way start a cancelled job.

        A node that was frozen or cut off reads the request of a caller that
        has closed its connection long ago.
        """
        self.submit(self.two, _FIRST, _OTHER_ID)
        self.cancel(self.two, _FIRST)
        version = self.store.newest_version
        for arrival in (
            job_frontend.Arrival(version, _is_gone),
            job_frontend.UNKNOWN_ARRIVAL,
        ):
            self.assertIsInstance(
                self.submit_with(arrival), job_frontend.CancelledBefore
            )
        self.assertEqual(self.world.list_submissions(_JOB_ID), [])

    def test_refusal_holds_for_the_lost_write_before(self) -> None:
        """Fails if a job runs that its caller was told never runs."""
        assert isinstance(self.store, late_store.LateStore)
        self.submit(self.one, _FIRST, _OTHER_ID)
        before = self.store.newest_version
        self.store.is_late = True
        self.assertIsInstance(
            self.submit_with(job_frontend.Arrival(before, _is_waiting)),
            job_frontend.OutcomeUnknown,
        )
        self.store.is_late = False
        self.cancel(self.two, _FIRST)
        self.assertIsInstance(
            self.submit_with(job_frontend.Arrival(before, _is_waiting)),
            job_frontend.CancelledBefore,
        )
        anyio.run(self.store.apply_late)
        self.assertEqual(self.world.list_submissions(_JOB_ID), [])


class ArrivalVersionTest(unittest.TestCase):
    """The version that the store had before a request arrived."""

    def test_answers_of_a_pause_do_not_count(self) -> None:
        """Fails if a frozen node dates a request by an answer that came later.

        On waking it may read the store's answers before the requests.
        """

        async def run() -> tuple[int, int, int]:
            clock = job_world.AutoAdvancingClock()
            world = node_world.NodeWorld(clock=clock)
            heartbeat = heartbeat_lib.Heartbeat(
                world.make_settings("node-a"),
                "i",
                world.store,
                directory_lib.NodeDirectory(clock, node_world.BOUNDS.lease),
                clock,
            )
            first = heartbeat.renewed_version
            await heartbeat._renew_once()
            renewed = world.store.newest_version
            # Any other answer of the store shows this.
            world.store.put(row_store.RowKey("t", "", "k"), b"")
            return first, renewed, heartbeat.renewed_version

        first, renewed, after_pause = anyio.run(run)
        self.assertEqual(first, 0)
        self.assertEqual(after_pause, renewed)

    def test_own_cancellation_precedes_what_the_node_reads_next(self) -> None:
        """Fails if a caller has to wait for a renewal to submit a job again."""

        async def run() -> None:
            world = node_world.NodeWorld()
            frontend = job_frontend.JobFrontend(
                world.store,
                world.clock,
                metrics_lib.NullMetrics(),
                find_arrival_version=lambda: 0,
            )
            timeout = datetime.timedelta(seconds=1)
            for _ in range(2):
                await frontend.cancel(_JOB_ID, node_world.POLICY, timeout)
            outcome = await frontend.submit(
                _JOB_ID, node_world.POLICY, node_world.make_request(), timeout
            )
            self.assertIsInstance(outcome, job_frontend.Accepted)

        anyio.run(run)


class ApiTest(unittest.TestCase):
    """Requests for a job that was cancelled before it was stored."""

    async def call(
        self, api: job_api.JobApi, method: str, *, is_gone: bool = False
    ) -> tuple[int, dict[str, str]]:
        """Returns the status and the headers of an answer."""
        messages = [{"type": "http.request", "body": _BODY}]
        if is_gone:
            messages.append({"type": "http.disconnect"})
        sent: list[asgi.Message] = []

        async def receive() -> asgi.Message:
            if messages:
                return messages.pop(0)
            await anyio.sleep_forever()
            raise AssertionError

        async def send(message: asgi.Message) -> None:
            sent.append(message)

        scope = {
            "type": "http",
            "method": method,
            "path": f"/quotes/{_JOB_ID}",
            "headers": [(b"host", b"quotes.example")],
        }
        await api(scope, receive, send)
        headers = {k.decode(): v.decode() for k, v in sent[0]["headers"]}
        return sent[0]["status"], headers

    def test_statuses(self) -> None:
        """Fails if callers can't tell a refusal from an accepted job."""

        async def run() -> None:
            world = node_world.NodeWorld()
            holder = directory_lib.ConfigurationHolder(
                configuration.decode_configuration,
                world.clock,
                metrics_lib.NullMetrics(),
            )
            row_key = row_store.RowKey(tables.OPERATOR, "", "config")
            row = world.store.get(row_key)
            assert row is not None
            holder.apply_rows((row,))
            known = 0
            frontend = job_frontend.JobFrontend(
                world.store,
                world.clock,
                metrics_lib.NullMetrics(),
                find_arrival_version=lambda: known,
            )
            api = job_api.JobApi(frontend, holder, world.clock)
            await world.submit(job_id=_OTHER_ID)
            other = job_frontend.JobFrontend(
                world.store, world.clock, metrics_lib.NullMetrics()
            )
            other_api = job_api.JobApi(other, holder, world.clock)
            self.assertEqual((await self.call(other_api, "DELETE"))[0], 410)
            status, headers = await self.call(api, "POST")
            self.assertEqual((status, headers["retry-after"]), (503, "1"))
            known = world.store.newest_version
            status, _ = await self.call(api, "POST", is_gone=True)
            self.assertEqual(status, 503)
            self.assertEqual((await self.call(api, "GET"))[0], 410)
            self.assertEqual((await self.call(api, "POST"))[0], 200)
            self.assertEqual((await self.call(api, "GET"))[0], 200)
            self.assertEqual((await self.call(api, "DELETE"))[0], 200)

        anyio.run(run)


class NodeTest(unittest.TestCase):
    """A node that runs the jobs of its service."""

    def test_job_runs_only_if_it_was_submitted_after_the_cancelling(
        self,
    ) -> None:
        """Fails if a cancelled job runs, or a new one under its id doesn't."""

        async def run() -> None:
            world = node_world.NodeWorld("w1")
            node = world.make_node("node-a")
            async with anyio.create_task_group() as group:
                group.start_soon(node.run, anyio.Event())
                await world.submit(job_id=_OTHER_ID)
                await world.wait_for_state("completed", _OTHER_ID)
                submission = model.Submission(
                    _JOB_ID,
                    node_world.POLICY,
                    node_world.make_request(),
                    world.store.now_s(),
                )
                row_key = tables.locate_job(node_world.SERVICE, _JOB_ID)
                transaction = row_store.Transaction(
                    (row_store.Condition(row_key, 0),),
                    (
                        row_store.Put(
                            row_key, job_rows.encode_submission(submission)
                        ),
                    ),
                )
                outcome = await world.frontend.cancel(
                    _JOB_ID, node_world.POLICY, datetime.timedelta(seconds=1)
                )
                self.assertIsInstance(outcome, job_frontend.UnknownJob)
                await world.store.transact(transaction)
                await anyio.sleep(0.5)
                units = {start.unit for start in world.list_starts()}
                self.assertEqual(units, {f"{_OTHER_ID}.0.0.0"})
                outcome = await world.submit(job_id=_JOB_ID)
                self.assertIsInstance(outcome, job_frontend.Accepted)
                await world.wait_for_state("completed", _JOB_ID)
                group.cancel_scope.cancel()

        anyio.run(run)


class SweepTest(unittest.TestCase):
    """Removal of early cancellations."""

    def setUp(self) -> None:
        """Cancels many jobs that don't exist."""
        self.world = queue_world.QueueWorld()
        self.frontend = self.world.make_frontend()
        self.sweeper = cancellation_sweeper.CancellationSweeper(
            self.world.store, self.world.clock
        )
        self.job_ids = [f"{number:016x}" for number in range(200)]

        async def cancel_all() -> None:
            for job_id in self.job_ids:
                await queue_world.cancel(self.frontend, _FIRST, job_id)

        anyio.run(cancel_all)
        self.add_rows()

    def add_rows(self) -> None:
        """Passes the stored cancellations on, as the loader does."""
        for row in self.list_rows():
            match job_rows.decode_job(row.value):
                case model.EarlyCancellation() as cancellation:
                    self.sweeper.add(row, cancellation)

    def list_rows(self) -> list[row_store.Row]:
        """Returns the rows of jobs and cancellations."""
        return self.world.store.list_table(tables.name_jobs_table(_FIRST))

    def test_cancellations_are_removed_after_their_time(self) -> None:
        """Fails if cancellations of unknown jobs fill the store."""
        self.assertEqual(len(self.list_rows()), 200)
        anyio.run(self.sweeper.sweep)
        self.assertEqual(len(self.list_rows()), 200)
        self.world.clock.advance(cancellation_sweeper.RETENTION * 1.1)
        anyio.run(self.sweeper.sweep)
        self.assertEqual(self.list_rows(), [])

    def test_job_that_was_submitted_again_stays(self) -> None:
        """Fails if the sweep removes a job that took a cancellation's place."""
        anyio.run(queue_world.submit, self.frontend, _FIRST, self.job_ids[7])
        self.world.clock.advance(cancellation_sweeper.RETENTION * 1.1)
        for _ in range(2):
            anyio.run(self.sweeper.sweep)
        self.assertEqual(
            [row.row_key.key for row in self.list_rows()], [self.job_ids[7]]
        )

    def test_owner_removes_them(self) -> None:
        """Fails if no part of an owner knows the stored cancellations."""

        async def run() -> None:
            world = node_world.NodeWorld("w1")
            node = world.make_node("node-a")
            async with anyio.create_task_group() as group:
                group.start_soon(node.run, anyio.Event())
                await world.submit(job_id=_OTHER_ID)
                await world.frontend.cancel(
                    _JOB_ID, node_world.POLICY, datetime.timedelta(seconds=1)
                )
                row_key = tables.locate_job(node_world.SERVICE, _JOB_ID)
                self.assertIsNotNone(world.store.get(row_key))
                await world.wait_for_state("completed", _OTHER_ID)
                with anyio.fail_after(4):
                    while not node._owners:
                        await anyio.sleep(0.02)
                sweeper = node._owners[node_world.SERVICE]._cancellations
                with anyio.fail_after(4):
                    while _JOB_ID not in sweeper._rows:
                        await anyio.sleep(0.02)
                sweeper._rows[_JOB_ID].due_at_s = 0.0
                await sweeper.sweep()
                self.assertIsNone(world.store.get(row_key))
                group.cancel_scope.cancel()

        anyio.run(run)


if __name__ == "__main__":
    unittest.main()
