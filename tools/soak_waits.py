"""How long accepted work waits beside free workers in a soak.

The rule is the users' rule LOST: no ready unit of an accepted job waits for 3 s
with nothing of the job running, while the workers have room for it twice over
and under half of their capacity is in use. Time that a fault excuses doesn't
count.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import math

from tools import soak_clients
from tools import soak_plan
from tools import soak_spans

from fireflywell.node import worker_leases
from fireflywell.standins import emulator_values as values
from fireflywell.standins import link_proxy

# Rule LOST: the wait that is allowed, and the calm time before it.
ALLOWED_S = 3.0
CALM_S = 4.0

# Rule LOST: a unit that runs until its job is cancelled may pause for this time
# after a run.
_PAUSE_S = 6.0

# The users' platform allows this until work is served after all nodes were
# lost.
_RECOVERY_S = 12.0

# A start that got no answer may be carried out until the lease in it is over,
# and its unit waits until then.
START_LEASE_S = soak_plan.MAX_HOLD_S * (1 + worker_leases.CLOCK_DRIFT)

# A successor can't know what runs on a worker that it doesn't reach. It waits
# for the former owner's lease, the time for which that one still renews the
# leases on workers, and the last of these leases. Each disturbance of a worker
# allows it once: losing the successors, too, must not begin it anew.
TAKEOVER_S = (
    soak_plan.LEASE_S
    + worker_leases.RENEWAL_GRACE.total_seconds()
    + START_LEASE_S
)

# Waits that are described one by one.
_MOST_SHOWN = 3

_ROOM_FACTOR = 2
_MOST_IN_USE = 0.5


@dataclasses.dataclass(slots=True)
class FaultSeen:
    """A fault that was made; times are monotonic seconds.

    Attributes:
        fault: The fault.
        begun_s: When it began.
        ended_s: When it healed; infinite before that.
        services: Services whose owner it disturbed; None if that isn't known.
    """

    fault: soak_plan.Fault
    begun_s: float
    ended_s: float = math.inf
    services: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WaitSeen:
    """A wait of accepted work beside enough free capacity.

    Attributes:
        name: The job, or the unit that runs until its job is cancelled.
        span: When it waited.
        counted_s: Length of the wait without the time that faults excuse.
    """

    name: str
    span: soak_spans.Span
    counted_s: float


def list_stale_state(faults: Iterable[FaultSeen]) -> list[soak_spans.Span]:
    """Returns when reads are behind or transactions late, and calm after it."""
    return [
        soak_spans.Span(seen.begun_s, seen.begun_s + fault.seconds + CALM_S)
        for seen in faults
        if isinstance(seen.fault, soak_plan.PlatformFault)
        and isinstance(
            fault := seen.fault.fault,
            values.StoreBehind | values.TransactionsLate,
        )
    ]


def find_waits(
    jobs: Iterable[soak_clients.JobRecord],
    records: values.Records,
    faults: Sequence[FaultSeen],
    observed: soak_spans.Span,
    stalls: Iterable[soak_spans.Span] = (),
) -> list[WaitSeen]:
    """Returns all waits beside enough free capacity.

    Args:
        jobs: What clients know of their jobs.
        records: What the workers have seen.
        faults: The faults that were made.
        observed: From the start of the traffic until the records were read.
        stalls: When the machine gave the soak no processor time.
    """
    start = soak_spans.Span(-math.inf, observed.begun_s + CALM_S)
    stalled = [soak_spans.Span(s.begun_s, s.ended_s + CALM_S) for s in stalls]
    found = []
    excuses: dict[str, list[soak_spans.Span]] = {}
    room: dict[str, list[soak_spans.Span]] = {}
    for job in jobs:
        if job.accepted_s is None:
            continue
        service = job.service
        if service not in room:
            room[service] = _find_room(service, records, faults)
            excuses[service] = [
                start,
                *_excuse(service, records, faults, stalled),
            ]
        for name, wait, pause_s in _list_waits(job, records, observed.ended_s):
            held = [
                soak_spans.Span(item.at_s, item.at_s + START_LEASE_S)
                for item in records.held
                if item.unit.startswith(name)
            ]
            pause = soak_spans.Span(wait.begun_s, wait.begun_s + pause_s)
            for span in soak_spans.intersect(wait, room[service]):
                counted_s = soak_spans.measure(
                    span, [*excuses[service], *held, pause]
                )
                found.append(WaitSeen(name, span, counted_s))
    return found


def describe_long_waits(waits: Iterable[WaitSeen]) -> Iterator[str]:
    """Yields a line for each of the longest waits that no fault excuses."""
    found = [item for item in waits if item.counted_s > ALLOWED_S]
    found.sort(key=lambda item: item.counted_s, reverse=True)
    for wait in found[:_MOST_SHOWN]:
        yield (
            f"{wait.name} waits beside free workers from "
            f"{wait.span.begun_s:.2f} for {wait.span.length_s:.2f} s, "
            f"{wait.counted_s:.2f} s of it without an excuse"
        )
    if len(found) > _MOST_SHOWN:
        yield f"{len(found) - _MOST_SHOWN} shorter waits are too long, too"


def _list_waits(
    job: soak_clients.JobRecord, records: values.Records, observed_s: float
) -> Iterator[tuple[str, soak_spans.Span, float]]:
    """Yields when a job, or a unit that lasts, was due and didn't run.

    The last value is the time for which it may pause at the start of the wait.
    """
    assert job.accepted_s is not None
    until_s = job.cancel_sent_s or observed_s
    ends = {(item.life, item.unit, item.run): item for item in records.ends}
    done_s: dict[str, float] = {}
    runs: dict[str, list[soak_spans.Span]] = {}
    for start in sorted(records.starts, key=lambda item: item.at_s):
        if not start.unit.startswith(job.job_id):
            continue
        end = ends.get((start.life, start.unit, start.run))
        ended_s = end.at_s if end else math.inf
        name = start.unit if job.is_long_running else job.job_id
        runs.setdefault(name, []).append(soak_spans.Span(start.at_s, ended_s))
        # A worker may fall silent before it receives that its end is noted.
        # Then the job is shown as completed without another run.
        done_s.pop(start.unit, None)
        is_noted = end and (end.is_noted or job.state == "completed")
        if end and end.kind == "done" and is_noted:
            done_s[start.unit] = end.at_s
    names = [job.job_id]
    if job.is_long_running:
        names = [f"{job.job_id}.0.0.{n}" for n in range(job.units)]
    elif len(done_s) == job.units:
        until_s = min(until_s, max(done_s.values()))
    for name in names:
        due = soak_spans.Span(job.accepted_s, until_s)
        for span in soak_spans.subtract(due, runs.get(name, [])):
            is_again = job.is_long_running and span.begun_s > job.accepted_s
            yield name, span, _PAUSE_S if is_again else 0.0


def _list_excuses(seen: FaultSeen) -> Iterator[soak_spans.Span]:
    """Yields the time for which a fault may keep all work from starting.

    Another node takes over from a lost one after its lease, so that a longer
    loss of the same node excuses no more.
    """
    begun_s = seen.begun_s
    away = soak_spans.Span(begun_s, begun_s + CALM_S)
    cut = soak_spans.Span(
        begun_s, min(seen.ended_s, begun_s + soak_plan.LEASE_S) + CALM_S
    )
    match seen.fault:
        case soak_plan.KillNode() | soak_plan.TermNode():
            yield away
        case soak_plan.KillAllNodes():
            yield soak_spans.Span(begun_s, seen.ended_s + _RECOVERY_S)
        case soak_plan.PauseNode():
            yield cut
        case soak_plan.LinkFault(link=link, state=state) if _is_node(link):
            match state:
                case link_proxy.Silent():
                    yield cut
                case link_proxy.Delayed():
                    yield soak_spans.Span(begun_s, seen.ended_s + CALM_S)
        case soak_plan.ResetLink(link=link) if _is_node(link):
            yield away
        case soak_plan.PlatformFault(
            fault=values.StoreDown(seconds=seconds)
            | values.StoreSlow(seconds=seconds)
            | values.StoreBehind(seconds=seconds)
            | values.TransactionsLate(seconds=seconds)
        ):
            # Rule LOST counts waits only while the store is without disruption.
            yield soak_spans.Span(begun_s, begun_s + seconds + CALM_S)
        case soak_plan.PlatformFault(
            fault=values.AnswersLost() | values.HistoryLost()
        ):
            yield away


def _excuse(
    service: str,
    records: values.Records,
    faults: Iterable[FaultSeen],
    stalled: Iterable[soak_spans.Span],
) -> list[soak_spans.Span]:
    """Returns when faults may keep a service's work from starting."""
    own = sorted(
        (
            seen
            for seen in faults
            if seen.services is None or service in seen.services
        ),
        key=lambda seen: seen.begun_s,
    )
    excuses = [*stalled, *(span for f in own for span in _list_excuses(f))]
    losses = [span for f in own if _takes_owner(f) for span in _list_excuses(f)]
    workers = {item.worker for item in records.lives if item.service == service}
    for seen in faults:
        for worker, span in _list_unsound(seen):
            if worker not in workers:
                continue
            # A unit may have been started there just then.
            excuses.append(
                soak_spans.Span(span.begun_s, span.begun_s + START_LEASE_S)
            )
            first = [loss for loss in losses if loss.overlaps(span)][:1]
            takeovers = first + [s for s in stalled if s.overlaps(span)]
            excuses += [
                soak_spans.Span(item.begun_s, item.begun_s + TAKEOVER_S)
                for item in takeovers
            ]
    return excuses


