"""Logs what becomes of a worker and the runs on it."""

import datetime

from fireflywell.scheduling import job_starts
from fireflywell.scheduling import late_starts
from fireflywell.scheduling import orders
from fireflywell.scheduling import service_state
from fireflywell.scheduling import workers as workers_lib
from fireflywell.telemetry import logs

DroppedRuns = tuple[service_state.DroppedRun, ...]


def log_reached(worker_id: str, report: orders.WorkerReport) -> None:
    """Logs that a worker can be used from now on."""
    logs.log_event(
        "worker.reached",
        worker=worker_id,
        runs=len(report.running),
        ends=len(report.ended),
    )


def log_moved(
    former: workers_lib.WorkerInstance,
    instance: workers_lib.WorkerInstance,
    runs: int,
    lease: datetime.timedelta,
) -> None:
    """Logs that a worker is listed with another address or VM."""
    logs.log_event(
        "worker.moved",
        worker=instance.instance_id,
        former_address=former.address,
        address=instance.address,
        former_machine=former.vm_id,
        machine=instance.vm_id,
        runs=runs,
        lease_s=round(lease.total_seconds(), 3),
    )


def log_dropped(instance: workers_lib.WorkerInstance, reason: str) -> None:
    """Logs that a worker without runs has no session any more."""
    logs.log_event(
        "worker.dropped",
        worker=instance.instance_id,
        reason=reason,
        address=instance.address,
        machine=instance.vm_id,
    )


def log_leases_over(worker_id: str, dropped: DroppedRuns) -> None:
    """Logs the runs of a silent worker whose leases are over."""
    logs.log_event(
        "worker.leases_over",
        worker=worker_id,
        runs=len(dropped),
        dropped=_describe_runs(dropped),
    )


def log_restarted(
    instance: workers_lib.WorkerInstance, reason: str, dropped: DroppedRuns
) -> None:
    """Logs the runs that only a former incarnation can have had."""
    logs.log_event(
        "worker.restarted",
        worker=instance.instance_id,
        reason=reason,
        address=instance.address,
        machine=instance.vm_id,
        runs=len(dropped),
        dropped=_describe_runs(dropped),
    )


def log_ends(worker_id: str, ends: list[orders.EndReport]) -> None:
    """Logs the ends of runs that a worker has reported for the first time."""
    logs.log_event(
        "run.ended",
        worker=worker_id,
        ends=[f"{end.unit}#{end.run}:{end.kind}" for end in ends],
    )


def log_late_starts(items: list[late_starts.LateStart]) -> None:
    """Logs runs that began after this owner had counted them as over."""
    for item in items:
        logs.log_event(
            "run.late_start",
            unit=item.unit,
            run=item.run,
            worker=item.worker_id,
            is_kept=item.is_kept,
        )


def log_job_starts(items: list[job_starts.JobStart]) -> None:
    """Logs jobs that count as started from now on."""
    for item in items:
        logs.log_event(
            "job.started",
            job=item.job_id,
            unit=item.unit,
            run=item.run,
            worker=item.worker_id,
            evidence=str(item.evidence),
        )


def _describe_runs(runs: DroppedRuns) -> list[str]:
    return [
        f"{item.run.unit.name}#{item.run.number}:{item.phase.name.lower()}"
        for item in runs
    ]
