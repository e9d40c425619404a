"""The permitted minions crash and come back while work waits for them."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin  # noqa: E402

_PREFIX = "/claims/"
_VALIDITY_S = 30.0
_WORK_MS = 2_500
# Two work units fill a minion; the others wait.
_COUNT = 12
_CPU = 6_000
_DOWN_S = 4.5
_WATCH_S = 45.0
_LONGEST_WAIT_S = 3.0
_FINISH_S = standin.BOUNDS["finish_s"]
# The rule counts spans of which the 4 s before are calm.
_CALM_S = 4.0


async def case(system: standin.System, is_troubled: bool) -> int:
    """Runs the case; see `standin.run_case`."""
    system.advice.rack = "r1-1"
    system.advice.validity_s = _VALIDITY_S
    routes = [
        {
            "name": "claims",
            "path_prefix": _PREFIX,
            "service": "claims-desk",
            "advice": {
                "decision_ms": system.advice.decision_ms,
                "per_item_ms": system.advice.per_item_ms,
                "validity_ms": int(_VALIDITY_S * 1000),
            },
        }
    ]
    # Machines 4 and 5 are on rack r1-1.
    if not await system.start(routes, {"claims-desk": 6}, 2):
        return 2
    step = {
        "count": _COUNT,
        "cpu": _CPU,
        "requested_memory_mb": 256,
        "estimated_ms": _WORK_MS,
    }
    job_id = standin.make_job_id()
    job = standin.Job([step], [_WORK_MS], needs_advice=True)
    reply = await system.submit(system.nodes[0], _PREFIX, job_id, job)
    if reply.status != 200:
        return 2
    submitted_at = standin.now()
    if not await _wait_for_starts(system):
        return 2
    if is_troubled:
        async with asyncio.TaskGroup() as group:
            for number in (4, 5):
                group.create_task(
                    system.fleet.crash(f"m-claims-desk-{number}", _DOWN_S)
                )
    # The submission is all the traffic that there is.
    counted_from = max(submitted_at + _FINISH_S, standin.now() + _CALM_S)
    return await _watch(system, job_id, counted_from)


async def _wait_for_starts(system: standin.System) -> bool:
    """Waits until the permitted minions are at work."""
    for _ in range(200):
        if len(system.fleet.starts) >= 4:
            return True
        await asyncio.sleep(0.05)
    return False


async def _watch(
    system: standin.System, job_id: str, counted_from: float
) -> int:
    """Returns 1 if the job waits for too long beside permitted minions."""
    idle_since: float | None = None
    longest_s = 0.0
    until = standin.now() + _WATCH_S
    while standin.now() < until:
        done = sum(unit.startswith(job_id) for unit in system.fleet.done)
        if done >= _COUNT:
            break
        permitted = [
            minion
            for minion in system.fleet.minions.values()
            if minion.rack == system.advice.rack and minion.is_up
        ]
        # All other work is none, so the permitted minions are idle as well.
        is_waiting = (
            standin.now() > counted_from
            and len(permitted) == 2
            and not any(m.runs for m in system.fleet.minions.values())
        )
        if not is_waiting:
            idle_since = None
        elif idle_since is None:
            idle_since = standin.now()
        else:
            longest_s = max(longest_s, standin.now() - idle_since)
        await asyncio.sleep(0.02)
    system.record.say(
        f"{done} of {_COUNT} work units done; longest time with nothing "
        f"running beside two idle permitted minions: {longest_s:.1f} s"
    )
    if longest_s > _LONGEST_WAIT_S:
        system.record.say("BROKEN: accepted work waits beside idle minions")
        return 1
    return 0


if __name__ == "__main__":
    standin.run_case(FOLDER, case)
