"""Requests through entries to instances that misbehave."""

import unittest
from unittest import mock

import anyio

from fireflywell.entry import application
from fireflywell.entry import assembly
from fireflywell.entry import homes
from fireflywell.entry import request_limiter
from tests import entry_helpers
from tests import entry_system

name_outcome = entry_system.name_outcome


class NoHomes(homes.SingleEntryHomes):
    """An entry that is the home of nothing."""

    def is_home(self, instance_id: str) -> bool:
        """Returns False."""
        del instance_id
        return False


class EntryRequestsTest(unittest.IsolatedAsyncioTestCase):
    """Promises to callers, each provoked."""

    async def test_broken_exchanges_are_unknown_and_not_repeated(self) -> None:
        """Fails if a broken response passes as one, or a request runs twice."""
        system = entry_system.System(2)
        system.add_entry()
        async with system.run():
            for _ in range(60):  # Saves up retries, which must not be used.
                await system.call(method="GET", body=b"")
            for kind in ("truncate", "crossed", "oversized", "reset", "silent"):
                key = await system.get_key()
                before = system.runs
                for _ in range(2):
                    response = await system.call(
                        idempotency_key=key,
                        x_misbehave=kind,
                        fireflywell_deadline_ms="500",
                    )
                    self.assertEqual(name_outcome(response), "unknown", kind)
                self.assertEqual(system.runs, before + 1, kind)

    async def test_refused_connection_is_final(self) -> None:
        """Fails if a request said not to have run is run by a duplicate."""
        system = entry_system.System(1)
        system.add_entry()
        system.instances[0].go_away()
        async with system.run():
            key = await system.get_key()
            for _ in range(2):
                response = await system.call(idempotency_key=key)
                self.assertEqual(name_outcome(response), "refused")
                system.instances[0].come_back()
                await anyio.sleep(0.05)
            self.assertEqual(system.runs, 0)
            other = await system.call(idempotency_key=await system.get_key())
            self.assertEqual(name_outcome(other), "answered")

    async def test_duplicates_at_once_through_two_entries(self) -> None:
        """Fails if duplicates don't share the one run and its response."""
        system = entry_system.System(1)
        system.add_entry()
        system.add_entry()
        responses = []
        async with system.run():
            for key in (await system.get_key(), "order-1"):

                async def send(entry: int, key: str = key) -> None:
                    response = await system.call(
                        entry, idempotency_key=key, x_work_seconds="0.2"
                    )
                    responses.append((key, response))

                async with anyio.create_task_group() as group:
                    for entry in (0, 1, 0, 1):
                        group.start_soon(send, entry)
            self.assertEqual(system.runs, 2)
            again = await system.call(1, idempotency_key="order-1")
            self.assertEqual(name_outcome(again), "answered")
        bound = [item for key, item in responses if key != "order-1"]
        self.assertEqual({name_outcome(item) for item in bound}, {"answered"})
        self.assertEqual(len({item.content for item in bound}), 1)
        recorded = [name_outcome(i) for k, i in responses if k == "order-1"]
        self.assertNotIn("refused", recorded)
        self.assertIn("answered", recorded)

    async def test_bad_requests_are_refused_and_not_run(self) -> None:
        """Fails if a malformed request runs or gets an unclear answer."""
        system = entry_system.System(1)
        system.add_entry()
        async with system.run():
            used = await system.get_key()
            await system.call(idempotency_key=used)
            forged = used.replace("/0/", "/1/")
            big = b"x" * (1024 * 1024 + 1)
            for status, options in (
                (400, {}),
                (400, {"idempotency_key": forged}),
                (409, {"idempotency_key": used, "body": b"another"}),
                (400, {"method": "GET", "fireflywell_class": "x"}),
                (400, {"method": "GET", "fireflywell_team": "x"}),
                (400, {"method": "GET", "fireflywell_deadline_ms": "-1"}),
                (404, {"method": "GET", "path": "/nothing"}),
                (400, {"path": "/fireflywell/keys?count=0"}),
                (400, {"path": "/fireflywell/keys?count=99999999999"}),
                (405, {"path": "/fireflywell/keys", "method": "GET"}),
                (413, {"method": "GET", "body": big}),
            ):
                response = await system.call(**options)
                shown = str(options)[:80]
                self.assertEqual(response.status, status, shown)
                self.assertEqual(name_outcome(response), "refused", shown)
                self.assertGreater(len(response.content), 10, shown)
            response = await system.call(method="GET", x="y" * 40_000)
            self.assertEqual(response.status, 431)
            self.assertEqual(system.runs, 1)

    async def test_recorded_key_is_never_refused_without_a_record(self) -> None:
        """Fails if `refused` is said while another delivery may have run."""
        system = entry_system.System(1)
        system.add_entry()
        async with system.run():
            response = await system.call(
                idempotency_key="order-1", fireflywell_class="x"
            )
            self.assertEqual(response.status, 400)
            self.assertEqual(name_outcome(response), "unknown")
            system.table.set_down(True)
            response = await system.call(idempotency_key="order-2")
            self.assertEqual(name_outcome(response), "unknown")
            self.assertIn(b"not run by this attempt", response.content)
            system.table.set_down(False)
            self.assertEqual(system.runs, 0)
            response = await system.call(idempotency_key="order-2")
            self.assertEqual(name_outcome(response), "answered")

    async def test_lost_store_answers_run_once(self) -> None:
        """Fails if a lost answer makes a request run twice or not at all."""
        system = entry_system.System(1)
        system.add_entry()
        async with system.run():
            system.table.lose_answers(1)
            for _ in range(2):
                response = await system.call(idempotency_key="order-1")
                self.assertEqual(name_outcome(response), "answered")
            self.assertEqual(system.runs, 1)

    async def test_slow_body_and_full_entry(self) -> None:
        """Fails if a slow or surplus request holds memory without bound."""
        system = entry_system.System(1)
        entry = system.add_entry()
        async with system.run():
            timeout = application.datetime.timedelta(milliseconds=50)
            with mock.patch.object(application, "BODY_TIMEOUT", timeout):
                port = entry_system.FIRST_ENTRY_PORT
                stream = await anyio.connect_tcp("127.0.0.1", port)
                async with stream:
                    await stream.send(
                        b"GET /quotes/a HTTP/1.1\r\nhost: a\r\n"
                        b"content-length: 10\r\n\r\nabc"
                    )
                    head = await stream.receive()
            self.assertTrue(head.startswith(b"HTTP/1.1 408"), head)
            entry.application._limiter = request_limiter.RequestLimiter(0, 0)
            key = await system.get_key()
            response = await system.call(idempotency_key=key)
            self.assertEqual(response.status, 503)
            self.assertEqual(name_outcome(response), "refused")
            entry.application._limiter = request_limiter.RequestLimiter()
            response = await system.call(idempotency_key=key)
            self.assertEqual(name_outcome(response), "refused")
            response = await system.call(idempotency_key="order-1")
            self.assertEqual(name_outcome(response), "answered")
            self.assertEqual(system.runs, 1)

    async def test_vanished_callers(self) -> None:
        """Fails if leaving stops a run, or a queued request still runs."""
        system = entry_system.System(1, slots=1)
        entry = system.add_entry()
        async with system.run():
            running, queued = await system.get_key(), await system.get_key()

            async def send(key: str) -> None:
                await system.call(idempotency_key=key, x_work_seconds="0.3")

            async with anyio.create_task_group() as group:
                group.start_soon(send, running)
                while not entry.ledger.running:
                    await anyio.sleep(0.01)
                group.start_soon(send, queued)
                while entry.ledger.running < 2:
                    await anyio.sleep(0.01)
                group.cancel_scope.cancel()
            while entry.ledger.running:
                await anyio.sleep(0.01)
            self.assertEqual(system.runs, 1)
            response = await system.call(idempotency_key=running)
            self.assertEqual(name_outcome(response), "answered")
            self.assertEqual(system.runs, 1)
            # Nobody was told an outcome, so the key is unused again.
            response = await system.call(idempotency_key=queued)
            self.assertEqual(name_outcome(response), "answered")

    async def test_slots_and_connections_are_never_exceeded(self) -> None:
        """Fails if an instance gets more than its slots or connections."""
        for connections in (2, 64):
            with self.subTest(connections=connections):
                await self._fill_slots(connections)

    async def _fill_slots(self, connections: int) -> None:
        system = entry_system.System(2, slots=2, connections=connections)
        system.add_entry()
        async with system.run():
            outcomes: list[str] = []

            async def send() -> None:
                response = await system.call(
                    method="GET", body=b"", x_work_seconds="0.01"
                )
                outcomes.append(name_outcome(response))

            async with anyio.create_task_group() as group:
                for _ in range(40):
                    group.start_soon(send)
            self.assertEqual(outcomes, ["answered"] * 40)
            for item in system.instances:
                self.assertLessEqual(item.highest_in_progress, 2)
                self.assertLessEqual(item.highest_open_connections, 2)

    async def test_only_the_home_sends(self) -> None:
        """Fails if another entry sends, or a full home isn't waited for."""
        system = entry_system.System(1, slots=1)
        system.add_entry()
        outsider = system.add_entry(homes=NoHomes())
        peer = entry_helpers.make_peer("10.0.0.1:1", f"{1:032x}", 1)
        system.network.links["10.0.0.2:1"].peers = (peer,)
        async with system.run():
            outcomes: list[str] = []

            async def send(entry: int) -> None:
                key = await system.get_key(entry)
                response = await system.call(
                    entry, idempotency_key=key, x_work_seconds="0.05"
                )
                outcomes.append(name_outcome(response))

            async with anyio.create_task_group() as group:
                for entry in (0, 1, 1):
                    group.start_soon(send, entry)
            self.assertEqual(outcomes, ["answered"] * 3)
            self.assertEqual(system.runs, 3)
            self.assertEqual(system.instances[0].highest_in_progress, 1)
            self.assertEqual(
                outsider.instances.count_in_progress("quotes@vm1"), 0
            )

    async def test_lost_reply_of_a_home_is_unknown(self) -> None:
        """Fails if a forwarded request whose reply was lost runs again."""
        system = entry_system.System(1)
        system.add_entry()
        system.add_entry(homes=NoHomes())
        peer = entry_helpers.make_peer("10.0.0.1:1", f"{1:032x}", 1)
        system.network.links["10.0.0.2:1"].peers = (peer,)
        system.network.lose_replies_of.add("10.0.0.1:1")
        async with system.run():
            key = await system.get_key(1)
            for _ in range(2):
                response = await system.call(1, idempotency_key=key)
                self.assertEqual(name_outcome(response), "unknown")
            self.assertEqual(system.runs, 1)

    async def test_idempotent_requests_are_retried_within_budget(self) -> None:
        """Fails if a broken exchange is never retried, or too often."""
        system = entry_system.System(2)
        system.add_entry()
        async with system.run():
            for _ in range(30):
                response = await system.call(
                    method="GET", body=b"", x_misbehave="reset"
                )
                self.assertEqual(name_outcome(response), "unknown")
        self.assertGreater(system.runs, 30)
        self.assertLessEqual(system.runs, 33)

    async def test_owner_gone_or_closed(self) -> None:
        """Fails if a dead owner's key runs elsewhere or is refused falsely."""
        system = entry_system.System(1)
        first = system.add_entry()
        system.add_entry()
        async with system.run():
            used, lost, unused = [await system.get_key() for _ in range(3)]
            await system.call(idempotency_key=used)
            await first.copier.copy_once()
            system.network.unreachable.add("10.0.0.1:1")
            for key, expected in (
                (used, "answered"),
                (lost, "unknown"),
                (unused, "unknown"),
            ):
                response = await system.call(1, idempotency_key=key)
                self.assertEqual(name_outcome(response), expected)
            response = await system.call(
                1, idempotency_key=used, body=b"another"
            )
            self.assertEqual(response.status, 409)
            await system.call(idempotency_key=lost)
            await assembly.drain_entry(
                first, no_handover, system.clock, LONG_WAIT
            )
            for key, expected in (
                (used, "answered"),
                (lost, "answered"),
                (unused, "refused"),
            ):
                response = await system.call(1, idempotency_key=key)
                self.assertEqual(name_outcome(response), expected)
            response = await system.call(0, idempotency_key=unused)
            self.assertEqual(name_outcome(response), "refused")
            self.assertEqual(system.runs, 2)


LONG_WAIT = application.datetime.timedelta(minutes=1)


async def no_handover() -> None:
    """Stands for an entry that is the home of nothing."""
