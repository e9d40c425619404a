"""Submissions that go to a service's owner while the store is slow."""

from collections.abc import Callable
import datetime
import unittest

import anyio

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.coordination import row_store
from fireflywell.node import job_frontend
from fireflywell.node import queue_services
from fireflywell.node import submission_forwarding
from fireflywell.platform import job_api
from fireflywell.platform import job_requests
from fireflywell.platform import submission_forwarder
from fireflywell.telemetry import metrics as metrics_lib
from tests import node_world
from tests import serial_store
from tests import virtual_time

_TIMEOUT = datetime.timedelta(seconds=3)
_NODES = 30
_JOBS = 180

# A transaction of a slow store takes this long, so that a partition carries
# out five a second.
_SLOW_S = 0.2

Outcome = (
    job_frontend.Accepted
    | job_frontend.NotStored
    | job_frontend.OutcomeUnknown
    | job_frontend.TooLarge
)


class _RefusingStore(serial_store.SerialStore):
    """Refuses all writes, as a store does that turns this node away."""

    async def transact(
        self,
        transaction: row_store.Transaction,
        timeout: datetime.timedelta | None = None,
    ) -> row_store.Committed | row_store.Conflict:
        """Refuses the transaction."""
        del transaction, timeout
        raise errors.PlatformUnavailableError("status 503")


def _make_frontend(
    store: serial_store.SerialStore,
    clock: clock_lib.Clock,
    owner: str = "",
    queues: queue_services.QueueServices | None = None,
) -> job_frontend.JobFrontend:
    return job_frontend.JobFrontend(
        store,
        clock,
        metrics_lib.NullMetrics(),
        queues=queues,
        find_owner=lambda _: owner,
        # Nodes write their own rows once a second.
        get_write_time=lambda: datetime.timedelta(seconds=store.duration_s),
    )


async def _submit(
    frontend: job_frontend.JobFrontend,
    number: int,
    forward: job_frontend.Forward | None = None,
) -> Outcome:
    return await frontend.submit(
        f"{number:016x}",
        node_world.POLICY,
        node_world.make_request(),
        _TIMEOUT,
        forward,
    )


class SlowStoreTest(unittest.TestCase):
    """A peak at many nodes while a partition carries out few transactions."""

    def count_accepted(self, *, owner: str) -> int:
        """Submits jobs for two seconds, each to the next node.

        Args:
            owner: Address of the service's owner; empty if no node knows it.

        Returns:
            How many jobs were accepted in time.
        """
        accepted: list[int] = []

        async def run() -> None:
            clock = virtual_time.LoopClock()
            store = serial_store.SerialStore(clock, 0.006)
            queues = queue_services.QueueServices(store, clock)
            owner_frontend = _make_frontend(store, clock, queues=queues)
            # The queue is known before the store becomes slow.
            await _submit(owner_frontend, 0)
            store.duration_s = _SLOW_S
            nodes = [
                _make_frontend(store, clock, owner, queues)
                for _ in range(_NODES)
            ]
            numbers: dict[str, int] = {}

            async def submit(number: int) -> None:
                async def forward(
                    address: str, timeout: datetime.timedelta
                ) -> job_frontend.Accepted | job_frontend.NotStored:
                    del address, timeout
                    outcome = await _submit(owner_frontend, number)
                    if isinstance(outcome, job_frontend.Accepted):
                        return job_frontend.Accepted("")
                    return job_frontend.NotStored()

                numbers[f"{number:016x}"] = number
                outcome = await _submit(nodes[number % _NODES], number, forward)
                if isinstance(outcome, job_frontend.Accepted):
                    accepted.append(number)

            with anyio.move_on_after(2 + _TIMEOUT.total_seconds()):
                async with anyio.create_task_group() as group:
                    for number in range(1, _JOBS + 1):
                        group.start_soon(submit, number)
                        await anyio.sleep(2 / _JOBS)

        virtual_time.run(run)
        return len(accepted)

    def test_owner_stores_the_jobs_of_all_nodes(self) -> None:
        """Fails if each node writes its few jobs in transactions of its own.

        On the large deployment nine of ten requests were turned away for the
        four seconds in which the store was slow.
        """
        self.assertGreater(self.count_accepted(owner="owner:1"), 0.8 * _JOBS)

    def test_peak_exceeds_the_transactions_of_a_partition(self) -> None:
        """Fails if the load above isn't one that single writes can't carry."""
        self.assertLess(self.count_accepted(owner=""), 0.4 * _JOBS)


