"""Tests the platform adapter, including malformed input."""

import datetime
import json
import pathlib
import tempfile
import unittest

import anyio

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell import http_client
from fireflywell.coordination import row_store
from fireflywell.node import directory as directory_lib
from fireflywell.node import job_frontend
from fireflywell.node import settings as node_settings
from fireflywell.platform import configuration
from fireflywell.platform import instances
from fireflywell.platform import job_api
from fireflywell.platform import job_requests
from fireflywell.platform import machines
from fireflywell.platform import settings
from fireflywell.platform import store
from fireflywell.standins import row_store as store_standin
from fireflywell.telemetry import metrics as metrics_lib
from tests import captured_log
from tests import node_world

_HOST = f"{node_world.LOOPBACK_PREFIX}.252"

_SETTINGS = """
node_name = "front-a-1"
zone = "a"
something_new = [1, 2]
[listen_addresses]
front = "10.1.0.9:8624"
ready_address = "10.1.0.9:8622"
[bounds]
lease_duration_ms = 3000
[platform]
address = "10.200.1.7:8621"
"""


class SettingsTest(unittest.TestCase):
    """Tests loading of the platform's settings file."""

    def load(self, text: str) -> node_settings.NodeSettings:
        """Loads settings from the text of a TOML file."""
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "local.toml"
            path.write_text(text)
            return settings.load_settings(path)

    def test_unknown_keys_are_ignored(self) -> None:
        """Fails if a key that the adapter doesn't use makes loading fail."""
        self.load(_SETTINGS)

    def test_processor_speed_is_the_share_of_a_faster_core(self) -> None:
        """Fails if a node tells others a wrong speed, and owns services."""
        limits = "[limits]\ncpu_share = 0.717\ncores = 3\n"
        self.assertEqual(self.load(_SETTINGS + limits).cpu_millis, 2151)
        self.assertEqual(self.load(_SETTINGS).cpu_millis, 1000)

    def test_mistakes_name_the_key(self) -> None:
        """Fails if an invalid setting's error doesn't name key and problem."""
        cases = (
            ('zone = "a"', "", "zone must be a text"),
            ('zone = "a"', "zone = 3", "zone must be a text"),
            ("= 3000", '= "x"', "lease_duration_ms must be a number"),
            ("= 3000", "= -1", "isn't negative"),
            ("= 3000", "= inf", "a finite number"),
            ("[platform]", "[platforms]", "platform must be a table"),
        )
        for old, new, message in cases:
            with (
                self.subTest(message=message, new=new),
                self.assertRaisesRegex(errors.SettingsError, message),
            ):
                self.load(_SETTINGS.replace(old, new))


class RowTest(unittest.TestCase):
    """Tests decoding of rows that other processes write."""

    def test_malformed_instances_are_rejected(self) -> None:
        """Fails if a malformed entry is used or raises an unexpected error."""
        good = json.loads(
            node_world.encode_instance(node_world.make_instance("w1"))
        )
        instances.decode_instance("w1", json.dumps(good).encode())
        broken = (
            b"\xff\x00",
            b"[]",
            b"3",
            json.dumps({**good, "state": "resting"}).encode(),
            json.dumps({**good, "address": "nowhere"}).encode(),
            json.dumps({**good, "address": 3}).encode(),
            json.dumps({**good, "service": 3}).encode(),
            json.dumps({**good, "capacity": None}).encode(),
            json.dumps({k: good[k] for k in good if k != "state"}).encode(),
        )
        for data in broken:
            with (
                self.subTest(data=data),
                self.assertRaises(errors.CorruptRowError),
            ):
                instances.decode_instance("w1", data)

    def test_configuration_never_goes_back(self) -> None:
        """Fails if an older or invalid row replaces the configuration."""
        holder = directory_lib.ConfigurationHolder(
            configuration.decode_configuration,
            clock_lib.ManualClock(),
            metrics_lib.NullMetrics(),
        )
        row_key = row_store.RowKey("op", "", "config")
        for number, data in enumerate(
            (
                node_world.encode_configuration(7),
                node_world.encode_configuration(5),
                b"{}",
                b"\xff",
            )
        ):
            holder.apply_rows((row_store.Row(row_key, data, number + 1),))
        assert holder.current is not None
        self.assertEqual(holder.current.version, 7)

    def test_longest_prefix_selects_the_queue(self) -> None:
        """Fails if a path is routed to a queue with a shorter prefix."""
        document = json.loads(node_world.encode_configuration())
        inner = {
            **document["routes"][0],
            "name": "inner",
            "path_prefix": "/quotes/inner/",
        }
        document["routes"].append(inner)
        current = configuration.decode_configuration(
            json.dumps(document).encode()
        )
        route = current.find_route("quotes.example", "/quotes/inner/1")
        assert route is not None
        self.assertEqual(route.policy.queue, "inner")
        self.assertIsNone(current.find_route("other", "/quotes/1"))


