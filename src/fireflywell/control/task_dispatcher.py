"""Calls workers to start, throttle, checkpoint or stop tasks."""

from collections.abc import Iterable

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.control import task_tracker
from fireflywell.coordination import leases
from fireflywell.fleet import jobs
from fireflywell.fleet import preemption
from fireflywell.infrastructure import machines
from fireflywell.infrastructure import records
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

_CONCURRENT_CALLS = 16


class TaskDispatcher:
    """Makes calls concurrently and records the replies in the task tracker."""

    __slots__ = ("_clock", "_limiter", "_metrics", "_task_tracker", "_workers")

    def __init__(
        self,
        workers: machines.Workers,
        tracker: task_tracker.TaskTracker,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._workers = workers
        self._task_tracker = tracker
        self._clock = clock
        self._metrics = metrics
        self._limiter = anyio.CapacityLimiter(_CONCURRENT_CALLS)

    async def start_all(
        self, leased: Iterable[jobs.JobRecord], lease: leases.Lease
    ) -> None:
        """Starts the attempts of leased jobs.

        A start that fails is logged; the next round finds no report of the
        attempt and sends the same start again.
        """
        async with anyio.create_task_group() as group:
            for record in leased:
                group.start_soon(self._start, record, lease)

    async def preempt_all(
        self, preemptions: Iterable[preemption.Preemption]
    ) -> None:
        """Throttles, checkpoints or stops tasks; a failed call is logged."""
        async with anyio.create_task_group() as group:
            for item in preemptions:
                group.start_soon(self._preempt, item)

    async def _start(self, record: jobs.JobRecord, lease: leases.Lease) -> None:
        start = records.TaskStart(
            job_id=record.spec.job_id,
            attempt=record.attempt,
            command=record.spec.command,
            run_seconds=record.spec.run_seconds,
            resources=record.spec.declared,
            lease=task_tracker.TASK_LEASE,
            fencing_token=lease.token,
        )
        try:
            async with self._limiter:
                task = await self._workers.start_task(record.worker_id, start)
        except errors.PlatformError as error:
            logs.log_event(
                "placement.start_failed",
                job=record.spec.job_id,
                worker=record.worker_id,
                error=str(error),
            )
            return
        self._task_tracker.record_report(task)
        wait_time = self._clock.now() - record.spec.submitted_at
        self._metrics.record_duration(
            f"jobs.wait.{record.spec.urgency.value}", wait_time
        )

    async def _preempt(self, item: preemption.Preemption) -> None:
        logs.log_event(
            "placement.preemption",
            job=item.job_id,
            worker=item.worker_id,
            action=item.action.value,
        )
        self._metrics.count(f"placement.{item.action.value}")
        try:
            async with self._limiter:
                task = await self._workers.change_task(
                    item.worker_id, item.job_id, item.attempt, item.action.value
                )
        except errors.PlatformError as error:
            logs.log_event(
                "placement.preemption_failed", job=item.job_id, error=str(error)
            )
            return
        self._task_tracker.record_report(task)
