"""Sends the requests of a plan at their intended times."""

from collections.abc import Callable
import dataclasses
import datetime
import json
import random

import anyio
import anyio.abc

from fireflywell import clock as clock_lib
from fireflywell import connection_pool
from fireflywell import send_tracker
from fireflywell.loadtool import plan as plan_lib
from fireflywell.loadtool import report

_KEYS_IN_BATCH = 100
_MOST_IDLE_CONNECTIONS = 256
_OUTCOME_HEADER = b"fireflywell-outcome"
_SENT_LATE = datetime.timedelta(milliseconds=20)


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """How one try of a request ended; status 0 without a response."""

    outcome: report.FinalOutcome
    status: int = 0


class KeyBatches:
    """Bound keys fetched in batches, for each target."""

    __slots__ = ("_keys", "_locks", "_pool")

    def __init__(self, pool: connection_pool.ConnectionPool) -> None:
        self._pool = pool
        self._keys: dict[str, list[str]] = {}
        self._locks: dict[str, anyio.Lock] = {}

    async def take_key(self, target: str) -> str | None:
        """Returns a new key, or None if the target issues none."""
        async with self._locks.setdefault(target, anyio.Lock()):
            keys = self._keys.setdefault(target, [])
            if not keys:
                keys.extend(await self._fetch(target))
            return keys.pop() if keys else None

    async def _fetch(self, target: str) -> list[str]:
        try:
            answer = await self._pool.request(
                "POST",
                f"{target}/fireflywell/keys?count={_KEYS_IN_BATCH}",
                headers=[("content-length", "0")],
                extensions={"timeout": {"connect": 2.0, "read": 5.0}},
            )
        except send_tracker.EXCHANGE_ERRORS:
            return []
        if answer.status != 200:
            return []
        return [str(key) for key in json.loads(answer.content)["keys"]]


