"""A job is cancelled while its submission is on its way in the store."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standin  # noqa: E402

_PREFIX = "/crew-dispatch/"
_STEPS = 7
_WORK_MS = 2_000
_LATE_S = 5.0
_LOSS_S = 2.6
_WATCH_S = 22.0
_CANCEL_S = standin.BOUNDS["cancel_ms"] / 1000
_CONTACT_S = standin.BOUNDS["contact_timeout_ms"] / 1000


class LostAnswers:
    """Lets the store perform the writes of one job late, without answers."""

    def __init__(self, system: standin.System, job_id: str) -> None:
        self._system = system
        self._job_id = job_id
        self._until = standin.now() + _LOSS_S
        self.lost = 0
        self.answered = 0
        self.last_performed = standin.now()
        system.store.choose_delay = self._choose_delay
        system.store.on_late = self._note

    def _choose_delay(self, call: dict) -> float | None:
        if standin.now() > self._until:
            return None
        keys = {item["key"] for item in call["puts"]}
        if self._job_id not in keys:
            self.answered += 1
            return None
        self.lost += 1
        self._system.record.write("store: a write of the job gets no answer")
        return _LATE_S

    def _note(self, call: dict, status: int) -> None:
        self.last_performed = standin.now()
        self._system.record.write(f"store: a late write ends with {status}")


async def case(system: standin.System, is_troubled: bool) -> int:
    """Runs the case; see `standin.run_case`."""
    routes = [
        {"name": "crew-dispatch", "path_prefix": _PREFIX, "service": "fieldops"}
    ]
    if not await system.start(routes, {"fieldops": 6}, 6):
        return 2
    first, second = system.nodes[:2]
    # A job before, so that the nodes know the queue.
    probe = standin.Job([{"count": 1, "cpu": 100, "estimated_ms": 50}], [50])
    reply = await system.submit(first, _PREFIX, standin.make_job_id(), probe)
    if reply.status != 200:
        return 2
    await asyncio.sleep(3.0)
    job_id = standin.make_job_id()
    losses = LostAnswers(system, job_id) if is_troubled else None
    steps = [
        {
            "count": 1,
            "cpu": 500,
            "requested_memory_mb": 256,
            "estimated_ms": _WORK_MS,
            **({"after": [number - 1]} if number else {}),
        }
        for number in range(_STEPS)
    ]
    job = standin.Job(steps, [_WORK_MS] * _STEPS)
    await system.submit(first, _PREFIX, job_id, job)
    # The client has given up and wants the job not to run.
    cancelled_at = None
    for _ in range(8):
        reply = await system.call(second, "DELETE", _PREFIX + job_id)
        if reply.status in (200, 410):
            cancelled_at = standin.now()
            break
        await asyncio.sleep(0.3)
    if cancelled_at is None:
        system.record.say("the cancelling was not acknowledged")
        return 2
    await asyncio.sleep(_WATCH_S)
    if losses is not None:
        system.record.say(
            f"writes while answers were lost: {losses.lost} without an answer, "
            f"{losses.answered} with one"
        )
    return _judge(system, job_id, cancelled_at, losses)


def _judge(
    system: standin.System,
    job_id: str,
    cancelled_at: float,
    losses: LostAnswers | None,
) -> int:
    """Returns 1 if work units start long after the acknowledged cancelling.

    Only starts count that are later than `cancel_ms` after the answer, and
    later than `contact_timeout_ms` after the store's last late write.
    """
    limit = cancelled_at + _CANCEL_S
    if losses is not None:
        limit = max(limit, losses.last_performed + _CONTACT_S)
    late = [
        f"{s.unit} {s.at - cancelled_at:.1f} s after the answer"
        for s in system.fleet.starts
        if s.unit.startswith(job_id) and s.at > limit
    ]
    if not late:
        return 0
    system.record.say(f"BROKEN: starts of a cancelled job: {late}")
    return 1


if __name__ == "__main__":
    standin.run_case(FOLDER, case)
