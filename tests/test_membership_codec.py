"""Messages as bytes: whole, broken and hostile."""

import dataclasses
import typing
import unittest

import hypothesis
from hypothesis import strategies
import msgpack  # type: ignore[import-untyped]

from fireflywell import errors
from fireflywell.membership import codec
from fireflywell.membership import messages

_SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)
_LOADS = (
    messages.ServiceLoad("quotes", 5, 0),
    messages.ServiceLoad("reports", 0, 300),
)


class RoundTripTest(unittest.TestCase):
    """Encodes and decodes all kinds of messages."""

    @_SETTINGS
    @hypothesis.given(
        strategies.one_of(
            *(
                strategies.builds(kind)
                for kind in typing.get_args(messages.Message)
            )
        )
    )
    def test_every_message_returns_unchanged(
        self, message: messages.Message
    ) -> None:
        """Fails if a field is lost, reordered or changed in its type."""
        try:
            payload = codec.encode_message(message)
        except (OverflowError, UnicodeEncodeError):
            hypothesis.reject()
        self.assertEqual(codec.decode_message(payload), message)

    def test_link_restores_what_it_left_out(self) -> None:
        """Fails if shortened heartbeats and loads come out changed."""
        encoder = codec.LinkEncoder()
        decoder = codec.LinkDecoder()
        for sequence, digest in enumerate(("aa", "aa", "bb", "bb", "aa")):
            batch = (
                messages.Heartbeat(sequence, 7, digest, True, False),
                messages.LoadReport(_LOADS[sequence % 2 :]),
                messages.HomeNotice("quotes@vm1", "10.0.0.1:7000", "c", 3),
            )
            payload = encoder.encode(batch)
            self.assertEqual(tuple(decoder.decode(payload)), batch)

    def test_recurring_messages_stay_small(self) -> None:
        """Fails if a heartbeat with all loads outgrows the 4 KB/s of a node.

        12 peers, of which 11 others send and receive once a second.
        """
        encoder = codec.LinkEncoder()
        loads = tuple(
            messages.ServiceLoad(f"service-{number}", 48, 1000)
            for number in range(5)
        )
        sizes = []
        for sequence in (100_000, 100_001):
            beat = messages.Heartbeat(sequence, 70_000, "ab" * 32, True, False)
            batch = (beat, messages.LoadReport(loads))
            sizes.append(len(encoder.encode(batch)))
        self.assertLessEqual(sizes[1], 60)


class RefusalTest(unittest.TestCase):
    """Feeds what no process of this release sends."""

    def test_wrong_messages_are_refused(self) -> None:
        """Fails if a wrong type or kind reaches the rest of the process."""
        for items in (
            [],
            [99, 1],
            [-1, 1],
            [True, 1],
            ["Heartbeat", 1],
            [0, 1, 2, "d", True],
            [0, 1, 2, "d", True, False, 3],
            [0, True, 2, "d", True, False],
            [0, 1, 2, "d", 1, False],
            [0, 1.0, 2, "d", True, False],
            [0, 1, 2, b"d", True, False],
            [0, 1, 2, None, True, False],
            [1, "text"],
            [1, [["quotes", 5]]],
            [10, "other", "i", "s", "GET", "/", [], b"", 0],
            [10, "home", "i", "s", "GET", "/", [["a"]], b"", 0],
            {"kind": 0},
            7,
        ):
            with self.assertRaises(errors.PeerProtocolError, msg=items):
                codec.decode_message(msgpack.packb(items))

    @_SETTINGS
    @hypothesis.given(strategies.binary(max_size=200))
    def test_garbage_raises_the_protocol_error_only(
        self, payload: bytes
    ) -> None:
        """Fails if garbage ends a task with another kind of error."""
        for decode in (
            codec.decode_message,
            lambda data: tuple(codec.LinkDecoder().decode(data)),
        ):
            try:
                decode(payload)
            except errors.PeerProtocolError:
                continue

    def test_truncated_message_is_refused(self) -> None:
        """Fails if a cut message is taken for a whole one."""
        payload = codec.encode_message(messages.DrainNotice("vm1", "move1", 7))
        for end in range(len(payload)):
            with self.assertRaises(errors.PeerProtocolError):
                codec.decode_message(payload[:end])

    def test_references_to_nothing_are_refused(self) -> None:
        """Fails if a link accepts a number or digest it was never told."""
        for items in (
            [[0, 1, 2, None, True, False]],
            [[1, [[0, 5, 0]]]],
            [[1, [[-1, 5, 0]]]],
            [[1, [[True, 5, 0]]]],
            [[1, [[]]]],
            [[]],
            ["text"],
        ):
            with self.assertRaises(errors.PeerProtocolError, msg=items):
                tuple(codec.LinkDecoder().decode(msgpack.packb(items)))

    def test_length_is_bounded(self) -> None:
        """Fails if a peer can announce an empty or unbounded frame."""
        for size in (0, codec.FRAME_LIMIT_BYTES + 1, 2**32 - 1):
            with self.assertRaises(errors.PeerProtocolError):
                codec.decode_length(
                    codec.encode_length(size), codec.FRAME_LIMIT_BYTES
                )

    def test_oversized_message_is_not_encoded(self) -> None:
        """Fails if a process sends a frame that its peer must refuse."""
        body = messages.BundleBody("", bytes(codec.FRAME_LIMIT_BYTES))
        with self.assertRaises(errors.PeerProtocolError):
            codec.encode_message(body)

    def test_every_kind_has_a_number(self) -> None:
        """Fails if a new message is left out of the codec."""
        for kind in typing.get_args(messages.Message):
            self.assertTrue(dataclasses.is_dataclass(kind))
            self.assertIn(kind, codec._NUMBERS)
