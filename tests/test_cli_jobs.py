"""Commands for jobs: lost answers, races and mistakes."""

from collections.abc import Callable
import contextlib
import dataclasses
import datetime
import io
import json
import random
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.cli import job_changes
from fireflywell.cli import job_wait
from fireflywell.fleet import job_transitions
from fireflywell.fleet import jobs
from fireflywell.fleet import vm_records
from fireflywell.infrastructure import records
from fireflywell.standins import faults
from fireflywell.standins import table_store
from tests import cli_world

_KEY = jobs.make_job_key("0", "close-11")
_SPEC = jobs.JobSpec(
    "close-11", "reports", "analytics", "x", records.Resources(2, 4096), 60
)
_SUBMIT = (
    "job", "submit", "--kind", "reports", "--team", "analytics",
    "--cores", "2", "--memory-mb", "4096", "--run-time", "60",
    "--job-id", "close-11", "close 11",
)  # fmt: skip


class SkippingClock(clock_lib.ManualClock):
    """A clock whose sleeps take no time."""

    async def sleep(self, duration: datetime.timedelta) -> None:
        """Moves on at once."""
        self.advance(duration)
        await anyio.lowlevel.checkpoint()


class RacingTable(table_store.MemoryTable):
    """Lets another process write just before or after a transaction."""

    def __init__(self) -> None:
        super().__init__()
        self.before: list[Callable[[], None]] = []
        self.after: list[Callable[[], None]] = []
        self.is_down_after = False

    async def transact(
        self, transaction: records.Transaction
    ) -> records.TransactionResult:
        """Applies a transaction between the others' writes."""
        if self.before:
            self.before.pop(0)()
        try:
            return await super().transact(transaction)
        finally:
            if self.after:
                self.after.pop(0)()
            self.set_down(self.is_down_after)

    def put(self, record: jobs.JobRecord) -> None:
        """Writes a job's row as another process would."""
        write = records.Write(_KEY, jobs.encode_job(record))
        self._apply(records.Transaction("other", (), (write,)))

    def get(self) -> jobs.JobRecord:
        """Returns the job in the row."""
        return jobs.decode_job(self._find(_KEY).value)

    def lease_job(self) -> None:
        """Gives the job to a worker, as a scheduler does."""
        self.put(job_transitions.lease_job(self.get(), "vm1"))


async def submit(table: RacingTable) -> job_changes.SubmittedJob:
    """Submits the job."""
    return await job_changes.submit_job(
        table, _SPEC, SkippingClock(), random.Random(1)
    )


async def cancel(table: RacingTable) -> jobs.JobRecord:
    """Cancels the job."""
    return await job_changes.request_cancel(
        table, "close-11", SkippingClock(), random.Random(1)
    )


class SubmitTest(unittest.TestCase):
    """What a submission may say when answers are lost."""

    def test_lost_answer(self) -> None:
        """Fails if a lost answer makes a second job or an error."""
        table = RacingTable()
        table.lose_answers(3)
        self.assertFalse(anyio.run(submit, table).was_known)
        self.assertEqual(table._find(_KEY).version, 1)

    def test_lost_answer_and_fast_scheduler(self) -> None:
        """Fails if a job that a scheduler already took is called unknown."""
        table = RacingTable()
        table.lose_answers(1)
        table.after = [table.lease_job]
        submitted = anyio.run(submit, table)
        self.assertEqual(submitted.record.state, jobs.JobState.LEASED)
        self.assertEqual(table.get().worker_id, "vm1")

    def test_no_answer_at_all(self) -> None:
        """Fails if a job is called accepted or refused without knowing."""
        table = RacingTable()
        table.lose_answers(1)
        table.is_down_after = True
        with self.assertRaises(errors.OutcomeUnknownError) as caught:
            anyio.run(submit, table)
        self.assertIn("fireflywell job show close-11", str(caught.exception))
        table.is_down_after = False
        table.set_down(False)
        self.assertTrue(anyio.run(submit, table).was_known)

    def test_name_of_another_job(self) -> None:
        """Fails if a submission overwrites another job or passes for it."""
        table = RacingTable()
        other = dataclasses.replace(_SPEC, command="something else")
        table.before = [lambda: table.put(jobs.JobRecord(other))]
        with self.assertRaisesRegex(errors.ConflictError, "--job-id"):
            anyio.run(submit, table)
        self.assertEqual(table.get().spec, other)


