"""FAULT: some scheduled jobs take more memory than a machine has."""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import platform_standin as standin

HOST = "jobs.example"
QUEUES = ("post", "review")
# Each minute for 30 days.
OCCURRENCES = 30 * 24 * 60
INTERVAL_MS = 60_000
LARGE_JOBS = 8
MEMORY_MB = 300
RESTART_S = 0.5
PLAY_S = 75
ENDS = 3


def read_memory_mb(process):
    """Returns the resident memory of a process of this script."""
    try:
        text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0


async def watch_memory(system, ends):
    """Kills processes over the limit and starts them again, as the platform."""
    while True:
        await asyncio.sleep(0.1)
        for node in system.nodes:
            used_mb = read_memory_mb(node.process)
            if used_mb <= MEMORY_MB:
                continue
            system.record.write(
                "platform:", node.name, "uses", int(used_mb), "MB of", MEMORY_MB
            )
            node.kill()
            ends[node.name] += 1
            asyncio.get_running_loop().call_later(RESTART_S, node.start)


async def play(folder, trouble):
    system = standin.System(folder, nodes=3)
    ends = collections.Counter()
    watcher = None
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
        watcher = asyncio.ensure_future(watch_memory(system, ends))
        await asyncio.sleep(4)
        step = {
            "count": 1,
            "cpu": 500,
            "requested_memory_mb": 256,
            "estimated_ms": 500,
        }
        if trouble:
            for number in range(LARGE_JOBS * len(QUEUES)):
                document = {
                    "specification": "each minute for a month",
                    "steps": [step],
                    "repetitions": OCCURRENCES,
                    "first_run_ms": int(time.time() * 1000) + INTERVAL_MS,
                    "interval_ms": INTERVAL_MS,
                }
                await system.submit(
                    system.nodes[0],
                    HOST,
                    f"/{QUEUES[number % len(QUEUES)]}/",
                    document,
                    f"{number:016x}",
                    [standin.Plan(500, 0.5)],
                )
        deadline = standin.now() + PLAY_S
        accepted = []
        while standin.now() < deadline:
            job = f"{1000 + len(accepted):016x}"
            status, _ = await system.submit(
                system.nodes[0],
                HOST,
                f"/{QUEUES[len(accepted) % len(QUEUES)]}/",
                {"specification": "work", "steps": [step]},
                job,
                [standin.Plan(500, 0.5)],
                tries=4,
            )
            accepted.append((job, status))
            await asyncio.sleep(2)
        started = {
            fields["task"].partition(".")[0]
            for _, kind, _, fields in system.cluster.events
            if kind == "start"
        }
        waiting = [
            job
            for job, status in accepted
            if status == 200 and job not in started
        ]
        system.record.write(
            "ends by memory:",
            dict(ends),
            "accepted jobs:",
            len(accepted),
            "never started:",
            len(waiting),
        )
        often = [name for name, count in ends.items() if count >= ENDS]
        if len(often) < 2:
            return []
        return [
            f"FAULT: the process on {name} ended {ends[name]} times in "
            f"{PLAY_S} s, each time because it used over {MEMORY_MB} MB; "
            f"{len(waiting)} accepted jobs never started"
            for name in often
        ]
    finally:
        if watcher is not None:
            watcher.cancel()
        await asyncio.sleep(RESTART_S + 0.1)
        system.close()


standin.run_case(__file__, play)
