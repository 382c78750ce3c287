"""Messages: the signed encoding of messages between processes."""

from __future__ import annotations

import hashlib
import hmac
import zlib

import msgpack
from attrs import frozen
from expression import Error, Ok, Result

from gentianworks.codecs.commands import create_converter
from gentianworks.codecs.unions import register_union
from gentianworks.core.events.base import Message

SIGNATURE_BYTES = 16
COMPRESSION_THRESHOLD_BYTES = 2048
COMPRESSION_LEVEL = 1
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
UNCOMPRESSED_TAG = b"\0"
COMPRESSED_TAG = b"\1"


@frozen
class MessageError:
    """Reason for which a message was rejected."""

    detail: str


class MessageCodec:
    """Encoder and decoder of messages signed with the key that all processes share."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._union = register_union(Message, create_converter(), omits_defaults=True)

    def encode(self, message: Message, is_compressible: bool = True) -> bytes:
        """Return the signed bytes of a message."""
        payload: bytes = msgpack.packb(self._union.encode(message))
        packed = _compress(payload) if is_compressible else UNCOMPRESSED_TAG + payload
        return self._sign(packed) + packed

    def decode(self, data: bytes) -> Result[Message, MessageError]:
        """Return the message in `data`, or the reason for which it is rejected."""
        message = self.decode_or_error(data)
        return Error(message) if isinstance(message, MessageError) else Ok(message)

    def decode_or_error(self, data: bytes) -> Message | MessageError:
        """Return the message in `data`, or a MessageError.

        Wrapping the message in a Result costs about as much as decoding it, so
        frequent callers use this method.
        """
        signature, payload = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, self._sign(payload)):
            return MessageError(
                "The signature is invalid; give both processes the same key."
            )
        try:
            unpacked = _decompress(payload)
            return self._union.decode(msgpack.unpackb(unpacked))
        except Exception as error:
            return MessageError(
                f"The message can't be decoded ({error!r}); "
                f"run one version of gentianworks everywhere."
            )

    def _sign(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload, key=self._key, digest_size=SIGNATURE_BYTES
        ).digest()


def _compress(payload: bytes) -> bytes:
    if len(payload) < COMPRESSION_THRESHOLD_BYTES:
        return UNCOMPRESSED_TAG + payload
    return COMPRESSED_TAG + zlib.compress(payload, COMPRESSION_LEVEL)


def _decompress(packed: bytes) -> bytes:
    if packed[:1] == UNCOMPRESSED_TAG:
        return packed[1:]
    decompressor = zlib.decompressobj()
    payload = decompressor.decompress(packed[1:], MAX_MESSAGE_BYTES)
    if decompressor.unconsumed_tail:
        raise ValueError(f"the payload exceeds {MAX_MESSAGE_BYTES} bytes")
    return payload
