"""Logs what becomes of a worker and the runs on it."""

from fireflywell.scheduling import orders
from fireflywell.scheduling import service_state
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


def log_leases_over(worker_id: str, dropped: DroppedRuns) -> None:
    """Logs the runs of a silent worker whose leases are over."""
    logs.log_event(
        "worker.leases_over",
        worker=worker_id,
        runs=len(dropped),
        dropped=_describe_runs(dropped),
    )


def log_restarted(worker_id: str, reason: str, dropped: DroppedRuns) -> None:
    """Logs the runs that only a former incarnation can have had."""
    logs.log_event(
        "worker.restarted",
        worker=worker_id,
        reason=reason,
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


def _describe_runs(runs: DroppedRuns) -> list[str]:
    return [
        f"{item.run.unit.name}#{item.run.number}:{item.phase.name.lower()}"
        for item in runs
    ]
