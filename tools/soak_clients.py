"""Clients of a soak: they submit, show and cancel jobs of their own."""

import dataclasses
import json
import random

import anyio
import httpcore

from fireflywell import clock as clock_lib
from fireflywell.standins import unit_worker

_HOST = "jobs.example"
_DEADLINE_MS = 3000

# Tries of one submission or cancellation, each at another node.
_TRIES = 40
_TRY_PAUSE_S = 0.3
_MEAN_PAUSE_S = 0.5

# What a unit requires of its worker.
UNIT_CPU_MILLIS = 500

_LONG_SHARE = 0.2
_CANCEL_SHARE = 0.2

# How a call ends that got no answer.
FAILED_CALLS = (
    OSError,
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
)


@dataclasses.dataclass(slots=True)
class JobRecord:
    """What a client knows of a job; times are monotonic seconds.

    Attributes:
        job_id: Identifier.
        service: Name of its queue and service.
        units: Number of units.
        is_long_running: Whether its units run until it is cancelled.
        accepted_s: When it was accepted, or None.
        may_have_run: Whether any answer left open if it was stored.
        cancel_sent_s: When its cancellation was first sent, or None.
        cancelled_s: When its cancellation was acknowledged, or None.
        is_unknown: Whether the answer was that no such job exists.
        state: State that was shown last.
        faults: What contradicts a promise, as seen by the client.
        unknown_s: When it was accepted and shown as unknown.
    """

    job_id: str
    service: str
    units: int
    is_long_running: bool
    accepted_s: float | None = None
    may_have_run: bool = False
    cancel_sent_s: float | None = None
    cancelled_s: float | None = None
    is_unknown: bool = False
    state: str = ""
    faults: list[str] = dataclasses.field(default_factory=list)
    unknown_s: list[float] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A response, or status 0 if there was none."""

    status: int
    body: bytes = b""


async def ask_for_count(
    pool: httpcore.AsyncConnectionPool, address: str, queue: str, limit_s: float
) -> Answer:
    """Asks a node for the number of a queue's waiting jobs.

    Args:
        pool: Holds the connection to the node.
        address: Where the node serves callers.
        queue: Name of the queue.
        limit_s: Longest time for the answer.
    """
    try:
        response = await pool.request(
            "GET",
            f"http://{address}/{queue}/",
            headers=[("Host", _HOST)],
            extensions={
                "timeout": {"connect": 1.0, "read": limit_s, "pool": 1.0}
            },
        )
    except FAILED_CALLS:
        return Answer(0)
    return Answer(response.status, response.content)


class Caller:
    """Calls to nodes over connections that stay open."""

    __slots__ = ("_addresses", "_clock", "_pool", "_random")

    def __init__(
        self,
        addresses: tuple[str, ...],
        clock: clock_lib.Clock,
        rng: random.Random,
    ) -> None:
        self._addresses = addresses
        self._clock = clock
        self._random = rng
        self._pool = httpcore.AsyncConnectionPool(max_connections=200)

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    async def submit(self, job: JobRecord, *, gives_up: bool = False) -> None:
        """Hands a job in until it is accepted or refused for good.

        Args:
            job: The job.
            gives_up: Whether it isn't sent again after an answer that leaves
                open if it was stored.
        """
        step = {
            "count": job.units,
            "cpu": UNIT_CPU_MILLIS,
            "requested_memory_mb": 100,
            "estimated_ms": 400,
        }
        specification = job.job_id
        if job.is_long_running:
            step["long_running"] = True
            specification = unit_worker.ENDLESS_PREFIX
        body = json.dumps({"specification": specification, "steps": [step]})
        for _ in range(_TRIES):
            answer = await self._call("POST", job, body.encode())
            if answer.status == 200:
                job.accepted_s = self._now_s()
                return
            if answer.status in (429, 503) and not job.may_have_run:
                # The node says that it never runs, so it isn't sent again.
                return
            job.may_have_run = True
            if gives_up:
                return
            await anyio.sleep(_TRY_PAUSE_S)
        job.faults.append("no answer to its submission in all tries")

    async def cancel(self, job: JobRecord) -> None:
        """Cancels a job until that is acknowledged."""
        for _ in range(_TRIES):
            job.cancel_sent_s = job.cancel_sent_s or self._now_s()
            answer = await self._call("DELETE", job)
            if answer.status in (200, 410):
                job.cancelled_s = self._now_s()
                job.is_unknown = answer.status == 410
                return
            await anyio.sleep(_TRY_PAUSE_S)
        job.faults.append("no answer to its cancellation in all tries")

    async def show(self, job: JobRecord) -> None:
        """Reads a job's state."""
        answer = await self._call("GET", job)
        if answer.status == 200:
            job.state = json.loads(answer.body)["state"]
        if answer.status == 410 and job.accepted_s is not None:
            job.unknown_s.append(self._now_s())

    async def _call(
        self, method: str, job: JobRecord, body: bytes = b""
    ) -> Answer:
        address = self._random.choice(self._addresses)
        limit_s = _DEADLINE_MS / 1000
        headers = {
            "Host": _HOST,
            "Content-Length": str(len(body)),
            "X-Fireflywell-Deadline-Milliseconds": str(_DEADLINE_MS),
        }
        timeout = {"connect": 1.0, "read": limit_s, "pool": 1.0}
        try:
            response = await self._pool.request(
                method,
                f"http://{address}/{job.service}/{job.job_id}",
                headers=list(headers.items()),
                content=body,
                extensions={"timeout": timeout},
            )
        except FAILED_CALLS:
            return Answer(0)
        return Answer(response.status, response.content)

    def _now_s(self) -> float:
        return self._clock.monotonic().total_seconds()


class Client:
    """Submits jobs one after the other and cancels some of them."""

    __slots__ = ("_caller", "_give_up_share", "_random", "_services", "jobs")

    def __init__(
        self,
        caller: Caller,
        services: tuple[str, ...],
        rng: random.Random,
        give_up_share: float = 0.0,
    ) -> None:
        """Creates a client.

        Args:
            caller: Calls the nodes.
            services: Names of the queues.
            rng: Source of its choices.
            give_up_share: Share of the jobs that it cancels if an answer to the
                submission leaves open whether they are stored.
        """
        self._give_up_share = give_up_share
        self._caller = caller
        self._services = services
        self._random = rng
        self.jobs: list[JobRecord] = []

    async def run(self) -> None:
        """Submits jobs until cancelled; none is left half submitted."""
        while True:
            with anyio.CancelScope(shield=True):
                await self._submit_one()
            await anyio.sleep(self._random.expovariate(1 / _MEAN_PAUSE_S))

    async def _submit_one(self) -> None:
        job = JobRecord(
            f"{self._random.getrandbits(64):016x}",
            self._random.choice(self._services),
            self._random.randint(1, 4),
            self._random.random() < _LONG_SHARE,
        )
        self.jobs.append(job)
        gives_up = bool(
            self._give_up_share and self._random.random() < self._give_up_share
        )
        await self._caller.submit(job, gives_up=gives_up)
        if job.accepted_s is None:
            if job.may_have_run and gives_up:
                await self._caller.cancel(job)
            return
        if self._random.random() < _CANCEL_SHARE:
            await anyio.sleep(self._random.uniform(0.0, 1.5))
            await self._caller.cancel(job)
        else:
            await self._caller.show(job)
