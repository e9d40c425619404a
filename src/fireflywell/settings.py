"""Reads TOML settings into data classes; errors name the invalid key."""

import dataclasses
import datetime
import enum
import pathlib
import tomllib
from typing import Any
from typing import TypeVar

import cattrs
import cattrs.errors
import cattrs.gen
import cattrs.strategies

from fireflywell import errors

T = TypeVar("T")


def load_settings(path: pathlib.Path, kind: type[T]) -> T:
    """Reads a settings file.

    Args:
        path: TOML file.
        kind: Frozen data class whose fields are the allowed keys.

    Returns:
        The settings.

    Raises:
        SettingsError: The file can't be read, or a key is unknown, missing or
            of the wrong type; the message names the file, key and remedy.
    """
    return parse_settings(read_toml(path), kind, str(path))


def read_toml(path: pathlib.Path) -> dict[str, Any]:
    """Reads a TOML file.

    Raises:
        SettingsError: The file can't be read or isn't TOML.
    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise make_settings_file_error(path, error) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            f"{path} isn't valid TOML: {error}; correct the file"
        ) from error


def parse_settings(document: dict[str, Any], kind: type[T], source: str) -> T:
    """Converts a parsed document to a data class.

    Args:
        document: Parsed TOML.
        kind: Frozen data class.
        source: Name of the source for error messages.

    Raises:
        SettingsError: A key is unknown, missing or of the wrong type.
    """
    converter = make_strict_converter()
    try:
        return converter.structure(document, kind)
    except (cattrs.errors.BaseValidationError, ValueError) as error:
        problems = "; ".join(describe_problems(error))
        raise errors.SettingsError(f"{source}: {problems}") from error


def make_settings_file_error(
    path: pathlib.Path, error: OSError
) -> errors.SettingsError:
    """Returns the error for a file that can't be read."""
    return errors.SettingsError(
        f"{path} can't be read: {error.strerror}; check the path and its "
        "permissions"
    )


def make_strict_converter() -> cattrs.Converter:
    """Returns a converter that rejects unknown keys and wrong types.

    Durations are numbers in seconds.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (int, float, str, bool):
        converter.register_structure_hook(kind, _check_scalar)
    # Takes precedence over the hook for str, which would reject every member.
    converter.register_structure_hook(enum.StrEnum, _structure_enum)
    converter.register_structure_hook(datetime.timedelta, _structure_duration)
    converter.register_unstructure_hook(
        datetime.timedelta, datetime.timedelta.total_seconds
    )
    return converter


def describe_problems(error: Exception, path: str = "") -> list[str]:
    """Returns one line for each problem found by a converter.

    Args:
        error: Error that the converter raised.
        path: Path of the key that holds the value, ending with a dot if it
            isn't empty.
    """
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        allowed = ", ".join(f.name for f in dataclasses.fields(error.cl))
        names = ", ".join(sorted(f"{path}{key}" for key in error.extra_fields))
        return [f"unknown key {names}; allowed here: {allowed}"]
    if isinstance(error, cattrs.errors.BaseValidationError):
        return _describe_group(error, path)
    if isinstance(error, KeyError):
        return [f"key {path}{error.args[0]} is missing; add it"]
    return [f"key {path.rstrip('.')}: {error}"]


def _describe_group(
    error: cattrs.errors.BaseValidationError, path: str
) -> list[str]:
    lines: list[str] = []
    for inner in error.exceptions:
        inner_path = path + _find_path_segment(inner)
        lines.extend(describe_problems(inner, inner_path))
    return lines


def _find_path_segment(error: Exception) -> str:
    for note in getattr(error, "__notes__", ()):
        match note:
            case cattrs.errors.AttributeValidationNote(name=name):
                if isinstance(error, KeyError):
                    return ""
                return f"{name}."
            case cattrs.errors.IterableValidationNote(index=index):
                return f"{index}."
    return ""


def _check_scalar(value: Any, kind: type[Any]) -> Any:
    allowed = (int, float) if kind is float else (kind,)
    is_bool_for_number = isinstance(value, bool) and kind is not bool
    if not isinstance(value, allowed) or is_bool_for_number:
        raise ValueError(
            f"expected {kind.__name__}, found {value!r}; correct the value"
        )
    return kind(value)


def _structure_enum(value: Any, kind: type[enum.StrEnum]) -> enum.StrEnum:
    allowed = [str(member) for member in kind]
    if value not in allowed:
        raise ValueError(
            f"expected one of {', '.join(allowed)}, found {value!r}"
        )
    return kind(value)


def _structure_duration(value: Any, _: type[Any]) -> datetime.timedelta:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or value < 0:
        raise ValueError(
            f"expected a duration in seconds, 0 or more, found {value!r}"
        )
    return datetime.timedelta(seconds=value)
