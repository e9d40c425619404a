"""The operator's configuration that is in force."""

import dataclasses

from fireflywell.scheduling import model


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A queue's address for callers.

    Attributes:
        host: Value of the Host header.
        prefix: Start of the path.
        policy: How the queue's jobs are treated.
    """

    host: str
    prefix: str
    policy: model.QueuePolicy


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A pool of VMs.

    Attributes:
        name: Name.
        enforces_capacity: Whether workers refuse units that don't fit.
        is_spare: Whether its VMs are off until they move to another pool.
        max_connections: Most connections to one instance.
    """

    name: str
    enforces_capacity: bool
    is_spare: bool
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration.

    Attributes:
        version: Rises with each change, in uneven steps.
        routes: Addresses of the queues, longest prefix first.
        services: The pools.
        max_body_bytes: Limit of a request's body.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    max_body_bytes: int

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path, or None."""
        for route in self.routes:
            if route.host == host and path.startswith(route.prefix):
                return route
        return None

    def list_queue_services(self) -> dict[str, str]:
        """Returns the service of each queue, by the queue's name."""
        return {
            route.policy.queue: route.policy.service for route in self.routes
        }

    def find_service(self, name: str) -> Service | None:
        """Returns a service by name, or None."""
        for service in self.services:
            if service.name == name:
                return service
        return None
