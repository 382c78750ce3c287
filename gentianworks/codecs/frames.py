"""Frames: the delimiting of messages in a stream of bytes."""

from __future__ import annotations

from collections.abc import Iterator

import msgpack

MAX_FRAME_BYTES = 16 * 1024 * 1024


def encode_frame(data: bytes) -> bytes:
    """Return the bytes of one message as a frame."""
    return msgpack.packb(data)


class FrameReader:
    """Incremental parser that splits a stream of bytes into messages."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield the bytes of each message that `data` completes.

        Bytes that are not a frame yield an empty message, which every codec rejects.
        """
        try:
            self._unpacker.feed(data)
            for item in self._unpacker:
                yield item if isinstance(item, bytes) else b""
        except (msgpack.UnpackException, ValueError):
            yield b""
