"""The soak's faults of another moment or address, and what excuses them."""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import json
import pathlib
import random
import tempfile
import unittest

import anyio
from tools import soak
from tools import soak_checks
from tools import soak_clients
from tools import soak_losses
from tools import soak_plan
from tools import soak_spans
from tools import soak_stale
from tools import soak_waits

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.standins import emulator_machine
from fireflywell.standins import emulator_store
from fireflywell.standins import emulator_values as values
from fireflywell.standins import link_proxy
from fireflywell.standins import settings as standin_settings

_SOAK_SEED = 3008

_PLACE = row_store.RowKey("owners", "quotes", "owner")
_OTHER_PLACE = row_store.RowKey("jobs00", "quotes", "a")
_LATE = values.TransactionsLate(60.0, 1.0, ("owners",))
_ADDRESS = "127.1.9.8"
_ID = "00000000000000a1"
_UNIT = f"{_ID}.0.0.0"


class ShortSoakTest(unittest.TestCase):
    """Real processes under a few faults."""

    def test_no_unit_runs_twice_by_a_state_of_another_moment(self) -> None:
        """Fails if an earlier state or another address counts as the present.

        Owners are replaced while reads are behind, writes are late and workers
        change their addresses.
        """
        shape = soak_plan.choose_shape(_SOAK_SEED, 3, 8, 3, 12.0)
        with tempfile.TemporaryDirectory() as name:
            outcome = anyio.run(
                soak.run_soak, _SOAK_SEED, shape, pathlib.Path(name)
            )
        self.assertEqual(outcome.findings, ())
        self.assertGreater(outcome.accepted, 0)


class PlanTest(unittest.TestCase):
    """Which faults a seed has."""

    def test_earlier_seeds_keep_their_plans(self) -> None:
        """Fails if seeds before the new ones get their faults, or the reverse.

        The faults of other kinds would excuse what the new ones should find.
        """
        shape = soak_plan.choose_shape(1)
        first = soak_plan.FIRST_STALE_SEED
        for seed in (1, 1000, first - 1):
            self.assertEqual(soak_stale.plan_stale_state(seed, shape), [])
        for plan in (
            soak_plan.plan_faults,
            soak_plan.plan_changes,
            soak_plan.plan_order_faults,
            soak_losses.plan_losses,
        ):
            self.assertEqual(plan(first, shape), [])

    def test_faults_of_all_kinds_meet(self) -> None:
        """Fails if a kind of fault is never made, or one owner is spared."""
        kinds: set[str] = set()
        first = soak_plan.FIRST_STALE_SEED
        for seed in range(first, first + 15):
            shape = soak_plan.choose_shape(seed)
            services = set()
            for item in soak_stale.plan_stale_state(seed, shape):
                self.assertLess(item.at_s, shape.fault_s)
                match item.fault:
                    case soak_plan.PlatformFault(fault=fault):
                        kinds.add(type(fault).__name__)
                    case soak_plan.AddressReused(worker=worker, other=other):
                        self.assertNotEqual(worker, other)
                        kinds.add("AddressReused")
                    case (
                        soak_plan.KillOwner(service=service)
                        | soak_plan.PauseOwner(service=service)
                        | soak_plan.TermOwner(service=service)
                    ):
                        services.add(service)
                        kinds.add(type(item.fault).__name__)
                    case _:
                        continue
            self.assertEqual(services, set(shape.services), seed)
        wanted = {
            "StoreBehind",
            "TransactionsLate",
            "AddressChange",
            "AddressReused",
            "ClockJump",
            "OrdersLate",
            "OrdersRejected",
            "WorkerCrash",
            "KillOwner",
            "PauseOwner",
            "TermOwner",
        }
        self.assertEqual(kinds, wanted)


