"""Encodes the messages between the system's own processes.

A message is a msgpack array of its kind and its fields in order. On a control
link the recurring messages shrink further, because a link delivers in order
and both sides can remember what was sent: an unchanged bundle digest is sent
as nil, and a service's name is sent once and then replaced by its number.
"""

from collections.abc import Iterator
import dataclasses
import enum
import struct
from typing import Any

import cattrs
import msgpack

from fireflywell import errors
from fireflywell.membership import messages

LENGTH_BYTES = 4
# A largest response (4 MiB) and 64 KiB for its headers and envelope.
FRAME_LIMIT_BYTES = 4 * 1024 * 1024 + 64 * 1024
# Two such frames of a stranger stay far below 64 KiB.
HANDSHAKE_FRAME_LIMIT_BYTES = 4 * 1024

_LENGTH = struct.Struct(">I")
# A kind's number is its place, so new kinds are added at the end.
_KINDS: tuple[type[Any], ...] = (
    messages.Heartbeat,
    messages.LoadReport,
    messages.BundleOffer,
    messages.BundleRequest,
    messages.BundleBody,
    messages.DrainNotice,
    messages.DrainConfirm,
    messages.HomeNotice,
    messages.HandOver,
    messages.HandOverAccepted,
    messages.ForwardRequest,
    messages.ForwardReply,
    messages.Opening,
    messages.Proof,
    messages.Hello,
)
_NUMBERS = {kind: number for number, kind in enumerate(_KINDS)}
_STRUCTURE_ERRORS = (
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
    cattrs.BaseValidationError,
    msgpack.UnpackException,
)


def encode_length(size: int) -> bytes:
    """Returns the length prefix of a frame."""
    return _LENGTH.pack(size)


def decode_length(prefix: bytes, limit: int) -> int:
    """Returns the size of a frame from its prefix.

    Raises:
        PeerProtocolError: The size is 0 or above `limit` (bytes).
    """
    (size,) = _LENGTH.unpack(prefix)
    if not 0 < size <= limit:
        raise errors.PeerProtocolError(
            f"a peer announced a frame of {size} bytes, allowed are 1 to "
            f"{limit}; check that the process at the other end is of the "
            "same release"
        )
    return int(size)


def encode_message(message: Any) -> bytes:
    """Returns the payload for one message.

    Raises:
        PeerProtocolError: The payload exceeds the limit of a frame.
    """
    return _pack([_NUMBERS[type(message)], *_CONVERTER.unstructure(message)])


def decode_message(payload: bytes) -> Any:
    """Returns the message held by a payload.

    Raises:
        PeerProtocolError: The payload is no message.
    """
    return _structure_message(_unpack(payload))


class LinkEncoder:
    """Encodes the messages of one control link, in order.

    Unchanged digests and repeated names are left out or numbered, which is
    what keeps heartbeats and load reports at a few dozen bytes.
    """

    __slots__ = ("_digest", "_names")

    def __init__(self) -> None:
        self._digest: str | None = None
        self._names: dict[str, int] = {}

    def encode(self, batch: tuple[messages.Message, ...]) -> bytes:
        """Returns the payload of one frame that carries all of `batch`."""
        return _pack([self._shorten(message) for message in batch])

    def _shorten(self, message: messages.Message) -> list[Any]:
        items = [_NUMBERS[type(message)], *_CONVERTER.unstructure(message)]
        match message:
            case messages.Heartbeat(bundle_digest=digest):
                if digest == self._digest:
                    items[3] = None
                self._digest = digest
            case messages.LoadReport(loads=loads):
                items[1] = [
                    [self._number(load.service), load.free_slots, load.queued]
                    for load in loads
                ]
        return items

    def _number(self, name: str) -> str | int:
        number = self._names.get(name)
        if number is None:
            self._names[name] = len(self._names)
            return name
        return number