class OutcomeTest(unittest.TestCase):
    """What the caller is told after another node was asked."""

    def submit(
        self,
        forwarded: Callable[
            [], job_frontend.NotStored | job_frontend.OutcomeUnknown
        ],
    ) -> Outcome:
        """Submits a job to a node that the store refuses."""
        outcomes: list[Outcome] = []

        async def run() -> None:
            clock = virtual_time.LoopClock()
            frontend = _make_frontend(
                _RefusingStore(clock, 0.006), clock, "owner:1"
            )

            async def forward(
                address: str, timeout: datetime.timedelta
            ) -> job_frontend.NotStored | job_frontend.OutcomeUnknown:
                del address, timeout
                return forwarded()

            outcomes.append(await _submit(frontend, 1, forward))

        virtual_time.run(run)
        return outcomes[0]

    def test_refusal_of_all_is_a_refusal(self) -> None:
        """Fails if a job that no node has stored isn't refused for good."""
        self.assertEqual(
            self.submit(job_frontend.NotStored), job_frontend.NotStored()
        )

    def test_answer_that_is_lost_is_no_refusal(self) -> None:
        """Fails if a caller is told that a job never runs that may run.

        The owner may have stored it before its answer was lost, and this
        node's own write is refused afterwards.
        """
        self.assertEqual(
            self.submit(job_frontend.OutcomeUnknown),
            job_frontend.OutcomeUnknown(),
        )

    def test_unreachable_owner_changes_nothing(self) -> None:
        """Fails if an owner that wasn't asked counts as one that may store."""

        def refuse() -> job_frontend.NotStored:
            raise errors.PlatformUnavailableError("no connection")

        self.assertEqual(self.submit(refuse), job_frontend.NotStored())


class PolicyTest(unittest.TestCase):
    """When the owner is asked."""

    def setUp(self) -> None:
        """Creates a policy."""
        self.clock = clock_lib.ManualClock()
        self.policy = submission_forwarding.ForwardingPolicy(
            self.clock, lambda _: "owner:1"
        )

    def find_target(self, after_s: float = 0.0) -> str:
        """Returns whom a submission goes to after some time."""
        self.clock.advance(datetime.timedelta(seconds=after_s))
        return self.policy.find_target("desk")

    def test_sound_store_is_used(self) -> None:
        """Fails if a sound store costs an extra call to another node."""
        self.policy.record_write("desk", datetime.timedelta(milliseconds=30))
        self.assertEqual(self.find_target(), "")

    def test_trouble_is_forgotten(self) -> None:
        """Fails if nodes go on asking others after the store has recovered."""
        self.policy.record_write("desk", datetime.timedelta(milliseconds=200))
        self.assertEqual(self.find_target(), "owner:1")
        self.assertEqual(self.policy.find_target("other"), "")
        self.assertEqual(self.find_target(after_s=11), "")

    def test_slow_write_of_the_own_row_is_a_sign(self) -> None:
        """Fails if each node first fills the slow partition itself.

        Nodes get a submission every few seconds each, so a tenth of them would
        be enough.
        """
        policy = submission_forwarding.ForwardingPolicy(
            self.clock,
            lambda _: "owner:1",
            lambda: datetime.timedelta(milliseconds=340),
        )
        self.assertEqual(policy.find_target("desk"), "owner:1")

    def test_unreachable_owner_is_left_alone(self) -> None:
        """Fails if each caller waits for an owner that is cut off."""
        self.policy.record_failure("desk")
        self.policy.record_unreachable("owner:1")
        self.assertEqual(self.find_target(), "")
        self.assertEqual(self.find_target(after_s=1.5), "owner:1")


class TransportTest(unittest.TestCase):
    """The call to the other node."""

    def send(self, answer: bytes) -> tuple[object, bytes]:
        """Sends a submission to a server; returns the outcome and request."""
        requests: list[bytes] = []
        outcomes: list[object] = []

        async def serve(stream: anyio.abc.SocketStream) -> None:
            async with stream:
                requests.append(await stream.receive())
                if answer:
                    await stream.send(answer)

        async def run() -> None:
            host = f"{node_world.LOOPBACK_PREFIX}.251"
            listener = await anyio.create_tcp_listener(local_host=host)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            forwarder = submission_forwarder.SubmissionForwarder(
                clock_lib.SystemClock()
            )
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, serve)
                outcomes.append(
                    await forwarder.send(
                        f"{host}:{port}",
                        "quotes.example",
                        "/quotes/1",
                        b"{}",
                        _TIMEOUT,
                    )
                )
                group.cancel_scope.cancel()

        anyio.run(run)
        return outcomes[0], requests[0]

    def test_answers(self) -> None:
        """Fails if an answer that leaves the outcome open counts as a no."""
        cases = (
            (200, job_frontend.Accepted("")),
            (503, job_frontend.NotStored()),
            (429, job_frontend.NotStored()),
            (504, job_frontend.OutcomeUnknown()),
            (500, job_frontend.OutcomeUnknown()),
            (404, job_frontend.OutcomeUnknown()),
        )
        for status, outcome in cases:
            with self.subTest(status=status):
                answer = f"HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n"
                self.assertEqual(self.send(answer.encode())[0], outcome)
        self.assertEqual(self.send(b"")[0], job_frontend.OutcomeUnknown())

    def test_request_names_the_queue_and_goes_no_further(self) -> None:
        """Fails if two nodes pass a submission to each other for ever."""
        _, request = self.send(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
        self.assertIn(b"Host: quotes.example\r\n", request)
        self.assertIn(job_requests.FORWARDED_HEADER.encode() + b":", request)
        api = job_api.JobApi(
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            clock_lib.ManualClock(),
            submission_forwarder.SubmissionForwarder(clock_lib.ManualClock()),
        )
        header = asgi.Header(job_requests.FORWARDED_HEADER, "1")
        self.assertIsNone(api._make_forward((header,), "/", b""))
        self.assertIsNotNone(api._make_forward((), "/", b""))


if __name__ == "__main__":
    unittest.main()
