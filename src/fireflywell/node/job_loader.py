"""Adds stored jobs and cancellations to the state of their service."""

from collections.abc import Callable
import datetime

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import ownership
from fireflywell.node import present_rows
from fireflywell.node import progress_writer
from fireflywell.node import stored_progress
from fireflywell.node import tables
from fireflywell.scheduling import job_rows
from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import model
from fireflywell.scheduling import ranking
from fireflywell.scheduling import service_state
from fireflywell.telemetry import logs


class JobLoader:
    """Applies rows of a service's jobs table to its state."""

    __slots__ = (
        "_state",
        "_claim_version",
        "_clock",
        "_confirmed_at",
        "_is_former_owner_stopped",
        "_missing_jobs",
        "_loaded",
        "_record_arrival",
        "_on_change",
        "_on_early_cancellation",
        "_on_relocation",
        "_stored_progress",
        "_service",
        "_store",
        "_writer",
    )

    def __init__(
        self,
        tenure: ownership.Tenure,
        state: service_state.ServiceState,
        writer: progress_writer.ProgressWriter,
        store: row_store.RowStore,
        clock: clock_lib.Clock,
        on_change: Callable[[], None],
        record_arrival: Callable[[float, float], None],
        on_relocation: Callable[
            [row_store.Row, model.Relocation], None
        ] = lambda *_: None,
        on_early_cancellation: Callable[
            [row_store.Row, model.EarlyCancellation], None
        ] = lambda *_: None,
    ) -> None:
        self._record_arrival = record_arrival
        self._service = tenure.service
        self._claim_version = tenure.version
        self._is_former_owner_stopped = tenure.is_former_owner_stopped
        self._state = state
        self._writer = writer
        self._store = store
        self._clock = clock
        self._on_change = on_change
        self._on_relocation = on_relocation
        self._on_early_cancellation = on_early_cancellation
        # Progress of jobs that haven't been added yet.
        self._stored_progress: dict[str, stored_progress.StoredProgress] = {}
        self._loaded = anyio.Event()
        # Monotonic time at which the applied rows were last up to date.
        self._confirmed_at: datetime.timedelta | None = None
        # Jobs that workers reported and that are no longer in the store.
        self._missing_jobs: set[str] = set()

    @property
    def _is_first_snapshot(self) -> bool:
        return not self._loaded.is_set()

    def mark_confirmed(self, at: datetime.timedelta) -> None:
        """Records that all rows up to a monotonic time were applied."""
        self._confirmed_at = at

    def measure_age(self) -> datetime.timedelta | None:
        """Returns how old the applied rows may be; None before a snapshot."""
        if self._confirmed_at is None:
            return None
        return self._clock.monotonic() - self._confirmed_at

    async def wait_until_loaded(self) -> None:
        """Waits until the first snapshot is applied.

        Before that, a worker's report names jobs that the state doesn't hold.
        """
        await self._loaded.wait()

    async def fetch_unknown(self, job_ids: frozenset[str]) -> None:
        """Reads jobs that a worker reported and that aren't in the state.

        An earlier owner may have started a job that was accepted after this
        owner's snapshot. A read that is behind may lack such a job, or show
        one that was removed since.

        Args:
            job_ids: The jobs; those that the store doesn't hold are skipped
                from then on.

        Raises:
            PlatformError: The store doesn't answer.
        """
        for job_id in job_ids - self._missing_jobs:
            row_key = tables.locate_job(self._service, job_id)
            cancel_key = tables.locate_cancel(self._service, job_id)
            rows = await present_rows.read_present_rows(
                self._store, row_key, cancel_key
            )
            # Other units of the job may run on workers that haven't reported.
            self._apply_rows(rows, is_fetched=True)
            if not self._state.has_job(job_id):
                self._missing_jobs.add(job_id)

    async def load_progress(self) -> None:
        """Reads the progress that earlier owners stored.

        Must run after this node has claimed the service, because earlier owners
        can't write progress from then on.

        Raises:
            PlatformError: The store doesn't answer.
        """
        table = tables.name_progress_table(self._service)
        page = await self._store.read(
            table, self._service, at_least=self._claim_version
        )
        self._stored_progress = stored_progress.group_rows(page.rows)

    def apply_snapshot(self, rows: tuple[row_store.Row, ...]) -> None:
        """Applies all rows of the table and marks the jobs as loaded."""
        self._apply_rows(rows, is_fetched=False)
        if self._is_first_snapshot:
            logs.log_event(
                "ownership.loaded",
                service=self._service,
                active=len(self._state.jobs),
                final=len(self._state.final_states),
            )
        self._loaded.set()

    def apply_changes(self, rows: tuple[row_store.Row, ...]) -> None:
        """Adds new jobs to the state and cancels those with a cancel row.

        Args:
            rows: Changed rows of the table in order of their versions.
        """
        self._apply_rows(rows, is_fetched=False)
        # All rows from before the claim were passed on by then. Their progress
        # is held until that, because the first snapshot may lack some of them.
        if any(row.version > self._claim_version for row in rows):
            self._stored_progress = {}

    def _apply_rows(
        self, rows: tuple[row_store.Row, ...], *, is_fetched: bool
    ) -> None:
        cancelled = []
        for row in rows:
            if row.row_key.partition != self._service:
                continue
            job_id = tables.split_cancel_key(row.row_key.key)
            if row.is_removed:
                # Until this, a snapshot that is behind may still show the job
                # and would start it again.
                self._state.final_states.pop(row.row_key.key, None)
            elif job_id is not None:
                cancelled.append(job_id)
            else:
                self._apply_job_row(row, is_fetched)
        for job_id in cancelled:
            if job_id in self._state.jobs:
                logs.log_event("job.cancel_seen", job=job_id)
            self._state.cancel_job(job_id)
        self._writer.wake()
        self._on_change()

    def _apply_job_row(self, row: row_store.Row, is_fetched: bool) -> None:
        job_id = row.row_key.key
        if job_id in self._state.jobs or job_id in self._state.final_states:
            return
        try:
            job = job_rows.decode_job(row.value)
        except errors.CorruptRowError as error:
            logs.log_event("job.unreadable", job=job_id, error=str(error))
            return
        match job:
            case model.Submission() as submission:
                self._add_job(submission, row, is_fetched)
            case model.Relocation() as relocation:
                # Another service holds the job and runs it.
                self._on_relocation(row, relocation)
            case model.EarlyCancellation() as cancellation:
                self._on_early_cancellation(row, cancellation)

    def _add_job(
        self,
        submission: model.Submission,
        row: row_store.Row,
        is_fetched: bool,
    ) -> None:
        job_id = row.row_key.key
        now_s = self._clock.monotonic().total_seconds()
        job = service_state.make_job(submission, self._store.now_s(), now_s)
        # The row's version tells whether an earlier owner can have started the
        # job; when the row arrives doesn't, because a snapshot may be behind.
        is_inherited = is_fetched or row.version < self._claim_version
        # Until the recovery is complete, a former owner may start new jobs if
        # it isn't proved that it stopped before the claim.
        job.is_recovered = is_inherited or not (
            self._is_former_owner_stopped or self._state.is_recovery_complete
        )
        self._restore_progress(job)
        self._state.add_job(job)
        is_due = not (is_inherited or job.is_long_running or job.is_recurring)
        if is_due:
            self._record_arrival(now_s, ranking.compute_work(job))
        # Inherited jobs of the first snapshot are counted in
        # `ownership.loaded`.
        if not is_inherited or not self._is_first_snapshot:
            logs.log_event(
                "job.seen",
                job=job_id,
                queue=submission.policy.queue,
                units=sum(s.count for s in submission.request.steps),
                age_s=round(now_s - job.arrived_s, 3),
                row_version=row.version,
                claim_version=self._claim_version,
                is_recovered=job.is_recovered,
            )

    def _restore_progress(self, job: jobs_lib.Job) -> None:
        stored = self._stored_progress.pop(job.job_id, None)
        if stored is None:
            return
        stored.restore(job)
        if job.state.is_final:
            self._writer.record_final_state(
                job.job_id,
                stored.ended_at_s,
                has_ranges=bool(job.progress_ranges),
            )
