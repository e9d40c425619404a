"""Sends admitted requests to instances and logs each routing decision."""

import dataclasses
import datetime

from fireflywell import asgi
from fireflywell import clock as clock_lib
from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import model
from fireflywell.entry import instance_client
from fireflywell.fleet import instances as instances_lib
from fireflywell.fleet import view as view_lib
from fireflywell.requests import outcomes
from fireflywell.requests import routing
from fireflywell.telemetry import logs
from fireflywell.telemetry import metrics as metrics_lib


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A parsed request of a caller.

    Attributes:
        request_id: Unique id, passed on to the instance.
        service: The service that it is for.
        method: HTTP method.
        target: Path and query below the service.
        headers: Headers of the caller.
        body: Whole body.
        timeout: Remaining time for the exchange.
    """

    request_id: str
    service: model.Service
    method: str
    target: str
    headers: tuple[asgi.Header, ...]
    body: bytes
    timeout: datetime.timedelta


class Dispatcher:
    """Keeps one client for each instance and routes requests to them."""

    __slots__ = ("_clients", "_clock", "_holder", "_metrics", "_view", "_zone")

    def __init__(
        self,
        holder: holder_lib.BundleHolder,
        view: view_lib.FleetView,
        zone: str,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._holder = holder
        self._view = view
        self._zone = zone
        self._clock = clock
        self._metrics = metrics
        self._clients: dict[str, instance_client.InstanceClient] = {}

    async def dispatch(self, request: ServiceRequest) -> outcomes.Outcome:
        """Routes one request and returns its outcome."""
        decision = routing.choose_instance(
            self._list_candidates(request.service.name), self._zone
        )
        match decision:
            case routing.RouteTo(instance=instance):
                logs.log_event(
                    "routing.decision",
                    request=request.request_id,
                    service=request.service.name,
                    instance=instance.instance_id,
                )
                return await self._exchange(request, instance)
            case routing.NoRoute(reason=reason):
                logs.log_event(
                    "routing.decision",
                    request=request.request_id,
                    service=request.service.name,
                    refused=reason,
                )
                return outcomes.Refused(
                    503, reason, datetime.timedelta(seconds=1)
                )

    async def close(self) -> None:
        """Closes all connections."""
        for client in self._clients.values():
            await client.close()

    async def _exchange(
        self, request: ServiceRequest, instance: instances_lib.Instance
    ) -> outcomes.Outcome:
        started = self._clock.monotonic()
        outcome = await self._find_client(instance).exchange(
            request.method,
            request.target,
            request.headers,
            request.body,
            request.request_id,
            request.timeout,
            request.service.echoes_request_id,
        )
        self._metrics.record_duration(
            f"requests.{request.service.name}.exchange",
            self._clock.monotonic() - started,
        )
        return outcome

    def _list_candidates(self, service: str) -> tuple[routing.Candidate, ...]:
        return tuple(
            routing.Candidate(
                instance=instance,
                in_progress=self._find_client(instance).in_progress,
                is_home=True,
                is_ejected=False,
            )
            for instance in self._view.list_instances(self._holder)
            if instance.service == service
        )

    def _find_client(
        self, instance: instances_lib.Instance
    ) -> instance_client.InstanceClient:
        client = self._clients.get(instance.instance_id)
        if client is None:
            client = instance_client.InstanceClient(instance)
            self._clients[instance.instance_id] = client
        return client
