"""DRAIN: starts to a minion go on long after it has said that it leaves."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import platform_standin as standin

HOST = "jobs.example"
MINIONS = 6
# Limits of the trouble `applied_late`.
SHARE = 0.5
LATE_S = (2.0, 12.0)
LASTS_S = 5.5
# A minion serves for `drain_timeout_ms` and, at times, many seconds more.
STAYS_S = 4.5
ROUNDS = 12


async def play(folder, trouble):
    system = standin.System(folder, nodes=3)
    events = system.cluster.events
    luck = random.Random()
    try:
        for _ in range(MINIONS):
            system.add_minion("desk")
        system.configure(
            [
                {
                    "name": "quote",
                    "host": HOST,
                    "path_prefix": "/quote/",
                    "service": "desk",
                    "priority": 0,
                    "max_attempts": 2,
                    "stretch_factor": 1.6,
                    "target_latency_ms": 600,
                    "timeout_ms": 3000,
                    "kind": "unsafe",
                }
            ],
            [
                {
                    "name": "desk",
                    "enforces_capacity": True,
                    "spare": False,
                    "max_connections": 64,
                }
            ],
        )
        await system.start()
        await asyncio.sleep(4)
        found = []
        for number in range(ROUNDS):
            minion = system.cluster.minions[number % MINIONS]

            def delay(path, document, until=standin.now() + LASTS_S):
                is_order = path in ("/run-start", "/run-stop", "/pace")
                if is_order and standin.now() < until and luck.random() < SHARE:
                    return luck.uniform(*LATE_S)
                return None

            if trouble:
                for other in system.cluster.minions:
                    other.delay = delay
            document = {
                "specification": "work",
                "steps": [
                    {
                        "count": 60,
                        "cpu": 1000,
                        "requested_memory_mb": 256,
                        "estimated_ms": 800,
                    }
                ],
            }
            job = f"{number:016x}"
            await system.submit(
                system.nodes[0],
                HOST,
                "/quote/",
                document,
                job,
                [standin.Plan(1000, 0.8)],
            )
            await system.wait_for(
                lambda: any(
                    at_s > 0
                    and kind in ("start", "leaves unanswered")
                    and fields["task"].startswith(job)
                    and name == minion.id
                    for at_s, kind, name, fields in events
                ),
                10,
                "orders arrive at the minion",
            )
            # Planned: it leaves. The store acknowledges that at once.
            minion.state = "draining"
            minion.list_entry()
            acked_s = standin.now()
            system.record.write("minion", minion.id, "says that it drains")
            await asyncio.sleep(STAYS_S)
            bound_s = acked_s + standin.BOUNDS["drain_timeout_ms"] / 1000
            found += [
                f"DRAIN: {name} was told to start {fields['task']} run "
                f"{fields['run']} and began it at once, {at_s - acked_s:.2f} s "
                "after the ack of its draining"
                for at_s, kind, name, fields in events
                if kind == "start"
                and name == minion.id
                and at_s > bound_s
                and not fields["is_late"]
            ]
            minion.end_life()
            minion.begin_life()
        return found
    finally:
        system.close()


standin.run_case(__file__, play)