class LoadSender:
    """Sends a plan and reports each request's end to a callback."""

    __slots__ = (
        "_clock",
        "_in_progress",
        "_keys",
        "_late",
        "_note",
        "_plan",
        "_pool",
        "_random",
        "_started",
    )

    def __init__(
        self,
        plan: plan_lib.Plan,
        clock: clock_lib.Clock,
        note: Callable[[report.Sample], None],
    ) -> None:
        self._plan = plan
        self._clock = clock
        self._note = note
        self._random = random.Random(f"{plan.seed}/targets")
        self._pool = connection_pool.ConnectionPool(
            plan_lib.MOST_IN_PROGRESS, _MOST_IDLE_CONNECTIONS
        )
        self._keys = KeyBatches(self._pool)
        self._in_progress = 0
        self._late = 0
        self._started = datetime.timedelta()

    @property
    def sent_late(self) -> int:
        """Requests sent over 20 ms after their intended time.

        Their latency still counts from the intended time; many of them mean
        that the generator itself lacks processor time.
        """
        return self._late

    async def run(self) -> None:
        """Sends all requests and waits for their ends."""
        self._started = self._clock.monotonic()
        async with self._pool, anyio.create_task_group() as group:
            for arrival in plan_lib.iterate_arrivals(self._plan):
                early = arrival.due - self._measure_elapsed()
                if early > datetime.timedelta():
                    await self._clock.sleep(early)
                elif -early > _SENT_LATE:
                    self._late += 1
                self._start(group, arrival)

    def _start(
        self, group: anyio.abc.TaskGroup, arrival: plan_lib.Arrival
    ) -> None:
        flow = self._plan.flows[arrival.flow_index]
        if self._in_progress >= plan_lib.MOST_IN_PROGRESS:
            self._note_end(arrival, Attempt(report.FinalOutcome.NOT_SENT), 0)
            return
        self._in_progress += 1
        offset = self._random.randrange(len(self._plan.targets))
        group.start_soon(self._send_copies, arrival, flow, offset)

    async def _send_copies(
        self, arrival: plan_lib.Arrival, flow: plan_lib.Flow, offset: int
    ) -> None:
        try:
            key = await self._choose_key(arrival, flow, offset)
            if key is None and flow.key is not plan_lib.KeyKind.NONE:
                unsent = Attempt(report.FinalOutcome.NOT_SENT)
                self._note_end(arrival, unsent, 0)
                return
            async with anyio.create_task_group() as group:
                for copy in range(flow.repeat):
                    group.start_soon(
                        self._send_until_known, arrival, key, offset + copy
                    )
        finally:
            self._in_progress -= 1

    async def _choose_key(
        self, arrival: plan_lib.Arrival, flow: plan_lib.Flow, offset: int
    ) -> str | None:
        match flow.key:
            case plan_lib.KeyKind.NONE:
                return None
            case plan_lib.KeyKind.RECORDED:
                return f"load-{self._make_label(arrival)}"
            case plan_lib.KeyKind.BOUND:
                for step in range(len(self._plan.targets)):
                    key = await self._keys.take_key(
                        self._find_target(offset + step)
                    )
                    if key is not None:
                        return key
                return None

    async def _send_until_known(
        self, arrival: plan_lib.Arrival, key: str | None, offset: int
    ) -> None:
        flow = self._plan.flows[arrival.flow_index]
        may_repeat = key is not None or flow.method in ("GET", "HEAD")
        attempt = Attempt(report.FinalOutcome.NOT_SENT)
        tries = lost_tries = 0
        while tries < self._plan.tries:
            if tries:
                await self._clock.sleep(self._plan.retry_pause)
            target = self._find_target(offset + tries)
            attempt = await self._send_once(arrival, key, target)
            tries += 1
            lost_tries += attempt.outcome is report.FinalOutcome.LOST
            match attempt.outcome:
                case report.FinalOutcome.UNREACHABLE:
                    continue
                case report.FinalOutcome.UNKNOWN | report.FinalOutcome.LOST:
                    if may_repeat:
                        continue
            break
        self._note_end(arrival, attempt, tries, lost_tries)

    async def _send_once(
        self, arrival: plan_lib.Arrival, key: str | None, target: str
    ) -> Attempt:
        flow = self._plan.flows[arrival.flow_index]
        body = make_body(flow, self._make_label(arrival))
        sent = send_tracker.SendTracker()
        await self._clock.sleep(self._plan.latency)
        try:
            with anyio.fail_after(self._plan.timeout.total_seconds()):
                response = await self._pool.request(
                    flow.method,
                    f"{target}/{flow.service}/{flow.route}",
                    headers=make_headers(flow, key, body),
                    content=body,
                    extensions={"trace": sent.trace},
                )
        except send_tracker.EXCHANGE_ERRORS:
            if sent.has_started:
                return Attempt(report.FinalOutcome.LOST)
            return Attempt(report.FinalOutcome.UNREACHABLE)
        await self._clock.sleep(self._plan.latency)
        text = dict(response.headers).get(_OUTCOME_HEADER, b"").decode()
        try:
            return Attempt(report.FinalOutcome(text), response.status)
        except ValueError:
            return Attempt(report.FinalOutcome.LOST, response.status)

    def _note_end(
        self,
        arrival: plan_lib.Arrival,
        attempt: Attempt,
        tries: int,
        lost_tries: int = 0,
    ) -> None:
        self._note(
            report.Sample(
                self._plan.flows[arrival.flow_index].name,
                self._make_label(arrival),
                attempt.outcome,
                attempt.status,
                tries,
                lost_tries,
                self._measure_elapsed() - arrival.due,
            )
        )

    def _make_label(self, arrival: plan_lib.Arrival) -> str:
        flow = self._plan.flows[arrival.flow_index]
        return f"{self._plan.seed}-{flow.name}-{arrival.number}"

    def _find_target(self, offset: int) -> str:
        return self._plan.targets[offset % len(self._plan.targets)]

    def _measure_elapsed(self) -> datetime.timedelta:
        return self._clock.monotonic() - self._started


def make_body(flow: plan_lib.Flow, label: str) -> bytes:
    """Returns a body that is unique to one request of a flow."""
    if flow.method in ("GET", "HEAD"):
        return b""
    return f"{label} ".encode().ljust(flow.body_bytes, b".")


def make_headers(
    flow: plan_lib.Flow, key: str | None, body: bytes
) -> list[tuple[str, str]]:
    """Returns the headers of one request of a flow."""
    headers = [("content-length", str(len(body)))]
    if flow.class_name:
        headers.append(("fireflywell-class", flow.class_name))
    if flow.team:
        headers.append(("fireflywell-team", flow.team))
    if flow.deadline is not None:
        milliseconds = flow.deadline // datetime.timedelta(milliseconds=1)
        headers.append(("fireflywell-deadline-ms", str(milliseconds)))
    if flow.work:
        headers.append(("x-work-seconds", str(flow.work.total_seconds())))
    if key is not None:
        headers.append(("idempotency-key", key))
    return headers
