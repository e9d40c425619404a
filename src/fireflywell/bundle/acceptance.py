"""Accepts a signed bundle: the body first, then the head by compare-and-set."""

import dataclasses
import datetime
import random

from fireflywell import clock as clock_lib
from fireflywell import errors
from fireflywell.bundle import canonical
from fireflywell.bundle import signatures
from fireflywell.coordination import transactions
from fireflywell.infrastructure import objects as objects_lib
from fireflywell.infrastructure import records
from fireflywell.infrastructure import tables

HEAD_KEY = "bundle/head"
_BODY_ATTEMPTS = 4
_BODY_PAUSE = datetime.timedelta(milliseconds=250)


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The bundle is accepted.

    Attributes:
        record: Content of the head row.
        was_known: Whether an earlier rollout had already accepted it.
    """

    record: signatures.HeadRecord
    was_known: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CurrentHead:
    """The head row as read; `record` is None before the first bundle."""

    row_version: int
    record: signatures.HeadRecord | None

    @property
    def version(self) -> int:
        """Version of the accepted bundle; 0 if there is none."""
        return self.record.head.version if self.record else 0

    @property
    def digest(self) -> str:
        """Digest of the accepted bundle; empty if there is none."""
        if self.record is None:
            return signatures.FIRST_PREVIOUS_DIGEST
        return self.record.head.digest


def make_body_name(digest: str) -> str:
    """Returns the name of the object that holds a bundle's body."""
    return f"bundle/{digest}"


async def read_head(table: tables.Table) -> CurrentHead:
    """Reads the head row.

    Raises:
        PlatformError: The row can't be read.
        BundleSignatureError: The row doesn't hold a head.
    """
    (row,) = await table.read((HEAD_KEY,))
    if row.version == 0:
        return CurrentHead(0, None)
    return CurrentHead(row.version, signatures.decode_record(row.value))


async def accept_bundle(
    table: tables.Table,
    objects: objects_lib.ObjectStore,
    body: bytes,
    head: signatures.BundleHead,
    anchor: signatures.TrustAnchor,
    clock: clock_lib.Clock,
    rng: random.Random,
) -> Accepted:
    """Makes a signed bundle the accepted one.

    Args:
        table: Table service.
        objects: Object store.
        body: Canonical form of the bundle.
        head: Its head with the reviewers' signatures.
        anchor: The trust file.
        clock: Measures the pauses between attempts.
        rng: Jitters the pauses and makes the write id.

    Raises:
        BundleSignatureError: Signatures are missing.
        BundleVersionConflictError: Another bundle was accepted first.
        OutcomeUnknownError: It may or may not have been accepted.
        PlatformError: It wasn't accepted, as the platform can't be reached.
    """
    current = await read_head(table)
    if current.digest == head.digest and current.version == head.version:
        assert current.record is not None
        return Accepted(current.record, was_known=True)
    _check_follows(current, head)
    record = _make_record(current, body, head)
    signatures.verify_record(record, anchor)
    await _put_body(objects, head.digest, body, clock)
    transaction = records.Transaction(
        transactions.make_write_id(rng),
        (records.Condition(HEAD_KEY, current.row_version),),
        (records.Write(HEAD_KEY, signatures.encode_record(record)),),
    )
    try:
        result = await transactions.apply_transaction(
            table, transaction, clock, rng
        )
    except errors.OutcomeUnknownError as error:
        return await _resolve_unknown(table, record, error)
    if isinstance(result, records.Conflict):
        raise _make_conflict(head, "another rollout was faster")
    return Accepted(record, was_known=False)


def _check_follows(current: CurrentHead, head: signatures.BundleHead) -> None:
    if head.version != current.version + 1:
        raise _make_conflict(
            head, f"the accepted bundle has version {current.version}"
        )
    if head.previous_digest != current.digest:
        raise _make_conflict(
            head, "it was signed as the successor of another bundle"
        )


def _make_record(
    current: CurrentHead, body: bytes, head: signatures.BundleHead
) -> signatures.HeadRecord:
    bundle = canonical.decode_bundle(body)
    expected = signatures.make_head(bundle, body, head.previous_digest)
    if dataclasses.replace(head, signatures=()) != expected:
        raise errors.BundleSignatureError(
            f"bundle version {head.version}: the signatures belong to another "
            "document; sign the one that is rolled out"
        )
    changes = current.record.changes if current.record else ()
    is_changed = (
        current.record is None
        or current.record.head.signing_digest != head.signing_digest
    )
    if is_changed:
        change = signatures.SigningChange(head, bundle.signing)
        changes = (*changes, change)
    return signatures.HeadRecord(head, changes)


async def _put_body(
    objects: objects_lib.ObjectStore,
    digest: str,
    body: bytes,
    clock: clock_lib.Clock,
) -> None:
    """Stores the body; its name is its digest, so a repeat does no harm."""
    for attempt in range(1, _BODY_ATTEMPTS + 1):
        try:
            await objects.put(make_body_name(digest), body)
            return
        except errors.PlatformError:
            if attempt == _BODY_ATTEMPTS:
                raise
        await clock.sleep(_BODY_PAUSE * attempt)


async def _resolve_unknown(
    table: tables.Table,
    record: signatures.HeadRecord,
    error: errors.OutcomeUnknownError,
) -> Accepted:
    """Looks whether a later head names the bundle as its predecessor."""
    head = record.head
    try:
        current = await read_head(table)
    except errors.PlatformError:
        current = CurrentHead(0, None)
    if current.record is not None and current.version == head.version + 1:
        if current.record.head.previous_digest == head.digest:
            return Accepted(record, was_known=False)
        raise _make_conflict(head, "another bundle was accepted in its place")
    raise errors.OutcomeUnknownError(
        f"bundle version {head.version}: it isn't known whether it was "
        "accepted; run `fireflywell bundle show` once the platform answers"
    ) from error


def _make_conflict(
    head: signatures.BundleHead, reason: str
) -> errors.BundleVersionConflictError:
    return errors.BundleVersionConflictError(
        f"bundle version {head.version} was not accepted: {reason}; review "
        "the accepted bundle, raise the version and sign again"
    )
