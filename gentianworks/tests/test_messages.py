"""Tests of the signed encoding of messages between processes."""

from __future__ import annotations

import pytest

from gentianworks.codecs.messages import MessageCodec, MessageError
from gentianworks.core.events.dispatch import AnswerPiece

KEY = b"k" * 32
PIECE = AnswerPiece("agent-1", "a1", 3, b"data: a\n\n", 7, 7)


class TestMessageCodec:
    def test_reads_what_it_wrote(self) -> None:
        codec = MessageCodec(KEY)
        data = codec.encode(PIECE)
        assert codec.decode_or_error(data) == PIECE
        assert codec.decode(data).ok == PIECE

    @pytest.mark.parametrize("key", [KEY, b"another key"])
    def test_reads_nothing_that_was_changed_or_signed_by_others(
        self, key: bytes
    ) -> None:
        data = bytearray(MessageCodec(key).encode(PIECE))
        data[-1] ^= key == KEY
        codec = MessageCodec(KEY)
        assert isinstance(codec.decode_or_error(bytes(data)), MessageError)
        assert codec.decode(bytes(data)).is_error()

    def test_reads_no_message_of_an_unknown_kind(self) -> None:
        codec = MessageCodec(KEY)
        packed = codec.encode(PIECE)[16:].replace(b"AnswerPiece", b"AnswerPeace")
        assert isinstance(
            codec.decode_or_error(codec._sign(packed) + packed), MessageError
        )
