"""Members of one run of a gang are started with different checkpoints."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standin_3 as standin

JOB = "5c0e7a21d94b36f8"
GANG = {"count": 3, "cpu": 9000, "requested_memory_mb": 1024,
        "estimated_ms": 12000, "real_ms": 12000, "checkpointing": True,
        "gang": True}


def judge(case):
    """Compares the checkpoints with which each run's members were started."""
    sent = {}
    for start in case.world.starts:
        job = start["unit"].partition(".")[0]
        if case.world.jobs[job]["steps"][0].get("gang"):
            key = start["unit"].rpartition(".")[0], start["run"]
            sent.setdefault(key, {})[start["unit"]] = start["checkpoint"]
    for (step, run), values in sorted(sent.items()):
        case.record("gang.checkpoints", step=step, run=run, values=values)
        if len(set(values.values())) > 1:
            case.broken = (
                f"UNASKED: the members of run {run} of gang {step} were "
                f"started with the checkpoints {sorted(set(values.values()))}"
            )


async def body(case):
    await case.start_platform()
    case.put_configuration({"files": "bid-desk"}, ["bid-desk"])
    for number in range(4):
        await case.add_minion(f"w{number}", "bid-desk", 10 + number, "r1-1")
    for number in (1, 2, 3):
        await case.start_node(number)
    await case.wait_ready((1, 2, 3))
    await asyncio.sleep(8)
    if await case.submit(1, "files", JOB, [GANG]) != 200:
        raise RuntimeError("the job wasn't accepted")
    # The gang has worked for three checkpoints and a tenth of a second.
    end = time.monotonic() + 15
    while not any(
        gang.works_since_ms and standin.now_ms() - gang.works_since_ms > 6100
        for gang in case.world.gangs.values()
    ):
        if time.monotonic() > end:
            raise RuntimeError("the gang didn't start to work")
        await asyncio.sleep(0.01)
    victim = None
    if case.trouble:
        for minion in case.world.minions.values():
            minion.step()
        victim = next(iter(
            run.minion for gang in case.world.gangs.values()
            for run in gang.members.values()))
        case.record("trouble.crash", minion=victim.id)
        victim.crash()
    end = time.monotonic() + 45
    state = None
    while time.monotonic() < end and state != "completed":
        if victim is not None and victim.is_dark and (
            time.monotonic() > end - 40
        ):
            victim.revive()
            victim.write_entry()
        await asyncio.sleep(0.5)
        _, answer = await case.ask(1, "files", JOB)
        state = answer.get("state")
    judge(case)
    if state != "completed":
        raise RuntimeError(f"the job's state is {state}")


standin.run_case(pathlib.Path(__file__).resolve().parent, body)
