"""Submits, reads and cancels jobs for callers, on any node."""

import collections
from collections.abc import Callable
import dataclasses
import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import configuration as configuration_lib
from fireflywell.node import group_commit
from fireflywell.node import present_rows
from fireflywell.node import tables
from fireflywell.node import waiting_counts
from fireflywell.scheduling import job_rows
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import model
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

# A failed store call is retried until this share of the caller's timeout has
# passed, but no longer than `_RETRY_LIMIT`: the store may refuse only this
# node, and the caller's next attempt reaches another one.
_DEADLINE_SHARE = 0.8
_RETRY_LIMIT = datetime.timedelta(milliseconds=700)

_RETRY_DELAY = datetime.timedelta(milliseconds=60)

# Largest value of a row that the store accepts.
_LARGEST_ROW_BYTES = 65_536

# Number of jobs whose service is cached, so that their state is read in one
# call.
_REMEMBERED_JOBS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored and will run."""


@dataclasses.dataclass(frozen=True, slots=True)
class NotStored:
    """The job was not stored and never runs; the caller may try again."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may have been stored; the caller has to repeat the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class TooLarge:
    """The job doesn't fit into a row of the store and never runs.

    Attributes:
        size_bytes: Size of its row.
        limit_bytes: Largest size.
    """

    size_bytes: int
    limit_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownJob:
    """No such job exists."""


@dataclasses.dataclass(frozen=True, slots=True)
class JobStatus:
    """The state of a job that exists."""

    state: jobs_lib.JobState


@dataclasses.dataclass(frozen=True, slots=True)
class Cancelled:
    """The cancellation is stored."""