def _takes_owner(seen: FaultSeen) -> bool:
    """Returns whether the service gets another owner.

    A node renews its lease three times while it lasts, so the last renewal may
    be a third of it old when a node stands still.
    """
    is_long = seen.ended_s - seen.begun_s > soak_plan.LEASE_S * 2 / 3
    match seen.fault:
        case (
            soak_plan.KillNode()
            | soak_plan.KillAllNodes()
            | soak_plan.TermNode()
        ):
            return True
        case soak_plan.PauseNode():
            return is_long
        case soak_plan.LinkFault(link=link, state=link_proxy.Silent()):
            return is_long and _is_node(link)
        case soak_plan.PlatformFault(
            fault=values.StoreDown(seconds=seconds)
            | values.StoreSlow(seconds=seconds)
            | values.TransactionsLate(seconds=seconds)
            | values.StoreBehind(lag_s=seconds)
        ):
            # At the begin of a lag, others see no renewal for as long as it.
            return seconds > soak_plan.LEASE_S * 2 / 3
        case _:
            return False


def _list_unsound(seen: FaultSeen) -> Iterator[tuple[str, soak_spans.Span]]:
    """Yields the worker that a fault disturbs, and when."""
    begun_s = seen.begun_s
    match seen.fault:
        case soak_plan.LinkFault(link=link):
            worker = soak_plan.name_linked_worker(link)
            if worker is not None:
                yield worker, soak_spans.Span(begun_s, seen.ended_s + CALM_S)
        case soak_plan.ResetLink(link=link):
            worker = soak_plan.name_linked_worker(link)
            if worker is not None:
                yield worker, soak_spans.Span(begun_s, begun_s + CALM_S)
        case soak_plan.AddressReused(worker=worker):
            yield worker, soak_spans.Span(begun_s, seen.ended_s + CALM_S)
        case soak_plan.PlatformFault(
            fault=values.AddressChange(worker=worker, seconds=seconds)
        ):
            # The way back is a change of its own.
            for at_s in (begun_s, begun_s + seconds):
                yield worker, soak_spans.Span(at_s, at_s + CALM_S)
        case soak_plan.PlatformFault(
            fault=values.WorkerCrash(worker=worker, seconds=seconds)
            | values.WorkerDrain(worker=worker, seconds=seconds)
            | values.WorkerFails(worker=worker, seconds=seconds)
            | values.OrdersLate(worker=worker, seconds=seconds)
            | values.OrdersRejected(worker=worker, seconds=seconds)
            | values.OrdersLost(worker=worker, seconds=seconds)
        ):
            yield worker, soak_spans.Span(begun_s, begun_s + seconds + CALM_S)
        case soak_plan.PlatformFault(
            fault=values.StartsUnanswered(worker=worker)
        ):
            yield worker, soak_spans.Span(begun_s, begun_s + START_LEASE_S)


