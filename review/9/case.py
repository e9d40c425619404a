"""LIMIT: a new owner doesn't count runs that are being stopped."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import platform_standin as standin

HOST = "jobs.example"
LONG = "00000000000000a1"
NEXT = "00000000000000b2"
CPU = 16000


async def play(folder, trouble):
    system = standin.System(folder, nodes=3)
    try:
        for _ in range(3):
            system.add_minion("desk", guards=False, stop_s=0.6, cpu=CPU)
        system.configure(
            [
                {
                    "name": "issue",
                    "host": HOST,
                    "path_prefix": "/issue/",
                    "service": "desk",
                    "priority": 1,
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
                    "enforces_capacity": False,
                    "spare": False,
                    "max_connections": 64,
                }
            ],
        )
        await system.start()
        await asyncio.sleep(4)
        client = system.nodes[0]

        def make_job(count, work_s):
            return {
                "specification": "work",
                "steps": [
                    {
                        "count": count,
                        "cpu": 4000,
                        "requested_memory_mb": 256,
                        "estimated_ms": int(work_s * 1000),
                    }
                ],
            }

        def count_runs(job):
            return sum(
                task.startswith(job)
                for minion in system.cluster.minions
                for task, _ in minion.running
            )

        # A job that fills the pool, and one that waits behind it.
        await system.submit(
            client,
            HOST,
            "/issue/",
            make_job(12, 60),
            LONG,
            [standin.Plan(4000, 60)],
        )
        await system.wait_for(
            lambda: count_runs(LONG) == 12, 20, "the pool is full"
        )
        await system.submit(
            client,
            HOST,
            "/issue/",
            make_job(12, 2),
            NEXT,
            [standin.Plan(4000, 2)],
        )
        await asyncio.sleep(2)
        owner = system.find_owner("desk")
        if owner is None:
            raise standin.CannotRun("no node owns the service")
        others = [node for node in system.nodes if node is not owner]
        if trouble:
            owner.kill()
        # The client cancels the first job.
        status, _ = await system.ask(
            others[0], "DELETE", HOST, "/issue/" + LONG
        )
        if status != 200:
            raise standin.CannotRun("the cancellation wasn't acknowledged")
        if trouble:
            await asyncio.sleep(3)
            owner.start()
        await system.wait_for(
            lambda: any(
                kind == "end"
                and fields["task"].startswith(NEXT)
                and fields["how"] == "done"
                for _, kind, _, fields in system.cluster.events
            ),
            40,
            "the second job runs",
        )
        await asyncio.sleep(6)
        return [
            f"LIMIT: {minion} has {fields['used_cpu']} of {CPU} thousandths of "
            f"a core in use after the start of {fields['task']}, "
            f"{fields['of_which_stopping']} of them being stopped"
            for _, kind, minion, fields in system.cluster.events
            if kind == "start" and fields["used_cpu"] > CPU
        ]
    finally:
        system.close()


standin.run_case(__file__, play)