class StoreTest(unittest.TestCase):
    """Reads that are behind and transactions that are late."""

    def setUp(self) -> None:
        """Makes a store with a row of an owner."""
        self._clock = clock_lib.ManualClock()
        self._store = emulator_store.FaultyRowStore(
            self._clock, random.Random(1)
        )
        self._advance(10.0)
        self._version = self._store.put(_PLACE, b"former")
        self._advance(10.0)

    def _advance(self, seconds: float) -> None:
        self._clock.advance(datetime.timedelta(seconds=seconds))

    async def _with_fault(
        self,
        fault: Callable[[], Awaitable[None]],
        step: Callable[[], Awaitable[None]],
    ) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(fault)
            await anyio.wait_all_tasks_blocked()
            await step()
            group.cancel_scope.cancel()

    async def _write(
        self, place: row_store.RowKey = _PLACE, version: int = 0
    ) -> str:
        """Returns what the caller of a transaction learns."""
        transaction = row_store.Transaction(
            (row_store.Condition(place, version),),
            (row_store.Put(place, b"new"),),
        )
        try:
            result = await self._store.transact(transaction)
        except errors.AnswerLostError:
            return "no answer"
        return type(result).__name__

    def test_late_transaction_is_applied_without_an_answer(self) -> None:
        """Fails if a late write has an answer, or takes effect at once."""
        answers = []

        async def write() -> None:
            answers.append(await self._write(version=self._version))

        async def step() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(write)
                await anyio.wait_all_tasks_blocked()
                self._advance(0.9)
                await anyio.wait_all_tasks_blocked()
                self.assertEqual(self._read_value(), b"former")
                self._advance(5.2)

        anyio.run(
            self._with_fault,
            lambda: self._store.delay_transactions(_LATE),
            step,
        )
        self.assertEqual(answers, ["no answer"])
        self.assertEqual(self._read_value(), b"new")
        (late,) = self._store.late_writes
        self.assertTrue(late.is_applied)

    def test_late_transaction_keeps_its_condition(self) -> None:
        """Fails if a late write replaces one that was made meanwhile."""

        async def write() -> None:
            await self._write(version=self._version)

        async def step() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(write)
                await anyio.wait_all_tasks_blocked()
                self._store.put(_PLACE, b"meanwhile")
                self._advance(6.1)

        anyio.run(
            self._with_fault,
            lambda: self._store.delay_transactions(_LATE),
            step,
        )
        self.assertEqual(self._read_value(), b"meanwhile")
        (late,) = self._store.late_writes
        self.assertFalse(late.is_applied)

    def test_writes_to_other_tables_are_answered(self) -> None:
        """Fails if a fault delays writes that it doesn't name."""
        answers = []

        async def step() -> None:
            answers.append(await self._write(_OTHER_PLACE))

        anyio.run(
            self._with_fault,
            lambda: self._store.delay_transactions(_LATE),
            step,
        )
        self.assertEqual(answers, ["Committed"])

    def test_longest_lag_holds_until_its_own_end(self) -> None:
        """Fails if the end of one lag ends another one that overlaps."""

        async def read() -> int:
            page = await self._store.read(_PLACE.table, _PLACE.partition)
            return page.version

        async def step() -> None:
            self._store.put(_PLACE, b"new")
            async with anyio.create_task_group() as group:
                short = values.StoreBehind(1.0, 0.5)
                group.start_soon(self._store.fall_behind, short)
                await anyio.wait_all_tasks_blocked()
                self._advance(1.0)
            self.assertEqual(await read(), self._version)
            self._advance(2.0)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(await read(), self._version + 1)

        long = values.StoreBehind(3.0, 4.0)
        anyio.run(self._with_fault, lambda: self._store.fall_behind(long), step)

    def _read_value(self) -> bytes:
        row = self._store.get(_PLACE)
        assert row is not None
        return row.value


class MachineTest(unittest.TestCase):
    """Entries and starts of an emulated worker."""

    def test_entry_and_start_follow_the_faults(self) -> None:
        """Fails if an address or a clock that changed isn't written."""
        clock = clock_lib.ManualClock()
        machine = emulator_machine.EmulatedWorker(
            values.WorkerSettings("w1", "quotes", "a:1", "b:1", "c:1", "r1"),
            clock,
            0.4,
            datetime.timedelta(seconds=6),
        )
        entry = json.loads(machine.encode_entry())
        machine.is_at_other_address = True
        moved = json.loads(machine.encode_entry())
        self.assertEqual((entry["address"], moved["address"]), ("b:1", "c:1"))
        place = machine.place
        machine.clock_offset_s = -2.5
        machine.begin_life(keeps_id=True)
        again = json.loads(machine.encode_entry())
        self.assertEqual(machine.place, place)
        self.assertEqual(entry["born"] - again["born"], 2500)


class LinkTest(unittest.TestCase):
    """A link whose address went to another process."""

    def test_reused_address_leads_to_the_other_process(self) -> None:
        """Fails if connections of before outlive a change of the target."""

        async def serve(name: bytes, port: int) -> None:
            async def answer(stream: anyio.abc.SocketStream) -> None:
                async with stream:
                    async for _ in stream:
                        await stream.send(name)

            listener = await anyio.create_tcp_listener(
                local_host=_ADDRESS, local_port=port
            )
            await listener.serve(answer)

        async def ask(stream: anyio.abc.SocketStream) -> bytes:
            await stream.send(b"?")
            return await stream.receive()

        async def scenario() -> None:
            proxy = link_proxy.LinkProxy(
                standin_settings.LinkSettings(
                    "w1", _ADDRESS, 19811, _ADDRESS, 19812
                ),
                clock_lib.SystemClock(),
                random.Random(1),
            )
            async with anyio.create_task_group() as group:
                group.start_soon(proxy.run)
                group.start_soon(serve, b"w1", 19812)
                group.start_soon(serve, b"w2", 19813)
                await anyio.wait_all_tasks_blocked()
                for state, name in (
                    (link_proxy.Open(), b"w1"),
                    (link_proxy.Redirected(_ADDRESS, 19813), b"w2"),
                    (link_proxy.Open(), b"w1"),
                ):
                    proxy.set_state(state)
                    stream = await anyio.connect_tcp(_ADDRESS, 19811)
                    self.assertEqual(await ask(stream), name)
                proxy.set_state(link_proxy.Redirected(_ADDRESS, 19813))
                with self.assertRaises(
                    (anyio.EndOfStream, anyio.BrokenResourceError)
                ):
                    await ask(stream)
                group.cancel_scope.cancel()

        anyio.run(scenario)