class JobRequestTest(unittest.TestCase):
    """Tests decoding of submitted jobs."""

    def test_malformed_jobs_are_refused_with_a_reason(self) -> None:
        """Fails if an invalid body is accepted or raises another error."""
        cases = (
            b"",
            b"[]",
            b"{}",
            b'{"steps":[]}',
            b'{"steps":[{"count":0}]}',
            b'{"steps":[3]}',
            b'{"steps":[{"count":"x"}]}',
            b'{"steps":[{"count":1,"after":[0]}]}',
            b'{"steps":[{"count":1}],"specification":3}',
            json.dumps(
                {"steps": [{"count": 1}], "specification": "x" * 4001}
            ).encode(),
        )
        for body in cases:
            with (
                self.subTest(body=body[:40]),
                self.assertRaises(errors.MalformedRequestError),
            ):
                job_requests.decode_job(body)


class _StoreApi:
    """Serves a `MemoryRowStore`'s transactions over the platform's API."""

    def __init__(self, memory: store_standin.MemoryRowStore) -> None:
        self._memory = memory

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        del scope
        body = await asgi.read_body(receive, 1 << 20)
        document = json.loads(body)

        def decode_row_key(item: dict[str, str]) -> row_store.RowKey:
            return row_store.RowKey(item["table"], item["part"], item["key"])

        result = await self._memory.transact(
            row_store.Transaction(
                tuple(
                    row_store.Condition(decode_row_key(x), x["row_version"])
                    for x in document["expected"]
                ),
                tuple(
                    row_store.Put(decode_row_key(x), x["value"].encode())
                    for x in document["puts"]
                ),
            )
        )
        match result:
            case row_store.Committed(version=version):
                answer = {"row_version": version, "now_ms": 5000}
                await asgi.send_json(send, 200, answer)
            case row_store.Conflict():
                await asgi.send_json(send, 412, {"rows": [], "now_ms": 5000})


class StubClient:
    """Answers calls with given JSON documents, in order."""

    def __init__(
        self, *documents: dict[str, object], status: int = 200
    ) -> None:
        self._documents = list(documents)
        self._status = status

    async def call(
        self, *args: object, limit_bytes: int | None = None
    ) -> http_client.Response:
        """Returns the next document."""
        del args, limit_bytes
        body = json.dumps(self._documents.pop(0)).encode()
        return http_client.Response(self._status, body, datetime.timedelta())


class StoreClockTest(unittest.TestCase):
    """Tests the estimate of the store's clock."""

    def test_time_of_a_large_answer_is_not_taken(self) -> None:
        """Fails if a large response changes the estimate of the store's clock.

        Its timestamp is from before the transfer, so computed ages of stored
        rows would be wrong by the transfer time.
        """
        clock = clock_lib.ManualClock()
        row = {
            "table": "op",
            "part": "",
            "key": "config",
            "value": "A" * 99_999,
        }
        small = {"rows": [], "row_version": 1, "has_more": False}
        client = StubClient(
            {**small, "now_ms": 50_000},
            {**small, "rows": [row], "now_ms": 49_000},
        )
        target = store.PlatformStore(client, clock, metrics_lib.NullMetrics())

        async def run() -> None:
            await target.read("op", "")
            await target.read("op", "")

        anyio.run(run)
        self.assertEqual(target.now_s(), 50)

    def estimate(self, *answers: tuple[float, float]) -> float:
        """Returns the estimate after some answers to writes.

        Args:
            *answers: For each answer, the time since the one before and the
                time in it, in seconds.
        """
        clock = clock_lib.ManualClock()
        client = StubClient(
            *(
                {"row_version": number, "now_ms": now_s * 1000}
                for number, (_, now_s) in enumerate(answers, 1)
            )
        )
        target = store.PlatformStore(
            client,  # type: ignore[arg-type]
            clock,
            metrics_lib.NullMetrics(),
        )

        async def run() -> None:
            for pause_s, _ in answers:
                clock.advance(datetime.timedelta(seconds=pause_s))
                await target.transact(row_store.Transaction())

        anyio.run(run)
        return target.now_s()

    def test_late_answer_does_not_set_the_clock_back(self) -> None:
        """Fails if an answer that arrives late makes stored counts look new.

        The time in it is from before its way to the node. Counts of waiting
        jobs were used for longer by the delay of the last answer (rule MIXED).
        """
        self.assertEqual(self.estimate((0, 50), (3, 51)), 53)

    def test_estimate_follows_a_clock_that_is_set_back(self) -> None:
        """Fails if the estimate stays at that of a former clock for good."""
        answers = [(1.0, 10.0 + number) for number in range(25)]
        self.assertEqual(self.estimate((0, 500), *answers), 34)


