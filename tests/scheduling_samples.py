"""Builds service states, jobs, workers and reports for scheduling tests."""

from fireflywell.scheduling import jobs as jobs_lib
from fireflywell.scheduling import model
from fireflywell.scheduling import orders
from fireflywell.scheduling import service_state
from fireflywell.scheduling import steps as steps_lib
from fireflywell.scheduling import workers as workers_lib
from tests import node_world


def make_job(
    job_id: str,
    *steps: model.Step,
    arrived_s: float = 0.0,
    policy: model.QueuePolicy = node_world.POLICY,
) -> jobs_lib.Job:
    """Returns a job without progress."""
    request = node_world.make_request(*steps)
    return jobs_lib.Job(
        model.Submission(job_id, policy, request, arrived_s), arrived_s
    )


def list_units(job: jobs_lib.Job) -> list[steps_lib.Unit]:
    """Returns the units of all steps of all occurrences."""
    units = [job.find_unit_at(number) for number in range(job.unit_count)]
    return [unit for unit in units if unit is not None]


def add_worker(
    state: service_state.ServiceState,
    name: str,
    rack: str = "r1-1",
    cores: int = 4,
) -> workers_lib.Worker:
    """Adds a reachable worker."""
    instance = node_world.make_instance(name, rack, cores)
    worker = workers_lib.Worker(instance)
    worker.is_reachable = True
    state.workers[name] = worker
    return worker


def make_state(*names: str, token: int = 1) -> service_state.ServiceState:
    """Returns a service state with reachable workers and finished recovery."""
    state = service_state.ServiceState(token)
    state.is_recovery_complete = True
    for name in names:
        add_worker(state, name)
    return state


def make_report(
    running: tuple[orders.RunReport, ...] = (),
    ended: tuple[orders.EndReport, ...] = (),
    has_all_ends: bool = True,
) -> orders.WorkerReport:
    """Returns a worker's report of active and ended runs."""
    return orders.WorkerReport(1, 1, running, ended, has_all_ends)


def report_running(
    unit: str, run: int = 1, percent: int = 100, load: float = 0.0
) -> orders.RunReport:
    """Returns the report of an active run."""
    return orders.RunReport(unit, run, "", percent, load)


def report_end(
    unit: str,
    run: int = 1,
    kind: orders.EndKind = orders.EndKind.DONE,
    number: int = 1,
) -> orders.EndReport:
    """Returns the report of an ended run."""
    return orders.EndReport(number, unit, run, kind, "")