class JobFrontend:
    """Serves callers' requests about jobs directly from the store.

    Reads may show an earlier state. That a job doesn't exist is therefore only
    told by a transaction.
    """

    __slots__ = (
        "_clock",
        "_commits",
        "_metrics",
        "_services",
        "_store",
        "_waiting",
    )

    def __init__(
        self,
        store: row_store.RowStore,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        find_needed_version: Callable[[], int] = lambda: 0,
    ) -> None:
        """Creates a frontend.

        Args:
            store: The store.
            clock: The clock.
            metrics: Receives samples.
            find_needed_version: Returns the version of the store that counts
                of waiting jobs must not precede.
        """
        self._metrics = metrics
        self._store = store
        self._clock = clock
        self._commits = group_commit.GroupCommit(store, clock)
        self._waiting = waiting_counts.WaitingCounter(
            store, metrics, find_needed_version
        )
        # Service of each recently used job, by job id.
        self._services: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    async def submit(
        self,
        job_id: str,
        policy: model.QueuePolicy,
        request: model.JobRequest,
        timeout: datetime.timedelta,
    ) -> Accepted | NotStored | OutcomeUnknown | TooLarge:
        """Stores a job; one that is already stored is accepted again.

        Args:
            job_id: The job's id, which makes repeated submissions idempotent.
            policy: Policy of the job's queue.
            request: What the job runs.
            timeout: How long the caller waits for an answer.

        Returns:
            Whether the job is stored, as far as the store has answered.
        """
        submission = model.Submission(
            job_id, policy, request, self._store.now_s()
        )
        value = job_rows.encode_submission(submission)
        if len(value) > _LARGEST_ROW_BYTES:
            return TooLarge(len(value), _LARGEST_ROW_BYTES)
        put = row_store.Put(tables.locate_job(policy.service, job_id), value)
        started = self._clock.monotonic()
        deadline = started + min(timeout * _DEADLINE_SHARE, _RETRY_LIMIT)
        is_maybe_stored = False
        while True:
            try:
                await self._commits.put_if_absent(put)
            except errors.PlatformUnavailableError:
                pass
            except errors.PlatformError:
                # The outcome is unknown until another attempt succeeds. The
                # caller can't switch to another node without a definite
                # answer, so the retries may take longer.
                is_maybe_stored = True
                deadline = started + timeout * _DEADLINE_SHARE
            else:
                # It may have been stored by an earlier attempt.
                self._remember(job_id, policy.service)
                self._metrics.count("node.jobs.accepted")
                return Accepted()
            if self._clock.monotonic() + _RETRY_DELAY > deadline:
                self._metrics.count("node.jobs.not_accepted")
                return OutcomeUnknown() if is_maybe_stored else NotStored()
            await self._clock.sleep(_RETRY_DELAY)

    async def read_state(
        self, job_id: str, policy: model.QueuePolicy
    ) -> JobStatus | UnknownJob:
        """Returns a job's state; `QUEUED` until its owner stores another.

        Raises:
            PlatformError: The store doesn't answer, or the stored progress
                can't be read until the owner writes it again.
        """
        service = self._services.get(job_id, policy.service)
        progress = await self._read_row(tables.locate_progress(service, job_id))
        if progress is not None:
            try:
                stored = job_rows.decode_progress(progress.value)
            except errors.CorruptRowError as error:
                raise errors.PlatformUnavailableError(str(error)) from error
            return JobStatus(stored.state)
        if job_id in self._services:
            # Accepted here, and its owner has stored no progress yet.
            return JobStatus(jobs_lib.JobState.QUEUED)
        if not await self._is_stored(tables.locate_job(service, job_id)):
            return UnknownJob()
        self._remember(job_id, service)
        return JobStatus(jobs_lib.JobState.QUEUED)

    async def cancel(
        self,
        job_id: str,
        policy: model.QueuePolicy,
        timeout: datetime.timedelta,
    ) -> Cancelled | UnknownJob | OutcomeUnknown:
        """Stores a cancellation, which the owner of the job's service applies.

        Args:
            job_id: The job.
            policy: Policy of the queue that the caller named.
            timeout: How long the caller waits for an answer.
        """
        deadline = self._clock.monotonic() + min(
            timeout * _DEADLINE_SHARE, _RETRY_LIMIT
        )
        while True:
            try:
                return await self._cancel_once(job_id, policy)
            except errors.PlatformError:
                if self._clock.monotonic() + _RETRY_DELAY > deadline:
                    return OutcomeUnknown()
            await self._clock.sleep(_RETRY_DELAY)

    async def count_waiting(self, policy: model.QueuePolicy) -> int:
        """Returns how many jobs of a queue have not started.

        Raises:
            PlatformError: The store doesn't answer.
        """
        return await self._waiting.count(policy)

    async def _cancel_once(
        self, job_id: str, policy: model.QueuePolicy
    ) -> Cancelled | UnknownJob:
        service = self._services.get(job_id, policy.service)
        is_known = job_id in self._services or await self._is_stored(
            tables.locate_job(service, job_id)
        )
        if not is_known:
            return UnknownJob()
        row_key = tables.locate_cancel(service, job_id)
        await self._store.transact(
            row_store.Transaction((), (row_store.Put(row_key, b""),))
        )
        return Cancelled()

    async def _read_row(
        self, row_key: row_store.RowKey
    ) -> row_store.Row | None:
        page = await self._read_page(row_key)
        return page.rows[0] if page.rows else None

    async def _is_stored(self, row_key: row_store.RowKey) -> bool:
        """Returns whether a row exists.

        Raises:
            PlatformError: The store doesn't answer.
        """
        page = await self._read_page(row_key)
        if page.rows:
            return True
        # The read may show a state from before the row.
        return bool(await present_rows.read_present_rows(self._store, row_key))

    async def _read_page(self, row_key: row_store.RowKey) -> row_store.Page:
        return await self._store.read(
            row_key.table, row_key.partition, row_key.key, row_key.key + "\x00"
        )

    def _remember(self, job_id: str, service: str) -> None:
        self._services[job_id] = service
        if len(self._services) > _REMEMBERED_JOBS:
            self._services.popitem(last=False)


def log_refusal(
    job_id: str,
    reason: str,
    status: int,
    configuration: configuration_lib.Configuration | None,
) -> None:
    """Logs a refused request."""
    logs.log_event(
        "job.refused",
        job=job_id,
        reason=reason,
        status=status,
        configuration=configuration.version if configuration else None,
    )
