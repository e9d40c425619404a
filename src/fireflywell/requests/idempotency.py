"""Idempotency keys: their two kinds, their encoding and their digests."""

import dataclasses
import hashlib
import hmac
import re

from fireflywell import errors

KEY_HEADER = "idempotency-key"
KEY_LIMIT_CHARACTERS = 200
_BOUND_PREFIX = "fwk1/"
_DIGEST_BYTES = 16
_BOUND_TEXT = re.compile(
    r"fwk1/(?P<address>[0-9A-Za-z.:\[\]-]{3,64})/(?P<incarnation>[0-9a-f]{32})"
    r"/(?P<sequence>0|[1-9][0-9]{0,15})/(?P<digest>[0-9a-f]{32})"
)


@dataclasses.dataclass(frozen=True, slots=True)
class BoundKey:
    """A key issued by an entry; only that incarnation may run its request.

    Attributes:
        address: `host:port` of the issuer's membership listener.
        incarnation: Incarnation of the issuer, 32 hexadecimal digits.
        sequence: Number of the key among those of the issuer.
    """

    address: str
    incarnation: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedKey:
    """A key chosen by the caller; its use is recorded in the store."""

    text: str


IdempotencyKey = BoundKey | RecordedKey


def encode_bound_key(key: BoundKey, cluster_key: bytes) -> str:
    """Returns the text of a bound key, signed with a keyed digest."""
    text = f"{_BOUND_PREFIX}{key.address}/{key.incarnation}/{key.sequence}"
    return f"{text}/{_compute_keyed_digest(text, cluster_key)}"


def parse_key(text: str, cluster_key: bytes) -> IdempotencyKey:
    """Returns the key that a caller sent.

    Args:
        text: Value of the `Idempotency-Key` header.
        cluster_key: Key shared by all processes of the system.

    Raises:
        InvalidKeyError: The text is empty, too long or not printable ASCII,
            or it looks like an issued key but wasn't issued by this system.
    """
    if not 0 < len(text) <= KEY_LIMIT_CHARACTERS or not _is_visible(text):
        raise errors.InvalidKeyError(
            "the idempotency key must have 1 to "
            f"{KEY_LIMIT_CHARACTERS} visible ASCII characters"
        )
    if not text.startswith(_BOUND_PREFIX):
        return RecordedKey(text)
    match = _BOUND_TEXT.fullmatch(text)
    if match is None:
        raise _make_not_issued_error()
    signed, _, digest = text.rpartition("/")
    expected = _compute_keyed_digest(signed, cluster_key)
    if not hmac.compare_digest(expected, digest):
        raise _make_not_issued_error()
    return BoundKey(
        match["address"], match["incarnation"], int(match["sequence"])
    )


def compute_request_digest(
    method: str, service: str, target: str, body: bytes
) -> bytes:
    """Returns a digest that is equal only for the same request."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method.encode(), service.encode(), target.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.digest()


def make_recorded_row_key(team: str, key: RecordedKey) -> str:
    """Returns the key of the row that stores the use of a recorded key."""
    digest = hashlib.blake2b(key.text.encode(), digest_size=32)
    return f"key/{team}/{digest.hexdigest()}"


def _is_visible(text: str) -> bool:
    return all("!" <= character <= "~" for character in text)


def _compute_keyed_digest(text: str, cluster_key: bytes) -> str:
    return hashlib.blake2b(
        text.encode(),
        key=cluster_key,
        digest_size=_DIGEST_BYTES,
        person=b"fireflywell-key1",
    ).hexdigest()


def _make_not_issued_error() -> errors.InvalidKeyError:
    return errors.InvalidKeyError(
        f"the idempotency key starts with {_BOUND_PREFIX!r} but wasn't issued "
        "by this system; get keys from POST /fireflywell/keys"
    )
