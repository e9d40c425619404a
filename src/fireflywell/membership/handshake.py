"""Mutual proof of the cluster key and the keys of a connection's frames.

The dialling side sends its opening, the accepting side its opening and proof,
then the dialling side its proof. A proof is a keyed BLAKE2b digest over the
prover's side and both openings as sent, hence over both nonces, both claimed
identities, the purpose and the dialled address. A proof of another connection
(replay) covers another nonce, and a proof sent back to its author (reflection)
covers the other side.
"""

import dataclasses
import enum
import hashlib
import hmac
import struct

from fireflywell import errors

KEY_BYTES = 32
NONCE_BYTES = 16
PROTOCOL_VERSION = 1
# One guess closes the connection, so that 64 bits are enough for a frame.
FRAME_TAG_BYTES = 8

_PROOF_BYTES = 32
_SEQUENCE = struct.Struct(">Q")


class Side(enum.StrEnum):
    """Role of a process on one connection."""

    DIALLING = "dialling"
    ACCEPTING = "accepting"


@dataclasses.dataclass(frozen=True, slots=True)
class Transcript:
    """Both openings of a connection, as they were sent."""

    dialling: bytes
    accepting: bytes


def parse_cluster_key(text: str, source: str) -> bytes:
    """Returns the cluster key from 64 hexadecimal digits.

    Raises:
        SettingsError: The text isn't such a key.
    """
    try:
        key = bytes.fromhex(text.strip())
    except ValueError:
        key = b""
    if len(key) != KEY_BYTES:
        raise errors.SettingsError(
            f"{source} doesn't hold a cluster key; write {2 * KEY_BYTES} "
            "hexadecimal digits into it, the same for all processes"
        )
    return key


def compute_proof(key: bytes, side: Side, transcript: Transcript) -> bytes:
    """Returns the proof that `side` of a connection knows the key."""
    return _compute_digest(key, b"proof", side, transcript)


def verify_proof(
    key: bytes, side: Side, transcript: Transcript, tag: bytes
) -> None:
    """Checks the proof of `side`.

    Raises:
        PeerAuthenticationError: The proof is wrong.
    """
    if not hmac.compare_digest(compute_proof(key, side, transcript), tag):
        raise errors.PeerAuthenticationError(
            f"the {side} side didn't prove that it knows the cluster key; "
            "compare the cluster key files of both processes"
        )


class FrameAuthenticator:
    """Computes the tags of one direction of a connection.

    The tag covers the frame's place in the sequence, so that a frame that is
    injected, repeated, left out or moved is found.
    """

    __slots__ = ("_key", "_sequence")

    def __init__(self, key: bytes, side: Side, transcript: Transcript) -> None:
        self._key = _compute_digest(key, b"frames", side, transcript)
        self._sequence = 0

    def compute_tag(self, payload: bytes) -> bytes:
        """Returns the tag of the next frame in the sequence."""
        digest = hashlib.blake2b(key=self._key, digest_size=FRAME_TAG_BYTES)
        digest.update(_SEQUENCE.pack(self._sequence))
        digest.update(payload)
        self._sequence += 1
        return digest.digest()

    def verify(self, payload: bytes, tag: bytes) -> None:
        """Checks the tag of the next frame in the sequence.

        Raises:
            PeerAuthenticationError: The frame isn't the peer's next one.
        """
        if not hmac.compare_digest(self.compute_tag(payload), tag):
            raise errors.PeerAuthenticationError(
                "a frame doesn't have the tag of the peer's next frame; the "
                "connection is closed, check the network between the processes"
            )


def _compute_digest(
    key: bytes, use: bytes, side: Side, transcript: Transcript
) -> bytes:
    digest = hashlib.blake2b(
        key=key, digest_size=_PROOF_BYTES, person=use + side[:1].encode()
    )
    for opening in (transcript.dialling, transcript.accepting):
        # The length keeps the border between the openings fixed.
        digest.update(_SEQUENCE.pack(len(opening)))
        digest.update(opening)
    return digest.digest()
