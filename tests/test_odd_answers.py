"""Odd answers of workers, the store and the platform's other services.

An answer that can't be read must raise the error that the caller of the client
handles. Any other error ends the caller's task.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import json
import unittest

import anyio

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import http_client
from fireflywell.coordination import row_store
from fireflywell.platform import advice
from fireflywell.platform import machines
from fireflywell.platform import store
from fireflywell.platform import worker_calls
from fireflywell.scheduling import maintenance
from fireflywell.scheduling import orders
from fireflywell.telemetry import metrics as metrics_lib
from tests import node_world
from tests import test_platform_adapter

_ADDRESS = f"{node_world.LOOPBACK_PREFIX}.251:18902"
_NESTED = b"[" * 200_000 + b"]" * 200_000
_UNREADABLE = (b"", b"\xff", _NESTED, b"[]", b"3", b"null", b'{"a":' + _NESTED)

_TIMEOUT = datetime.timedelta(seconds=1)
_START = orders.StartOrder("a1.0.0.0", 1, "text", 5000, 1, "", "")
_STOP = orders.StopOrder("a1.0.0.0", 1, 1)
_THROTTLE = orders.ThrottleOrder("a1.0.0.0", 1, 50, 1)
_RENEW = orders.RenewOrder(1, 0, 5000, datetime.timedelta())

Use = Callable[[worker_calls.HttpWorkerClient], Awaitable[object]]


class _PreparedWorker:
    """ASGI application that answers each call with a prepared response."""

    def __init__(self) -> None:
        self.status = 200
        self.body = b""

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        del scope
        await asgi.read_body(receive, 1 << 20)
        await asgi.send_response(send, self.status, (), self.body)


class WorkerAnswersTest(unittest.TestCase):
    """Answers of a worker, over a loopback connection."""

    def call(self, use: Use, *answers: tuple[int, bytes]) -> list[object]:
        """Returns the result of one call, or its error, for each answer."""
        results: list[object] = []

        async def run() -> None:
            worker = _PreparedWorker()
            host, _, port = _ADDRESS.rpartition(":")
            listener = asgi.Listener(worker, host, int(port))
            client = worker_calls.HttpWorkerClient(
                "w1", _ADDRESS, clock_lib.SystemClock(), 2
            )
            async with anyio.create_task_group() as group:
                group.start_soon(listener.run)
                await listener.wait_until_started()
                for worker.status, worker.body in answers:
                    try:
                        results.append(await use(client))
                    except Exception as error:
                        results.append(error)
                await client.close()
                listener.stop()

        anyio.run(run)
        return results

    def check_lost(self, use: Use, *answers: tuple[int, bytes]) -> None:
        """Checks that the outcome of a call is unknown after each answer."""
        results = self.call(use, *answers)
        for (status, body), result in zip(answers, results, strict=True):
            with self.subTest(status=status, body=body[:60]):
                self.assertIsInstance(result, errors.AnswerLostError)

    def test_unreadable_answers_to_orders_are_lost(self) -> None:
        """Fails if such an answer ends the task that sends the orders.

        The order that the task had taken was then forgotten, and its unit never
        started.
        """
        bodies = (
            *_UNREADABLE,
            b"{}",
            b'{"clock_ms":1e999}',
            b'{"clock_ms":"5"}',
            b'{"clock_ms":' + b"9" * 400 + b"}",
        )
        answers = [(200, body) for body in bodies]
        answers += [(409, body) for body in _UNREADABLE]
        answers += [(status, b"no") for status in (400, 404, 500, 502)]
        self.check_lost(lambda client: client.start(_START), *answers)
        self.check_lost(lambda client: client.stop(_STOP), *answers)
        self.check_lost(lambda client: client.throttle(_THROTTLE), *answers)

    def test_refusals_for_unknown_reasons_are_refusals(self) -> None:
        """Fails if an order counts as unknown although it was refused."""
        bodies = (b"{}", b'{"reason":3}', b'{"reason":[]}', b'{"reason":"?"}')
        results = self.call(
            lambda client: client.start(_START),
            *((409, body) for body in bodies),
        )
        refused = orders.Refused(orders.Refusal.OTHER)
        self.assertEqual(results, [refused] * len(bodies))

    def test_unreadable_reports_are_lost(self) -> None:
        """Fails if a report ends the task that follows them, or harms later."""
        rows = (
            b"3",
            b"[3]",
            b"{}",
            b'["u"]',
            b'[["u",1]]',
            b'[["u",1e999,"",5]]',
            b'[["u",1,"",1e999]]',
            b'[["u",1,"",5,NaN]]',
            b'[["u",1,{},5]]',
            b'[["\\ud800",1,"",5]]',
            b'[[["u"],1,"",5]]',
            b"[" + _NESTED + b"]",
        )
        ends = (
            b"3",
            b"[[1]]",
            b'[[1,"u",1,"melted",""]]',
            b'[[1e999,"u",1,"done",""]]',
            b'[["1","u",1,"done",""]]',
            b'[[1,"u",1,"done",{}]]',
            b'[[1,"u",1,[],""]]',
        )
        bodies = [
            *_UNREADABLE,
            b"{}",
            b'{"clock_ms":1e999}',
            b'{"clock_ms":5,"born":1e999}',
            b'{"clock_ms":5,"born":' + b"9" * 30 + b"}",
        ]
        bodies += [b'{"clock_ms":5,"running":' + row + b"}" for row in rows]
        bodies += [b'{"clock_ms":5,"ended":' + row + b"}" for row in ends]
        self.check_lost(
            lambda client: client.renew(_RENEW),
            *((200, body) for body in bodies),
        )

    def test_valid_reports_are_read(self) -> None:
        """Fails if a check refuses what workers report."""
        body = (
            b'{"clock_ms":482113,"born":1790000000123,"running":'
            b'[["a1.0.1.17",2,"00000bb8",41],["a1.0.1.18",1,null,100,12.5],'
            b'["a1.0.1.19",1,"",0,null]],"ended":'
            b'[[58,"a1.0.1.9",1,"done",""]],"unknown":{}}'
        )
        (report,) = self.call(lambda client: client.renew(_RENEW), (200, body))
        self.assertEqual(
            report,
            orders.WorkerReport(
                482113,
                1790000000123,
                (
                    orders.RunReport("a1.0.1.17", 2, "00000bb8", 41, 0.0),
                    orders.RunReport("a1.0.1.18", 1, "", 100, 12.5),
                    orders.RunReport("a1.0.1.19", 1, "", 0, 0.0),
                ),
                (orders.EndReport(58, "a1.0.1.9", 1, orders.EndKind.DONE, ""),),
            ),
        )

    def test_report_with_as_many_ends_as_fit_is_incomplete(self) -> None:
        """Fails if runs whose ends come later count as never started."""
        ends = [
            [number, "a1.0.0.0", number, "done", ""] for number in range(500)
        ]
        answers = [
            (200, json.dumps({"clock_ms": 5, "ended": rows}).encode())
            for rows in (ends, ends[1:])
        ]
        reports = self.call(lambda client: client.renew(_RENEW), *answers)
        self.assertEqual(
            [report.has_all_ends for report in reports],  # type: ignore[attr-defined]
            [False, True],
        )


class _StubClient:
    """Answers each call with the same response."""

    def __init__(self, body: bytes, status: int = 200) -> None:
        self._response = http_client.Response(
            status, body, datetime.timedelta()
        )

    async def call(
        self, *args: object, limit_bytes: int | None = None
    ) -> http_client.Response:
        """Returns the response."""
        del args, limit_bytes
        return self._response


class PlatformAnswersTest(unittest.TestCase):
    """Answers of the store, of the VM API and of the advice service."""

    def test_unreadable_vm_lists_are_platform_errors(self) -> None:
        """Fails if a list ends the fleet controller, which isn't restarted."""
        vm = {"machine": "m1", "pool": "p", "state": "up", "id": "w1"}
        cases = (
            {"machine": 3},
            {"state": "melted"},
            {"state": []},
            {"labels": "r1-1"},
            {"capacity": {"cpu": -1}},
            {"capacity": {"cpu": 10**400}},
            {"id": "\ud800"},
        )
        bodies = [*_UNREADABLE, b"{}", b'{"machines":[3]}']
        bodies += [
            json.dumps({"machines": [{**vm, **fields}]}).encode()
            for fields in cases
        ]
        for body in bodies:
            client = machines.HttpFleetClient(_StubClient(body), "node-a")
            with (
                self.subTest(body=body[:100]),
                self.assertRaises(errors.PlatformError),
            ):
                anyio.run(client.list_vms)

    def test_unreadable_refusals_of_vm_orders_are_unknown(self) -> None:
        """Fails if the body of a refusal ends the fleet controller."""
        for body in (*_UNREADABLE, b"{}", b'{"reason":[]}'):
            with self.subTest(body=body[:60]):
                client = machines.HttpFleetClient(
                    _StubClient(body, 409), "node-a"
                )
                refusal = anyio.run(client.move, "m1", "pool", 1)
                self.assertIs(refusal, maintenance.VmRefusal.UNKNOWN)

    def test_only_a_refused_maintenance_says_that_a_vm_is_gone(self) -> None:
        """Fails if another refusal counts as the answer that a VM is gone.

        Status 400 to a move may also be about the pool, and a wave would be
        completed without the VM.
        """
        refusals = maintenance.VmRefusal
        client = machines.HttpFleetClient(_StubClient(b"{}", 400), "node-a")
        self.assertIs(
            anyio.run(client.begin_maintenance, "m1", 1, 1), refusals.NO_SUCH_VM
        )
        self.assertIs(anyio.run(client.move, "m1", "p", 1), refusals.UNKNOWN)
        for refusal in refusals:
            body = json.dumps({"reason": refusal.value}).encode()
            client = machines.HttpFleetClient(_StubClient(body, 409), "node-a")
            self.assertIsNot(
                anyio.run(client.begin_maintenance, "m1", 1, 1),
                refusals.NO_SUCH_VM,
            )

    def test_unreadable_advice_is_a_platform_error(self) -> None:
        """Fails if an answer ends the task that requests tickets."""
        bodies = [*_UNREADABLE]
        for rows in (b"3", b"[3]", b'[["w1"]]', b'[["w1",3]]', b'[[[],"t"]]'):
            bodies.append(b'{"approved":' + rows + b"}")
        bodies.append(b'{"approved":[["w1","t"]],"validity_ms":"long"}')
        for body in bodies:
            client = advice.HttpAdviceClient(_StubClient(body))
            with (
                self.subTest(body=body[:60]),
                self.assertRaises(errors.PlatformError),
            ):
                anyio.run(client.advise, "a1.0.0", ("w1",), _TIMEOUT)

    def read_store(self, body: bytes) -> store.PlatformStore:
        """Reads the table of workers from a store with one answer."""
        target = store.PlatformStore(
            _StubClient(body),
            clock_lib.ManualClock(),
            metrics_lib.NullMetrics(),
        )
        self.rows = anyio.run(target.read, "servers", "").rows
        return target

    def test_unreadable_answers_of_the_store_are_lost(self) -> None:
        """Fails if an answer ends a follower, or breaks the store's clock."""
        page = b'"row_version":5,"has_more":false'
        bodies = (
            *_UNREADABLE,
            b"{" + page + b"}",
            b'{"rows":{},' + page + b"}",
            b'{"rows":[3],' + page + b"}",
            b'{"rows":[{"table":"t","key":3}],' + page + b"}",
            b'{"rows":[{"table":"t","key":"k","row_version":1e999}],'
            + page
            + b"}",
            b'{"rows":[],"row_version":1e999,"has_more":false}',
            b'{"rows":[],"row_version":5,"has_more":true}',
            b'{"rows":[],"row_version":5}',
            b'{"rows":[],"now_ms":1e999,' + page + b"}",
            b'{"rows":[],"now_ms":NaN,' + page + b"}",
        )
        for body in bodies:
            with (
                self.subTest(body=body[:80]),
                self.assertRaises(errors.AnswerLostError),
            ):
                self.read_store(body)

    def test_odd_value_keeps_the_other_rows(self) -> None:
        """Fails if a value that isn't base64 keeps other rows from readers."""
        rows = [
            {"table": "servers", "key": f"w{number}", "value": value}
            for number, value in enumerate((3, [], "\u2603", "A", "eA=="))
        ]
        document = {"rows": rows, "row_version": 5, "has_more": False}
        self.read_store(json.dumps(document).encode())
        values = [row.value for row in self.rows]
        self.assertEqual(values, [b"", b"", b"", b"", b"x"])
        self.assertEqual(
            self.rows[0].row_key, row_store.RowKey("servers", "", "w0")
        )

    def test_odd_key_keeps_the_other_rows(self) -> None:
        """Fails if a key that has no UTF-8 form ends the reading of a list.

        It is also the start of the next page.
        """
        rows = [{"table": "t", "key": key} for key in ("a", "\ud800")]
        client = test_platform_adapter.StubClient(
            {"rows": rows, "row_version": 5, "has_more": True},
            {"rows": [], "row_version": 5, "has_more": False},
        )
        target = store.PlatformStore(
            client, clock_lib.ManualClock(), metrics_lib.NullMetrics()
        )
        found = anyio.run(target.read, "t", "").rows
        self.assertEqual([row.row_key.key for row in found], ["a", "\ud800"])


class AddressTest(unittest.TestCase):
    """Calls to addresses that can't be connected to."""

    def test_unusable_addresses_are_unavailable(self) -> None:
        """Fails if an address raises an error that ends the caller's task."""
        for address in ("127.0.0.1:99999", "a..b:80", "\u00f6" * 64 + ":80"):
            client = http_client.HttpClient(address, clock_lib.SystemClock(), 1)
            with (
                self.subTest(address=address),
                self.assertRaises(errors.PlatformUnavailableError),
            ):
                anyio.run(
                    client.call, "GET", "/", b"", datetime.timedelta(seconds=2)
                )


if __name__ == "__main__":
    unittest.main()
