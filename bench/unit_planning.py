"""Times a placement pass of one service, by workers and waiting steps."""

import argparse
import statistics

from fireflywell import clock as clock_lib
from fireflywell.scheduling import jobs
from fireflywell.scheduling import model
from fireflywell.scheduling import service_state
from fireflywell.scheduling import workers

_POLICY = model.QueuePolicy("quotes", "desk", 0, 4, 1.6, 0.6)
_ROUNDS = 15


def make_state(worker_count: int, job_count: int) -> service_state.ServiceState:
    """Returns a state with free workers and jobs of six units that wait."""
    state = service_state.ServiceState(1)
    state.is_recovery_complete = True
    for number in range(worker_count):
        rack = f"r{number // 20}-1"
        instance = workers.WorkerInstance(
            f"w{number}", "desk", "127.0.0.1:1", "a", rack, (rack,),
            model.ResourceAmounts(16000, 32000),
        )  # fmt: skip
        worker = workers.Worker(instance)
        worker.is_reachable = True
        state.workers[instance.instance_id] = worker
    step = model.Step(6, model.ResourceAmounts(880, 900), 0.64)
    request = model.JobRequest("text", (step,))
    for number in range(job_count):
        submission = model.Submission(f"{number:016x}", _POLICY, request, 0.0)
        state.add_job(jobs.Job(submission, 0.0))
    return state


def measure_pass_ms(worker_count: int, job_count: int) -> float:
    """Returns the median time of a first pass, in milliseconds."""
    clock = clock_lib.SystemClock()
    times = []
    for _ in range(_ROUNDS):
        state = make_state(worker_count, job_count)
        started = clock.monotonic()
        state.plan(0.1)
        elapsed = clock.monotonic() - started
        times.append(elapsed.total_seconds() * 1000)
    return statistics.median(times)


def main() -> None:
    """Prints one line for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", default="6,12,24,48,2400")
    parser.add_argument("--jobs", default="20,200")
    options = parser.parse_args()
    print("workers   jobs   ms a pass of at most 64 placements")
    for worker_count in map(int, options.workers.split(",")):
        for job_count in map(int, options.jobs.split(",")):
            elapsed_ms = measure_pass_ms(worker_count, job_count)
            print(f"{worker_count:7} {job_count:6} {elapsed_ms:8.2f}")


if __name__ == "__main__":
    main()
