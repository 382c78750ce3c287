"""Tests of the frames in streams between agents and routers."""

from __future__ import annotations

import pytest

from gentianworks.codecs.frames import FrameReader, encode_frame
from gentianworks.codecs.messages import MessageCodec


class TestFrameReader:
    def test_splits_a_stream_into_messages(self) -> None:
        stream = encode_frame(b"one") + encode_frame(b"two")
        reader = FrameReader()
        assert [*reader.feed(stream[:6]), *reader.feed(stream[6:])] == [b"one", b"two"]

    @pytest.mark.parametrize(
        "data",
        [
            b"Internal Server Error",
            b"\xa3abc",
            b"\xc1",
            b"\x81\x90\x90",
            b"\xa2\xff\xff",
        ],
    )
    def test_yields_no_valid_message_for_other_bytes(self, data: bytes) -> None:
        codec = MessageCodec(b"k" * 32)
        for frame in FrameReader().feed(data):
            assert isinstance(frame, bytes)
            assert codec.decode(frame).is_error()
