"""Submits, reads and cancels jobs for callers, on any node."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import job_locations
from fireflywell.node import queue_services
from fireflywell.node import remembered_jobs
from fireflywell.node import shown_states
from fireflywell.node import submission_forwarding
from fireflywell.node import tables
from fireflywell.node import undecided_jobs
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

_DEFAULT_RETENTION = datetime.timedelta(seconds=60)


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The job is stored and will run.

    Attributes:
        service: Service that runs it; empty if another node has stored it.
    """

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotStored:
    """The job was not stored and never runs; the caller may try again."""


@dataclasses.dataclass(frozen=True, slots=True)
class CancelledBefore:
    """The job was cancelled, perhaps after this submission, and never runs.

    The caller may submit it again.
    """


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


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """What tells when a submission was sent.

    Attributes:
        version: A version that the store had before the submission arrived.
        is_caller_waiting: Returns whether the caller still waits for an answer.
            What a caller has sent and given up may arrive long after.
    """

    version: int
    is_caller_waiting: Callable[[], Awaitable[bool]]

    async def is_after(self, version: int) -> bool:
        """Returns whether it was certainly sent after a version was stored."""
        return version <= self.version and await self.is_caller_waiting()


async def _is_always_waiting() -> bool:
    return True


# Another node has passed the submission on, at whatever time it arrived there.
UNKNOWN_ARRIVAL = Arrival(0, _is_always_waiting)

# Passes a submission on to the node at an address, within a time limit. Raises
# `PlatformUnavailableError` if that node wasn't asked.
Forward = Callable[
    [str, datetime.timedelta], Awaitable[Accepted | NotStored | OutcomeUnknown]
]


@dataclasses.dataclass(frozen=True, slots=True)
class _ReadState:
    """The state of a job that a read of the store shows.

    Attributes:
        state: The state.
        version: Version of the row that tells it.
    """

    state: jobs_lib.JobState
    version: int


