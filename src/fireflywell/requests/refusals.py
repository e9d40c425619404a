"""Texts of refusals, as sent to callers."""

from fireflywell.requests import queue_values


def explain_refusal(
    kind: queue_values.RefusalKind, service: str, ticket: queue_values.Ticket
) -> str:
    """Returns what happened, to which request, and what the caller can do."""
    match kind:
        case queue_values.RefusalKind.UNKNOWN_CLASS:
            what = f"class {ticket.class_name} isn't in the bundle"
            remedy = "name one that is"
        case queue_values.RefusalKind.UNKNOWN_TEAM:
            what = f"team {ticket.team} isn't in the bundle"
            remedy = "name one that is"
        case queue_values.RefusalKind.DUPLICATE:
            what = f"request {ticket.request_id} is already waiting or running"
            remedy = "use a new id"
        case queue_values.RefusalKind.CLASS_FULL:
            what = f"the queue of class {ticket.class_name} is full"
            remedy = "try again later"
        case queue_values.RefusalKind.TEAM_FULL:
            what = (
                f"team {ticket.team} fills its part of the queue of class"
                f" {ticket.class_name}"
            )
            remedy = "send less at once or try again later"
        case queue_values.RefusalKind.DEADLINE:
            what = "the deadline can't be met"
            remedy = "allow more time or try again later"
    return f"{service}: {what}; the request was not run; {remedy}"
