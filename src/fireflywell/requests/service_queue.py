"""Weighted fair queue and admission of one service at one entry."""

from collections.abc import Iterable
from collections.abc import Iterator
import datetime

from fireflywell import clock as clock_lib
from fireflywell.bundle import model
from fireflywell.requests import admission
from fireflywell.requests import deadlines
from fireflywell.requests import fair_queue
from fireflywell.requests import flows
from fireflywell.requests import long_work_limiter
from fireflywell.requests import queue_values
from fireflywell.requests import refusals
from fireflywell.requests import service_times

Ticket = queue_values.Ticket
SlotState = queue_values.SlotState
Queued = queue_values.Queued
QueueRefusal = queue_values.QueueRefusal
RefusalKind = queue_values.RefusalKind
QueueOptions = queue_values.QueueOptions

_DEFAULT_OPTIONS = QueueOptions()
# Factor on an estimated wait that is compared with a deadline. Actual waits
# vary around the estimate: without a margin most requests of a long queue would
# run and finish just after their deadline.
_WAIT_MARGIN = 1.2
# One unproven request may run at a time for each this many slots. If more of
# them turned out to be long, they would block shorter work for a whole run.
_SLOTS_PER_UNPROVEN_RUN = 8
_LANES = tuple(service_times.Lane)


class _DispatchedTicket:
    """A ticket that `take_next` returned, with the cost charged to its team.

    `charge` is the estimated run time in seconds.
    """

    __slots__ = ("charge", "team")

    def __init__(self, team: flows.TeamFlow, charge: float) -> None:
        self.team = team
        self.charge = charge


