"""Refusals that say that a job was not stored and never runs (status 503)."""

import datetime
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import http_client
from fireflywell.coordination import row_store
from fireflywell.node import group_commit
from fireflywell.node import job_frontend
from fireflywell.node import queue_services
from fireflywell.node import tables
from fireflywell.platform import store as platform_store
from fireflywell.scheduling import job_rows
from fireflywell.scheduling import model
from fireflywell.telemetry import metrics as metrics_lib
from tests import late_store
from tests import node_world

_TIMEOUT = datetime.timedelta(milliseconds=400)

# More calls than any test needs. It ends loops that can't be cancelled.
_MAX_CALLS = 250

_STORED = b'{"row_version":7}'


class _ProxiedClient:
    """Answers calls with given statuses; the last one is repeated."""

    def __init__(self, *statuses: int) -> None:
        self._statuses = list(statuses)
        self.calls = 0

    async def call(
        self, *args: object, limit_bytes: int | None = None
    ) -> http_client.Response:
        """Returns the next status after 10 ms."""
        del args, limit_bytes
        await anyio.sleep(0.01)
        self.calls += 1
        if self.calls > _MAX_CALLS:
            raise errors.PlatformRejectedError("too many calls")
        status = self._statuses[0]
        if len(self._statuses) > 1:
            del self._statuses[0]
        return http_client.Response(status, _STORED, datetime.timedelta())


def _make_store(*statuses: int) -> platform_store.PlatformStore:
    return platform_store.PlatformStore(
        _ProxiedClient(*statuses),  # type: ignore[arg-type]
        clock_lib.SystemClock(),
        metrics_lib.NullMetrics(),
    )


async def _register_queue() -> queue_services.QueueServices:
    """Returns the services of a queue whose row is stored already."""
    world = node_world.NodeWorld()
    queues = queue_services.QueueServices(world.store, world.clock)
    await queues.register(node_world.POLICY.queue, node_world.POLICY.service)
    return queues


class ProxyTest(unittest.TestCase):
    """A proxy in front of the store that gives up on calls it passed on."""

    def submit_all(self, *statuses: int) -> list[str]:
        """Submits three jobs; the last two share a transaction."""
        outcomes: dict[int, str] = {}

        async def run() -> None:
            frontend = job_frontend.JobFrontend(
                _make_store(*statuses),
                clock_lib.SystemClock(),
                metrics_lib.NullMetrics(),
                queues=await _register_queue(),
            )

            async def submit(number: int) -> None:
                outcome = await frontend.submit(
                    f"{number:016x}",
                    node_world.POLICY,
                    node_world.make_request(),
                    _TIMEOUT,
                )
                outcomes[number] = type(outcome).__name__

            async with anyio.create_task_group() as group:
                for number in range(3):
                    group.start_soon(submit, number)

        anyio.run(run)
        return [outcomes[number] for number in range(3)]

    def test_jobs_that_a_proxy_passed_on_may_be_stored(self) -> None:
        """Fails if a job is refused for good though the store may hold it.

        Such a status counted as a rejection by the store. The rows of a batch
        were then written one by one, and the refusal of that second write was
        returned although the first may have been applied (rule REFUSED).
        """
        for status in (302, 408, 500, 502, 504, 599):
            with self.subTest(status=status):
                self.assertEqual(
                    self.submit_all(200, status, 503),
                    ["Accepted", "OutcomeUnknown", "OutcomeUnknown"],
                )

    def test_rejected_batch_is_not_stored(self) -> None:
        """Fails if a row of an invalid transaction counts as maybe stored."""
        self.assertEqual(
            self.submit_all(200, 400, 503),
            ["Accepted", "NotStored", "NotStored"],
        )

    def test_conflict_without_a_row_is_not_repeated_for_good(self) -> None:
        """Fails if such an answer, which contradicts itself, blocks callers.

        The transaction was sent again without a pause, and all submissions to
        the partition waited.
        """
        client = _ProxiedClient(412)
        target = platform_store.PlatformStore(
            client,  # type: ignore[arg-type]
            clock_lib.SystemClock(),
            metrics_lib.NullMetrics(),
        )
        commits = group_commit.GroupCommit(target, clock_lib.SystemClock())
        put = row_store.Put(row_store.RowKey("t", "p", "k"), b"")
        with self.assertRaises(errors.AnswerLostError):
            anyio.run(commits.put_if_absent, put)
        self.assertEqual(client.calls, 1)

    def test_lost_history_is_an_answer_to_followers_only(self) -> None:
        """Fails if a status 410 ends a task that doesn't follow a table.

        Only followers handle the error for a lost history.
        """
        target = _make_store(410)
        transaction = row_store.Transaction()

        async def run() -> None:
            with self.assertRaises(errors.HistoryLostError):
                await target.follow("t", 3, datetime.timedelta())
            with self.assertRaises(errors.PlatformError):
                await target.transact(transaction)
            with self.assertRaises(errors.PlatformError):
                await target.read("t", "")
            with self.assertRaises(errors.PlatformError):
                await target.list_partitions("t")

        anyio.run(run)


