"""Measures what non-idempotent work is kept while the store is down.

Runs one entry in process with an in-memory table and a stand-in endpoint on
loopback. Sends the same number of requests with recorded and with bound keys
before and during an outage, and prints the share that was answered and the
store's writes for each request.

Usage: PYTHONPATH=src python bench/outage.py [--requests N]
"""

from collections.abc import Callable
import dataclasses
import random

import anyio
import click
import passthrough

from fireflywell import clock as clock_lib
from fireflywell.entry import assembly
from fireflywell.requests import classification
from fireflywell.requests import idempotency
from fireflywell.requests import outcomes
from fireflywell.standins import endpoint
from fireflywell.standins import endpoint_server
from fireflywell.standins import table_store

HOST = passthrough.HOST
CALLERS = 8

MakeKey = Callable[[int], idempotency.IdempotencyKey]


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """Outcomes of one phase."""

    answered: int
    sent: int
    writes: int


async def run_phase(
    parts: assembly.EntryParts,
    table: table_store.MemoryTable,
    make_key: MakeKey,
    count: int,
) -> Phase:
    """Sends requests by a few callers at once, then copies results."""
    before = table.writes
    answered = 0
    clock = clock_lib.SystemClock()

    async def send_some(numbers: range) -> None:
        nonlocal answered
        for number in numbers:
            incoming = classification.IncomingRequest(
                request_id=f"request{number}-{id(numbers)}",
                service="quotes",
                method="POST",
                target="/post",
                headers=(),
                body=b"x" * 100,
                key=make_key(number),
                received_at=clock.monotonic(),
            )
            result = await parts.dispatcher.dispatch(
                incoming, anyio.sleep_forever
            )
            answered += isinstance(result, outcomes.Answered)

    async with anyio.create_task_group() as group:
        for caller in range(CALLERS):
            group.start_soon(send_some, range(caller, count, CALLERS))
    return Phase(answered, count, table.writes - before)


async def measure(name: str, recorded: bool, count: int) -> None:
    """Prints the phases for one kind of key."""
    clock = clock_lib.SystemClock()
    table = table_store.MemoryTable()
    parts = passthrough.make_entry(clock, 8, table)
    prefix = random.Random(1).getrandbits(32)

    def make_keys(phase: str) -> MakeKey:
        if recorded:
            return lambda n: idempotency.RecordedKey(f"{prefix}-{phase}-{n}")
        keys = parts.ledger.issue(count)
        return lambda n: keys[n]

    up = await run_phase(parts, table, make_keys("up"), count)
    before = table.writes
    while await parts.copier.copy_once():
        pass
    copies = table.writes - before
    table.set_down(True)
    down = await run_phase(parts, table, make_keys("down"), count)
    table.set_down(False)
    print(
        f"{name}: store up {up.answered}/{up.sent} answered, "
        f"{(up.writes + copies) / up.sent:.3f} writes for each request "
        f"({up.writes / up.sent:.3f} in its path); store down "
        f"{down.answered}/{down.sent} answered"
    )
    await parts.instances.close()


async def run(count: int) -> None:
    """Measures both kinds of keys."""
    clock = clock_lib.SystemClock()
    application = endpoint.EndpointApplication("quotes@vm1", clock)
    server = endpoint_server.EndpointServer(
        application, HOST, passthrough.ENDPOINT_PORT, clock, random.Random(1)
    )
    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        await passthrough.wait_until_up(passthrough.ENDPOINT_PORT)
        await measure("recorded keys", True, count)
        await measure("bound keys", False, count)
        group.cancel_scope.cancel()


@click.command()
@click.option("--requests", "count", default=1_000, show_default=True)
def main(count: int) -> None:
    """Prints what is kept in an outage, for both kinds of keys."""
    anyio.run(run, count)


if __name__ == "__main__":
    main()
