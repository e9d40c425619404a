"""Decodes the operator's configuration from the platform's store."""

from typing import Any

from fireflywell import errors
from fireflywell.node import configuration
from fireflywell.platform import json_values
from fireflywell.scheduling import model


def decode_configuration(data: bytes) -> configuration.Configuration:
    """Decodes the value of the operator's configuration row.

    The routes are sorted by decreasing length of their prefixes, so that the
    first match is the longest one.

    Raises:
        CorruptRowError: The value isn't a valid configuration.
    """
    try:
        document = json_values.parse_object(data)
        routes = [
            _decode_route(json_values.read_object(item, "route"))
            for item in json_values.read_list(document["routes"], "routes")
        ]
        routes.sort(key=lambda route: -len(route.prefix))
        limits = json_values.read_object(document.get("limits"), "limits", {})
        return configuration.Configuration(
            json_values.read_integer(document["version"], "version"),
            tuple(routes),
            tuple(
                _decode_service(json_values.read_object(item, "service"))
                for item in json_values.read_list(
                    document["services"], "services"
                )
            ),
            _read_integer(limits, "max_body_bytes") or 262144,
        )
    except (ValueError, KeyError) as error:
        raise errors.CorruptRowError(
            f"the configuration row can't be decoded: {error!r}; the last "
            "valid configuration stays in use"
        ) from error


def _decode_route(item: dict[str, Any]) -> configuration.Route:
    advice = item.get("advice")
    policy = model.QueuePolicy(
        queue=_read_text(item, "name"),
        service=_read_text(item, "service"),
        priority=_read_integer(item, "priority"),
        max_attempts=_read_integer(item, "max_attempts") or 1,
        stretch_factor=_read_number(item, "stretch_factor") or 1.0,
        target_s=_read_number(item, "target_latency_ms") / 1000,
        advice=(
            _decode_advice(json_values.read_object(advice, "advice"))
            if advice
            else None
        ),
    )
    return configuration.Route(
        _read_text(item, "host"), _read_text(item, "path_prefix"), policy
    )


def _decode_advice(item: dict[str, Any]) -> model.AdvicePolicy:
    return model.AdvicePolicy(
        _read_number(item, "decision_ms") / 1000,
        _read_number(item, "per_item_ms") / 1000,
        _read_number(item, "validity_ms") / 1000,
    )


def _decode_service(item: dict[str, Any]) -> configuration.Service:
    return configuration.Service(
        _read_text(item, "name"),
        bool(item.get("enforces_capacity", False)),
        bool(item.get("spare", False)),
        _read_integer(item, "max_connections") or 64,
    )


def _read_text(item: dict[str, Any], key: str) -> str:
    return json_values.read_text(item.get(key), key)


def _read_integer(item: dict[str, Any], key: str) -> int:
    return json_values.read_integer(item.get(key), key, 0)


def _read_number(item: dict[str, Any], key: str) -> float:
    return json_values.read_number(item.get(key), key, 0.0)
