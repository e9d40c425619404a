"""Decodes the operator's configuration from the platform's store."""

import json
from typing import Any

from fireflywell import errors
from fireflywell.node import configuration
from fireflywell.scheduling import model


def decode_configuration(data: bytes) -> configuration.Configuration:
    """Decodes the value of the operator's configuration row.

    The routes are sorted by decreasing length of their prefixes, so that the
    first match is the longest one.

    Raises:
        CorruptRowError: The value isn't a valid configuration.
    """
    try:
        document = json.loads(data)
        routes = [_decode_route(item) for item in document["routes"]]
        routes.sort(key=lambda route: -len(route.prefix))
        return configuration.Configuration(
            int(document["version"]),
            tuple(routes),
            tuple(_decode_service(item) for item in document["services"]),
            int(document.get("limits", {}).get("max_body_bytes") or 262144),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise errors.CorruptRowError(
            f"the configuration row can't be decoded: {error!r}; the last "
            "valid configuration stays in use"
        ) from error


def _decode_route(item: dict[str, Any]) -> configuration.Route:
    advice = item.get("advice")
    policy = model.QueuePolicy(
        queue=item["name"],
        service=item["service"],
        priority=int(item.get("priority") or 0),
        max_attempts=int(item.get("max_attempts") or 1),
        stretch_factor=float(item.get("stretch_factor") or 1.0),
        target_s=float(item.get("target_latency_ms") or 0) / 1000,
        advice=_decode_advice(advice) if advice else None,
    )
    return configuration.Route(item["host"], item["path_prefix"], policy)


def _decode_advice(item: dict[str, Any]) -> model.AdvicePolicy:
    return model.AdvicePolicy(
        float(item.get("decision_ms") or 0) / 1000,
        float(item.get("per_item_ms") or 0) / 1000,
        float(item.get("validity_ms") or 0) / 1000,
    )


def _decode_service(item: dict[str, Any]) -> configuration.Service:
    return configuration.Service(
        item["name"],
        bool(item.get("enforces_capacity", False)),
        bool(item.get("spare", False)),
        int(item.get("max_connections") or 64),
    )
