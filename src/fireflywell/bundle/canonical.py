"""Canonical form and digest of a bundle."""

import dataclasses
import enum
import hashlib
from typing import Any
from typing import TypeVar
from typing import get_args
from typing import get_origin

import cattrs
import cattrs.errors
import cattrs.gen
import msgpack

from fireflywell import errors
from fireflywell import settings as settings_lib
from fireflywell.bundle import model

T = TypeVar("T")

# A bundle at the design size takes about 100 KB; the bound keeps a wrong
# object from filling the memory.
BODY_LIMIT_BYTES = 4 * 1024 * 1024


def encode_bundle(bundle: model.Bundle) -> bytes:
    """Returns the canonical form: msgpack with sorted keys and lists.

    The order of the entries in the document has no meaning, so lists are
    sorted by name.
    """
    return _pack(_converter().unstructure(sort_bundle(bundle)))


def decode_bundle(body: bytes) -> model.Bundle:
    """Returns the bundle of a canonical form.

    Raises:
        BundleSchemaError: The body isn't a bundle that this version knows.
    """
    if len(body) > BODY_LIMIT_BYTES:
        raise errors.BundleSchemaError(
            f"the bundle's body has {len(body)} bytes, more than "
            f"{BODY_LIMIT_BYTES}; check that the object is a bundle"
        )
    try:
        document = msgpack.unpackb(body)
        return _converter().structure(document, model.Bundle)
    except (cattrs.errors.BaseValidationError, ValueError, TypeError) as error:
        problems = "; ".join(settings_lib.describe_problems(error))
        raise errors.BundleSchemaError(
            f"the bundle's body doesn't match the schema ({problems}); check "
            "that this process runs the release that wrote it"
        ) from error


def compute_digest(body: bytes) -> str:
    """Returns the SHA-256 of a canonical form in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


def compute_signing_digest(signing: model.Signing) -> str:
    """Returns the SHA-256 of the canonical form of the signers."""
    return compute_digest(_pack(_converter().unstructure(_sort(signing))))


def sort_bundle(bundle: model.Bundle) -> model.Bundle:
    """Returns the bundle with all lists sorted by name."""
    return dataclasses.replace(
        bundle,
        signing=_sort(bundle.signing),
        pools=tuple(
            dataclasses.replace(pool, carries=tuple(sorted(pool.carries)))
            for pool in sorted(bundle.pools, key=lambda item: item.name)
        ),
        services=tuple(
            dataclasses.replace(
                service,
                idempotent_routes=tuple(sorted(service.idempotent_routes)),
            )
            for service in sorted(bundle.services, key=lambda item: item.name)
        ),
        classes=tuple(sorted(bundle.classes, key=lambda item: item.name)),
        teams=tuple(sorted(bundle.teams, key=lambda item: item.name)),
    )


def make_converter() -> cattrs.Converter:
    """Returns a converter that refuses whatever the model doesn't name."""
    converter = settings_lib.make_strict_converter()
    for kind in (model.FailureDomain, model.ClassKind):
        converter.register_structure_hook(kind, _structure_enum)
    converter.register_structure_hook_factory(
        dataclasses.is_dataclass,
        lambda kind: _make_table_hook(kind, converter),
    )
    converter.register_structure_hook_func(
        _is_list_kind,
        lambda value, kind: _structure_list(value, kind, converter),
    )
    return converter


def _converter() -> cattrs.Converter:
    return _CONVERTER


def _pack(document: Any) -> bytes:
    return bytes(msgpack.packb(_sort_keys(document)))


def _sort_keys(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _sort_keys(value[key]) for key in sorted(value)}
    if isinstance(value, list | tuple):
        return [_sort_keys(item) for item in value]
    return value


def _sort(signing: model.Signing) -> model.Signing:
    reviewers = sorted(signing.reviewers, key=lambda item: item.name)
    return dataclasses.replace(signing, reviewers=tuple(reviewers))


def _is_list_kind(kind: Any) -> bool:
    return get_origin(kind) is tuple


def _structure_enum(value: Any, kind: type[enum.StrEnum]) -> enum.StrEnum:
    allowed = [member.value for member in kind]
    if value not in allowed:
        raise ValueError(
            f"expected one of {', '.join(allowed)}, found {value!r}"
        )
    return kind(value)


def _make_table_hook(kind: Any, converter: cattrs.Converter) -> Any:
    structure = cattrs.gen.make_dict_structure_fn(
        kind, converter, _cattrs_forbid_extra_keys=True
    )

    def check_and_structure(value: Any, target: Any) -> Any:
        if not isinstance(value, dict):
            raise ValueError(f"expected a table, found {value!r}")
        return structure(value, target)

    return check_and_structure


def _structure_list(
    value: Any, kind: Any, converter: cattrs.Converter
) -> tuple[Any, ...]:
    if not isinstance(value, list | tuple):
        raise ValueError(f"expected a list, found {value!r}")
    item_kind, _ = get_args(kind)
    found: list[Any] = []
    failures: list[Exception] = []
    for index, item in enumerate(value):
        try:
            found.append(converter.structure(item, item_kind))
        except (cattrs.errors.BaseValidationError, ValueError) as error:
            note = cattrs.errors.IterableValidationNote(
                f"item {index}", index, item_kind
            )
            error.__notes__ = [*getattr(error, "__notes__", ()), note]
            failures.append(error)
    if failures:
        raise cattrs.errors.IterableValidationError("list", failures, kind)
    return tuple(found)


_CONVERTER = make_converter()
