"""GANG: the members of a gang are started with different checkpoints."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import platform_standin as standin

HOST = "jobs.example"
JOB = "00000000000000c3"
MEMBERS = 4
WORK_S = 10.0
# An `alone` counts from this time after the machine is back from its upkeep.
CALM_S = 8.0


async def play(folder, trouble):
    system = standin.System(folder, nodes=3)
    events = system.cluster.events
    try:
        for _ in range(MEMBERS + 1):
            system.add_minion("desk")
        system.configure(
            [
                {
                    "name": "review",
                    "host": HOST,
                    "path_prefix": "/review/",
                    "service": "desk",
                    "priority": 0,
                    "max_attempts": 4,
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
        document = {
            "specification": "work",
            "steps": [
                {
                    "count": MEMBERS,
                    "cpu": 9000,
                    "requested_memory_mb": 1024,
                    "estimated_ms": int(WORK_S * 1000),
                    "gang": True,
                    "checkpointing": True,
                }
            ],
        }
        plan = standin.Plan(9000, WORK_S, gang=MEMBERS, saves=True)
        await system.submit(
            system.nodes[0], HOST, "/review/", document, JOB, [plan]
        )

        def list_runs():
            return [
                (minion, run)
                for minion in system.cluster.minions
                for run in minion.running.values()
            ]

        await system.wait_for(
            lambda: len(list_runs()) == MEMBERS, 20, "the gang runs"
        )
        await asyncio.sleep(2.5)
        back_s = standin.now()
        if trouble:
            machine = list_runs()[0][0].machine
            system.record.write("operator asks for the upkeep of", machine)
            system.store.put(
                "op",
                "wave/1",
                {
                    "wave": 1,
                    "machines": [machine],
                    "duration_s": 20,
                    "max_count": 1,
                },
            )
            await system.wait_for(
                lambda: any(kind == "joins" for _, kind, _, _ in events),
                40,
                "the machine is back from its upkeep",
            )
            back_s = standin.now()
        deadline = back_s + 40
        state = None
        while standin.now() < deadline and state != "completed":
            await asyncio.sleep(1)
            _, answer = await system.ask(
                system.nodes[0], "GET", HOST, "/review/" + JOB
            )
            state = (answer or {}).get("state")
        system.record.write("last state:", state)
        checkpoints = {}
        for _, kind, _, fields in events:
            if kind == "start":
                checkpoints.setdefault(fields["run"], set()).add(
                    fields["checkpoint"]
                )
        for number, found in checkpoints.items():
            system.record.write(
                "run", number, "was started with checkpoints", sorted(found)
            )
        alone = [
            (at_s - back_s, minion, fields)
            for at_s, kind, minion, fields in events
            if kind == "end"
            and fields["how"] == "alone"
            and at_s - back_s > CALM_S
        ]
        return [
            f"GANG: {fields['task']} run {fields['run']} ended alone on "
            f"{minion} {at_s:.1f} s after the upkeep; the members of this run "
            f"were started with the checkpoints "
            f"{sorted(checkpoints[fields['run']])}"
            for at_s, minion, fields in alone
        ]
    finally:
        system.close()


standin.run_case(__file__, play)