class LinkDecoder:
    """Decodes the messages of one control link, in order."""

    __slots__ = ("_digest", "_names")

    def __init__(self) -> None:
        self._digest: str | None = None
        self._names: list[str] = []

    def decode(self, payload: bytes) -> Iterator[messages.Message]:
        """Yields the messages of one frame.

        Raises:
            PeerProtocolError: The payload isn't a batch of messages, or
                refers to something that was never sent on this link.
        """
        batch = _unpack(payload)
        for items in batch:
            yield self._restore(items)

    def _restore(self, items: Any) -> messages.Message:
        if not isinstance(items, list) or len(items) < 2:
            raise _explain("a message isn't an array")
        match items[0]:
            case 0 if len(items) > 3 and items[3] is None:
                if self._digest is None:
                    raise _explain("a heartbeat refers to no earlier digest")
                items[3] = self._digest
            case 1 if isinstance(items[1], list):
                for load in items[1]:
                    self._restore_name(load)
        message: messages.Message = _structure_message(items)
        if isinstance(message, messages.Heartbeat):
            self._digest = message.bundle_digest
        return message

    def _restore_name(self, load: Any) -> None:
        if not isinstance(load, list) or not load:
            raise _explain("a load isn't an array")
        name = load[0]
        if isinstance(name, str):
            self._names.append(name)
        elif isinstance(name, int) and 0 <= name < len(self._names):
            load[0] = self._names[name]
        else:
            raise _explain(f"a load names the unknown service {name!r}")


def _pack(items: list[Any]) -> bytes:
    payload: bytes = msgpack.packb(items)
    # The tag of the frame is counted in the limit too.
    if len(payload) > FRAME_LIMIT_BYTES - 64:
        raise errors.PeerProtocolError(
            f"a message of {len(payload)} bytes exceeds the limit of "
            f"{FRAME_LIMIT_BYTES - 64} bytes; it was not sent"
        )
    return payload


def _unpack(payload: bytes) -> list[Any]:
    try:
        items = msgpack.unpackb(payload, raw=False, use_list=True)
    except _STRUCTURE_ERRORS as error:
        raise _explain(f"a frame isn't msgpack ({error})") from error
    if not isinstance(items, list) or not items:
        raise _explain("a frame isn't an array")
    return items


def _structure_message(items: list[Any]) -> Any:
    number = items[0]
    is_number = isinstance(number, int) and not isinstance(number, bool)
    if not is_number or not 0 <= number < len(_KINDS):
        raise _explain(f"unknown kind of message {number!r}")
    kind = _KINDS[number]
    try:
        return _CONVERTER.structure(items[1:], kind)
    except _STRUCTURE_ERRORS as error:
        raise _explain(f"a {kind.__name__} has wrong fields") from error


def _explain(problem: str) -> errors.PeerProtocolError:
    return errors.PeerProtocolError(
        f"{problem}; the connection is closed, check that the process at the "
        "other end is of the same release"
    )


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(
        unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE
    )
    for scalar in (int, str, bool, bytes):
        converter.register_structure_hook(scalar, _check_scalar)
    converter.register_structure_hook_func(
        dataclasses.is_dataclass,
        lambda value, kind: _structure_fields(converter, value, kind),
    )
    converter.register_structure_hook_func(
        lambda kind: getattr(kind, "__origin__", None) is tuple,
        lambda value, kind: _structure_items(converter, value, kind),
    )
    converter.register_unstructure_hook(bytes, lambda value: value)
    converter.register_unstructure_hook(enum.Enum, lambda value: value.value)
    return converter


def _check_scalar(value: Any, kind: type[Any]) -> Any:
    # The hook of str is called for enumerations of texts too.
    if isinstance(kind, enum.EnumType):
        return kind(_check_scalar(value, str))
    # `type` and not `isinstance`, because a bool is an int.
    if type(value) is not kind:
        raise ValueError(f"expected {kind.__name__}")
    return value


def _structure_fields(
    converter: cattrs.Converter, value: Any, kind: type[Any]
) -> Any:
    fields = dataclasses.fields(kind)
    if not isinstance(value, list) or len(value) != len(fields):
        raise ValueError(f"expected {len(fields)} fields")
    kinds: list[Any] = [field.type for field in fields]
    return kind(*map(converter.structure, value, kinds))


def _structure_items(
    converter: cattrs.Converter, value: Any, kind: Any
) -> tuple[Any, ...]:
    if not isinstance(value, list):
        raise ValueError("expected an array")
    item_kind = kind.__args__[0]
    return tuple(converter.structure(item, item_kind) for item in value)


_CONVERTER = _make_converter()
