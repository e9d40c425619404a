"""Builds the parts of an entry, for the process, tests and benchmarks."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import datetime
import random

from fireflywell import clock as clock_lib
from fireflywell.bundle import holder as holder_lib
from fireflywell.entry import application as application_lib
from fireflywell.entry import bound_keys
from fireflywell.entry import dispatcher as dispatcher_lib
from fireflywell.entry import forward_targets
from fireflywell.entry import homes as homes_lib
from fireflywell.entry import instance_table
from fireflywell.entry import key_owner
from fireflywell.entry import pause_guard
from fireflywell.entry import readiness
from fireflywell.entry import recorded_keys
from fireflywell.entry import request_runner
from fireflywell.entry import result_copier
from fireflywell.entry import status_page
from fireflywell.fleet import view as view_lib
from fireflywell.infrastructure import tables
from fireflywell.membership import links as links_lib
from fireflywell.requests import key_ledger
from fireflywell.supervision import policies
from fireflywell.supervision import supervisor as supervisor_lib
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib

_DRAIN_POLL = datetime.timedelta(milliseconds=50)


@dataclasses.dataclass(frozen=True, slots=True)
class EntryContext:
    """What the parts of an entry share.

    Attributes:
        holder: The bundle in force.
        view: The fleet as last read.
        store: Table service.
        links: Other processes.
        homes: Which instances this entry alone sends to.
        guard: Notices pauses of the process.
        cluster_key: Key shared by all processes.
        zone: Availability zone.
        clock: Source of time.
        rng: Source of randomness.
        metrics: Receives samples.
    """

    holder: holder_lib.BundleHolder
    view: view_lib.FleetView
    store: tables.Table
    links: links_lib.PeerLinks
    homes: homes_lib.Homes
    guard: pause_guard.SendGuard
    cluster_key: bytes
    zone: str
    clock: clock_lib.Clock
    rng: random.Random
    metrics: metrics_lib.Metrics


@dataclasses.dataclass(frozen=True, slots=True)
class EntryParts:
    """The parts of an entry that its process runs and stops."""

    application: application_lib.EntryApplication
    dispatcher: dispatcher_lib.Dispatcher
    instances: instance_table.InstanceTable
    ledger: key_ledger.KeyLedger
    recorded: recorded_keys.RecordedKeyDeduplicator
    copier: result_copier.ResultCopier

    def list_children(self) -> tuple[supervisor_lib.Child, ...]:
        """Returns the background tasks of the request path."""
        return (
            supervisor_lib.Child(
                "dispatcher",
                self.dispatcher.run,
                policies.RestartWithBackoff(),
            ),
            supervisor_lib.Child(
                "result_copier",
                self.copier.run,
                policies.RestartWithBackoff(),
            ),
        )


def assemble_entry(context: EntryContext) -> EntryParts:
    """Builds an entry and answers what peers forward to it."""
    clock, rng, metrics = context.clock, context.rng, context.metrics
    links, store = context.links, context.store
    instances = instance_table.InstanceTable(
        context.holder,
        context.view,
        context.homes,
        context.guard,
        context.zone,
        clock,
    )
    ledger = key_ledger.KeyLedger(links.address, links.incarnation, clock)
    recorded = recorded_keys.RecordedKeyDeduplicator(
        store, links.incarnation, clock, rng
    )
    dispatcher = dispatcher_lib.Dispatcher(
        context.holder,
        instances,
        forward_targets.ForwardTargets(links, context.zone, clock),
        request_runner.RequestRunner(
            instances, links, context.guard, clock, rng, metrics
        ),
        bound_keys.BoundKeyDeduplicator(ledger),
        key_owner.KeyOwnerClient(links, store, clock),
        recorded,
        context.cluster_key,
        clock,
    )
    links.set_forward_handler(dispatcher.answer_peer)
    return EntryParts(
        application=application_lib.EntryApplication(
            readiness.Readiness(context.holder, context.view, instances, links),
            dispatcher,
            ledger,
            context.cluster_key,
            clock,
            rng,
            metrics,
            status_page.StatusReader(
                context.holder, dispatcher, instances, links, context.zone
            ),
        ),
        dispatcher=dispatcher,
        instances=instances,
        ledger=ledger,
        recorded=recorded,
        copier=result_copier.ResultCopier(
            ledger, recorded, store, clock, rng, metrics
        ),
    )


async def drain_entry(
    parts: EntryParts,
    hand_over_homes: Callable[[], Awaitable[None]],
    clock: clock_lib.Clock,
    stop_timeout: datetime.timedelta,
) -> None:
    """Finishes all requests, gives the homes away and copies the results.

    Args:
        parts: Parts of the entry, which still serves what reaches it.
        hand_over_homes: Gives the homes to other entries.
        clock: Measures the wait.
        stop_timeout: After each such time a log line tells what is still in
            progress; nothing is interrupted.
    """
    await _wait_until_idle(parts, clock, stop_timeout)
    await hand_over_homes()
    # A peer may have forwarded a request until the last home was given away.
    await _wait_until_idle(parts, clock, stop_timeout)
    is_complete = await parts.copier.close()
    logs.log_event("entry.drained", results_copied=is_complete)


async def _wait_until_idle(
    parts: EntryParts,
    clock: clock_lib.Clock,
    stop_timeout: datetime.timedelta,
) -> None:
    started = clock.monotonic()
    while True:
        in_progress = max(
            parts.application.in_progress, parts.dispatcher.in_progress
        )
        if not in_progress:
            return
        if clock.monotonic() - started >= stop_timeout:
            logs.log_event("entry.stop_waits", in_progress=in_progress)
            started = clock.monotonic()
        await clock.sleep(_DRAIN_POLL)
