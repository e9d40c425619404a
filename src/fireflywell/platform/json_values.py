"""Reads JSON that others wrote; each invalid value is a `ValueError`.

The parser and the number conversions of Python also raise `RecursionError`,
`OverflowError` and `TypeError`. Such an error would end the task that reads a
list, although only one entry of it is odd. The values that these functions
return can be written again: as JSON, as msgpack, in UTF-8 and in log lines.
"""

import ipaddress
import json
import re
import reprlib
from typing import Any

# Whole numbers up to this one are exact in every JSON reader. It is far below
# the 64 bits of msgpack and the longest time span in milliseconds.
MAX_NUMBER = 2**53

_MAX_HOST_LETTERS = 253
_MAX_PORT = 65_535

# Labels of other lengths fail in the codec that prepares a name's look-up.
_HOST_NAME = re.compile(r"(?:[\w-]{1,63}\.)*[\w-]{1,63}", re.ASCII)
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)
_PRINTABLE = re.compile(r"[!-~]+")


def parse(data: bytes) -> Any:
    """Parses a JSON text.

    Raises:
        ValueError: The bytes aren't JSON, or they are nested too deeply.
    """
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("the JSON is nested too deeply") from error


def parse_object(data: bytes) -> dict[str, Any]:
    """Parses a JSON object.

    Raises:
        ValueError: The bytes aren't a JSON object, or are nested too deeply.
    """
    return read_object(parse(data), "the JSON")


def read_object(
    value: Any, name: str, default: dict[str, Any] | None = None
) -> dict[str, Any]:
    """Returns an object, or the default in place of a missing value.

    Raises:
        ValueError: The value isn't an object.
    """
    if value is None and default is not None:
        return default
    if not isinstance(value, dict):
        raise _make_error(value, name, "an object")
    return value


def read_list(
    value: Any, name: str, default: list[Any] | None = None, min_length: int = 0
) -> list[Any]:
    """Returns a list, or the default in place of a missing value.

    Raises:
        ValueError: The value isn't a list, or it is too short.
    """
    if value is None and default is not None:
        return default
    if not isinstance(value, list) or len(value) < min_length:
        raise _make_error(value, name, f"a list of at least {min_length} items")
    return value


def read_text(value: Any, name: str, default: str | None = None) -> str:
    """Returns a text that has a UTF-8 form, or the default if it is missing.

    Raises:
        ValueError: The value isn't a text, or it holds half of a surrogate
            pair.
    """
    # Most texts end here; reports of workers hold hundreds of them.
    if isinstance(value, str) and value.isascii():
        return value
    if value is None and default is not None:
        return default
    if not isinstance(value, str):
        raise _make_error(value, name, "a text")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise _make_error(value, name, "valid Unicode") from error
    return value


def read_texts(
    value: Any, name: str, default: list[str] | None = None
) -> tuple[str, ...]:
    """Returns a list of texts, or the default in place of a missing value.

    Raises:
        ValueError: The value isn't a list of texts.
    """
    items = read_list(value, name, default)
    return tuple(read_text(item, name) for item in items)


def read_number(
    value: Any,
    name: str,
    default: float | None = None,
    minimum: float = -MAX_NUMBER,
    maximum: float = MAX_NUMBER,
) -> float:
    """Returns a number, or the default in place of a missing value.

    Raises:
        ValueError: The value isn't a number, or it is out of range.
    """
    if value is None and default is not None:
        return float(default)
    # A comparison is exact for large integers and false for NaN.
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not minimum <= value <= maximum
    ):
        expected = f"a number from {minimum} to {maximum}"
        raise _make_error(value, name, expected)
    return float(value)


def read_integer(
    value: Any,
    name: str,
    default: int | None = None,
    minimum: int = -MAX_NUMBER,
    maximum: int = MAX_NUMBER,
) -> int:
    """Returns a number without its fraction, or the default if it is missing.

    Raises:
        ValueError: The value isn't a number, or it is out of range.
    """
    if type(value) is int and minimum <= value <= maximum:
        return value
    if value is None and default is not None:
        return default
    return int(read_number(value, name, None, minimum, maximum))


def read_address(value: Any, name: str) -> str:
    """Returns an address of the form host:port that calls can use.

    Raises:
        ValueError: The host is neither an IP address nor a host name, or the
            port is out of range.
    """
    text = read_text(value, name)
    host, _, port = text.rpartition(":")
    if not _is_host(host) or not _PORT.fullmatch(port):
        raise _make_error(value, name, "of the form host:port")
    if not 0 < int(port) <= _MAX_PORT:
        raise _make_error(value, name, f"a port from 1 to {_MAX_PORT}")
    return text


def check_header_value(text: str, name: str) -> None:
    """Checks that a text can be the value of an HTTP header.

    Raises:
        ValueError: It is empty or has other letters than printable ASCII.
    """
    if not _PRINTABLE.fullmatch(text):
        raise _make_error(text, name, "printable ASCII without blanks")


def _is_host(text: str) -> bool:
    if len(text) > _MAX_HOST_LETTERS:
        return False
    if _HOST_NAME.fullmatch(text):
        return True
    try:
        # The zone of an IPv6 address may hold any letters.
        return not getattr(ipaddress.ip_address(text), "scope_id", None)
    except ValueError:
        return False


def _make_error(value: Any, name: str, expected: str) -> ValueError:
    if value is None:
        return ValueError(f"{name} is missing")
    return ValueError(f"{name} is {reprlib.repr(value)}, not {expected}")
