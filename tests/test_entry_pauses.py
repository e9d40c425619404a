"""Tests of what an entry does after it was paused."""

import datetime
import unittest

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.entry import pause_guard
from fireflywell.fleet import vm_records
from fireflywell.membership import messages
from tests import entry_helpers
from tests import entry_system

name_outcome = entry_system.name_outcome
PAUSE = datetime.timedelta(seconds=3)


class PausableClock(clock_lib.SystemClock):
    """A system clock that jumps as if the process had been paused."""

    def __init__(self) -> None:
        self.jump = datetime.timedelta()

    def monotonic(self) -> datetime.timedelta:
        """Returns the time with all jumps."""
        return super().monotonic() + self.jump


class PauseGuardTest(unittest.IsolatedAsyncioTestCase):
    """Decisions of the guard."""

    def setUp(self) -> None:
        """Makes a guard whose store is up."""
        self.clock = clock_lib.ManualClock()
        self.links = entry_helpers.FakeNetwork().connect("a:1", "1" * 32)
        self.error: errors.PlatformError | None = None
        self.reads = 0
        self.guard = pause_guard.PauseGuard(
            self._refresh, self.links, self.clock
        )

    async def _refresh(self) -> None:
        self.reads += 1
        if self.error is not None:
            raise self.error

    async def test_gap_is_noticed_before_the_next_tick(self) -> None:
        """Fails if a send right after a pause relies on the old view."""
        self.clock.advance(datetime.timedelta(seconds=2))
        self.assertFalse(self.guard.is_stale)
        self.clock.advance(datetime.timedelta(milliseconds=1))
        self.assertTrue(self.guard.is_stale)
        await self.guard.ensure_fresh()
        self.assertEqual(self.reads, 1)
        self.assertFalse(self.guard.is_stale)

    async def test_pause_during_the_refresh(self) -> None:
        """Fails if a view read before a second pause counts as current."""

        async def refresh() -> None:
            self.reads += 1
            if self.reads == 1:
                self.clock.advance(PAUSE)

        guard = pause_guard.PauseGuard(refresh, self.links, self.clock)
        self.clock.advance(PAUSE)
        await guard.ensure_fresh()
        self.assertEqual(self.reads, 2)

    async def test_peers_confirm_while_the_store_is_down(self) -> None:
        """Fails if nothing is sent in an outage, or too early."""
        self.error = errors.PlatformUnavailableError("down")
        peers = tuple(
            entry_helpers.make_peer(f"p{n}:1", f"{n:032x}", 0) for n in range(3)
        )
        self.links.peers = peers
        heartbeat = messages.Heartbeat(1, 1, "", True, False)
        self.clock.advance(PAUSE)
        done = False

        async def confirm() -> None:
            nonlocal done
            await self.guard.ensure_fresh()
            done = True

        async def tick() -> None:
            for _ in range(3):
                await anyio.sleep(0)
            self.clock.advance(datetime.timedelta(milliseconds=100))
            for _ in range(3):
                await anyio.sleep(0)

        async with anyio.create_task_group() as group:
            group.start_soon(self.guard.run)
            group.start_soon(confirm)
            # Messages sent before the pause may arrive right after it.
            for peer in peers:
                self.links.message_handlers[0](peer, heartbeat)
            for _ in range(14):
                await tick()
            self.links.message_handlers[0](peers[0], heartbeat)
            await tick()
            self.assertFalse(done)
            self.links.message_handlers[0](peers[1], heartbeat)
            await tick()
            self.assertTrue(done)
            group.cancel_scope.cancel()


class PausedEntryTest(unittest.IsolatedAsyncioTestCase):
    """A paused entry and a drain decision that it missed."""

    async def test_missed_drain_is_read_before_the_next_send(self) -> None:
        """Fails if a leaving instance gets new work after a pause."""
        system = entry_system.System(2)
        clock = PausableClock()
        reads = []

        async def refresh() -> None:
            reads.append(1)
            drained = vm_records.VmRecord(
                "vm2", "quotes", vm_records.VmPhase.DRAINING, "move1"
            )
            system.view.set_assignment(drained)

        links = entry_helpers.FakeNetwork().connect("a:1", "1" * 32)
        guard = pause_guard.PauseGuard(refresh, links, clock)
        system.add_entry(guard=guard, clock=clock)
        async with system.run(), anyio.create_task_group() as group:
            group.start_soon(guard.run)
            clock.jump = PAUSE
            for _ in range(4):
                key = await system.get_key()
                response = await system.call(idempotency_key=key)
                self.assertEqual(name_outcome(response), "answered")
            group.cancel_scope.cancel()
        self.assertEqual(len(reads), 1)
        self.assertEqual(system.instances[1].run_count, 0)

    async def test_pause_while_connecting(self) -> None:
        """Fails if a pause between choice and first byte isn't noticed."""
        system = entry_system.System(1)
        clock = PausableClock()
        reads = []

        async def refresh() -> None:
            reads.append(system.instances[0].run_count)

        links = entry_helpers.FakeNetwork().connect("a:1", "1" * 32)
        guard = pause_guard.PauseGuard(refresh, links, clock)
        entry = system.add_entry(guard=guard, clock=clock)
        async with system.run():
            (held,) = entry.instances.list_service("quotes")
            exchange = held.client._make_headers

            def pause_once(*arguments: object) -> object:
                if not reads:
                    clock.jump = PAUSE
                return exchange(*arguments)

            type(held.client)._make_headers = pause_once_method(pause_once)
            try:
                async with anyio.create_task_group() as group:
                    group.start_soon(guard.run)
                    key = await system.get_key()
                    response = await system.call(idempotency_key=key)
                    group.cancel_scope.cancel()
            finally:
                type(held.client)._make_headers = exchange.__func__
        self.assertEqual(name_outcome(response), "answered")
        self.assertEqual(reads, [0])
        self.assertEqual(system.runs, 1)


def pause_once_method(function):
    """Returns a method that drops its instance."""

    def method(_, *arguments):
        return function(*arguments)

    return method
