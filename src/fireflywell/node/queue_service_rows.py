"""Encodes the services that hold a queue's jobs for the store."""

import msgpack

from fireflywell import errors


def encode_services(services: tuple[str, ...]) -> bytes:
    """Encodes the services of a queue for the store."""
    return bytes(msgpack.packb(services))


def decode_services(data: bytes) -> tuple[str, ...]:
    """Decodes the services of a queue, the origin first.

    Raises:
        CorruptRowError: The bytes aren't a list of at least one service.
    """
    try:
        services = msgpack.unpackb(data)
    except Exception as error:
        raise _make_corrupt_row_error(repr(error)) from error
    if (
        not isinstance(services, list)
        or not services
        or not all(isinstance(name, str) for name in services)
    ):
        raise _make_corrupt_row_error("not a list of names")
    return tuple(services)


def _make_corrupt_row_error(reason: str) -> errors.CorruptRowError:
    return errors.CorruptRowError(
        f"the services of the queue can't be decoded: {reason}; its jobs can't "
        "be found until the row is repaired"
    )