class JobFrontend:
    """Serves callers' requests about jobs directly from the store.

    Reads may show an earlier state. That a job doesn't exist is therefore only
    told by transactions.
    """

    __slots__ = (
        "_clock",
        "_find_arrival_version",
        "_forwarding",
        "_locations",
        "_metrics",
        "_queues",
        "_remembered",
        "_row_bytes",
        "_shown",
        "_store",
        "_undecided",
        "_waiting",
    )

    def __init__(
        self,
        store: row_store.RowStore,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        find_needed_version: Callable[[], int] = lambda: 0,
        retention: datetime.timedelta = _DEFAULT_RETENTION,
        queues: queue_services.QueueServices | None = None,
        find_owner: Callable[[str], str] = lambda _: "",
        get_write_time: Callable[[], datetime.timedelta] = datetime.timedelta,
        row_bytes: int = row_store.DEFAULT_ROW_BYTES,
        find_arrival_version: Callable[[], int] | None = None,
    ) -> None:
        """Creates a frontend.

        Args:
            store: The store.
            clock: The clock.
            metrics: Receives samples.
            find_needed_version: Returns the version of the store that counts
                of waiting jobs must not precede; raises `StaleReadError` if
                it doesn't know one.
            retention: Shortest time for which a finished job is kept.
            queues: Tells which services hold a queue's jobs; created here if
                no other part of the node uses it.
            find_owner: Returns the callers' address of a service's owner;
                empty if it isn't known or is this node.
            get_write_time: Returns how long this node's last write of its own
                row took.
            row_bytes: Largest value of a row of the store.
            find_arrival_version: Returns a version that the store had before a
                request that arrives now; the newest known one if it isn't
                given.
        """
        self._row_bytes = row_bytes
        self._find_arrival_version = find_arrival_version
        self._forwarding = submission_forwarding.ForwardingPolicy(
            clock, find_owner, get_write_time
        )
        self._metrics = metrics
        self._store = store
        self._clock = clock
        self._queues = queues or queue_services.QueueServices(store, clock)
        self._remembered = remembered_jobs.RememberedJobs(clock, retention)
        self._locations = job_locations.JobLocations(
            store, clock, self._queues, self._remembered, retention
        )
        self._waiting = waiting_counts.WaitingCounter(
            store, metrics, find_needed_version
        )
        self._shown = shown_states.ShownStates(clock, retention)
        self._undecided = undecided_jobs.UndecidedJobs(clock)

    async def submit(
        self,
        job_id: str,
        policy: model.QueuePolicy,
        request: model.JobRequest,
        timeout: datetime.timedelta,
        forward: Forward | None = None,
        arrival: Arrival | None = None,
    ) -> Accepted | NotStored | CancelledBefore | OutcomeUnknown | TooLarge:
        """Stores a job; one that is already stored is accepted again.

        While the store is slow or refuses this node, the owner of the service
        is asked to store it.

        Args:
            job_id: The job's id, which makes repeated submissions idempotent.
            policy: Policy of the job's queue.
            request: What the job runs.
            timeout: How long the caller waits for an answer.
            forward: Passes the submission on to another node; None if it may
                not be passed on.
            arrival: When it arrived, for a job that was cancelled before; None
                if the caller calls this as it sends the submission.

        Returns:
            Whether the job is stored, as far as the store has answered.
        """
        arrival = arrival or Arrival(
            self.find_arrival_version(), _is_always_waiting
        )
        submission = model.Submission(
            job_id, policy, request, self._store.now_s()
        )
        size_bytes = len(job_rows.encode_submission(submission))
        if size_bytes > self._row_bytes:
            return TooLarge(size_bytes, self._row_bytes)
        started = self._clock.monotonic()
        deadline = started + min(timeout * _DEADLINE_SHARE, _RETRY_LIMIT)
        while True:
            target = self._forwarding.find_target(policy.service)
            if forward is not None and target:
                remaining = started + timeout - self._clock.monotonic()
                match await self._forward(
                    submission, forward, target, remaining * _DEADLINE_SHARE
                ):
                    case Accepted() as accepted:
                        return accepted
                    case NotStored() | OutcomeUnknown():
                        return self._make_refusal(policy.queue, job_id)
                    case None:
                        # The owner wasn't asked, so the store decides.
                        forward = None
            attempt_started = self._clock.monotonic()
            try:
                location = await self._locations.store(
                    submission, arrival.is_after
                )
            except errors.JobCancelledError:
                # No earlier write of the job can be applied any more, either.
                self._undecided.discard(policy.queue, job_id)
                self._metrics.count("node.jobs.not_accepted")
                return CancelledBefore()
            except errors.PlatformUnavailableError:
                self._forwarding.record_failure(policy.service)
                known = self._remembered.find(policy.queue, job_id)
                if known is not None and self._remembered.is_kept(
                    policy.queue, job_id
                ):
                    # The platform may deliver a submission again.
                    return Accepted(known.service)
            except errors.PlatformRejectedError as error:
                # The store doesn't accept the row, at no attempt.
                logs.log_event("job.rejected", job=job_id, error=str(error))
                return self._make_refusal(policy.queue, job_id)
            except errors.PlatformError:
                # The outcome is unknown until another attempt succeeds, also
                # for later submissions of the job. The caller can't switch to
                # another node without a definite answer, so the retries may
                # take longer.
                self._forwarding.record_failure(policy.service)
                self._undecided.add(policy.queue, job_id)
                deadline = started + timeout * _DEADLINE_SHARE
            else:
                self._forwarding.record_write(
                    policy.service, self._clock.monotonic() - attempt_started
                )
                # It may have been stored by an earlier attempt.
                self._undecided.discard(policy.queue, job_id)
                self._metrics.count("node.jobs.accepted")
                return Accepted(location.service)
            if self._clock.monotonic() + _RETRY_DELAY > deadline:
                return self._make_refusal(policy.queue, job_id)
            await self._clock.sleep(_RETRY_DELAY)

    def _make_refusal(
        self, queue: str, job_id: str
    ) -> NotStored | OutcomeUnknown:
        """Returns why a job isn't accepted, after the last attempt."""
        self._metrics.count("node.jobs.not_accepted")
        if self._may_be_stored(queue, job_id):
            return OutcomeUnknown()
        return NotStored()

    async def _forward(
        self,
        submission: model.Submission,
        forward: Forward,
        address: str,
        timeout: datetime.timedelta,
    ) -> Accepted | NotStored | OutcomeUnknown | None:
        """Asks the owner of a service to store a job.

        Returns:
            What became of it; None if the owner wasn't asked.
        """
        policy = submission.policy
        started = self._clock.monotonic()
        outcome: Accepted | NotStored | OutcomeUnknown | None
        try:
            outcome = await forward(address, timeout)
        except errors.PlatformUnavailableError:
            self._forwarding.record_unreachable(address)
            outcome = None
        elapsed = self._clock.monotonic() - started
        match outcome:
            case Accepted():
                self._undecided.discard(policy.queue, submission.job_id)
                self._forwarding.record_write(policy.service, elapsed)
                self._metrics.count("node.jobs.accepted")
            case NotStored():
                self._forwarding.record_failure(policy.service)
            case OutcomeUnknown():
                # The owner may still store it.
                self._undecided.add(policy.queue, submission.job_id)
                self._forwarding.record_failure(policy.service)
        logs.log_event(
            "job.forwarded",
            job=submission.job_id,
            service=policy.service,
            address=address,
            outcome=type(outcome).__name__ if outcome else "not asked",
            elapsed_ms=round(elapsed.total_seconds() * 1000, 1),
        )
        return outcome

    async def read_state(
        self, job_id: str, policy: model.QueuePolicy
    ) -> JobStatus | UnknownJob:
        """Returns a job's state; `QUEUED` until its owner stores another.

        The state never precedes one that was returned before.

        Raises:
            PlatformError: The store doesn't answer, or the stored progress
                can't be read until the owner writes it again.
        """
        location = self._remembered.find(policy.queue, job_id)
        version = 0
        if location is not None:
            version = location.version
            self._shown.discard_before(policy.queue, job_id, version)
        shown = self._shown.find(policy.queue, job_id)
        if shown is not None and shown.is_final:
            return JobStatus(shown)
        service = (
            location.service
            if location is not None
            else await self._guess_service(job_id, policy)
        )
        progress = await self._read_progress(service, job_id, version)
        if progress is not None:
            return self._show(policy.queue, job_id, progress)
        if shown is None and self._remembered.is_kept(policy.queue, job_id):
            # Its owner has stored no progress yet, or the read doesn't show it.
            return JobStatus(jobs_lib.JobState.QUEUED)
        location = await self._locations.find(job_id, policy)
        if location is None:
            return UnknownJob()
        self._shown.discard_before(policy.queue, job_id, location.version)
        if location.service != service:
            progress = await self._read_progress(
                location.service, job_id, location.version
            )
        if progress is None:
            self._remembered.add_unfinished(location)
            progress = _ReadState(jobs_lib.JobState.QUEUED, location.version)
        return self._show(policy.queue, job_id, progress)

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
            StaleReadError: It shows too early a state.
        """
        listed = await self._queues.list_services(policy.queue)
        # Jobs that versions without the list have stored are where the
        # configuration says.
        services = listed or (policy.service,)
        counts = [await self._waiting.count(s, policy.queue) for s in services]
        # The reads of the counts may have taken long.
        self._queues.require_recent(policy.queue)
        return sum(counts)

    def find_arrival_version(self) -> int:
        """Returns a version that the store had before now, for `Arrival`."""
        if self._find_arrival_version is None:
            return self._store.newest_version
        return max(
            self._find_arrival_version(),
            self._locations.newest_cancellation_version,
        )

    async def _cancel_once(
        self, job_id: str, policy: model.QueuePolicy
    ) -> Cancelled | UnknownJob:
        location = self._remembered.find(policy.queue, job_id)
        if location is None:
            location = await self._locations.find_by_read(job_id, policy)
        if location is None:
            location = await self._locations.find_or_cancel(job_id, policy)
        while location is not None:
            row_key = tables.locate_cancel(location.service, job_id)
            # The cancellation of a removed job would stay in the store.
            condition = row_store.Condition(location.row_key, location.version)
            result = await self._store.transact(
                row_store.Transaction(
                    (condition,), (row_store.Put(row_key, b""),)
                )
            )
            match result:
                case row_store.Committed():
                    return Cancelled()
                case row_store.Conflict():
                    location = await self._locations.find_or_cancel(
                        job_id, policy
                    )
        self._undecided.discard(policy.queue, job_id)
        return UnknownJob()

    def _may_be_stored(self, queue: str, job_id: str) -> bool:
        """Returns whether an earlier submission may have stored a job."""
        return (
            self._undecided.contains(queue, job_id)
            or self._remembered.find(queue, job_id) is not None
        )

    async def _guess_service(
        self, job_id: str, policy: model.QueuePolicy
    ) -> str:
        """Returns the service that most probably holds a job.

        Raises:
            PlatformError: The lists of services can't be read, and the
                configured service isn't known to hold the job.
        """
        try:
            return await self._queues.guess_service(
                policy.queue, policy.service
            )
        except errors.PlatformError:
            location = await self._locations.find_configured(job_id, policy)
            if location is None:
                raise
            return location.service

    def _show(self, queue: str, job_id: str, read: _ReadState) -> JobStatus:
        """Returns the state that a caller is told after a read."""
        state = self._shown.record(queue, job_id, read.state, read.version)
        return JobStatus(state)

    async def _read_progress(
        self, service: str, job_id: str, job_version: int
    ) -> _ReadState | None:
        """Returns the stored state of a job; None if there is none.

        Args:
            service: Service that may hold the job.
            job_id: The job.
            job_version: Version of the job's submission, 0 if it isn't known.
                Progress before it is of an earlier job with the same id.

        Raises:
            PlatformError: The store doesn't answer, or the progress can't be
                decoded.
        """
        row_key = tables.locate_progress(service, job_id)
        row = await row_store.read_row(self._store, row_key)
        if row is None or row.version < job_version:
            return None
        try:
            state = job_rows.decode_progress(row.value).state
        except errors.CorruptRowError as error:
            raise errors.PlatformUnavailableError(str(error)) from error
        return _ReadState(state, row.version)
