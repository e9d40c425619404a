"""Waiting jobs aren't counted after starts that no minion began."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standin_3 as standin

DARK_S = 7.2
JOBS = 40
STEP = {"count": 1, "cpu": 1000, "requested_memory_mb": 256,
        "estimated_ms": 900}


async def body(case):
    await case.start_platform()
    case.put_configuration({"quotes": "bid-desk"}, ["bid-desk"])
    for number in range(6):
        rack = "r1-1" if number < 4 else "r1-2"
        await case.add_minion(f"w{number}", "bid-desk", 10 + number, rack)
    for number in (1, 2, 3):
        await case.start_node(number)
    await case.wait_ready((1, 2, 3))
    await asyncio.sleep(8)
    # A first job shows that the system runs work.
    await case.submit(1, "quotes", "00000000000000aa", [STEP])
    await asyncio.sleep(4)
    _, answer = await case.ask(1, "quotes", "00000000000000aa")
    if answer.get("state") != "completed":
        raise RuntimeError("the first job didn't run")
    minions = [m for m in case.world.minions.values() if m.rack == "r1-1"]
    if case.trouble:
        case.record("trouble.rack_dark", minions=len(minions))
        for minion in minions:
            minion.crash()
    crashed = time.monotonic()
    accepted = {}
    worst = 0
    for number in range(JOBS):
        job_id = f"{number + 1:016x}"
        status = await case.submit(1 + number % 3, "quotes", job_id, [STEP])
        if status == 200:
            accepted[job_id] = time.monotonic()
        await asyncio.sleep(0.02)
    while time.monotonic() - crashed < DARK_S - 0.2:
        asked = time.monotonic()
        begun = {s["unit"].partition(".")[0] for s in case.world.starts}
        waiting = [
            j for j, at in accepted.items()
            if j not in begun and asked - at > standin.VISIBLE_MS / 1000 + 2
        ]
        for node in (1, 2, 3):
            status, answer = await standin.call(
                case.front(node), "GET", "/quotes/")
            case.record("client.waiting", node=node, status=status,
                        answer=answer, due=len(waiting))
            is_broken = status == 200 and answer["waiting"] * 2 < len(waiting)
            if is_broken and len(waiting) > worst:
                worst = len(waiting)
                case.broken = (
                    f"MIXED: node {node} gave waiting={answer['waiting']}, and "
                    f"{len(waiting)} accepted jobs of more than 5 s ago "
                    "haven't begun")
        await asyncio.sleep(0.25)
    for minion in minions:
        if minion.is_dark:
            minion.revive()
            minion.write_entry()
    await asyncio.sleep(8)
    states = [
        (await case.ask(1, "quotes", j))[1].get("state") for j in accepted
    ]
    case.record("states", states=states)


standin.run_case(pathlib.Path(__file__).resolve().parent, body)
