"""Text of the table rows that hold outcomes of keyed requests."""

import base64
from collections.abc import Iterable
import dataclasses
import datetime
import json
from typing import Any

from fireflywell import asgi
from fireflywell.requests import key_ledger
from fireflywell.requests import outcomes

# A block of 64 results stays below about 1.4 MB.
BLOCK_BODY_LIMIT_BYTES = 16 * 1024
RECORD_BODY_LIMIT_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedKeyRow:
    """Content of the row of a recorded key.

    Attributes:
        digest: Digest of the request.
        incarnation: Process that runs the request.
        outcome: Final outcome; None until it is known.
    """

    digest: bytes
    incarnation: str
    outcome: outcomes.Outcome | None = None


def make_block_key(incarnation: str, block: int) -> str:
    """Returns the row key of a block of results."""
    return f"once/{incarnation}/{block}"


def make_closing_key(incarnation: str) -> str:
    """Returns the row key of an incarnation's closing record."""
    return f"once/{incarnation}/closed"


def encode_block(results: Iterable[key_ledger.KeptResult]) -> str:
    """Returns the text of a block's row."""
    return json.dumps(
        [
            {
                "sequence": result.sequence,
                "digest": result.digest.hex(),
                "outcome": _encode_outcome(
                    result.outcome, BLOCK_BODY_LIMIT_BYTES
                ),
            }
            for result in results
        ]
    )


def decode_block(text: str) -> tuple[key_ledger.KeptResult, ...]:
    """Returns the results held by a block's row."""
    return tuple(
        key_ledger.KeptResult(
            item["sequence"],
            bytes.fromhex(item["digest"]),
            _decode_outcome(item["outcome"]),
        )
        for item in json.loads(text)
    )


def encode_closing_record(record: key_ledger.ClosingRecord) -> str:
    """Returns the text of a closing record's row, with ranges of keys."""
    ranges: list[list[int]] = []
    for sequence in record.used:
        if ranges and ranges[-1][1] == sequence - 1:
            ranges[-1][1] = sequence
        else:
            ranges.append([sequence, sequence])
    return json.dumps(
        {
            "next_sequence": record.next_sequence,
            "watermark": record.watermark,
            "used": ranges,
        }
    )


def decode_closing_record(text: str) -> key_ledger.ClosingRecord:
    """Returns the closing record held by a row."""
    document = json.loads(text)
    used = tuple(
        sequence
        for first, last in document["used"]
        for sequence in range(first, last + 1)
    )
    return key_ledger.ClosingRecord(
        document["next_sequence"], document["watermark"], used
    )


def encode_recorded_key_row(row: RecordedKeyRow) -> str:
    """Returns the text of a recorded key's row."""
    outcome = None
    if row.outcome is not None:
        outcome = _encode_outcome(row.outcome, RECORD_BODY_LIMIT_BYTES)
    return json.dumps(
        {
            "digest": row.digest.hex(),
            "incarnation": row.incarnation,
            "outcome": outcome,
        }
    )


def decode_recorded_key_row(text: str) -> RecordedKeyRow:
    """Returns the content of a recorded key's row."""
    document = json.loads(text)
    outcome = document["outcome"]
    return RecordedKeyRow(
        bytes.fromhex(document["digest"]),
        document["incarnation"],
        None if outcome is None else _decode_outcome(outcome),
    )


def _encode_outcome(
    outcome: outcomes.Outcome, body_limit_bytes: int
) -> dict[str, Any]:
    match outcome:
        case outcomes.Answered(status=status, headers=headers, body=body):
            if len(body) > body_limit_bytes:
                return _encode_outcome(_make_too_large(status), 0)
            return {
                "kind": "answered",
                "status": status,
                "headers": [[item.name, item.value] for item in headers],
                "body": base64.b64encode(body).decode(),
            }
        case outcomes.Refused(status=status, reason=reason, retry_after=after):
            seconds = None if after is None else after.total_seconds()
            return {
                "kind": "refused",
                "status": status,
                "reason": reason,
                "retry_after": seconds,
            }
        case outcomes.Unknown(status=status, reason=reason):
            return {"kind": "unknown", "status": status, "reason": reason}


def _decode_outcome(document: dict[str, Any]) -> outcomes.Outcome:
    match document["kind"]:
        case "answered":
            return outcomes.Answered(
                document["status"],
                tuple(
                    asgi.Header(name, value)
                    for name, value in document["headers"]
                ),
                base64.b64decode(document["body"]),
            )
        case "refused":
            seconds = document["retry_after"]
            return outcomes.Refused(
                document["status"],
                document["reason"],
                None
                if seconds is None
                else datetime.timedelta(seconds=seconds),
            )
        case "unknown":
            return outcomes.Unknown(document["status"], document["reason"])
        case kind:
            raise ValueError(f"unknown kind of outcome {kind!r} in a row")


def _make_too_large(status: int) -> outcomes.Unknown:
    return outcomes.Unknown(
        504,
        f"the request was run and answered with status {status}, but the "
        "response is too large to be kept; don't run it again",
    )
