"""Converts requests and outcomes to and from messages between entries."""

import datetime
import secrets

from fireflywell import asgi
from fireflywell.membership import messages
from fireflywell.requests import classification
from fireflywell.requests import idempotency
from fireflywell.requests import outcomes

# Statuses by which an entry says that it can't take a forwarded request;
# it wasn't run there.
STATUS_OTHER_INCARNATION = 421
STATUS_NO_ROOM = 507
_RETRY_HEADER = "retry-after-ms"
REQUEST_ID_HEADER = "fireflywell-request-id"


def make_request(
    kind: messages.ForwardKind,
    incarnation: str,
    incoming: classification.IncomingRequest,
    remaining: datetime.timedelta | None,
) -> messages.ForwardRequest:
    """Returns the message that hands a request to another entry."""
    headers = tuple(
        messages.HeaderField(item.name, item.value)
        for item in incoming.headers
        if item.name != REQUEST_ID_HEADER
    )
    request_id = messages.HeaderField(REQUEST_ID_HEADER, incoming.request_id)
    milliseconds = 0
    if remaining is not None:
        millisecond = datetime.timedelta(milliseconds=1)
        milliseconds = max(1, remaining // millisecond)
    return messages.ForwardRequest(
        kind=kind,
        incarnation=incarnation,
        service=incoming.service,
        method=incoming.method,
        target=incoming.target,
        headers=(*headers, request_id),
        body=incoming.body,
        deadline_ms=milliseconds,
    )


def find_header(request: messages.ForwardRequest, name: str) -> str:
    """Returns the first header of that lower-case name, or an empty text."""
    for item in request.headers:
        if item.name == name:
            return item.value
    return ""


def read_request(
    request: messages.ForwardRequest,
    key: idempotency.IdempotencyKey | None,
    received_at: datetime.timedelta,
) -> classification.IncomingRequest:
    """Returns the request that a peer handed over."""
    headers = tuple(
        asgi.Header(item.name, item.value) for item in request.headers
    )
    request_id = asgi.find_header(headers, REQUEST_ID_HEADER)
    remaining = None
    if request.deadline_ms:
        remaining = datetime.timedelta(milliseconds=request.deadline_ms)
    return classification.IncomingRequest(
        request_id=request_id or secrets.token_hex(8),
        service=request.service,
        method=request.method,
        target=request.target,
        headers=headers,
        body=request.body,
        key=key,
        received_at=received_at,
        remaining=remaining,
    )


def make_reply(outcome: outcomes.Outcome) -> messages.ForwardReply:
    """Returns the message that carries an outcome back."""
    match outcome:
        case outcomes.Answered(status=status, headers=headers, body=body):
            fields = tuple(
                messages.HeaderField(item.name, item.value) for item in headers
            )
            return messages.ForwardReply(
                messages.OutcomeKind.ANSWERED, status, fields, body, ""
            )
        case outcomes.Refused(status=status, reason=reason, retry_after=after):
            fields = ()
            if after is not None:
                milliseconds = after // datetime.timedelta(milliseconds=1)
                field = messages.HeaderField(_RETRY_HEADER, str(milliseconds))
                fields = (field,)
            return messages.ForwardReply(
                messages.OutcomeKind.REFUSED, status, fields, b"", reason
            )
        case outcomes.Unknown(status=status, reason=reason):
            return messages.ForwardReply(
                messages.OutcomeKind.UNKNOWN, status, (), b"", reason
            )


def read_reply(reply: messages.ForwardReply) -> outcomes.Outcome:
    """Returns the outcome that a peer's reply carries."""
    match reply.kind:
        case messages.OutcomeKind.ANSWERED:
            headers = tuple(
                asgi.Header(item.name, item.value) for item in reply.headers
            )
            return outcomes.Answered(reply.status, headers, reply.body)
        case messages.OutcomeKind.REFUSED:
            after = None
            for item in reply.headers:
                if item.name == _RETRY_HEADER and item.value.isdigit():
                    after = datetime.timedelta(milliseconds=int(item.value))
            return outcomes.Refused(reply.status, reply.reason, after)
        case messages.OutcomeKind.UNKNOWN:
            return outcomes.Unknown(reply.status, reply.reason)