class CancelTest(unittest.TestCase):
    """Cancellations that race a scheduler or another operator."""

    def setUp(self) -> None:
        """Submits the job."""
        self.table = RacingTable()
        self.table.put(jobs.JobRecord(_SPEC))

    def test_scheduler_writes_first(self) -> None:
        """Fails if a cancellation undoes a scheduler's write or is lost."""
        self.table.before = [self.table.lease_job]
        anyio.run(cancel, self.table)
        record = self.table.get()
        self.assertEqual(record.state, jobs.JobState.LEASED)
        self.assertEqual((record.worker_id, record.attempt), ("vm1", 1))
        self.assertTrue(record.is_cancel_requested)

    def test_job_ends_first(self) -> None:
        """Fails if a job that was done is called cancelled."""
        done = jobs.JobRecord(_SPEC, jobs.JobState.DONE)
        self.table.before = [lambda: self.table.put(done)]
        with self.assertRaisesRegex(errors.ConflictError, "done"):
            anyio.run(cancel, self.table)
        self.assertEqual(self.table.get(), done)

    def test_another_operator_cancels_first(self) -> None:
        """Fails if the second of two operators gets an error."""
        marked = jobs.JobRecord(_SPEC, is_cancel_requested=True)
        self.table.before = [lambda: self.table.put(marked)]
        self.assertTrue(anyio.run(cancel, self.table).is_cancel_requested)
        self.assertEqual(self.table._find(_KEY).version, 2)

    def test_lost_answer_and_scheduler(self) -> None:
        """Fails if a lost answer leaves a job without its mark."""
        self.table.lose_answers(1)
        leased = job_transitions.lease_job(jobs.JobRecord(_SPEC), "vm1")

        def overwrite() -> None:
            # The row moved on before the transaction and once more after it.
            self.table.put(jobs.JobRecord(_SPEC))
            self.table.put(leased)

        self.table.before = [overwrite]
        anyio.run(cancel, self.table)
        self.assertTrue(self.table.get().is_cancel_requested)
        self.assertEqual(self.table.get().worker_id, "vm1")

    def test_no_answer_at_all(self) -> None:
        """Fails if a cancellation is reported without knowing."""
        self.table.lose_answers(1)
        self.table.is_down_after = True
        with self.assertRaisesRegex(errors.OutcomeUnknownError, "cancel it"):
            anyio.run(cancel, self.table)


class WaitTest(unittest.TestCase):
    """Waits for the end of a job."""

    def test_store_is_down_for_a_while(self) -> None:
        """Fails if an outage of the store ends a long wait."""
        table = RacingTable()
        table.put(jobs.JobRecord(_SPEC, jobs.JobState.DONE))
        table.set_down(True)
        clock = SkippingClock()

        async def work() -> jobs.JobRecord:
            async with anyio.create_task_group() as group:
                group.start_soon(bring_back)
                return await job_wait.wait_for_end(
                    table, "close-11", datetime.timedelta(hours=1), clock
                )

        async def bring_back() -> None:
            for _ in range(20):
                await anyio.lowlevel.checkpoint()
            table.set_down(False)

        output = io.StringIO()
        with contextlib.redirect_stderr(output):
            self.assertEqual(anyio.run(work).state, jobs.JobState.DONE)
        lines = set(output.getvalue().splitlines())
        self.assertEqual(lines, {"job close-11: the store can't be read"})


