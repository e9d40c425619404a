"""One large job that saves its progress, beside small jobs of its service."""

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin  # noqa: E402

_SMALL_PREFIX = "/bill-calc/"
_LARGE_PREFIX = "/bill-batch/"
_MINIONS = 6
_LARGE_COUNT = 8_000
_PARTS = 80
# A bit more than `checkpoint_interval_s`, so that each work unit saves once.
_LARGE_WORK_MS = 1_200
_SMALL_WORK_MS = 640
_SMALL_INTERVAL_S = 0.5
_TRAFFIC_S = 60.0
_FINISH_S = standin.BOUNDS["finish_s"]
_ASK_S = 10.0


def _make_step(count: int, cpu: int, work_ms: int, is_saving: bool) -> dict:
    step = {
        "count": count,
        "cpu": cpu,
        "requested_memory_mb": 16,
        "estimated_ms": work_ms,
    }
    return {**step, "checkpointing": True} if is_saving else step


async def case(system: standin.System, is_troubled: bool) -> int:
    """Runs the case; see `standin.run_case`."""
    routes = [
        {
            "name": "bill-calc",
            "path_prefix": _SMALL_PREFIX,
            "service": "billing",
        },
        {
            "name": "bill-batch",
            "path_prefix": _LARGE_PREFIX,
            "service": "billing",
        },
    ]
    if not await system.start(routes, {"billing": _MINIONS}, 2):
        return 2
    client = standin.Client(system)
    started = standin.now()
    small = standin.Job(
        [_make_step(6, 880, _SMALL_WORK_MS, False)], [_SMALL_WORK_MS]
    )
    has_batch = False
    while standin.now() - started < _TRAFFIC_S:
        if not has_batch and standin.now() - started > 3.0:
            has_batch = True
            # The same work, as one job or as many.
            count = 1 if is_troubled else _PARTS
            step = _make_step(_LARGE_COUNT // count, 50, _LARGE_WORK_MS, True)
            batch = standin.Job([step], [_LARGE_WORK_MS])
            async with asyncio.TaskGroup() as group:
                for _ in range(count):
                    group.create_task(client.submit(_LARGE_PREFIX, batch))
        await client.submit(_SMALL_PREFIX, small)
        await asyncio.sleep(_SMALL_INTERVAL_S)
    await asyncio.sleep(_FINISH_S)
    return await _judge(system, client)


async def _judge(system: standin.System, client: standin.Client) -> int:
    """Returns 1 if accepted jobs wait though the minions are idle.

    The rule: for 3 s, a job has nothing running while a work unit's turn has
    come, there is capacity for it twice over, and under half of the service's
    capacity is in use.
    """
    waiting: dict[str, float] = {}
    longest: dict[str, float] = {}
    until = standin.now() + _ASK_S
    while standin.now() < until:
        running = {
            unit.partition(".")[0]
            for minion in system.fleet.minions.values()
            for unit in minion.runs
        }
        used = sum(m.used_cpu for m in system.fleet.minions.values())
        is_idle = used < _MINIONS * system.fleet.capacity["cpu"] / 2
        complete = _list_complete(system)
        for job_id in client.accepted:
            if job_id in complete or job_id in running or not is_idle:
                waiting.pop(job_id, None)
                continue
            since = waiting.setdefault(job_id, standin.now())
            longest[job_id] = max(
                longest.get(job_id, 0.0), standin.now() - since
            )
        await asyncio.sleep(0.1)
    left = [job_id for job_id, wait_s in longest.items() if wait_s > 3]
    for minion in system.fleet.minions.values():
        system.record.write(
            f"{minion.id}: cpu in use {minion.used_cpu}, ends not taken note "
            f"of {len(minion.ends)}, up to {minion.ends_noted} taken note of"
        )
    states = collections.Counter()
    for job_id in client.accepted:
        states[await client.ask(job_id)] += 1
    system.record.say(
        f"{len(client.accepted)} jobs accepted, states {dict(states)}; "
        f"{len(left)} have had nothing running for over 3 s beside idle minions"
    )
    system.record.say(f"rejected writes: {dict(system.store.rejected)}")
    if left:
        system.record.say("BROKEN: accepted jobs aren't worked off")
        return 1
    return 0


def _list_complete(system: standin.System) -> set[str]:
    """Returns the jobs whose work units have all ended `done`."""
    done = collections.Counter(unit[:16] for unit in system.fleet.done)
    return {
        job_id
        for job_id, job in system.fleet.jobs.items()
        if done[job_id] >= sum(step["count"] for step in job.steps)
    }


if __name__ == "__main__":
    standin.run_case(FOLDER, case)
