"""Stores and finds jobs, whichever service accepted them.

The row at a job's key in the origin of its queue is the authority for the job
(see `queue_services`). It is the submission, or a relocation that names the
service in which the submission is stored. Each job is therefore stored once,
whichever nodes and configurations its submissions reach, in any order.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import cancellation_sweeper
from fireflywell.node import group_commit
from fireflywell.node import present_rows
from fireflywell.node import queue_services
from fireflywell.node import remembered_jobs
from fireflywell.node import tables
from fireflywell.scheduling import job_rows
from fireflywell.scheduling import model
from fireflywell.telemetry import logs

# A relocation is removed once it has not been renewed for the retention time
# and its service doesn't hold the job. A submission that finds an older one
# than this share of it renews it, so that the submission's row can't be stored
# after the relocation was removed.
_RENEWAL_SHARE = 0.5

# A repeated cancellation is stored again if the former one is older than this,
# so that it isn't removed soon.
_CANCELLATION_RENEWAL_S = cancellation_sweeper.RETENTION.total_seconds() / 2

# Returns whether a submission was certainly sent after an early cancellation
# that was stored at a version.
IsSentAfter = Callable[[int], Awaitable[bool]]


class JobLocations:
    """Stores submissions and finds the services that hold jobs."""

    __slots__ = (
        "_commits",
        "_newest_cancellation_version",
        "_queues",
        "_remembered",
        "_retention",
        "_store",
    )

    def __init__(
        self,
        store: row_store.RowStore,
        clock: clock_lib.Clock,
        queues: queue_services.QueueServices,
        remembered: remembered_jobs.RememberedJobs,
        retention: datetime.timedelta,
    ) -> None:
        """Creates an instance.

        Args:
            store: The store.
            clock: The clock.
            queues: Tells which services hold a queue's jobs.
            remembered: Receives the jobs that are stored or found.
            retention: Shortest time for which a finished job is kept.
        """
        self._store = store
        self._queues = queues
        self._remembered = remembered
        self._retention = retention
        self._commits = group_commit.GroupCommit(store, clock)
        self._newest_cancellation_version = 0

    @property
    def newest_cancellation_version(self) -> int:
        """Version of the last early cancellation that this node has stored."""
        return self._newest_cancellation_version

    async def store(
        self,
        submission: model.Submission,
        is_sent_after: IsSentAfter,
    ) -> remembered_jobs.JobLocation:
        """Stores a submission in the one service that may hold it.

        Args:
            submission: The submission.
            is_sent_after: Whether it was certainly sent after an early
                cancellation of the job that was stored at a version.

        Returns:
            Where the job is stored, by this submission or an earlier one.

        Raises:
            PlatformUnavailableError: The submission was not stored.
            JobCancelledError: The job was cancelled; neither this submission
                nor an earlier one is stored any more.
            PlatformError: The submission may be stored.
        """
        match await self._choose_service(submission, is_sent_after):
            case remembered_jobs.JobLocation() as location:
                return location
            case str() as service:
                stored = await self._put(submission, service, is_sent_after)
        match stored:
            case model.Relocation(service=service):
                # An earlier submission was sent to another service.
                stored = await self._put(submission, service, is_sent_after)
        match stored:
            case remembered_jobs.JobLocation():
                return stored
            case model.Relocation():
                raise errors.PlatformUnavailableError(
                    f"the id {submission.job_id} is used by jobs of two queues"
                )

    async def find(
        self, job_id: str, policy: model.QueuePolicy
    ) -> remembered_jobs.JobLocation | None:
        """Returns where a job is stored; None if it doesn't exist.

        Reads may show an earlier state. That a job doesn't exist is therefore
        only told by transactions.

        Raises:
            PlatformError: The store doesn't answer.
        """
        location = await self.find_by_read(job_id, policy)
        if location is not None:
            return location
        return await self.find_present(job_id, policy)

    async def find_by_read(
        self, job_id: str, policy: model.QueuePolicy
    ) -> remembered_jobs.JobLocation | None:
        """Returns where a job is stored; None if reads don't show it.

        Raises:
            PlatformError: The store doesn't answer.
        """
        try:
            origin = await self._queues.find_origin(
                policy.queue, policy.service
            )
        except errors.PlatformError:
            location = await self.find_configured(job_id, policy)
            if location is None:
                raise
            return location
        row_key = tables.locate_job(origin, job_id)
        row = await row_store.read_row(self._store, row_key)
        if row is None:
            return None
        return await self._follow(policy.queue, row)

    async def find_or_cancel(
        self, job_id: str, policy: model.QueuePolicy
    ) -> remembered_jobs.JobLocation | None:
        """Returns where a job is stored now, or cancels it beforehand.

        The store may still apply a submission that any node has sent, unless
        there is a row in its place.

        Returns:
            The location; None if the job isn't stored. No submission that was
            sent before can then be stored any more.

        Raises:
            PlatformError: The store doesn't answer.
        """
        origin = await self._queues.find_origin(policy.queue, policy.service)
        row = await self._put_cancellation(origin, job_id)
        if row is None:
            return None
        match _decode(row):
            case model.Relocation(service=service):
                row = await self._put_cancellation(service, job_id)
        if row is None:
            return None
        match _decode(row):
            case model.Relocation():
                raise errors.PlatformUnavailableError(
                    f"the id {job_id} is used by jobs of two queues"
                )
            case model.EarlyCancellation():
                return None
            case None:
                return self._remember(policy.queue, row)

    async def _put_cancellation(
        self, service: str, job_id: str
    ) -> row_store.Row | None:
        """Stores an early cancellation unless there is a row of the job.

        Returns:
            The row that was there; None if there was none.
        """
        row_key = tables.locate_job(service, job_id)
        cancellation = model.EarlyCancellation(self._store.now_s())
        value = job_rows.encode_early_cancellation(cancellation)
        version = 0
        while True:
            result = await self._store.transact(
                row_store.Transaction(
                    (row_store.Condition(row_key, version),),
                    (row_store.Put(row_key, value),),
                )
            )
            match result:
                case row_store.Committed(version=committed):
                    self._newest_cancellation_version = max(
                        self._newest_cancellation_version, committed
                    )
                    logs.log_event(
                        "job.cancelled_early",
                        job=job_id,
                        service=service,
                        version=committed,
                    )
                    return None
                case row_store.Conflict() as conflict:
                    row = conflict.find_row(row_key)
            if row is None:
                # It was removed meanwhile.
                version = 0
                continue
            match _decode(row):
                case model.EarlyCancellation(cancelled_at_s=at_s) if (
                    self._store.now_s() - at_s > _CANCELLATION_RENEWAL_S
                ):
                    version = row.version
                case _:
                    return row

    async def find_present(
        self, job_id: str, policy: model.QueuePolicy
    ) -> remembered_jobs.JobLocation | None:
        """Returns where a job is stored now, by transactions alone.

        Raises:
            PlatformError: The store doesn't answer.
        """
        origin = await self._queues.find_origin(policy.queue, policy.service)
        row_key = tables.locate_job(origin, job_id)
        row = await self._read_present_row(row_key)
        if row is None:
            return None
        return await self._follow(policy.queue, row, is_read_enough=False)

    async def find_configured(
        self, job_id: str, policy: model.QueuePolicy
    ) -> remembered_jobs.JobLocation | None:
        """Returns a job's location if it is in the configured service.

        A submission there is the job, whichever service is the origin, so this
        needs no list of the queue's services.

        Returns:
            The location; None if the job may be stored elsewhere.

        Raises:
            PlatformError: The store doesn't answer.
        """
        row_key = tables.locate_job(policy.service, job_id)
        row = await row_store.read_row(self._store, row_key)
        if row is None:
            return None
        try:
            job = job_rows.decode_job(row.value)
        except errors.CorruptRowError:
            return None
        match job:
            case model.Submission(policy=stored) if (
                stored.queue == policy.queue
            ):
                return self._remember(policy.queue, row)
        return None

    async def _choose_service(
        self, submission: model.Submission, is_sent_after: IsSentAfter
    ) -> str | remembered_jobs.JobLocation:
        """Decides where a submission is to be stored.

        Returns:
            The service, or where the job is stored already.

        Raises:
            PlatformUnavailableError: The store doesn't answer.
        """
        service = submission.policy.service
        try:
            origin = await self._queues.register(
                submission.policy.queue, service
            )
            if service == origin:
                return service
            return await self._relocate(submission, origin, is_sent_after)
        except errors.PlatformError as error:
            # A relocation without a submission never runs.
            raise errors.PlatformUnavailableError(
                f"job {submission.job_id} has no location yet: {error}"
            ) from error

    async def _relocate(
        self,
        submission: model.Submission,
        origin: str,
        is_sent_after: IsSentAfter,
    ) -> str | remembered_jobs.JobLocation:
        """Stores a relocation to the submission's service unless there is one.

        Returns:
            The service that the stored relocation names, or where the job is
            stored already.
        """
        relocation = model.Relocation(
            submission.policy.service, self._store.now_s()
        )
        row_key = tables.locate_job(origin, submission.job_id)
        row = await self._put_row(
            row_store.Put(row_key, job_rows.encode_relocation(relocation)),
            is_sent_after,
        )
        match _decode(row):
            case model.Relocation() as found:
                await self._renew(row, found)
                return found.service
            case _:
                return self._remember(submission.policy.queue, row)

    async def _renew(
        self, row: row_store.Row, relocation: model.Relocation
    ) -> None:
        """Renews an old relocation, so that it isn't removed meanwhile.

        Raises:
            PlatformUnavailableError: It may not be renewed; the submission has
                not been sent.
        """
        now_s = self._store.now_s()
        limit = self._retention * _RENEWAL_SHARE
        if now_s - relocation.renewed_at_s < limit.total_seconds():
            return
        renewed = dataclasses.replace(relocation, renewed_at_s=now_s)
        put = row_store.Put(row.row_key, job_rows.encode_relocation(renewed))
        condition = row_store.Condition(row.row_key, row.version)
        try:
            result = await self._store.transact(
                row_store.Transaction((condition,), (put,))
            )
        except errors.PlatformError as error:
            raise errors.PlatformUnavailableError(
                f"the relocation may not be renewed: {error}"
            ) from error
        match result:
            case row_store.Conflict():
                raise errors.PlatformUnavailableError(
                    "the relocation was changed; try again"
                )

    async def _put_row(
        self, put: row_store.Put, is_sent_after: IsSentAfter
    ) -> row_store.Row:
        """Stores a row unless there is one, or in place of a cancellation.

        Returns:
            The row that the store holds now.

        Raises:
            PlatformUnavailableError: The row was not stored.
            JobCancelledError: An early cancellation is in its place, which may
                have come after the submission.
            PlatformError: The row may be stored.
        """
        row = await self._commits.put_if_absent(put)
        match _decode(row):
            case model.EarlyCancellation():
                pass
            case _:
                return row
        job_id = put.row_key.key
        if not await is_sent_after(row.version):
            raise errors.JobCancelledError(
                f"job {job_id} was cancelled before its submission was stored"
            )
        result = await self._store.transact(
            row_store.Transaction(
                (row_store.Condition(put.row_key, row.version),), (put,)
            )
        )
        match result:
            case row_store.Conflict():
                raise errors.PlatformUnavailableError(
                    f"the row of job {job_id} was changed; try again"
                )
            case row_store.Committed(version=version):
                logs.log_event(
                    "job.cancellation_replaced",
                    job=job_id,
                    service=put.row_key.partition,
                    cancelled=row.version,
                )
                return row_store.Row(put.row_key, put.value, version)

    async def _put(
        self,
        submission: model.Submission,
        service: str,
        is_sent_after: IsSentAfter,
    ) -> remembered_jobs.JobLocation | model.Relocation:
        """Stores a submission in a service unless there is a row of the job.

        Returns:
            Where the job is stored, or the relocation that the service holds
            instead.

        Raises:
            PlatformUnavailableError: The submission was not stored.
            PlatformError: The submission may be stored.
        """
        policy = dataclasses.replace(submission.policy, service=service)
        stored = dataclasses.replace(submission, policy=policy)
        value = job_rows.encode_submission(stored)
        row_key = tables.locate_job(service, submission.job_id)
        row = await self._put_row(row_store.Put(row_key, value), is_sent_after)
        if row.value == value:
            location = _make_location(submission.policy.queue, row)
            self._remembered.add_unfinished(location)
            return location
        match _decode(row):
            case model.Relocation() as relocation:
                await self._renew(row, relocation)
                return relocation
            case _:
                return self._remember(submission.policy.queue, row)

    async def _follow(
        self, queue: str, row: row_store.Row, *, is_read_enough: bool = True
    ) -> remembered_jobs.JobLocation | None:
        """Returns where the job of a row of the origin is stored, if it is.

        Args:
            queue: The queue.
            row: The row.
            is_read_enough: Whether a read may show the submission.

        Raises:
            PlatformError: The store doesn't answer, or a row can't be decoded.
        """
        match _decode(row):
            case model.Relocation(service=service):
                row_key = tables.locate_job(service, row.row_key.key)
                held = None
                if is_read_enough:
                    held = await row_store.read_row(self._store, row_key)
                if held is None:
                    held = await self._read_present_row(row_key)
                if held is None:
                    return None
                match _decode(held):
                    case model.EarlyCancellation():
                        return None
                    case _:
                        return self._remember(queue, held)
            case model.EarlyCancellation():
                return None
            case None:
                return self._remember(queue, row)

    async def _read_present_row(
        self, row_key: row_store.RowKey
    ) -> row_store.Row | None:
        rows = await present_rows.read_present_rows(self._store, row_key)
        return rows[0] if rows else None

    def _remember(
        self, queue: str, row: row_store.Row
    ) -> remembered_jobs.JobLocation:
        location = _make_location(queue, row)
        self._remembered.add(location)
        return location


def _make_location(
    queue: str, row: row_store.Row
) -> remembered_jobs.JobLocation:
    return remembered_jobs.JobLocation(
        queue, row.row_key.key, row.row_key.partition, row.version
    )


def _decode(
    row: row_store.Row,
) -> model.Relocation | model.EarlyCancellation | None:
    """Returns the relocation or cancellation in a row; None for a submission.

    Raises:
        PlatformUnavailableError: The row can't be decoded. Owners leave such a
            row out, so it is no job that runs, and no other one can be stored
            at its key.
    """
    try:
        job = job_rows.decode_job(row.value)
    except errors.CorruptRowError as error:
        logs.log_event("job.unreadable", job=row.row_key.key, error=str(error))
        raise errors.PlatformUnavailableError(
            f"the row of job {row.row_key.key} in service "
            f"{row.row_key.partition} can't be decoded: {error}"
        ) from error
    match job:
        case model.Relocation() | model.EarlyCancellation():
            return job
        case model.Submission():
            return None