class RepeatedSubmissionTest(unittest.TestCase):
    """A job that its caller submits again to the same node."""

    def submit_twice(self, *, is_first_stored: bool) -> list[str]:
        """Submits a job before and after the store begins to refuse calls."""
        outcomes: list[str] = []

        async def run() -> None:
            world = node_world.NodeWorld()
            late = late_store.LateStore(world.clock)
            late.is_late = not is_first_stored
            world.frontend = job_frontend.JobFrontend(
                late,
                world.clock,
                metrics_lib.NullMetrics(),
                queues=await _register_queue(),
            )
            outcomes.append(type(await world.submit()).__name__)
            late.is_late = False
            late.is_down = True
            outcomes.append(type(await world.submit()).__name__)

        anyio.run(run)
        return outcomes

    def test_accepted_job_is_not_refused_for_good(self) -> None:
        """Fails if a job that was accepted is said to run never.

        The platform may deliver a submission a second time, seconds after the
        first was accepted. The store may refuse calls by then.
        """
        self.assertEqual(
            self.submit_twice(is_first_stored=True), ["Accepted", "Accepted"]
        )

    def test_job_of_a_lost_write_is_not_refused_for_good(self) -> None:
        """Fails if a job is said to run never that may still be stored.

        The store may apply the write of the first submission seconds later.
        """
        self.assertEqual(
            self.submit_twice(is_first_stored=False),
            ["OutcomeUnknown", "OutcomeUnknown"],
        )


class RejectedSubmissionTest(unittest.TestCase):
    """A submission that the store refuses as it is."""

    def test_caller_is_told_at_once_that_it_never_runs(self) -> None:
        """Fails if the caller waits, or is told that the job may run.

        The store's refusal counted as an answer that was lost.
        """

        async def run() -> None:
            world = node_world.NodeWorld()
            await world.submit(job_id="00000000000000b2")
            world.store.row_bytes = 10
            outcome = await world.submit()
            self.assertIsInstance(outcome, job_frontend.NotStored)
            calls = world.store.calls
            await world.submit()
            self.assertLess(world.store.calls - calls, 3)

        anyio.run(run)


class LateSubmissionTest(unittest.TestCase):
    """The cancellation of a job whose write the store applies late."""

    def test_job_that_its_caller_took_for_cancelled_is_not_stored(self) -> None:
        """Fails if a job runs on that its caller took for cancelled.

        The cancellation got 410, and the store applied the write of the job
        afterwards (rule UNASKED).
        """

        async def run() -> list[str]:
            row_key = tables.locate_job(node_world.SERVICE, node_world.JOB_ID)
            world = node_world.NodeWorld()
            late = late_store.LateStore(world.clock)
            world.frontend = job_frontend.JobFrontend(
                late,
                world.clock,
                metrics_lib.NullMetrics(),
                queues=await _register_queue(),
            )
            outcomes = []

            async def cancel() -> None:
                outcome = await world.frontend.cancel(
                    node_world.JOB_ID, node_world.POLICY, _TIMEOUT
                )
                outcomes.append(type(outcome).__name__)

            late.is_late = True
            await world.submit()
            late.is_late = False
            await cancel()
            await late.apply_late()
            row = late.get(row_key)
            assert row is not None
            self.assertIsInstance(
                job_rows.decode_job(row.value), model.EarlyCancellation
            )
            await cancel()
            return outcomes

        self.assertEqual(anyio.run(run), ["UnknownJob", "UnknownJob"])


if __name__ == "__main__":
    unittest.main()
