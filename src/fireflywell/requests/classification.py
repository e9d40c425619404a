"""Classifies requests by their headers: service, class, team, deadline."""

import dataclasses
import datetime

from fireflywell import asgi
from fireflywell.bundle import model
from fireflywell.requests import idempotency
from fireflywell.requests import outcomes

CLASS_HEADER = "fireflywell-class"
TEAM_HEADER = "fireflywell-team"
DEADLINE_HEADER = "fireflywell-deadline-ms"
SAFE_METHODS = frozenset(("GET", "HEAD"))
_LONGEST_DEADLINE_MS = 24 * 60 * 60 * 1000


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request as received from a caller or a peer.

    Attributes:
        request_id: Unique id, passed on to the instance.
        service: Name of the service, which may be unknown.
        method: HTTP method.
        target: Path and query below the service.
        headers: Headers of the caller.
        body: Whole body.
        key: Idempotency key, or None if none was sent or the method is safe.
        received_at: Monotonic time at which the request arrived.
        remaining: Time until the deadline, as computed by the entry that
            forwarded the request; None if the request comes from its caller.
    """

    request_id: str
    service: str
    method: str
    target: str
    headers: tuple[asgi.Header, ...]
    body: bytes
    key: idempotency.IdempotencyKey | None
    received_at: datetime.timedelta
    remaining: datetime.timedelta | None = None

    def compute_digest(self) -> bytes:
        """Returns a digest that is equal only for the same request."""
        return idempotency.compute_request_digest(
            self.method, self.service, self.target, self.body
        )


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A classified request.

    Attributes:
        incoming: The request as received.
        service: The service that it is for.
        class_name: Name of its class.
        team: Name of its team.
        route: First path segment below the service.
        deadline: Monotonic time by which it must be answered, or None.
        is_idempotent: Whether it may be sent more than once.
    """

    incoming: IncomingRequest
    service: model.Service
    class_name: str
    team: str
    route: str
    deadline: datetime.timedelta | None
    is_idempotent: bool


class Classifier:
    """Classifies requests by the services, classes and teams of a bundle.

    A request without `Fireflywell-Class` or `Fireflywell-Team` belongs to the
    bundle's first class or team. A request without `Fireflywell-Deadline-Ms`
    has the deadline of its class, which may be none.
    """

    __slots__ = ("_bundle", "_classes", "_services", "_teams")

    def __init__(self, bundle: model.Bundle) -> None:
        self._bundle = bundle
        self._classes = {item.name: item for item in bundle.classes}
        self._services = {item.name: item for item in bundle.services}
        self._teams = {item.name: item for item in bundle.teams}

    @property
    def bundle(self) -> model.Bundle:
        """The bundle that requests are classified by."""
        return self._bundle

    def classify(
        self, incoming: IncomingRequest
    ) -> ServiceRequest | outcomes.Refused:
        """Returns the classified request, or the refusal of an invalid one."""
        service = self._services.get(incoming.service)
        if service is None:
            return outcomes.Refused(
                404,
                f"no service {incoming.service!r}; the path starts with the "
                "name of a service",
            )
        route = incoming.target[1:].partition("?")[0].partition("/")[0]
        is_idempotent = (
            incoming.method in SAFE_METHODS
            or route in service.idempotent_routes
        )
        if not is_idempotent and incoming.key is None:
            return outcomes.Refused(
                400,
                f"{incoming.method} {incoming.service}/{route} needs the "
                "header Idempotency-Key; get keys from POST /fireflywell/keys "
                "or choose a unique one",
            )
        found = self._find_class_and_team(incoming)
        if isinstance(found, outcomes.Refused):
            return found
        request_class, team = found
        deadline = _find_deadline(incoming, request_class)
        if isinstance(deadline, outcomes.Refused):
            return deadline
        return ServiceRequest(
            incoming,
            service,
            request_class.name,
            team.name,
            route,
            deadline,
            is_idempotent,
        )

    def _find_class_and_team(
        self, incoming: IncomingRequest
    ) -> tuple[model.RequestClass, model.Team] | outcomes.Refused:
        class_name = asgi.find_header(incoming.headers, CLASS_HEADER)
        if class_name is None:
            class_name = self._bundle.classes[0].name
        request_class = self._classes.get(class_name)
        if request_class is None:
            return outcomes.Refused(
                400,
                f"header Fireflywell-Class: no class {class_name!r}; use one "
                f"of {', '.join(self._classes)}",
            )
        team_name = asgi.find_header(incoming.headers, TEAM_HEADER)
        if team_name is None:
            team_name = self._bundle.teams[0].name
        team = self._teams.get(team_name)
        if team is None:
            return outcomes.Refused(
                400,
                f"header Fireflywell-Team: no team {team_name!r}; use the "
                "name of a team in the bundle",
            )
        return request_class, team


def parse_deadline(headers: tuple[asgi.Header, ...]) -> int | None:
    """Returns the deadline in milliseconds that the caller set, or None.

    Raises:
        ValueError: The header isn't a whole number in the allowed range.
    """
    text = asgi.find_header(headers, DEADLINE_HEADER)
    if text is None:
        return None
    is_number = text.isascii() and text.isdigit() and len(text) < 10
    if not is_number or not 1 <= int(text) <= _LONGEST_DEADLINE_MS:
        raise ValueError(
            f"header Fireflywell-Deadline-Ms: {text[:40]!r} isn't a whole "
            f"number of milliseconds from 1 to {_LONGEST_DEADLINE_MS}"
        )
    return int(text)


def _find_deadline(
    incoming: IncomingRequest, request_class: model.RequestClass
) -> datetime.timedelta | None | outcomes.Refused:
    if incoming.remaining is not None:
        return incoming.received_at + incoming.remaining
    try:
        milliseconds = parse_deadline(incoming.headers)
    except ValueError as error:
        return outcomes.Refused(400, str(error))
    if milliseconds is not None:
        limit = datetime.timedelta(milliseconds=milliseconds)
        return incoming.received_at + limit
    if request_class.deadline is None:
        return None
    return incoming.received_at + request_class.deadline