class JobCommandTest(cli_world.CommandCase):
    """Commands as operators type them."""

    def setUp(self) -> None:
        """Puts a bundle and an assignment into the store."""
        super().setUp()
        self.accept_bundle()
        self.put_vm(vm_records.VmRecord("vm1", "reporting"))

    def test_life_of_a_job(self) -> None:
        """Fails if a job can't be followed from submission to its end."""
        result = self.run_command(0, *_SUBMIT)
        self.assertEqual(result.output, "job close-11 is accepted, queued\n")
        result = self.run_command(0, *_SUBMIT)
        self.assertIn("was already accepted", result.output)
        shown = self.run_command(0, "--json", "job", "show", "close-11")
        self.assertEqual(
            json.loads(shown.output)["spec"]["command"], "close 11"
        )
        result = self.run_command(0, "job", "list", "--state", "queued")
        self.assertIn("close-11  queued  reports  analytics", result.output)
        result = self.run_command(0, "job", "list", "--state", "done")
        self.assertEqual(result.output, "no jobs\n")
        result = self.run_command(0, "job", "cancel", "close-11")
        self.assertIn("cancellation is recorded", result.output)
        result = self.run_command(
            1, "job", "wait", "close-11", "--timeout", "0"
        )
        self.assertIn("hasn't ended after 0 s", result.output)
        record = self.read_job("close-11")
        self.put_row(_KEY, jobs.encode_job(job_transitions.cancel_job(record)))
        result = self.run_command(1, "job", "wait", "close-11")
        self.assertIn("cancelled by an operator", result.output)

    def test_jobs_that_can_never_run(self) -> None:
        """Fails if a job that can never run is accepted."""
        for change, expected in (
            (("--kind", "baking"), "no pool carries"),
            (("--team", "nobody"), "names no team"),
            (("--cores", "17"), "no worker that may run it has 17 cores"),
            (("--zone", "z"), "no worker that may run it"),
            (("--deadline", "2000-01-01T00:00:00Z"), "has passed"),
        ):
            with self.subTest(change):
                result = self.run_command(2, *_SUBMIT, *change)
                self.assertIn(expected, result.output)
                self.assertEqual(len(result.output.splitlines()), 1)
        self.assertEqual(self.platform.table._find(_KEY).version, 0)

    def test_lost_answer(self) -> None:
        """Fails if a lost answer of the platform makes a second job."""
        self.set_fault("/v1/tables/transact", faults.LoseAnswers(1))
        self.run_command(0, *_SUBMIT)
        self.assertEqual(self.platform.table._find(_KEY).version, 1)

    def test_mistakes_of_the_user(self) -> None:
        """Fails if a mistake gives a traceback or doesn't name the remedy."""
        for arguments, code, expected in (
            ((*_SUBMIT, "--cores", "nan"), 2, "isn't a finite number"),
            ((*_SUBMIT, "--job-id", "a/b"), 2, "isn't 1 to 63"),
            ((*_SUBMIT, "--deadline", "soon"), 2, "isn't a date"),
            ((*_SUBMIT, "--deadline", "2999-01-01"), 2, "no time zone"),
            (("job", "show", "missing"), 1, "job list"),
            (("job", "cancel", "missing"), 1, "job list"),
        ):
            with self.subTest(arguments):
                result = self.run_command(code, *arguments)
                self.assertIn(expected, result.output)
        self.put_row(_KEY, "{}")
        result = self.run_command(1, "job", "list")
        self.assertIn(f"row {_KEY} doesn't hold a job", result.output)

    def test_platform_down(self) -> None:
        """Fails if a job isn't surely refused while the platform is down."""
        self.set_fault("/v1/", faults.Down())
        result = self.run_command(1, *_SUBMIT)
        self.assertIn("answered 503", result.output)
        self.assertEqual(len(result.output.splitlines()), 1)

    def test_every_command_has_help_with_an_example(self) -> None:
        """Fails if a command can't be learned from its help."""
        for name in ("submit", "show", "list", "cancel", "wait"):
            result = self.run_command(0, "job", name, "--help")
            self.assertIn("Example", result.output)
