"""Heads of bundles, their signatures and the chain of signers.

The signers of version N + 1 are the reviewers of version N. A process that is
several versions behind has not seen the bodies in between, so the head's
record lists each version that changed the signers, with the new signers and
the signatures of the former ones. The signed message covers a digest of the
signers, so that this can be verified without any body.
"""

import dataclasses
import json
from typing import Any

import cattrs.errors
import nacl.encoding
import nacl.exceptions
import nacl.signing

from fireflywell import errors
from fireflywell.bundle import canonical
from fireflywell.bundle import model

_PURPOSE = "fireflywell-bundle-v1"
FIRST_PREVIOUS_DIGEST = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Signature:
    """Ed25519 signature of one reviewer.

    Attributes:
        public_key: Key that verifies it, in hexadecimal.
        value: The signature in hexadecimal.
    """

    public_key: str
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class BundleHead:
    """What reviewers sign, with their signatures.

    Attributes:
        version: Version of the bundle.
        digest: SHA-256 of its canonical form.
        previous_digest: Digest of the version before; empty for the first.
        signing_digest: SHA-256 of the signers of the next version.
        signatures: Signatures of reviewers of the version before.
    """

    version: int
    digest: str
    previous_digest: str
    signing_digest: str
    signatures: tuple[Signature, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SigningChange:
    """A version that changed who signs, with the new signers."""

    head: BundleHead
    signing: model.Signing


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRecord:
    """Content of row `bundle/head`.

    Attributes:
        head: Head of the accepted bundle.
        changes: All changes of the signers, from the first version on.
    """

    head: BundleHead
    changes: tuple[SigningChange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TrustAnchor:
    """Signers known from outside the record.

    Attributes:
        after_version: The signers sign the version after this one.
        signing: Who signs, and how many must.
    """

    after_version: int
    signing: model.Signing


def make_head(
    bundle: model.Bundle, body: bytes, previous_digest: str
) -> BundleHead:
    """Returns the head of a bundle, not yet signed."""
    return BundleHead(
        version=bundle.version,
        digest=canonical.compute_digest(body),
        previous_digest=previous_digest,
        signing_digest=canonical.compute_signing_digest(bundle.signing),
    )


def sign_head(head: BundleHead, private_key: str) -> Signature:
    """Returns a signature of the head.

    Raises:
        BundleSignatureError: The key isn't a private key.
    """
    try:
        key = nacl.signing.SigningKey(
            private_key.encode(), nacl.encoding.HexEncoder
        )
    except (ValueError, TypeError, nacl.exceptions.CryptoError) as error:
        raise errors.BundleSignatureError(
            "the private key must be 64 hexadecimal digits; use a file "
            "written by fireflywell keygen"
        ) from error
    return Signature(
        public_key=key.verify_key.encode(nacl.encoding.HexEncoder).decode(),
        value=key.sign(_make_message(head)).signature.hex(),
    )


def verify_head(head: BundleHead, signing: model.Signing) -> None:
    """Checks that enough distinct reviewers signed a head.

    Raises:
        BundleSignatureError: There are fewer valid signatures than needed.
    """
    allowed = {reviewer.public_key for reviewer in signing.reviewers}
    message = _make_message(head)
    valid = {
        signature.public_key
        for signature in head.signatures
        if signature.public_key in allowed and _is_valid(signature, message)
    }
    if len(valid) < max(1, signing.threshold):
        raise errors.BundleSignatureError(
            f"bundle version {head.version}: {len(valid)} valid signatures, "
            f"{signing.threshold} needed from the {len(allowed)} reviewers of "
            "the version before; let more of them sign it"
        )


def verify_record(record: HeadRecord, anchor: TrustAnchor) -> None:
    """Checks a head against the signers that the anchor leads to.

    Raises:
        BundleSignatureError: A signature is missing, or the chain is broken.
    """
    head = record.head
    if head.version <= anchor.after_version:
        raise errors.BundleSignatureError(
            f"bundle version {head.version} isn't above {anchor.after_version}"
            ", the version that is already trusted; nothing to do"
        )
    verify_head(head, find_signers(record, anchor))


def find_signers(record: HeadRecord, anchor: TrustAnchor) -> model.Signing:
    """Returns who signs the record's head, after checking each change.

    Raises:
        BundleSignatureError: A change isn't signed by the signers before it.
    """
    signing = anchor.signing
    version = anchor.after_version
    for change in record.changes:
        if not version < change.head.version < record.head.version:
            continue
        verify_head(change.head, signing)
        digest = canonical.compute_signing_digest(change.signing)
        if digest != change.head.signing_digest:
            raise errors.BundleSignatureError(
                f"bundle version {change.head.version}: the listed signers "
                "aren't those that were signed; the row bundle/head was "
                "altered, so restore it"
            )
        signing = change.signing
        version = change.head.version
    return signing


def encode_record(record: HeadRecord) -> str:
    """Returns the text of row `bundle/head`."""
    document = dataclasses.asdict(record)
    return json.dumps(document, sort_keys=True, separators=(",", ":"))


def decode_record(text: str) -> HeadRecord:
    """Returns the content of row `bundle/head`.

    Raises:
        BundleSignatureError: The text isn't such a record.
    """
    return _decode(text, HeadRecord)


def encode_signed_head(head: BundleHead) -> str:
    """Returns the text of a detached signature file."""
    return json.dumps(dataclasses.asdict(head), indent=2) + "\n"


def decode_signed_head(text: str) -> BundleHead:
    """Returns the head of a detached signature file.

    Raises:
        BundleSignatureError: The text isn't such a file.
    """
    return _decode(text, BundleHead)


def _decode(text: str, kind: type[canonical.T]) -> canonical.T:
    try:
        document: Any = json.loads(text)
        return canonical.make_converter().structure(document, kind)
    except (cattrs.errors.BaseValidationError, ValueError) as error:
        raise errors.BundleSignatureError(
            f"not a signed bundle head ({type(error).__name__}); use the "
            "output of fireflywell bundle sign"
        ) from error


def _make_message(head: BundleHead) -> bytes:
    return " | ".join(
        (
            _PURPOSE,
            str(head.version),
            head.previous_digest,
            head.digest,
            head.signing_digest,
        )
    ).encode()


def _is_valid(signature: Signature, message: bytes) -> bool:
    try:
        key = nacl.signing.VerifyKey(bytes.fromhex(signature.public_key))
        key.verify(message, bytes.fromhex(signature.value))
    except (ValueError, TypeError, nacl.exceptions.CryptoError):
        return False
    return True