class ConflictTest(unittest.TestCase):
    """Answers to transactions whose conditions don't hold."""

    def test_conflict_names_existing_rows_only(self) -> None:
        """Fails if a row that doesn't exist is taken for one that does.

        The store may list each row that a condition names. A job that it
        doesn't hold then counted as found and was told to be queued.
        """
        row = {"table": "t", "part": "p"}
        rows = [
            {**row, "key": "a", "row_version": 5},
            {**row, "key": "b", "row_version": 0},
            {**row, "key": "c"},
            {**row, "key": "d", "row_version": 6, "deleted": True},
        ]
        client = StubClient({"rows": rows, "row_version": 7}, status=412)
        target = store.PlatformStore(
            client,  # type: ignore[arg-type]
            clock_lib.ManualClock(),
            metrics_lib.NullMetrics(),
        )
        result = anyio.run(target.transact, row_store.Transaction())
        assert isinstance(result, row_store.Conflict)
        self.assertEqual([item.row_key.key for item in result.rows], ["a"])


class StaleReadTest(unittest.TestCase):
    """Answers to reads that show an earlier state of the store."""

    def test_clock_is_not_set_back_by_an_earlier_state(self) -> None:
        """Fails if an answer of the past changes the estimate of the clock.

        The end of a lost worker's leases would be stored too early, and a
        successor would start its units beside its runs (rule TWICE).
        """
        page = {"rows": [], "has_more": False}
        client = StubClient(
            {"row_version": 7, "now_ms": 50_000},
            {**page, "row_version": 6, "now_ms": 44_000},
        )
        target = store.PlatformStore(
            client, clock_lib.ManualClock(), metrics_lib.NullMetrics()
        )

        async def run() -> None:
            await target.transact(row_store.Transaction())
            await target.read("op", "")

        anyio.run(run)
        self.assertEqual(target.now_s(), 50)

    def test_answer_from_before_a_known_version_is_reported(self) -> None:
        """Fails if nothing shows that a read's answer is an earlier state."""
        page = {"rows": [], "has_more": False}
        client = StubClient(
            {"row_version": 7},
            {**page, "row_version": 6},
            {**page, "row_version": 7},
            {"parts": [], "row_version": 5},
            {"rows": [], "row_version": 4},
            {"rows": [], "row_version": 9},
        )
        target = store.PlatformStore(
            client,  # type: ignore[arg-type]
            clock_lib.ManualClock(),
            metrics_lib.NullMetrics(),
        )

        async def run() -> None:
            await target.transact(row_store.Transaction())
            await target.read("op", "p")
            await target.read("op", "p")
            await target.list_partitions("op")
            await target.follow("op", 3, datetime.timedelta())
            await target.follow("op", 3, datetime.timedelta())

        with captured_log.capture_log() as lines:
            anyio.run(run)
        found = [
            (line["table"], line["partition"], line["version"], line["known"])
            for line in captured_log.select_event(lines, "store.stale_read")
        ]
        self.assertEqual(
            found, [("op", "p", 6, 7), ("op", "", 5, 7), ("op", "", 4, 7)]
        )


class VmOrderTest(unittest.TestCase):
    """Answers to orders for VMs."""

    def test_unexpected_status_does_not_mean_that_nothing_was_done(
        self,
    ) -> None:
        """Fails if an order that a gateway passed on is taken as refused."""
        with self.assertRaises(errors.PlatformUnavailableError):
            self._order(503)
        for status in (500, 502, 504):
            with self.assertRaises(errors.AnswerLostError):
                self._order(status)

    def _order(self, status: int) -> None:
        fleet = machines.HttpFleetClient(
            StubClient({}, status=status),  # type: ignore[arg-type]
            "n1",
        )
        anyio.run(fleet.begin_maintenance, "m-1", 1, 1)


