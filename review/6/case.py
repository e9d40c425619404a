"""LOST: some jobs of many steps keep the owner of their service from working."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import platform_standin as standin

HOST = "jobs.example"
QUEUES = ("post", "review")
LARGE_JOBS = 6
STEPS = 800
TRAFFIC_S = 40


async def play(folder, trouble):
    system = standin.System(folder, nodes=3)
    minions = system.cluster.minions
    try:
        for queue in QUEUES:
            for _ in range(6):
                system.add_minion(queue)
        system.configure(
            [
                {
                    "name": queue,
                    "host": HOST,
                    "path_prefix": f"/{queue}/",
                    "service": queue,
                    "priority": 1,
                    "max_attempts": 2,
                    "stretch_factor": 1.6,
                    "target_latency_ms": 600,
                    "timeout_ms": 3000,
                    "kind": "unsafe",
                }
                for queue in QUEUES
            ],
            [
                {
                    "name": queue,
                    "enforces_capacity": True,
                    "spare": False,
                    "max_connections": 64,
                }
                for queue in QUEUES
            ],
        )
        await system.start()
        await asyncio.sleep(4)
        step = {"count": 1, "cpu": 500, "requested_memory_mb": 64}
        plan = standin.Plan(500, 0.5)
        if trouble:
            for number in range(LARGE_JOBS):
                await system.submit(
                    system.nodes[0],
                    HOST,
                    "/post/",
                    {"specification": "large", "steps": [step] * STEPS},
                    f"{number:016x}",
                    [plan] * STEPS,
                )
        end = standin.now() + TRAFFIC_S
        accepted = {}
        while standin.now() < end:
            for queue in QUEUES:
                job = f"{1000 + len(accepted):016x}"
                status, _ = await system.submit(
                    system.nodes[len(accepted) % 3],
                    HOST,
                    f"/{queue}/",
                    {"specification": "work", "steps": [step]},
                    job,
                    [plan],
                    tries=4,
                )
                if status == 200:
                    accepted[job] = queue
            await asyncio.sleep(1)
        await asyncio.sleep(standin.BOUNDS["finish_s"])
        # For 3 s: what runs, and how much of the service's capacity is in use.
        most_used = 0.0
        running = set()
        until = standin.now() + 3
        while standin.now() < until:
            pool = [m for m in minions if m.service == "post"]
            used = sum(m.used_cpu() for m in pool) / sum(m.cpu for m in pool)
            most_used = max(most_used, used)
            running.update(
                task.partition(".")[0] for m in pool for task, _ in m.running
            )
            await asyncio.sleep(0.05)
        begun = {
            fields["task"].partition(".")[0]
            for _, kind, _, fields in system.cluster.events
            if kind == "start"
        }
        waiting = [
            job
            for job, queue in accepted.items()
            if queue == "post" and job not in begun | running
        ]
        events = [(n.name, e) for n in system.nodes for e in n.read_events()]
        claims = [
            name
            for name, e in events
            if e.get("message_type") == "ownership.claimed"
            and e.get("service") == "post"
        ]
        system.record.write(
            "accepted:",
            len(accepted),
            "of post never started:",
            len(waiting),
            "most of the service's capacity in use:",
            f"{most_used:.2f}",
            "claims of the service:",
            len(claims),
        )
        if most_used >= 0.5:
            return []
        return [
            f"LOST: job {job} has nothing running for 3 s, "
            f"{standin.BOUNDS['finish_s']} s after the end of the traffic; "
            f"at most {100 * most_used:.0f}% of the capacity were in use"
            for job in waiting
        ]
    finally:
        system.close()


standin.run_case(__file__, play)
