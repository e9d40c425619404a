"""LOST: beside slow advice, one machine that owns all services starts nothing."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import platform_standin as standin

HOST = "jobs.example"
SERVICES = ("bid", "perf", "advance", "claims", "report")
MINIONS = 6
ADVICE = {"decision_ms": 600, "per_item_ms": 20, "validity_ms": 3000}
WORK_S = 0.5
ROUNDS = 5


async def play(folder, trouble):
    system = standin.System(folder, nodes=3)
    events = system.cluster.events
    try:
        for service in SERVICES:
            for _ in range(MINIONS):
                system.add_minion(service)
        system.cluster.advice = standin.Advice(
            system.cluster, system.record, **ADVICE
        )
        system.configure(
            [
                {
                    "name": f"q-{service}",
                    "host": HOST,
                    "path_prefix": f"/{service}/",
                    "service": service,
                    "priority": 1,
                    "max_attempts": 2,
                    "stretch_factor": 1.6,
                    "target_latency_ms": 600,
                    "timeout_ms": 3000,
                    "kind": "unsafe",
                    "advice": ADVICE,
                }
                for service in SERVICES
            ],
            [
                {
                    "name": service,
                    "enforces_capacity": True,
                    "spare": False,
                    "max_connections": 64,
                }
                for service in SERVICES
            ],
        )
        await system.start()
        await asyncio.sleep(6)
        survivor = system.nodes[0]
        if trouble:
            for node in system.nodes[1:]:
                node.kill()
        # Services are taken over, and the bound of recovery passes.
        await asyncio.sleep(standin.BOUNDS["recovery_s"])
        document = {
            "specification": "work",
            "steps": [
                {
                    "count": 2,
                    "cpu": 900,
                    "requested_memory_mb": 512,
                    "estimated_ms": int(WORK_S * 1000),
                }
            ],
        }
        accepted = {}
        for number in range(ROUNDS):
            for position, service in enumerate(SERVICES):
                job = f"{number:08x}{position:08x}"
                status, _ = await system.submit(
                    survivor,
                    HOST,
                    f"/{service}/",
                    document,
                    job,
                    [standin.Plan(900, WORK_S)],
                )
                if status == 200:
                    accepted[job] = service
            await asyncio.sleep(1)
        if len(accepted) < ROUNDS * len(SERVICES):
            raise standin.CannotRun("not all jobs were accepted")
        # `finish_s` after the end of the traffic jobs are asked for.
        await asyncio.sleep(standin.BOUNDS["finish_s"])
        looked_s = standin.now()
        await asyncio.sleep(3)
        lost = []
        for job, service in accepted.items():
            _, answer = await system.ask(
                survivor, "GET", HOST, f"/{service}/{job}"
            )
            state = (answer or {}).get("state")
            starts = [
                at_s
                for at_s, kind, _, fields in events
                if kind == "start" and fields["task"].startswith(job)
            ]
            if state != "completed" and not starts:
                lost.append(
                    f"LOST: job {job} of {service} is {state}; nothing of it "
                    f"ran in the 3 s from {standin.BOUNDS['finish_s']} s after "
                    "the end of the traffic, nor before"
                )
        busy = sum(minion.used_cpu() for minion in system.cluster.minions)
        system.record.write(
            "cpu in use at the end:",
            busy,
            "started runs:",
            sum(kind == "start" for _, kind, _, _ in events),
            "looked at",
            f"{looked_s:.1f}",
        )
        return lost
    finally:
        system.close()


standin.run_case(__file__, play)