class HttpTest(unittest.TestCase):
    """Tests the store's client over a TCP connection."""

    def run_calls(self, *transactions: row_store.Transaction) -> list[object]:
        """Sends transactions in sequence and returns their results."""
        results: list[object] = []

        async def run() -> None:
            clock = clock_lib.SystemClock()
            memory = store_standin.MemoryRowStore(clock)
            listener = asgi.Listener(_StoreApi(memory), _HOST, 18931)
            client = http_client.HttpClient(f"{_HOST}:18931", clock, 2)
            target = store.PlatformStore(
                client, clock, metrics_lib.NullMetrics()
            )
            async with anyio.create_task_group() as group:
                group.start_soon(listener.run)
                await listener.wait_until_started()
                for transaction in transactions:
                    results.append(await target.transact(transaction))
                await client.close()
                listener.stop()

        anyio.run(run)
        return results

    def test_second_submission_of_a_job_is_a_conflict(self) -> None:
        """Fails if the condition that a row doesn't exist isn't sent."""
        row_key = row_store.RowKey("jobs01", "desk", node_world.JOB_ID)
        put = row_store.Transaction(
            (row_store.Condition(row_key, 0),), (row_store.Put(row_key, b"x"),)
        )
        first, second = self.run_calls(put, put)
        self.assertIsInstance(first, row_store.Committed)
        self.assertIsInstance(second, row_store.Conflict)

    def test_unreachable_address_changes_nothing(self) -> None:
        """Fails if a refused connection counts as a possibly executed call."""

        async def run() -> None:
            client = http_client.HttpClient(
                f"{_HOST}:18932", clock_lib.SystemClock(), 1
            )
            target = store.PlatformStore(
                client, clock_lib.SystemClock(), metrics_lib.NullMetrics()
            )
            with self.assertRaises(errors.PlatformUnavailableError):
                await target.read("jobs01", "desk")

        anyio.run(run)


class JobApiTest(unittest.TestCase):
    """Tests the callers' ASGI application without a connection."""

    def send_request(
        self, method: str, path: str, body: bytes = b"", host: str = ""
    ) -> int:
        """Sends one request and returns the status of its response."""
        statuses: list[int] = []

        async def run() -> None:
            world = node_world.NodeWorld()
            holder = directory_lib.ConfigurationHolder(
                configuration.decode_configuration,
                world.clock,
                metrics_lib.NullMetrics(),
            )
            row_key = row_store.RowKey("op", "", "config")
            data = node_world.encode_configuration()
            holder.apply_rows((row_store.Row(row_key, data, 1),))
            holder.mark_confirmed(world.clock.monotonic())
            api = job_api.JobApi(
                job_frontend.JobFrontend(
                    world.store, world.clock, metrics_lib.NullMetrics()
                ),
                holder,
                world.clock,
            )
            scope = {
                "method": method,
                "path": path,
                "headers": [(b"host", (host or "quotes.example").encode())],
            }

            async def receive() -> asgi.Message:
                return {"type": "http.request", "body": body}

            async def send(message: asgi.Message) -> None:
                if message["type"] == "http.response.start":
                    statuses.append(message["status"])

            await api(scope, receive, send)

        anyio.run(run)
        return statuses[0]

    def test_status_matches_outcome(self) -> None:
        """Fails if the status of a response doesn't match the outcome."""
        path = f"/quotes/{node_world.JOB_ID}"
        job = b'{"specification":"x","steps":[{"count":1,"cpu":500}]}'
        cases = (
            ("POST", path, job, "", 200),
            ("POST", path, b"no job", "", 400),
            ("POST", "/quotes/not-an-id", job, "", 400),
            ("POST", path + "/more", job, "", 400),
            ("POST", "/none/1", job, "", 404),
            ("POST", path, job, "other.example", 404),
            ("GET", path, b"", "", 410),
            ("DELETE", path, b"", "", 410),
            ("GET", "/quotes/", b"", "", 200),
            ("PUT", path, b"", "", 405),
        )
        for method, where, body, host, status in cases:
            with self.subTest(method=method, path=where, status=status):
                self.assertEqual(
                    self.send_request(method, where, body, host), status
                )


if __name__ == "__main__":
    unittest.main()
