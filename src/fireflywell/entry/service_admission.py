"""Queue and slots of one service at this entry."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime

import anyio

from fireflywell import clock as clock_lib
from fireflywell.bundle import model
from fireflywell.entry import forward_targets
from fireflywell.entry import in_flight_run
from fireflywell.entry import instance_table
from fireflywell.requests import outcomes
from fireflywell.requests import routing
from fireflywell.requests import service_queue

WaitForDisconnect = Callable[[], Awaitable[None]]
_RETRY_AFTER = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class LocalGrant:
    """A slot on an instance whose home this entry is."""

    ticket: service_queue.Ticket
    entry: instance_table.TrackedInstance
    is_long: bool
    started_at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteGrant:
    """Leave to forward to an entry that reported a free slot."""

    ticket: service_queue.Ticket
    home: forward_targets.ForwardTarget
    started_at: datetime.timedelta


Grant = LocalGrant | RemoteGrant
Admission = Grant | outcomes.Refused | outcomes.Withdrawn


class _Waiter:
    """A request that waits for its grant."""

    __slots__ = ("_event", "admission")

    def __init__(self) -> None:
        self._event = anyio.Event()
        self.admission: Admission | None = None

    def resolve(self, admission: Admission) -> None:
        """Ends the wait."""
        self.admission = admission
        self._event.set()

    async def wait(self) -> None:
        """Waits until it is resolved."""
        await self._event.wait()


class ServiceAdmission:
    """Admits requests of one service and hands out its slots."""

    __slots__ = (
        "_clock",
        "_queue",
        "_forward_targets",
        "_running",
        "_service",
        "_table",
        "_waiters",
    )

    def __init__(
        self,
        service: model.Service,
        bundle: model.Bundle,
        table: instance_table.InstanceTable,
        targets: forward_targets.ForwardTargets,
        clock: clock_lib.Clock,
    ) -> None:
        self._service = service.name
        self._table = table
        self._forward_targets = targets
        self._clock = clock
        self._queue = service_queue.ServiceQueue(
            service, bundle.classes, bundle.teams, clock
        )
        self._waiters: dict[str, _Waiter] = {}
        self._running: dict[str, service_queue.Ticket] = {}

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return self._queue.queued

    @property
    def free_slots(self) -> int:
        """Slots that this entry can fill now."""
        return self._table.count_slots(self._service).free

    def reconfigure(self, service: model.Service, bundle: model.Bundle) -> None:
        """Adopts a new bundle."""
        self._queue.reconfigure(service, bundle.classes, bundle.teams)

    async def acquire(
        self,
        ticket: service_queue.Ticket,
        wait_for_disconnect: WaitForDisconnect,
        in_flight: in_flight_run.InFlightRun | None,
    ) -> Admission:
        """Queues a request until it gets a slot; call `release` in the end.

        Args:
            ticket: The request.
            wait_for_disconnect: Returns when the caller has left.
            in_flight: Tells whether others wait for the same run; None if none
                can.
        """
        match self._queue.offer(ticket):
            case service_queue.QueueRefusal(reason=reason, retry_after=after):
                status = 503 if after is None else 429
                return outcomes.Refused(status, reason, after)
        waiter = _Waiter()
        self._waiters[ticket.request_id] = waiter
        try:
            self.grant_free_slots()
            if waiter.admission is None:
                await self._wait(ticket, waiter, wait_for_disconnect, in_flight)
        except BaseException:
            self._abandon(ticket, waiter)
            raise
        finally:
            del self._waiters[ticket.request_id]
        assert waiter.admission is not None
        return waiter.admission

    def try_acquire(
        self,
        ticket: service_queue.Ticket,
        excluded: frozenset[str] = frozenset(),
    ) -> LocalGrant | None:
        """Takes a local slot past the queue, or returns None.

        For requests that a peer forwarded and for retries: what waits in the
        queue has been offered every free slot before.
        """
        if not self._queue.may_start(ticket, self._describe_slots()):
            return None
        return self._grant_local(ticket, excluded)

    def release(
        self, grant: Grant, succeeded: bool, was_sent: bool = True
    ) -> None:
        """Gives back what a grant took."""
        match grant:
            case LocalGrant(entry=entry, is_long=is_long):
                self._table.release(entry, is_long)
            case RemoteGrant(home=home):
                self._forward_targets.record_finished(home)
        del self._running[grant.ticket.request_id]
        duration = datetime.timedelta()
        if was_sent:
            duration = self._clock.monotonic() - grant.started_at
        self._queue.note_finished(grant.ticket, duration, succeeded)
        if self._queue.queued:
            self.grant_free_slots()

    def mark_full(self, home: forward_targets.ForwardTarget) -> None:
        """Notes that another entry has no room for a while."""
        self._forward_targets.mark_full(home)

    def grant_free_slots(self) -> None:
        """Gives free slots to waiting requests and ends expired waits."""
        for ticket in self._queue.drop_expired():
            waiter = self._waiters.get(ticket.request_id)
            if waiter is not None:
                waiter.resolve(_make_expired_refusal())
        while self._queue.queued:
            grant = self._grant_next()
            if grant is None:
                return
            self._waiters[grant.ticket.request_id].resolve(grant)

    def _grant_next(self) -> Grant | None:
        slots = self._describe_slots()
        if slots.free > 0:
            ticket = self._queue.take_next(slots)
            if ticket is not None:
                grant = self._grant_local(ticket)
                if grant is not None:
                    return grant
                # The counts and the choice of an instance disagree.
                self._queue.note_finished(ticket, datetime.timedelta(), False)
                self._waiters[ticket.request_id].resolve(
                    outcomes.Refused(503, "no slot is left", _RETRY_AFTER)
                )
                return self._grant_next()
        home = self._forward_targets.find(self._service)
        if home is None:
            return None
        total = max(1, self._table.count_slots(self._service).total)
        ticket = self._queue.take_next(service_queue.SlotState(total, 1, 0))
        if ticket is None:
            return None
        self._forward_targets.record_sent(home)
        self._note_started(ticket)
        return RemoteGrant(ticket, home, self._clock.monotonic())

    def _grant_local(
        self,
        ticket: service_queue.Ticket,
        excluded: frozenset[str] = frozenset(),
    ) -> LocalGrant | None:
        is_long = self._queue.is_long(ticket)
        found = self._table.reserve(self._service, is_long, excluded)
        if isinstance(found, routing.NoRoute) and is_long:
            # The queue counts open slots over all instances together.
            is_long = False
            found = self._table.reserve(self._service, is_long, excluded)
        match found:
            case routing.NoRoute():
                return None
            case entry:
                self._note_started(ticket)
                return LocalGrant(
                    ticket, entry, is_long, self._clock.monotonic()
                )

    def _note_started(self, ticket: service_queue.Ticket) -> None:
        self._running[ticket.request_id] = ticket
        self._queue.note_started(ticket)

    def _describe_slots(self) -> service_queue.SlotState:
        counts = self._table.count_slots(self._service)
        if not counts.free:
            return service_queue.SlotState(0, 0, 0)
        long_in_progress = sum(
            self._queue.is_long(ticket) for ticket in self._running.values()
        )
        return service_queue.SlotState(
            counts.total, counts.free, long_in_progress
        )

    async def _wait(
        self,
        ticket: service_queue.Ticket,
        waiter: _Waiter,
        wait_for_disconnect: WaitForDisconnect,
        in_flight: in_flight_run.InFlightRun | None,
    ) -> None:
        async def watch_caller() -> None:
            await wait_for_disconnect()
            if in_flight is not None and in_flight.has_joiners:
                return
            if self._queue.withdraw(ticket.request_id):
                waiter.resolve(outcomes.Withdrawn())

        async with anyio.create_task_group() as group:
            group.start_soon(watch_caller)
            await waiter.wait()
            group.cancel_scope.cancel()

    def _abandon(self, ticket: service_queue.Ticket, waiter: _Waiter) -> None:
        self._queue.withdraw(ticket.request_id)
        match waiter.admission:
            case LocalGrant() | RemoteGrant() as grant:
                self.release(grant, succeeded=False, was_sent=False)


def _make_expired_refusal() -> outcomes.Refused:
    return outcomes.Refused(
        503,
        "the deadline passed while the request waited for a slot; it was not "
        "run, allow more time or try again later",
        _RETRY_AFTER,
    )