def _find_room(
    service: str, records: values.Records, faults: Iterable[FaultSeen]
) -> list[soak_spans.Span]:
    """Returns when sound workers have room for a unit twice over."""
    unsound = [item for seen in faults for item in _list_unsound(seen)]
    lives = [item for item in records.lives if item.service == service]
    runs = _list_runs(records)
    # A worker is sound while it is up and nothing disturbs it.
    sound: dict[str, list[soak_spans.Span]] = {}
    changes = set()
    for life in lives:
        ended_s = [t for t in (life.leaving_s, life.ended_s) if t is not None]
        up = soak_spans.Span(
            life.begun_s + CALM_S, min(ended_s, default=math.inf)
        )
        own = [span for worker, span in unsound if worker == life.worker]
        sound[life.life] = soak_spans.subtract(up, own)
        for span in (*sound[life.life], *runs.get(life.life, ())):
            changes.update((span.begun_s, span.ended_s))
    times = sorted(changes)
    return soak_spans.merge(
        soak_spans.Span(begun_s, ended_s)
        for begun_s, ended_s in zip(times, times[1:], strict=False)
        if _has_room(lives, sound, runs, begun_s)
    )


def _has_room(
    lives: Iterable[values.LifeSeen],
    sound: dict[str, list[soak_spans.Span]],
    runs: dict[str, list[soak_spans.Span]],
    at_s: float,
) -> bool:
    """Returns whether there is room from a time on."""
    capacity, in_use, units = 0, 0, 0
    for life in lives:
        if not soak_spans.is_in(at_s, sound[life.life]):
            continue
        used = soak_clients.UNIT_CPU_MILLIS * sum(
            span.begun_s <= at_s < span.ended_s
            for span in runs.get(life.life, ())
        )
        capacity += life.cpu_millis
        in_use += used
        units += max(0, life.cpu_millis - used) // soak_clients.UNIT_CPU_MILLIS
    return units >= _ROOM_FACTOR and in_use < _MOST_IN_USE * capacity


def _list_runs(records: values.Records) -> dict[str, list[soak_spans.Span]]:
    ends = {
        (item.life, item.unit, item.run): item.at_s for item in records.ends
    }
    runs: dict[str, list[soak_spans.Span]] = {}
    for start in records.starts:
        key = (start.life, start.unit, start.run)
        span = soak_spans.Span(start.at_s, ends.get(key, math.inf))
        runs.setdefault(start.life, []).append(span)
    return runs


def _is_node(link: str) -> bool:
    return link.startswith("node-")
