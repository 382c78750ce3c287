"""Tests of the signed encoding of messages between processes."""

from __future__ import annotations

import pytest

from gentianworks.codecs.messages import MessageCodec, MessageError
from gentianworks.core.events.dispatch import AnswerPiece

KEY = b"k" * 32
PIECE = AnswerPiece("agent-1", "a1", 3, b"data: a\n\n", 7, 7)


class TestMessageCodec:
    def test_reads_an_encoded_message(self) -> None:
        codec = MessageCodec(KEY)
        data = codec.encode(PIECE)
        assert codec.decode_or_error(data) == PIECE
        assert codec.decode(data).ok == PIECE

    @pytest.mark.parametrize("key", [KEY, b"another key"])
    def test_rejects_a_modified_message_or_another_key(self, key: bytes) -> None:
        data = bytearray(MessageCodec(key).encode(PIECE))
        data[-1] ^= key == KEY
        codec = MessageCodec(KEY)
        assert isinstance(codec.decode_or_error(bytes(data)), MessageError)
        assert codec.decode(bytes(data)).is_error()

    def test_rejects_an_unknown_message_class(self) -> None:
        codec = MessageCodec(KEY)
        packed = codec.encode(PIECE)[16:].replace(b"AnswerPiece", b"AnswerPeace")
        assert isinstance(
            codec.decode_or_error(codec._sign(packed) + packed), MessageError
        )
