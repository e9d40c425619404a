"""Decides whether a head and a body become the bundle in force."""

import dataclasses

from fireflywell import errors
from fireflywell.bundle import canonical
from fireflywell.bundle import holder as holder_lib
from fireflywell.bundle import signatures


@dataclasses.dataclass(frozen=True, slots=True)
class NotNewer:
    """The bundle in force is as high or higher."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRejected:
    """The head can't be trusted."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """The head is verified and higher; its body is needed."""


HeadCheckResult = NotNewer | HeadRejected | Wanted


class BundleAdopter:
    """Verifies heads and bodies against what this process already trusts."""

    __slots__ = ("_anchor", "_body", "_holder", "_record")

    def __init__(
        self, holder: holder_lib.BundleHolder, anchor: signatures.TrustAnchor
    ) -> None:
        self._holder = holder
        self._anchor = anchor
        self._record: signatures.HeadRecord | None = None
        self._body = b""

    @property
    def version(self) -> int:
        """Version of the bundle in force; 0 if there is none."""
        return self._holder.version

    @property
    def record(self) -> signatures.HeadRecord | None:
        """Head record of the bundle in force."""
        return self._record

    @property
    def body(self) -> bytes:
        """Canonical form of the bundle in force; empty if there is none."""
        return self._body

    @property
    def digest(self) -> str:
        """Digest of the bundle in force; empty if there is none."""
        return self._record.head.digest if self._record else ""

    def check_head(self, record: signatures.HeadRecord) -> HeadCheckResult:
        """Verifies the signatures of a head."""
        head = record.head
        if head.version < self.version:
            return NotNewer()
        if head.version == self.version:
            if self._record is None or head.digest == self.digest:
                return NotNewer()
            return HeadRejected(
                f"bundle version {head.version} exists with two contents; "
                "find out who signed both"
            )
        is_next = self.version > 0 and head.version == self.version + 1
        if is_next and head.previous_digest != self.digest:
            return HeadRejected(
                f"bundle version {head.version} doesn't follow the bundle in "
                "force; find out who signed it"
            )
        try:
            signatures.verify_record(record, self._anchor)
        except errors.BundleSignatureError as error:
            return HeadRejected(str(error))
        return Wanted()

    def adopt(self, record: signatures.HeadRecord, body: bytes) -> bool:
        """Puts a wanted head's body in force.

        Returns:
            Whether it is now in force; False if it isn't newer.

        Raises:
            BundleError: The head or the body can't be trusted.
        """
        match self.check_head(record):
            case NotNewer():
                return False
            case HeadRejected(reason=reason):
                raise errors.BundleSignatureError(reason)
        head = record.head
        if canonical.compute_digest(body) != head.digest:
            raise errors.BundleSchemaError(
                f"bundle version {head.version}: the body has another digest "
                "than the head; the object was damaged, roll it out again"
            )
        bundle = canonical.decode_bundle(body)
        signing_digest = canonical.compute_signing_digest(bundle.signing)
        if (bundle.version, signing_digest) != (
            head.version,
            head.signing_digest,
        ):
            raise errors.BundleSchemaError(
                f"bundle version {head.version}: the body's version or "
                "signers aren't those of the head; sign the document again"
            )
        if not self._holder.adopt(bundle):
            return False
        self._record = record
        self._body = body
        self._anchor = signatures.TrustAnchor(bundle.version, bundle.signing)
        return True
