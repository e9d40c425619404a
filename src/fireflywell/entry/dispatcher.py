"""Takes requests past the deduplicators to the admission of the services."""

import datetime

import anyio

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.bundle import holder as holder_lib
from fireflywell.entry import bound_keys
from fireflywell.entry import forward_targets
from fireflywell.entry import forwarding
from fireflywell.entry import in_flight_run
from fireflywell.entry import instance_table
from fireflywell.entry import key_owner
from fireflywell.entry import recorded_keys
from fireflywell.entry import request_runner
from fireflywell.entry import service_admission
from fireflywell.membership import messages
from fireflywell.requests import classification
from fireflywell.requests import idempotency
from fireflywell.requests import outcomes

_TICK = datetime.timedelta(milliseconds=50)


class Dispatcher:
    """Serves requests of callers and of peers."""

    __slots__ = (
        "_bound",
        "_classifier",
        "_clock",
        "_cluster_key",
        "_holder",
        "_in_progress",
        "_admissions",
        "_key_owner_client",
        "_recorded",
        "_forward_targets",
        "_runner",
        "_table",
    )

    def __init__(
        self,
        holder: holder_lib.BundleHolder,
        table: instance_table.InstanceTable,
        targets: forward_targets.ForwardTargets,
        runner: request_runner.RequestRunner,
        bound: bound_keys.BoundKeyDeduplicator,
        key_owner_client: key_owner.KeyOwnerClient,
        recorded: recorded_keys.RecordedKeyDeduplicator,
        cluster_key: bytes,
        clock: clock_lib.Clock,
    ) -> None:
        self._holder = holder
        self._table = table
        self._forward_targets = targets
        self._runner = runner
        self._bound = bound
        self._key_owner_client = key_owner_client
        self._recorded = recorded
        self._cluster_key = cluster_key
        self._clock = clock
        self._classifier: classification.Classifier | None = None
        self._admissions: dict[str, service_admission.ServiceAdmission] = {}
        self._in_progress = 0

    @property
    def in_progress(self) -> int:
        """Requests of callers and peers that aren't answered yet."""
        return self._in_progress

    async def dispatch(
        self,
        incoming: classification.IncomingRequest,
        wait_for_disconnect: service_admission.WaitForDisconnect,
    ) -> outcomes.RunResult:
        """Serves one request of a caller.

        Args:
            incoming: The request.
            wait_for_disconnect: Returns when the caller has left.
        """
        self._in_progress += 1
        try:
            match incoming.key:
                case None:
                    return await self._run_without_key(
                        incoming, wait_for_disconnect
                    )
                case idempotency.BoundKey() as key:
                    if key.incarnation != self._bound.ledger.incarnation:
                        return await self._key_owner_client.serve(key, incoming)
                    return await self._run_bound(
                        key, incoming, wait_for_disconnect
                    )
                case idempotency.RecordedKey() as key:
                    return await self._run_recorded(
                        key, incoming, wait_for_disconnect
                    )
        finally:
            self._in_progress -= 1

    async def answer_peer(
        self, request: messages.ForwardRequest
    ) -> messages.ForwardReply:
        """Serves a request that a peer forwarded."""
        if request.incarnation != self._bound.ledger.incarnation:
            refusal = outcomes.Refused(
                forwarding.STATUS_OTHER_INCARNATION,
                f"incarnation {request.incarnation} has ended; it was not run",
            )
            return forwarding.make_reply(refusal)
        self._in_progress += 1
        try:
            match request.kind:
                case messages.ForwardKind.KEY_OWNER:
                    outcome = await self._answer_as_owner(request)
                case messages.ForwardKind.HOME:
                    outcome = await self._answer_as_home(request)
        finally:
            self._in_progress -= 1
        return forwarding.make_reply(outcome)

    def list_loads(self) -> tuple[messages.ServiceLoad, ...]:
        """Returns free slots and queue lengths for the report to peers."""
        self._update()
        return tuple(
            messages.ServiceLoad(name, admission.free_slots, admission.queued)
            for name, admission in self._admissions.items()
        )

    async def run(self) -> None:
        """Ends expired waits and notices new slots, until cancelled."""
        while True:
            await self._clock.sleep(_TICK)
            self._update()
            for admission in self._admissions.values():
                if admission.queued:
                    admission.grant_free_slots()
            await self._table.close_retired()

    async def _run_without_key(
        self,
        incoming: classification.IncomingRequest,
        wait_for_disconnect: service_admission.WaitForDisconnect,
        in_flight: in_flight_run.InFlightRun | None = None,
    ) -> outcomes.RunResult:
        request = self._classify(incoming)
        if isinstance(request, outcomes.Refused):
            return request
        admission = self._admissions[request.service.name]
        return await self._runner.run(
            admission, request, wait_for_disconnect, in_flight
        )

    async def _run_bound(
        self,
        key: idempotency.BoundKey,
        incoming: classification.IncomingRequest,
        wait_for_disconnect: service_admission.WaitForDisconnect,
    ) -> outcomes.RunResult:
        async def run(
            in_flight: in_flight_run.InFlightRun,
        ) -> outcomes.RunResult:
            return await self._run_without_key(
                incoming, wait_for_disconnect, in_flight
            )

        return await self._bound.serve(key, incoming.compute_digest(), run)

    async def _run_recorded(
        self,
        key: idempotency.RecordedKey,
        incoming: classification.IncomingRequest,
        wait_for_disconnect: service_admission.WaitForDisconnect,
    ) -> outcomes.RunResult:
        request = self._classify(incoming)
        if isinstance(request, outcomes.Refused):
            # Another delivery may have run under an earlier bundle.
            return recorded_keys.make_not_run_outcome(
                request.status, request.reason
            )
        admission = self._admissions[request.service.name]

        async def run(
            in_flight: in_flight_run.InFlightRun,
            record_intent: recorded_keys.RecordIntent,
        ) -> outcomes.RunResult:
            return await self._runner.run(
                admission,
                request,
                wait_for_disconnect,
                in_flight,
                record_intent,
            )

        return await self._recorded.serve(
            key, request.team, incoming.compute_digest(), run
        )

    async def _answer_as_owner(
        self, request: messages.ForwardRequest
    ) -> outcomes.Outcome:
        text = forwarding.find_header(request, idempotency.KEY_HEADER)
        try:
            key = idempotency.parse_key(text, self._cluster_key)
        except errors.InvalidKeyError as error:
            return outcomes.Refused(400, str(error))
        incoming = forwarding.read_request(
            request, key, self._clock.monotonic()
        )
        match key:
            case idempotency.BoundKey() if (
                key.incarnation == self._bound.ledger.incarnation
            ):
                result = await self._run_bound(
                    key, incoming, anyio.sleep_forever
                )
            case _:
                return outcomes.Refused(400, "the key isn't this entry's")
        match result:
            case outcomes.Withdrawn():
                return outcomes.Unknown(504, "the request was withdrawn")
            case outcome:
                return outcome

    async def _answer_as_home(
        self, request: messages.ForwardRequest
    ) -> outcomes.Outcome:
        # The forwarder holds the key's record; the marker only satisfies the
        # rule that such requests need a key.
        marker = idempotency.RecordedKey("forwarded")
        incoming = forwarding.read_request(
            request, marker, self._clock.monotonic()
        )
        classified = self._classify(incoming)
        if isinstance(classified, outcomes.Refused):
            return classified
        admission = self._admissions[classified.service.name]
        return await self._runner.run_forwarded(admission, classified)

    def _classify(
        self, incoming: classification.IncomingRequest
    ) -> classification.ServiceRequest | outcomes.Refused:
        classifier = self._update()
        if classifier is None:
            return outcomes.Refused(
                503, self._holder.missing_reason, datetime.timedelta(seconds=1)
            )
        return classifier.classify(incoming)

    def _update(self) -> classification.Classifier | None:
        bundle = self._holder.current
        if bundle is None:
            return None
        if self._classifier is None or self._classifier.bundle is not bundle:
            self._classifier = classification.Classifier(bundle)
            for service in bundle.services:
                admission = self._admissions.get(service.name)
                if admission is None:
                    self._admissions[service.name] = (
                        service_admission.ServiceAdmission(
                            service,
                            bundle,
                            self._table,
                            self._forward_targets,
                            self._clock,
                        )
                    )
                else:
                    admission.reconfigure(service, bundle)
        return self._classifier
