"""Reads a bundle document (TOML) and checks it against the whole schema."""

from collections.abc import Iterator
import re
import tomllib
from typing import Any

import cattrs.errors

from fireflywell import errors
from fireflywell import settings as settings_lib
from fireflywell.bundle import canonical
from fireflywell.bundle import checks
from fireflywell.bundle import model

_INDEX = re.compile(r"\b(pools|services|classes|teams|reviewers)\.(\d+)\b")


def parse_bundle(
    text: str, source: str, zones: int = checks.DEFAULT_ZONES
) -> model.Bundle:
    """Returns the bundle of a TOML document.

    Args:
        text: The document.
        source: Name of the file for error messages.
        zones: Availability zones that pools are spread over, for the check
            that budgets can survive the loss that they state.

    Raises:
        BundleSchemaError: The document is wrong; the message has one line for
            each problem, with file, key and remedy.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.BundleSchemaError(
            f"{source}: not valid TOML: {error}; correct the line"
        ) from error
    try:
        bundle = canonical.make_converter().structure(document, model.Bundle)
    except (cattrs.errors.BaseValidationError, ValueError) as error:
        problems = [
            _name_entries(line, document)
            for line in settings_lib.describe_problems(error)
        ]
        raise _make_error(source, problems) from error
    problems = [
        f"key {item.key}: {item.message}"
        for item in checks.find_problems(bundle, zones)
    ]
    if problems:
        raise _make_error(source, problems)
    return bundle


def _make_error(source: str, problems: list[str]) -> errors.BundleSchemaError:
    return errors.BundleSchemaError(
        "\n".join(f"{source}: {problem}" for problem in problems)
    )


def _name_entries(line: str, document: dict[str, Any]) -> str:
    """Replaces positions such as `pools.0` by names such as `pools[a]`."""
    return _INDEX.sub(lambda match: _name_entry(match, document), line)


def _name_entry(match: re.Match[str], document: dict[str, Any]) -> str:
    section, index = match.group(1), int(match.group(2))
    parent = document.get("signing") if section == "reviewers" else document
    for position, name in _list_names(parent, section):
        if position == index:
            return f"{section}[{name}]"
    return f"{section}[entry {index + 1}]"


def _list_names(parent: Any, section: str) -> Iterator[tuple[int, str]]:
    entries = parent.get(section) if isinstance(parent, dict) else None
    if not isinstance(entries, list):
        return
    for position, entry in enumerate(entries):
        name = entry.get("name") if isinstance(entry, dict) else None
        if isinstance(name, str):
            yield position, name
