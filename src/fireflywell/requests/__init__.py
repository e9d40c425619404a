"""Decisions of the request path: admission, queues, routing, outcomes."""