class ServiceQueue:
    """Orders the requests of one service at one entry by fair shares.

    The caller must report each ticket that `take_next` returns with
    `note_finished`, even if the request was never sent. A request that a peer
    forwarded to this entry doesn't pass through the queue: the caller checks
    it with `may_start` and reports it with `note_started` and `note_finished`.
    """

    __slots__ = (
        "_classes",
        "_clock",
        "_deadlines",
        "_expired",
        "_long_work_limiter",
        "_options",
        "_queue",
        "_service",
        "_slots",
        "_dispatched",
        "_times",
        "_refreshed_at",
        "_counted_as_long",
    )

    def __init__(
        self,
        service: model.Service,
        classes: Iterable[model.RequestClass],
        teams: Iterable[model.Team],
        clock: clock_lib.Clock,
        options: QueueOptions = _DEFAULT_OPTIONS,
    ) -> None:
        self._clock = clock
        self._options = options
        self._queue = fair_queue.FairQueue()
        self._deadlines = deadlines.DeadlineIndex(self._queue.find_deadline)
        self._times = service_times.ServiceTimes(options)
        self._long_work_limiter = long_work_limiter.LongWorkLimiter(options)
        self._expired: list[Ticket] = []
        self._dispatched: dict[str, _DispatchedTicket] = {}
        self._counted_as_long: dict[str, bool] = {}
        self._refreshed_at: datetime.timedelta | None = None
        self._slots = SlotState(service.slots, service.slots, 0)
        self.reconfigure(service, classes, teams)

    @property
    def queued(self) -> int:
        """Number of waiting tickets."""
        return len(self._queue)

    def reconfigure(
        self,
        service: model.Service,
        classes: Iterable[model.RequestClass],
        teams: Iterable[model.Team],
    ) -> None:
        """Applies a new bundle's values; waiting tickets stay in the queue."""
        self._service = service
        self._classes = tuple(classes)
        burst = self._options.burst.total_seconds() * service.slots
        self._queue.configure(self._classes, teams, burst)
        self._times.configure(self._classes)
        self._long_work_limiter.configure(self._classes)

    def offer(self, ticket: Ticket) -> Queued | QueueRefusal:
        """Queues a ticket, or returns why it was refused and won't be run."""
        now = self._refresh()
        flow = self._queue.find_class(ticket.class_name)
        if flow is None:
            return self._refuse(ticket, RefusalKind.UNKNOWN_CLASS, None)
        team = self._queue.find_team(flow, ticket.team)
        if team is None:
            return self._refuse(ticket, RefusalKind.UNKNOWN_TEAM, None)
        if (
            ticket.request_id in self._queue
            or ticket.request_id in self._dispatched
        ):
            return self._refuse(ticket, RefusalKind.DUPLICATE, None)
        times = self._times.find(ticket.class_name, ticket.route)
        waiting = flows.WaitingTicket(ticket, times, team)
        wait = self._estimate_wait(waiting, now.total_seconds())
        full = admission.find_full_queue(flow, team)
        if full is not None:
            return self._refuse(ticket, full, wait / 2)
        if ticket.deadline is not None:
            remaining = (ticket.deadline - now).total_seconds()
            # The run time counts only while a run is in progress. Otherwise
            # no run would ever correct an estimate that is too long, and all
            # later requests would be refused.
            run = times.mean if times.running else 0.0
            shortfall = wait * _WAIT_MARGIN + run - remaining
            if remaining <= 0.0 or shortfall > 0.0:
                return self._refuse_late(ticket, remaining, shortfall, run)
        self._queue.add(waiting)
        if ticket.deadline is not None:
            self._deadlines.add(
                ticket.deadline, ticket.request_id, len(self._queue)
            )
        return Queued(datetime.timedelta(seconds=wait))

    def take_next(self, slots: SlotState) -> Ticket | None:
        """Removes and returns the ticket that starts next, or returns None.

        Args:
            slots: Current state of the slots; without a free slot the result
                is None.
        """
        now = self._refresh().total_seconds()
        self._slots = slots
        if slots.free <= 0 or not len(self._queue):
            return None
        best: flows.ClassFlow | None = None
        best_lane = service_times.Lane.QUICK
        for flow in self._queue.list_classes():
            if not flow.queued or (best is not None and flow.tag >= best.tag):
                continue
            lane = self._choose_lane(flow, slots, now)
            if lane is not None:
                best, best_lane = flow, lane
        if best is None:
            return None
        waiting = self._queue.take(best, best_lane)
        self._dispatched[waiting.ticket.request_id] = _DispatchedTicket(
            waiting.team, waiting.times.mean
        )
        return waiting.ticket

    def may_start(self, ticket: Ticket, slots: SlotState) -> bool:
        """Whether a request that a peer forwarded may take a free slot now."""
        now = self._refresh().total_seconds()
        if slots.free <= 0:
            return False
        times = self._times.find(ticket.class_name, ticket.route)
        return self._may_use(
            times.lane, ticket.class_name, times.mean, slots, now
        )

    def drop_expired(self) -> Iterator[Ticket]:
        """Yields each expired ticket once; it has already left the queue."""
        self._refresh()
        while self._expired:
            yield self._expired.pop()

    def withdraw(self, request_id: str) -> bool:
        """Removes a waiting ticket; returns False if it isn't waiting."""
        return self._queue.remove(request_id) is not None

    def note_started(self, ticket: Ticket) -> None:
        """Records that the request holds a slot from now on."""
        now = self._clock.monotonic().total_seconds()
        if self._times.record_start(ticket, now):
            is_long = self.is_long(ticket)
            self._counted_as_long[ticket.request_id] = is_long
            self._long_work_limiter.record_start(
                ticket.class_name, is_long, now
            )

    def note_finished(
        self, ticket: Ticket, duration: datetime.timedelta, succeeded: bool
    ) -> None:
        """Records that the request released its slot or won't be sent.

        Corrects the charge of the request's team and updates the run times.

        Args:
            ticket: The request.
            duration: Time for which it held its slot; zero if it was not sent.
            succeeded: Whether the instance completed the work.
        """
        seconds = duration.total_seconds()
        dispatched = self._dispatched.pop(ticket.request_id, None)
        if dispatched is not None:
            self._queue.correct(dispatched.team, seconds - dispatched.charge)
        self._times.record_finish(ticket.request_id, seconds, succeeded)
        is_long = self._counted_as_long.pop(ticket.request_id, None)
        if is_long is not None:
            times = self._times.find(ticket.class_name, ticket.route)
            now = self._clock.monotonic().total_seconds()
            self._long_work_limiter.record_finish(
                ticket.class_name, is_long, times.mean, now
            )
        self._move_reclassified()

    def is_long(self, ticket: Ticket) -> bool:
        """Whether the request's route is currently classified as long."""
        return self._times.find(ticket.class_name, ticket.route).is_long

    def _refresh(self) -> datetime.timedelta:
        now = self._clock.monotonic()
        if now == self._refreshed_at:
            return now
        self._refreshed_at = now
        for request_id in self._deadlines.pop_due(now):
            waiting = self._queue.remove(request_id)
            if waiting is not None:
                self._expired.append(waiting.ticket)
        self._times.mark_overdue(now.total_seconds())
        self._move_reclassified()
        return now

    def _move_reclassified(self) -> None:
        for times in self._times.pop_changed():
            self._queue.move_route(times)

    def _choose_lane(
        self, flow: flows.ClassFlow, slots: SlotState, now: float
    ) -> service_times.Lane | None:
        best = None
        # A class that was served less than its share needn't leave the last
        # free slot to shorter work.
        is_behind = flow.tag < self._queue.virtual_time
        for lane in _LANES:
            count = flow.counts[lane]
            if not count or (
                best is not None
                and flow.lane_tags[lane] >= flow.lane_tags[best]
            ):
                continue
            mean = flow.costs[lane] / count
            if (
                lane is service_times.Lane.QUICK
                and is_behind
                or self._may_use(lane, flow.config.name, mean, slots, now)
            ):
                best = lane
        return best

    def _may_use(
        self,
        lane: service_times.Lane,
        class_name: str,
        mean: float,
        slots: SlotState,
        now: float,
    ) -> bool:
        unproven = self._times.unproven_running
        used = slots.long_in_progress + unproven
        match lane:
            case service_times.Lane.QUICK:
                return self._long_work_limiter.may_start_quick(
                    class_name, mean, slots, now
                )
            case service_times.Lane.UNPROVEN:
                return unproven < max(1, slots.total // _SLOTS_PER_UNPROVEN_RUN)
            case service_times.Lane.LONG:
                return self._long_work_limiter.may_start(
                    class_name,
                    mean,
                    SlotState(slots.total, slots.free, used),
                    now,
                )

    def _estimate_wait(self, waiting: flows.WaitingTicket, now: float) -> float:
        flow, lane = waiting.team.class_flow, waiting.lane
        if not flow.counts[lane]:
            return 0.0
        total = max(1, self._slots.total)
        rate = self._long_work_limiter.estimate_rate(
            flow.config.name, total, now
        )
        if lane is service_times.Lane.LONG:
            rate = min(
                rate, self._long_work_limiter.count_long_work_slots(total)
            )
        return admission.estimate_wait(waiting.team, lane, rate)

    def _refuse_late(
        self, ticket: Ticket, remaining: float, shortfall: float, run: float
    ) -> QueueRefusal:
        # Even with an empty queue the request takes `run` seconds, so a retry
        # with the same time limit can succeed only if that fits.
        can_retry_help = remaining > 0.0 and run <= remaining
        return self._refuse(
            ticket, RefusalKind.DEADLINE, shortfall if can_retry_help else None
        )

    def _refuse(
        self, ticket: Ticket, kind: RefusalKind, pause: float | None
    ) -> QueueRefusal:
        retry_after = None
        if pause is not None:
            retry_after = admission.clamp_pause(
                pause, self._options.maximum_retry_after
            )
        return QueueRefusal(
            refusals.explain_refusal(kind, self._service.name, ticket),
            retry_after,
            kind,
        )
