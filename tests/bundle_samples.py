"""Bundles, keys and stores for tests."""

import dataclasses
import pathlib

import nacl.encoding
import nacl.signing

from fireflywell import errors
from fireflywell.bundle import acceptance
from fireflywell.bundle import canonical
from fireflywell.bundle import documents
from fireflywell.bundle import model
from fireflywell.bundle import signatures

ROOT = pathlib.Path(__file__).resolve().parent.parent
_HEX = nacl.encoding.HexEncoder


def make_private_key(name: str) -> str:
    """Returns the same key for the same name."""
    return name.encode().ljust(32, b".").hex()


def make_signing(threshold: int, *names: str) -> model.Signing:
    """Returns signers of these names."""
    reviewers = []
    for name in names:
        key = nacl.signing.SigningKey(make_private_key(name).encode(), _HEX)
        public_key = key.verify_key.encode(_HEX).decode()
        reviewers.append(model.Reviewer(name, public_key))
    return model.Signing(threshold, tuple(reviewers))


FIRST_SIGNING = make_signing(2, "ann", "ben", "cid")
ANCHOR = signatures.TrustAnchor(0, FIRST_SIGNING)


def load_example() -> model.Bundle:
    """Returns the example bundle of Atlas."""
    path = ROOT / "examples" / "atlas.toml"
    return documents.parse_bundle(path.read_text(), str(path))


EXAMPLE = load_example()


@dataclasses.dataclass(frozen=True, slots=True)
class SignedBundle:
    """A head with signatures, and its body."""

    head: signatures.BundleHead
    body: bytes


def make_signed(
    version: int,
    previous_digest: str,
    signers: tuple[str, ...] = ("ann", "ben"),
    signing: model.Signing = FIRST_SIGNING,
    marker: int = 0,
) -> SignedBundle:
    """Returns a signed bundle; `marker` makes its content differ."""
    bundle = dataclasses.replace(
        EXAMPLE,
        version=version,
        signing=signing,
        teams=(*EXAMPLE.teams, model.Team(f"marker-{marker}")),
    )
    body = canonical.encode_bundle(bundle)
    head = signatures.make_head(bundle, body, previous_digest)
    signed = tuple(
        signatures.sign_head(head, make_private_key(name)) for name in signers
    )
    return SignedBundle(dataclasses.replace(head, signatures=signed), body)


def extend(
    record: signatures.HeadRecord | None,
    signed: SignedBundle,
    signing: model.Signing | None = None,
) -> signatures.HeadRecord:
    """Returns the record after a bundle, with a change of signers if any."""
    changes = record.changes if record else ()
    if record is None or signing is not None:
        change = signatures.SigningChange(signed.head, signing or FIRST_SIGNING)
        changes = (*changes, change)
    return signatures.HeadRecord(signed.head, changes)


class MemoryObjects:
    """Object store in memory with lost answers and outages."""

    def __init__(self) -> None:
        self.content: dict[str, bytes] = {}
        self.lost_answers = 0
        self.is_down = False

    async def put(self, name: str, content: bytes) -> None:
        """Stores an object."""
        if self.is_down:
            raise errors.PlatformUnavailableError("down")
        self.content[name] = content
        if self.lost_answers:
            self.lost_answers -= 1
            raise errors.AnswerLostError("lost")

    async def get(self, name: str) -> bytes | None:
        """Returns an object."""
        if self.is_down:
            raise errors.PlatformUnavailableError("down")
        return self.content.get(name)

    def add(self, signed: SignedBundle) -> None:
        """Stores a body."""
        name = acceptance.make_body_name(signed.head.digest)
        self.content[name] = signed.body