class ExcuseTest(unittest.TestCase):
    """What the new faults excuse, and for how long."""

    def find(
        self,
        job: soak_clients.JobRecord,
        started_s: float,
        fault: soak_plan.Fault,
    ) -> str:
        """Returns the findings of a job beside a fault from 20 s to 24 s."""
        lives = tuple(
            values.LifeSeen(
                f"{name}-1/0", name, "quotes", 16_000, 0.0, None, None
            )
            for name in ("w1", "w2", "w3")
        )
        start = values.StartSeen("w1-1/0", _UNIT, 1, started_s)
        end = values.EndSeen("w1-1/0", _UNIT, 1, "done", started_s + 0.4, True)
        records = values.Records((start,), (end,), (), lives=lives)
        faults = [soak_waits.FaultSeen(fault, 20.0, 24.0)]
        waits = soak_waits.find_waits(
            [job], records, faults, soak_spans.Span(0.0, 100.0)
        )
        broken = soak_checks.find_broken_promises(
            [job], records, soak_waits.list_stale_state(faults)
        )
        return "; ".join((*broken, *soak_waits.describe_long_waits(waits)))

    def _make_job(self, accepted_s: float = 20.0) -> soak_clients.JobRecord:
        return soak_clients.JobRecord(
            _ID, "quotes", 1, False, accepted_s, state="completed"
        )

    def test_store_excuses_waits_until_it_is_calm(self) -> None:
        """Fails if stale state excuses no wait, or waits for ever."""
        for fault in (
            values.StoreBehind(4.0, 1.0),
            values.TransactionsLate(4.0, 0.5, ("owners",)),
        ):
            seen = soak_plan.PlatformFault(fault)
            self.assertEqual(self.find(self._make_job(), 30.9, seen), "")
            self.assertIn("waits", self.find(self._make_job(), 31.1, seen))

    def test_moved_worker_excuses_the_lease_of_a_start(self) -> None:
        """Fails if a change of one address excuses as much as a lost owner."""
        change = soak_plan.PlatformFault(values.AddressChange("w3", 1.0))
        reused = soak_plan.AddressReused("w3", "w2", 1.0, 3.0)
        for fault, begun_s in ((change, 21.0), (reused, 20.0)):
            bound_s = begun_s + soak_waits.START_LEASE_S + soak_waits.ALLOWED_S
            job = self._make_job()
            self.assertEqual(self.find(job, bound_s - 0.1, fault), "")
            self.assertIn("waits", self.find(job, bound_s + 0.1, fault))

    def test_clock_that_jumps_excuses_nothing(self) -> None:
        """Fails if a date that is wrong may hold work up."""
        jump = soak_plan.PlatformFault(values.ClockJump("w3", 4.0, 2.0))
        self.assertIn("waits", self.find(self._make_job(), 23.1, jump))

    def test_job_may_not_be_unknown_while_reads_are_behind(self) -> None:
        """Fails if a lost job passes for one that isn't read yet.

        A node tells by a transaction that a job doesn't exist.
        """
        behind = soak_plan.PlatformFault(values.StoreBehind(4.0, 1.0))
        for at_s in (27.9, 28.1):
            job = self._make_job()
            job.unknown_s.append(at_s)
            self.assertIn("unknown", self.find(job, 21.0, behind))

    def test_cancellation_is_late_only_while_reads_are_behind(self) -> None:
        """Fails if units of a cancelled job may start long after a fault."""
        behind = soak_plan.PlatformFault(values.StoreBehind(4.0, 1.0))
        bound_s = 28.0 + soak_checks.CANCEL_BOUND_S + 4.5
        for at_s, is_found in ((bound_s - 0.1, False), (bound_s + 0.1, True)):
            job = self._make_job()
            job.cancel_sent_s = job.cancelled_s = 20.5
            found = self.find(job, at_s, behind)
            self.assertEqual("was cancelled" in found, is_found)


if __name__ == "__main__":
    unittest.main()
